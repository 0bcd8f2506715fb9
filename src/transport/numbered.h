// Objects that are ordered by when they were made, so that no order depends on where they lie in memory.
#pragma once

#include <cstdint>

namespace rushhill::transport {

// Gets the next number when it is made; numbers are never used again.
class Numbered {
 public:
  std::uint64_t number() const { return number_; }

 private:
  static inline std::uint64_t last_ = 0;
  std::uint64_t number_ = ++last_;
};

// Orders pointers to numbered objects, the oldest first.
struct ByNumber {
  bool operator()(const Numbered* left, const Numbered* right) const {
    return left->number() < right->number();
  }
};

}  // namespace rushhill::transport

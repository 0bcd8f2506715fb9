// Numbers objects in the order of their creation, so that no order depends on memory addresses.
#pragma once

#include <cstdint>

namespace rushhill::transport {

// Base of objects that get the next number when they are created. Numbers are never reused.
class Numbered {
 public:
  std::uint64_t number() const { return number_; }

 private:
  static inline std::uint64_t last_ = 0;
  std::uint64_t number_ = ++last_;
};

// Orders pointers to numbered objects, oldest first.
struct ByNumber {
  bool operator()(const Numbered* left, const Numbered* right) const {
    return left->number() < right->number();
  }
};

}  // namespace rushhill::transport

// Connections in the order of their coming, so that nothing hangs on where they lie in memory.
#pragma once

#include <cstdint>

namespace rushhill::transport {

class Numbered {
 public:
  std::uint64_t number() const { return number_; }

 private:
  static inline std::uint64_t last_ = 0;
  std::uint64_t number_ = ++last_;
};
struct ByNumber {
  bool operator()(const Numbered* left, const Numbered* right) const {
    return left->number() < right->number();
  }
};

}  // namespace rushhill::transport

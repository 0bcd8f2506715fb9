// Limits the memory of buffers that the router's peers can fill.
#pragma once

#include <algorithm>
#include <cstddef>
#include <limits>
#include <utility>

namespace rushhill::core {

// Divides a number of bytes among the holders of buffers. It counts the bytes that are charged to it and
// refuses further ones by a dynamic threshold: a holder may hold as much as is still free. So the limit is
// never reached by admitted bytes, a single holder may use half of it, and however many holders take what
// they can, the next one may still hold as much as each of them.
class MemoryBudget {
 public:
  static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

  explicit MemoryBudget(std::size_t limit_bytes = unlimited) : limit_(limit_bytes) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;
  MemoryBudget(MemoryBudget&&) = delete;
  MemoryBudget& operator=(MemoryBudget&&) = delete;
  ~MemoryBudget() = default;

  // Whether a holder that holds `held` bytes may hold `more` bytes in addition.
  bool admits(std::size_t held, std::size_t more) const {
    const std::size_t free = limit_ - std::min(used_, limit_);
    return more <= free && held <= free - more;
  }
  std::size_t limit_bytes() const { return limit_; }
  std::size_t used_bytes() const { return used_; }

 private:
  friend class MemoryCharge;

  std::size_t limit_;
  std::size_t used_ = 0;
};

// The bytes that one buffer is charged for; released when the charge is destroyed. The budget must outlive
// it.
class MemoryCharge {
 public:
  MemoryCharge() = default;  // charged to no budget
  explicit MemoryCharge(MemoryBudget* budget, std::size_t bytes = 0) : budget_(budget) { resize(bytes); }
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;
  MemoryCharge(MemoryCharge&& other) noexcept
      : budget_(std::exchange(other.budget_, nullptr)), bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryCharge& operator=(MemoryCharge&& other) noexcept {
    std::swap(budget_, other.budget_);
    std::swap(bytes_, other.bytes_);
    return *this;
  }
  ~MemoryCharge() { resize(0); }

  // Charges `bytes` from now on, whether or not the budget admits them.
  void resize(std::size_t bytes) {
    if (budget_ == nullptr) return;
    budget_->used_ = budget_->used_ - bytes_ + bytes;
    bytes_ = bytes;
  }
  std::size_t bytes() const { return bytes_; }

 private:
  MemoryBudget* budget_ = nullptr;
  std::size_t bytes_ = 0;
};

}  // namespace rushhill::core

// Limits the memory of buffers that the router's peers can fill.
#pragma once

#include <algorithm>
#include <cstddef>
#include <limits>
#include <memory>
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
    const std::size_t free = limit_ - std::min(*used_, limit_);
    return more <= free && held <= free - more;
  }
  std::size_t limit_bytes() const { return limit_; }
  std::size_t used_bytes() const { return *used_; }

 private:
  friend class MemoryCharge;

  std::size_t limit_;
  std::shared_ptr<std::size_t> used_ = std::make_shared<std::size_t>(0);  // shared with the charges
};

// The bytes that one buffer is charged for; released when the charge is destroyed. It may outlive the budget,
// as a connection may outlive the router.
class MemoryCharge {
 public:
  MemoryCharge() = default;  // charged to no budget
  // Charged to no budget if `budget` is null.
  explicit MemoryCharge(const MemoryBudget* budget, std::size_t bytes = 0)
      : used_(budget == nullptr ? nullptr : budget->used_) {
    resize(bytes);
  }
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;
  MemoryCharge(MemoryCharge&& other) noexcept
      : used_(std::exchange(other.used_, nullptr)), bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryCharge& operator=(MemoryCharge&& other) noexcept {
    std::swap(used_, other.used_);
    std::swap(bytes_, other.bytes_);
    return *this;
  }
  ~MemoryCharge() { resize(0); }

  // Charges `bytes` from now on, whether or not the budget admits them.
  void resize(std::size_t bytes) {
    if (used_ == nullptr) return;
    *used_ = *used_ - bytes_ + bytes;
    bytes_ = bytes;
  }
  std::size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<std::size_t> used_;
  std::size_t bytes_ = 0;
};

}  // namespace rushhill::core

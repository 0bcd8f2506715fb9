// What a piece of work costs, counted: instructions of this thread in user space where the machine counts
// them, and what the allocator holds. A test hands over a counter of its own.
#pragma once

#include <cstddef>
#include <cstdint>

namespace rushhill::scale {

class Counter {
 public:
  Counter() = default;
  Counter(const Counter&) = delete;
  Counter& operator=(const Counter&) = delete;
  virtual ~Counter() = default;
  virtual std::uint64_t read() = 0;  // never falls
  virtual bool counts() const = 0;   // false: this machine does not let it
};

// By the processor's own counter (perf_event_open(2)); needs perf_event_paranoid of 2 or less.
class Instructions final : public Counter {
 public:
  Instructions();
  ~Instructions() override;
  std::uint64_t read() override;
  bool counts() const override { return descriptor_ >= 0; }

 private:
  int descriptor_ = -1;
};

// Adds up what lies between begin() and end(), less what the two cost themselves.
class Meter {
 public:
  explicit Meter(Counter& counter);
  void begin() { began_ = counter_.read(); }
  void end() { sum_ += static_cast<double>(counter_.read() - began_) - own_, ++sections_; }
  double sum() const { return sum_; }
  std::int64_t sections() const { return sections_; }
  void clear() { sum_ = 0, sections_ = 0; }

 private:
  Counter& counter_;
  std::uint64_t began_ = 0;
  double own_ = 0, sum_ = 0;
  std::int64_t sections_ = 0;
};

double user_ns();          // of this process, in user space
double allocated_bytes();  // handed out by the allocator and not given back
double resident_bytes();   // of this process, now
double peak_resident_bytes();

}  // namespace rushhill::scale

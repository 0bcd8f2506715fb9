// Counters of the work that a piece of code does. A test supplies a counter of its own.
#pragma once

#include <cstdint>

namespace rushhill::scale {

// A count of work done by this thread.
class Counter {
 public:
  Counter() = default;
  Counter(const Counter&) = delete;
  Counter& operator=(const Counter&) = delete;
  Counter(Counter&&) = delete;
  Counter& operator=(Counter&&) = delete;
  virtual ~Counter() = default;

  // The count so far; never decreases.
  virtual std::uint64_t read() = 0;
  // False where this machine does not permit counting; read() then returns 0.
  virtual bool counts() const = 0;
};

// Instructions of this thread in user space, counted by the processor (perf_event_open(2)). Needs
// perf_event_paranoid of 2 or less.
class InstructionCounter final : public Counter {
 public:
  InstructionCounter();
  InstructionCounter(const InstructionCounter&) = delete;
  InstructionCounter& operator=(const InstructionCounter&) = delete;
  InstructionCounter(InstructionCounter&&) = delete;
  InstructionCounter& operator=(InstructionCounter&&) = delete;
  ~InstructionCounter() override;

  std::uint64_t read() override;
  bool counts() const override { return descriptor_ >= 0; }

 private:
  int descriptor_ = -1;
};

}  // namespace rushhill::scale

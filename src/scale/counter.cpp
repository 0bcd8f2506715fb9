#include "scale/counter.h"

#include <linux/perf_event.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace rushhill::scale {

InstructionCounter::InstructionCounter() {
  perf_event_attr attributes{};
  attributes.size = sizeof attributes;
  attributes.type = PERF_TYPE_HARDWARE;
  attributes.config = PERF_COUNT_HW_INSTRUCTIONS;
  attributes.exclude_kernel = 1;
  attributes.exclude_hv = 1;
  descriptor_ = static_cast<int>(syscall(SYS_perf_event_open, &attributes, 0, -1, -1, 0UL));
  if (counts() && read() == 0) {
    close(descriptor_);
    descriptor_ = -1;
  }
}

InstructionCounter::~InstructionCounter() {
  if (counts()) close(descriptor_);
}

std::uint64_t InstructionCounter::read() {
  std::uint64_t count = 0;
  if (!counts() || ::read(descriptor_, &count, sizeof count) != static_cast<ssize_t>(sizeof count)) return 0;
  return count;
}

}  // namespace rushhill::scale

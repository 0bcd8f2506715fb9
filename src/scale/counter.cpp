#include "scale/counter.h"

#include <linux/perf_event.h>
#include <malloc.h>
#include <sys/resource.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <limits>

namespace rushhill::scale {
namespace {

constexpr int calibrations = 64;  // empty sections; the least of them is what a section costs itself

rusage used() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage;
}

}  // namespace

Instructions::Instructions() {
  perf_event_attr asked{};
  asked.size = sizeof asked;
  asked.type = PERF_TYPE_HARDWARE;
  asked.config = PERF_COUNT_HW_INSTRUCTIONS;
  asked.exclude_kernel = 1;
  asked.exclude_hv = 1;
  descriptor_ = static_cast<int>(syscall(SYS_perf_event_open, &asked, 0, -1, -1, 0UL));
  if (counts() && read() == 0) close(descriptor_), descriptor_ = -1;
}
Instructions::~Instructions() {
  if (counts()) close(descriptor_);
}
std::uint64_t Instructions::read() {
  std::uint64_t count = 0;
  if (!counts() || ::read(descriptor_, &count, sizeof count) != static_cast<ssize_t>(sizeof count)) return 0;
  return count;
}

Meter::Meter(Counter& counter) : counter_(counter) {
  double least = std::numeric_limits<double>::max();
  for (int i = 0; i < calibrations; ++i) {
    const std::uint64_t before = counter_.read();
    least = std::min(least, static_cast<double>(counter_.read() - before));
  }
  own_ = least;
}

double user_ns() {
  const rusage usage = used();
  return static_cast<double>(usage.ru_utime.tv_sec) * 1e9 + static_cast<double>(usage.ru_utime.tv_usec) * 1e3;
}
double allocated_bytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}
double resident_bytes() {
  std::ifstream in("/proc/self/statm");
  double all = 0, resident = 0;
  in >> all >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}
double peak_resident_bytes() { return static_cast<double>(used().ru_maxrss) * 1024; }

}  // namespace rushhill::scale

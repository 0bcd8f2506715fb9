#include "scale/process_usage.h"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace rushhill::scale {
namespace {

constexpr double ns_per_second = 1e9;
constexpr double ns_per_microsecond = 1e3;
constexpr double bytes_per_kibibyte = 1'024;

rusage resource_usage() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage;
}

}  // namespace

double user_ns() {
  const timeval user_time = resource_usage().ru_utime;
  return static_cast<double>(user_time.tv_sec) * ns_per_second +
         static_cast<double>(user_time.tv_usec) * ns_per_microsecond;
}

double allocated_bytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

double resident_bytes() {
  std::ifstream statm("/proc/self/statm");
  double total_pages = 0;
  double resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double peak_resident_bytes() { return static_cast<double>(resource_usage().ru_maxrss) * bytes_per_kibibyte; }

}  // namespace rushhill::scale

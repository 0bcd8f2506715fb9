// Named results of a measurement. The names are printed, and scripts and tests/scale/baseline.json read them.
#pragma once

#include <map>
#include <string>

namespace rushhill::scale {

// Values by name, each for one unit of what was measured.
using Figures = std::map<std::string, double>;

// Names of figures that several measurements share.
namespace figure_name {
inline constexpr const char* instructions = "instructions";
inline constexpr const char* user_time = "user ns";  // CPU time in user space
inline constexpr const char* bytes = "bytes";        // held by the allocator
inline constexpr const char* resident = "resident";  // bytes of the process's resident set
inline constexpr const char* peak_resident = "peak resident";
inline constexpr const char* port_bytes = "port bytes";  // payload alone
inline constexpr const char* messages = "messages";
inline constexpr const char* requests = "requests";
inline constexpr const char* attempts_per_request = "attempts a request";
inline constexpr const char* expired = "overdue";  // requests
inline constexpr const char* dearest_second = "instructions, dearest second";
inline constexpr const char* functions_met = "functions met";
inline constexpr const char* next_request = "instructions of the next request";
inline constexpr const char* receiving = "instructions of hearing";
}  // namespace figure_name

}  // namespace rushhill::scale

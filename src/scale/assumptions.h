// What is assumed of the servers, functions and requests that surround the measured parts; docs/CAPACITY.md.
#pragma once

#include "scale/units.h"

namespace rushhill::scale {

// Spans of virtual time.
inline constexpr Time execution_time = 200;       // of a request where a copy of its function is loaded
inline constexpr Time load_time = 4'000;          // until a copy is loaded
inline constexpr Time cold_start_target = 4'500;  // within which a request that waits for a load is answered
inline constexpr Time copy_idle_limit = 600 * second;  // after which an unused copy is removed
inline constexpr Time latency_target = 7'500;
inline constexpr Time request_deadline = 25'000;
// After which a connection that is not established is given up; the program's default.
inline constexpr Time connect_timeout = 2'500;

inline constexpr int zone_count = 6;
inline constexpr int region_count = 2;
inline constexpr int servers_per_rack = 40;

// Names that the simulated requests carry.
inline constexpr const char* request_class_name = "lookup";
inline constexpr const char* tenant_prefix = "tenant-";
inline constexpr const char* utilisation_field = "util";  // of a load report

}  // namespace rushhill::scale

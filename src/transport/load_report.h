// Load reports that endpoints send in the header `endpoint-load-metrics` of ORCA (Open Request Cost
// Aggregation).
#pragma once

#include <string_view>

#include "routing/types.h"

namespace rushhill::transport {

// Parses a header value in the TEXT or the JSON form and returns its metrics by the routing policy's names.
// Metrics that are unknown, negative or out of range are left out. Returns an empty report if the value
// cannot be parsed.
LoadReport parse_load_report(std::string_view header);

}  // namespace rushhill::transport

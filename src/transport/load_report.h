// Load reports as endpoints send them: the ORCA header `endpoint-load-metrics` (Open Request Cost
// Aggregation).
#pragma once

#include <string_view>

#include "routing/types.h"

namespace rushhill::transport {

// The report in a header value, in the TEXT or the JSON form, by the routing policy's metric names. Metrics
// that are unknown, negative or out of range are left out; a value that cannot be read gives an empty report.
LoadReport load_report(std::string_view header);

}  // namespace rushhill::transport

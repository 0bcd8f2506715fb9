// The words of day and deployment files for what request classes promise.
#pragma once

#include <optional>
#include <string_view>

#include "routing/types.h"

namespace rushhill::simulation {

const char* name_of(RetrySafety safety);
const char* name_of(DeduplicationScope scope);
// Nothing: no value has that name.
std::optional<RetrySafety> retry_safety_of(std::string_view name);
std::optional<DeduplicationScope> deduplication_scope_of(std::string_view name);

}  // namespace rushhill::simulation

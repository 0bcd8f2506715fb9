#include "simulation/request_class_names.h"

namespace rushhill::simulation {

const char* name_of(RetrySafety safety) {
  switch (safety) {
    case RetrySafety::idempotent:
      return "reissuable";
    case RetrySafety::keyed:
      return "numbered";
    case RetrySafety::at_most_once:
      return "at-most-once";
  }
  return "";
}

const char* name_of(DeduplicationScope scope) {
  switch (scope) {
    case DeduplicationScope::everywhere:
      return "all";
    case DeduplicationScope::location:
      return "location";
    case DeduplicationScope::cell:
      return "cell";
  }
  return "";
}

std::optional<RetrySafety> retry_safety_of(std::string_view name) {
  for (const RetrySafety safety : {RetrySafety::idempotent, RetrySafety::keyed, RetrySafety::at_most_once}) {
    if (name == name_of(safety)) return safety;
  }
  return std::nullopt;
}

std::optional<DeduplicationScope> deduplication_scope_of(std::string_view name) {
  for (const DeduplicationScope scope :
       {DeduplicationScope::everywhere, DeduplicationScope::location, DeduplicationScope::cell}) {
    if (name == name_of(scope)) return scope;
  }
  return std::nullopt;
}

}  // namespace rushhill::simulation

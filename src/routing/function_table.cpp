#include "routing/function_table.h"

#include <utility>

namespace rushhill::routing {
namespace {

constexpr Duration unrequested_retention = 120 * one_second;  // longer than endpoints keep idle copies

}  // namespace

void FunctionTable::forget_copies(const EndpointId& endpoint) {
  for (auto& [id, function] : functions_) function.copies.forget(endpoint);
}

void FunctionTable::sweep(Timestamp now, Duration keep_alive) {
  const std::int64_t second = now.time_since_epoch() / one_second;
  if (std::exchange(last_sweep_second_, second) == second) return;
  std::erase_if(functions_,
                [&](const auto& item) { return now - item.second.requested_at > unrequested_retention; });
  for (auto& [id, function] : functions_) function.copies.sweep(now, keep_alive);
}

}  // namespace rushhill::routing

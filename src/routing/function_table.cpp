#include "routing/function_table.h"

#include <algorithm>
#include <utility>

namespace rushhill::routing {
namespace {

constexpr Duration unrequested_retention = 120 * one_second;  // longer than endpoints keep idle copies
constexpr int check_interval = 64;          // calls of make_room(); a check visits all records
constexpr std::size_t map_node_bytes = 64;  // of the tree and the allocator, and an id of 16 characters
constexpr std::size_t share_given_up = 8;   // an eighth of the limit at once, so that it is seldom necessary

std::size_t bytes_of(const FunctionRecord& function) {
  return map_node_bytes + sizeof(function) + function.placement.memory_bytes() +
         function.copies.memory_bytes();
}

}  // namespace

std::size_t FunctionTable::memory_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [id, function] : functions_) bytes += bytes_of(function);
  return bytes;
}

// The least recently requested first.
std::vector<FunctionTable::Functions::iterator> FunctionTable::by_age() {
  std::vector<Functions::iterator> functions;
  functions.reserve(functions_.size());
  for (auto it = functions_.begin(); it != functions_.end(); ++it) functions.push_back(it);
  std::ranges::sort(functions, {}, [](const auto& it) { return it->second.requested_at; });
  return functions;
}

// Functions with open attempts or a pending order stay: what their ends report would be lost.
void FunctionTable::make_room() {
  if (max_bytes_ == 0 || ++calls_since_check_ < check_interval) return;
  calls_since_check_ = 0;
  std::size_t bytes = memory_bytes();
  if (bytes <= max_bytes_) return;
  const std::size_t wanted = max_bytes_ - max_bytes_ / share_given_up;
  const std::vector<Functions::iterator> functions = by_age();
  for (const auto& it : functions) {
    if (bytes <= wanted) return;
    bytes -= it->second.placement.release_candidates();
  }
  for (const auto& it : functions) {
    if (bytes <= wanted) return;
    if (it->second.copies.in_use()) continue;
    bytes -= bytes_of(it->second);
    functions_.erase(it);
  }
}

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

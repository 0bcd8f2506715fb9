#include "simulation/group_deduplication.h"

#include <utility>

namespace rushhill::simulation {
namespace {

// The group of servers that deduplicate requests of the class together.
std::string group_of(const ServerSpec& server, const RequestClassSpec& request_class) {
  switch (request_class.deduplication_scope) {
    case DeduplicationScope::everywhere:
      return "";
    case DeduplicationScope::location:
      return server.location;
    case DeduplicationScope::cell:
      return std::to_string(server.cell);
  }
  return "";
}

}  // namespace

GroupDeduplication::Lookup GroupDeduplication::find_or_add(const ServerSpec& server,
                                                           const RequestClassSpec& request_class,
                                                           const std::string& idempotency_key) {
  const std::string key = group_of(server, request_class) + " " + idempotency_key;
  KeyedRequestPointer& request = requests_[key];
  if (request) return {.request = request};
  request = std::make_shared<KeyedRequest>();
  timers_.at(timers_.now() + request_class.deduplication_span, [this, key] { requests_.erase(key); });
  return {.request = request, .first = true};
}

void GroupDeduplication::forget(const KeyedRequestPointer& request) {
  std::erase_if(requests_, [&](const auto& entry) { return entry.second == request; });
}

void GroupDeduplication::settle(const KeyedRequestPointer& request, bool completed) {
  if (!completed) return forget(request);
  request->completed = true;
  for (const auto& waiter : std::exchange(request->waiters, {})) waiter();
}

}  // namespace rushhill::simulation

#include "routing/endpoint_table.h"

#include <utility>

namespace rushhill::routing {
namespace {

// Late answers arrive, and an endpoint returns to the list, within this time.
constexpr Duration removed_retention = 120 * one_second;

}  // namespace

EndpointUpdate EndpointTable::update(const Endpoint& endpoint) {
  const auto [it, added] = records_.try_emplace(endpoint.id);
  EndpointRecord& record = it->second;
  const bool restarted = !added && endpoint.started != record.endpoint.started;
  record.endpoint = endpoint;
  if (std::exchange(record.removed_at, Timestamp{}) != Timestamp{}) --removed_;
  return {.record = record, .added = added, .restarted = restarted};
}

void EndpointTable::remove(Timestamp now, EndpointRecord& record) {
  record.endpoint.state = EndpointState::removed;
  if (record.removed_at != Timestamp{}) return;
  record.removed_at = now;
  ++removed_;
}

void EndpointTable::erase_removed(Timestamp now) {
  if (removed_ == 0) return;
  const std::size_t erased = std::erase_if(records_, [&](const auto& item) {
    const EndpointRecord& record = item.second;
    return record.removed_at != Timestamp{} && record.in_flight.open() == 0 &&
           now - record.removed_at > removed_retention;
  });
  removed_ -= erased;
  version_ += erased;
}

EndpointRecord* EndpointTable::find(const EndpointId& id) {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

const EndpointRecord* EndpointTable::find(const EndpointId& id) const {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

}  // namespace rushhill::routing

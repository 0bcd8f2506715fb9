#include "routing/warm_index.h"

namespace rushhill::routing {

void WarmIndex::link_endpoints(EndpointTable& endpoints, std::uint64_t selection) {
  for (auto& [id, copy] : copies_) {
    EndpointRecord* const record =
        copy.endpoint(endpoints.version(), [&, &endpoint = id] { return endpoints.find(endpoint); });
    if (record != nullptr) record->copy.set(copy, selection);
  }
}

void WarmIndex::sweep(Timestamp now, Duration keep_alive) {
  std::erase_if(copies_, [&](const auto& item) { return !item.second.believed(now, keep_alive); });
}

}  // namespace rushhill::routing

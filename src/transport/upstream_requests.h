// Serializes the HTTP requests to endpoints. docs/servers.md is the contract with the endpoints.
#pragma once

#include <string>
#include <string_view>

#include "core/upstream_transport.h"

namespace rushhill::transport {

// `router` is the number of this router, which endpoints put into their records.
std::string attempt_request(int router, const core::AttemptCall& call);
std::string probe_request(const EndpointId& endpoint);
// Asks the endpoint to have `copies` copies of the function loaded.
std::string prewarm_request(int router, const EndpointId& endpoint, const FunctionId& function, int copies);
// Asks the endpoint which functions are loaded, and how many copies of each.
std::string copy_query_request(int router, const EndpointId& endpoint);
std::string evict_request(int router, const EndpointId& endpoint, const FunctionId& function);

// Percent-encodes any text as one segment of a path.
std::string path_segment(std::string_view text);

}  // namespace rushhill::transport

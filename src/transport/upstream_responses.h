// Interprets HTTP responses of endpoints. docs/servers.md is the contract with the endpoints.
#pragma once

#include "core/upstream_transport.h"
#include "transport/http.h"
#include "transport/upstream_call.h"

namespace rushhill::transport {

// Returns how an attempt ended. The outcome says that the request did not run only if the response proves it;
// in doubt it is AttemptOutcome::error.
core::AttemptResult attempt_result(HttpResponse response);

// The result of a probe, prewarm, copy query or eviction.
struct CallResult {
  AttemptOutcome outcome = AttemptOutcome::error;
  LoadReport report{};
  int copies = 0;  // loaded at the endpoint; only for prewarm and copy_query
};
CallResult call_result(const UpstreamCall& call, const HttpResponse& response);

}  // namespace rushhill::transport

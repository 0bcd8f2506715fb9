// What an endpoint's HTTP response says of the call that it answers. docs/servers.md is the contract.
#pragma once

#include "core/upstream_transport.h"
#include "transport/http.h"
#include "transport/upstream_call.h"

namespace rushhill::transport {

// How an attempt ended. Only a response that proves that nothing ran ends it as something that did not run;
// whatever is in doubt is AttemptOutcome::error.
core::AttemptResult attempt_result(HttpResponse response);

// What came of a probe, a prewarm, a copy query or an eviction.
struct CallResult {
  AttemptOutcome outcome = AttemptOutcome::error;
  LoadReport report{};
  int copies = 0;  // of the function at the endpoint; of prewarm and copy_query
};
CallResult call_result(const UpstreamCall& call, const HttpResponse& response);

}  // namespace rushhill::transport

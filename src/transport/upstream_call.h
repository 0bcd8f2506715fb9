// Calls to endpoints, independent of the protocol, and how their ends are reported to the core.
#pragma once

#include <compare>
#include <cstdint>

#include "core/upstream_transport.h"

namespace rushhill::transport {

// What a call asks of the endpoint.
enum class UpstreamCallKind : std::uint8_t {
  attempt,     // to run a request
  probe,       // to report its health
  prewarm,     // to load copies of a function
  copy_query,  // to report how many copies of a function are loaded; its end is reported as a prewarm's
  evict        // to unload a function; its end is not reported
};

// Identifies one attempt of a request.
struct AttemptKey {
  RequestId request = 0;
  int attempt_number = 0;
  auto operator<=>(const AttemptKey&) const = default;
};

// One call to an endpoint.
struct UpstreamCall {
  UpstreamCallKind kind = UpstreamCallKind::attempt;
  EndpointId endpoint{};
  RequestId request = 0;   // only for an attempt
  int attempt_number = 0;  // only for an attempt
  FunctionId function{};   // only for prewarm, copy_query and evict
  Time expires_at = 0;     // when the call ends as unanswered; 0 if the core cancels it instead
};

// Reports the end of a call that got no response.
void report_end(core::UpstreamObserver& observer, const UpstreamCall& call, AttemptOutcome outcome);

}  // namespace rushhill::transport

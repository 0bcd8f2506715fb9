// What was asked of an endpoint, whatever the protocol, and how its end is reported to the core.
#pragma once

#include <compare>
#include <cstdint>

#include "core/upstream_transport.h"

namespace rushhill::transport {

// What a call asks the endpoint for.
enum class UpstreamCallKind : std::uint8_t {
  attempt,     // to run a request
  probe,       // whether it is healthy
  prewarm,     // to load copies of a function
  copy_query,  // how many copies of a function are loaded; its end is reported as that of a prewarm
  evict        // to unload a function; its end is not reported
};

// Names one attempt of a request.
struct AttemptKey {
  RequestId request = 0;
  int attempt_number = 0;
  auto operator<=>(const AttemptKey&) const = default;
};

// One call to an endpoint, from its start to its one end.
struct UpstreamCall {
  UpstreamCallKind kind = UpstreamCallKind::attempt;
  EndpointId endpoint{};
  RequestId request = 0;   // of an attempt
  int attempt_number = 0;  // of an attempt
  FunctionId function{};   // of prewarm, copy_query and evict
  Time expires_at = 0;     // moment at which it ends as unanswered; 0: the core cancels it instead
};

// Reports an end that brought no answer.
void report_end(core::UpstreamObserver& observer, const UpstreamCall& call, AttemptOutcome outcome);

}  // namespace rushhill::transport

#include "transport/upstream_call.h"

namespace rushhill::transport {

void report_end(core::UpstreamObserver& observer, const UpstreamCall& call, AttemptOutcome outcome) {
  switch (call.kind) {
    case UpstreamCallKind::attempt:
      return observer.attempt_ended(call.request, call.attempt_number, {.outcome = outcome});
    case UpstreamCallKind::probe:
      return observer.probe_ended(call.endpoint, outcome, {});
    case UpstreamCallKind::prewarm:
    case UpstreamCallKind::copy_query:
      return observer.prewarm_ended(call.endpoint, call.function, outcome, 0);
    case UpstreamCallKind::evict:
      return;
  }
}

}  // namespace rushhill::transport

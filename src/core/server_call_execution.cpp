#include "core/server_call_execution.h"

namespace rushhill::core {
namespace {

constexpr Time probe_limit = 10'000;  // tenths of a millisecond; a report older than that is none

}  // namespace

void ServerCallExecution::probe(const ServerId& server) {
  ++env_.tally.probes;
  probes_.start(server, env_.clock.now());
  env_.carrier.probe(server, probe_limit);
}

void ServerCallExecution::probe_ended(const ServerId& server, Ending ending, const LoadReport& report) {
  const Time taken = probes_.end(server, env_.clock.now());
  const ProbeEnd end{.server = server, .ending = ending, .taken = taken, .report = report};
  env_.decisions.run([&](Router& router, Time now) { router.probe_ended(now, end); });
}

void ServerCallExecution::order(const ServerId& server, const FunctionId& function, int copies) {
  orders_.start({server, function}, env_.clock.now());
  if (env_.ledger != nullptr && !env_.ledger->ordering()) {
    env_.deferred.run_soon([this, server, function] { order_ended(server, function, Ending::not_sent, 0); });
    return;
  }
  ++env_.tally.orders;
  env_.carrier.order(server, function, copies, order_limit_);
}

void ServerCallExecution::order_ended(const ServerId& server, const FunctionId& function, Ending ending,
                                      int copies) {
  const Time taken = orders_.end({server, function}, env_.clock.now());
  const OrderEnd end{
      .server = server, .function = function, .ending = ending, .taken = taken, .copies = copies};
  env_.decisions.run([&](Router& router, Time now) { router.order_ended(now, end); });
}

void ServerCallExecution::unload(const ServerId& server, const FunctionId& function) {
  ++env_.tally.unloads;
  env_.carrier.unload(server, function);
}

}  // namespace rushhill::core

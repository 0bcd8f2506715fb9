// Carries out decisions about servers that belong to no request: probes, orders to load and to evict copies.
// Part of the gateway; docs/program.md, "The core".
#pragma once

#include <utility>

#include "core/decision_module.h"
#include "core/deferred_calls.h"
#include "core/outstanding_calls.h"
#include "core/ports.h"
#include "core/tally.h"

namespace rushhill::core {

class ServerCallExecution {
 public:
  struct Environment {
    Clockwork& clock;
    Carrier& carrier;
    Ledger* ledger;  // none: orders leave without being told to others
    DeferredCalls& deferred;
    DecisionModule& decisions;
    Tally& tally;
  };
  // `order_limit`: the time after which an order to load is given up.
  ServerCallExecution(const Environment& environment, Time order_limit)
      : env_(environment), order_limit_(order_limit) {}

  void probe(const ServerId& server);
  // Orders copies of a function to be loaded. Where the ledger does not let it leave it ends as not sent.
  void order(const ServerId& server, const FunctionId& function, int copies);
  void unload(const ServerId& server, const FunctionId& function);

  // Ends of what was asked for, reported to the decision module with the time taken.
  void probe_ended(const ServerId& server, Ending ending, const LoadReport& report);
  void order_ended(const ServerId& server, const FunctionId& function, Ending ending, int copies);

 private:
  Environment env_;
  Time order_limit_;
  OutstandingCalls<ServerId> probes_;
  OutstandingCalls<std::pair<ServerId, FunctionId>> orders_;
};

}  // namespace rushhill::core

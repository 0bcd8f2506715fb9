// The parts of the core between a decision module and a carrier that only note what they are told.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/attempt_execution.h"
#include "core/manual_clock.h"
#include "routing/routing_policy.h"

namespace rushhill::core {

// What the decision module hears.
struct Heard {
  std::vector<RoutingRequest> requests;
  std::vector<AttemptEnd> attempt_ends;
  std::vector<ProbeEnd> probe_ends;
  std::vector<PrewarmEnd> order_ends;
  std::vector<RequestId> cancelled;
};

class RecordingRouter final : public RoutingPolicy {
 public:
  explicit RecordingRouter(Heard& heard) : heard_(heard) {}
  void endpoints_updated(Timestamp, EndpointListForm, const std::vector<Endpoint>&) override {}
  void request_received(Timestamp, const RoutingRequest& event) override { heard_.requests.push_back(event); }
  void response_started(Timestamp, RequestId, int) override {}
  void attempt_ended(Timestamp, const AttemptEnd& end) override { heard_.attempt_ends.push_back(end); }
  void client_cancelled(Timestamp, RequestId event) override { heard_.cancelled.push_back(event); }
  void timer_fired(Timestamp, std::int64_t) override {}
  void probe_ended(Timestamp, const ProbeEnd& end) override { heard_.probe_ends.push_back(end); }
  void prewarm_ended(Timestamp, const PrewarmEnd& end) override { heard_.order_ends.push_back(end); }
  void gossip_received(Timestamp, int, const std::string&) override {}
  void load_budget_restored(Timestamp, double) override {}

 private:
  Heard& heard_;
};

struct RecordingCarrier final : UpstreamTransport {
  struct Sent {
    RequestId id;
    int number;
    EndpointId server;
    Duration left;
  };
  void send(const AttemptCall& call) override {
    sent.push_back(
        {.id = call.request, .number = call.attempt_number, .server = call.endpoint, .left = call.time_left});
  }
  void cancel(RequestId id, int number) override { dropped.emplace_back(id, number); }
  bool cancel_unsent(RequestId id, int number) override { return unsent.contains({id, number}); }
  void cancel_all_unsent(const EndpointId&) override {}
  void probe(const EndpointId& server, Duration) override { probes.push_back(server); }
  void prewarm(const EndpointId& server, const FunctionId&, int copies, Duration limit) override {
    orders.emplace_back(server, copies);
    order_limit = limit;
  }
  void evict(const EndpointId& server, const FunctionId&) override { unloads.push_back(server); }
  void close_idle(const EndpointId&) override {}
  void set_address(const EndpointId&, const std::string&) override {}

  std::vector<Sent> sent;
  std::vector<std::pair<RequestId, int>> dropped;
  std::set<std::pair<RequestId, int>> unsent;
  std::vector<EndpointId> probes, unloads;
  std::vector<std::pair<EndpointId, int>> orders;
  Duration order_limit{};
};

struct CountingLog final : EventLog {
  bool wants(Level) const override { return true; }
  void write(Level level, const char*, Fields) override {
    if (level == Level::error) ++errors;
  }
  int errors = 0;
};

class PartsFixture : public testing::Test {
 protected:
  static constexpr Time second = 10'000;
  static constexpr int attempt_cap = 3;

  HandClock clock;
  RecordingCarrier carrier;
  CountingLog log;
  Heard heard;
  Counters tally;
  DeferredCalls deferred{clock};
  PolicyRunner decisions{std::make_unique<RecordingRouter>(heard), clock};
  RequestTable requests{clock, 7};
  AttemptExecution attempts{{.clock = clock,
                             .upstream = carrier,
                             .log = log,
                             .requests = requests,
                             .deferred = deferred,
                             .policy = decisions,
                             .counters = tally},
                            attempt_cap};
};

}  // namespace rushhill::core

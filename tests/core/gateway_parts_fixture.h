// A fixture with the parts of the gateway, between a routing policy and a transport that only record their
// calls.
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

// The events that the routing policy receives.
struct PolicyEvents {
  std::vector<RoutingRequest> requests;
  std::vector<AttemptEnd> attempt_ends;
  std::vector<ProbeEnd> probe_ends;
  std::vector<PrewarmEnd> prewarm_ends;
  std::vector<RequestId> cancelled_requests;
};

class RecordingPolicy final : public RoutingPolicy {
 public:
  explicit RecordingPolicy(PolicyEvents& policy_events) : events_(policy_events) {}
  void endpoints_updated(Timestamp, EndpointListForm, const std::vector<Endpoint>&) override {}
  void request_received(Timestamp, const RoutingRequest& request) override {
    events_.requests.push_back(request);
  }
  void response_started(Timestamp, RequestId, int) override {}
  void attempt_ended(Timestamp, const AttemptEnd& end) override { events_.attempt_ends.push_back(end); }
  void client_cancelled(Timestamp, RequestId request) override {
    events_.cancelled_requests.push_back(request);
  }
  void timer_fired(Timestamp, std::int64_t) override {}
  void probe_ended(Timestamp, const ProbeEnd& end) override { events_.probe_ends.push_back(end); }
  void prewarm_ended(Timestamp, const PrewarmEnd& end) override { events_.prewarm_ends.push_back(end); }
  void gossip_received(Timestamp, int, const std::string&) override {}
  void load_budget_restored(Timestamp, double) override {}

 private:
  PolicyEvents& events_;
};

struct RecordingTransport final : UpstreamTransport {
  struct SentAttempt {
    RequestId id;
    int number;
    EndpointId endpoint;
    Duration time_left;
  };
  void send(const AttemptCall& call) override {
    sent.push_back({.id = call.request,
                    .number = call.attempt_number,
                    .endpoint = call.endpoint,
                    .time_left = call.time_left});
  }
  void cancel(RequestId id, int number) override { cancelled_attempts.emplace_back(id, number); }
  bool cancel_unsent(RequestId id, int number) override { return unsent.contains({id, number}); }
  void cancel_all_unsent(const EndpointId&) override {}
  void probe(const EndpointId& endpoint, Duration) override { probes.push_back(endpoint); }
  void prewarm(const EndpointId& endpoint, const FunctionId&, int copies, Duration timeout) override {
    prewarms.emplace_back(endpoint, copies);
    prewarm_timeout = timeout;
  }
  void evict(const EndpointId& endpoint, const FunctionId&) override { evictions.push_back(endpoint); }
  void close_idle_connections(const EndpointId&) override {}
  void set_address(const EndpointId&, const std::string&) override {}

  std::vector<SentAttempt> sent;
  std::vector<std::pair<RequestId, int>> cancelled_attempts;
  std::set<std::pair<RequestId, int>> unsent;
  std::vector<EndpointId> probes, evictions;
  std::vector<std::pair<EndpointId, int>> prewarms;
  Duration prewarm_timeout{};
};

struct CountingLog final : EventLog {
  bool should_log(Level) const override { return true; }
  void write(Level level, const char*, Fields) override {
    if (level == Level::error) ++errors;
  }
  int errors = 0;
};

class GatewayPartsFixture : public testing::Test {
 protected:
  static constexpr Time second = 10'000;
  static constexpr int attempt_limit = 3;

  ManualClock clock;
  RecordingTransport transport;
  CountingLog log;
  PolicyEvents policy_events;
  Counters counters;
  DeferredCalls deferred{clock};
  PolicyRunner policy{std::make_unique<RecordingPolicy>(policy_events), clock};
  RequestTable requests{clock, 7};
  AttemptExecution attempts{{.clock = clock,
                             .upstream = transport,
                             .log = log,
                             .requests = requests,
                             .deferred = deferred,
                             .policy = policy,
                             .counters = counters},
                            attempt_limit};
};

}  // namespace rushhill::core

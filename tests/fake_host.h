// A fake host that records what the routing policy asks for, and a harness that drives a policy with that
// host.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "routing/routing_policy.h"

namespace rushhill {

constexpr Time second = 10'000;

struct FakeHost final : RoutingHost {
  struct Sent {
    RequestId event;
    EndpointId server;
  };
  struct Wake {
    std::int64_t token;
    Time at;
  };

  void send_attempt(RequestId request, const EndpointId& endpoint, const AttemptLimits&) override {
    shots.push_back({request, endpoint});
  }
  void cancel_attempt(RequestId request, int attempt_number) override {
    called_off.emplace_back(request, attempt_number);
  }
  void reject(RequestId request, Duration) override { sheds.push_back(request); }
  void fail(RequestId request) override { abandoned.push_back(request); }
  void set_timer(std::int64_t token, Timestamp at) override { wakes.push_back({token, to_ticks(at)}); }
  void probe(const EndpointId& endpoint) override { probes.push_back(endpoint); }
  void close_idle_connections(const EndpointId&) override {}
  void prewarm(const EndpointId& endpoint, const FunctionId& function, int copies) override {
    if (copies > 0) orders.emplace_back(endpoint, function);
  }
  void evict(const EndpointId&, const FunctionId&) override {}
  void send_gossip(int, const std::string& bytes) override { told.push_back(bytes); }
  void watch_endpoints(bool on) override { follows += on ? 1 : 0; }
  void resync_endpoints() override {}
  void log(const std::string&) override {}

  std::vector<Sent> shots;
  std::vector<std::pair<RequestId, int>> called_off;
  std::vector<RequestId> sheds;
  std::vector<RequestId> abandoned;
  std::vector<Wake> wakes;
  std::vector<std::pair<EndpointId, FunctionId>> orders;
  std::vector<EndpointId> probes;
  std::vector<std::string> told;
  int follows = 0;
};

// A routing policy with a fake host and a clock that the test advances.
struct RoutingPolicyHarness {
  RoutingPolicyHarness() {
    deployment.routers = 2;
    deployment.tick = to_duration(40);
    deployment.request_classes.push_back({.name = "lookup",
                                          .latency_objective = to_duration(second),
                                          .deadline_span = to_duration(3 * second)});
    deployment.slow_start.budget_multiple = 2;
    deployment.slow_start.budget_span = to_duration(second);
    deployment.slow_start.initial_capacity = 0.2;
    deployment.slow_start.warm_up_span = to_duration(10 * second);
    deployment.retries.attempt_limit = 4;
    deployment.retries.cancel_attempts = true;
    deployment.copies.prewarm = true;
    deployment.copies.state_is_reported = true;
    deployment.copies.keep_alive = to_duration(10 * second);
    deployment.copies.prewarm_timeout = to_duration(10 * second);
  }

  void start(int endpoint_count) {
    router = make_routing_policy(deployment, seed, host);
    std::vector<Endpoint> list;
    for (int i = 0; i < endpoint_count; ++i)
      list.push_back({.id = std::string(1, static_cast<char>('a' + i))});
    router->endpoints_updated(to_timestamp(now), EndpointListForm::complete, list);
  }
  void change(const Endpoint& endpoint) {
    router->endpoints_updated(to_timestamp(now), EndpointListForm::delta, {endpoint});
  }

  // Advances the clock by `span` and fires the timers that become due, in the order of their times.
  void pass(Time span) {
    const Time end = now + span;
    for (;;) {
      std::size_t next = host.wakes.size();
      for (std::size_t i = 0; i < host.wakes.size(); ++i) {
        if (host.wakes[i].at <= end && (next == host.wakes.size() || host.wakes[i].at < host.wakes[next].at))
          next = i;
      }
      if (next == host.wakes.size()) break;
      const FakeHost::Wake due_timer = host.wakes[next];
      host.wakes.erase(host.wakes.begin() + static_cast<std::ptrdiff_t>(next));
      now = std::max(now, due_timer.at);
      router->timer_fired(to_timestamp(now), due_timer.token);
    }
    now = end;
  }

  RequestId event(const FunctionId& function, Time time_left = 3 * second, const std::string& tenant = "") {
    router->request_received(to_timestamp(now), {.id = ++last,
                                                 .request_class = "lookup",
                                                 .tenant = tenant,
                                                 .function = function,
                                                 .time_left = to_duration(time_left),
                                                 .lanes = 2,
                                                 .load_time = to_duration(second / 2)});
    return last;
  }
  // Ends the newest attempt of the request.
  void end(RequestId id, AttemptOutcome outcome, CopyState copy_state = CopyState::loaded,
           Time taken = second / 10) {
    int attempt_number = -1;
    EndpointId endpoint;
    for (const auto& attempt : host.shots) {
      if (attempt.event == id) ++attempt_number, endpoint = attempt.server;
    }
    router->attempt_ended(to_timestamp(now), {.request = id,
                                              .attempt_number = attempt_number,
                                              .endpoint = endpoint,
                                              .outcome = outcome,
                                              .final = outcome == AttemptOutcome::succeeded,
                                              .taken = to_duration(taken),
                                              .copy_state = copy_state});
  }
  // Sends a request that succeeds after `taken`, and returns the endpoint that served it.
  EndpointId honour(const FunctionId& function, const std::string& tenant = "", Time taken = second / 10) {
    const RequestId id = event(function, 3 * second, tenant);
    const EndpointId endpoint = server_of(id);
    pass(taken);
    end(id, AttemptOutcome::succeeded, CopyState::loaded, taken);
    return endpoint;
  }
  // Serves one request each of `count` other functions. Without other traffic the first function requested
  // would count as hot.
  void others(int count) {
    for (int i = 0; i < count; ++i) honour("other" + std::to_string(i), "", second / 50);
  }
  EndpointId server_of(RequestId id) const {
    EndpointId endpoint;
    for (const auto& attempt : host.shots) {
      if (attempt.event == id) endpoint = attempt.server;
    }
    return endpoint;
  }
  int shots_of(RequestId id) const {
    int count = 0;
    for (const auto& attempt : host.shots) count += attempt.event == id ? 1 : 0;
    return count;
  }
  int shots_at(const EndpointId& endpoint) const {
    int count = 0;
    for (const auto& attempt : host.shots) count += attempt.server == endpoint ? 1 : 0;
    return count;
  }
  std::size_t finals() const { return host.sheds.size() + host.abandoned.size(); }

  RoutingConfiguration deployment;
  std::uint64_t seed = 7;
  FakeHost host;
  std::unique_ptr<RoutingPolicy> router;
  Time now = 100 * second;
  RequestId last = 0;
};

}  // namespace rushhill

// One tiny host that notes what the module asked for, and helpers to tell short stories.
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

  void send_attempt(RequestId event, const EndpointId& server, Duration) override {
    shots.push_back({event, server});
  }
  void cancel_attempt(RequestId event, int leg) override { called_off.emplace_back(event, leg); }
  void reject(RequestId event, Duration) override { sheds.push_back(event); }
  void fail(RequestId event) override { abandoned.push_back(event); }
  void set_timer(std::int64_t token, Timestamp at) override { wakes.push_back({token, to_ticks(at)}); }
  void probe(const EndpointId& server) override { probes.push_back(server); }
  void close_idle(const EndpointId&) override {}
  void prewarm(const EndpointId& server, const FunctionId& function, int copies) override {
    if (copies > 0) orders.emplace_back(server, function);
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

// A router with its host and a clock that only runs forward.
struct Story {
  Story() {
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

  void start(int servers) {
    router = make_routing_policy(deployment, seed, host);
    std::vector<Endpoint> list;
    for (int i = 0; i < servers; ++i) list.push_back({.id = std::string(1, static_cast<char>('a' + i))});
    router->endpoints_updated(to_timestamp(now), EndpointListForm::complete, list);
  }
  void change(const Endpoint& server) {
    router->endpoints_updated(to_timestamp(now), EndpointListForm::delta, {server});
  }

  // Lets time pass, ringing every bell that falls due.
  void pass(Time span) {
    const Time end = now + span;
    for (;;) {
      std::size_t next = host.wakes.size();
      for (std::size_t i = 0; i < host.wakes.size(); ++i) {
        if (host.wakes[i].at <= end && (next == host.wakes.size() || host.wakes[i].at < host.wakes[next].at))
          next = i;
      }
      if (next == host.wakes.size()) break;
      const FakeHost::Wake wake = host.wakes[next];
      host.wakes.erase(host.wakes.begin() + static_cast<std::ptrdiff_t>(next));
      now = std::max(now, wake.at);
      router->timer_fired(to_timestamp(now), wake.token);
    }
    now = end;
  }

  RequestId event(const FunctionId& function, Time left = 3 * second, const std::string& customer = "") {
    router->request_received(to_timestamp(now), {.id = ++last,
                                                 .request_class = "lookup",
                                                 .tenant = customer,
                                                 .function = function,
                                                 .time_left = to_duration(left),
                                                 .lanes = 2,
                                                 .load_time = to_duration(second / 2)});
    return last;
  }
  // Ends the newest shot of the event.
  void end(RequestId id, AttemptOutcome ending, CopyState warmth = CopyState::loaded,
           Time taken = second / 10) {
    int leg = -1;
    EndpointId server;
    for (const auto& shot : host.shots) {
      if (shot.event == id) ++leg, server = shot.server;
    }
    router->attempt_ended(to_timestamp(now), {.request = id,
                                              .attempt_number = leg,
                                              .endpoint = server,
                                              .outcome = ending,
                                              .final = ending == AttemptOutcome::succeeded,
                                              .taken = to_duration(taken),
                                              .copy_state = warmth});
  }
  // An event that is honoured after a tenth of a second.
  EndpointId honour(const FunctionId& function, const std::string& customer = "", Time taken = second / 10) {
    const RequestId id = event(function, 3 * second, customer);
    const EndpointId server = server_of(id);
    pass(taken);
    end(id, AttemptOutcome::succeeded, CopyState::loaded, taken);
    return server;
  }
  // Traffic of other functions, so that none of them is hot.
  void others(int events) {
    for (int i = 0; i < events; ++i) honour("other" + std::to_string(i), "", second / 50);
  }
  EndpointId server_of(RequestId id) const {
    EndpointId server;
    for (const auto& shot : host.shots) {
      if (shot.event == id) server = shot.server;
    }
    return server;
  }
  int shots_of(RequestId id) const {
    int count = 0;
    for (const auto& shot : host.shots) count += shot.event == id ? 1 : 0;
    return count;
  }
  int shots_at(const EndpointId& server) const {
    int count = 0;
    for (const auto& shot : host.shots) count += shot.server == server ? 1 : 0;
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

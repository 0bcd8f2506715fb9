// What the module costs for one event, its shot and its answer, by the size of the fleet. Housekeeping is in
// it: virtual time moves on by a router's usual pause between events.
#include <benchmark/benchmark.h>

#include <cmath>
#include <memory>
#include <string>
#include <vector>

#include "routing/routing_policy.h"

namespace rushhill {
namespace {

constexpr Time pause = 20;          // tenths of a millisecond between events: 500 a second
constexpr Time answer_after = 200;  // tenths of a millisecond
constexpr int functions = 500;

// Answers every attempt; fires what the module asked to be woken for.
class Answering final : public RoutingHost {
 public:
  void send_attempt(RequestId event, const EndpointId& server, const AttemptLimits&) override {
    shots.push_back({now, event, server});
  }
  void cancel_attempt(RequestId, int) override {}
  void reject(RequestId, Duration) override { ++given_up; }
  void fail(RequestId) override { ++given_up; }
  void set_timer(std::int64_t token, Timestamp at) override {
    if (token == 0) housekeeping = to_ticks(at);  // events end long before their limit
  }
  void probe(const EndpointId&) override {}
  void close_idle_connections(const EndpointId&) override {}
  void prewarm(const EndpointId&, const FunctionId&, int) override {}
  void evict(const EndpointId&, const FunctionId&) override {}
  void send_gossip(int, const std::string&) override {}
  void watch_endpoints(bool) override {}
  void resync_endpoints() override {}
  void log(const std::string&) override {}

  struct Out {
    Time sent = 0;
    RequestId event = 0;
    EndpointId server;
  };
  Time now = 10'000, housekeeping = 0;
  std::vector<Out> shots;
  std::int64_t given_up = 0;
};

void one_event(benchmark::State& state) {
  RoutingConfiguration deployment;
  deployment.routers = 10;
  deployment.tick = to_duration(10);
  deployment.retries.attempt_limit = 3;
  deployment.copies.state_is_reported = true;
  deployment.copies.keep_alive = to_duration(120'000);
  deployment.slow_start.warm_up_span = to_duration(160'000);
  deployment.slow_start.budget_span = to_duration(15'000);
  deployment.request_classes = {{.name = "lookup",
                                 .latency_objective = to_duration(7'500),
                                 .deadline_span = to_duration(25'000),
                                 .retry_safety = RetrySafety::idempotent}};
  Answering host;
  const auto router = make_routing_policy(deployment, 7, host);
  std::vector<Endpoint> fleet;
  for (int i = 0; i < state.range(0); ++i) fleet.push_back({.id = "box-" + std::to_string(i), .rating = 2});
  router->endpoints_updated(to_timestamp(host.now), EndpointListForm::complete, fleet);

  std::vector<std::string> names;
  for (int i = 0; i < functions; ++i) names.push_back("ward-" + std::to_string(i));
  std::size_t next = 0;
  RequestId id = 0;
  const auto turn = [&] {
    host.now += pause;
    if (host.housekeeping != 0 && host.now >= host.housekeeping)
      router->timer_fired(to_timestamp(host.now), 0);
    while (next < host.shots.size() && host.shots[next].sent + answer_after <= host.now) {
      const Answering::Out out = host.shots[next++];
      router->attempt_ended(to_timestamp(host.now), {.request = out.event,
                                                     .endpoint = out.server,
                                                     .final = true,
                                                     .taken = to_duration(answer_after),
                                                     .copy_state = CopyState::loaded});
    }
    if (next > 10'000) host.shots.erase(host.shots.begin(), host.shots.begin() + 10'000), next -= 10'000;
    // By Zipf's law, without a random number: the golden ratio's steps fill the unit interval evenly.
    const double even = std::fmod(static_cast<double>(++id) * 0.6180339887498949, 1.0);
    const auto which = static_cast<std::size_t>(std::pow(functions, even)) - 1;
    router->request_received(
        to_timestamp(host.now),
        {.id = id, .request_class = "lookup", .function = names[which], .time_left = to_duration(25'000)});
  };
  for (int i = 0; i < 20'000; ++i) turn();  // until it knows its fleet
  for (auto _ : state) turn();
  state.counters["given up"] =
      benchmark::Counter(static_cast<double>(host.given_up) / static_cast<double>(id));
}
BENCHMARK(one_event)->Arg(30)->Arg(90)->Arg(300)->Arg(1000)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace rushhill

BENCHMARK_MAIN();

#include "scale/gateway_harness.h"

#include "scale/assumptions.h"

namespace rushhill::scale {

RequestOutcomes& RequestOutcomes::operator+=(const RequestOutcomes& other) {
  answered += other.answered;
  in_time += other.in_time;
  given_up += other.given_up;
  cold += other.cold;
  cold_in_time += other.cold_in_time;
  return *this;
}

RequestOutcomes operator-(const RequestOutcomes& after, const RequestOutcomes& before) {
  return {.answered = after.answered - before.answered,
          .in_time = after.in_time - before.in_time,
          .given_up = after.given_up - before.given_up,
          .cold = after.cold - before.cold,
          .cold_in_time = after.cold_in_time - before.cold_in_time};
}

GatewayHarness::GatewayHarness(const RoutingConfiguration& configuration, SimulatedServers& servers,
                               core::PeerMessenger& peers, std::uint64_t seed)
    : servers_(servers), region_(region_of(configuration.location)), gateway_(configuration, seed,
                                                                              {.clock = servers.timers(),
                                                                               .upstream = *this,
                                                                               .peers = peers,
                                                                               .endpoint_lists = *this,
                                                                               .log = *this}),
      source_(gateway_.add_source(1)) {}

GatewayHarness::~GatewayHarness() {
  for (const auto& [key, attempt] : attempts_) servers_.at(attempt.server).cancel_job(attempt.job);
}

bool GatewayHarness::request(const std::string& function, RequestId number) {
  accepting_ = function;
  const auto id =
      gateway_.accept(source_, *this,
                      {.request_class = request_class_name,
                       .function = function,
                       .time_left = to_duration(request_deadline),
                       .load_time = to_duration(load_time)},
                      {.id = std::to_string(number), .source = "/clients", .type = request_class_name});
  // send() has already noted a request whose first attempt started at once.
  if (id) open_.try_emplace(*id, function, servers_.timers().now());
  accepting_.clear();
  return id.has_value();
}

void GatewayHarness::send(const core::AttemptCall& call) {
  const auto [open, is_first] = open_.try_emplace(call.request, accepting_, servers_.timers().now());
  const AttemptKey key{call.request, call.attempt_number};
  const Time now = servers_.timers().now();
  if (!servers_.is_reachable(call.endpoint, region_)) {
    fail_to_connect(key, call.endpoint);
    return;
  }
  const auto done = [this, key, alive = std::weak_ptr(alive_)](const simulation::JobResult& end) {
    servers_.timers().post([this, key, end, alive] {
      if (!alive.expired()) end_attempt(key, end);
    });
  };
  const simulation::FunctionSpec& function = servers_.function(open->second.function);
  const simulation::ServerModel::JobId job =
      servers_.at(call.endpoint)
          .take(
              {&function, execution_time, now + to_ticks(call.time_left)}, [] {}, done);
  attempts_[key] = {call.endpoint, job};
}

void GatewayHarness::fail_to_connect(const AttemptKey& attempt, const EndpointId& server) {
  attempts_[attempt] = {server, 0};
  const Time timeout_at = servers_.timers().now() + connect_timeout;
  servers_.timers().at(timeout_at, [this, attempt, alive = std::weak_ptr(alive_)] {
    if (alive.expired() || attempts_.erase(attempt) == 0) return;
    gateway_.attempt_ended(attempt.first, attempt.second,
                           {.outcome = AttemptOutcome::connect_failed, .report = {}, .reply = {}});
  });
}

void GatewayHarness::end_attempt(const AttemptKey& attempt, const simulation::JobResult& end) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  const bool reachable = servers_.is_reachable(it->second.server, region_);
  attempts_.erase(it);
  if (!reachable) return;  // the answer is lost
  const bool ran = end.outcome == simulation::JobOutcome::completed;
  if (ran && end.copy_state != CopyState::loaded) count_cold_answer(attempt.first);
  gateway_.attempt_ended(attempt.first, attempt.second,
                         {.outcome = ran ? AttemptOutcome::succeeded : AttemptOutcome::overloaded,
                          .copy_state = end.copy_state,
                          .in_flight = end.in_flight,
                          .report = {},
                          .reply = {}});
}

void GatewayHarness::count_cold_answer(RequestId request) {
  const auto open = open_.find(request);
  if (open == open_.end()) return;
  ++outcomes_.cold;
  const Time taken = servers_.timers().now() - open->second.accepted;
  outcomes_.cold_in_time += taken <= cold_start_target ? 1 : 0;
}

void GatewayHarness::cancel(RequestId request, int attempt_number) {
  const auto it = attempts_.find({request, attempt_number});
  if (it == attempts_.end()) return;
  servers_.at(it->second.server).cancel_job(it->second.job);
  attempts_.erase(it);
}

void GatewayHarness::probe(const EndpointId& endpoint, Duration /*timeout*/) {
  servers_.timers().post([this, endpoint, alive = std::weak_ptr(alive_)] {
    if (alive.expired()) return;
    const double utilisation = servers_.at(endpoint).utilization();
    gateway_.probe_ended(endpoint, AttemptOutcome::succeeded, {{utilisation_field, utilisation}});
  });
}

void GatewayHarness::prewarm(const EndpointId& endpoint, const FunctionId& function, int copies,
                             Duration /*timeout*/) {
  const auto held = [this, endpoint, function, alive = std::weak_ptr(alive_)](
                        simulation::JobOutcome job_outcome, int copies_loaded) {
    servers_.timers().post([this, endpoint, function, job_outcome, copies_loaded, alive] {
      if (alive.expired()) return;
      const AttemptOutcome outcome = job_outcome == simulation::JobOutcome::completed
                                         ? AttemptOutcome::succeeded
                                         : AttemptOutcome::overloaded;
      gateway_.prewarm_ended(endpoint, function, outcome, copies_loaded);
    });
  };
  servers_.at(endpoint).prewarm(servers_.function(function), copies, held);
}

void GatewayHarness::succeeded(RequestId request, events::CloudEvent /*reply*/) {
  const auto it = open_.find(request);
  ++outcomes_.answered;
  if (it == open_.end()) return;
  const Time taken = servers_.timers().now() - it->second.accepted;
  outcomes_.in_time += taken <= latency_target ? 1 : 0;
  open_.erase(it);
}

void GatewayHarness::rejected(RequestId request, Duration /*retry_after*/) {
  outcomes_.given_up += open_.erase(request) > 0 ? 1 : 0;
}

void GatewayHarness::failed(RequestId request) { outcomes_.given_up += open_.erase(request) > 0 ? 1 : 0; }

}  // namespace rushhill::scale

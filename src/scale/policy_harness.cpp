#include "scale/policy_harness.h"

#include <algorithm>

#include "scale/assumptions.h"
#include "scale/process_usage.h"

namespace rushhill::scale {
namespace {

constexpr std::int64_t tick_token = 0;        // of the policy's periodic timer
constexpr double reported_utilisation = 0.5;  // of every server that is probed
constexpr Time start_time = second;

}  // namespace

PolicyHarness::PolicyHarness(const FleetSize& fleet, Counter& counter, std::uint64_t seed)
    : fleet_(fleet), meters_{.requests = Meter(counter), .ticks = Meter(counter), .lists = Meter(counter)},
      servers_(server_list(fleet.servers)), picker_(fleet, seed), now_(start_time),
      next_request_at_(static_cast<double>(start_time)) {
  for (std::size_t i = 0; i < servers_.size(); ++i) server_index_[servers_[i].id] = i;
  for (int i = 0; i < fleet.functions; ++i) function_names_.push_back(function_name(i));
  policy_ = make_routing_policy(configuration_of(fleet), seed, *this);
  send_complete_list();
}

PolicyHarness::~PolicyHarness() = default;

void PolicyHarness::clear() {
  meters_.requests.clear();
  meters_.ticks.clear();
  meters_.lists.clear();
  tally_ = {};
}

double PolicyHarness::end_policy() {
  const double before = allocated_bytes();
  policy_.reset();
  return before - allocated_bytes();
}

void PolicyHarness::send_complete_list() {
  meters_.lists.begin();
  policy_->endpoints_updated(to_timestamp(now_), EndpointListForm::complete, servers_);
  meters_.lists.end();
}

void PolicyHarness::restart_server(int server) {
  Endpoint& restarted = servers_[static_cast<std::size_t>(server) % servers_.size()];
  // A start that is new to the policy, yet so long ago that the server is not warming up.
  restarted.started = to_timestamp(++restarts_);
  meters_.lists.begin();
  policy_->endpoints_updated(to_timestamp(now_), EndpointListForm::delta, {restarted});
  meters_.lists.end();
}

void PolicyHarness::send_request() {
  const int function = picker_.next();
  const RequestId id = ++last_request_;
  function_of_[id] = function;
  functions_met_.insert(function);
  RoutingRequest request{.id = id,
                         .request_class = request_class_name,
                         .function = function_names_[static_cast<std::size_t>(function)],
                         .time_left = to_duration(request_deadline),
                         .load_time = to_duration(load_time)};
  if (fleet_.tenants > 0) request.tenant = tenant_prefix + std::to_string(id % fleet_.tenants);
  ++tally_.received;
  meters_.requests.begin();
  policy_->request_received(to_timestamp(now_), request);
  meters_.requests.end();
}

void PolicyHarness::run(Time span) {
  const Time until = now_ + span;
  for (;;) {
    const Time event_at = events_.empty() ? until + 1 : events_.top().at;
    const auto request_at = static_cast<Time>(next_request_at_);
    if (std::min(event_at, request_at) > until) break;
    if (event_at <= request_at) {
      const Event event = events_.top();
      events_.pop();
      now_ = std::max(now_, event.at);
      fire(event);
    } else {
      now_ = std::max(now_, request_at);
      next_request_at_ += static_cast<double>(second) / fleet_.requests_per_second;
      send_request();
    }
    end_probes();
  }
  now_ = until;
}

void PolicyHarness::fire(const Event& event) {
  if (event.is_attempt_end) {
    end_attempt(event);
  } else {
    fire_timer(event.token);
  }
}

void PolicyHarness::fire_timer(std::int64_t token) {
  Meter& meter = token == tick_token ? meters_.ticks : meters_.requests;
  meter.begin();
  policy_->timer_fired(to_timestamp(now_), token);
  meter.end();
}

void PolicyHarness::end_attempt(const Event& attempt) {
  const AttemptEnd end{.request = attempt.request,
                       .endpoint = servers_[attempt.server].id,
                       .final = true,
                       .taken = to_duration(now_ - attempt.sent),
                       .copy_state = attempt.copy_loaded ? CopyState::loaded : CopyState::load_started};
  function_of_.erase(attempt.request);
  meters_.requests.begin();
  policy_->attempt_ended(to_timestamp(now_), end);
  meters_.requests.end();
}

void PolicyHarness::end_probes() {
  for (const EndpointId& server : std::exchange(probed_, {})) {
    policy_->probe_ended(to_timestamp(now_), {.endpoint = server,
                                              .taken = to_duration(execution_time),
                                              .report = {{utilisation_field, reported_utilisation}}});
  }
}

void PolicyHarness::send_attempt(RequestId request, const EndpointId& endpoint,
                                 const AttemptLimits& /*limits*/) {
  ++tally_.attempts;
  const std::size_t server = server_index_.at(endpoint);
  const auto [copy, is_new] = copy_used_.try_emplace({server, function_of_.at(request)}, now_);
  const bool loaded = !is_new && now_ - copy->second < copy_idle_limit;
  copy->second = now_;
  events_.push({.at = now_ + (loaded ? execution_time : execution_time + load_time),
                .request = request,
                .server = server,
                .sent = now_,
                .copy_loaded = loaded,
                .is_attempt_end = true});
}

void PolicyHarness::reject(RequestId request, Duration /*retry_after*/) {
  ++tally_.rejected;
  function_of_.erase(request);
}

void PolicyHarness::fail(RequestId request) {
  ++tally_.failed;
  function_of_.erase(request);
}

void PolicyHarness::set_timer(std::int64_t token, Timestamp at) {
  events_.push({.at = to_ticks(at), .token = token});
}

void PolicyHarness::probe(const EndpointId& endpoint) { probed_.push_back(endpoint); }

void PolicyHarness::send_gossip(int /*router*/, const std::string& bytes) {
  ++tally_.gossip_messages;
  tally_.gossip_bytes += static_cast<std::int64_t>(bytes.size());
}

}  // namespace rushhill::scale

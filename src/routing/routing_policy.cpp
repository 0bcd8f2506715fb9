// The routing policy of one router: passes each event to the parts that make the decisions.
#include "routing/routing_policy.h"

#include <algorithm>
#include <set>
#include <utility>

#include "routing/attempt_feedback.h"
#include "routing/endpoint_monitor.h"
#include "routing/periodic_maintenance.h"
#include "routing/request_dispatcher.h"
#include "routing/routing_parts.h"

namespace rushhill {
namespace {

using routing::Attempt;
using routing::EndpointRecord;
using routing::TrackedRequest;

// Timer tokens: 0 is periodic maintenance, and a request's answer deadline uses its id plus one.
constexpr std::int64_t maintenance_token = 0;
constexpr std::int64_t timer_token_of(RequestId id) { return id + 1; }
constexpr RequestId request_id_of(std::int64_t token) { return token - 1; }

class DefaultRoutingPolicy final : public RoutingPolicy {
 public:
  DefaultRoutingPolicy(const RoutingConfiguration& configuration, std::uint64_t seed, RoutingHost& host)
      : parts_(configuration, seed, host), monitor_(parts_), feedback_(parts_, monitor_),
        dispatcher_(parts_, monitor_), maintenance_(parts_, monitor_, dispatcher_) {}

  void endpoints_updated(Timestamp now, EndpointListForm form,
                         const std::vector<Endpoint>& endpoints) override {
    if (!parts_.observation.started()) start(now);
    const bool list_is_old = form == EndpointListForm::cached || form == EndpointListForm::failed;
    watch_pending_ |= parts_.configuration.endpoint_watch_on_request && list_is_old;
    if (form == EndpointListForm::failed) return;
    parts_.endpoints.increment_version();
    for (const Endpoint& endpoint : endpoints) update_endpoint(now, endpoint);
    if (form != EndpointListForm::delta) remove_unlisted(now, endpoints);
    dispatcher_.dispatch_waiting(now);
  }

  void request_received(Timestamp now, const RoutingRequest& request) override {
    parts_.load_budget.count_request(now);
    TrackedRequest& tracked = track(now, request);
    record_function_request(now, request);
    parts_.observation.request_received(now);
    tracked.over_quota = !parts_.tenant_quotas.take_token(now, request.tenant);
    if (request.time_left <= parts_.configuration.tick) {
      dispatcher_.reject_or_fail(tracked, Duration::zero());
      return;
    }
    parts_.host.set_timer(timer_token_of(request.id), tracked.answer_deadline);
    // In an overload every router rejects about the same share at once, so that the remaining requests are in
    // time.
    const double share = parts_.overload.share_to_reject(now, request.tenant);
    if (routing::RetryPolicy::may_reject(tracked) && parts_.random.draw() < share) {
      dispatcher_.shed_request(tracked);
      return;
    }
    dispatcher_.dispatch(now, tracked);
  }

  // NOLINTNEXTLINE(bugprone-easily-swappable-parameters): given by the interface; the id has 64 bits
  void response_started(Timestamp, RequestId id, int attempt_number) override {
    if (TrackedRequest* const tracked = parts_.requests.find(id)) tracked->streaming_attempt = attempt_number;
  }

  void attempt_ended(Timestamp now, const AttemptEnd& end) override {
    TrackedRequest* const tracked = parts_.requests.find(end.request);
    if (tracked == nullptr) return;
    if (end.final) tracked->done = true;
    Attempt* const attempt = tracked->find_open_attempt(end.attempt_number);
    if (attempt == nullptr) return;
    attempt->end(end.outcome);
    feedback_.attempt_ended(now, *tracked, *attempt, end);
    if (tracked->done) dispatcher_.cancel_open_attempts(*tracked);
    if (tracked->streaming_attempt == end.attempt_number) {
      tracked->streaming_attempt = TrackedRequest::no_attempt;
    }
    if (!tracked->done) dispatch_next_attempt(now, end, *tracked);
  }

  void client_cancelled(Timestamp, RequestId id) override {
    TrackedRequest* const tracked = parts_.requests.find(id);
    if (tracked == nullptr) return;
    tracked->done = true;
    dispatcher_.cancel_open_attempts(*tracked);
  }

  void timer_fired(Timestamp now, std::int64_t token) override {
    if (token == maintenance_token) {
      run_maintenance(now);
      return;
    }
    TrackedRequest* const tracked = parts_.requests.find(request_id_of(token));
    if (tracked == nullptr || tracked->done || tracked->streaming()) return;
    dispatcher_.end_unanswered(*tracked);
  }

  void probe_ended(Timestamp now, const ProbeEnd& end) override { monitor_.probe_ended(now, end); }

  void gossip_received(Timestamp now, int, const std::string& bytes) override {
    monitor_.gossip_received(now, bytes);
  }

  void load_budget_restored(Timestamp now, double orders) override {
    parts_.load_budget.add_earlier_orders(now, orders);
  }

  void prewarm_ended(Timestamp now, const PrewarmEnd& end) override {
    parts_.load_budget.order_ended();
    const bool loaded = end.outcome == AttemptOutcome::succeeded || end.copies > 0;
    parts_.functions.at(end.function).copies.at(end.endpoint).prewarm_ended(now, loaded);
    dispatcher_.dispatch_waiting(now);
  }

 private:
  void start(Timestamp now) {
    parts_.observation.start(now);
    maintenance_.start(now);
    schedule_maintenance(now);
  }

  void schedule_maintenance(Timestamp now) {
    parts_.host.set_timer(maintenance_token, now + routing::PeriodicMaintenance::period);
  }

  void run_maintenance(Timestamp now) {
    schedule_maintenance(now);
    if (std::exchange(watch_pending_, false)) parts_.host.watch_endpoints(true);
    maintenance_.run(now);
  }

  void update_endpoint(Timestamp now, const Endpoint& endpoint) {
    const routing::EndpointUpdate update = parts_.endpoints.update(endpoint);
    EndpointRecord& record = update.record;
    if (update.added) parts_.warm_up.endpoint_added(record);
    if (update.restarted) {
      record.outlier.endpoint_restarted();
      record.liveness.forget_restart();
      record.history.clear();
      parts_.functions.forget_copies(endpoint.id);
    }
    if (endpoint.state == EndpointState::removed) remove_endpoint(now, record);
  }

  void remove_unlisted(Timestamp now, const std::vector<Endpoint>& endpoints) {
    std::set<EndpointId> named;
    for (const Endpoint& endpoint : endpoints) named.insert(endpoint.id);
    for (auto& [id, record] : parts_.endpoints.records()) {
      if (!named.contains(id)) remove_endpoint(now, record);
    }
  }

  void remove_endpoint(Timestamp now, EndpointRecord& record) {
    parts_.endpoints.remove(now, record);
    parts_.functions.forget_copies(record.endpoint.id);
  }

  TrackedRequest& track(Timestamp now, const RoutingRequest& request) {
    TrackedRequest& tracked = parts_.requests.add(request);
    tracked.class_estimate = &parts_.estimates.of_class(request.request_class);
    tracked.answer_deadline = now + request.time_left - parts_.configuration.tick;
    // The objective grows with the request's own work, up to the deadline.
    const RequestClass& request_class = tracked.request_class();
    const auto stretch = std::chrono::duration_cast<Duration>(request_class.latency_objective_stretch *
                                                              FractionalDuration{request.work});
    const Duration stretched =
        std::min(request_class.deadline_span, request_class.latency_objective + stretch);
    tracked.objective = now + std::max(request_class.latency_objective, stretched);
    return tracked;
  }

  void record_function_request(Timestamp now, const RoutingRequest& request) {
    parts_.functions.make_room();
    routing::FunctionRecord& function = parts_.functions.at(request.function);
    function.lanes = std::max(request.lanes, 1.0);
    function.requested_at = now;
    function.placement.count_request(now);
    function.times.set_load_time(request.load_time);
  }

  void dispatch_next_attempt(Timestamp now, const AttemptEnd& end, TrackedRequest& tracked) {
    if (end.outcome == AttemptOutcome::function_missing &&
        dispatcher_.wait_for_prewarm(now, end.endpoint, tracked)) {
      return;
    }
    if (!tracked.streaming() && !tracked.has_open_attempt()) dispatcher_.dispatch(now, tracked);
  }

  routing::RoutingParts parts_;
  routing::EndpointMonitor monitor_;
  routing::AttemptFeedback feedback_;
  routing::RequestDispatcher dispatcher_;
  routing::PeriodicMaintenance maintenance_;
  bool watch_pending_ = false;  // whether the next maintenance starts the watch of the endpoint list
};

}  // namespace

std::unique_ptr<RoutingPolicy> make_routing_policy(const RoutingConfiguration& configuration,
                                                   std::uint64_t seed, RoutingHost& host) {
  return std::make_unique<DefaultRoutingPolicy>(configuration, seed, host);
}

}  // namespace rushhill

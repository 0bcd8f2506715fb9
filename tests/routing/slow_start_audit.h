// Compares what simulated endpoints receive while they warm up with what rule 4 permits.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <string>

#include "simulated_endpoint.h"

namespace rushhill {

// Sums over all routers, by endpoint. N is the number of requests that the rule permits a cold endpoint
// within the budget span at its present capacity.
class SlowStartAudit {
 public:
  explicit SlowStartAudit(const FleetScenario& scenario) : scenario_(scenario) {}

  // A process of the endpoint has started.
  void process_started(Time now, const SimulatedEndpoint& endpoint) {
    Account& account = accounts_[endpoint.list_entry().id];
    account.permitted_until = now;
    account.recent.clear();
  }

  // The endpoint has received a request, probe or order. It does not count if its router has not been
  // notified of the endpoint's start yet.
  void received(Time now, const SimulatedEndpoint& endpoint, bool router_notified) {
    Account& account = accounts_[endpoint.list_entry().id];
    while (!account.recent.empty() && account.recent.front() <= now - budget_span) account.recent.pop_front();
    const Time age = now - endpoint.started();
    if (!router_notified || endpoint.warm_from_start() || age >= scenario_.warm_up_span) return;
    account.recent.push_back(now);
    const double budget = permitted(now, endpoint);
    received_cold_ += add_permitted(now, endpoint) ? 1 : 0;
    const auto received = static_cast<double>(account.recent.size());
    worst_excess_ = std::max(worst_excess_, (received - budget) / (2 * std::sqrt(budget) + 2));
    const double share = received / (budget + 3 * std::sqrt(budget) + 3);
    if (share <= worst_share_) return;
    worst_share_ = share;
    worst_description_ = std::to_string(account.recent.size()) +
                         " requests, orders and probes received where " + std::to_string(budget) +
                         " are permitted, " + std::to_string(age / second) + " s after the endpoint's start";
  }

  // Adds what the endpoint was permitted since the last call. Returns whether it added anything: not for a
  // warm endpoint, and not before every router was notified of its start.
  bool add_permitted(Time until, const SimulatedEndpoint& endpoint) {
    if (endpoint.warm_from_start()) return false;
    Account& account = accounts_[endpoint.list_entry().id];
    const Time end = std::min(until, endpoint.started() + scenario_.warm_up_span);
    const Time begin =
        std::max(account.permitted_until, endpoint.started() + scenario_.max_notification_delay);
    account.permitted_until = std::max(begin, end);
    if (end <= begin) return false;
    permitted_ +=
        permitted(until, endpoint) * static_cast<double>(end - begin) / static_cast<double>(budget_span);
    return true;
  }

  // The maximum number of requests that a cold endpoint received within the span, over N + 3 * sqrt(N) + 3.
  double worst_share() const { return worst_share_; }
  const std::string& worst_description() const { return worst_description_; }
  // The maximum number beyond N that a cold endpoint received within the span, over 2 * sqrt(N) + 2.
  double worst_excess() const { return worst_excess_; }
  // The share of the permitted requests that cold endpoints received while every router knew of their start.
  double used_share() const { return permitted_ > 0 ? received_cold_ / permitted_ : 0; }

 private:
  struct Account {
    std::deque<Time> recent;   // received within the budget span
    Time permitted_until = 0;  // up to this time, what it was permitted has been added
  };

  double permitted(Time now, const SimulatedEndpoint& endpoint) const {
    return budget_multiple * endpoint.capacity(now, scenario_) * scenario_.cores *
           static_cast<double>(budget_span) / static_cast<double>(scenario_.work);
  }

  FleetScenario scenario_;
  std::map<EndpointId, Account> accounts_;
  double worst_share_ = 0;
  double worst_excess_ = -1;
  std::string worst_description_;
  double received_cold_ = 0;
  double permitted_ = 0;
};

}  // namespace rushhill

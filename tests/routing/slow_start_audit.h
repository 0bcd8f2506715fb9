// Counts at simulated endpoints what rule 4 permits a cold one and what it got.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <string>

#include "simulated_endpoint.h"

namespace rushhill {

// Sums over all routers, by endpoint. N is what the rule permits a cold endpoint now within the budget span.
class SlowStartAudit {
 public:
  explicit SlowStartAudit(const FleetScenario& scenario) : scenario_(scenario) {}

  // A process of the endpoint has started.
  void started(Time now, const SimulatedEndpoint& endpoint) {
    Account& account = accounts_[endpoint.listed().id];
    account.permitted_until = now;
    account.recent.clear();
  }

  // A request, probe or order came. What routers send that have not been notified of the start yet does not
  // count against the rule.
  void received(Time now, const SimulatedEndpoint& endpoint, bool router_notified) {
    Account& account = accounts_[endpoint.listed().id];
    while (!account.recent.empty() && account.recent.front() <= now - budget_span) account.recent.pop_front();
    const Time age = now - endpoint.started();
    if (!router_notified || endpoint.warm_from_the_first() || age >= scenario_.warm_up_span) return;
    account.recent.push_back(now);
    const double budget = permitted(now, endpoint);
    received_cold_ += add_permitted(now, endpoint) ? 1 : 0;
    const auto received = static_cast<double>(account.recent.size());
    worst_excess_ = std::max(worst_excess_, (received - budget) / (2 * std::sqrt(budget) + 2));
    const double share = received / (budget + 3 * std::sqrt(budget) + 3);
    if (share <= worst_share_) return;
    worst_share_ = share;
    worst_description_ = std::to_string(account.recent.size()) + " where " + std::to_string(budget) +
                         " were allowed, " + std::to_string(age / second) + " s after its start";
  }

  // Adds up what the endpoint was permitted since the last time; whether all routers knew of its start.
  bool add_permitted(Time until, const SimulatedEndpoint& endpoint) {
    if (endpoint.warm_from_the_first()) return false;
    Account& account = accounts_[endpoint.listed().id];
    const Time end = std::min(until, endpoint.started() + scenario_.warm_up_span);
    const Time begin = std::max(account.permitted_until, endpoint.started() + scenario_.notified_within);
    account.permitted_until = std::max(begin, end);
    if (end <= begin) return false;
    permitted_ +=
        permitted(until, endpoint) * static_cast<double>(end - begin) / static_cast<double>(budget_span);
    return true;
  }

  // The most that a cold endpoint got within the span, over N + 3 x root of N + 3.
  double worst_share() const { return worst_share_; }
  const std::string& worst_description() const { return worst_description_; }
  // The most that a cold endpoint got within the span beyond N, over 2 x root of N + 2.
  double worst_excess() const { return worst_excess_; }
  // What cold endpoints got while every router knew of them, of all that the rule permits.
  double used() const { return permitted_ > 0 ? received_cold_ / permitted_ : 0; }

 private:
  struct Account {
    std::deque<Time> recent;   // received within the budget span
    Time permitted_until = 0;  // what it was permitted is added up until then
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

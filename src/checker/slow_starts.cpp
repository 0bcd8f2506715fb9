// Rule 4: a server in slow start is not overloaded by routers that know of its start.
#include <algorithm>
#include <iomanip>
#include <iterator>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "checker/rules.h"
#include "simulation/slow_start.h"

namespace rushhill::checker {
namespace {

constexpr double informed_share = 2.0 / 3;  // of what overloaded a server, from routers that knew
// Whatever discovery has not reported by then counts as reported; what the day lets it lag comes on top.
constexpr Ns reported_at_latest = 4'000 * millisecond;

using Attempts = std::vector<const Attempt*>;  // at one server, in their order of time

// What reached a server since it started, within the budget's span. Each request counts as one of mean work,
// also one that was rejected.
struct Load {
  double sent = 0;
  double informed = 0;  // of it, from routers that knew of the start
  bool by_informed() const { return informed >= informed_share * sent; }
};

class SlowStartCheck {
 public:
  SlowStartCheck(const Day& day, Finding& rule) : rules_(day.rules), history_(day.history), rule_(rule) {
    for (const auto& [id, attempts] : history_.attempts) {
      for (const Attempt& attempt : attempts) by_server_[attempt.server].push_back(&attempt);
    }
    for (auto& [server, attempts] : by_server_) std::ranges::sort(attempts, {}, &Attempt::at);
  }

  void run() {
    for (const auto& [server, attempts] : by_server_) {
      const auto incarnations = history_.incarnations.find(server);
      if (incarnations == history_.incarnations.end()) continue;
      for (const Incarnation& incarnation : incarnations->second) {
        if (incarnation.cold) check_incarnation(incarnation, attempts);
      }
    }
    for (const Overload& overload : history_.overloads)
      rule_.check(!caused_by_routers(overload), overload.server + " fell over");
  }

 private:
  // Whether the router of an attempt had been notified of that start of the server.
  bool knew(const Attempt& attempt, const Incarnation& incarnation) const {
    if (attempt.at >= incarnation.at + reported_at_latest + rules_.discovery_lag) return true;
    const auto updates = history_.updates.find({attempt.router, attempt.server});
    if (updates == history_.updates.end()) return false;
    return std::ranges::any_of(updates->second, [&](const EndpointUpdate& update) {
      return update.latest >= incarnation.at && update.latest <= attempt.at && !update.leaving;
    });
  }

  // Within the span that ends at that moment.
  Load load_at(Ns at, const Incarnation& incarnation, const Attempts& attempts) const {
    Load load;
    const auto end = std::ranges::upper_bound(attempts, at, {}, &Attempt::at);
    for (auto it = end; it != attempts.begin();) {
      const Attempt& attempt = **--it;
      if (attempt.at < incarnation.at || attempt.at <= at - rules_.budget_span) break;
      load.sent += 1;
      load.informed += knew(attempt, incarnation) ? 1 : 0;
    }
    return load;
  }

  // In requests of mean work.
  double budget_at(Ns at, const Incarnation& incarnation) const {
    const double age = static_cast<double>(at - incarnation.at) / static_cast<double>(rules_.warm_up_span);
    const double capacity = rules_.initial_capacity + (1 - rules_.initial_capacity) * age;
    const double able =
        incarnation.cores * incarnation.speed * capacity * static_cast<double>(rules_.budget_span / day_tick);
    return simulation::slow_start_budget(rules_.budget_multiple * able / rules_.mean_work);
  }

  void check_incarnation(const Incarnation& incarnation, const Attempts& attempts) {
    for (const Attempt* attempt : attempts) {
      const Ns at = attempt->at;
      if (at < incarnation.at || at >= incarnation.at + rules_.warm_up_span) continue;
      const Load load = load_at(at, incarnation, attempts);
      const double budget = budget_at(at, incarnation);
      std::ostringstream words;
      words << attempt->server << " was sent " << load.sent << " requests where " << std::setprecision(3)
            << budget << " are its budget, " << (at - incarnation.at) / millisecond << " ms after its start";
      const bool overloaded = load.sent > budget && load.by_informed();
      rule_.check(!overloaded, words.str());
    }
  }

  // Whether an overload is the routers' breach: two thirds of what made it came from those that had been
  // notified of the start. One that the records do not explain counts as such.
  bool caused_by_routers(const Overload& overload) const {
    const auto incarnations = history_.incarnations.find(overload.server);
    if (incarnations == history_.incarnations.end()) return true;
    const auto after = std::ranges::upper_bound(incarnations->second, overload.at, {}, &Incarnation::at);
    if (after == incarnations->second.begin() || !std::prev(after)->cold) return true;
    static const Attempts none;
    const auto attempts = by_server_.find(overload.server);
    return load_at(overload.at, *std::prev(after), attempts == by_server_.end() ? none : attempts->second)
        .by_informed();
  }

  const DayRules& rules_;
  const History& history_;
  Finding& rule_;
  std::map<std::string, Attempts> by_server_;
};

}  // namespace

void check_slow_starts(const Day& day, Verdict& verdict) {
  SlowStartCheck(day, verdict.rules["4 cold servers not pushed over"]).run();
}

}  // namespace rushhill::checker

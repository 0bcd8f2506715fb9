// Rule 5: no router orders more loads within a window than its requests permit.
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "checker/rules.h"

namespace rushhill::checker {
namespace {

// Requests that a router can have read within the window that ends with the order, generously counted.
std::int64_t requests_before(const LoadOrder& order, const Day& day) {
  const auto found = day.history.arrivals.find(order.router);
  if (found == day.history.arrivals.end()) return 0;
  return found->second.within({.from = order.at - day.rules.load_window - transit, .to = order.at});
}

}  // namespace

void check_load_budgets(const Day& day, Verdict& verdict) {
  Finding& rule = verdict.rules["5 loads rationed"];
  if (day.rules.load_window <= 0) return;
  std::map<int, std::vector<Ns>> ordered;  // by router
  for (const LoadOrder& order : day.history.orders) {
    std::vector<Ns>& before = ordered[order.router];
    before.push_back(order.at);
    const auto orders =
        std::ranges::count_if(before, [&](Ns at) { return at > order.at - day.rules.load_window + transit; });
    const double permitted =
        day.rules.free_loads + day.rules.loads_per_request * static_cast<double>(requests_before(order, day));
    rule.check(static_cast<double>(orders) <= permitted, "router " + std::to_string(order.router) + " gave " +
                                                             std::to_string(orders) + " orders where " +
                                                             std::to_string(permitted) + " were permitted");
  }
}

}  // namespace rushhill::checker

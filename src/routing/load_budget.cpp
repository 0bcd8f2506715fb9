#include "routing/load_budget.h"

namespace rushhill::routing {

LoadBudget::LoadBudget(const LoadBudgetLimits& limits)
    : limits_(limits), orders_(part_of(limits.window)), requests_(part_of(limits.window)) {}

void LoadBudget::request_taken(Timestamp now) {
  if (limits_.window > Duration::zero()) requests_.bucket_at(now) += 1;
}

void LoadBudget::order_sent(Timestamp now) {
  ++pending_orders_;
  orders_.bucket_at(now) += 1;
}

void LoadBudget::order_ended() {
  if (pending_orders_ > 0) --pending_orders_;
}

void LoadBudget::earlier_orders_known(Timestamp now, double orders) {
  orders_.bucket_at(now) += orders;
  earlier_orders_known_ = true;
}

bool LoadBudget::allows_order(Timestamp now) const {
  if (!limits_.orders_permitted || pending_orders_ >= max_pending_orders) return false;
  if (limits_.window <= Duration::zero()) return true;
  if (limits_.earlier_orders_follow && !earlier_orders_known_) return false;
  const double requests = requests_.total(now, window_parts);
  const double permitted = limits_.free_orders + limits_.orders_per_request * requests;
  return orders_.total(now) + 1 <= permitted;
}

Duration LoadBudget::part_of(Duration window) { return (window + Duration{window_parts - 1}) / window_parts; }

}  // namespace rushhill::routing

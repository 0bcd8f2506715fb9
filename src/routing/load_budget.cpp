#include "routing/load_budget.h"

namespace rushhill::routing {

LoadBudget::LoadBudget(const LoadBudgetLimits& limits)
    : limits_(limits), orders_(bucket_width_of(limits.window)), requests_(bucket_width_of(limits.window)) {}

void LoadBudget::count_request(Timestamp now) {
  if (limits_.window > Duration::zero()) requests_.bucket_at(now) += 1;
}

void LoadBudget::order_sent(Timestamp now) {
  ++pending_orders_;
  orders_.bucket_at(now) += 1;
}

void LoadBudget::order_ended() {
  if (pending_orders_ > 0) --pending_orders_;
}

void LoadBudget::add_earlier_orders(Timestamp now, double orders) {
  orders_.bucket_at(now) += orders;
  earlier_orders_known_ = true;
}

bool LoadBudget::allows_order(Timestamp now) const {
  if (!limits_.orders_permitted || pending_orders_ >= max_pending_orders) return false;
  if (limits_.window <= Duration::zero()) return true;
  if (limits_.earlier_orders_expected && !earlier_orders_known_) return false;
  const double requests = requests_.total(now, buckets_per_window);
  const double permitted = limits_.free_orders + limits_.orders_per_request * requests;
  return orders_.total(now) + 1 <= permitted;
}

Duration LoadBudget::bucket_width_of(Duration window) {
  return (window + Duration{buckets_per_window - 1}) / buckets_per_window;
}

}  // namespace rushhill::routing

// Rate limit of prewarm orders, per router (rule 5; docs/design.md, "Five rules").
//
// Within any load window a router may order a fixed number of loads, and a number more for each request that
// it received. Orders and requests are counted in buckets that err on the safe side: an order counts for
// slightly longer than the window, a request for slightly less. Only a few orders may be pending at once,
// because all servers load functions from the same store, which is easily overloaded.
#pragma once

#include <cstddef>

#include "routing/sliding_window.h"
#include "routing/time.h"

namespace rushhill::routing {

// The limits on the prewarm orders of one router.
struct LoadBudgetLimits {
  bool orders_permitted = false;
  Duration window{};              // 0 if only pending orders are limited
  double free_orders = 0;         // orders within a window that need no request
  double orders_per_request = 0;  // additional orders for each request within a window
  // Whether the orders from before a restart are reported after the start. Until then none is allowed.
  bool earlier_orders_expected = false;
};

// Counts this router's prewarm orders and decides whether one more is allowed.
class LoadBudget {
 public:
  explicit LoadBudget(const LoadBudgetLimits& limits);

  void count_request(Timestamp now);
  void order_sent(Timestamp now);
  void order_ended();
  // Adds orders from before this router's restart that still count against the budget.
  void add_earlier_orders(Timestamp now, double orders);

  // Returns whether one more order is within the budget.
  bool allows_order(Timestamp now) const;

 private:
  static constexpr std::size_t max_pending_orders = 4;
  static constexpr int buckets_per_window = 16;  // an order counts for at most 1/16 of the window too long

  static Duration bucket_width_of(Duration window);

  LoadBudgetLimits limits_;
  SlidingWindow<double, buckets_per_window + 1> orders_;
  SlidingWindow<double, buckets_per_window + 1> requests_;
  std::size_t pending_orders_ = 0;
  bool earlier_orders_known_ = false;
};

}  // namespace rushhill::routing

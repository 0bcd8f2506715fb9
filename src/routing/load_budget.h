// Rate limit of prewarm orders, per router (rule 5; docs/design.md, "Five rules").
//
// Within any load window a router may order at most a free number of loads and a stated number more for each
// request that it took. Both are counted in buckets that err to the safe side: an order counts for slightly
// longer than the window, a request for slightly shorter. A few orders may be pending at once: the store that
// the functions come from is shared by all servers and is soon overloaded.
#pragma once

#include <cstddef>

#include "routing/sliding_window.h"
#include "routing/time.h"

namespace rushhill::routing {

// What bounds the orders of one router.
struct LoadBudgetLimits {
  bool orders_permitted = false;
  Duration window{};              // 0: no limit but that on pending orders
  double free_orders = 0;         // within a window
  double orders_per_request = 0;  // on top, for each request taken within a window
  // What this router ordered before its restart is reported after the start.
  bool earlier_orders_follow = false;
};

// Counts this router's prewarm orders and says whether one more is allowed.
class LoadBudget {
 public:
  explicit LoadBudget(const LoadBudgetLimits& limits);

  void request_taken(Timestamp now);
  void order_sent(Timestamp now);
  void order_ended();
  // Orders that this router sent before its restart and that still count.
  void earlier_orders_known(Timestamp now, double orders);

  // Whether one more order is within the budget.
  bool allows_order(Timestamp now) const;

 private:
  static constexpr std::size_t max_pending_orders = 4;
  static constexpr int window_parts = 16;  // buckets of a window; an order counts at most 1/16 too long

  static Duration part_of(Duration window);

  LoadBudgetLimits limits_;
  SlidingWindow<double, window_parts + 1> orders_;
  SlidingWindow<double, window_parts + 1> requests_;
  std::size_t pending_orders_ = 0;
  bool earlier_orders_known_ = false;
};

}  // namespace rushhill::routing

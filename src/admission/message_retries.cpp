#include "admission/message_retries.h"

#include <algorithm>

namespace rushhill::admission {
namespace {

constexpr Time initial_backoff = 1'000;  // tenths of a millisecond; used if the core gives no retry delay
constexpr int max_doublings = 6;         // doublings of the initial backoff
constexpr Time min_time_left = 100;  // tenths of a millisecond; a retry with less time left cannot succeed

// A keyed request is never retried here: its key is known only within its deduplication scope, and a new
// request for the message might be routed outside that scope. An at-most-once request that failed may have
// run; one that was rejected has not.
bool may_retry(Outcome outcome, RetrySafety retry_safety) {
  if (retry_safety == RetrySafety::idempotent) return true;
  return retry_safety == RetrySafety::at_most_once && outcome == Outcome::rejected;
}

}  // namespace

std::optional<Time> MessageRetries::again(Time now, const std::string& message_key, Outcome outcome,
                                          RetrySafety retry_safety, Time deadline, Time retry_after) {
  const auto [it, is_new] = failures_.try_emplace(message_key, 0);
  if (is_new) order_.push_back(message_key);
  const int failures = ++it->second;
  if (order_.size() > max_messages_) {
    failures_.erase(order_.front());
    order_.pop_front();
  }
  if (failures >= max_submissions_ || !may_retry(outcome, retry_safety)) return std::nullopt;
  const Time delay = retry_after > 0 ? retry_after : initial_backoff << std::min(failures - 1, max_doublings);
  if (now + delay + min_time_left >= deadline) return std::nullopt;
  return now + delay;
}

int MessageRetries::made(const std::string& message_key) const {
  const auto it = failures_.find(message_key);
  return it == failures_.end() ? 0 : it->second;
}

void MessageRetries::forget(const std::string& message_key) {
  // The search in the order is linear, but few messages are ever retried.
  if (failures_.erase(message_key) > 0) std::erase(order_, message_key);
}

}  // namespace rushhill::admission

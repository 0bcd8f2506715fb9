#include "admission/delivery_tracker.h"

namespace rushhill::admission {

void DeliveryTracker::forget_oldest(Time now) {
  while (!order_.empty() && (order_.front().first + retention_ <= now || order_.size() > max_ended_)) {
    const auto& [ended_at, message_key] = order_.front();
    const auto it = ended_.find(message_key);
    if (it != ended_.end() && it->second.second == ended_at) ended_.erase(it);
    order_.pop_front();
  }
}

DeliveryTracker::DeliveryStatus DeliveryTracker::meet(Time now, const std::string& message_key) {
  forget_oldest(now);
  if (ended_.contains(message_key)) return DeliveryStatus::answered;
  return ++in_progress_[message_key] > 1 ? DeliveryStatus::joins : DeliveryStatus::fresh;
}

void DeliveryTracker::ended(Time now, const std::string& message_key, Outcome outcome) {
  in_progress_.erase(message_key);
  ended_[message_key] = {outcome, now};
  order_.emplace_back(now, message_key);
  forget_oldest(now);
}

std::optional<Outcome> DeliveryTracker::outcome(const std::string& message_key) const {
  const auto it = ended_.find(message_key);
  if (it == ended_.end()) return std::nullopt;
  return it->second.first;
}

}  // namespace rushhill::admission

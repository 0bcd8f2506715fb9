#include "admission/deliveries.h"

namespace rushhill::admission {

void Deliveries::lapse(Time now) {
  while (!order_.empty() && (order_.front().first + span_ <= now || order_.size() > most_)) {
    const auto& [when, mark] = order_.front();
    const auto it = ended_.find(mark);
    if (it != ended_.end() && it->second.second == when) ended_.erase(it);
    order_.pop_front();
  }
}

Deliveries::Meeting Deliveries::meet(Time now, const std::string& mark) {
  lapse(now);
  if (ended_.contains(mark)) return Meeting::answered;
  return ++working_[mark] > 1 ? Meeting::joins : Meeting::fresh;
}

void Deliveries::ended(Time now, const std::string& mark, Outcome outcome) {
  working_.erase(mark);
  ended_[mark] = {outcome, now};
  order_.emplace_back(now, mark);
  lapse(now);
}

std::optional<Outcome> Deliveries::outcome(const std::string& mark) const {
  const auto it = ended_.find(mark);
  if (it == ended_.end()) return std::nullopt;
  return it->second.first;
}

}  // namespace rushhill::admission

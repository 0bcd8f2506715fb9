#include "admission/tries.h"

#include <algorithm>

namespace rushhill::admission {
namespace {

constexpr Time first_rest = 1'000;  // tenths of a millisecond, where the core advises nothing
constexpr int most_doublings = 6;   // of that rest
constexpr Time least_left = 100;    // tenths of a millisecond; a try with less before it cannot end well

// Numbered events may be resent in their group only, which a new event would not keep. An at-most-once event
// that was abandoned may have run; one that was shed has not.
bool may_repeat(Outcome outcome, RetrySafety effect) {
  if (effect == RetrySafety::idempotent) return true;
  return effect == RetrySafety::at_most_once && outcome == Outcome::rejected;
}

}  // namespace

std::optional<Time> Tries::again(Time now, const std::string& mark, Outcome outcome, RetrySafety effect,
                                 Time limit, Time advised) {
  const auto [it, fresh] = made_.try_emplace(mark, 0);
  if (fresh) order_.push_back(mark);
  const int made = ++it->second;
  if (order_.size() > known_) {
    made_.erase(order_.front());
    order_.pop_front();
  }
  if (made >= most_ || !may_repeat(outcome, effect)) return std::nullopt;
  const Time rest = advised > 0 ? advised : first_rest << std::min(made - 1, most_doublings);
  if (now + rest + least_left >= limit) return std::nullopt;
  return now + rest;
}

int Tries::made(const std::string& mark) const {
  const auto it = made_.find(mark);
  return it == made_.end() ? 0 : it->second;
}

void Tries::forget(const std::string& mark) {
  // Its place in the order goes with its turn; few messages are ever tried again.
  if (made_.erase(mark) > 0) std::erase(order_, mark);
}

}  // namespace rushhill::admission

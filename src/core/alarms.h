// Alarms in the order they ring: the structure behind a Clockwork. Setting, withdrawing and ringing one take
// time logarithmic in those that stand; two of one moment ring in the order they were set.
#pragma once

#include <map>
#include <optional>
#include <utility>

#include "core/clockwork.h"

namespace rushhill::core {

class Alarms {
 public:
  Alarm set(Time when, Clockwork::Call call) {
    const Alarm alarm{when, ++last_};
    standing_.emplace_hint(standing_.end(), alarm, std::move(call));
    return alarm;
  }
  void withdraw(Alarm& alarm) { standing_.erase(std::exchange(alarm, Alarm{})); }
  std::optional<Time> next() const {
    if (standing_.empty()) return std::nullopt;
    return standing_.begin()->first.at;
  }
  // Rings what is due at `now`, also what is set meanwhile for a moment that has come.
  void ring(Time now) {
    while (!standing_.empty() && standing_.begin()->first.at <= now) {
      const auto call = std::move(standing_.extract(standing_.begin()).mapped());
      call();
    }
  }
  std::size_t count() const { return standing_.size(); }

 private:
  std::map<Alarm, Clockwork::Call> standing_;
  std::uint64_t last_ = 0;
};

}  // namespace rushhill::core

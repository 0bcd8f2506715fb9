// What a front remembers of messages that may come again: which are being worked on, how those that ended
// ended, and how often one came without an end. Free of I/O; the clock is handed in.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "routing/time.h"

namespace rushhill::admission {

enum class Outcome { succeeded, rejected, failed };

class Deliveries {
 public:
  // Ended messages are known for `span`, at most `most` of them; the oldest go first.
  Deliveries(Time span, std::size_t most) : span_(span), most_(most) {}

  enum class Meeting {
    fresh,    // to be taken
    joins,    // the same message is being worked on: no further shot
    answered  // it has ended: the same answer again
  };
  // A message comes, or comes again. Joined or answered, `outcome` tells how where it is known.
  Meeting meet(Time now, const std::string& mark);
  bool knows(const std::string& mark) const { return working_.contains(mark) || ended_.contains(mark); }
  void ended(Time now, const std::string& mark, Outcome outcome);
  // Its client went or it was never taken: it is as if it had not come.
  void forget(const std::string& mark) { working_.erase(mark); }
  std::optional<Outcome> outcome(const std::string& mark) const;
  std::size_t known() const { return ended_.size(); }
  std::size_t working() const { return working_.size(); }

 private:
  void lapse(Time now);

  Time span_;
  std::size_t most_;
  std::map<std::string, int> working_;  // and how often it came
  std::map<std::string, std::pair<Outcome, Time>> ended_;
  std::deque<std::pair<Time, std::string>> order_;
};

}  // namespace rushhill::admission

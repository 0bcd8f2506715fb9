// How often a message that nobody waits for is taken: one that is given up rests and is taken again, so often
// as was told and never past its time; then it is for the dead letters. Free of I/O; the clock is handed in.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "admission/deliveries.h"
#include "routing/types.h"

namespace rushhill::admission {

class Tries {
 public:
  // `most` tries a message, counted for `known` messages at most; the oldest are forgotten first.
  Tries(int most, std::size_t known) : most_(most), known_(known) {}

  // A try ended without being honoured: when the message is to be taken again; nothing: it is given up.
  // `limit`: when its time is up; `advised`: the core's time to come back, 0: none.
  std::optional<Time> again(Time now, const std::string& mark, Outcome outcome, RetrySafety effect,
                            Time limit, Time advised);
  int made(const std::string& mark) const;
  void forget(const std::string& mark);

 private:
  int most_;
  std::size_t known_;
  std::map<std::string, int> made_;
  std::deque<std::string> order_;
};

}  // namespace rushhill::admission

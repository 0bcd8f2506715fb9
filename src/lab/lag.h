// `rushhill lab lag`: how long a word that one router writes takes to all the others, in virtual time, by the
// size of the fleet and by what is lost on the ways between them.
#pragma once

#include <cstdint>
#include <vector>

#include "routing/time.h"

namespace rushhill::lab {

struct LagOf {
  int routers = 30, words = 100;
  double loss = 0;  // of what is sent, sent again after 0.2 s and so on
  std::uint64_t seed = 1;
};

struct Lag {
  std::vector<Time> first, last;  // of each word: until a second router has it, until all have it; ascending
  int never = 0;                  // words that some router still lacked at the end
  std::size_t most_ways = 0;      // of one router
  double real_seconds = 0, virtual_seconds = 0;
};

Lag measure_lag(const LagOf& of);
int lag(const LagOf& of);  // prints it

}  // namespace rushhill::lab

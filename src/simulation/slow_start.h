// The budget of an endpoint in slow start, as the users' page states it: in any span of the stated length it
// takes N requests of mean work and what the rule leaves to chance, and collapses at more. N is the stated
// multiple of what it can do at that moment. Simulated servers and checker share this one statement.
#pragma once

#include <cmath>

namespace rushhill::simulation {

constexpr double few_allowed = 30;  // requests; under that many chance weighs more

// The most requests of mean work that an endpoint bears in the span, `allowed` being N.
inline double slow_start_budget(double allowed) {
  const double root = std::sqrt(allowed);
  return allowed < few_allowed ? allowed + 3 * root + 3 : allowed + 2 * root + 2;
}

}  // namespace rushhill::simulation

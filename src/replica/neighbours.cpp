#include "replica/neighbours.h"

#include <vector>

namespace rushhill::replica {

std::set<int> select_neighbours(int self, const std::set<int>& reachable) {
  // From the next higher number around to the next lower one.
  std::vector<int> ring;
  for (auto it = reachable.upper_bound(self); it != reachable.end(); ++it) ring.push_back(*it);
  for (auto it = reachable.begin(); it != reachable.end() && *it < self; ++it) ring.push_back(*it);
  std::set<int> chosen;
  for (std::size_t distance = 1; distance <= ring.size(); distance *= 2) chosen.insert(ring[distance - 1]);
  return chosen;
}

}  // namespace rushhill::replica

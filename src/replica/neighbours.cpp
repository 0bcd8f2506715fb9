#include "replica/neighbours.h"

#include <vector>

namespace rushhill::replica {

std::set<int> neighbours(int me, const std::set<int>& there) {
  // The ring is of those that are there, from the one after us round to the one before.
  std::vector<int> ring;
  for (auto it = there.upper_bound(me); it != there.end(); ++it) ring.push_back(*it);
  for (auto it = there.begin(); it != there.end() && *it < me; ++it) ring.push_back(*it);
  std::set<int> chosen;
  for (std::size_t distance = 1; distance <= ring.size(); distance *= 2) chosen.insert(ring[distance - 1]);
  return chosen;
}

}  // namespace rushhill::replica

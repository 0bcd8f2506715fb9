#include "scale/costs.h"

#include <iterator>
#include <utility>

#include "scale/part_costs.h"

namespace rushhill::scale {
namespace {

std::vector<Cost> all_costs() {
  std::vector<Cost> all;
  for (auto* const costs_of_part :
       {policy_costs, gateway_costs, membership_costs, peer_message_costs, replica_costs}) {
    std::vector<Cost> part = costs_of_part();
    std::move(part.begin(), part.end(), std::back_inserter(all));
  }
  return all;
}

}  // namespace

const std::vector<Cost>& costs() {
  static const std::vector<Cost> all = all_costs();
  return all;
}

}  // namespace rushhill::scale

// The deployment files of a day's routers.
#pragma once

#include <string>
#include <vector>

#include "simulation/day.h"

namespace rushhill::simulation {

// Where a router listens and whom it reaches; empty: not at all.
struct DeploymentAddresses {
  std::string listen{};
  std::string discovery{};
  std::string peer_listen{};
  std::vector<std::string> peers{};  // by router number
  std::string broker{};
  std::vector<std::string> replicas{};  // where routers exchange their shared state, by router number
};

// The deployment file of one of the day's routers.
std::string deployment_of(const Day& day, int router, const DeploymentAddresses& addresses);

}  // namespace rushhill::simulation

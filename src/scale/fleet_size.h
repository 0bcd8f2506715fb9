// The size of the fleet that a measured router belongs to, and the servers, functions and configuration of a
// fleet of that size.
#pragma once

#include <string>
#include <vector>

#include "routing/configuration.h"
#include "routing/types.h"

namespace rushhill::scale {

// The sizes that costs depend on. A cost varies one of them and keeps the others.
struct FleetSize {
  int servers = 1'000;
  int functions = 15'000;
  double requests_per_second = 162;  // at one router
  int routers = 680;
  int tenants = 0;
  bool round_robin = false;  // functions are called one after the other; else few get most of the calls
  bool probing = false;      // load reports are fetched by health checks and sent to all routers
};

// Names by number.
std::string server_name(int number);
std::string function_name(int number);
// Zone and region, assigned in turn, of a server or router: "region-1/zone-3".
std::string location_of(int number);
// The region of such a location.
std::string region_of(const std::string& location);

// All servers, as the endpoint list describes them.
std::vector<Endpoint> server_list(int servers);
// The configuration of the first router.
RoutingConfiguration configuration_of(const FleetSize& fleet);

}  // namespace rushhill::scale

// The addresses of the other routers: router-0 = 127.0.0.1:9100 and so on.
#pragma once

#include <string>
#include <vector>

#include "deployment/faults.h"
#include "deployment/ini_file.h"

namespace rushhill::deployment {

// By router number, so many as there are routers; empty where the section names none.
std::vector<std::string> read_router_addresses(const Section& section, int routers, FaultCollector& faults);

}  // namespace rushhill::deployment

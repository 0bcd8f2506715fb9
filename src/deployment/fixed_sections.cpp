#include "deployment/fixed_sections.h"

namespace rushhill::deployment {

const std::vector<FixedSection>& fixed_sections() {
  static const std::vector<FixedSection> all{
      {"router", router_keys()},       {"rules", rules_keys()},      {"permissions", permissions_keys()},
      {"functions", functions_keys()}, {"servers", servers_keys()},  {"http", http_keys()},
      {"mqtt", mqtt_keys()},           {"roster", discovery_keys()}, {"peers", peers_keys()},
      {"replica", replication_keys()}, {"log", log_keys()},
  };
  return all;
}

}  // namespace rushhill::deployment

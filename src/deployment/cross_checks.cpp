#include "deployment/cross_checks.h"

#include <algorithm>
#include <string>

namespace rushhill::deployment {
namespace {

constexpr double most_shares_together = 1.000001;  // sums of decimal shares are not exact

// One file under check. The functions run in the order in which their faults are printed.
class CrossChecks {
 public:
  CrossChecks(const DeploymentConfiguration& configuration, const Sections& sections, FaultCollector& faults)
      : configuration_(configuration), routing_(configuration.routing), sections_(sections), faults_(faults) {
  }

  void run() {
    check_router_numbers();
    check_request_classes();
    check_gossip();
    check_load_budget();
    check_reports();
    check_replication();
    check_mqtt();
    check_tenant_shares();
    check_drain_grace();
  }

 private:
  void fault(KeyName name, const std::string& reason) {
    faults_.add({line_of(sections_, name), name.key}, reason);
  }

  void check_router_numbers() {
    if (routing_.router_number >= routing_.routers)
      fault({"router", "number"}, "is not below routers, " + std::to_string(routing_.routers));
  }

  void check_request_classes() {
    if (routing_.request_classes.empty())
      faults_.add({0, "[traffic NAME]"}, "is missing: no event could be taken");
  }

  void check_gossip() {
    if (routing_.reports.gossip && configuration_.peers.listen.empty())
      fault({"permissions", "peers"}, "is yes but [peers] has no listen");
  }

  void check_load_budget() {
    const LoadBudgetConfiguration& budget = routing_.load_budget;
    const bool limited = budget.window > Duration::zero();
    if (limited && !routing_.copies.prewarm)
      fault({"rules", "load-window"}, "rations orders, but [functions] orders is no");
    if (limited && budget.free_loads < 1 && budget.loads_per_request <= 0)
      fault({"rules", "load-free"},
            "below 1 with loads-per-event 0 permits no order at all: write [functions] orders = no");
    if (routing_.copies.missing_copy_is_reported && !routing_.copies.prewarm)
      fault({"functions", "when-missing"}, "is miss, but without orders nothing would ever be loaded");
  }

  void check_reports() {
    if (routing_.reports.load_reports == "probe" && !routing_.reports.probes)
      fault({"servers", "reports"}, "come with probes, but [permissions] probing is no");
  }

  void check_replication() {
    const ReplicationConfiguration& replication = configuration_.replication;
    if (replication.held_by >= std::max(routing_.routers, 1))
      fault({"replica", "held-by"}, "is more than there are other routers: no marks could be held");
    const bool any_held = std::ranges::any_of(replication.marks, [](const auto& class_and_level) {
      return class_and_level.second == replica::DeduplicationLevel::held;
    });
    const bool any_two_meet = routing_.routers >= 2 && routing_.routers <= replica::max_full_mesh_routers;
    if (any_held && replication.held_by == 0 && !any_two_meet)
      fault({"replica", "held-by"}, "must be told: only 2 to " +
                                        std::to_string(replica::max_full_mesh_routers) +
                                        " routers can have every two takings of an event meet");
  }

  void check_mqtt() {
    const MqttConfiguration& mqtt = configuration_.mqtt;
    if (!mqtt.topics.empty() && mqtt.address.empty())
      fault({"mqtt", "address"}, "of the broker is missing in [mqtt], but topics are told");
    if (!mqtt.address.empty() && mqtt.topics.empty())
      fault({"mqtt", "address"}, "of a broker is told, but no [mqtt-topic NAME]");
  }

  void check_tenant_shares() {
    double shares = 0;
    for (const Tenant& tenant : routing_.tenants) shares += tenant.share;
    if (shares > most_shares_together)
      faults_.add({0, "[customer NAME] share"}, "of all customers is more than 1 together");
  }

  void check_drain_grace() {
    if (routing_.drain_grace > Duration::zero() && routing_.tick >= routing_.drain_grace)
      fault({"rules", "drain-grace"},
            "is not longer than the tick: rule 3 (drains are kept) could not be kept");
  }

  const DeploymentConfiguration& configuration_;
  const RoutingConfiguration& routing_;
  const Sections& sections_;
  FaultCollector& faults_;
};

}  // namespace

void check_across_sections(const DeploymentConfiguration& configuration, const Sections& sections,
                           FaultCollector& faults) {
  CrossChecks(configuration, sections, faults).run();
}

}  // namespace rushhill::deployment

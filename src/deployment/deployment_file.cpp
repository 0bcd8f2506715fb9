#include "deployment/deployment_file.h"

#include <algorithm>
#include <fstream>
#include <iterator>

#include "deployment/cross_checks.h"
#include "deployment/fixed_sections.h"
#include "deployment/ini_file.h"
#include "deployment/named_sections.h"
#include "deployment/router_addresses.h"

namespace rushhill::deployment {
namespace {

// One reading of one file.
class FileReader {
 public:
  FileReader(const std::string& path, std::string_view text)
      : faults_(path), sections_(read_sections(text, faults_)) {}

  DeploymentConfiguration read() {
    read_fixed_sections();
    for (const auto& [head, section] : sections_) read_further(head, section);
    LoadBudgetConfiguration& load_budget = configuration_.routing.load_budget;
    load_budget.restored_after_restart =
        !configuration_.replication.listen.empty() && load_budget.window > Duration::zero();
    if (faults_.faults().empty()) check_across_sections(configuration_, sections_, faults_);
    if (!faults_.faults().empty()) throw BadFile(faults_.faults());
    return std::move(configuration_);
  }

 private:
  // All of them, since those that are not written have their defaults.
  void read_fixed_sections() {
    static const Section not_written;
    for (const FixedSection& fixed : fixed_sections()) {
      const auto written = sections_.find(fixed.name);
      read_section({.name = fixed.name,
                    .section = written == sections_.end() ? not_written : written->second,
                    .faults = faults_,
                    .in_force = configuration_.in_force},
                   fixed.keys, configuration_);
    }
  }

  // What a section holds beyond the keys of the fixed ones.
  void read_further(const std::string& head, const Section& section) {
    const int routers = configuration_.routing.routers;
    if (read_by_name(head)) return;
    if (head == "peers") configuration_.peers.addresses = read_router_addresses(section, routers, faults_);
    if (head == "replica")
      configuration_.replication.addresses = read_router_addresses(section, routers, faults_);
    const bool known =
        std::ranges::any_of(fixed_sections(), [&](const FixedSection& fixed) { return head == fixed.name; });
    if (known) return;
    faults_.add({section.line, "[" + head + "]"},
                "is none of router, rules, permissions, functions, servers, http, mqtt, roster, peers, "
                "replica, log, "
                "traffic NAME, customer NAME, kind NAME, mqtt-topic NAME");
  }

  bool read_by_name(const std::string& head) {
    const std::size_t gap = head.find(' ');
    if (gap == std::string::npos) return false;
    return read_named_section(head.substr(0, gap), {.head = head,
                                                    .written_name = head.substr(gap + 1),
                                                    .sections = sections_,
                                                    .faults = faults_,
                                                    .configuration = configuration_});
  }

  FaultCollector faults_;
  const Sections sections_;
  DeploymentConfiguration configuration_;
};

}  // namespace

DeploymentConfiguration read_text(const std::string& path, std::string_view text) {
  return FileReader(path, text).read();
}

DeploymentConfiguration read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  if (!file.is_open() || file.bad())
    throw BadFile({Fault{.file = path, .place = {.line = 0, .key = "file"}, .reason = "cannot be read"}});
  return read_text(path, text);
}

}  // namespace rushhill::deployment

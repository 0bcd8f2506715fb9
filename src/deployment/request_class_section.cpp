// [traffic NAME]: a request class, and what has to fit between it and the rest of the file.
#include <string>
#include <vector>

#include "deployment/named_sections.h"
#include "deployment/values.h"

namespace rushhill::deployment {
namespace {

using Text = const std::string&;

constexpr NumberRange priority_weights{.least = 0, .most = 1e6};
constexpr NumberRange shares{.least = 0, .most = 1};
constexpr NumberRange stretches{.least = 0, .most = 1000};
constexpr Duration longest_deadline = std::chrono::hours(1);

// The section's values, before they are found to fit.
struct RequestClassSection {
  RequestClass request_class{};
  std::string event_type{};  // empty: the section's name
  replica::DeduplicationLevel marks = replica::DeduplicationLevel::none;
};

RetrySafety retry_safety(Text text) {
  return one_of<RetrySafety>(text, {{"reissuable", RetrySafety::idempotent},
                                    {"numbered", RetrySafety::keyed},
                                    {"at-most-once", RetrySafety::at_most_once}});
}

DeduplicationScope deduplication_scope(Text text) {
  return one_of<DeduplicationScope>(text, {{"all", DeduplicationScope::everywhere},
                                           {"location", DeduplicationScope::location},
                                           {"cell", DeduplicationScope::cell}});
}

replica::DeduplicationLevel mark_level(Text text) {
  return one_of<replica::DeduplicationLevel>(text, {{"none", replica::DeduplicationLevel::none},
                                                    {"told", replica::DeduplicationLevel::announced},
                                                    {"held", replica::DeduplicationLevel::held}});
}

const std::vector<Key<RequestClassSection>>& request_class_keys() {
  using Row = RequestClassSection;
  static const std::vector<Key<Row>> all{
      {"event-type", "", [](Row& row, Text text) { row.event_type = text; }},
      {"due", nullptr,
       [](Row& row, Text text) { row.request_class.latency_objective = positive_span(text); }},
      {"hard-limit", nullptr,
       [](Row& row, Text text) { row.request_class.deadline_span = positive_span(text); }},
      {"importance", "1",
       [](Row& row, Text text) { row.request_class.priority_weight = number_in(text, priority_weights); }},
      {"late-share", "0",
       [](Row& row, Text text) { row.request_class.late_value_share = number_in(text, shares); }},
      {"effect", "at-most-once",
       [](Row& row, Text text) { row.request_class.retry_safety = retry_safety(text); }},
      {"group", "all",
       [](Row& row, Text text) { row.request_class.deduplication_scope = deduplication_scope(text); }},
      {"memory-span", "0", [](Row& row, Text text) { row.request_class.deduplication_span = span(text); }},
      {"marks", "none", [](Row& row, Text text) { row.marks = mark_level(text); }},
      {"due-stretch", "0",
       [](Row& row, Text text) { row.request_class.latency_objective_stretch = number_in(text, stretches); }},
  };
  return all;
}

// Adds a fault at a key of the section, or at its head where the key is not written.
class SectionFaults {
 public:
  SectionFaults(const Section& section, FaultCollector& faults) : section_(section), faults_(faults) {}

  void add(const char* key, const std::string& reason) {
    const auto entry = section_.entries.find(key);
    faults_.add({entry == section_.entries.end() ? section_.line : entry->second.line, key}, reason);
  }

 private:
  const Section& section_;
  FaultCollector& faults_;
};

void check_spans(const RequestClass& request_class, Duration tick, SectionFaults& faults) {
  if (request_class.latency_objective > request_class.deadline_span)
    faults.add("due", "is longer than the hard limit");
  if (request_class.deadline_span <= 2 * tick)
    faults.add("hard-limit",
               "is not longer than two ticks: rule 1 (one final answer in time) could not be kept");
  if (request_class.deadline_span > longest_deadline) faults.add("hard-limit", "is longer than an hour");
  if (request_class.retry_safety == RetrySafety::keyed && request_class.deduplication_span <= tick)
    faults.add(
        "memory-span",
        "of a numbered type is not longer than the tick: rule 2 (no effect twice) forbids resending then, "
        "so write effect = at-most-once");
}

void check_marks(const RequestClass& request_class, const NamedSectionInput& input, SectionFaults& faults) {
  const ReplicationConfiguration& replication = input.configuration.replication;
  if (replication.listen.empty()) faults.add("marks", "are told or held, but [replica] has no listen");
  if (request_class.retry_safety == RetrySafety::idempotent)
    faults.add("marks", "of a reissuable type bring nothing: it may run twice");
  if (to_duration(replication.mark_life) <= request_class.deadline_span)
    input.faults.add({line_of(input.sections, {"replica", "mark-life"}), "mark-life"},
                     "is not longer than the hard limit of " + request_class.name);
}

}  // namespace

void read_request_class(const NamedSectionInput& input, const std::string& name) {
  const Section& section = input.sections.at(input.head);
  DeploymentConfiguration& configuration = input.configuration;
  RequestClassSection row;
  row.request_class.name = name;
  const std::size_t faults_before = input.faults.faults().size();
  read_section(
      {.name = input.head, .section = section, .faults = input.faults, .in_force = configuration.in_force},
      request_class_keys(), row);
  if (input.faults.faults().size() > faults_before) return;
  SectionFaults faults(section, input.faults);
  check_spans(row.request_class, configuration.routing.tick, faults);
  const std::string event_type = row.event_type.empty() ? name : row.event_type;
  if (!configuration.class_of_event_type.emplace(event_type, name).second)
    faults.add("event-type", "'" + event_type + "' belongs to two traffic types");
  if (row.marks != replica::DeduplicationLevel::none) {
    check_marks(row.request_class, input, faults);
    configuration.replication.marks[name] = row.marks;
  }
  configuration.routing.request_classes.push_back(row.request_class);
}

}  // namespace rushhill::deployment

#include "transport/load_report.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace rushhill::transport {
namespace {

using Json = nlohmann::json;

constexpr std::size_t max_metrics = 32;      // of one report; others are ignored
constexpr double metric_value_limit = 1e12;  // metrics with this value or a larger one are left out
constexpr std::string_view text_prefix = "TEXT ";
constexpr std::string_view json_prefix = "JSON ";
constexpr std::string_view named_metrics = "named_metrics";

// Returns the routing policy's name of an ORCA metric, or an empty string if the metric is not used.
std::string metric_name(std::string_view orca_name) {
  static const std::map<std::string_view, const char*> names{{"cpu_utilization", "util"},
                                                             {"mem_utilization", "x0"},
                                                             {"rps", "qps"},
                                                             {"rps_fractional", "qps"},
                                                             {"eps", "eps"}};
  if (const auto it = names.find(orca_name); it != names.end()) return it->second;
  constexpr std::string_view named_prefix = "named_metrics.";
  if (!orca_name.starts_with(named_prefix)) return {};
  return std::string(orca_name.substr(named_prefix.size()));
}

void add_metric(LoadReport& report, std::string_view orca_name, double value) {
  const std::string name = metric_name(orca_name);
  const bool in_range = value >= 0 && value < metric_value_limit;
  if (!name.empty() && in_range && report.size() < max_metrics) report[name] = value;
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  return text;
}

void add_named_metrics(LoadReport& report, const Json& metrics) {
  for (const auto& [name, value] : metrics.items()) {
    if (value.is_number()) add_metric(report, std::string(named_metrics) + "." + name, value.get<double>());
  }
}

LoadReport from_json(std::string_view text) {
  LoadReport report;
  const Json object = Json::parse(text, nullptr, false);
  if (!object.is_object()) return report;
  for (const auto& [name, value] : object.items()) {
    if (value.is_number()) add_metric(report, name, value.get<double>());
    if (name == named_metrics && value.is_object()) add_named_metrics(report, value);
  }
  return report;
}

// Adds one `name=value` pair of the TEXT form.
void add_text_metric(LoadReport& report, std::string_view pair) {
  const std::size_t equals = pair.find('=');
  if (equals == std::string_view::npos) return;
  const std::string_view number = trimmed(pair.substr(equals + 1));
  const char* number_begin = number.data();
  const char* number_end = number_begin + number.size();
  double value = 0;
  const auto [end, error] = std::from_chars(number_begin, number_end, value);
  if (error == std::errc{} && end == number_end) add_metric(report, trimmed(pair.substr(0, equals)), value);
}

LoadReport from_text(std::string_view text) {
  LoadReport report;
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    add_text_metric(report, trimmed(text.substr(0, comma)));
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return report;
}

}  // namespace

LoadReport parse_load_report(std::string_view header) {
  header = trimmed(header);
  if (header.starts_with(json_prefix)) return from_json(header.substr(json_prefix.size()));
  if (header.starts_with(text_prefix)) return from_text(header.substr(text_prefix.size()));
  return {};
}

}  // namespace rushhill::transport

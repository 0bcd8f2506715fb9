#include "core/request_reader.h"

#include <charconv>
#include <utility>

namespace rushhill::core {
namespace {

using events::BadEvent;
using events::CloudEvent;

constexpr Time ticks_per_ms = 10;                     // Time counts tenths of a millisecond
constexpr std::size_t longest_function = 256;         // bytes; a path and a digest fit
constexpr std::int64_t most_memory_mb = 100'000'000;  // MB; beyond any machine
constexpr std::int64_t most_lanes = 10'000;           // requests at a time in one copy
constexpr std::int64_t most_ms = 3'600'000;           // milliseconds; an hour, longer than any deadline

struct Range {
  std::int64_t least;
  std::int64_t most;
};

// A whole number within the range, or `otherwise` where the event does not have the attribute.
std::int64_t whole_number(const CloudEvent& event, const std::string& name, const Range& range,
                          std::int64_t otherwise) {
  const std::string* text = event.other(name);
  if (text == nullptr) return otherwise;
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
  if (error != std::errc{} || end != text->data() + text->size() || value < range.least || value > range.most)
    throw BadEvent(name, "is not a whole number from " + std::to_string(range.least) + " to " +
                             std::to_string(range.most));
  return value;
}

bool flag(const CloudEvent& event, const std::string& name) {
  const std::string* text = event.other(name);
  if (text == nullptr || *text == "false") return false;
  if (*text != "true") throw BadEvent(name, "is neither true nor false");
  return true;
}

FunctionId read_function(const CloudEvent& event) {
  const std::string* function = event.other("function");
  if (function == nullptr) throw BadEvent("function", "is missing");
  if (function->size() > longest_function) throw BadEvent("function", "is longer than 256 bytes");
  return *function;
}

// The deadline of the class, or an earlier one that the event names.
Duration read_time_left(const CloudEvent& event, Duration deadline_span) {
  if (event.other("timeleftms") == nullptr) return deadline_span;
  const std::int64_t most = to_ticks(deadline_span) / ticks_per_ms;
  return to_duration(ticks_per_ms * whole_number(event, "timeleftms", {1, most}, most));
}

}  // namespace

RequestReader::RequestReader(const RoutingConfiguration& configuration,
                             std::map<std::string, std::string> class_of_type) {
  for (const auto& [event_type, name] : class_of_type) {
    for (const RequestClass& request_class : configuration.request_classes) {
      if (request_class.name == name) classes_[event_type] = request_class;
    }
  }
  for (const Tenant& tenant : configuration.tenants) tenants_[tenant.name] = tenant;
}

RoutingRequest RequestReader::read(const CloudEvent& event) const {
  const auto request_class = classes_.find(event.type);
  if (request_class == classes_.end()) {
    throw BadEvent("type", "'" + event.type + "' belongs to no traffic type here");
  }
  RoutingRequest request;
  request.request_class = request_class->second.name;
  request.function = read_function(event);
  request.tenant = read_tenant(event);
  request.time_left = read_time_left(event, request_class->second.deadline_span);
  request.memory_mb = static_cast<double>(whole_number(event, "memorymb", {0, most_memory_mb}, 0));
  request.lanes = static_cast<double>(whole_number(event, "lanes", {1, most_lanes}, 1));
  request.load_time = to_duration(ticks_per_ms * whole_number(event, "loadms", {0, most_ms}, 0));
  request.work = to_duration(ticks_per_ms * whole_number(event, "workms", {0, most_ms}, 0));
  request.repeat = flag(event, "repeat");
  request.write = flag(event, "write");
  return request;
}

std::string RequestReader::read_tenant(const CloudEvent& event) const {
  const std::string* tenant = event.other("customer");
  if (tenant == nullptr || tenants_.empty()) return {};
  if (!tenants_.contains(*tenant)) throw BadEvent("customer", "is unknown here");
  return *tenant;
}

}  // namespace rushhill::core

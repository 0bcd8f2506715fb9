#include "core/request_reader.h"

#include <charconv>
#include <utility>

namespace rushhill::core {
namespace {

using events::BadEvent;
using events::CloudEvent;

constexpr Time ticks_per_ms = 10;                    // a tick is a tenth of a millisecond
constexpr std::size_t max_function_length = 256;     // bytes; enough for a path and a digest
constexpr std::int64_t max_memory_mb = 100'000'000;  // MB; more than any machine has
constexpr std::int64_t max_lanes = 10'000;           // concurrent requests in one copy of a function
constexpr std::int64_t max_span_ms = 3'600'000;      // milliseconds; one hour, longer than any deadline

struct Range {
  std::int64_t min;
  std::int64_t max;
};

// Reads a whole number within the range. Returns `default_value` if the event does not have the attribute.
std::int64_t read_whole_number(const CloudEvent& event, const std::string& name, const Range& range,
                               std::int64_t default_value) {
  const std::string* text = event.other(name);
  if (text == nullptr) return default_value;
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
  if (error != std::errc{} || end != text->data() + text->size() || value < range.min || value > range.max)
    throw BadEvent(
        name, "is not a whole number from " + std::to_string(range.min) + " to " + std::to_string(range.max));
  return value;
}

bool read_flag(const CloudEvent& event, const std::string& name) {
  const std::string* text = event.other(name);
  if (text == nullptr || *text == "false") return false;
  if (*text != "true") throw BadEvent(name, "is neither true nor false");
  return true;
}

FunctionId read_function(const CloudEvent& event) {
  const std::string* function = event.other("function");
  if (function == nullptr) throw BadEvent("function", "is missing");
  if (function->size() > max_function_length) throw BadEvent("function", "is longer than 256 bytes");
  return *function;
}

// Returns the event's own time limit if it has one, otherwise that of its class. An event cannot extend the
// limit of its class.
Duration read_time_left(const CloudEvent& event, Duration deadline_span) {
  if (event.other("timeleftms") == nullptr) return deadline_span;
  const std::int64_t max_ms = to_ticks(deadline_span) / ticks_per_ms;
  return to_duration(ticks_per_ms * read_whole_number(event, "timeleftms", {1, max_ms}, max_ms));
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
  request.memory_mb = static_cast<double>(read_whole_number(event, "memorymb", {0, max_memory_mb}, 0));
  request.lanes = static_cast<double>(read_whole_number(event, "lanes", {1, max_lanes}, 1));
  request.load_time = to_duration(ticks_per_ms * read_whole_number(event, "loadms", {0, max_span_ms}, 0));
  request.work = to_duration(ticks_per_ms * read_whole_number(event, "workms", {0, max_span_ms}, 0));
  request.repeat = read_flag(event, "repeat");
  request.write = read_flag(event, "write");
  return request;
}

std::string RequestReader::read_tenant(const CloudEvent& event) const {
  const std::string* tenant = event.other("customer");
  if (tenant == nullptr || tenants_.empty()) return {};
  if (!tenants_.contains(*tenant)) throw BadEvent("customer", "is unknown here");
  return *tenant;
}

}  // namespace rushhill::core

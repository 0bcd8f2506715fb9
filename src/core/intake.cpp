#include "core/intake.h"

#include <charconv>
#include <utility>

namespace rushhill::core {
namespace {

using events::BadEvent;
using events::CloudEvent;

constexpr std::size_t longest_function = 256;         // bytes; a path and a digest fit
constexpr std::int64_t most_memory_mb = 100'000'000;  // MB; beyond any machine
constexpr std::int64_t most_lanes = 10'000;           // events at a time in one copy
constexpr std::int64_t most_ms = 3'600'000;           // milliseconds; an hour, longer than any hard limit

std::int64_t whole(const CloudEvent& event, const std::string& name, std::int64_t least, std::int64_t most,
                   std::int64_t otherwise) {
  const std::string* text = event.other(name);
  if (text == nullptr) return otherwise;
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
  if (error != std::errc{} || end != text->data() + text->size() || value < least || value > most)
    throw BadEvent(name,
                   "is not a whole number from " + std::to_string(least) + " to " + std::to_string(most));
  return value;
}

bool flag(const CloudEvent& event, const std::string& name) {
  const std::string* text = event.other(name);
  if (text == nullptr || *text == "false") return false;
  if (*text != "true") throw BadEvent(name, "is neither true nor false");
  return true;
}

}  // namespace

RequestReader::RequestReader(const RoutingConfiguration& deployment,
                             std::map<std::string, std::string> type_of_event) {
  for (const auto& [event_type, name] : type_of_event) {
    for (const RequestClass& type : deployment.request_classes) {
      if (type.name == name) classes_[event_type] = type;
    }
  }
  for (const Tenant& customer : deployment.tenants) tenants_[customer.name] = customer;
}

RoutingRequest RequestReader::read(const CloudEvent& event) const {
  RoutingRequest told;
  const auto type = classes_.find(event.type);
  if (type == classes_.end()) throw BadEvent("type", "'" + event.type + "' belongs to no traffic type here");
  told.request_class = type->second.name;
  const std::string* function = event.other("function");
  if (function == nullptr) throw BadEvent("function", "is missing");
  if (function->size() > longest_function) throw BadEvent("function", "is longer than 256 bytes");
  told.function = *function;
  if (const std::string* customer = event.other("customer"); customer != nullptr && !tenants_.empty()) {
    if (!tenants_.contains(*customer)) throw BadEvent("customer", "is unknown here");
    told.tenant = *customer;
  }
  const Time deadline_span = to_ticks(type->second.deadline_span);
  told.time_left = to_duration(10 * whole(event, "timeleftms", 1, deadline_span / 10, deadline_span / 10));
  if (event.other("timeleftms") == nullptr) told.time_left = to_duration(deadline_span);
  told.memory_mb = static_cast<double>(whole(event, "memorymb", 0, most_memory_mb, 0));
  told.lanes = static_cast<double>(whole(event, "lanes", 1, most_lanes, 1));
  told.load_time = to_duration(10 * whole(event, "loadms", 0, most_ms, 0));
  told.work = to_duration(10 * whole(event, "workms", 0, most_ms, 0));
  told.repeat = flag(event, "repeat");
  told.write = flag(event, "write");
  return told;
}

}  // namespace rushhill::core

#include "frontends/mqtt_event.h"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <string>
#include <vector>

#include "frontends/mqtt_version.h"
#include "mqtt/topic_filter.h"

namespace rushhill::frontends {
namespace {

using Levels = std::vector<std::string>;  // of a topic: what the filter's wildcards stood for

// A rule's pattern: {1}, {2} are replaced by the levels.
std::string substitute(const std::string& pattern, const Levels& levels) {
  std::string text;
  for (std::size_t i = 0; i < pattern.size(); ++i) {
    const std::size_t end = pattern[i] == '{' ? pattern.find('}', i) : std::string::npos;
    if (end == std::string::npos) {
      text += pattern[i];
      continue;
    }
    const auto number = static_cast<std::size_t>(std::atoi(pattern.c_str() + i + 1));
    if (number >= 1 && number <= levels.size()) text += levels[number - 1];
    i = end;
  }
  return text;
}

bool is_attribute_name(const std::string& name) {
  return std::ranges::all_of(name, [](char character) {
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
  });
}

// The binding puts attributes into user properties without a prefix and without percent-coding.
events::CloudEvent read_binary(const mqtt::Packet& publish) {
  events::Headers headers;
  for (const auto& [name, value] : publish.properties.user) {
    if (is_attribute_name(name)) headers.emplace_back("ce-" + name, events::header_encoded(value));
  }
  const std::optional<std::string>& type = publish.properties.content_type;
  if (type && !type->empty()) headers.emplace_back("content-type", *type);
  return events::from_headers(headers, publish.payload);
}

events::CloudEvent read_event(const mqtt::Packet& publish, int version) {
  const events::Mode mode = events::mode_of(publish.properties.content_type.value_or(""));
  // 3.1.1 has no properties: there only the structured mode exists.
  if (version == mqtt_3_1_1 || mode == events::Mode::structured) return events::from_json(publish.payload);
  if (mode == events::Mode::binary) return read_binary(publish);
  throw events::BadEvent("datacontenttype", "is neither the structured JSON mode nor a payload's own type");
}

}  // namespace

events::CloudEvent to_cloud_event(const deployment::MqttTopic& rule, const mqtt::Packet& publish,
                                  int version) {
  Levels levels;
  mqtt::matches(rule.filter, publish.topic, &levels);
  events::CloudEvent event = read_event(publish, version);
  if (!rule.event_type.empty()) event.type = rule.event_type;
  if (!rule.function.empty()) event.others["function"] = substitute(rule.function, levels);
  if (!rule.tenant.empty()) event.others["customer"] = substitute(rule.tenant, levels);
  return event;
}

}  // namespace rushhill::frontends

#include "deployment/named_sections.h"

#include <vector>

#include "deployment/values.h"
#include "mqtt/topic_filter.h"

namespace rushhill::deployment {
namespace {

using Text = const std::string&;

constexpr NumberRange shares{.least = 0, .most = 1};
constexpr NumberRange quotas{.least = 0, .most = 1e9};  // requests a second
constexpr NumberRange topic_weights{.least = 0.001, .most = 1000};
constexpr NumberRange memory_sizes{.least = 1, .most = 1e9};  // MB
constexpr IntegerRange qos_levels{.least = 0, .most = 2};

std::string topic_filter(Text text) {
  if (!mqtt::filter_valid(text) || text.starts_with("$share/"))
    throw InvalidValue("'" + text + "' is no topic filter; a shared subscription is written with group");
  return text;
}

const std::vector<Key<Tenant>>& tenant_keys() {
  static const std::vector<Key<Tenant>> all{
      {"share", "0", [](Tenant& tenant, Text text) { tenant.share = number_in(text, shares); }},
      {"quota-per-s", "0", [](Tenant& tenant, Text text) { tenant.quota_per_s = number_in(text, quotas); }},
  };
  return all;
}

const std::vector<Key<MqttTopic>>& topic_keys() {
  static const std::vector<Key<MqttTopic>> all{
      {"filter", nullptr, [](MqttTopic& topic, Text text) { topic.filter = topic_filter(text); }},
      {"group", "", [](MqttTopic& topic, Text text) { topic.group = optional_identifier(text); }},
      {"qos", "1", [](MqttTopic& topic, Text text) { topic.qos = int_in(text, qos_levels); }},
      {"event-type", "", [](MqttTopic& topic, Text text) { topic.event_type = text; }},
      {"function", "", [](MqttTopic& topic, Text text) { topic.function = text; }},
      {"customer", "", [](MqttTopic& topic, Text text) { topic.tenant = text; }},
      {"weight", "1", [](MqttTopic& topic, Text text) { topic.weight = number_in(text, topic_weights); }},
  };
  return all;
}

// Checked only: no decision needs the memory of a kind of function.
struct FunctionKind {
  double memory_mb = 0;
};

const std::vector<Key<FunctionKind>>& function_kind_keys() {
  static const std::vector<Key<FunctionKind>> all{
      {"memory-mb", nullptr,
       [](FunctionKind& kind, Text text) { kind.memory_mb = number_in(text, memory_sizes); }},
  };
  return all;
}

// Empty where it is none, which is a fault.
std::string checked_name(const NamedSectionInput& input) {
  try {
    return identifier(input.written_name);
  } catch (const InvalidValue& invalid) {
    input.faults.add({input.sections.at(input.head).line, "[" + input.head + "]"}, invalid.what());
    return "";
  }
}

template <typename Target>
void read_keys(const NamedSectionInput& input, const std::vector<Key<Target>>& keys, Target& target) {
  read_section({.name = input.head,
                .section = input.sections.at(input.head),
                .faults = input.faults,
                .in_force = input.configuration.in_force},
               keys, target);
}

}  // namespace

bool read_named_section(const std::string& kind, const NamedSectionInput& input) {
  if (kind == "traffic") {
    read_request_class(input, checked_name(input));
  } else if (kind == "customer") {
    Tenant tenant;
    tenant.name = checked_name(input);
    read_keys(input, tenant_keys(), tenant);
    input.configuration.routing.tenants.push_back(tenant);
  } else if (kind == "mqtt-topic") {
    MqttTopic topic;
    topic.name = checked_name(input);
    read_keys(input, topic_keys(), topic);
    input.configuration.mqtt.topics.push_back(topic);
  } else if (kind == "kind") {
    FunctionKind function_kind;
    checked_name(input);
    read_keys(input, function_kind_keys(), function_kind);
  } else {
    return false;
  }
  return true;
}

}  // namespace rushhill::deployment

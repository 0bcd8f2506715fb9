// The sections of the connections: servers, front ends, discovery, other routers, and the log.
#include "deployment/fixed_sections.h"
#include "deployment/values.h"
#include "mqtt/topic_filter.h"

namespace rushhill::deployment {
namespace {

using Config = DeploymentConfiguration;
using Text = const std::string&;

constexpr IntegerRange connections_to_a_server{.least = 1, .most = 65'536};
constexpr IntegerRange client_connections{.least = 1, .most = 1'000'000};
constexpr IntegerRange batch_sizes{.least = 1, .most = 10'000};
constexpr NumberRange weights{.least = 0.001, .most = 1000};
constexpr IntegerRange in_flight_limits{.least = 1, .most = 65'535};
constexpr IntegerRange try_limits{.least = 1, .most = 100};
constexpr IntegerRange other_routers{.least = 0, .most = 100};
constexpr NumberRange held_within_parts{.least = 0.01, .most = 0.9};
constexpr IntegerRange mark_limits{.least = 1, .most = 100'000'000};

constexpr int mqtt_3_1_1 = 4;  // as the protocol counts its versions
constexpr int mqtt_5 = 5;

std::string topic_name(Text text) {
  if (!text.empty() && !mqtt::topic_valid(text)) throw InvalidValue("'" + text + "' is no topic");
  return text;
}

// Other routers are told this address, so a descriptor does not do.
std::string optional_announced_address(Text text) {
  if (text.starts_with("fd:")) throw InvalidValue("'" + text + "' is no address");
  return optional_socket_address(text);
}

}  // namespace

std::vector<ConfigurationKey> servers_keys() {
  return {
      {"reports", "answers",
       [](Config& config, Text text) {
         config.routing.reports.load_reports =
             one_of<const char*>(text, {{"answers", "answers"}, {"probe", "probe"}, {"none", "none"}});
       }},
      {"connect-limit", "250ms",
       [](Config& config, Text text) { config.routing.connect_timeout = positive_span(text); }},
      {"connection-idle", "15s",
       [](Config& config, Text text) { config.routing.connection_idle_timeout = positive_span(text); }},
      {"connections", "256",
       [](Config& config, Text text) {
         config.server_connections.connections = int_in(text, connections_to_a_server);
       }},
      {"reply", "1MiB", [](Config& config, Text text) { config.server_connections.reply = bytes(text); }},
  };
}

std::vector<ConfigurationKey> http_keys() {
  return {
      {"listen", "127.0.0.1:8080",
       [](Config& config, Text text) { config.http.listen = socket_address(text); }},
      {"connections", "20000",
       [](Config& config, Text text) { config.http.connections = int_in(text, client_connections); }},
      {"body", "1MiB", [](Config& config, Text text) { config.http.body = bytes(text); }},
      {"batch", "100", [](Config& config, Text text) { config.http.batch = int_in(text, batch_sizes); }},
      {"request-within", "10s",
       [](Config& config, Text text) { config.http.head_within = to_ticks(positive_span(text)); }},
      {"idle", "60s", [](Config& config, Text text) { config.http.idle = to_ticks(positive_span(text)); }},
      {"wind-up", "5s", [](Config& config, Text text) { config.http.drain_timeout = to_ticks(span(text)); }},
      {"weight", "1", [](Config& config, Text text) { config.http.weight = number_in(text, weights); }},
  };
}

std::vector<ConfigurationKey> mqtt_keys() {
  return {
      {"address", "", [](Config& config, Text text) { config.mqtt.address = optional_socket_address(text); }},
      {"client", "rushhill", [](Config& config, Text text) { config.mqtt.client = identifier(text); }},
      {"version", "5",
       [](Config& config, Text text) {
         config.mqtt.version = one_of<int>(text, {{"5", mqtt_5}, {"3.1.1", mqtt_3_1_1}});
       }},
      {"in-flight", "200",
       [](Config& config, Text text) { config.mqtt.in_flight = int_in(text, in_flight_limits); }},
      {"tries", "3", [](Config& config, Text text) { config.mqtt.tries = int_in(text, try_limits); }},
      {"keep-alive", "30s", [](Config& config, Text text) { config.mqtt.keep_alive = to_ticks(span(text)); }},
      {"session", "1h", [](Config& config, Text text) { config.mqtt.session = to_ticks(span(text)); }},
      {"remember", "60s",
       [](Config& config, Text text) { config.mqtt.remember = to_ticks(positive_span(text)); }},
      {"retry", "500ms",
       [](Config& config, Text text) { config.mqtt.retry = to_ticks(positive_span(text)); }},
      {"dead-letter", "rushhill/dead-letter",
       [](Config& config, Text text) { config.mqtt.dead_letter = topic_name(text); }},
  };
}

std::vector<ConfigurationKey> discovery_keys() {
  return {
      {"address", "",
       [](Config& config, Text text) { config.discovery.address = optional_socket_address(text); }},
      {"remembered", "", [](Config& config, Text text) { config.discovery.remembered = text; }},
      {"retry", "500ms",
       [](Config& config, Text text) { config.discovery.retry = to_ticks(positive_span(text)); }},
      {"pushed", "yes",
       [](Config& config, Text text) { config.routing.endpoint_watch_on_request = !yes_or_no(text); }},
  };
}

std::vector<ConfigurationKey> peers_keys() {
  return {
      {"listen", "", [](Config& config, Text text) { config.peers.listen = optional_socket_address(text); }},
  };
}

std::vector<ConfigurationKey> replication_keys() {
  return {
      {"listen", "",
       [](Config& config, Text text) { config.replication.listen = optional_announced_address(text); }},
      {"deployment", "rushhill",
       [](Config& config, Text text) { config.replication.deployment = identifier(text); }},
      {"held-by", "0",
       [](Config& config, Text text) { config.replication.held_by = int_in(text, other_routers); }},
      {"held-within", "0.2",
       [](Config& config, Text text) {
         config.replication.held_within = number_in(text, held_within_parts);
       }},
      {"mark-life", "60s",
       [](Config& config, Text text) { config.replication.mark_life = to_ticks(positive_span(text)); }},
      {"most-marks", "100000",
       [](Config& config, Text text) {
         config.replication.most_marks = static_cast<std::size_t>(integer_in(text, mark_limits));
       }},
  };
}

std::vector<ConfigurationKey> log_keys() {
  return {
      {"least", "info",
       [](Config& config, Text text) {
         config.least_log_level = one_of<core::Level>(text, {{"debug", core::Level::debug},
                                                             {"info", core::Level::info},
                                                             {"warning", core::Level::warning},
                                                             {"error", core::Level::error}});
       }},
      {"form", "people",
       [](Config& config, Text text) {
         config.log_json = one_of<bool>(text, {{"people", false}, {"json", true}});
       }},
  };
}

}  // namespace rushhill::deployment

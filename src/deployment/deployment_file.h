// The deployment file: INI read by inih, every key checked with file, line, key and reason.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "core/event_log.h"
#include "mqtt/packets.h"
#include "replica/state.h"
#include "routing/configuration.h"

namespace rushhill::deployment {

// All that was found wrong, a line each: FILE:LINE: KEY: reason.
class BadFile : public std::runtime_error {
 public:
  explicit BadFile(std::vector<std::string> faults);
  const std::vector<std::string>& faults() const { return faults_; }

 private:
  std::vector<std::string> faults_;
};

struct HttpConfiguration {
  std::string listen{};  // an address with a port, or fd:N
  int connections = 0;
  std::uint64_t body = 0;  // bytes
  int batch = 0;           // events
  double weight = 1;       // beside the MQTT topics
  Time head_within = 0;    // from the first byte of a request to the last
  Time idle = 0;
  Time drain_timeout = 0;  // after a stop was asked for
};

struct ServerConnectionConfiguration {
  int connections = 0;      // to one server
  std::uint64_t reply = 0;  // bytes
};

struct DiscoveryConfiguration {
  std::string address{};     // of the roster's source; empty: none
  std::string remembered{};  // file that holds the last complete list; empty: none
  Time retry = 0;
};

struct PeerConfiguration {
  std::string listen{};
  std::vector<std::string> addresses{};  // by router number; this router's own place is not used
};

// What routers hold together, exchanged between them; no listen: nothing is.
struct ReplicationConfiguration {
  std::string listen{};
  std::string deployment{};                           // routers of another are refused
  std::vector<std::string> addresses{};               // by router number; this router's own place is not used
  std::map<std::string, replica::MarkLevel> marks{};  // by traffic type; not named: none
  int held_by = 0;         // other routers that must hold a mark; 0: so many that any two takings meet
  double held_within = 0;  // part of an event's time
  Time mark_life = 0;
  std::size_t most_marks = 0;  // of each router
};

// Which messages call which function: {1}, {2} in function and customer stand for the filter's wildcards.
struct MqttTopic {
  std::string name{}, filter{}, group{};  // of a shared subscription; empty: none
  int qos = 1;
  std::string event_type{}, function{}, tenant{};  // empty: as the event tells
  double weight = 1;
};

struct MqttConfiguration {
  std::string address{};  // empty: no broker
  std::string client{};
  int version = 5;  // 4: 3.1.1
  int in_flight = 0;
  int tries = 0;  // of a message that nobody waits for
  Time keep_alive = 0, session = 0, remember = 0, retry = 0;
  std::string dead_letter{};
  std::vector<MqttTopic> topics{};
};

// Everything that is told at start.
struct DeploymentConfiguration {
  RoutingConfiguration routing{};
  std::uint64_t seed = 0;       // 0: drawn at start
  std::size_t descriptors = 0;  // that are free at start; 0: not counted
  HttpConfiguration http{};
  ServerConnectionConfiguration server_connections{};
  DiscoveryConfiguration discovery{};
  PeerConfiguration peers{};
  ReplicationConfiguration replication{};
  MqttConfiguration mqtt{};
  core::Level least_log_level = core::Level::info;
  bool log_json = false;
  std::map<std::string, std::string> class_of_event_type{};  // the event's type attribute to traffic type
  std::vector<std::string> in_force{};                       // the whole file with every default, a line each
};

DeploymentConfiguration read_file(const std::string& path);                         // throws BadFile
DeploymentConfiguration read_text(const std::string& path, std::string_view text);  // throws BadFile

}  // namespace rushhill::deployment

// What a deployment file says about one router, as typed values: the sections of the file, a struct each.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/event_log.h"
#include "replica/state.h"
#include "routing/configuration.h"

namespace rushhill::deployment {

// The HTTP front end.
struct HttpConfiguration {
  std::string listen{};    // an address with a port, or fd:N
  int connections = 0;     // open at a time
  std::uint64_t body = 0;  // bytes; the longest request body
  int batch = 0;           // events in one request at most
  double weight = 1;       // of HTTP's share of the admissions, beside the MQTT topics
  Time head_within = 0;    // from the first byte of a request to the last
  Time idle = 0;           // an idle connection is closed after that
  Time drain_timeout = 0;  // open requests get so long to end after a stop was asked for
};

// The connections to model servers.
struct ServerConnectionConfiguration {
  int connections = 0;      // to one server
  std::uint64_t reply = 0;  // bytes; the longest reply
};

// Where the list of endpoints comes from.
struct DiscoveryConfiguration {
  std::string address{};     // of the source of the list; empty: none
  std::string remembered{};  // file that holds the last complete list; empty: none
  Time retry = 0;            // first pause between attempts to connect
};

// The gossip between routers, by datagrams.
struct PeerConfiguration {
  std::string listen{};                  // empty: no gossip
  std::vector<std::string> addresses{};  // by router number; this router's own entry is not used
};

// The replicated state of the routers. Without `listen` nothing is replicated.
struct ReplicationConfiguration {
  std::string listen{};
  std::string deployment{};              // routers of another deployment are refused
  std::vector<std::string> addresses{};  // by router number; this router's own entry is not used
  std::map<std::string, replica::DeduplicationLevel> marks{};  // by request class; not named: none
  int held_by = 0;             // other routers that must hold a mark; 0: so many that any two admissions meet
  double held_within = 0;      // part of a request's time until its deadline
  Time mark_life = 0;          // a mark is kept that long
  std::size_t most_marks = 0;  // of each router
};

// Which messages call which function: {1}, {2} in function and tenant stand for the filter's wildcards.
struct MqttTopic {
  std::string name{};
  std::string filter{};
  std::string group{};  // of a shared subscription; empty: none
  int qos = 1;
  std::string event_type{};  // empty: as the message says
  std::string function{};    // empty: as the message says
  std::string tenant{};      // empty: as the message says
  double weight = 1;         // of the topic's share of the admissions
};

// The MQTT front end: a client of one broker.
struct MqttConfiguration {
  std::string address{};  // empty: no broker
  std::string client{};   // prefix of the client identifiers
  int version = 5;        // 4: 3.1.1
  int in_flight = 0;      // messages received and not yet acknowledged
  int tries = 0;          // of a message that nobody waits for
  Time keep_alive = 0;
  Time session = 0;           // session expiry
  Time remember = 0;          // deliveries seen are known again for that long
  Time retry = 0;             // first pause between attempts to connect
  std::string dead_letter{};  // topic for messages that failed; empty: none
  std::vector<MqttTopic> topics{};
};

// Everything that a router is started with.
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
  std::map<std::string, std::string> class_of_event_type{};  // a CloudEvent's type to its request class
  std::vector<std::string> in_force{};                       // the whole file with every default, a line each
};

}  // namespace rushhill::deployment

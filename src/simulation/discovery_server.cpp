#include "simulation/discovery_server.h"

#include <utility>

namespace rushhill::simulation {
namespace {

using Json = nlohmann::json;

constexpr std::uint64_t seed_modulus = 16'777'211;
constexpr double ticks_per_second = 10'000;

// A message that reports the entries as changed.
Json changes(std::int64_t revision, Json entries) {
  return {{"form", "changes"}, {"revision", revision}, {"servers", std::move(entries)}};
}

}  // namespace

DiscoveryServer::DiscoveryServer(transport::Reactor& reactor, const transport::Address& address,
                                 const Day& day, Record& record)
    : reactor_(reactor), day_(day), record_(record),
      random_(static_cast<std::uint_fast32_t>(day.seed % seed_modulus)), port_(reactor.reserve(address)) {
  address_ = port_->address();
  listen();
}
DiscoveryServer::~DiscoveryServer() { end_all_connections(); }

void DiscoveryServer::listen() {
  listener_ = std::make_unique<transport::Listener>(
      reactor_, address_, true, [this](const transport::PendingConnection& pending) {
        const auto connection = std::make_shared<DiscoveryConnection>(reactor_, *this, pending);
        connections_.emplace(connection.get(), connection);
      });
}

void DiscoveryServer::end_all_connections() {
  listener_.reset();
  while (!connections_.empty()) connections_.begin()->first->close();
}

void DiscoveryServer::connection_ended(DiscoveryConnection& connection) {
  const auto it = connections_.find(&connection);
  if (it == connections_.end()) return;
  reactor_.post([ended = it->second] {});
  connections_.erase(it);
}

void DiscoveryServer::announce(const Json& entry) {
  if (!entry.is_object() || !entry.contains("id")) return;
  Json& known = entries_[entry.value("id", "")];
  if (known == entry) return;
  known = entry;
  ++revision_;
  notify(entry);
}

Time DiscoveryServer::draw_lag() {
  const double share = static_cast<double>(random_()) / static_cast<double>(random_.max());
  const Time range = day_.discovery_lag_maximum - day_.discovery_lag_minimum;
  return day_.discovery_lag_minimum + additional_lag_ + static_cast<Time>(share * static_cast<double>(range));
}

void DiscoveryServer::notify(const Json& entry) {
  for (auto& [connection, owned] : connections_) {
    if (!connection->follows()) continue;
    const Time when = connection->reserve_moment(reactor_.now() + draw_lag());
    const Json message = changes(revision_, Json::array({entry}));
    reactor_.at(when, [this, receiver = connection, alive = std::weak_ptr(owned), message] {
      if (!alive.expired()) send(*receiver, message);
    });
  }
}

void DiscoveryServer::send_complete_list(DiscoveryConnection& connection) {
  Json servers = Json::array();
  for (const auto& [id, entry] : entries_) {
    if (entry.value("condition", "") != "gone") servers.push_back(entry);
  }
  send(connection, {{"form", "complete"}, {"revision", revision_}, {"servers", std::move(servers)}});
}

void DiscoveryServer::send_now(const Json& message) {
  for (auto& [connection, owned] : connections_) {
    if (connection->follows()) send(*connection, message);
  }
}

// The record says what a router was notified of, and from when on.
void DiscoveryServer::send(DiscoveryConnection& connection, const Json& message) {
  Json conditions = Json::array();
  for (const Json& entry : message["servers"])
    conditions.push_back(
        {entry.value("id", ""), entry.value("condition", "active"), entry.value("started_ms", 0.0)});
  record_.line({{"what", "told"},
                {"at", reactor_.clock_ns()},
                {"router", connection.router()},
                {"complete", message.value("form", "") == "complete"},
                {"servers", std::move(conditions)}});
  connection.write(message.dump() + "\n");
}

void DiscoveryServer::play(Time start) {
  for (const Fault& fault : day_.faults) {
    const Time begin = start + fault.at;
    const Time end = begin + fault.span;
    if (fault.kind == FaultKind::discovery_lag) {
      const Time lag = static_cast<Time>(fault.size * ticks_per_second);
      reactor_.at(begin, [this, lag] { additional_lag_ = lag; });
      reactor_.at(end, [this] { additional_lag_ = 0; });
    } else if (fault.kind == FaultKind::discovery_outage) {
      reactor_.at(begin, [this] { end_all_connections(); });
      reactor_.at(end, [this] { listen(); });
    } else if (fault.kind == FaultKind::discovery_contradiction) {
      play_contradiction(fault, begin);
    }
  }
}

void DiscoveryServer::play_contradiction(const Fault& fault, Time begin) {
  for (const std::string& server : fault.servers) {
    reactor_.at(begin, [this, server] { contradict(server); });
    reactor_.at(begin + fault.span, [this, server] { repeat(server); });
  }
}

// Reports the server twice in one message, as draining and as it is.
void DiscoveryServer::contradict(const std::string& server) {
  const auto it = entries_.find(server);
  if (it == entries_.end()) return;
  Json draining = it->second;
  draining["condition"] = "draining";
  send_now(changes(++revision_, Json::array({draining, it->second})));
}

// Reports the server as it is.
void DiscoveryServer::repeat(const std::string& server) {
  if (const auto it = entries_.find(server); it != entries_.end()) notify(it->second);
}

}  // namespace rushhill::simulation

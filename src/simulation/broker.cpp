#include "simulation/broker.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "mqtt/topic_filter.h"

namespace rushhill::simulation {
namespace {

using mqtt::Packet;
using mqtt::Type;

constexpr std::size_t most_queued = 200'000;  // messages of one session
constexpr Time restart_span = 500;            // tenths of a millisecond without a listener
constexpr Time linger = 50;  // tenths of a millisecond in which what was written still leaves
constexpr std::size_t cut_message_after = 20;   // bytes
constexpr std::uint16_t most_receive = 65'535;  // messages, where the client sets no maximum
constexpr std::uint8_t disconnect_with_will = 0x04;
constexpr std::uint8_t first_error_reason = 0x80;
constexpr Time ticks_per_second = 10'000;
constexpr std::string_view share_prefix = "$share/";

bool is_shared(const std::string& filter) { return filter.starts_with(share_prefix); }

// Whether the topic fits the filter behind the name of the share.
bool shared_matches(std::string_view filter, const std::string& topic) {
  const std::size_t slash = filter.find('/', share_prefix.size());
  return slash != std::string_view::npos && mqtt::matches(filter.substr(slash + 1), topic);
}

}  // namespace

Broker::Broker(transport::Reactor& reactor, const transport::Address& listen_address, Record& record)
    : reactor_(reactor), port_(reactor_.reserve(listen_address)), address_(port_->address()),
      record_(record) {
  listen();
}
Broker::~Broker() = default;

void Broker::listen() {
  listener_ = std::make_unique<transport::Listener>(
      reactor_, address_, true, [this](const transport::PendingConnection& pending) {
        const auto connection = std::make_shared<BrokerConnection>(reactor_, *this, faults_, pending);
        connections_.emplace(connection.get(), connection);
      });
}

void Broker::connection_ended(BrokerConnection& connection) {
  if (connection.session != nullptr && connection.session->connection == &connection)
    connection.session->connection = nullptr;
  connection.session = nullptr;
  const auto it = connections_.find(&connection);
  if (it == connections_.end()) return;
  reactor_.at(reactor_.now() + linger, [ended = it->second] {});
  connections_.erase(it);
}

void Broker::will_due(const Packet& message) {
  reactor_.post([this, message] { publish(message); });
}

void Broker::cut_next_publish(std::size_t bytes) {
  faults_.cut_publish_after = bytes;
  faults_.cuts_next_publish = true;
}

void Broker::read_slowly(bool on) {
  faults_.reads_slowly = on;
  for (const auto& [connection, owned] : connections_) connection->set_reading(!on);
}

void Broker::drop_clients() {
  while (!connections_.empty()) connections_.begin()->first->close(true);
}

void Broker::restart(bool forget) {
  listener_.reset();
  drop_clients();
  if (forget) sessions_.clear();
  reactor_.at(reactor_.now() + restart_span, [this] { listen(); });
}

std::size_t Broker::unacknowledged(const std::string& client) const {
  const auto it = sessions_.find(client);
  return it == sessions_.end() ? 0 : it->second.outgoing.size();
}

std::size_t Broker::queued(const std::string& client) const {
  const auto it = sessions_.find(client);
  return it == sessions_.end() ? 0 : it->second.queue.size();
}

std::size_t Broker::subscribed() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(sessions_, [](const auto& known) { return known.second.subscribed(); }));
}

bool Broker::connected(const std::string& client) const {
  const auto it = sessions_.find(client);
  return it != sessions_.end() && it->second.connection != nullptr;
}

void Broker::received(BrokerConnection& connection, Packet& packet) {
  if (packet.type == Type::connect) return connect(connection, packet);
  if (connection.session == nullptr) return connection.close(true);
  BrokerSession& session = *connection.session;
  switch (packet.type) {
    case Type::publish:
      return receive_publish(connection, packet);
    case Type::pubrel:
      session.incoming.erase(packet.id);
      return connection.send({.type = Type::pubcomp, .id = packet.id});
    case Type::puback:
    case Type::pubcomp:
      return receive_acknowledgement(session, packet.id);
    case Type::pubrec:
      return receive_pubrec(connection, packet);
    case Type::subscribe:
      return subscribe(connection, packet);
    case Type::unsubscribe:
      return unsubscribe(connection, packet);
    case Type::pingreq:
      return connection.send({.type = Type::pingresp});
    case Type::disconnect:
      return connection.close(packet.reason == disconnect_with_will);
    default:
      return connection.close(true);
  }
}

void Broker::connect(BrokerConnection& connection, const Packet& packet) {
  Packet answer{.type = Type::connack, .reason = faults_.connect_refusal};
  if (answer.reason != mqtt::success) {
    connection.send(answer);
    return connection.close(false);
  }
  if (packet.clean_start) sessions_.erase(packet.client_id);
  const auto [it, fresh] = sessions_.try_emplace(packet.client_id);
  BrokerSession& session = it->second;
  if (session.connection != nullptr) take_over(session);
  session.client = packet.client_id;
  session.version = connection.version();
  session.receive_maximum = packet.properties.receive_maximum.value_or(most_receive);
  session.connection = &connection;
  connection.session = &session;
  connection.will = packet.will;
  answer.session_present = !fresh;
  connection.send(answer);
  resend(session, connection);
  if (session.connection == &connection) send_queued(session);
}

// Another connection of the same client takes the session's place.
void Broker::take_over(BrokerSession& session) {
  if (session.version == 5)
    session.connection->send({.type = Type::disconnect, .reason = mqtt::session_taken_over});
  session.connection->close(true);
}

// What was not acknowledged is sent again, in its order.
void Broker::resend(BrokerSession& session, BrokerConnection& connection) {
  for (const std::uint16_t id : session.unacknowledged()) {
    if (session.connection != &connection) return;
    BrokerSession::Outgoing& sent = session.outgoing.at(id);
    sent.message.dup = true;
    if (!sent.received) record_delivery(session, sent.message);
    connection.send(sent.received ? Packet{.type = Type::pubrel, .id = id} : sent.message);
  }
}

void Broker::receive_publish(BrokerConnection& connection, const Packet& packet) {
  const bool fresh = packet.qos != 2 || connection.session->incoming.insert(packet.id).second;
  if (packet.qos > 0)
    connection.send({.type = packet.qos == 1 ? Type::puback : Type::pubrec, .id = packet.id});
  if (fresh) publish(packet);
}

void Broker::receive_acknowledgement(BrokerSession& session, std::uint16_t packet_id) {
  const auto it = session.outgoing.find(packet_id);
  if (it == session.outgoing.end()) return;
  acknowledged_.push_back(it->second.message.payload);
  session.outgoing.erase(it);
  send_queued(session);
}

void Broker::receive_pubrec(BrokerConnection& connection, const Packet& packet) {
  BrokerSession& session = *connection.session;
  const auto it = session.outgoing.find(packet.id);
  if (it == session.outgoing.end()) return;
  if (packet.reason >= first_error_reason) {
    session.outgoing.erase(it);
    return send_queued(session);
  }
  it->second.received = true;
  connection.send({.type = Type::pubrel, .id = packet.id});
}

void Broker::subscribe(BrokerConnection& connection, const Packet& packet) {
  BrokerSession& session = *connection.session;
  Packet answer{.type = Type::suback, .id = packet.id};
  for (const auto& [filter, most_qos] : packet.filters) {
    session.subscribe(filter, most_qos);
    answer.reasons.push_back(static_cast<std::uint8_t>(most_qos));
  }
  connection.send(answer);
  for (const auto& [filter, most_qos] : packet.filters) send_retained(session, filter, most_qos);
}

// Retained messages are not sent to shared subscriptions.
void Broker::send_retained(BrokerSession& session, const std::string& filter, int most_qos) {
  if (is_shared(filter)) return;
  for (const auto& [topic, message] : retained_) {
    if (mqtt::matches(filter, topic)) deliver(session, message, most_qos);
  }
}

void Broker::unsubscribe(BrokerConnection& connection, const Packet& packet) {
  Packet answer{.type = Type::unsuback, .id = packet.id};
  for (const auto& [filter, most_qos] : packet.filters) {
    connection.session->unsubscribe(filter);
    answer.reasons.push_back(mqtt::success);
  }
  connection.send(answer);
}

void Broker::publish(const Packet& message) {
  if (message.retain) {
    retained_[message.topic] = message;
    if (message.payload.empty()) retained_.erase(message.topic);
  }
  seen.push_back(message);
  if (seen.size() > most_queued) seen.erase(seen.begin(), seen.begin() + most_queued / 2);
  route(message);
}

void Broker::route(const Packet& message) {
  SharedSubscriptions shared;
  for (auto& [client, session] : sessions_) deliver_to(session, message, shared);
  for (auto& [filter, members] : shared) deliver_shared(filter, members, message);
}

// Delivers by the session's own subscriptions; its shared ones are added to the others'.
void Broker::deliver_to(BrokerSession& session, const Packet& message, SharedSubscriptions& shared) {
  for (const auto& [filter, most_qos] : session.subscriptions) {
    const bool is_share = is_shared(filter);
    if (is_share && shared_matches(filter, message.topic))
      shared[filter].push_back({.session = &session, .most_qos = most_qos});
    if (!is_share && mqtt::matches(filter, message.topic)) deliver(session, message, most_qos);
  }
}

// Round robin among the members that are connected and have nothing queued, else among the connected ones,
// else among all.
void Broker::deliver_shared(const std::string& filter, Members& members, const Packet& message) {
  const std::size_t turn = next_member_[filter]++;
  std::ranges::rotate(members, members.begin() + static_cast<std::ptrdiff_t>(turn % members.size()));
  const auto connected = [](const Member& member) { return member.session->connection != nullptr; };
  const auto free = [&](const Member& member) { return connected(member) && member.session->queue.empty(); };
  auto chosen = std::ranges::find_if(members, free);
  if (chosen == members.end()) chosen = std::ranges::find_if(members, connected);
  if (chosen == members.end()) chosen = members.begin();
  deliver(*chosen->session, message, chosen->most_qos);
}

void Broker::deliver(BrokerSession& session, Packet message, int most_qos) {
  message.qos = std::min(message.qos, most_qos);
  message.dup = false;
  message.retain = false;
  message.id = 0;
  // While it is queued its expiry is a moment, in seconds of the monotonic clock.
  if (auto& expiry = message.properties.message_expiry) *expiry += now_seconds();
  if (session.queue.size() < most_queued && (session.connection != nullptr || message.qos > 0))
    session.queue.push_back(std::move(message));
  send_queued(session);
}

std::uint32_t Broker::now_seconds() const {
  return static_cast<std::uint32_t>(reactor_.now() / ticks_per_second);
}

// Whether the message has not expired.
bool Broker::set_remaining_expiry(Packet& message) const {
  auto& expiry = message.properties.message_expiry;
  if (!expiry) return true;
  const std::uint32_t now = now_seconds();
  if (*expiry <= now) return false;
  *expiry -= now;
  return true;
}

void Broker::send_queued(BrokerSession& session) {
  while (session.connection != nullptr && !session.queue.empty()) {
    if (session.queue.front().qos > 0 && !session.may_send()) return;
    Packet message = std::move(session.queue.front());
    session.queue.pop_front();
    if (!set_remaining_expiry(message)) continue;
    if (message.qos > 0) {
      session.await_acknowledgement(message);
      most_unacknowledged_ = std::max(most_unacknowledged_, session.outgoing.size());
    }
    record_delivery(session, message);
    session.connection->send(message);
    if (faults_.duplicates && message.qos == 1) send_duplicate(session, message);
  }
}

// The same message under an identifier of its own, as a broker that lost count would send it.
void Broker::send_duplicate(BrokerSession& session, const Packet& message) {
  if (session.connection == nullptr || !session.may_send()) return;
  Packet duplicate = message;
  session.await_acknowledgement(duplicate);
  session.connection->send(duplicate);
}

// What is sent to a router, for the checker: the event and whether it is a repeat.
void Broker::record_delivery(const BrokerSession& session, const Packet& message) {
  if (!message.properties.correlation_data || !message.properties.response_topic) return;
  record_.line({{"what", "delivered"},
                {"at", reactor_.clock_ns()},
                {"client", session.client},
                {"id", *message.properties.correlation_data},
                {"dup", message.dup}});
}

void Broker::play(const Day& day, Time start) {
  for (const Fault& fault : day.faults) {
    const Time begin = start + fault.at;
    const Time end = begin + fault.span;
    if (fault.kind == FaultKind::broker_drop) {
      reactor_.at(begin, [this] { drop_clients(); });
      reactor_.at(end, [this] { cut_next_publish(cut_message_after); });
    } else if (fault.kind == FaultKind::broker_twice) {
      reactor_.at(begin, [this] { duplicate(true); });
      reactor_.at(end, [this] { duplicate(false); });
    }
  }
}

}  // namespace rushhill::simulation

#include "standin/broker.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace rushhill::standin {
namespace {

using mqtt::Packet;
using mqtt::Type;

constexpr std::size_t longest_packet = 4 * 1024 * 1024;  // bytes
constexpr std::size_t most_queued = 200'000;             // messages of one session
constexpr Time down_for = 500;                           // tenths of a millisecond, of a restart

}  // namespace

class Broker::Link final : public transport::StreamHandler {
 public:
  Link(Broker& broker, const transport::PendingConnection& arrival)
      : broker_(broker), reader_(0, longest_packet) {
    stream_ = transport::Stream::adopt(broker.reactor_, arrival, *this);
    left_ = std::exchange(broker.cut_total_, 0);
    cutting_ = left_ > 0;
    if (broker.reading_slowly_) stream_->set_reading(false);
  }
  ~Link() override { stream_->close(); }
  void on_data(std::string_view bytes) override {
    in_ += bytes;
    while (!broker_.reading_slowly_) {
      Packet packet;
      const mqtt::Progress progress = reader_.put(in_, packet);
      if (progress == mqtt::Progress::more || stream_->closed()) return;
      if (progress == mqtt::Progress::bad) return leave(true);
      broker_.take(*this, packet);
    }
  }
  void on_closed(transport::CloseReason) override { leave(true); }
  void send(const Packet& packet) {
    std::string bytes = mqtt::encode(packet, reader_.version());
    if (cutting_ && bytes.size() >= left_) {
      stream_->write(bytes.substr(0, left_));
      return leave(false);
    }
    left_ -= cutting_ ? bytes.size() : 0;
    if (packet.type == Type::publish && std::exchange(broker_.cut_due_, false)) {
      stream_->write(bytes.substr(0, std::min(broker_.cut_at_, bytes.size() - 1)));
      return leave(false);
    }
    stream_->write(bytes);
  }
  void leave(bool with_will) {
    if (std::exchange(gone_, true)) return;
    if (with_will && will) {
      Packet last{.type = Type::publish, .retain = will->retain, .qos = will->qos};
      last.topic = will->topic, last.payload = will->payload;
      broker_.reactor_.post([&broker = broker_, last] { broker.publish(last); });
    }
    stream_->shutdown_write();
    broker_.gone(*this);
  }
  int version() const { return reader_.version(); }
  void read(bool on) { stream_->set_reading(on); }

  Session* session = nullptr;
  std::optional<mqtt::Will> will;

 private:
  Broker& broker_;
  std::shared_ptr<transport::Stream> stream_;
  mqtt::Reader reader_;
  std::string in_;
  std::size_t left_ = 0;
  bool cutting_ = false, gone_ = false;
};

Broker::Broker(transport::Reactor& reactor, const transport::Address& address, Record& record)
    : reactor_(reactor), holder_(reactor.reserve(address)), address_(holder_->address()), record_(record) {
  listen();
}
Broker::~Broker() = default;

void Broker::listen() {
  listener_ = std::make_unique<transport::Listener>(
      reactor_, address_, true, [this](const transport::PendingConnection& arrival) {
        const auto link = std::make_shared<Link>(*this, arrival);
        links_.emplace(link.get(), link);
      });
}

void Broker::gone(Link& link) {
  if (link.session != nullptr && link.session->link == &link) link.session->link = nullptr;
  link.session = nullptr;
  const auto it = links_.find(&link);
  if (it == links_.end()) return;
  // What was written still leaves.
  reactor_.at(reactor_.now() + 50, [held = it->second] {});
  links_.erase(it);
}

void Broker::read_slowly(bool on) {
  reading_slowly_ = on;
  for (const auto& [link, held] : links_) link->read(!on);
}

void Broker::drop_clients() {
  while (!links_.empty()) links_.begin()->first->leave(true);
}

void Broker::restart(bool forget) {
  listener_.reset();
  drop_clients();
  if (forget) sessions_.clear();
  reactor_.at(reactor_.now() + down_for, [this] { listen(); });
}

std::size_t Broker::unacknowledged(const std::string& client) const {
  const auto it = sessions_.find(client);
  return it == sessions_.end() ? 0 : it->second.out.size();
}
std::size_t Broker::queued(const std::string& client) const {
  const auto it = sessions_.find(client);
  return it == sessions_.end() ? 0 : it->second.queue.size();
}

std::size_t Broker::subscribed() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(sessions_, [](const auto& known) { return !known.second.filters.empty(); }));
}

bool Broker::connected(const std::string& client) const {
  const auto it = sessions_.find(client);
  return it != sessions_.end() && it->second.link != nullptr;
}

void Broker::connect(Link& link, Packet& packet) {
  Packet answer{.type = Type::connack, .reason = refusal_};
  if (refusal_ != 0) {
    link.send(answer);
    return link.leave(false);
  }
  if (packet.clean_start) sessions_.erase(packet.client_id);
  const auto [it, fresh] = sessions_.try_emplace(packet.client_id);
  Session& session = it->second;
  if (session.link != nullptr) {
    if (session.version == 5)
      session.link->send({.type = Type::disconnect, .reason = mqtt::session_taken_over});
    session.link->leave(true);
  }
  session.client = packet.client_id;
  session.version = link.version();
  session.receive_maximum = packet.properties.receive_maximum.value_or(65'535);
  session.link = &link;
  link.session = &session;
  link.will = packet.will;
  answer.session_present = !fresh;
  link.send(answer);
  // What was not acknowledged goes again, in its order.
  std::vector<std::pair<std::int64_t, std::uint16_t>> again;
  for (const auto& [id, out] : session.out) again.emplace_back(out.order, id);
  std::ranges::sort(again);
  for (const auto& [order, id] : again) {
    Out& out = session.out.at(id);
    out.message.dup = true;
    if (session.link != &link) return;
    if (!out.released) note(session, out.message);
    link.send(out.released ? Packet{.type = Type::pubrel, .id = id} : out.message);
  }
  pump(session);
}

void Broker::take(Link& link, Packet& packet) {
  if (packet.type == Type::connect) return connect(link, packet);
  if (link.session == nullptr) return link.leave(true);
  Session& session = *link.session;
  switch (packet.type) {
    case Type::publish: {
      const std::uint16_t id = packet.id;
      const bool fresh = packet.qos != 2 || session.in.insert(id).second;
      if (packet.qos > 0) link.send({.type = packet.qos == 1 ? Type::puback : Type::pubrec, .id = id});
      if (fresh) publish(packet);
      return;
    }
    case Type::pubrel:
      session.in.erase(packet.id);
      return link.send({.type = Type::pubcomp, .id = packet.id});
    case Type::puback:
    case Type::pubcomp: {
      const auto it = session.out.find(packet.id);
      if (it == session.out.end()) return;
      acknowledged_.push_back(it->second.message.payload);
      session.out.erase(it);
      return pump(session);
    }
    case Type::pubrec: {
      const auto it = session.out.find(packet.id);
      if (it == session.out.end()) return;
      if (packet.reason >= 0x80) {
        session.out.erase(it);
        return pump(session);
      }
      it->second.released = true;
      return link.send({.type = Type::pubrel, .id = packet.id});
    }
    case Type::subscribe: {
      Packet answer{.type = Type::suback, .id = packet.id};
      for (const auto& [filter, most] : packet.filters) {
        std::erase_if(session.filters, [&](const auto& known) { return known.first == filter; });
        session.filters.emplace_back(filter, most);
        answer.reasons.push_back(static_cast<std::uint8_t>(most));
      }
      link.send(answer);
      for (const auto& [filter, most] : packet.filters) {
        if (filter.starts_with("$share/"))
          continue;  // retained messages are not sent to shared subscriptions
        for (const auto& [topic, message] : retained_) {
          if (mqtt::matches(filter, topic)) deliver(session, message, most);
        }
      }
      return;
    }
    case Type::unsubscribe: {
      Packet answer{.type = Type::unsuback, .id = packet.id};
      for (const auto& [filter, most] : packet.filters) {
        std::erase_if(session.filters, [&](const auto& known) { return known.first == filter; });
        answer.reasons.push_back(mqtt::success);
      }
      return link.send(answer);
    }
    case Type::pingreq:
      return link.send({.type = Type::pingresp});
    case Type::disconnect:
      return link.leave(packet.reason == 0x04);
    default:
      return link.leave(true);
  }
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
  std::map<std::string, std::vector<std::pair<Session*, int>>> shared;
  for (auto& [client, session] : sessions_) {
    for (const auto& [filter, most] : session.filters) {
      if (!filter.starts_with("$share/")) {
        if (mqtt::matches(filter, message.topic)) deliver(session, message, most);
        continue;
      }
      const std::size_t slash = filter.find('/', 7);
      if (slash != std::string::npos &&
          mqtt::matches(std::string_view(filter).substr(slash + 1), message.topic))
        shared[filter].emplace_back(&session, most);
    }
  }
  for (auto& [filter, members] : shared) {
    // By turns among those that are there and have room; else among all.
    const std::size_t turn = turns_[filter]++;
    std::pair<Session*, int>* chosen = nullptr;
    for (std::size_t i = 0; i < members.size() && chosen == nullptr; ++i) {
      auto& member = members[(turn + i) % members.size()];
      if (member.first->link != nullptr && member.first->queue.empty()) chosen = &member;
    }
    for (std::size_t i = 0; i < members.size() && chosen == nullptr; ++i) {
      auto& member = members[(turn + i) % members.size()];
      if (member.first->link != nullptr) chosen = &member;
    }
    if (chosen == nullptr) chosen = &members[turn % members.size()];
    deliver(*chosen->first, message, chosen->second);
  }
}

void Broker::deliver(Session& session, Packet message, int most) {
  message.qos = std::min(message.qos, most);
  message.dup = message.retain = false;
  message.id = 0;
  // While it lies in the queue its expiry is a moment, in seconds of the monotonic clock.
  if (message.properties.message_expiry)
    message.properties.message_expiry =
        *message.properties.message_expiry + static_cast<std::uint32_t>(reactor_.now() / 10'000);
  if (session.queue.size() < most_queued && (session.link != nullptr || message.qos > 0))
    session.queue.push_back(std::move(message));
  pump(session);
}

// What leaves for a router, for the checker: its event and whether it is a repeat.
void Broker::note(const Session& session, const Packet& message) {
  if (!message.properties.correlation_data || !message.properties.response_topic) return;
  record_.line({{"what", "delivered"},
                {"at", reactor_.clock_ns()},
                {"client", session.client},
                {"id", *message.properties.correlation_data},
                {"dup", message.dup}});
}

void Broker::play(const Day& day, Time start) {
  for (const Fault& fault : day.faults) {
    const bool drops = fault.kind == FaultKind::broker_drop;
    if (!drops && fault.kind != FaultKind::broker_twice) continue;
    reactor_.at(start + fault.at, [this, drops] {
      if (drops) drop_clients();
      if (!drops) duplicate(true);
    });
    reactor_.at(start + fault.at + fault.span, [this, drops] {
      if (drops) cut_next_publish(20);
      if (!drops) duplicate(false);
    });
  }
}

void Broker::pump(Session& session) {
  while (session.link != nullptr && !session.queue.empty()) {
    if (session.queue.front().qos > 0 && session.out.size() >= session.receive_maximum) return;
    Packet message = std::move(session.queue.front());
    session.queue.pop_front();
    if (auto& expiry = message.properties.message_expiry) {
      const auto now = static_cast<std::uint32_t>(reactor_.now() / 10'000);
      if (*expiry <= now) continue;  // its time is up
      *expiry -= now;
    }
    if (message.qos > 0) {
      do {
        if (++session.next_id == 0) session.next_id = 1;
      } while (session.out.contains(session.next_id));
      message.id = session.next_id;
      session.out[message.id] = {message, false, ++session.order};
      most_out_ = std::max(most_out_, session.out.size());
    }
    note(session, message);
    session.link->send(message);
    if (duplicating_ && message.qos == 1 && session.link != nullptr &&
        session.out.size() < session.receive_maximum) {
      // The same message under an identifier of its own, as a broker that lost count would send it.
      Packet twice = message;
      do {
        if (++session.next_id == 0) session.next_id = 1;
      } while (session.out.contains(session.next_id));
      twice.id = session.next_id;
      session.out[twice.id] = {twice, false, ++session.order};
      session.link->send(twice);
    }
  }
}

}  // namespace rushhill::standin

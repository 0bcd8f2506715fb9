#include "fronts/mqtt_front.h"

#include <algorithm>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "taking/deliveries.h"

namespace rushhill::fronts {
namespace {

using mqtt::Packet;
using mqtt::Type;
using taking::Outcome;

constexpr std::size_t longest_packet = 1024 * 1024;  // bytes; as large as the HTTP front's bodies by default
constexpr std::size_t most_remembered = 100'000;     // marks of ended messages a session knows at most
constexpr std::size_t most_answers = 2'000;          // answers kept for messages that come again
constexpr int most_doublings = 5;                    // of the pause between tries to connect
constexpr Time handshake_limit = 50'000;             // tenths of a millisecond for CONNACK
constexpr Time room_look = 200;  // tenths of a millisecond; how soon room left by others is found

const char* word(Outcome outcome) {
  return outcome == Outcome::honoured ? "honoured" : outcome == Outcome::shed ? "shed" : "abandoned";
}

// A rule's pattern: {1}, {2} stand for what the filter's wildcards stood for.
std::string filled(const std::string& pattern, const std::vector<std::string>& levels) {
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

}  // namespace

events::CloudEvent event_of(const deployment::MqttTopic& rule, const Packet& publish, int version) {
  std::vector<std::string> levels;
  mqtt::matches(rule.filter, publish.topic, &levels);
  const std::string type = publish.properties.content_type.value_or("");
  events::CloudEvent event;
  // 3.1.1 has no properties: there only the structured mode exists.
  if (version == 4 || events::mode_of(type) == events::Mode::structured) {
    event = events::from_json(publish.payload);
  } else {
    if (events::mode_of(type) != events::Mode::binary)
      throw events::BadEvent("datacontenttype",
                             "is neither the structured JSON mode nor a payload's own type");
    events::Headers headers;
    for (const auto& [name, value] : publish.properties.user) {
      // The binding puts attributes into user properties without a prefix and without percent-coding.
      if (std::ranges::all_of(name, [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); }))
        headers.emplace_back("ce-" + name, events::header_encoded(value));
    }
    if (!type.empty()) headers.emplace_back("content-type", type);
    event = events::from_headers(headers, publish.payload);
  }
  if (!rule.event_type.empty()) event.type = rule.event_type;
  if (!rule.function.empty()) event.others["function"] = filled(rule.function, levels);
  if (!rule.customer.empty()) event.others["customer"] = filled(rule.customer, levels);
  return event;
}

// One topic rule's session with the broker, on a connection of its own: one topic's flood fills only its
// window.
class MqttFront::Session final : public transport::StreamUser, public core::Client {
 public:
  Session(MqttFront& front, const deployment::MqttTopic& rule, int window, std::uint64_t seed)
      : front_(front), reactor_(front.reactor_), rule_(rule), window_(window),
        source_(front.gateway_.add_source(rule.weight)),
        chance_(static_cast<std::uint_fast32_t>(seed % 16'777'199)),
        reader_(front.links_.version, longest_packet), deliveries_(front.links_.remember, most_remembered) {
    connect();
  }
  ~Session() override {
    for (core::Alarm* alarm : {&again_, &ping_, &quiet_, &look_}) reactor_.withdraw(*alarm);
    if (stream_) stream_->close();
  }

  void opened() override {
    Packet connect{
        .type = Type::connect, .client_id = front_.links_.client + "-" + rule_.name, .clean_start = false};
    connect.keep_alive = static_cast<std::uint16_t>(front_.links_.keep_alive / 10'000);
    connect.properties.receive_maximum = static_cast<std::uint16_t>(window_);
    connect.properties.session_expiry = static_cast<std::uint32_t>(front_.links_.session / 10'000);
    send(connect);
  }

  void arrived(std::string_view bytes) override {
    in_ += bytes;
    hear_silence();
    read_on();
  }
  void lost(transport::Loss) override { broke("connection lost"); }

  // The core's answers.
  void honoured(EventId event, events::CloudEvent reply) override {
    conclude(event, Outcome::honoured, [&](Packet& answer) {
      answer.properties.content_type =
          reply.data_content_type.empty() ? "application/octet-stream" : reply.data_content_type;
      answer.payload = std::move(reply.data);
      for (auto& [name, value] : reply.others) answer.properties.user.emplace_back(name, value);
      answer.properties.user.insert(
          answer.properties.user.end(),
          {{"specversion", "1.0"}, {"id", reply.id}, {"source", reply.source}, {"type", reply.type}});
    });
  }
  void shed(EventId event, Time come_back) override {
    conclude(event, Outcome::shed, [&](Packet& answer) { problem(answer, "shed", true, come_back); });
  }
  void abandoned(EventId event) override {
    conclude(event, Outcome::abandoned, [&](Packet& answer) { problem(answer, "abandoned", false, 0); });
  }

  void wind_up() {
    // What waits was never taken: the broker still has it.
    for (const std::uint16_t id : std::exchange(waiting_, {})) {
      deliveries_.forget(in_hand_.at(id).mark);
      in_hand_.erase(id);
    }
  }
  bool idle() const { return working_.empty(); }

 private:
  struct InHand {
    std::string mark;
    int qos = 0;
    bool ended = false, waiting = false;
    std::uint8_t reason = mqtt::success;
    Time came = 0, limit = 0;  // when it came; when its time is up by its expiry, 0: never
    events::CloudEvent event{};
    rushhill::Event told{};
    std::optional<std::string> response_topic{}, correlation{};
  };
  struct Working {
    std::string mark;
    std::optional<std::string> response_topic, correlation;
  };

  void connect() {
    in_.clear();
    reader_ = mqtt::Reader(front_.links_.version, longest_packet);
    connected_ = false;
    stream_ = transport::Stream::connect(reactor_, transport::numeric_address(front_.links_.address), *this);
    quiet_ = reactor_.at(reactor_.now() + handshake_limit, [this] { broke("no answer to CONNECT"); });
  }

  // The session lives on at the broker: what was not acknowledged comes again, and meets what is known of it.
  void broke(const char* why) {
    front_.diary_.line(core::Level::warning, "broker's connection broke",
                       {{"topic", rule_.name}, {"why", why}});
    for (core::Alarm* alarm : {&again_, &ping_, &quiet_}) reactor_.withdraw(*alarm);
    stream_->close();
    reactor_.soon([gone = std::move(stream_)] {});
    stream_.reset();
    connected_ = false;
    for (const std::uint16_t id : std::exchange(waiting_, {})) deliveries_.forget(in_hand_.at(id).mark);
    in_hand_.clear();
    order_.clear();
    released_.clear();
    if (front_.winding_up_) return;
    const Time pause = front_.links_.retry << std::min(failures_++, most_doublings);
    const double part = 0.5 + static_cast<double>(chance_()) / static_cast<double>(chance_.max());
    again_ = reactor_.at(reactor_.now() + static_cast<Time>(static_cast<double>(pause) * part),
                         [this] { connect(); });
  }

  void hear_silence() {
    if (!connected_ || front_.links_.keep_alive == 0) return;
    reactor_.withdraw(quiet_);
    quiet_ = reactor_.at(reactor_.now() + front_.links_.keep_alive * 3 / 2,
                         [this] { broke("the broker is silent"); });
  }
  void ping() {
    send({.type = Type::pingreq});
    ping_ = reactor_.at(reactor_.now() + front_.links_.keep_alive / 2, [this] { ping(); });
  }

  void read_on() {
    while (stream_) {
      // 3.1.1 knows no receive maximum: what is beyond the window stays in the connection.
      if (front_.links_.version == 4 && static_cast<int>(order_.size()) >= window_)
        return stream_->read(false);
      stream_->read(true);
      Packet packet;
      const mqtt::Progress progress = reader_.put(in_, packet);
      if (progress == mqtt::Progress::more) return;
      if (progress == mqtt::Progress::bad) {
        send({.type = Type::disconnect, .reason = mqtt::malformed});
        return broke(reader_.fault().c_str());
      }
      if (!connected_ && packet.type != Type::connack) return broke("something else came before CONNACK");
      take_packet(packet);
    }
  }

  void take_packet(Packet& packet) {
    switch (packet.type) {
      case Type::connack:
        return accepted(packet);
      case Type::publish:
        return came(packet);
      case Type::puback:
        told_.erase(packet.id);
        return;
      case Type::pubrel:
        released_.erase(packet.id);
        return send({.type = Type::pubcomp, .id = packet.id});
      case Type::suback:
        if (packet.reasons.empty() || packet.reasons.front() >= 0x80)
          return broke("the subscription was refused");
        return;
      case Type::disconnect:
        return broke("the broker ended it");
      default:
        return;
    }
  }

  void accepted(const Packet& packet) {
    if (packet.reason != mqtt::success) return broke("the broker refused the connection");
    connected_ = true;
    failures_ = 0;
    ++front_.tally_.connections;
    hear_silence();
    if (front_.links_.keep_alive > 0) {
      ping_ = reactor_.at(reactor_.now() + front_.links_.keep_alive / 2, [this] { ping(); });
    }
    const std::string filter =
        rule_.group.empty() ? rule_.filter : "$share/" + rule_.group + "/" + rule_.filter;
    if (!packet.session_present) send({.type = Type::subscribe, .id = 1, .filters = {{filter, rule_.qos}}});
    for (auto& [id, answer] : told_) {
      answer.dup = packet.session_present;
      send(answer);
    }
  }

  void came(Packet& packet) {
    ++front_.tally_.received;
    front_.tally_.redelivered += packet.dup ? 1 : 0;
    if (static_cast<int>(order_.size()) >= window_ + 1 || (packet.qos > 0 && in_hand_.contains(packet.id))) {
      send({.type = Type::disconnect, .reason = mqtt::receive_maximum_exceeded});
      return broke("more came than the receive maximum, or a packet identifier in use");
    }
    // QoS 2: acknowledged and not released yet is the same message again.
    if (packet.qos == 2 && released_.contains(packet.id))
      return send({.type = Type::pubrec, .id = packet.id});
    if (front_.winding_up_) return;  // not taken: it stays the broker's
    const std::uint16_t id = packet.qos == 0 ? 0 : packet.id;
    InHand message;
    message.qos = packet.qos;
    message.came = reactor_.now();
    message.response_topic = packet.properties.response_topic;
    message.correlation = packet.properties.correlation_data;
    try {
      message.event = event_of(rule_, packet, front_.links_.version);
      message.told = front_.intake_.read(message.event);
    } catch (const events::BadEvent& bad) {
      dead(packet.payload, packet.topic, bad.what());
      return settle(id, std::move(message), mqtt::payload_format_invalid);
    }
    message.limit = message.came + message.told.left;
    if (const auto expiry = packet.properties.message_expiry)
      message.limit = std::min(message.limit, message.came + Time{10'000} * *expiry);
    message.mark = message.event.source + " " + message.event.id;
    switch (deliveries_.meet(reactor_.now(), message.mark)) {
      case taking::Deliveries::Meeting::answered: {
        ++front_.tally_.answered_again;
        if (const auto it = answers_.find(message.mark); it != answers_.end()) tell(it->second);
        return settle(id, std::move(message), mqtt::success);
      }
      case taking::Deliveries::Meeting::joins: {
        ++front_.tally_.joined;
        return hold(id, std::move(message));
      }
      case taking::Deliveries::Meeting::fresh:
        break;
    }
    // Came before, to an earlier life of this router: it may have run there.
    if (packet.dup && front_.gateway_.effect_of(message.told.traffic_type) == Effect::at_most_once) {
      deliveries_.ended(reactor_.now(), message.mark, Outcome::abandoned);
      answer(message.mark, message.response_topic, message.correlation, Outcome::abandoned,
             [&](Packet& reply) { problem(reply, "abandoned", false, 0); });
      dead(packet.payload, packet.topic, "came again, and may have run in an earlier life of this router");
      return settle(id, std::move(message), mqtt::success);
    }
    if (id == 0) return take(message);
    message.waiting = true;
    hold(id, std::move(message));
    waiting_.push_back(id);
    take_waiting();
  }

  void hold(std::uint16_t id, InHand message) {
    if (id == 0) return;
    order_.push_back(id);
    in_hand_[id] = std::move(message);
  }
  void settle(std::uint16_t id, InHand message, std::uint8_t reason) {
    if (id == 0) return;
    message.ended = true;
    message.reason = reason;
    hold(id, std::move(message));
    acknowledge();
  }

  // Takes what waits as long as the core has room for this source.
  void take_waiting() {
    while (!waiting_.empty() && front_.gateway_.has_room(source_)) {
      InHand& message = in_hand_.at(waiting_.front());
      waiting_.pop_front();
      message.waiting = false;
      take(message);
    }
    reactor_.withdraw(look_);
    if (!waiting_.empty()) look_ = reactor_.at(reactor_.now() + room_look, [this] { take_waiting(); });
  }

  void take(InHand& message) {
    const Time now = reactor_.now();
    message.told.left = message.limit - now;
    if (message.told.left <= front_.gateway_.deployment().tick) {
      ++front_.tally_.expired;
      return end(message.mark, message.response_topic, message.correlation, Outcome::shed,
                 [&](Packet& reply) { problem(reply, "shed", true, 0); });
    }
    const auto event = front_.gateway_.take(source_, *this, message.told, message.event);
    if (event) {
      working_[*event] = {message.mark, message.response_topic, message.correlation};
    } else {
      end(message.mark, message.response_topic, message.correlation, Outcome::shed,
          [&](Packet& reply) { problem(reply, "shed", true, 0); });
    }
  }

  template <typename Fill>
  void conclude(EventId event, Outcome outcome, Fill fill) {
    const auto it = working_.find(event);
    if (it == working_.end()) return;
    const Working done = std::move(it->second);
    working_.erase(it);
    end(done.mark, done.response_topic, done.correlation, outcome, fill);
    take_waiting();
  }

  template <typename Fill>
  void end(const std::string& mark, const std::optional<std::string>& response_topic,
           const std::optional<std::string>& correlation, Outcome outcome, Fill fill) {
    deliveries_.ended(reactor_.now(), mark, outcome);
    answer(mark, response_topic, correlation, outcome, fill);
    // Every delivery of it that is in hand has its outcome now.
    for (auto& [id, message] : in_hand_) {
      if (message.mark == mark && !message.waiting) message.ended = true;
    }
    acknowledge();
  }

  template <typename Fill>
  void answer(const std::string& mark, const std::optional<std::string>& topic,
              const std::optional<std::string>& correlation, Outcome outcome, Fill fill) {
    Packet reply{.type = Type::publish};
    fill(reply);
    reply.properties.correlation_data = correlation;
    reply.properties.user.emplace_back("outcome", word(outcome));
    reply.properties.user.emplace_back("router", std::to_string(front_.gateway_.deployment().me));
    if (topic && mqtt::topic_valid(*topic)) {
      reply.topic = *topic;
    } else if (outcome != Outcome::honoured && !front_.links_.dead_letter.empty()) {
      reply.topic = front_.links_.dead_letter;  // nobody is told otherwise
      reply.properties.user.emplace_back("mark", mark);
    } else {
      return;
    }
    tell(reply);
    answers_[mark] = std::move(reply);
    answer_order_.push_back(mark);
    if (answer_order_.size() <= most_answers) return;
    answers_.erase(answer_order_.front());
    answer_order_.pop_front();
  }

  void problem(Packet& reply, const char* outcome, bool harmless, Time come_back) const {
    nlohmann::json body{{"type", std::string("urn:rushhill:problem:") + outcome},
                        {"outcome", outcome},
                        {"harmless_to_repeat", harmless}};
    if (come_back > 0) body["retry_after_ms"] = (come_back + 9) / 10;
    reply.properties.content_type = "application/problem+json";
    reply.payload = body.dump();
  }

  void dead(const std::string& payload, const std::string& topic, const std::string& reason) {
    ++front_.tally_.dead;
    front_.diary_.line(core::Level::warning, "message is given up", {{"topic", topic}, {"reason", reason}});
    if (front_.links_.dead_letter.empty()) return;
    Packet letter{.type = Type::publish, .topic = front_.links_.dead_letter, .payload = payload};
    letter.properties.user = {{"reason", reason}, {"topic", topic}};
    tell(letter);
  }

  // Acknowledgements leave in the order in which the messages came, as the standard asks.
  void acknowledge() {
    while (!order_.empty() && in_hand_.at(order_.front()).ended && connected_) {
      const std::uint16_t id = order_.front();
      const InHand message = std::move(in_hand_.at(id));
      order_.pop_front();
      in_hand_.erase(id);
      const bool refused = message.reason != mqtt::success;
      if (message.qos == 2 && !refused) released_.insert({id, true});
      send({.type = message.qos == 2 ? Type::pubrec : Type::puback, .id = id, .reason = message.reason});
    }
    if (front_.links_.version == 4 && stream_ && !reading_) {
      reading_ = true;
      reactor_.soon([this, alive = std::weak_ptr(life_)] {
        if (alive.expired()) return;
        reading_ = false;
        if (stream_) read_on();
      });
    }
  }

  // Answers and dead letters leave at QoS 1 and are kept until the broker has them, also over a broken
  // connection.
  void tell(Packet packet) {
    if (told_.size() >= most_answers) told_.erase(told_.begin());
    do {
      if (++next_id_ == 0) next_id_ = 2;  // 1 is the subscription's
    } while (told_.contains(next_id_));
    packet.qos = 1;
    packet.id = next_id_;
    told_[packet.id] = packet;
    send(packet);
  }

  void send(const Packet& packet) {
    if (!stream_ || (packet.type != Type::connect && !connected_)) return;
    stream_->write(mqtt::encode(packet, front_.links_.version));
  }

  MqttFront& front_;
  transport::Reactor& reactor_;
  deployment::MqttTopic rule_;
  int window_;
  taking::Shares::Source source_;
  std::ranlux24_base chance_;
  mqtt::Reader reader_;
  taking::Deliveries deliveries_;
  std::shared_ptr<transport::Stream> stream_;
  std::string in_;
  std::map<std::uint16_t, InHand> in_hand_;    // deliveries without an acknowledgement, by packet identifier
  std::deque<std::uint16_t> order_, waiting_;  // as they came; of these, not taken yet
  std::map<std::uint16_t, bool> released_;     // QoS 2: PUBREC sent, PUBREL awaited
  std::map<EventId, Working> working_;
  std::map<std::string, Packet> answers_;
  std::deque<std::string> answer_order_;
  std::map<std::uint16_t, Packet> told_;  // published and not acknowledged by the broker
  std::uint16_t next_id_ = 1;

  core::Alarm again_, ping_, quiet_, look_;
  int failures_ = 0;
  bool connected_ = false, reading_ = false;
  std::shared_ptr<int> life_ = std::make_shared<int>(0);
};

MqttFront::MqttFront(transport::Reactor& reactor, core::Gateway& gateway, const core::Intake& intake,
                     core::Diary& diary, const deployment::MqttLinks& links, std::uint64_t seed)
    : reactor_(reactor), gateway_(gateway), intake_(intake), diary_(diary), links_(links) {
  double weights = 0;
  for (const deployment::MqttTopic& rule : links.topics) weights += rule.weight;
  for (const deployment::MqttTopic& rule : links_.topics) {
    const int window = std::clamp(static_cast<int>(links.in_flight * rule.weight / weights), 1, 65'535);
    sessions_.push_back(std::make_unique<Session>(*this, rule, window, ++seed));
  }
}
MqttFront::~MqttFront() = default;

void MqttFront::wind_up() {
  winding_up_ = true;
  for (const auto& session : sessions_) session->wind_up();
}

bool MqttFront::idle() const {
  return std::ranges::all_of(sessions_, [](const auto& session) { return session->idle(); });
}

}  // namespace rushhill::fronts

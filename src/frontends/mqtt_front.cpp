#include "frontends/mqtt_front.h"

#include <algorithm>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <ranges>
#include <set>
#include <unordered_map>
#include <utility>

#include "admission/deliveries.h"
#include "admission/tries.h"
#include "core/client.h"

namespace rushhill::frontends {
namespace {

using admission::Outcome;
using mqtt::Packet;
using mqtt::Type;

constexpr std::size_t longest_packet = 1024 * 1024;  // bytes; as large as the HTTP front's bodies by default
constexpr std::size_t most_remembered = 100'000;     // marks of ended messages a session knows at most
constexpr std::size_t most_answers = 2'000;          // answers kept for messages that come again
constexpr std::size_t most_tried = 10'000;           // messages whose tries a session counts at most
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
  if (!rule.tenant.empty()) event.others["customer"] = filled(rule.tenant, levels);
  return event;
}

// One topic rule's session with the broker, on a connection of its own: one topic's flood fills only its
// window.
class MqttFront::Session final : public transport::StreamHandler, public core::Client {
 public:
  Session(MqttFront& front, const deployment::MqttTopic& rule, int window, std::uint64_t seed)
      : front_(front), reactor_(front.reactor_), rule_(rule), window_(window),
        source_(front.gateway_.add_source(rule.weight, true)),
        chance_(static_cast<std::uint_fast32_t>(seed % 16'777'199)),
        reader_(front.links_.version, longest_packet), deliveries_(front.links_.remember, most_remembered),
        tries_(front.links_.tries, most_tried) {
    connect();
  }
  ~Session() override {
    for (core::Timer* alarm : {&again_, &ping_, &quiet_, &look_, &rest_}) reactor_.cancel(*alarm);
    if (stream_) stream_->close();
  }

  void on_connected() override {
    Packet connect{
        .type = Type::connect, .client_id = front_.links_.client + "-" + rule_.name, .clean_start = false};
    connect.keep_alive = static_cast<std::uint16_t>(front_.links_.keep_alive / 10'000);
    connect.properties.receive_maximum = static_cast<std::uint16_t>(window_);
    connect.properties.session_expiry = static_cast<std::uint32_t>(front_.links_.session / 10'000);
    send(connect);
  }

  void on_data(std::string_view bytes) override {
    in_ += bytes;
    hear_silence();
    read_on();
  }
  void on_closed(transport::CloseReason) override {
    if (!left_) broke("connection lost");
  }

  // The core's answers.
  void succeeded(RequestId event, events::CloudEvent reply) override {
    conclude(event, Outcome::honoured, 0, [&](Packet& answer) {
      answer.properties.content_type =
          reply.data_content_type.empty() ? "application/octet-stream" : reply.data_content_type;
      answer.payload = std::move(reply.data);
      for (auto& [name, value] : reply.others) answer.properties.user.emplace_back(name, value);
      answer.properties.user.insert(
          answer.properties.user.end(),
          {{"specversion", "1.0"}, {"id", reply.id}, {"source", reply.source}, {"type", reply.type}});
    });
  }
  void rejected(RequestId event, Time come_back) override {
    conclude(event, Outcome::shed, come_back,
             [&](Packet& answer) { problem(answer, "shed", true, come_back); });
  }
  void failed(RequestId event) override {
    conclude(event, Outcome::abandoned, 0, [&](Packet& answer) { problem(answer, "abandoned", false, 0); });
  }

  // What the broker has handed over is still brought to its end, since it would come again marked as a
  // repeat; then the acknowledgements leave together, and DISCONNECT behind them.
  void wind_up() {
    for (const Held& message : std::exchange(resting_, {}) | std::views::values)
      give_up(*message, Outcome::shed, [&](Packet& answer) { problem(answer, "shed", true, 0); });
    leave_if_done();
  }
  bool idle() const { return left_; }

 private:
  struct InHand {
    std::uint16_t id = 0;  // 0: QoS 0, not to be acknowledged
    std::string mark{};
    int qos = 0;
    bool ended = false, waiting = false;
    std::uint8_t reason = mqtt::success;
    Time limit = 0;  // when its time is up: the hard limit from its coming, or its expiry
    events::CloudEvent event{};
    rushhill::RoutingRequest told{};
    std::optional<std::string> response_topic{}, correlation{};
  };
  using Held = std::shared_ptr<InHand>;

  void connect() {
    in_.clear();
    reader_ = mqtt::Reader(front_.links_.version, longest_packet);
    connected_ = false;
    stream_ = transport::Stream::connect(reactor_, transport::numeric_address(front_.links_.address), *this);
    quiet_ = reactor_.at(reactor_.now() + handshake_limit, [this] { broke("no answer to CONNECT"); });
  }

  // The session lives on at the broker: what was not acknowledged comes again, and meets what is known of it.
  void broke(const char* why) {
    front_.diary_.write(core::Level::warning, "broker's connection broke",
                        {{"topic", rule_.name}, {"why", why}});
    for (core::Timer* alarm : {&again_, &ping_, &quiet_}) reactor_.cancel(*alarm);
    stream_->close();
    reactor_.post([gone = std::move(stream_)] {});
    stream_.reset();
    connected_ = false;
    for (const Held& message : std::exchange(waiting_, {})) deliveries_.forget(message->mark);
    in_hand_.clear();
    by_mark_.clear();
    order_.clear();
    released_.clear();
    leave_if_done();
    if (left_) return;
    const Time pause = front_.links_.retry << std::min(failures_++, most_doublings);
    const double part = 0.5 + static_cast<double>(chance_()) / static_cast<double>(chance_.max());
    again_ = reactor_.at(reactor_.now() + static_cast<Time>(static_cast<double>(pause) * part),
                         [this] { connect(); });
  }

  void hear_silence() {
    if (!connected_ || front_.links_.keep_alive == 0) return;
    reactor_.cancel(quiet_);
    quiet_ = reactor_.at(reactor_.now() + front_.links_.keep_alive * 3 / 2,
                         [this] { broke("the broker is silent"); });
  }
  void ping() {
    send({.type = Type::pingreq});
    ping_ = reactor_.at(reactor_.now() + front_.links_.keep_alive / 2, [this] { ping(); });
  }

  void read_on() {
    while (stream_ && !left_) {
      // 3.1.1 knows no receive maximum: what is beyond the window stays in the connection.
      if (front_.links_.version == 4 && static_cast<int>(order_.size()) >= window_)
        return stream_->set_reading(false);
      stream_->set_reading(true);
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
        return leave_if_done();
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
    const Held held = std::make_shared<InHand>();
    InHand& message = *held;
    message.id = packet.qos == 0 ? 0 : packet.id;
    message.qos = packet.qos;
    message.response_topic = packet.properties.response_topic;
    message.correlation = packet.properties.correlation_data;
    try {
      message.event = event_of(rule_, packet, front_.links_.version);
      message.told = front_.intake_.read(message.event);
    } catch (const events::BadEvent& bad) {
      if (front_.winding_up_) return;
      dead(packet.payload, packet.topic, bad.what());
      return settle(held, mqtt::payload_format_invalid);
    }
    message.limit = reactor_.now() + to_ticks(message.told.time_left);
    if (const auto expiry = packet.properties.message_expiry)
      message.limit = std::min(message.limit, reactor_.now() + Time{10'000} * *expiry);
    message.mark = message.event.source + " " + message.event.id;
    if (front_.winding_up_ && !deliveries_.knows(message.mark)) return;  // not taken: it stays the broker's
    switch (deliveries_.meet(reactor_.now(), message.mark)) {
      case admission::Deliveries::Meeting::answered: {
        ++front_.tally_.answered_again;
        if (const auto it = answers_.find(message.mark); it != answers_.end()) tell(it->second);
        return settle(held, mqtt::success);
      }
      case admission::Deliveries::Meeting::joins: {
        ++front_.tally_.joined;
        return hold(held);
      }
      case admission::Deliveries::Meeting::fresh:
        break;
    }
    // Came before, to an earlier life of this router: it may have run there.
    if (packet.dup && front_.gateway_.effect_of(message.told.request_class) == RetrySafety::at_most_once) {
      deliveries_.ended(reactor_.now(), message.mark, Outcome::abandoned);
      if (message.response_topic)
        answer(message, Outcome::abandoned, [&](Packet& reply) { problem(reply, "abandoned", false, 0); });
      dead(packet.payload, packet.topic, "came again, and may have run in an earlier life of this router");
      return settle(held, mqtt::success);
    }
    if (message.id == 0) return take(held);
    message.waiting = true;
    hold(held);
    waiting_.push_back(held);
    take_waiting();
  }

  void hold(const Held& message) {
    if (message->id == 0) return;
    order_.push_back(message);
    in_hand_[message->id] = message;
    by_mark_[message->mark].push_back(message);
  }
  void settle(const Held& message, std::uint8_t reason) {
    if (message->id == 0) return;
    message->ended = true;
    message->reason = reason;
    hold(message);
    acknowledge();
  }

  // Takes what waits as long as the core has room for this source.
  void take_waiting() {
    while (!waiting_.empty() && front_.gateway_.has_room(source_)) {
      const Held message = waiting_.front();
      waiting_.pop_front();
      message->waiting = false;
      take(message);
    }
    reactor_.cancel(look_);
    if (!waiting_.empty()) look_ = reactor_.at(reactor_.now() + room_look, [this] { take_waiting(); });
  }

  void take(const Held& message) {
    message->told.time_left = to_duration(message->limit - reactor_.now());
    const auto harmless = [&](Packet& reply) { problem(reply, "shed", true, 0); };
    if (message->told.time_left <= front_.gateway_.configuration().tick) {
      ++front_.tally_.expired;
      return give_up(*message, Outcome::shed, harmless);
    }
    if (const auto event = front_.gateway_.accept(source_, *this, message->told, message->event)) {
      working_[*event] = message;
    } else {
      give_up(*message, Outcome::shed, harmless);
    }
  }

  template <typename Fill>
  void conclude(RequestId event, Outcome outcome, Time come_back, Fill fill) {
    const auto it = working_.find(event);
    if (it == working_.end()) return;
    const Held message = std::move(it->second);
    working_.erase(it);
    if (outcome == Outcome::honoured) {
      tries_.forget(message->mark);
      end(*message, outcome, fill);
    } else if (const auto again = rest_until(*message, outcome, come_back)) {
      ++front_.tally_.tried_again;
      resting_.emplace(*again, message);
      set_rest();
    } else {
      give_up(*message, outcome, fill);
    }
    take_waiting();
  }

  // Who waits for an answer has it at once and may ask again; for a message that nobody waits for, the front
  // tries again.
  std::optional<Time> rest_until(const InHand& message, Outcome outcome, Time come_back) {
    if (message.response_topic || message.id == 0 || front_.winding_up_) return std::nullopt;
    return tries_.again(reactor_.now(), message.mark, outcome,
                        front_.gateway_.effect_of(message.told.request_class), message.limit, come_back);
  }
  void set_rest() {
    reactor_.cancel(rest_);
    if (!resting_.empty()) rest_ = reactor_.at(resting_.begin()->first, [this] { rested(); });
  }
  void rested() {
    while (!resting_.empty() && resting_.begin()->first <= reactor_.now()) {
      const Held message = resting_.begin()->second;
      resting_.erase(resting_.begin());
      take(message);
    }
    set_rest();
  }

  template <typename Fill>
  void give_up(const InHand& message, Outcome outcome, Fill fill) {
    if (!message.response_topic) {
      const int made = std::max(tries_.made(message.mark), 1);
      tries_.forget(message.mark);
      dead(events::to_json(message.event), message.event.type,
           std::string(word(outcome)) + " after " + std::to_string(made) + (made == 1 ? " try" : " tries"),
           "application/cloudevents+json");
    }
    end(message, outcome, fill);
  }

  template <typename Fill>
  void end(const InHand& message, Outcome outcome, Fill fill) {
    deliveries_.ended(reactor_.now(), message.mark, outcome);
    answer(message, outcome, fill);
    // Every delivery of it that is in hand has its outcome now.
    if (const auto it = by_mark_.find(message.mark); it != by_mark_.end()) {
      for (const Held& delivery : it->second) {
        if (!delivery->waiting) delivery->ended = true;
      }
    }
    acknowledge();
  }

  template <typename Fill>
  void answer(const InHand& message, Outcome outcome, Fill fill) {
    if (!message.response_topic || !mqtt::topic_valid(*message.response_topic)) return;
    Packet reply{.type = Type::publish, .topic = *message.response_topic};
    fill(reply);
    reply.properties.correlation_data = message.correlation;
    reply.properties.user.emplace_back("outcome", word(outcome));
    reply.properties.user.emplace_back("router",
                                       std::to_string(front_.gateway_.configuration().router_number));
    tell(reply);
    answers_[message.mark] = std::move(reply);
    answer_order_.push_back(message.mark);
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

  void dead(const std::string& payload, const std::string& topic, const std::string& reason,
            const char* content_type = nullptr) {
    ++front_.tally_.dead;
    front_.diary_.write(core::Level::warning, "message is given up", {{"topic", topic}, {"reason", reason}});
    if (front_.links_.dead_letter.empty()) return;
    Packet letter{.type = Type::publish, .topic = front_.links_.dead_letter, .payload = payload};
    letter.properties.user = {{"reason", reason}, {"topic", topic}};
    if (content_type != nullptr) letter.properties.content_type = content_type;
    tell(letter);
  }

  // Acknowledgements leave in the order in which the messages came, as the standard asks.
  void acknowledge() {
    if (front_.winding_up_) return leave_if_done();
    send_acknowledgements();
    if (front_.links_.version == 4 && stream_ && !reading_) {
      reading_ = true;
      reactor_.post([this, alive = std::weak_ptr(life_)] {
        if (alive.expired()) return;
        reading_ = false;
        if (stream_) read_on();
      });
    }
  }

  void send_acknowledgements() {
    while (!order_.empty() && order_.front()->ended && connected_) {
      const Held message = std::move(order_.front());
      order_.pop_front();
      in_hand_.erase(message->id);
      if (const auto it = by_mark_.find(message->mark); it != by_mark_.end()) {
        std::erase(it->second, message);
        if (it->second.empty()) by_mark_.erase(it);
      }
      const bool refused = message->reason != mqtt::success;
      if (message->qos == 2 && !refused) released_.insert(message->id);
      send({.type = message->qos == 2 ? Type::pubrec : Type::puback,
            .id = message->id,
            .reason = message->reason});
    }
  }

  // Winding up: once nothing is open and the broker has every answer.
  void leave_if_done() {
    if (!front_.winding_up_ || left_ || !working_.empty() || !waiting_.empty()) return;
    if (connected_) {
      if (!told_.empty()) return;
      send_acknowledgements();
      send({.type = Type::disconnect});
      stream_->shutdown_write();
    } else if (!told_.empty()) {
      return;
    }
    left_ = true;
    connected_ = false;
    for (core::Timer* alarm : {&again_, &ping_, &quiet_, &look_}) reactor_.cancel(*alarm);
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
  admission::Shares::Source source_;
  std::ranlux24_base chance_;
  mqtt::Reader reader_;
  admission::Deliveries deliveries_;
  admission::Tries tries_;
  std::shared_ptr<transport::Stream> stream_;
  std::string in_;
  std::map<std::uint16_t, Held> in_hand_;  // deliveries without an acknowledgement, by packet identifier
  std::unordered_map<std::string, std::vector<Held>> by_mark_;  // the same
  std::deque<Held> order_, waiting_;                            // as they came; of these, not taken yet
  std::multimap<Time, Held> resting_;                           // to be taken again then
  std::set<std::uint16_t> released_;                            // QoS 2: PUBREC sent, PUBREL awaited
  std::map<RequestId, Held> working_;
  std::map<std::string, Packet> answers_;
  std::deque<std::string> answer_order_;
  std::map<std::uint16_t, Packet> told_;  // published and not acknowledged by the broker
  std::uint16_t next_id_ = 1;

  core::Timer again_, ping_, quiet_, look_, rest_;
  int failures_ = 0;
  bool connected_ = false, reading_ = false, left_ = false;
  std::shared_ptr<int> life_ = std::make_shared<int>(0);
};

MqttFront::MqttFront(transport::Reactor& reactor, core::Gateway& gateway, const core::RequestReader& intake,
                     core::EventLog& diary, const deployment::MqttConfiguration& links, std::uint64_t seed)
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

}  // namespace rushhill::frontends

#include "lab/mqtt_pump.h"

#include <charconv>
#include <utility>

#include "mqtt/encoder.h"
#include "mqtt/reader.h"
#include "mqtt/topic_filter.h"

namespace rushhill::lab {
namespace {

using mqtt::Packet;
using mqtt::Type;

constexpr std::size_t longest_packet = 1024 * 1024;  // bytes
constexpr std::size_t most_queued = 1'000'000;       // messages of one session; what is beyond is lost

}  // namespace

class MqttPump::Session final : public transport::StreamHandler {
 public:
  Session(MqttPump& pump, const transport::PendingConnection& arrival)
      : pump_(pump), reader_(0, longest_packet) {
    stream_ = transport::Stream::adopt(pump.reactor_, arrival, *this);
  }
  ~Session() override { stream_->close(); }
  void on_data(std::string_view bytes) override {
    in_ += bytes;
    Packet packet;
    while (!stream_->closed() && reader_.put(in_, packet) == mqtt::Progress::done) {
      pump_.take(*this, packet);
      packet = {};
    }
  }
  void on_closed(transport::CloseReason) override {
    for (Session*& of : pump_.session_of_) {
      if (of == this) of = nullptr;
    }
    const auto it = pump_.sessions_.find(this);
    pump_.reactor_.post([gone = it->second] {});
    pump_.sessions_.erase(it);
  }
  void send(const Packet& packet) { stream_->write(mqtt::encode(packet, reader_.version())); }

  std::size_t window = 65'535, out = 0;
  std::uint16_t next_id = 0;
  std::vector<std::size_t> streams;
  std::deque<std::pair<std::size_t, std::int64_t>> queue;  // stream and intended moment

 private:
  MqttPump& pump_;
  std::shared_ptr<transport::Stream> stream_;
  mqtt::Reader reader_;
  std::string in_;
};

MqttPump::MqttPump(transport::Reactor& reactor, const transport::Address& address,
                   std::vector<Stream> streams, Time span, Time due, int functions)
    : reactor_(reactor), streams_(std::move(streams)), span_(span), due_(due), functions_(functions),
      session_of_(streams_.size()), next_(streams_.size()), results_(streams_.size()),
      listener_(reactor, address, true, [this](const transport::PendingConnection& arrival) {
        const auto session = std::make_shared<Session>(*this, arrival);
        sessions_.emplace(session.get(), session);
      }) {}
MqttPump::~MqttPump() = default;

void MqttPump::run() { reactor_.run(); }

void MqttPump::take(Session& session, const Packet& packet) {
  switch (packet.type) {
    case Type::connect:
      session.window = packet.properties.receive_maximum.value_or(65'535);
      return session.send({.type = Type::connack});
    case Type::subscribe: {
      session.send({.type = Type::suback, .id = packet.id, .reasons = {1}});
      for (std::size_t i = 0; i < streams_.size(); ++i) {
        if (session_of_[i] != nullptr || !mqtt::matches(packet.filters.front().first, streams_[i].topic))
          continue;
        session_of_[i] = &session;
        session.streams.push_back(i);
      }
      return begin_if_covered();
    }
    case Type::pingreq:
      return session.send({.type = Type::pingresp});
    case Type::puback:
      --session.out;
      return fill(session);
    case Type::publish:
      session.send({.type = Type::puback, .id = packet.id});
      return answered(packet);
    default:
      return;
  }
}

void MqttPump::begin_if_covered() {
  for (const Session* session : session_of_) {
    if (session == nullptr) return;
  }
  if (std::exchange(begun_, true)) return;
  const std::int64_t now = transport::monotonic_ns();
  count_from_ = now + span_ * 20'000;  // a fifth of the span, in nanoseconds
  for (std::int64_t& next : next_) next = now;
  bool pace_samples = false;
  for (std::size_t i = 0; i < streams_.size(); ++i) {
    pace_samples = pace_samples || streams_[i].rate > 0;
    if (streams_[i].rate <= 0) fill(*session_of_[i]);
  }
  if (pace_samples) pace();
  reactor_.at(reactor_.now() + span_, [this] {
    for (Pumped& result : results_)
      result.seconds = static_cast<double>(transport::monotonic_ns() - count_from_) / 1e9;
    reactor_.halt();
  });
}

void MqttPump::pace() {
  const std::int64_t now = transport::monotonic_ns();
  for (std::size_t i = 0; i < streams_.size(); ++i) {
    if (streams_[i].rate <= 0) continue;
    const auto step = static_cast<std::int64_t>(1e9 / streams_[i].rate);
    for (; next_[i] <= now; next_[i] += step) offer(i, next_[i]);
  }
  reactor_.post([this] { pace(); });  // turning without rest: the broker's own delay must not count
}

void MqttPump::offer(std::size_t stream, std::int64_t intended_ns) {
  if (intended_ns >= count_from_) ++results_[stream].offered;
  Session* session = session_of_[stream];
  if (session == nullptr || session->queue.size() >= most_queued) return;
  session->queue.emplace_back(stream, intended_ns);
  fill(*session);
}

void MqttPump::fill(Session& session) {
  while (session.out < session.window) {
    if (session.queue.empty()) {
      // Streams without a rate keep the window full, by turns.
      if (session.streams.empty() || streams_[session.streams.front()].rate > 0) return;
      session.queue.emplace_back(session.streams[static_cast<std::size_t>(sent_) % session.streams.size()],
                                 transport::monotonic_ns());
    }
    const auto [stream, intended] = session.queue.front();
    session.queue.pop_front();
    Packet message{.type = Type::publish, .qos = 1, .topic = streams_[stream].topic};
    if (++session.next_id == 0) session.next_id = 1;
    message.id = session.next_id;
    const std::string mark = std::to_string(stream) + ":" + std::to_string(intended);
    message.properties.response_topic = "answers";
    message.properties.correlation_data = mark;
    message.properties.user = {{"specversion", "1.0"},
                               {"id", std::to_string(++sent_)},
                               {"source", "/pump"},
                               {"type", "lookup"},
                               {"function", "f-" + std::to_string(sent_ % functions_)},
                               {"lanes", "1000"}};
    ++session.out;
    session.send(message);
  }
}

void MqttPump::answered(const Packet& answer) {
  const std::string& mark = answer.properties.correlation_data.value_or("");
  const std::size_t colon = mark.find(':');
  if (colon == std::string::npos) return;
  std::size_t stream = 0;
  std::int64_t intended = 0;
  std::from_chars(mark.data(), mark.data() + colon, stream);
  std::from_chars(mark.data() + colon + 1, mark.data() + mark.size(), intended);
  if (stream >= results_.size() || intended < count_from_) return;
  bool honoured = false;
  for (const auto& [name, value] : answer.properties.user) honoured = honoured || value == "honoured";
  results_[stream].note(transport::monotonic_ns() - intended, honoured, due_);
}

}  // namespace rushhill::lab

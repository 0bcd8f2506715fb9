#include "standin/clients.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <nlohmann/json.hpp>
#include <utility>

#include "events/cloudevent.h"
#include "mqtt/packets.h"

namespace rushhill::standin {
namespace {

using Json = nlohmann::json;

constexpr double patience = 0.3;         // of the hard limit, with one router, where clients send again
constexpr std::int64_t every_again = 3;  // must-not-run-twice events: sent once more after, or at two routers
constexpr Time watch_after = 20'000;     // tenths of a millisecond; a second answer would show by then
constexpr Time broker_patience = 60'000;  // tenths of a millisecond that a message may lie at the broker
constexpr Time late_slack = 5'000;  // tenths of a millisecond past the limit that a client still listens

std::size_t place(const std::vector<double>& steps, double share) {
  const auto it = std::ranges::upper_bound(steps, share * steps.back());
  return static_cast<std::size_t>(std::min(it, std::prev(steps.end())) - steps.begin());
}

}  // namespace

struct Clients::Event {
  std::int64_t number = 0;
  const RequestClassSpec* type = nullptr;
  const FunctionSpec* function = nullptr;
  Time planned = 0, limit = 0;
  std::size_t router = 0;
  int refused = 0;       // routers in a row that could not be reached
  bool again = false;    // answered, and sent once more all the same
  std::string outcome;   // then: the first answer
  core::Timer patience;  // with this router
  Link* link = nullptr;
  core::Timer alarm;
  Json line, tries = Json::array(), current;
  std::string id() const { return "e-" + std::to_string(number); }
};

class Clients::Link final : public transport::StreamHandler, public transport::Numbered {
 public:
  Link(Clients& clients, std::size_t router)
      : clients_(clients), router_(router), reader_({.body = 4 * 1024 * 1024}) {
    stream_ = transport::Stream::connect(clients.reactor_, clients.routers_[router], *this);
  }
  ~Link() override { stream_->close(); }

  void use(Event& event, std::string bytes) {
    event_ = &event;
    event.link = this;
    waiting_ = std::move(bytes);
    if (open_) on_connected();
  }
  void on_connected() override {
    open_ = true;
    stream_->write(std::exchange(waiting_, {}));
  }
  void on_data(std::string_view bytes) override {
    in_ += bytes;
    if (unheeded_) return;
    if (event_ == nullptr) {
      // Nobody asked: a second answer to the event before.
      clients_.record_.line(
          {{"what", "extra"}, {"at", clients_.reactor_.clock_ns()}, {"id", last_}, {"bytes", in_.size()}});
      return leave();
    }
    for (;;) {
      const auto progress = reader_.put(in_);
      if (progress == transport::HttpProgress::more) return;
      if (progress != transport::HttpProgress::done) return broke("garbled");
      const auto response = reader_.take();
      if (response.status < 200) continue;
      Event& event = *std::exchange(event_, nullptr);
      last_ = event.id();
      event.link = nullptr;
      if (response.keep_alive && in_.empty()) {
        clients_.idle_[router_].push_back(this);
      } else if (!in_.empty()) {
        clients_.record_.line(
            {{"what", "extra"}, {"at", clients_.reactor_.clock_ns()}, {"id", last_}, {"bytes", in_.size()}});
        leave();
      } else {
        leave();
      }
      return clients_.answered(event, response);
    }
  }
  void on_closed(transport::CloseReason why) override {
    broke(why == transport::CloseReason::connect_failed || stream_->handed_over_bytes() == 0 ? "no-connection"
                                                                                             : "lost");
  }
  // Sent, and whatever comes of it is heard by nobody.
  void use_unheeded(std::string bytes) {
    unheeded_ = true;
    waiting_ = std::move(bytes);
  }
  // The client goes away from its event.
  void forsake() {
    event_ = nullptr;
    leave();
  }
  bool sound() { return !stream_->closed() && stream_->peek() == transport::Stream::Peeked::nothing; }

  void leave() {
    stream_->close();
    std::erase(clients_.idle_[router_], this);
    const auto it = clients_.links_.find(this);
    if (it == clients_.links_.end()) return;
    clients_.reactor_.post([gone = it->second] {});
    clients_.links_.erase(it);
  }

 private:
  void broke(const char* how) {
    Event* event = std::exchange(event_, nullptr);
    leave();
    if (event == nullptr) return;
    event->link = nullptr;
    clients_.tried(*event, how);
  }

  Clients& clients_;
  std::size_t router_;
  std::shared_ptr<transport::Stream> stream_;
  transport::HttpResponseReader reader_;
  Event* event_ = nullptr;
  std::string in_, waiting_, last_;
  bool open_ = false, unheeded_ = false;
};

// The clients' one connection to the broker: publishes events and reads their answers.
class Clients::Publisher final : public transport::StreamHandler {
 public:
  Publisher(Clients& clients, const std::string& broker)
      : clients_(clients), broker_(transport::numeric_address(broker)), reader_(5, 4 * 1024 * 1024) {
    connect();
  }
  ~Publisher() override { stream_->close(); }

  void publish(const Event& event) {
    mqtt::Packet packet{.type = mqtt::Type::publish, .qos = 1};
    packet.topic = "events/" + event.type->name + "/" + event.function->name;
    packet.properties.response_topic = "answers/clients";
    packet.properties.correlation_data = event.id();
    packet.properties.message_expiry = static_cast<std::uint32_t>(broker_patience / 10'000);
    packet.properties.user = {{"specversion", "1.0"},
                              {"id", event.id()},
                              {"source", "/clients/" + std::to_string(clients_.day_.seed)},
                              {"type", event.type->name},
                              {"memorymb", std::to_string(static_cast<int>(event.function->memory_mb))},
                              {"lanes", std::to_string(event.function->lanes)},
                              {"workms", std::to_string(event.function->work / 10)}};
    unacknowledged_.push_back(std::move(packet));
    if (subscribed_) send_last();
  }

  void on_connected() override {
    mqtt::Packet connect{.type = mqtt::Type::connect, .client_id = "clients", .clean_start = false};
    connect.properties.session_expiry = 3600;
    stream_->write(mqtt::encode(connect, 5));
  }
  void on_data(std::string_view bytes) override {
    in_ += bytes;
    mqtt::Packet packet;
    while (reader_.put(in_, packet) == mqtt::Progress::done) {
      take(packet);
      packet = {};
    }
  }
  void on_closed(transport::CloseReason) override {
    subscribed_ = false;
    clients_.reactor_.post([gone = stream_] {});
    clients_.reactor_.at(clients_.reactor_.now() + 200, [this] { connect(); });
  }

 private:
  void connect() {
    in_.clear();
    reader_ = mqtt::Reader(5, 4 * 1024 * 1024);
    stream_ = transport::Stream::connect(clients_.reactor_, broker_, *this);
  }
  void send_last() {
    mqtt::Packet& packet = unacknowledged_.back();
    if (++next_ == 0) next_ = 1;
    packet.id = next_;
    stream_->write(mqtt::encode(packet, 5));
  }
  void take(const mqtt::Packet& packet) {
    if (packet.type == mqtt::Type::connack) {
      stream_->write(
          mqtt::encode({.type = mqtt::Type::subscribe, .id = 1, .filters = {{"answers/#", 1}}}, 5));
    } else if (packet.type == mqtt::Type::suback) {
      subscribed_ = true;
      for (mqtt::Packet& again : unacknowledged_) {
        again.dup = again.id != 0;
        if (again.id == 0) again.id = ++next_;
        stream_->write(mqtt::encode(again, 5));
      }
    } else if (packet.type == mqtt::Type::puback) {
      std::erase_if(unacknowledged_, [&](const auto& sent) { return sent.id == packet.id; });
    } else if (packet.type == mqtt::Type::publish) {
      if (packet.qos == 1) stream_->write(mqtt::encode({.type = mqtt::Type::puback, .id = packet.id}, 5));
      clients_.told(packet);
    }
  }

  Clients& clients_;
  transport::Address broker_;
  mqtt::Reader reader_;
  std::shared_ptr<transport::Stream> stream_;
  std::string in_;
  std::deque<mqtt::Packet> unacknowledged_;
  std::uint16_t next_ = 1;
  bool subscribed_ = false;
};

void Clients::told(const mqtt::Packet& answer) {
  const std::string id = answer.properties.correlation_data.value_or("");
  std::string outcome;
  int router = -1;
  for (const auto& [name, value] : answer.properties.user) {
    if (name == "outcome") outcome = value;
    if (name == "router") router = std::atoi(value.c_str());
  }
  const auto it = published_.find(id);
  if (it == published_.end()) {
    // An answer told again is the same one; another one is a second final answer.
    const auto first = answered_as_.find(id);
    const bool same = first != answered_as_.end() && first->second == outcome;
    record_.line({{"what", same ? "repeated-answer" : "extra"}, {"at", reactor_.clock_ns()}, {"id", id}});
    return;
  }
  Event& event = *events_.at(it->second);
  published_.erase(it);
  answered_as_[id] = outcome;
  event.current["router"] = router;
  event.current["how"] = "answered";
  const std::string known =
      outcome == "honoured" || outcome == "shed" || outcome == "abandoned" ? outcome : "other";
  if (known == "honoured" && answer.payload.find("\"" + id + "\"") == std::string::npos)
    return end(event, "wrong-answer");
  end(event, known.c_str());
}

Clients::Clients(transport::Reactor& reactor, const Day& day, std::vector<transport::Address> routers,
                 Record& record, std::function<void()> over, const std::string& broker, double mqtt_share)
    : reactor_(reactor), day_(day), routers_(std::move(routers)), record_(record), over_(std::move(over)),
      chance_(static_cast<std::uint_fast32_t>(day.seed % 16'777'183)), idle_(routers_.size()) {
  double sum = 0;
  for (const FunctionSpec& make : day_.functions) function_steps_.push_back(sum += make.weight);
  sum = 0;
  for (const RequestClassSpec& make : day_.types) type_steps_.push_back(sum += make.share);
  mqtt_share_ = broker.empty() ? 0 : mqtt_share;
  if (!broker.empty()) publisher_ = std::make_shared<Publisher>(*this, broker);
}
Clients::~Clients() = default;

void Clients::play(Time start) {
  start_ = start;
  plan_next();
}

double Clients::rate_at(Time since) const {
  double rate = day_.rate;
  for (const Fault& fault : day_.faults) {
    if (fault.kind == FaultKind::burst && since >= fault.at && since < fault.at + fault.span)
      rate *= fault.size;
  }
  return rate;
}

// Open loop: the next event leaves at its own moment, whatever became of the last.
void Clients::plan_next() {
  if (sent_ >= day_.events) return;
  planned_ += -std::log(draw()) / rate_at(static_cast<Time>(planned_)) * 10'000;
  const Time when = start_ + static_cast<Time>(planned_);
  reactor_.at(when, [this, when] {
    auto event = std::make_unique<Event>();
    event->number = ++sent_;
    event->type = &day_.types[place(type_steps_, draw())];
    event->function = &day_.functions[place(function_steps_, draw())];
    event->planned = when;
    event->limit = reactor_.now() + event->type->deadline_span;
    event->router = static_cast<std::size_t>(draw() * static_cast<double>(routers_.size()));
    event->line = {{"what", "event"},
                   {"id", event->id()},
                   {"type", event->type->name},
                   {"function", event->function->name},
                   {"sent", reactor_.clock_ns()},
                   {"limit_ms", event->type->deadline_span / 10}};
    Event& placed = *event;
    events_[placed.number] = std::move(event);
    placed.alarm = reactor_.at(placed.limit + late_slack, [this, &placed] {
      if (placed.link != nullptr) placed.link->leave();
      placed.link = nullptr;
      placed.current["how"] = "silent";
      end(placed, "none");
    });
    if (draw() < mqtt_share_) {
      publish(placed);
    } else {
      send(placed);
    }
    plan_next();
  });
}

// The router counts from when it takes the message; how long it lies at the broker is not its doing.
void Clients::publish(Event& event) {
  event.limit += broker_patience;
  event.line["limit_ms"] = (event.type->deadline_span + broker_patience) / 10;
  event.line["front"] = "mqtt";
  event.current = {{"router", -1}, {"sent", reactor_.clock_ns()}};
  published_[event.id()] = event.number;
  reactor_.cancel(event.alarm);
  event.alarm = reactor_.at(event.limit + late_slack, [this, &event] {
    published_.erase(event.id());
    event.current["how"] = "silent";
    end(event, "none");
  });
  publisher_->publish(event);
}

Clients::Link* Clients::idle_link(std::size_t router) {
  auto& idle = idle_[router];
  while (!idle.empty()) {
    Link* link = idle.back();
    idle.pop_back();
    if (link->sound()) return link;
    link->leave();
  }
  return nullptr;
}

void Clients::send(Event& event) {
  const Time left = event.limit - reactor_.now();
  events::CloudEvent message{
      .id = event.id(), .source = "/clients/" + std::to_string(day_.seed), .type = event.type->name};
  message.others = {{"function", event.function->name},
                    {"memorymb", std::to_string(static_cast<int>(event.function->memory_mb))},
                    {"lanes", std::to_string(event.function->lanes)},
                    {"workms", std::to_string(event.function->work / 10)},
                    {"timeleftms", std::to_string(std::max<Time>(left / 10, 1))}};
  transport::HttpRequest request{.method = "POST", .target = "/", .headers = events::to_headers(message)};
  request.headers.emplace_back("host", "rushhill");
  const std::string bytes = transport::to_bytes(request);
  const bool twin = day_.repeats && event.tries.empty() && event.type->effect != "reissuable" &&
                    event.number % every_again == 1;
  if (twin && routers_.size() > 1) {
    // The same event at two routers in the same moment.
    const std::size_t other = (event.router + 1) % routers_.size();
    event.tries.push_back({{"router", other}, {"sent", reactor_.clock_ns()}, {"how", "twin"}});
    const auto fresh = std::make_shared<Link>(*this, other);
    links_.emplace(fresh.get(), fresh);
    fresh->use_unheeded(bytes);
  }
  event.current = {{"router", event.router}, {"sent", reactor_.clock_ns()}};
  Link* link = idle_link(event.router);
  if (link == nullptr) {
    const auto fresh = std::make_shared<Link>(*this, event.router);
    links_.emplace(fresh.get(), fresh);
    link = fresh.get();
  }
  if (day_.repeats) {
    reactor_.cancel(event.patience);
    const Time span = static_cast<Time>(patience * static_cast<double>(event.type->deadline_span));
    event.patience = reactor_.at(reactor_.now() + span, [this, &event] {
      if (event.link == nullptr) return;
      std::exchange(event.link, nullptr)->forsake();
      tried(event, "silent");
    });
  }
  link->use(event, bytes);
}

// A try ended without an answer. Sent again where the router cannot have taken it, or a repeat is harmless.
void Clients::tried(Event& event, const char* how) {
  event.current["how"] = how;
  event.current["ended"] = reactor_.clock_ns();
  event.tries.push_back(std::exchange(event.current, Json::object()));
  const bool untaken = std::string_view(how) == "no-connection";
  const bool harmless =
      event.type->effect == "reissuable" || (event.type->effect == "numbered" && event.type->group == "all");
  event.router = (event.router + 1) % routers_.size();
  const bool some_left = !untaken || ++event.refused < static_cast<int>(2 * routers_.size());
  if ((untaken || harmless || day_.repeats) && some_left && reactor_.now() < event.limit) return send(event);
  end(event, untaken ? "unreachable" : "unknown");
}

void Clients::answered(Event& event, const transport::HttpResponse& response) {
  event.current["how"] = "answered";
  event.current["status"] = response.status;
  const char* outcome = "other";
  if (response.status == 200) outcome = "honoured";
  if (response.status == 503 || response.status == 504 || response.status == 409) {
    const Json body = Json::parse(response.body, nullptr, false);
    const std::string told = body.is_object() ? body.value("outcome", "") : "";
    if (response.status == 503 && (told == "shed" || told == "crowded")) outcome = "shed";
    if (response.status != 503 && told == "abandoned") outcome = "abandoned";
  }
  if (response.status == 200 && response.body.find("\"" + event.id() + "\"") == std::string::npos)
    outcome = "wrong-answer";
  const bool once_more = day_.repeats && event.type->effect != "reissuable" &&
                         event.number % every_again == 0 && std::string_view(outcome) == "honoured";
  if (once_more && !std::exchange(event.again, true)) {
    event.outcome = outcome;
    event.line["ended"] = event.current["ended"] = reactor_.clock_ns();
    event.tries.push_back(std::exchange(event.current, Json::object()));
    event.router = (event.router + 1) % routers_.size();
    return send(event);
  }
  end(event, outcome);
}

void Clients::end(Event& event, const char* outcome) {
  reactor_.cancel(event.alarm);
  reactor_.cancel(event.patience);
  if (event.current.contains("router")) {
    event.current["ended"] = reactor_.clock_ns();
    event.tries.push_back(event.current);
  }
  if (!event.again) event.line["ended"] = reactor_.clock_ns();
  event.line["again"] = event.again;
  event.line["outcome"] = event.again ? event.outcome : outcome;
  event.line["tries"] = event.tries;
  record_.line(event.line);
  reactor_.post([this, number = event.number] {
    events_.erase(number);
    if (++ended_ < day_.events) return;
    record_.flush();
    reactor_.at(reactor_.now() + watch_after, over_);
  });
}

}  // namespace rushhill::standin

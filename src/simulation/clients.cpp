#include "simulation/clients.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "events/cloudevent.h"

namespace rushhill::simulation {
namespace {

using Json = nlohmann::json;
using transport::HttpResponse;

constexpr Time ticks_per_millisecond = 10;
constexpr std::int64_t nanoseconds_per_tick = 100'000;
constexpr double patience = 0.3;     // of the time limit, with one router, where clients send again
constexpr Time watch_span = 20'000;  // tenths of a millisecond; a second answer would show by then
constexpr Time deadline_slack =
    5'000;  // tenths of a millisecond past the deadline that a client still listens
// Every so many-th request that must not run twice is sent once more after its answer, the next one to two
// routers at once.
constexpr std::int64_t repeat_period = 3;
constexpr std::int64_t remainder_sent_once_more = 0;
constexpr std::int64_t remainder_sent_twice = 1;
constexpr int most_unreachable_rounds = 2;  // over all routers

// HTTP statuses.
constexpr int status_ok = 200;
constexpr int conflict = 409;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;

// Whether the answer is to the request of that id.
bool answers(const std::string& body, const std::string& id) {
  return body.find("\"" + id + "\"") != std::string::npos;
}

// The outcome that the body of an error states; empty: none.
std::string stated_outcome(const HttpResponse& response) {
  const Json body = Json::parse(response.body, nullptr, false);
  return body.is_object() ? body.value("outcome", "") : "";
}

ClientOutcome outcome_of(const HttpResponse& response, const std::string& id) {
  if (response.status == status_ok)
    return answers(response.body, id) ? ClientOutcome::succeeded : ClientOutcome::wrong_answer;
  if (response.status == service_unavailable) {
    const std::string stated = stated_outcome(response);
    return stated == "shed" || stated == "crowded" ? ClientOutcome::rejected : ClientOutcome::other_answer;
  }
  if (response.status == gateway_timeout || response.status == conflict)
    return stated_outcome(response) == "abandoned" ? ClientOutcome::failed : ClientOutcome::other_answer;
  return ClientOutcome::other_answer;
}

// The answer to a published request.
struct PublishedAnswer {
  std::string id{};
  std::string outcome{};
  int router = ClientAttempt::unknown_router;
};

PublishedAnswer read_answer(const mqtt::Packet& packet) {
  PublishedAnswer answer{.id = packet.properties.correlation_data.value_or("")};
  for (const auto& [name, value] : packet.properties.user) {
    if (name == "outcome") answer.outcome = value;
    if (name == "router") answer.router = std::atoi(value.c_str());
  }
  return answer;
}

ClientOutcome outcome_of(const PublishedAnswer& answer, const mqtt::Packet& packet) {
  if (answer.outcome == "honoured")
    return answers(packet.payload, answer.id) ? ClientOutcome::succeeded : ClientOutcome::wrong_answer;
  if (answer.outcome == "shed") return ClientOutcome::rejected;
  if (answer.outcome == "abandoned") return ClientOutcome::failed;
  return ClientOutcome::other_answer;
}

bool must_not_run_twice(const ClientRequest& request) {
  return request.request_class->retry_safety != RetrySafety::idempotent;
}

// Whether the request may run again on any server.
bool may_run_again(const RequestClassSpec& request_class) {
  return request_class.retry_safety == RetrySafety::idempotent ||
         (request_class.retry_safety == RetrySafety::keyed &&
          request_class.deduplication_scope == DeduplicationScope::everywhere);
}

}  // namespace

Clients::Clients(transport::Reactor& reactor, const Day& day, std::vector<transport::Address> routers,
                 Record& record, std::function<void()> over, const std::string& broker, double mqtt_share)
    : reactor_(reactor), day_(day), routers_(std::move(routers)), record_(record), over_(std::move(over)),
      plan_(day_), source_("/clients/" + std::to_string(day.seed)), idle_(routers_.size()) {
  if (broker.empty()) return;
  mqtt_share_ = mqtt_share;
  publisher_ =
      std::make_unique<RequestPublisher>(reactor_, transport::numeric_address(broker), source_,
                                         [this](const mqtt::Packet& answer) { publish_answered(answer); });
}
Clients::~Clients() = default;

void Clients::play(Time start) {
  start_ = start;
  plan_next();
}

void Clients::plan_next() {
  if (sent_count_ >= day_.events) return;
  reactor_.at(start_ + plan_.next_time(), [this] {
    ClientRequest& request = add_request();
    await_answer(request);
    if (plan_.draw_with_share(mqtt_share_)) {
      publish(request);
    } else {
      send(request);
    }
    plan_next();
  });
}

ClientRequest& Clients::add_request() {
  const PlannedRequest planned = plan_.next_request(routers_.size());
  auto request = std::make_unique<ClientRequest>();
  request->number = ++sent_count_;
  request->request_class = planned.request_class;
  request->function = planned.function;
  request->router = planned.router;
  request->time_limit = planned.request_class->deadline_span;
  request->deadline = reactor_.now() + request->time_limit;
  request->sent_ns = reactor_.clock_ns();
  ClientRequest& added = *request;
  requests_[added.number] = std::move(request);
  return added;
}

// Ends the request without an answer some time after its deadline.
void Clients::await_answer(ClientRequest& request) {
  reactor_.cancel(request.deadline_timer);
  request.deadline_timer = reactor_.at(request.deadline + deadline_slack, [this, &request] {
    if (request.connection != nullptr) request.connection->close();
    request.connection = nullptr;
    published_.erase(request.id());
    request.end_attempt(ClientAttemptEnd::silent, reactor_.clock_ns());
    end(request, ClientOutcome::none, reactor_.clock_ns());
  });
}

std::string Clients::bytes_of(const ClientRequest& request) const {
  const Time left = request.deadline - reactor_.now();
  const FunctionSpec& function = *request.function;
  events::CloudEvent event{.id = request.id(), .source = source_, .type = request.request_class->name};
  event.others = {{"function", function.name},
                  {"memorymb", std::to_string(static_cast<int>(function.memory_mb))},
                  {"lanes", std::to_string(function.lanes)},
                  {"workms", std::to_string(function.work / ticks_per_millisecond)},
                  {"timeleftms", std::to_string(std::max<Time>(left / ticks_per_millisecond, 1))}};
  transport::HttpRequest message{.method = "POST", .target = "/", .headers = events::to_headers(event)};
  message.headers.emplace_back("host", "rushhill");
  return transport::to_bytes(message);
}

void Clients::send(ClientRequest& request) {
  const bool twice = day_.repeats && request.attempts.empty() && must_not_run_twice(request) &&
                     request.number % repeat_period == remainder_sent_twice;
  if (twice && routers_.size() > 1) send_duplicate(request, bytes_of(request));
  request.attempt = {.router = static_cast<int>(request.router), .sent_ns = reactor_.clock_ns()};
  ClientConnection* connection = idle_connection(request.router);
  if (connection == nullptr) connection = &connect(request.router);
  if (day_.repeats) start_patience(request);
  connection->send(request);
}

// The same event to another router at the same moment.
void Clients::send_duplicate(ClientRequest& request, const std::string& bytes) {
  const std::size_t other = (request.router + 1) % routers_.size();
  request.attempts.push_back({.router = static_cast<int>(other),
                              .sent_ns = reactor_.clock_ns(),
                              .end = ClientAttemptEnd::duplicate});
  connect(other).send_ignoring_answer(bytes);
}

// Ends the attempt where the router has not answered for a while.
void Clients::start_patience(ClientRequest& request) {
  reactor_.cancel(request.patience_timer);
  const Time span = static_cast<Time>(patience * static_cast<double>(request.request_class->deadline_span));
  request.patience_timer = reactor_.at(reactor_.now() + span, [this, &request] {
    if (request.connection == nullptr) return;
    std::exchange(request.connection, nullptr)->abort();
    attempt_failed(request, ClientAttemptEnd::silent);
  });
}

ClientConnection& Clients::connect(std::size_t router) {
  const auto connection = std::make_shared<ClientConnection>(reactor_, *this, routers_[router], router);
  connections_.emplace(connection.get(), connection);
  return *connection;
}

ClientConnection* Clients::idle_connection(std::size_t router) {
  auto& idle = idle_[router];
  while (!idle.empty()) {
    ClientConnection* connection = idle.back();
    idle.pop_back();
    if (connection->healthy()) return connection;
    connection->close();
  }
  return nullptr;
}

void Clients::connection_idle(ClientConnection& connection) {
  idle_[connection.router()].push_back(&connection);
}

void Clients::connection_ended(ClientConnection& connection) {
  std::erase(idle_[connection.router()], &connection);
  const auto it = connections_.find(&connection);
  if (it == connections_.end()) return;
  reactor_.post([ended = it->second] {});
  connections_.erase(it);
}

void Clients::unexpected_bytes(const std::string& request_id, std::size_t count) {
  record_.line({{"what", "extra"}, {"at", reactor_.clock_ns()}, {"id", request_id}, {"bytes", count}});
}

// Sent again where the router cannot have received it, or where a second run is harmless.
void Clients::attempt_failed(ClientRequest& request, ClientAttemptEnd attempt_end) {
  request.end_attempt(attempt_end, reactor_.clock_ns());
  request.router = (request.router + 1) % routers_.size();
  const bool unreached = attempt_end == ClientAttemptEnd::no_connection;
  if (unreached) ++request.unreachable_attempts;
  const bool routers_left = !unreached || request.unreachable_attempts <
                                              static_cast<int>(most_unreachable_rounds * routers_.size());
  const bool allowed = unreached || day_.repeats || may_run_again(*request.request_class);
  if (allowed && routers_left && reactor_.now() < request.deadline) return send(request);
  end(request, unreached ? ClientOutcome::unreachable : ClientOutcome::unknown, reactor_.clock_ns());
}

void Clients::answered(ClientRequest& request, const HttpResponse& response, Time age) {
  request.attempt->status = response.status;
  const ClientOutcome outcome = outcome_of(response, request.id());
  const std::int64_t answered_ns = reactor_.clock_ns() - age * nanoseconds_per_tick;
  request.end_attempt(ClientAttemptEnd::answered, answered_ns);
  const bool once_more = day_.repeats && must_not_run_twice(request) &&
                         request.number % repeat_period == remainder_sent_once_more &&
                         outcome == ClientOutcome::succeeded;
  if (once_more && !request.first_outcome) return send_once_more(request, outcome, answered_ns);
  end(request, outcome, answered_ns);
}

// The same event once more, to another router: it must not run again.
void Clients::send_once_more(ClientRequest& request, ClientOutcome first_outcome, std::int64_t answered_ns) {
  request.first_outcome = first_outcome;
  request.ended_ns = answered_ns;
  request.router = (request.router + 1) % routers_.size();
  send(request);
}

// The router counts the time from when it receives the message; how long it lies at the broker is not its
// doing.
void Clients::publish(ClientRequest& request) {
  request.over_mqtt = true;
  request.deadline += broker_patience;
  request.time_limit += broker_patience;
  request.attempt = {.router = ClientAttempt::unknown_router, .sent_ns = reactor_.clock_ns()};
  published_[request.id()] = request.number;
  await_answer(request);
  publisher_->publish(request);
}

void Clients::publish_answered(const mqtt::Packet& packet) {
  const PublishedAnswer answer = read_answer(packet);
  const auto it = published_.find(answer.id);
  if (it == published_.end()) {
    // The same answer delivered again is harmless; another one is a second final answer.
    const auto first = published_outcomes_.find(answer.id);
    const bool same = first != published_outcomes_.end() && first->second == answer.outcome;
    record_.line(
        {{"what", same ? "repeated-answer" : "extra"}, {"at", reactor_.clock_ns()}, {"id", answer.id}});
    return;
  }
  ClientRequest& request = *requests_.at(it->second);
  published_.erase(it);
  published_outcomes_[answer.id] = answer.outcome;
  request.attempt->router = answer.router;
  request.end_attempt(ClientAttemptEnd::answered, reactor_.clock_ns());
  end(request, outcome_of(answer, packet), reactor_.clock_ns());
}

void Clients::end(ClientRequest& request, ClientOutcome outcome, std::int64_t ended_ns) {
  reactor_.cancel(request.deadline_timer);
  reactor_.cancel(request.patience_timer);
  if (!request.first_outcome) request.ended_ns = ended_ns;
  record_.line(request.to_json(outcome));
  reactor_.post([this, number = request.number] {
    requests_.erase(number);
    if (++ended_count_ < day_.events) return;
    record_.flush();
    reactor_.at(reactor_.now() + watch_span, over_);
  });
}

}  // namespace rushhill::simulation

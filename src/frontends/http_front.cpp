#include "frontends/http_front.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "core/client.h"

namespace rushhill::frontends {
namespace {

using Json = nlohmann::json;
using transport::HttpProgress;
using transport::HttpRequest;
using transport::HttpResponse;

constexpr std::size_t read_ahead =
    64 * 1024;  // bytes of further requests held while one is answered, beside a body of the largest size
constexpr Time linger = 10'000;        // tenths of a millisecond; the last answer is read before the close
constexpr Time first_request = 1'000;  // likewise; a new connection's, once the front winds up

// An answer that is no reply: RFC 9457, with what a client must know before it repeats.
HttpResponse problem(int status, const char* outcome, bool harmless, const std::string& detail) {
  const Json body{{"type", std::string("urn:rushhill:problem:") + outcome},
                  {"title", std::string(transport::reason_of(status))},
                  {"status", status},
                  {"detail", detail},
                  {"outcome", outcome},
                  {"harmless_to_repeat", harmless}};
  return {.status = status,
          .headers = {{"content-type", "application/problem+json"}},
          .body = body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

// Retry-After counts whole seconds; the exact time stands in the body.
HttpResponse come_back_later(int status, const char* outcome, Time come_back, const std::string& detail) {
  HttpResponse response = problem(status, outcome, true, detail);
  if (come_back <= 0) return response;
  Json body = Json::parse(response.body);
  body["retry_after_ms"] = (come_back + 9) / 10;
  response.body = body.dump();
  response.headers.emplace_back("retry-after", std::to_string((come_back + 9'999) / 10'000));
  return response;
}

HttpResponse malformed(const events::BadEvent& bad) {
  HttpResponse response = problem(400, "malformed", true, bad.what());
  Json body = Json::parse(response.body);
  body["attribute"] = bad.attribute();
  response.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return response;
}

}  // namespace

// One client's connection: reads a request, answers it, reads the next.
class HttpFront::Connection final : public transport::StreamHandler,
                                    public transport::Numbered,
                                    public core::Client {
 public:
  Connection(HttpFront& front, const transport::PendingConnection& arrival)
      : front_(front), reactor_(front.reactor_), reader_({.body = front.rules_.body}),
        requests_(front.counts_), since_(reactor_.now()) {
    stream_ = transport::Stream::adopt(reactor_, arrival, *this);
    set_alarm(front.rules_.idle);
  }
  ~Connection() override {
    reactor_.cancel(alarm_);
    stream_->close();
  }

  // The client is no longer there: its open events are told so.
  void leave(ConnectionEnd end) {
    closing_ = true;
    requests_.ended(end, stream_->handed_over_bytes());
    reactor_.cancel(alarm_);
    stream_->close();
    for (const auto& [event, row] : std::exchange(places_, {}))
      front_.gateway_.client_cancelled(event, std::exchange(unread_, 0));
  }

  void on_data(std::string_view bytes) override {
    if (unread_ > 0 && stream_->peek() == transport::Stream::Peeked::nothing) unread_ = 0;
    if (closing_ || !keep_alive_) return;  // nothing further is taken
    in_ += bytes;
    if (!answering_ && stream_->pending_bytes() == 0) return proceed();
    if (in_.size() <= front_.rules_.body + read_ahead) return;
    // Reading goes on, since nothing else shows that the client leaves. What is not kept is not taken, and
    // the connection ends after the present answer, which says so.
    keep_alive_ = false;
    in_ = {};
  }
  void attempt_started(RequestId) override {
    if (stream_->peek() != transport::Stream::Peeked::nothing) ++unread_;
  }

  void on_closed(transport::CloseReason) override { front_.forget(*this, ConnectionEnd::by_client); }
  void on_write_drained() override {
    requests_.handed_over(stream_->handed_over_bytes());
    if (closing_) return set_alarm(linger);
    if (answering_) return;
    if (!keep_alive_) return close_after();
    next();
  }

  void succeeded(RequestId event, events::CloudEvent reply) override {
    if (batch_) return place(event, 200, Json::parse(events::to_json(reply)), "event", 0);
    places_.erase(event);
    HttpResponse response{.status = 200, .headers = events::to_headers(reply)};
    response.body = std::move(reply.data);
    answer(std::move(response));
  }
  void rejected(RequestId event, Time come_back) override {
    put_problem(event, come_back_later(503, "shed", come_back, "the event was not run; it may be sent again"),
                come_back);
  }
  void duplicate(RequestId event) override {
    put_problem(event,
                problem(409, "abandoned", false,
                        "this event was taken before, here or by another router, and may have run"),
                0);
  }
  void failed(RequestId event) override {
    put_problem(event, problem(504, "abandoned", false, "given up without an answer; the event may have run"),
                0);
  }

  // For another's sake it may go, but not while an answer is owed.
  std::optional<Rank> holds(Time now) const {
    if (answering_) return std::nullopt;
    if (stream_->pending_bytes() > 0) return Rank{Holding::unread_answer, since_};
    if (asked_ && !begun_) return Rank{Holding::idle, since_};
    if (now - since_ < come_for) return Rank{Holding::just_come, since_};
    return Rank{begun_ ? Holding::half_request : Holding::nothing, since_};
  }
  bool untouched() const {
    return (begun_ || in_.empty()) && stream_->peek() == transport::Stream::Peeked::nothing;
  }

  // The front stops: an idle connection goes now, one at work or whose request stands unread or half read
  // after its answer; one that has just come has a moment for its request.
  void wind_up() {
    if (answering_ || closing_ || begun_ || !in_.empty() ||
        stream_->peek() == transport::Stream::Peeked::bytes)
      return;
    if (!fresh_) return close_after();
    set_alarm(first_request);
  }

 private:
  void set_alarm(Time span) {
    reactor_.cancel(alarm_);
    alarm_ = reactor_.at(reactor_.now() + span, [this] { overdue(); });
  }

  void overdue() {
    if (closing_ || !begun_ || stream_->pending_bytes() > 0)
      return front_.forget(*this, ConnectionEnd::by_gateway);
    answer_and_close(problem(408, "too-slow", true, "the request did not arrive whole in time"));
  }

  void proceed() {
    if (answering_ || closing_ || in_.empty()) return;
    if (!std::exchange(begun_, true)) {
      since_ = reactor_.now();
      set_alarm(front_.rules_.request_within);
    }
    switch (reader_.put(in_)) {
      case HttpProgress::more:
        if (!std::exchange(told_to_continue_, told_to_continue_ || reader_.wants_continue()) &&
            told_to_continue_)
          stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
        return;
      case HttpProgress::bad:
        return answer_and_close(problem(400, "malformed", true, "this is not HTTP/1.1"));
      case HttpProgress::head_too_large:
        return answer_and_close(problem(431, "too-large", true, "the header fields are too long"));
      case HttpProgress::body_too_large:
        return answer_and_close(
            problem(413, "too-large", true,
                    "the body is longer than " + std::to_string(front_.rules_.body) + " bytes"));
      case HttpProgress::done:
        break;
    }
    reactor_.cancel(alarm_);
    begun_ = told_to_continue_ = fresh_ = false;
    asked_ = answering_ = true;
    requests_.taken();
    const HttpRequest request = reader_.take();
    keep_alive_ = request.keep_alive;
    take(request);
  }

  void take(const HttpRequest& request) {
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/health/live" || path == "/health/ready") {
      if (request.method != "GET") return not_allowed("GET");
      const bool good = path == "/health/live" || (front_.ready_ && !front_.winding_up_);
      return answer({.status = good ? 200 : 503,
                     .headers = {{"content-type", "text/plain"}},
                     .body = (good ? "yes\n" : "no\n") +
                             (front_.standing_ && path == "/health/ready" ? front_.standing_() + "\n" : "")});
    }
    if (path == "/metrics") {
      if (request.method != "GET") return not_allowed("GET");
      return answer(
          {.status = 200,
           .headers = {{"content-type", "text/plain; version=0.0.4"}},
           .body = to_prometheus(front_.counts_) + (front_.more_metrics_ ? front_.more_metrics_() : "")});
    }
    if (path != "/") return answer(problem(404, "unknown-path", true, "events are sent to /"));
    if (request.method != "POST") return not_allowed("POST");
    const std::string* type = request.header("content-type");
    try {
      switch (events::mode_of(type == nullptr ? "" : *type)) {
        case events::Mode::binary:
          return take_one(events::from_headers(request.headers, request.body));
        case events::Mode::structured:
          return take_one(events::from_json(request.body));
        case events::Mode::batched:
          return take_batch(
              events::batch_from_json(request.body, static_cast<std::size_t>(front_.rules_.batch)));
        case events::Mode::unknown_format:
          break;
      }
      answer(problem(415, "unknown-format", true, "events come in binary mode or as JSON"));
    } catch (const events::BadEvent& bad) {
      answer(malformed(bad));
    }
  }

  void not_allowed(const char* method) {
    HttpResponse response = problem(405, "wrong-method", true, std::string("only ") + method);
    response.headers.emplace_back("allow", method);
    answer(std::move(response));
  }

  void take_one(events::CloudEvent message) {
    RoutingRequest told = front_.intake_.read(message);
    const auto event = front_.gateway_.accept(front_.source_, *this, std::move(told), std::move(message));
    if (!event) return answer(crowded());
    places_[*event] = 0;
  }

  HttpResponse crowded() const {
    return come_back_later(503, "crowded", front_.rules_.come_back, "as many events are open as permitted");
  }

  void take_batch(std::vector<events::CloudEvent> messages) {
    batch_ = true;
    rows_ = Json::array();
    for (events::CloudEvent& message : messages) {
      const std::size_t row = rows_.size();
      rows_.push_back({{"id", message.id}, {"source", message.source}});
      try {
        RoutingRequest told = front_.intake_.read(message);
        const auto event = front_.gateway_.accept(front_.source_, *this, std::move(told), std::move(message));
        if (event) {
          places_[*event] = row;
        } else {
          fill(row, 503, Json::parse(crowded().body), "problem");
        }
      } catch (const events::BadEvent& bad) {
        fill(row, 400, Json::parse(malformed(bad).body), "problem");
      }
    }
    if (places_.empty()) answer_batch();
  }

  void fill(std::size_t row, int status, Json body, const char* form) {
    rows_[row]["status"] = status;
    rows_[row][form] = std::move(body);
  }

  void place(RequestId event, int status, Json body, const char* form, Time come_back) {
    const auto it = places_.find(event);
    if (it == places_.end()) return;
    fill(it->second, status, std::move(body), form);
    if (come_back > 0) rows_[it->second]["retry_after_ms"] = (come_back + 9) / 10;
    places_.erase(it);
    if (places_.empty()) answer_batch();
  }

  void put_problem(RequestId event, HttpResponse response, Time come_back) {
    if (batch_) return place(event, response.status, Json::parse(response.body), "problem", come_back);
    places_.erase(event);
    answer(std::move(response));
  }

  void answer_batch() {
    batch_ = false;
    HttpResponse response{.status = 200, .headers = {{"content-type", "application/json"}}};
    response.body = std::exchange(rows_, Json()).dump(-1, ' ', false, Json::error_handler_t::replace);
    answer(std::move(response));
  }

  void answer(HttpResponse response) {
    keep_alive_ = keep_alive_ && !front_.winding_up_;
    response.keep_alive = keep_alive_;
    const std::string bytes = transport::to_bytes(response);
    requests_.answer_written(stream_->handed_over_bytes() + stream_->pending_bytes() + bytes.size());
    stream_->write(bytes);
    requests_.handed_over(stream_->handed_over_bytes());
    answering_ = begun_ = false;
    since_ = reactor_.now();
    if (!keep_alive_) return close_after();
    // A client that does not read its answer is not waited for longer than one that does not send.
    set_alarm(stream_->pending_bytes() > 0 ? front_.rules_.request_within : front_.rules_.idle);
    if (stream_->pending_bytes() == 0) next();
  }

  // For a request that has not come whole.
  void answer_and_close(HttpResponse response) {
    requests_.taken();
    keep_alive_ = false;
    answer(std::move(response));
  }

  // The next request, when what runs now has returned.
  void next() {
    since_ = reactor_.now();
    set_alarm(front_.rules_.idle);
    if (in_.empty()) return;
    reactor_.post([this, alive = std::weak_ptr(life_)] {
      if (!alive.expired()) proceed();
    });
  }

  void close_after() {
    closing_ = true;
    in_.clear();
    stream_->shutdown_write();
    // What the system has not taken of the last answer is sent at its client's pace.
    set_alarm(stream_->pending_bytes() > 0 ? front_.rules_.request_within : linger);
  }

  HttpFront& front_;
  transport::Reactor& reactor_;  // also when the front is gone
  std::shared_ptr<transport::Stream> stream_;
  transport::HttpRequestReader reader_;
  ConnectionRequests requests_;
  std::string in_;
  std::map<RequestId, std::size_t> places_;  // events that await their answer, and their row in a batch
  Json rows_;
  core::Timer alarm_;
  std::uint64_t unread_ = 0;  // attempts that started while something of the client stood unread
  std::shared_ptr<int> life_ = std::make_shared<int>(0);
  Time since_;              // it is as it is
  bool asked_ = false;      // a whole request has come
  bool fresh_ = true;       // no request has come whole
  bool begun_ = false;      // a part of a request has come
  bool answering_ = false;  // a whole one has come and is not answered yet
  bool batch_ = false, keep_alive_ = true, closing_ = false, told_to_continue_ = false;
};

HttpFront::HttpFront(transport::Reactor& reactor, core::Gateway& gateway, const core::RequestReader& intake,
                     core::EventLog& diary, const HttpRules& rules)
    : reactor_(reactor), gateway_(gateway), intake_(intake), diary_(diary), rules_(rules),
      source_(gateway.add_source(rules.weight)) {}
HttpFront::~HttpFront() {
  while (!connections_.empty()) forget(*connections_.begin()->first, ConnectionEnd::by_gateway);
}

transport::Address HttpFront::listen(const transport::Address& address, bool shared) {
  listener_ = std::make_unique<transport::Listener>(reactor_, address, shared,
                                                    [this](const auto& arrival) { accept(arrival); });
  return listening();
}
transport::Address HttpFront::listen_inherited(int descriptor) {
  listener_ = std::make_unique<transport::Listener>(reactor_, descriptor,
                                                    [this](const auto& arrival) { accept(arrival); });
  return listening();
}
transport::Address HttpFront::listening() {
  listener_->accept_while([this] {
    return eviction_.room(connections_, static_cast<std::size_t>(rules_.connections), reactor_.now(),
                          [this](Connection& connection) { forget(connection, ConnectionEnd::by_gateway); });
  });
  return listener_->address();
}

void HttpFront::accept(const transport::PendingConnection& arrival) {
  if (connections_.size() >= static_cast<std::size_t>(rules_.connections)) {
    diary_.write(core::Level::warning, "connection refused: too many", {});
    return arrival.refuse();
  }
  const auto connection = std::make_shared<Connection>(*this, arrival);
  connections_.emplace(connection.get(), connection);
}

void HttpFront::forget(Connection& connection, ConnectionEnd end) {
  const auto it = connections_.find(&connection);
  if (it == connections_.end()) return;
  // It may be the one that is calling: it goes when that call has returned.
  reactor_.post([gone = it->second] {});
  connections_.erase(it);
  connection.leave(end);
}

void HttpFront::wind_up() {
  winding_up_ = true;
  if (listener_) listener_->accept_all();  // what is left in its queue is reset
  listener_.reset();
  for (const auto& [connection, held] : connections_) connection->wind_up();
}

}  // namespace rushhill::frontends

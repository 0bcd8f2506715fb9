#include "frontends/fastcgi_front.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>
#include <vector>

#include "core/client.h"
#include "routing/configuration.h"

namespace rushhill::frontends {
namespace {

using fastcgi::Ended;
using fastcgi::Number;
using fastcgi::Refusal;
using transport::CloseReason;
using transport::Stream;

constexpr Time sweep_period = 1'000;   // tenths of a millisecond; short beside the spans below
constexpr Time whole_within = 20'000;  // from a request's first byte to its last; a bad client is owed 3 s
constexpr Time first_within = 20'000;  // from connecting to the first whole request, likewise
constexpr Time idle_limit = 100'000;   // between requests; clients close after 4 s themselves
constexpr Time read_within = 100'000;  // from an answer's writing until its client has read it
constexpr Time settled = 2'000;        // for a client to leave once it has its last answer
constexpr Time way_back = 10;          // from our answer to the client's reading it, taken off its time
constexpr Time rounding = 10;          // a limit told in whole milliseconds may be that much above ours
constexpr std::size_t id_digits = 16;
constexpr std::size_t longest_number = 128;  // bytes; an event's own number goes on within a line
constexpr double most_memory_mb = 1e6;       // of a copy; above any machine's
constexpr double most_lanes = 1024;          // of a copy
constexpr double most_load_ms = 600'000;     // above any order's limit
constexpr std::string_view events_path = "/ops/";
constexpr std::string_view health_path = "/alive";
constexpr std::string_view metrics_path = "/metrics";
constexpr const char* opaque_type = "application/octet-stream";
constexpr const char* metrics_type = "text/plain; version=0.0.4";

bool is_id(std::string_view text) {
  return text.size() == id_digits &&
         std::ranges::all_of(text, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

// What goes on unchanged as one word of a line.
bool is_word(std::string_view text) {
  return !text.empty() && text.size() <= longest_number &&
         std::ranges::all_of(text, [](char c) { return c > ' ' && c < '\x7f' && c != ',' && c != '='; });
}

template <typename Number>
std::optional<Number> number_of(std::string_view text) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// `memory_mb:512;lanes:2`. Names that we do not know must still be figures. False: not readable.
bool read_facts(std::string_view text, RoutingRequest& told) {
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(';'), text.size());
    const std::string_view fact = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    const std::size_t colon = fact.find(':');
    if (colon == std::string_view::npos || colon == 0) return false;
    const std::string_view name = fact.substr(0, colon);
    const auto value = number_of<double>(fact.substr(colon + 1));
    if (!value || !std::isfinite(*value) || *value < 0) return false;
    if (name == "memory_mb") {
      if (*value > most_memory_mb) return false;
      told.memory_mb = *value;
    } else if (name == "lanes") {
      if (*value < 1 || *value > most_lanes) return false;
      told.lanes = *value;
    } else if (name == "load_ms") {
      if (*value > most_load_ms) return false;
      told.load_time = to_duration(static_cast<Time>(std::ceil(*value * 10)));
    }
  }
  return true;
}

// An answer as a CGI response.
std::string response(int status, const char* phrase, const std::string& fields, std::string_view body,
                     const char* content_type = opaque_type) {
  std::string out = "Status: " + std::to_string(status) + " " + phrase + "\r\n" + fields;
  out += "Content-Type: " + std::string(content_type);
  out += "\r\nContent-Length: " + std::to_string(body.size());
  return out.append("\r\n\r\n").append(body);
}

}  // namespace

Asked read_request(const RoutingConfiguration& deployment, fastcgi::Request request) {
  Asked asked;
  const auto no = [&](int status, std::string reason) {
    asked.status = status;
    asked.reason = std::move(reason);
    return std::move(asked);
  };
  for (const char* name : {"SCRIPT_NAME", "HTTP_X_JOB_ID", "HTTP_X_ALLOW_MS", "HTTP_X_TEAM", "HTTP_X_ITEM",
                           "HTTP_X_UNIQUE", "HTTP_X_FACTS", "CONTENT_LENGTH"}) {
    if (request.repeats(name)) return no(400, std::string(name) + " is there twice");
  }
  const std::string* path = request.param("SCRIPT_NAME");
  if (path == nullptr || !path->starts_with(events_path)) return no(404, "no such place");
  const std::string type = path->substr(events_path.size());
  const auto known = std::ranges::find(deployment.request_classes, type, &RequestClass::name);
  if (known == deployment.request_classes.end()) return no(404, "unknown class");
  const std::string* id = request.param("HTTP_X_JOB_ID");
  if (id == nullptr || !is_id(*id)) return no(400, "X-Job-Id is not 16 hex digits");
  const std::string* item = request.param("HTTP_X_ITEM");
  if (item == nullptr || !is_id(*item)) return no(400, "X-Item is not 16 hex digits");
  const std::string* allow = request.param("HTTP_X_ALLOW_MS");
  const auto allowed = allow == nullptr ? std::nullopt : number_of<std::int64_t>(*allow);
  if (!allowed || *allowed <= 0) return no(400, "X-Allow-Ms is not a number above 0");
  // Compared before it is multiplied: it may be any number.
  if (*allowed > (to_ticks(known->deadline_span) + rounding) / 10)
    return no(400, "X-Allow-Ms is beyond the class's deadline");
  const std::string* team = request.param("HTTP_X_TEAM");
  const bool named = team != nullptr &&
                     std::ranges::find(deployment.tenants, *team, &Tenant::name) != deployment.tenants.end();
  if (!named && !deployment.tenants.empty()) return no(400, "X-Team is not a tenant");
  // Sent to any server twice, an event of a numbered type runs once there, by this.
  const std::string* number = request.param("HTTP_X_UNIQUE");
  if (number == nullptr && known->retry_safety == RetrySafety::keyed) return no(400, "X-Unique is missing");
  if (number != nullptr && !is_word(*number)) return no(400, "X-Unique is no word of 128 bytes at most");
  const std::string* facts = request.param("HTTP_X_FACTS");
  if (facts != nullptr && !read_facts(*facts, asked.told)) return no(400, "X-Facts holds what is no figure");
  const std::string* length = request.param("CONTENT_LENGTH");
  if (length != nullptr && !length->empty()) {
    const auto bytes = number_of<std::uint64_t>(*length);
    if (!bytes || *bytes != request.body.size()) return no(400, "CONTENT_LENGTH is not the body's");
  }
  asked.told.request_class = type;
  if (named) asked.told.tenant = *team;
  asked.told.function = *item;
  asked.told.time_left = to_duration(std::max<Time>(*allowed * 10 - way_back, 1));
  asked.message.id = *id;
  asked.message.type = type;
  asked.message.others["function"] = *item;
  if (number != nullptr) asked.message.others["number"] = *number;
  asked.message.data = std::move(request.body);
  return asked;
}

class FastCgiFront::Connection final : public transport::StreamHandler,
                                       public transport::Numbered,
                                       private core::Client,
                                       private fastcgi::Taker {
 public:
  Connection(FastCgiFront& front, const transport::PendingConnection& arrival)
      : front_(front), reader_(*this, front.rules_.bounds), requests_(front.counts_),
        quiet_since_(front.reactor_.now()) {
    stream_ = Stream::adopt(front.reactor_, arrival, *this);
  }
  ~Connection() override { leave(ConnectionEnd::by_gateway); }

  // Its events have no client any more.
  void leave(ConnectionEnd end) {
    if (std::exchange(gone_, true)) return;
    requests_.ended(end, stream_->handed_over_bytes());
    stream_->close();
    for (const auto& [event, request] : std::exchange(open_, {})) {
      front_.open_ids_.erase(request.id);
      front_.gateway_.client_cancelled(event, request.unread);
    }
  }

  // For another's sake it may go, but not while an answer is owed.
  std::optional<Rank> holds(Time now) const {
    if (!open_.empty() || !come_.empty()) return std::nullopt;
    if (stream_->pending_bytes() > 0) return Rank{Holding::unread_answer, quiet_since_};
    const auto half_since = unfinished_since();
    if (asked_ && !half_since) return Rank{Holding::idle, quiet_since_};
    const Time since = half_since.value_or(quiet_since_);
    if (now - since < come_for) return Rank{Holding::just_come, since};
    return Rank{half_since ? Holding::half_request : Holding::nothing, since};
  }
  bool untouched() const { return stream_->peek() == Stream::Peeked::nothing; }
  bool all_sent() const {
    return stream_->pending_bytes() == 0 && !unfinished_since() && stream_->peek() != Stream::Peeked::bytes;
  }
  void finish() {
    if (closing_) return;
    closing_ = true;
    quiet_since_ = front_.reactor_.now();
    stream_->shutdown_write();
  }

  std::size_t open_requests() const { return open_.size() + come_.size(); }

  // Nothing: it may stay. Else why it is to be closed. While an answer is owed it stays, also where a further
  // request on it has stopped halfway; while an answer is being read, too.
  const char* outstayed(Time now) const {
    if (open_requests() > 0) return nullptr;
    if (stream_->pending_bytes() > 0) return now - quiet_since_ >= read_within ? "does not read" : nullptr;
    // What has come and has not been read may be a request, and was here before we would close.
    if (!closing_ && stream_->peek() == Stream::Peeked::bytes) return nullptr;
    const auto since = unfinished_since();
    if (since && now - *since >= whole_within) return "half a request";
    if (closing_) return now - quiet_since_ >= settled ? "answered and not left" : nullptr;
    if (!asked_ && now - quiet_since_ >= first_within) return "silent";
    return now - quiet_since_ >= idle_limit ? "idle" : nullptr;
  }

  void on_data(std::string_view bytes) override {
    if (closing_) return;  // what comes after the last answer
    if (broken_) return leave_if_answered();
    const auto self = front_.connections_.at(this);
    reader_.put(bytes, front_.reactor_.now());
    // A client that has left already is known before anything is begun for it.
    if (!come_.empty() && !gone_ && stream_->peek() == Stream::Peeked::end)
      return front_.forget(*this, ConnectionEnd::by_client);
    while (!gone_ && !come_.empty()) {
      auto [number, request] = std::move(come_.front());
      come_.erase(come_.begin());
      begin(number, std::move(request));
    }
    if (broken_) return leave_if_answered();
    if (!gone_ && stream_->pending_bytes() > front_.rules_.unread)
      return front_.forget(*this, ConnectionEnd::by_gateway);
    if (gone_ || !unread_ || stream_->peek() != Stream::Peeked::nothing) return;
    unread_ = false;
    for (auto& [event, request] : open_) request.unread = 0;
  }
  void on_write_drained() override {
    requests_.handed_over(stream_->handed_over_bytes());
    quiet_since_ = front_.reactor_.now();
  }
  void on_closed(CloseReason) override { front_.forget(*this, ConnectionEnd::by_client); }

 private:
  struct Open {
    Number number = 0;
    bool keep = true;
    std::string id{};
    std::uint64_t unread = 0;  // attempts that started while something of its client stood unread
  };

  // fastcgi::Taker
  // Begun when all that came with it has been read: it may be taken back there.
  void request(Number number, fastcgi::Request request) override {
    asked_ = true;
    requests_.taken();
    come_.emplace_back(number, std::move(request));
  }
  void begin(Number number, fastcgi::Request request) {
    const bool keep = request.keep;
    const std::string* path = request.param("SCRIPT_NAME");
    if (path != nullptr && *path == health_path) {
      reader_.ended(number);
      return reply(
          number, keep,
          front_.ready_ ? response(200, "OK", "", "ok") : response(503, "Service Unavailable", "", ""));
    }
    if (path != nullptr && *path == metrics_path) {
      reader_.ended(number);
      return reply(number, keep, response(200, "OK", "", to_prometheus(front_.counts_), metrics_type));
    }
    Asked asked = read_request(front_.gateway_.configuration(), std::move(request));
    asked.told.time_left =
        to_duration(front_.time_left(to_ticks(asked.told.time_left), stream_->unread_age()));
    if (asked.status == 0 && front_.answer_by_ != 0 && asked.told.time_left <= Duration::zero()) {
      reader_.ended(number);
      return reply_overloaded(number, keep);
    }
    if (asked.status == 0 && front_.open_ids_.contains(asked.message.id)) {
      asked.status = 409;
      asked.reason = "X-Job-Id is open already";
    }
    if (asked.status != 0) {
      reader_.ended(number);
      return reply(number, keep, response(asked.status, "Bad Request", "", asked.reason));
    }
    const std::string id = asked.message.id;
    const auto event = front_.gateway_.accept(front_.source_, *this, asked.told, std::move(asked.message));
    if (!event) {
      reader_.ended(number);
      return reply_overloaded(number, keep);
    }
    open_.emplace(*event, Open{number, keep, id});
    front_.open_ids_.insert(id);
  }
  void refused(Number number, Refusal why, bool keep) override {
    asked_ = true;
    requests_.taken();
    switch (why) {
      case Refusal::unknown_role:
        return write_answer(fastcgi::end_request(number, Ended::unknown_role, 0), keep);
      case Refusal::too_many:
        return reply_overloaded(number, keep);
      case Refusal::params_too_large:
        return reply(number, keep,
                     response(431, "Request Header Fields Too Large", "", "too many parameters"));
      case Refusal::params_unreadable:
        return reply(number, keep, response(400, "Bad Request", "", "parameters cannot be read"));
      case Refusal::body_too_large:
        return reply(number, keep, response(413, "Content Too Large", "", "a body holds 16 KiB at most"));
    }
  }
  void aborted(Number number, bool whole) override {
    const auto unbegun = std::ranges::find(come_, number, &std::pair<Number, fastcgi::Request>::first);
    if (unbegun != come_.end()) {
      const bool keep = unbegun->second.keep;
      come_.erase(unbegun);
      requests_.cancelled();
      reader_.ended(number);
      return write(fastcgi::end_request(number, Ended::complete, 1), keep);
    }
    if (whole) {
      const auto it =
          std::ranges::find_if(open_, [&](const auto& item) { return item.second.number == number; });
      if (it != open_.end()) {
        const RequestId event = it->first;
        const Open request = close(event);
        requests_.cancelled();
        front_.gateway_.client_cancelled(event, request.unread);
        if (!gone_) write(fastcgi::end_request(number, Ended::complete, 1), request.keep);
        return;
      }
    }
    write(fastcgi::end_request(number, Ended::complete, 1), true);
  }
  void values_asked(const std::vector<std::string>& names) override {
    std::vector<std::pair<std::string, std::string>> values;
    for (const std::string& name : names) {
      if (name == "FCGI_MAX_CONNS") values.emplace_back(name, std::to_string(front_.rules_.connections));
      if (name == "FCGI_MAX_REQS")
        values.emplace_back(name, std::to_string(front_.rules_.connections * front_.rules_.bounds.open));
      if (name == "FCGI_MPXS_CONNS") values.emplace_back(name, "1");
    }
    write(fastcgi::values_result(values), true);
  }
  void type_unknown(std::uint8_t type) override { write(fastcgi::unknown_type(type), true); }
  // Nothing further is read on it. What was read before is answered, then it is closed.
  void broken(const char* why) override {
    front_.diary_.write(core::Level::debug, "client cannot be read", {{"reason", why}});
    broken_ = true;
  }

  // core::Client
  void attempt_started(RequestId event) override {
    const auto it = open_.find(event);
    if (it == open_.end() || stream_->peek() == Stream::Peeked::nothing) return;
    ++it->second.unread;
    unread_ = true;
  }
  void succeeded(RequestId event, events::CloudEvent answer) override {
    const Open request = close(event);
    reply(request.number, request.keep, response(200, "OK", "", answer.data));
  }
  void rejected(RequestId event, Time come_back) override {
    const Open request = close(event);
    const std::string wait =
        come_back > 0 ? "X-Wait-Ms: " + std::to_string((come_back + 9) / 10) + "\r\n" : std::string();
    reply(request.number, request.keep, response(503, "Service Unavailable", wait, ""));
  }
  void failed(RequestId event) override {
    const Open request = close(event);
    reply(request.number, request.keep, response(504, "Gateway Timeout", "", ""));
  }

  Open close(RequestId event) {
    const auto it = open_.find(event);
    Open request = std::move(it->second);
    open_.erase(it);
    reader_.ended(request.number);
    front_.open_ids_.erase(request.id);
    return request;
  }
  void reply(Number number, bool keep, const std::string& text) {
    write_answer(fastcgi::answer(number, text), keep);
  }
  void reply_overloaded(Number number, bool keep) {
    write_answer(fastcgi::end_request(number, Ended::overloaded, 0), keep);
  }
  // The whole answer of one request.
  void write_answer(const std::string& bytes, bool keep) {
    if (gone_) return;
    const std::size_t output_before = stream_->handed_over_bytes() + stream_->pending_bytes();
    requests_.answer_written(output_before + bytes.size());
    write(bytes, keep);
    requests_.handed_over(stream_->handed_over_bytes());
  }
  void write(const std::string& bytes, bool keep) {
    if (gone_) return;
    quiet_since_ = front_.reactor_.now();
    stream_->write(bytes);
    if ((keep && !broken_) || !open_.empty() || !come_.empty()) return;
    closing_ = true;
    stream_->shutdown_write();
  }

  // For one whose client cannot be read any more.
  void leave_if_answered() {
    if (gone_ || open_requests() > 0) return;
    if (stream_->pending_bytes() > 0) return finish();
    front_.forget(*this, ConnectionEnd::by_client);
  }
  // Since when a request stands here of which a part has not come.
  std::optional<Time> unfinished_since() const { return broken_ ? std::nullopt : reader_.unfinished_since(); }

  FastCgiFront& front_;
  std::shared_ptr<Stream> stream_;
  fastcgi::Reader reader_;
  ConnectionRequests requests_;
  std::map<RequestId, Open> open_;
  std::vector<std::pair<Number, fastcgi::Request>> come_;  // whole, and not begun
  Time quiet_since_;
  bool asked_ = false, closing_ = false, gone_ = false;
  bool broken_ = false;  // what its client sends cannot be read any more
  bool unread_ = false;  // something stood unread when an attempt started
};

FastCgiFront::FastCgiFront(transport::Reactor& reactor, core::Gateway& gateway, core::EventLog& diary,
                           const FastCgiRules& rules)
    : reactor_(reactor), gateway_(gateway), diary_(diary), rules_(rules), source_(gateway.add_source(1)) {
  sweep();
}
FastCgiFront::~FastCgiFront() {
  reactor_.cancel(alarm_);
  while (!connections_.empty()) forget(*connections_.begin()->first, ConnectionEnd::by_gateway);
}

transport::Address FastCgiFront::listen(const transport::Address& address) {
  // Shared with the router's earlier self, which takes what comes to it until it has ended.
  listener_ = std::make_unique<transport::Listener>(reactor_, address, true,
                                                    [this](const auto& arrival) { accept(arrival); });
  listener_->accept_while([this] {
    return eviction_.room(connections_, rules_.connections, reactor_.now(),
                          [this](Connection& connection) { forget(connection, ConnectionEnd::by_gateway); });
  });
  return listener_->address();
}

void FastCgiFront::accept(const transport::PendingConnection& arrival) {
  if (connections_.size() >= rules_.connections) {
    diary_.write(core::Level::warning, "connection refused: too many", {});
    return arrival.refuse();
  }
  const auto connection = std::make_shared<Connection>(*this, arrival);
  connections_.emplace(connection.get(), connection);
}

std::size_t FastCgiFront::open_requests() const {
  std::size_t open = 0;
  for (const auto& [connection, held] : connections_) open += connection->open_requests();
  return open;
}

void FastCgiFront::forget(Connection& connection, ConnectionEnd end) {
  const auto it = connections_.find(&connection);
  if (it == connections_.end()) return;
  // It may be the one that is calling: it goes when that call has returned.
  reactor_.post([gone = it->second] {});
  const auto held = it->second;
  connections_.erase(it);
  held->leave(end);
}

Time FastCgiFront::time_left(Time told, Time age) const {
  const Time left = std::max<Time>(told - age, 1);
  return answer_by_ == 0 ? left : std::min(left, answer_by_ - reactor_.now());
}

void FastCgiFront::sweep() {
  const Time now = reactor_.now();
  alarm_ = reactor_.at(now + sweep_period, [this] { sweep(); });
  std::vector<Connection*> outstayed;
  for (const auto& [connection, held] : connections_) {
    if (connection->outstayed(now) != nullptr) outstayed.push_back(connection);
  }
  for (Connection* connection : outstayed) forget(*connection, ConnectionEnd::by_gateway);
}

bool FastCgiFront::all_sent() const {
  return std::ranges::all_of(connections_, [](const auto& item) { return item.first->all_sent(); });
}

void FastCgiFront::stop_listening() {
  if (!listener_) return;
  listener_->accept_all();
  listener_.reset();
}

void FastCgiFront::finish() {
  for (const auto& [connection, held] : connections_) connection->finish();
}

}  // namespace rushhill::frontends

#include "frontends/fastcgi_connection.h"

#include <algorithm>

#include "frontends/fastcgi_answers.h"

namespace rushhill::frontends {
namespace {

using transport::Stream;

// Time-outs, in tenths of a millisecond.
constexpr Time complete_within = 20'000;  // from a request's first byte to its last; 3 s are owed at least
constexpr Time first_request_within = 20'000;  // from connecting to the first complete request, likewise
constexpr Time idle_limit = 100'000;           // between requests; clients close after 4 s themselves
constexpr Time read_within = 100'000;          // from an answer's writing until its client has read it
constexpr Time close_within = 2'000;           // for a client to close once it has its last answer

constexpr std::string_view health_path = "/alive";
constexpr std::string_view metrics_path = "/metrics";
constexpr std::string_view metrics_type = "text/plain; version=0.0.4";

}  // namespace

FastCgiFront::Connection::Connection(FastCgiFront& front, const transport::PendingConnection& pending)
    : front_(front), reader_(*this, front.rules_.bounds), requests_(front.counts_),
      partial_memory_(&front.memory_.requests), answer_memory_(&front.memory_.answers),
      quiet_since_(front.reactor_.now()) {
  stream_ = Stream::adopt(front.reactor_, pending, *this);
}
FastCgiFront::Connection::~Connection() { close(ConnectionEnd::by_gateway); }

void FastCgiFront::Connection::close(ConnectionEnd end) {
  if (std::exchange(closed_, true)) return;
  requests_.ended(end, stream_->handed_over_bytes());
  stream_->close();
  open_memory_ = 0;
  partial_memory_.resize(0);
  answer_memory_.resize(0);
  for (const auto& [request_id, request] : std::exchange(open_, {})) {
    front_.open_ids_.erase(request.id);
    front_.gateway_.client_cancelled(request_id, request.unread);
  }
}

void FastCgiFront::Connection::finish() {
  if (closing_) return;
  closing_ = true;
  quiet_since_ = front_.reactor_.now();
  stream_->shutdown_write();
}

std::optional<EvictionRank> FastCgiFront::Connection::eviction_rank(Time now) const {
  return frontends::eviction_rank({.request_open = open_requests() > 0,
                                   .answer_unread = stream_->pending_bytes() > 0,
                                   .request_seen = request_seen_,
                                   .since = quiet_since_,
                                   .partial_since = partial_since()},
                                  now);
}
bool FastCgiFront::Connection::has_no_unread_input() const {
  return stream_->peek() == Stream::Peeked::nothing;
}
bool FastCgiFront::Connection::all_sent() const {
  return stream_->pending_bytes() == 0 && !partial_since() && stream_->peek() != Stream::Peeked::bytes;
}

bool FastCgiFront::Connection::has_timed_out(Time now) const {
  if (over_memory_) return true;
  if (open_requests() > 0) return false;
  // Even if it sends all the time, its client has not begun a request for as long.
  if (reader_.ignoring_span() >= (request_seen_ ? idle_limit : first_request_within)) return true;
  const Time quiet_for = now - quiet_since_;
  if (stream_->pending_bytes() > 0) return quiet_for >= read_within;
  // What has come and has not been read may be a request, and was here before we would close.
  if (!closing_ && stream_->peek() == Stream::Peeked::bytes) return false;
  const auto since = partial_since();
  if (since && now - *since >= complete_within) return true;
  if (closing_) return quiet_for >= close_within;
  if (!request_seen_ && quiet_for >= first_request_within) return true;
  return quiet_for >= idle_limit;
}

void FastCgiFront::Connection::on_data(std::string_view bytes) {
  if (closing_) return;  // what comes after the last answer
  if (unreadable_) return close_if_answered();
  reader_.put(bytes, front_.reactor_.now());
  // A client that has left already is known before anything is started for it.
  if (!received_.empty() && !closed_ && stream_->peek() == Stream::Peeked::end)
    return front_.connections_.remove(*this, ConnectionEnd::by_client);
  start_received();
  if (!closed_) partial_memory_.resize(reader_.held_bytes());
  if (unreadable_) return close_if_answered();
  if (!closed_ && stream_->pending_bytes() > front_.rules_.unread)
    return front_.connections_.remove(*this, ConnectionEnd::by_gateway);
  if (closed_ || !counts_unread_ || stream_->peek() != Stream::Peeked::nothing) return;
  reset_unread();
}
void FastCgiFront::Connection::on_write_drained() {
  requests_.handed_over(stream_->handed_over_bytes());
  quiet_since_ = front_.reactor_.now();
  answer_memory_.resize(0);
}
void FastCgiFront::Connection::on_closed(transport::CloseReason) {
  front_.connections_.remove(*this, ConnectionEnd::by_client);
}

bool FastCgiFront::Connection::may_hold(std::size_t bytes) {
  if (!has_memory_for(bytes)) return false;
  partial_memory_.resize(partial_memory_.bytes() + bytes);
  return true;
}
bool FastCgiFront::Connection::has_memory_for(std::size_t bytes) {
  partial_memory_.resize(reader_.held_bytes());
  if (front_.memory_.requests.admits(partial_memory_.bytes() + open_memory_, bytes)) return true;
  ++front_.counts_.refused_for_memory;
  return false;
}

void FastCgiFront::Connection::request(fastcgi::Number number, fastcgi::Request request) {
  request_seen_ = true;
  requests_.taken();
  received_.emplace_back(number, std::move(request));
}

void FastCgiFront::Connection::start_received() {
  while (!closed_ && !received_.empty()) {
    auto [number, request] = std::move(received_.front());
    received_.erase(received_.begin());
    start(number, std::move(request));
  }
}

void FastCgiFront::Connection::start(fastcgi::Number number, fastcgi::Request request) {
  const Exchange exchange{number, request.keep};
  if (answer_monitoring(exchange, request)) return;
  auto read = read_request(front_.gateway_.configuration(), std::move(request));
  if (const auto* error = std::get_if<RequestError>(&read)) {
    reader_.ended(number);
    return answer(exchange, {.status = error->status, .reason_phrase = "Bad Request", .body = error->reason});
  }
  forward(exchange, std::move(std::get<GatewayRequest>(read)));
}

bool FastCgiFront::Connection::answer_monitoring(const Exchange& exchange, const fastcgi::Request& request) {
  const std::string* path = request.param("SCRIPT_NAME");
  if (path == nullptr) return false;
  if (*path == health_path) {
    reader_.ended(exchange.number);
    answer(exchange, front_.ready_ ? CgiResponse{.body = "ok"}
                                   : CgiResponse{.status = 503, .reason_phrase = "Service Unavailable"});
    return true;
  }
  if (*path == metrics_path) {
    reader_.ended(exchange.number);
    answer(exchange, {.content_type = metrics_type,
                      .body = to_prometheus(front_.counts_) + to_prometheus(front_.memory_)});
    return true;
  }
  return false;
}

void FastCgiFront::Connection::forward(const Exchange& exchange, GatewayRequest request) {
  request.routing.time_left = front_.time_left(request.routing.time_left, stream_->unread_age());
  if (front_.answer_by_ != 0 && request.routing.time_left <= Duration::zero()) {
    reader_.ended(exchange.number);
    return answer_overloaded(exchange);
  }
  const std::size_t memory = core::memory_of(request.message);
  if (!has_memory_for(memory)) {
    reader_.ended(exchange.number);
    return answer_overloaded(exchange);
  }
  const std::string id = request.message.id;
  if (front_.open_ids_.contains(id)) {
    reader_.ended(exchange.number);
    return answer(exchange,
                  {.status = 409, .reason_phrase = "Bad Request", .body = "X-Job-Id is open already"});
  }
  const auto request_id =
      front_.gateway_.accept(front_.source_, *this, request.routing, std::move(request.message));
  if (!request_id) {
    reader_.ended(exchange.number);
    return answer_overloaded(exchange);
  }
  open_.emplace(*request_id, OpenRequest{.exchange = exchange, .id = id, .memory = memory});
  open_memory_ += memory;
  front_.open_ids_.insert(id);
}

void FastCgiFront::Connection::refused(fastcgi::Number number, fastcgi::Refusal why, bool keep) {
  request_seen_ = true;
  requests_.taken();
  write_answer(refusal_records(number, why), keep);
}

void FastCgiFront::Connection::aborted(fastcgi::Number number, bool whole) {
  if (cancel_received(number)) return;
  if (whole && cancel_open(number)) return;
  write(cancelled_records(number), true);
}
bool FastCgiFront::Connection::cancel_received(fastcgi::Number number) {
  const auto it = std::ranges::find(received_, number, &std::pair<fastcgi::Number, fastcgi::Request>::first);
  if (it == received_.end()) return false;
  const bool keep = it->second.keep;
  received_.erase(it);
  requests_.cancelled();
  reader_.ended(number);
  write(cancelled_records(number), keep);
  return true;
}
bool FastCgiFront::Connection::cancel_open(fastcgi::Number number) {
  const auto it =
      std::ranges::find_if(open_, [&](const auto& item) { return item.second.exchange.number == number; });
  if (it == open_.end()) return false;
  const RequestId request_id = it->first;
  const OpenRequest request = take_open(request_id);
  requests_.cancelled();
  front_.gateway_.client_cancelled(request_id, request.unread);
  if (!closed_) write(cancelled_records(number), request.exchange.keep);
  return true;
}

void FastCgiFront::Connection::values_requested(const std::vector<std::string>& names) {
  std::vector<std::pair<std::string, std::string>> values;
  for (const std::string& name : names) {
    if (name == "FCGI_MAX_CONNS") values.emplace_back(name, std::to_string(front_.rules_.connections));
    if (name == "FCGI_MAX_REQS")
      values.emplace_back(name, std::to_string(front_.rules_.connections * front_.rules_.bounds.open));
    if (name == "FCGI_MPXS_CONNS") values.emplace_back(name, "1");
  }
  write(fastcgi::values_result(values), true);
}
void FastCgiFront::Connection::type_unknown(std::uint8_t type) { write(fastcgi::unknown_type(type), true); }

// Nothing further is read on the connection. What was read before is answered, then it is closed.
void FastCgiFront::Connection::broken(const char* why) {
  front_.log_.write(core::Level::debug, "client cannot be read", {{"reason", why}});
  unreadable_ = true;
}

void FastCgiFront::Connection::attempt_started(RequestId request_id) {
  const auto it = open_.find(request_id);
  if (it == open_.end() || stream_->peek() == Stream::Peeked::nothing) return;
  ++it->second.unread;
  counts_unread_ = true;
}
void FastCgiFront::Connection::reset_unread() {
  counts_unread_ = false;
  for (auto& [request_id, request] : open_) request.unread = 0;
}

void FastCgiFront::Connection::succeeded(RequestId request_id, events::CloudEvent answer) {
  answer_open(request_id, {.body = answer.data});
}
void FastCgiFront::Connection::rejected(RequestId request_id, Duration retry_after) {
  answer_open(request_id, {.status = 503,
                           .reason_phrase = "Service Unavailable",
                           .extra_fields = retry_after_field(to_ticks(retry_after))});
}
void FastCgiFront::Connection::failed(RequestId request_id) {
  answer_open(request_id, {.status = 504, .reason_phrase = "Gateway Timeout"});
}

FastCgiFront::Connection::OpenRequest FastCgiFront::Connection::take_open(RequestId request_id) {
  const auto it = open_.find(request_id);
  OpenRequest request = std::move(it->second);
  open_.erase(it);
  open_memory_ -= request.memory;
  reader_.ended(request.exchange.number);
  front_.open_ids_.erase(request.id);
  return request;
}

void FastCgiFront::Connection::answer_open(RequestId request_id, const CgiResponse& response) {
  const OpenRequest request = take_open(request_id);
  answer(request.exchange, response);
}
void FastCgiFront::Connection::answer(const Exchange& exchange, const CgiResponse& response) {
  write_answer(response_records(exchange.number, response), exchange.keep);
}
void FastCgiFront::Connection::answer_overloaded(const Exchange& exchange) {
  write_answer(overloaded_records(exchange.number), exchange.keep);
}
void FastCgiFront::Connection::write_answer(const std::string& bytes, bool keep) {
  if (closed_) return;
  const std::size_t output_before = stream_->handed_over_bytes() + stream_->pending_bytes();
  requests_.answer_written(output_before + bytes.size());
  write(bytes, keep);
  requests_.handed_over(stream_->handed_over_bytes());
}
void FastCgiFront::Connection::write(const std::string& bytes, bool keep) {
  if (closed_) return;
  quiet_since_ = front_.reactor_.now();
  stream_->write(bytes);
  charge_unsent_answers();
  if ((keep && !unreadable_) || open_requests() > 0) return;
  closing_ = true;
  stream_->shutdown_write();
}

// A client that reads has its answers at once in the system's buffers. Where others do not, and there is no
// memory for what they have been sent, their connections are closed.
void FastCgiFront::Connection::charge_unsent_answers() {
  const std::size_t unsent = stream_->pending_bytes();
  answer_memory_.resize(0);
  const bool admitted = unsent == 0 || front_.memory_.answers.admits(0, unsent);
  answer_memory_.resize(unsent);
  if (admitted || std::exchange(over_memory_, true)) return;
  front_.log_.write(core::Level::warning, "no memory for the answers that a client does not read; closing",
                    {{"bytes", std::to_string(unsent)}});
  front_.close_soon();
}

void FastCgiFront::Connection::close_if_answered() {
  if (closed_ || open_requests() > 0) return;
  if (stream_->pending_bytes() > 0) return finish();
  front_.connections_.remove(*this, ConnectionEnd::by_client);
}
std::optional<Time> FastCgiFront::Connection::partial_since() const {
  return unreadable_ ? std::nullopt : reader_.unfinished_since();
}

}  // namespace rushhill::frontends

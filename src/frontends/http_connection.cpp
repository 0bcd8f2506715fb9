#include "frontends/http_connection.h"

#include <utility>

#include "core/idle_buffer.h"
#include "frontends/http_problem.h"

namespace rushhill::frontends {
namespace {

using transport::HttpProgress;
using transport::Stream;

// Bytes of further requests that are held while one is answered, beside a body of the largest size.
constexpr std::size_t read_ahead = std::size_t{64} * 1024;
// Time-outs, in tenths of a millisecond.
constexpr Time close_within = 10'000;  // for a client to read the last answer and close
constexpr Time unread_request_within =
    7'000;  // for a request that has arrived on an idle connection to be read

}  // namespace

HttpFront::Connection::Connection(HttpFront& front, const transport::PendingConnection& pending)
    : front_(front), reactor_(front.reactor_), reader_({.body = front.rules_.body}), requests_(front.counts_),
      exchange_(front, *this), since_(reactor_.now()) {
  stream_ = Stream::adopt(reactor_, pending, *this);
  set_timer(front.rules_.idle);
}
HttpFront::Connection::~Connection() {
  reactor_.cancel(timer_);
  stream_->close();
}

void HttpFront::Connection::close(ConnectionEnd end) {
  closing_ = true;
  requests_.ended(end, stream_->handed_over_bytes());
  reactor_.cancel(timer_);
  stream_->close();
  exchange_.cancel();
}

void HttpFront::Connection::start_draining() {
  if (is_idle() && stream_->peek() != Stream::Peeked::bytes) set_drain_timer();
}

std::optional<EvictionRank> HttpFront::Connection::eviction_rank(Time now) const {
  return frontends::eviction_rank({.request_open = answering_,
                                   .answer_unread = stream_->pending_bytes() > 0,
                                   .request_seen = request_seen_,
                                   .since = since_,
                                   .partial_since = partial_ ? std::optional(since_) : std::nullopt},
                                  now);
}
bool HttpFront::Connection::is_idle() const {
  return !answering_ && !closing_ && !partial_ && input_.empty();
}
bool HttpFront::Connection::has_no_unread_input() const {
  return (partial_ || input_.empty()) && !has_unread_input();
}

void HttpFront::Connection::on_data(std::string_view bytes) {
  exchange_.on_input_read();
  if (closing_ || !keep_alive_) return;  // no further request is taken
  input_ += bytes;
  input_arrived_ = reactor_.now() - stream_->unread_age();
  if (!answering_ && stream_->pending_bytes() == 0) return read_input();
  if (input_.size() <= front_.rules_.body + read_ahead) return;
  // Reading goes on, since nothing else shows that the client leaves. What is not kept is not taken, and
  // the connection ends after the present answer, which says so.
  keep_alive_ = false;
  core::clear_buffer(input_);
}
void HttpFront::Connection::on_write_drained() {
  requests_.handed_over(stream_->handed_over_bytes());
  if (closing_) return set_timer(close_within);
  if (answering_) return;
  if (!keep_alive_) return close_after_answer();
  read_next();
}
void HttpFront::Connection::on_closed(transport::CloseReason) {
  front_.connections_.remove(*this, ConnectionEnd::by_client);
}

void HttpFront::Connection::set_timer(Time span) {
  reactor_.cancel(timer_);
  timer_ = reactor_.at(reactor_.now() + span, [this] { on_timer(); });
}
void HttpFront::Connection::set_drain_timer() {
  set_timer(front_.drain_window_.idle_close_at() - reactor_.now());
}
void HttpFront::Connection::on_timer() {
  // A request that has arrived since the poll is read in the next iteration, which sets another timer.
  const bool awaits_request = is_idle() && stream_->pending_bytes() == 0;
  if (awaits_request && stream_->peek() == Stream::Peeked::bytes) return set_timer(unread_request_within);
  const bool more_likely = front_.draining_ && reactor_.now() < front_.drain_window_.idle_close_at();
  if (awaits_request && more_likely) return set_drain_timer();
  if (closing_ || !partial_ || stream_->pending_bytes() > 0)
    return front_.connections_.remove(*this, ConnectionEnd::by_gateway);
  answer_and_close(to_response(
      {.status = 408, .outcome = "too-slow", .detail = "the request did not arrive whole in time"}));
}

void HttpFront::Connection::read_input() {
  if (answering_ || closing_ || input_.empty()) return;
  start_request();
  switch (reader_.put(input_)) {
    case HttpProgress::more:
      return on_partial_request();
    case HttpProgress::bad:
      return answer_and_close(
          to_response({.status = 400, .outcome = "malformed", .detail = "this is not HTTP/1.1"}));
    case HttpProgress::head_too_large:
      return answer_and_close(
          to_response({.status = 431, .outcome = "too-large", .detail = "the header fields are too long"}));
    case HttpProgress::body_too_large:
      return answer_and_close(to_response(
          {.status = 413,
           .outcome = "too-large",
           .detail = "the body is longer than " + std::to_string(front_.rules_.body) + " bytes"}));
    case HttpProgress::done:
      return on_complete_request();
  }
}
void HttpFront::Connection::start_request() {
  if (partial_) return;
  partial_ = true;
  since_ = reactor_.now();
  set_timer(front_.rules_.request_within);
}
void HttpFront::Connection::on_partial_request() {
  if (sent_continue_ || !reader_.expects_continue()) return;
  sent_continue_ = true;
  stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
}
void HttpFront::Connection::on_complete_request() {
  reactor_.cancel(timer_);
  partial_ = false;
  sent_continue_ = false;
  request_seen_ = true;
  answering_ = true;
  requests_.taken();
  if (front_.draining_) front_.drain_window_.request_arrived(reactor_.now());
  const transport::HttpRequest request = reader_.take();
  keep_alive_ = request.keep_alive;
  exchange_.start(request);
}

void HttpFront::Connection::answer(transport::HttpResponse response) {
  keep_alive_ = keep_alive_ && !front_.draining_;
  response.keep_alive = keep_alive_;
  const std::string bytes = transport::to_bytes(response);
  requests_.answer_written(stream_->handed_over_bytes() + stream_->pending_bytes() + bytes.size());
  stream_->write(bytes);
  requests_.handed_over(stream_->handed_over_bytes());
  answering_ = false;
  partial_ = false;
  since_ = reactor_.now();
  if (!keep_alive_) return close_after_answer();
  // A client that does not read its answer is not waited for longer than one that does not send.
  set_timer(stream_->pending_bytes() > 0 ? front_.rules_.request_within : front_.rules_.idle);
  if (stream_->pending_bytes() == 0) read_next();
}
void HttpFront::Connection::answer_and_close(transport::HttpResponse response) {
  requests_.taken();
  keep_alive_ = false;
  answer(std::move(response));
}

void HttpFront::Connection::read_next() {
  since_ = reactor_.now();
  set_timer(front_.rules_.idle);
  if (input_.empty()) return;
  reactor_.post([this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) read_input();
  });
}
void HttpFront::Connection::close_after_answer() {
  closing_ = true;
  input_.clear();
  stream_->shutdown_write();
  // What the system has not taken of the last answer is sent at its client's pace.
  set_timer(stream_->pending_bytes() > 0 ? front_.rules_.request_within : close_within);
}

}  // namespace rushhill::frontends

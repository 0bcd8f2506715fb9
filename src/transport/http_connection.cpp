#include "transport/http_connection.h"

#include <utility>

#include "core/idle_buffer.h"
#include "transport/idle_close.h"

namespace rushhill::transport {
namespace {

// Bytes; twice the limit of the front end, because endpoints add header fields.
constexpr std::uint32_t response_head_limit = 32 * 1024;

constexpr Time start_check_interval = 50;  // tenths of a millisecond; while an attempt may not start

constexpr int first_final_status = 200;  // lower status codes are interim responses

}  // namespace

HttpConnection::HttpConnection(Reactor& reactor, HttpConnectionOwner& owner, HttpEndpoint& endpoint,
                               const HttpConnectionLimits& limits)
    : reactor_(reactor), owner_(owner), endpoint_(endpoint), limits_(limits),
      reader_({.head = response_head_limit, .body = limits.max_response_bytes}) {}

void HttpConnection::close() {
  cancel_timer();
  if (stream_) stream_->close();
}

void HttpConnection::connect(const Address& address, HttpExchange exchange) {
  exchange_ = std::move(exchange);
  stream_ = Stream::connect(reactor_, address, *this);
  timer_ = reactor_.at(reactor_.now() + limits_.connect_timeout,
                       [this] { fail_exchange(AttemptOutcome::connect_failed); });
}

void HttpConnection::reuse(HttpExchange exchange) {
  cancel_timer();
  idle_before_ = reactor_.now() - idle_since_;
  exchange_ = std::move(exchange);
  send();
}

void HttpConnection::abort() {
  exchange_.reset();
  close();
}

void HttpConnection::send() {
  cancel_timer();
  if (!exchange_) return;
  handed_over_before_ = stream_->handed_over_bytes();
  sent_at_ = reactor_.now();
  response_started_ = false;
  if (!may_start()) {
    const Time wait = expired() ? 0 : start_check_interval;
    timer_ = reactor_.at(reactor_.now() + wait, [this] { send_or_expire(); });
    return;
  }
  if (exchange_->call.expires_at > 0)
    timer_ = reactor_.at(exchange_->call.expires_at, [this] { fail_exchange(AttemptOutcome::unanswered); });
  stream_->write(exchange_->bytes);
  report_started();
}

void HttpConnection::send_or_expire() {
  if (exchange_ && expired()) return fail_unsent();
  send();
}

// Whether the exchange may start is asked again, since its bytes had to wait.
void HttpConnection::on_deferred_send() {
  if (exchange_ && unsent() && stream_->cancel_unsent(handed_over_before_, stream_->pending_bytes())) send();
}

bool HttpConnection::may_start() const {
  if (exchange_->call.kind != UpstreamCallKind::attempt) return true;
  return !expired() && owner_.may_start_attempt(exchange_->call.request);
}

void HttpConnection::report_started() {
  if (!exchange_ || unsent()) return;
  core::clear_buffer(exchange_->bytes);
  if (exchange_->call.kind != UpstreamCallKind::attempt) return;
  if (!std::exchange(exchange_->started, true)) owner_.attempt_started(exchange_->call.request);
}

void HttpConnection::on_data(std::string_view bytes) {
  // Unsolicited bytes: what follows on this connection could be taken for the response to another request.
  if (!exchange_) return owner_.connection_unusable(*this);
  response_started_ = true;
  received_ += bytes;
  for (;;) {
    const HttpProgress progress = reader_.put(received_);
    if (progress == HttpProgress::more) return;
    // Malformed or oversized data counts as an answer too, because the request may have run.
    if (progress != HttpProgress::done) return fail_exchange(AttemptOutcome::error);
    HttpResponse response = reader_.take();
    if (response.status >= first_final_status) return finish_exchange(std::move(response));
  }
}

void HttpConnection::on_closed(CloseReason reason) {
  if (!exchange_) return owner_.connection_unusable(*this);
  // This failure is local and says nothing about the endpoint.
  if (reason == CloseReason::not_started) return fail_exchange(AttemptOutcome::not_sent);
  // Only if the system took no byte of the request is it certain that the request has not begun to run.
  if (reason == CloseReason::connect_failed || unsent()) return fail_exchange(AttemptOutcome::connect_failed);
  if (reason == CloseReason::closed_by_peer && reader_.end() == HttpProgress::done) {
    reusable_ = false;
    return finish_exchange(reader_.take());
  }
  fail_exchange(outcome_of_loss());
}

AttemptOutcome HttpConnection::outcome_of_loss() const {
  const bool crossed = !response_started_ && raced_with_idle_close(idle_before_, reactor_.now() - sent_at_);
  return crossed ? AttemptOutcome::unanswered : AttemptOutcome::connection_lost;
}

void HttpConnection::finish_exchange(HttpResponse response) {
  cancel_timer();
  if (!exchange_) return;
  const auto self = shared_from_this();
  const HttpExchange exchange = std::move(*exchange_);
  exchange_.reset();
  // After extra bytes, or a response before the whole request was sent, the connection is not safe to reuse.
  const bool reuse = reusable_ && response.keep_alive && received_.empty() && stream_->pending_bytes() == 0 &&
                     !stream_->closed();
  if (reuse) {
    become_idle();
  } else {
    owner_.connection_unusable(*this);
  }
  owner_.exchange_answered(exchange, std::move(response));
}

void HttpConnection::become_idle() {
  owner_.connection_idle(*this);
  idle_since_ = reactor_.now();
  timer_ = reactor_.at(idle_since_ + limits_.idle_timeout, [this] { owner_.connection_unusable(*this); });
}

void HttpConnection::fail_exchange(AttemptOutcome outcome) {
  if (!exchange_) return;
  const auto self = shared_from_this();
  const HttpExchange exchange = std::move(*exchange_);
  exchange_.reset();
  owner_.connection_unusable(*this);
  owner_.exchange_failed(exchange, outcome);
}

}  // namespace rushhill::transport

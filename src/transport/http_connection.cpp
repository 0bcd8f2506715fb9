#include "transport/http_connection.h"

#include <utility>

#include "transport/idle_close.h"

namespace rushhill::transport {
namespace {

// Bytes; twice what the front end takes, as endpoints add to it.
constexpr std::uint32_t response_head_limit = 32 * 1024;

constexpr int first_final_status = 200;  // lower ones are interim responses

}  // namespace

HttpConnection::HttpConnection(Reactor& reactor, HttpConnectionOwner& owner, HttpEndpoint& endpoint,
                               const HttpConnectionLimits& limits)
    : reactor_(reactor), owner_(owner), endpoint_(endpoint), limits_(limits),
      reader_({.head = response_head_limit, .body = limits.response_bytes}) {}

void HttpConnection::close() {
  cancel_timer();
  if (stream_) stream_->close();
}

void HttpConnection::connect(const Address& address, HttpExchange exchange) {
  exchange_ = std::move(exchange);
  stream_ = Stream::connect(reactor_, address, *this);
  timer_ =
      reactor_.at(reactor_.now() + limits_.connect_timeout, [this] { fail(AttemptOutcome::connect_failed); });
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
  if (exchange_->call.expires_at > 0)
    timer_ = reactor_.at(exchange_->call.expires_at, [this] { fail(AttemptOutcome::unanswered); });
  const std::string bytes = std::move(exchange_->bytes);
  stream_->write(bytes);
  note_started();
}

void HttpConnection::note_started() {
  if (!exchange_ || exchange_->call.kind != UpstreamCallKind::attempt || unsent()) return;
  if (!std::exchange(exchange_->started, true)) owner_.attempt_started(exchange_->call.request);
}

void HttpConnection::on_data(std::string_view bytes) {
  // What nobody asked for makes the connection untrustworthy.
  if (!exchange_) return owner_.connection_unusable(*this);
  response_started_ = true;
  received_ += bytes;
  for (;;) {
    const HttpProgress progress = reader_.put(received_);
    if (progress == HttpProgress::more) return;
    // What is no HTTP, or too much of it, is an answer all the same: the request may have run.
    if (progress != HttpProgress::done) return fail(AttemptOutcome::error);
    HttpResponse response = reader_.take();
    if (response.status >= first_final_status) return answered(std::move(response));
  }
}

void HttpConnection::on_closed(CloseReason reason) {
  if (!exchange_) return owner_.connection_unusable(*this);
  // A failure of this machine, which says nothing of the endpoint.
  if (reason == CloseReason::not_started) return fail(AttemptOutcome::not_sent);
  // Only where the system took no byte of it is it certain that nothing has begun.
  if (reason == CloseReason::connect_failed || unsent()) return fail(AttemptOutcome::connect_failed);
  if (reason == CloseReason::closed_by_peer && reader_.end() == HttpProgress::done) {
    reusable_ = false;
    return answered(reader_.take());
  }
  fail(outcome_of_loss());
}

AttemptOutcome HttpConnection::outcome_of_loss() const {
  const bool crossed = !response_started_ && crossed_idle_close(idle_before_, reactor_.now() - sent_at_);
  return crossed ? AttemptOutcome::unanswered : AttemptOutcome::connection_lost;
}

void HttpConnection::answered(HttpResponse response) {
  cancel_timer();
  if (!exchange_) return;
  const auto self = shared_from_this();
  const HttpExchange exchange = std::move(*exchange_);
  exchange_.reset();
  // A byte more than the response, or a response before all was sent, leaves the connection in doubt.
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

void HttpConnection::fail(AttemptOutcome outcome) {
  if (!exchange_) return;
  const auto self = shared_from_this();
  const HttpExchange exchange = std::move(*exchange_);
  exchange_.reset();
  owner_.connection_unusable(*this);
  owner_.exchange_failed(exchange, outcome);
}

}  // namespace rushhill::transport

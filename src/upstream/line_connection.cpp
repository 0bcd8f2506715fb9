#include "upstream/line_connection.h"

#include <algorithm>
#include <utility>

#include "transport/idle_close.h"

namespace rushhill::upstream {
namespace {

using transport::CloseReason;
using transport::Stream;

// Above this the endpoint counts as not reading, and the connection accepts no further exchange.
constexpr std::size_t max_pending_bytes = 256 * 1024;
constexpr Time renewal_interval = 50;        // tenths of a millisecond between two renewals of deadlines
constexpr std::size_t max_recent_tags = 64;  // far more than one request has attempts

}  // namespace

LineConnection::LineConnection(transport::Reactor& reactor, LineConnectionOwner& owner,
                               LineEndpoint& endpoint, const LineConnectionLimits& limits)
    : reactor_(reactor), owner_(owner), endpoint_(endpoint), limits_(limits), reader_(limits.answers),
      answer_memory_(limits.memory) {}

void LineConnection::connect(const transport::Address& address) {
  stream_ = Stream::connect(reactor_, address, *this);
  timer_ = reactor_.at(reactor_.now() + limits_.connect_timeout,
                       [this] { fail(AttemptOutcome::connect_failed, UnsentExchanges::fail); });
}

LineConnection::~LineConnection() {
  for (auto& [tag, exchange] : exchanges_) reactor_.cancel(exchange.timer);
  close();
}

void LineConnection::close() {
  closed_ = true;
  reactor_.cancel(timer_);
  reactor_.cancel(renewal_timer_);
  answer_memory_.resize(0);
  if (stream_) stream_->close();
}

bool LineConnection::usable_for(const LineExchange& exchange) const {
  return !retired_ && !closed_ && exchanges_.size() < limits_.exchanges &&
         std::ranges::find(recent_tags_, exchange.tag) == recent_tags_.end();
}

void LineConnection::send(LineExchange exchange) {
  leave_idle();
  if (exchange.call.kind == transport::UpstreamCallKind::evict) {
    // An evict command has no answer.
    if (established_ && idle()) become_idle();
    return stream_->write(encode_at_end(exchange));
  }
  remember_tag(exchange.tag);
  start_timer(exchange);
  const std::string tag = exchange.tag;
  write_if_it_may_start(exchanges_.emplace(tag, std::move(exchange)).first->second);
  report_started_attempts();
  schedule_renewal();
  if (stream_->pending_bytes() > max_pending_bytes) retire();
}

void LineConnection::leave_idle() {
  if (established_) reactor_.cancel(timer_);
  if (!idle()) return;
  idle_before_ = established_ ? reactor_.now() - idle_since_ : 0;
  sent_at_ = reactor_.now();
  answer_started_ = false;
}

void LineConnection::remember_tag(const std::string& tag) {
  recent_tags_.push_back(tag);
  if (recent_tags_.size() > max_recent_tags) recent_tags_.pop_front();
}

void LineConnection::start_timer(LineExchange& exchange) {
  if (exchange.call.expires_at == 0) return;
  exchange.timer = reactor_.at(exchange.call.expires_at, [this, tag = exchange.tag] {
    const auto self = shared_from_this();
    const LineExchange expired = detach(exchanges_.find(tag));
    retire_and_close_if_idle();
    owner_.exchange_failed(expired, AttemptOutcome::unanswered);
  });
}

// If no byte of the attempt has been sent, its bytes are dropped and the endpoint learns nothing of it. If
// the attempt is alone on the connection, closing the connection tells the endpoint, so that no later attempt
// uses a connection whose endpoint may never answer. Otherwise an abort command is sent. In each case the
// connection accepts no further exchange.
void LineConnection::cancel(const transport::AttemptKey& attempt) {
  const auto self = shared_from_this();
  const std::string tag = tag_of(attempt);
  if (tag.empty() || cancel_if_unsent(tag)) return;
  detach(exchanges_.find(tag));
  if (!idle()) stream_->write(line_protocol::abort(tag));
  retire_and_close_if_idle();
}

// Also retires the connection, since unsent bytes mean that it is still connecting or that the endpoint is
// not reading.
std::optional<LineExchange> LineConnection::cancel_if_unsent(const std::string& tag) {
  const auto it = exchanges_.find(tag);
  if (it == exchanges_.end() || !cancel_unsent_bytes(it->second)) return std::nullopt;
  const auto self = shared_from_this();
  LineExchange exchange = detach(it);
  retire_and_close_if_idle();
  return exchange;
}

std::string LineConnection::tag_of(const transport::AttemptKey& attempt) const {
  const auto it = std::ranges::find_if(exchanges_, [&](const auto& item) {
    const LineExchange& exchange = item.second;
    return exchange.is_attempt() && exchange.call.request == attempt.request &&
           exchange.call.attempt_number == attempt.attempt_number;
  });
  return it == exchanges_.end() ? std::string() : it->first;
}

std::vector<std::string> LineConnection::tags() const {
  std::vector<std::string> tags;
  for (const auto& [tag, exchange] : exchanges_) tags.push_back(tag);
  return tags;
}

void LineConnection::retire_and_close_if_idle() {
  retire();
  if (idle()) owner_.connection_unusable(*this);
}

void LineConnection::become_idle() {
  idle_since_ = reactor_.now();
  timer_ = reactor_.at(idle_since_ + limits_.idle_timeout, [this] { owner_.connection_unusable(*this); });
}

void LineConnection::on_connected() {
  established_ = true;
  reactor_.cancel(timer_);
  renew_deadlines();
  if (idle() && !closed_) become_idle();
}

void LineConnection::on_write_drained() {
  report_started_attempts();
  schedule_renewal();
}

void LineConnection::on_data(std::string_view bytes) {
  const auto self = shared_from_this();
  answer_started_ = true;
  if (!has_memory_for(bytes.size())) return answer_unreadable({});
  reader_.put(bytes);
  line_protocol::Answer answer;
  while (!closed_) {
    const line_protocol::Progress progress = reader_.next(answer);
    if (progress == line_protocol::Progress::more) return answer_memory_.resize(reader_.held_bytes());
    if (progress == line_protocol::Progress::bad) return answer_unreadable(reader_.malformed_answer_id());
    // If there is no such exchange, the id is unknown, was answered before, or belongs to a cancelled
    // exchange.
    const auto it = exchanges_.find(answer.id);
    if (it != exchanges_.end()) on_answer(it, std::move(answer));
  }
}

bool LineConnection::has_memory_for(std::size_t answer_bytes) const {
  return limits_.memory == nullptr || limits_.memory->admits(answer_memory_.bytes(), answer_bytes);
}

void LineConnection::on_answer(Exchanges::iterator it, line_protocol::Answer answer) {
  const LineExchange exchange = detach(it);
  if (idle()) {
    if (retired_) {
      owner_.connection_unusable(*this);
    } else {
      become_idle();
    }
  }
  owner_.exchange_answered(exchange, std::move(answer));
}

// The exchange that the answer is for ends as an error, since the endpoint has answered it; the others end as
// connection lost. If it is not known which exchange the answer is for, all end as errors.
void LineConnection::answer_unreadable(const std::string& malformed_answer_id) {
  owner_.answer_unreadable(*this);
  const bool suspect_known = exchanges_.contains(malformed_answer_id) || exchanges_.size() == 1;
  owner_.connection_unusable(*this);
  const std::vector<LineExchange> exchanges = detach_all();
  for (const LineExchange& exchange : exchanges) {
    const bool is_suspect = exchanges.size() == 1 || exchange.tag == malformed_answer_id;
    owner_.exchange_failed(
        exchange, is_suspect || !suspect_known ? AttemptOutcome::error : AttemptOutcome::connection_lost);
  }
}

void LineConnection::on_closed(CloseReason reason) {
  // This machine lacks a resource, which says nothing about the endpoint.
  if (reason == CloseReason::not_started) return fail(AttemptOutcome::not_sent, UnsentExchanges::fail);
  if (reason == CloseReason::connect_failed)
    return fail(AttemptOutcome::connect_failed, UnsentExchanges::retry);
  const bool crossed_close =
      !answer_started_ && transport::raced_with_idle_close(idle_before_, reactor_.now() - sent_at_);
  fail(crossed_close ? AttemptOutcome::unanswered : AttemptOutcome::connection_lost, UnsentExchanges::retry);
}

// A connection that was lost, also while being established, may have been cut by the network. An exchange of
// which the system took no byte cannot have run; with `UnsentExchanges::retry` it is retried once on another
// connection.
void LineConnection::fail(AttemptOutcome outcome, UnsentExchanges unsent) {
  const auto self = shared_from_this();
  const std::size_t handed_over = stream_->handed_over_bytes();
  owner_.connection_unusable(*this);
  for (LineExchange& exchange : detach_all()) {
    const bool unsent_exchange = handed_over <= exchange.offset;
    if (unsent == UnsentExchanges::retry && unsent_exchange && !exchange.retried) {
      exchange.retried = true;
      owner_.retry(std::move(exchange));
    } else {
      const bool report_connect_failed = unsent_exchange && outcome != AttemptOutcome::not_sent;
      owner_.exchange_failed(exchange, report_connect_failed ? AttemptOutcome::connect_failed : outcome);
    }
  }
}

LineExchange LineConnection::detach(Exchanges::iterator it) {
  LineExchange exchange = std::move(it->second);
  exchanges_.erase(it);
  reactor_.cancel(exchange.timer);
  owner_.exchange_detached(exchange);
  return exchange;
}

std::vector<LineExchange> LineConnection::detach_all() {
  std::vector<LineExchange> detached;
  while (!exchanges_.empty()) detached.push_back(detach(exchanges_.begin()));
  return detached;
}

bool LineConnection::has_started(const LineExchange& exchange) const {
  return exchange.is_attempt() && stream_->handed_over_bytes() > exchange.offset;
}

bool LineConnection::is_unsent(const LineExchange& exchange) const {
  return exchange.is_attempt() && stream_->handed_over_bytes() <= exchange.offset;
}

void LineConnection::report_started_attempts() {
  for (auto& [tag, exchange] : exchanges_) {
    if (!has_started(exchange)) continue;
    if (std::exchange(exchange.started, true)) continue;
    line_protocol::Invocation().swap(exchange.invocation);  // never to be sent again
    exchange.memory.resize(0);
    owner_.attempt_started(exchange.call.request);
  }
}

bool LineConnection::may_start(const LineExchange& exchange) const {
  if (!exchange.is_attempt()) return true;
  return !exchange.expired(reactor_.now()) && owner_.may_start_attempt(exchange.call.request);
}

// An attempt that may not start stays out of the connection's bytes, where it would hold up those behind it.
void LineConnection::write_if_it_may_start(LineExchange& exchange) {
  exchange.offset = LineExchange::not_written;
  if (may_start(exchange)) stream_->write(encode_at_end(exchange));
}

// Returns the exchange's bytes as of now and notes their position; the caller writes them next.
std::string LineConnection::encode_at_end(LineExchange& exchange) {
  std::string bytes = exchange.bytes(reactor_.now());
  exchange.offset = stream_->handed_over_bytes() + stream_->pending_bytes();
  exchange.size = bytes.size();
  return bytes;
}

// Removes the exchange's bytes from those to be sent. Returns false if some of them have been sent.
bool LineConnection::cancel_unsent_bytes(const LineExchange& exchange) {
  const std::size_t offset = exchange.offset;
  if (offset == LineExchange::not_written) return true;
  if (!stream_->cancel_unsent(offset, exchange.size)) return false;
  for (auto& [tag, other] : exchanges_) {
    const bool is_behind = other.offset != LineExchange::not_written && other.offset > offset;
    if (is_behind) other.offset -= exchange.size;
  }
  return true;
}

// Removes the bytes of all unsent attempts; returns these attempts in the order in which they were written.
std::vector<LineExchange*> LineConnection::cancel_unsent_attempts() {
  std::vector<LineExchange*> unsent;
  for (auto& [tag, exchange] : exchanges_) {
    if (is_unsent(exchange)) unsent.push_back(&exchange);
  }
  std::ranges::sort(unsent, {}, &LineExchange::offset);
  std::erase_if(unsent, [this](const LineExchange* exchange) { return !cancel_unsent_bytes(*exchange); });
  return unsent;
}

// Rewrites the unsent attempts, and ends those that may not start any more. An attempt carries the time that
// its client still waits, counted from when its bytes are sent. That may be long after they were written: the
// connection is still being established, the system accepts no more bytes, or the loop reads from clients
// first. An attempt whose client is not known to wait still is not written.
void LineConnection::renew_deadlines() {
  std::vector<std::string> expired;
  for (LineExchange* exchange : cancel_unsent_attempts()) {
    if (exchange->expired(reactor_.now())) {
      expired.push_back(exchange->tag);
    } else {
      write_if_it_may_start(*exchange);
    }
  }
  report_started_attempts();
  for (const std::string& tag : expired)
    owner_.exchange_failed_later(detach(exchanges_.find(tag)), AttemptOutcome::not_sent);
  schedule_renewal();
}

void LineConnection::schedule_renewal() {
  const bool needed = established_ && std::ranges::any_of(exchanges_, [this](const auto& item) {
                        return is_unsent(item.second);
                      });
  reactor_.cancel(renewal_timer_);
  if (!needed) return;
  renewal_timer_ = reactor_.at(reactor_.now() + renewal_interval, [this] { renew_and_close_if_idle(); });
}

void LineConnection::renew_and_close_if_idle() {
  const auto self = shared_from_this();
  renew_deadlines();
  if (idle()) owner_.connection_unusable(*this);
}

}  // namespace rushhill::upstream

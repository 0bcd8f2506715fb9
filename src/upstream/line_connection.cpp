#include "upstream/line_connection.h"

#include <algorithm>
#include <utility>

#include "transport/idle_close.h"

namespace rushhill::upstream {
namespace {

using transport::CloseReason;
using transport::Stream;

constexpr std::size_t most_unsent_bytes = 256 * 1024;  // an endpoint that takes no more is silent
constexpr Time renewal_interval = 50;         // tenths of a millisecond between two renewals of deadlines
constexpr std::size_t most_recent_tags = 64;  // far above the attempts of one request

}  // namespace

LineConnection::LineConnection(transport::Reactor& reactor, LineConnectionOwner& owner,
                               LineEndpoint& endpoint, const LineConnectionLimits& limits)
    : reactor_(reactor), owner_(owner), endpoint_(endpoint), limits_(limits), reader_(limits.answers) {}

void LineConnection::connect(const transport::Address& address) {
  stream_ = Stream::connect(reactor_, address, *this);
  timer_ = reactor_.at(reactor_.now() + limits_.connect_timeout,
                       [this] { fail(AttemptOutcome::connect_failed, Unsent::fails); });
}

LineConnection::~LineConnection() {
  for (auto& [tag, exchange] : exchanges_) reactor_.cancel(exchange.timer);
  close();
}

void LineConnection::close() {
  closed_ = true;
  reactor_.cancel(timer_);
  reactor_.cancel(renewal_timer_);
  if (stream_) stream_->close();
}

bool LineConnection::usable_for(const LineExchange& exchange) const {
  return !retired_ && !closed_ && exchanges_.size() < limits_.exchanges &&
         std::ranges::find(recent_tags_, exchange.tag) == recent_tags_.end();
}

void LineConnection::send(LineExchange exchange) {
  note_sending();
  const std::string bytes = place(exchange);
  if (exchange.call.kind == transport::UpstreamCallKind::evict) {
    // It has no answer to be waited for.
    if (established_ && idle()) become_idle();
    return stream_->write(bytes);
  }
  remember(exchange.tag);
  start_timer(exchange);
  exchanges_.emplace(exchange.tag, std::move(exchange));
  stream_->write(bytes);
  note_started();
  schedule_renewal();
  if (stream_->pending_bytes() > most_unsent_bytes) retire();
}

void LineConnection::note_sending() {
  if (established_) reactor_.cancel(timer_);
  if (!idle()) return;
  idle_before_ = established_ ? reactor_.now() - idle_since_ : 0;
  sent_at_ = reactor_.now();
  answer_started_ = false;
}

void LineConnection::remember(const std::string& tag) {
  recent_tags_.push_back(tag);
  if (recent_tags_.size() > most_recent_tags) recent_tags_.pop_front();
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

// Where none of the attempt has left, it is only taken from what waits. Where nothing else is on the
// connection its close tells the endpoint, and one whose answer will never come costs no later attempt.
// Beside others it is cancelled by a command, and they are the last.
void LineConnection::cancel(const transport::AttemptKey& attempt) {
  const auto self = shared_from_this();
  const std::string tag = tag_of(attempt);
  if (tag.empty() || recall(tag)) return;
  detach(exchanges_.find(tag));
  if (!idle()) stream_->write(line_protocol::abort(tag));
  retire_and_close_if_idle();
}

// The connection takes no further exchange: it has been connecting for long, or is open and takes nothing.
std::optional<LineExchange> LineConnection::recall(const std::string& tag) {
  const auto it = exchanges_.find(tag);
  if (it == exchanges_.end() || !cancel_bytes(it->second)) return std::nullopt;
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
  note_started();
  schedule_renewal();
}

void LineConnection::on_data(std::string_view bytes) {
  const auto self = shared_from_this();
  answer_started_ = true;
  reader_.put(bytes);
  line_protocol::Answer answer;
  while (!closed_) {
    const line_protocol::Progress progress = reader_.next(answer);
    if (progress == line_protocol::Progress::more) return;
    if (progress == line_protocol::Progress::bad) return answer_unreadable(reader_.suspect());
    // One that is not found is unknown, has been answered before, or was cancelled.
    const auto it = exchanges_.find(answer.id);
    if (it != exchanges_.end()) answered(it, std::move(answer));
  }
}

void LineConnection::answered(Exchanges::iterator it, line_protocol::Answer answer) {
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

// The one that the answer was meant for has run and has no answer; the others lose their connection.
void LineConnection::answer_unreadable(const std::string& suspect) {
  owner_.answer_unreadable(*this);
  const bool known = exchanges_.contains(suspect) || exchanges_.size() == 1;
  owner_.connection_unusable(*this);
  const std::vector<LineExchange> exchanges = detach_all();
  for (const LineExchange& exchange : exchanges) {
    const bool meant = exchanges.size() == 1 || exchange.tag == suspect;
    owner_.exchange_failed(exchange,
                           meant || !known ? AttemptOutcome::error : AttemptOutcome::connection_lost);
  }
}

void LineConnection::on_closed(CloseReason reason) {
  // A failure of this machine, which says nothing of the endpoint.
  if (reason == CloseReason::not_started) return fail(AttemptOutcome::not_sent, Unsent::fails);
  if (reason == CloseReason::connect_failed) return fail(AttemptOutcome::connect_failed, Unsent::is_retried);
  const bool crossed =
      !answer_started_ && transport::crossed_idle_close(idle_before_, reactor_.now() - sent_at_);
  fail(crossed ? AttemptOutcome::unanswered : AttemptOutcome::connection_lost, Unsent::is_retried);
}

// A connection that ended, also while it was being established, may have been cut: what the system took no
// byte of, which is certain not to have begun, goes on another one, once.
void LineConnection::fail(AttemptOutcome outcome, Unsent unsent) {
  const auto self = shared_from_this();
  const std::size_t handed_over = stream_->handed_over_bytes();
  owner_.connection_unusable(*this);
  for (LineExchange& exchange : detach_all()) {
    const bool untouched = handed_over <= exchange.offset;
    if (unsent == Unsent::is_retried && untouched && !exchange.retried) {
      exchange.retried = true;
      owner_.retry(std::move(exchange));
    } else {
      const bool connect_failed = untouched && outcome != AttemptOutcome::not_sent;
      owner_.exchange_failed(exchange, connect_failed ? AttemptOutcome::connect_failed : outcome);
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

bool LineConnection::waits_to_leave(const LineExchange& exchange) const {
  return exchange.is_attempt() && stream_->handed_over_bytes() <= exchange.offset;
}

void LineConnection::note_started() {
  for (auto& [tag, exchange] : exchanges_) {
    if (!has_started(exchange)) continue;
    if (!std::exchange(exchange.started, true)) owner_.attempt_started(exchange.call.request);
  }
}

// The exchange's bytes as of now; they are to be written next.
std::string LineConnection::place(LineExchange& exchange) {
  std::string bytes = exchange.bytes(reactor_.now());
  exchange.offset = stream_->handed_over_bytes() + stream_->pending_bytes();
  exchange.size = bytes.size();
  return bytes;
}

// Takes the exchange's bytes from what waits to leave. False: some of them have left.
bool LineConnection::cancel_bytes(const LineExchange& exchange) {
  const std::size_t offset = exchange.offset;
  if (!stream_->cancel_unsent(offset, exchange.size)) return false;
  for (auto& [tag, other] : exchanges_) {
    if (other.offset > offset) other.offset -= exchange.size;
  }
  return true;
}

// Takes the bytes of all attempts that wait to leave; the attempts in the order in which they were written.
std::vector<LineExchange*> LineConnection::cancel_waiting_bytes() {
  std::vector<LineExchange*> waiting;
  for (auto& [tag, exchange] : exchanges_) {
    if (waits_to_leave(exchange)) waiting.push_back(&exchange);
  }
  std::ranges::sort(waiting, {}, &LineExchange::offset);
  std::erase_if(waiting, [this](const LineExchange* exchange) { return !cancel_bytes(*exchange); });
  return waiting;
}

// The deadline that an attempt tells its endpoint is counted from when it leaves, which may be long after it
// was written: its connection is established late, the system takes no more, or clients have to be read
// first.
void LineConnection::renew_deadlines() {
  std::vector<std::string> expired;
  for (LineExchange* exchange : cancel_waiting_bytes()) {
    if (exchange->deadline <= reactor_.now()) {
      expired.push_back(exchange->tag);
    } else {
      stream_->write(place(*exchange));
    }
  }
  note_started();
  for (const std::string& tag : expired)
    owner_.exchange_failed_later(detach(exchanges_.find(tag)), AttemptOutcome::not_sent);
  schedule_renewal();
}

void LineConnection::schedule_renewal() {
  const bool needed = established_ && std::ranges::any_of(exchanges_, [this](const auto& item) {
                        return waits_to_leave(item.second);
                      });
  reactor_.cancel(renewal_timer_);
  if (!needed) return;
  renewal_timer_ = reactor_.at(reactor_.now() + renewal_interval, [this] {
    renew_deadlines();
    if (idle()) owner_.connection_unusable(*this);
  });
}

}  // namespace rushhill::upstream

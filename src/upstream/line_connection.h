// A connection to an endpoint over the platform's line protocol. It carries several exchanges at once and
// matches their answers by id.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/memory_budget.h"
#include "line_protocol/answers.h"
#include "transport/numbered.h"
#include "transport/reactor.h"
#include "transport/upstream_call.h"

namespace rushhill::upstream {

struct LineEndpoint;
class LineConnection;

// One command and its answer.
struct LineExchange {
  static constexpr std::size_t not_written = std::numeric_limits<std::size_t>::max();

  transport::UpstreamCall call{};
  std::string tag{};      // the id that its answer begins with: the request's, or one made by the pool
  std::string command{};  // the bytes to send; unused for an attempt
  line_protocol::Invocation invocation{};  // of an attempt: the bytes to send, except for the deadline
  Time deadline = 0;                       // of an attempt: when its client stops waiting
  Time start_before = 0;                   // of an attempt: when it is too late to send its first byte
  bool retried = false;              // whether it was already moved from a lost connection to another one
  bool started = false;              // whether the system has taken bytes of it
  std::size_t offset = not_written;  // number of bytes before it on its connection
  std::size_t size = 0;              // number of its own bytes on its connection
  core::Timer timer{};               // ends it as unanswered; not set for attempts
  core::MemoryCharge memory{};       // of an attempt: for its bytes until the system has taken some of them

  bool is_attempt() const { return call.kind == transport::UpstreamCallKind::attempt; }
  // Returns whether it is too late for an attempt to start.
  bool expired(Time now) const { return now >= deadline || now >= start_before; }
  // Returns the bytes to send at `now`: those of an attempt contain the time that its client still waits.
  std::string bytes(Time now) const { return is_attempt() ? invocation.text(deadline - now) : command; }
};

// Limits of one connection.
struct LineConnectionLimits {
  std::size_t exchanges = 1;  // open at once
  Time connect_timeout = 0;   // tenths of a millisecond
  Time idle_timeout = 0;      // tenths of a millisecond
  line_protocol::Bounds answers{};
  core::MemoryBudget* memory = nullptr;  // charged for incomplete answers; null if it is not limited
};

// Called by a connection; implemented by its pool.
class LineConnectionOwner {
 public:
  LineConnectionOwner() = default;
  LineConnectionOwner(const LineConnectionOwner&) = delete;
  LineConnectionOwner& operator=(const LineConnectionOwner&) = delete;
  LineConnectionOwner(LineConnectionOwner&&) = delete;
  LineConnectionOwner& operator=(LineConnectionOwner&&) = delete;
  virtual ~LineConnectionOwner() = default;

  // Whether an attempt may start now; if not, it is asked for again soon.
  virtual bool may_start_attempt(RequestId request) const = 0;
  // The system has taken the first bytes of an attempt.
  virtual void attempt_started(RequestId request) = 0;
  // The exchange has been removed from its connection. One of the calls below follows, unless it was
  // cancelled.
  virtual void exchange_detached(const LineExchange& exchange) = 0;
  // Report the end of an exchange, once. exchange_failed_later() is handled after the current call has
  // returned.
  virtual void exchange_answered(const LineExchange& exchange, line_protocol::Answer answer) = 0;
  virtual void exchange_failed(const LineExchange& exchange, AttemptOutcome outcome) = 0;
  virtual void exchange_failed_later(LineExchange exchange, AttemptOutcome outcome) = 0;
  // No byte of the exchange was sent, so that it cannot have run; it is to be sent on another connection.
  virtual void retry(LineExchange exchange) = 0;
  // The connection can no longer be used and is to be closed.
  virtual void connection_unusable(LineConnection& connection) = 0;
  virtual void answer_unreadable(const LineConnection& connection) = 0;
};

// One connection. Answers are matched by id alone, so an id that the connection has carried recently is not
// used on it again: a duplicate answer, or a late one to a cancelled attempt, would be taken for the answer
// to a later attempt. Owned by its endpoint. It may outlive the pool, and then calls nothing but the reactor.
class LineConnection final : public transport::StreamHandler,
                             public transport::Numbered,
                             public std::enable_shared_from_this<LineConnection> {
 public:
  LineConnection(transport::Reactor& reactor, LineConnectionOwner& owner, LineEndpoint& endpoint,
                 const LineConnectionLimits& limits);
  LineConnection(const LineConnection&) = delete;
  LineConnection& operator=(const LineConnection&) = delete;
  LineConnection(LineConnection&&) = delete;
  LineConnection& operator=(LineConnection&&) = delete;
  ~LineConnection() override;

  LineEndpoint& endpoint() const { return endpoint_; }
  // Exchanges on it that have not ended.
  std::size_t open_exchanges() const { return exchanges_.size(); }
  bool idle() const { return exchanges_.empty(); }
  Time idle_since() const { return idle_since_; }
  // Returns whether the exchange may be sent on this connection.
  bool usable_for(const LineExchange& exchange) const;
  // Returns whether an idle connection is being established, or is open and has no bytes to be read.
  bool healthy() const { return !established_ || stream_->peek() == transport::Stream::Peeked::nothing; }

  // Opens the connection. Exchanges may be passed to send() from then on; their bytes are sent once it is
  // established.
  void connect(const transport::Address& address);
  void send(LineExchange exchange);
  // Cancels an attempt; its end is not reported.
  void cancel(const transport::AttemptKey& attempt);
  // Cancels an exchange of which no byte has been sent, and returns it. Returns nothing if some bytes have
  // been sent or it is not on this connection.
  std::optional<LineExchange> cancel_if_unsent(const std::string& tag);
  // Returns the tag of an attempt; empty if it is not on this connection.
  std::string tag_of(const transport::AttemptKey& attempt) const;
  std::vector<std::string> tags() const;

  // Makes the connection accept no further exchanges.
  void retire() { retired_ = true; }
  void close();

  void on_connected() override;
  void on_deferred_send() override { renew_and_close_if_idle(); }
  void on_write_drained() override;
  void on_data(std::string_view bytes) override;
  void on_closed(transport::CloseReason reason) override;

 private:
  using Exchanges = std::map<std::string, LineExchange, std::less<>>;
  // What to do with exchanges of which no byte has been sent when the connection is lost.
  enum class UnsentExchanges : std::uint8_t { fail, retry };

  void leave_idle();
  void remember_tag(const std::string& tag);
  void start_timer(LineExchange& exchange);
  void retire_and_close_if_idle();
  void become_idle();
  void report_started_attempts();
  bool has_started(const LineExchange& exchange) const;
  bool is_unsent(const LineExchange& exchange) const;
  bool may_start(const LineExchange& exchange) const;
  void write_if_it_may_start(LineExchange& exchange);
  std::string encode_at_end(LineExchange& exchange);
  bool cancel_unsent_bytes(const LineExchange& exchange);
  std::vector<LineExchange*> cancel_unsent_attempts();
  void renew_deadlines();
  void schedule_renewal();
  void renew_and_close_if_idle();
  LineExchange detach(Exchanges::iterator it);
  std::vector<LineExchange> detach_all();
  void on_answer(Exchanges::iterator it, line_protocol::Answer answer);
  void answer_unreadable(const std::string& malformed_answer_id);
  bool has_memory_for(std::size_t answer_bytes) const;
  void fail(AttemptOutcome outcome, UnsentExchanges unsent);

  transport::Reactor& reactor_;
  LineConnectionOwner& owner_;
  LineEndpoint& endpoint_;
  LineConnectionLimits limits_;
  std::shared_ptr<transport::Stream> stream_;
  line_protocol::Reader reader_;
  core::MemoryCharge answer_memory_;
  Exchanges exchanges_;                  // by tag
  std::deque<std::string> recent_tags_;  // carried last, the oldest first
  core::Timer timer_;                    // the connect timeout, or the idle timeout
  core::Timer renewal_timer_;
  Time idle_since_ = 0;
  Time idle_before_ = 0;         // how long it was idle before the exchange that ended the idle time
  Time sent_at_ = 0;             // when that exchange was sent
  bool answer_started_ = false;  // whether bytes have been received since then
  bool established_ = false;
  bool retired_ = false;
  bool closed_ = false;
};

}  // namespace rushhill::upstream

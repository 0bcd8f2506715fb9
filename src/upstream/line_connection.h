// One connection to an endpoint over the platform's line protocol, which carries several exchanges at once.
// Their answers are matched by id.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "line_protocol/answers.h"
#include "transport/numbered.h"
#include "transport/reactor.h"
#include "transport/upstream_call.h"

namespace rushhill::upstream {

struct LineEndpoint;
class LineConnection;

// One command and its answer.
struct LineExchange {
  transport::UpstreamCall call{};
  std::string tag{};                       // the id that its answer begins with: the event's, or our own
  std::string command{};                   // the bytes of all but attempts
  line_protocol::Invocation invocation{};  // of an attempt
  Time deadline = 0;                       // of an attempt: when its client gives up
  bool retried = false;                    // it has been on a connection that took none of it
  bool started = false;                    // bytes of it have left
  std::size_t offset = 0;                  // bytes before it on its connection
  std::size_t size = 0;                    // bytes of it there
  core::Timer timer{};                     // ends it as unanswered; not of attempts

  bool is_attempt() const { return call.kind == transport::UpstreamCallKind::attempt; }
  // Its bytes as they are to leave now: an attempt names the time that its client still waits.
  std::string bytes(Time now) const { return is_attempt() ? invocation.text(deadline - now) : command; }
};

// Limits of one connection.
struct LineConnectionLimits {
  std::size_t exchanges = 1;  // at once
  Time connect_timeout = 0;   // tenths of a millisecond
  Time idle_timeout = 0;      // tenths of a millisecond
  line_protocol::Bounds answers{};
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

  // The first bytes of an attempt have left.
  virtual void attempt_started(RequestId request) = 0;
  // The exchange is on no connection any more; what becomes of it follows.
  virtual void exchange_detached(const LineExchange& exchange) = 0;
  // The exchange has its one end: by an answer, without one, or without one once what runs now has returned.
  virtual void exchange_answered(const LineExchange& exchange, line_protocol::Answer answer) = 0;
  virtual void exchange_failed(const LineExchange& exchange, AttemptOutcome outcome) = 0;
  virtual void exchange_failed_later(LineExchange exchange, AttemptOutcome outcome) = 0;
  // Nothing of the exchange has begun: it goes on another connection.
  virtual void retry(LineExchange exchange) = 0;
  // The connection can't be used any more and is to be closed.
  virtual void connection_unusable(LineConnection& connection) = 0;
  virtual void answer_unreadable(const LineConnection& connection) = 0;
};

// One connection. An endpoint's answers are believed by their ids alone, so an id
// is never twice on the same connection: a second answer, or one that was under way when its attempt was
// cancelled, meets no later attempt. Owned by its endpoint; may outlive the pool, and calls nothing but the
// reactor then.
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
  // Exchanges on it that have no end yet.
  std::size_t open_exchanges() const { return exchanges_.size(); }
  bool idle() const { return exchanges_.empty(); }
  Time idle_since() const { return idle_since_; }
  // Whether the exchange may go on it.
  bool usable_for(const LineExchange& exchange) const;
  // Whether an idle connection is still open with nothing to be read, or is being established.
  bool healthy() const { return !established_ || stream_->peek() == transport::Stream::Peeked::nothing; }

  // Opens the connection. Exchanges may be sent from then on; they leave once it is established.
  void connect(const transport::Address& address);
  void send(LineExchange exchange);
  // Gives an attempt up; nothing is reported of it.
  void cancel(const transport::AttemptKey& attempt);
  // Takes an exchange back of which no byte has left; nothing: some have, or it is not on this connection.
  std::optional<LineExchange> recall(const std::string& tag);
  // The tag of an attempt; empty: it is not on this connection.
  std::string tag_of(const transport::AttemptKey& attempt) const;
  std::vector<std::string> tags() const;

  // No further exchange goes on it.
  void retire() { retired_ = true; }
  void close();

  void on_connected() override;
  void on_write_drained() override;
  void on_data(std::string_view bytes) override;
  void on_closed(transport::CloseReason reason) override;

 private:
  using Exchanges = std::map<std::string, LineExchange, std::less<>>;
  // What becomes of exchanges of which no byte has left when the connection is lost.
  enum class Unsent : std::uint8_t { fails, is_retried };

  void note_sending();
  void remember(const std::string& tag);
  void start_timer(LineExchange& exchange);
  void retire_and_close_if_idle();
  void become_idle();
  void note_started();
  bool has_started(const LineExchange& exchange) const;
  bool waits_to_leave(const LineExchange& exchange) const;
  std::string place(LineExchange& exchange);
  bool cancel_bytes(const LineExchange& exchange);
  std::vector<LineExchange*> cancel_waiting_bytes();
  void renew_deadlines();
  void schedule_renewal();
  LineExchange detach(Exchanges::iterator it);
  std::vector<LineExchange> detach_all();
  void answered(Exchanges::iterator it, line_protocol::Answer answer);
  void answer_unreadable(const std::string& suspect);
  void fail(AttemptOutcome outcome, Unsent unsent);

  transport::Reactor& reactor_;
  LineConnectionOwner& owner_;
  LineEndpoint& endpoint_;
  LineConnectionLimits limits_;
  std::shared_ptr<transport::Stream> stream_;
  line_protocol::Reader reader_;
  Exchanges exchanges_;                  // by tag
  std::deque<std::string> recent_tags_;  // that it has carried
  core::Timer timer_;                    // of connecting, or of being idle
  core::Timer renewal_timer_;
  Time idle_since_ = 0;
  Time idle_before_ = 0;         // how long it was idle before the exchange that ended that
  Time sent_at_ = 0;             // when that exchange was written
  bool answer_started_ = false;  // bytes have come since then
  bool established_ = false;
  bool retired_ = false;
  bool closed_ = false;
};

}  // namespace rushhill::upstream

// One HTTP/1.1 connection to an endpoint, with one exchange at a time. docs/servers.md is the contract with
// the endpoints.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "transport/http.h"
#include "transport/numbered.h"
#include "transport/reactor.h"
#include "transport/upstream_call.h"

namespace rushhill::transport {

struct HttpEndpoint;
class HttpConnection;

// One request and its response.
struct HttpExchange {
  UpstreamCall call{};
  std::string bytes{};   // the request; empty once the system has taken some of it
  bool started = false;  // whether the system has taken bytes of the request
  Time start_before = std::numeric_limits<Time>::max();  // when it is too late to send its first byte
};

// Timeouts and limits of one connection.
struct HttpConnectionLimits {
  Time connect_timeout = 0;              // tenths of a millisecond
  Time idle_timeout = 0;                 // tenths of a millisecond
  std::uint64_t max_response_bytes = 0;  // bytes of a response body
};

// Callbacks of a connection, implemented by its pool.
class HttpConnectionOwner {
 public:
  HttpConnectionOwner() = default;
  HttpConnectionOwner(const HttpConnectionOwner&) = delete;
  HttpConnectionOwner& operator=(const HttpConnectionOwner&) = delete;
  HttpConnectionOwner(HttpConnectionOwner&&) = delete;
  HttpConnectionOwner& operator=(HttpConnectionOwner&&) = delete;
  virtual ~HttpConnectionOwner() = default;

  // Whether an attempt may start now; if not, it is asked for again soon.
  virtual bool may_start_attempt(RequestId request) const = 0;
  // The system has taken the first bytes of an attempt.
  virtual void attempt_started(RequestId request) = 0;
  // The connection is ready for the next exchange.
  virtual void connection_idle(HttpConnection& connection) = 0;
  // The connection cannot be used any more and must be closed.
  virtual void connection_unusable(HttpConnection& connection) = 0;
  // One of these two is called at the end of every exchange that is not aborted, with or without a response.
  virtual void exchange_answered(const HttpExchange& exchange, HttpResponse response) = 0;
  virtual void exchange_failed(const HttpExchange& exchange, AttemptOutcome outcome) = 0;
};

// A connection that is being established, runs one exchange, or is idle. It is owned by its endpoint. It may
// outlive the pool; from then on it calls only the reactor.
class HttpConnection final : public StreamHandler,
                             public Numbered,
                             public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(Reactor& reactor, HttpConnectionOwner& owner, HttpEndpoint& endpoint,
                 const HttpConnectionLimits& limits);
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;
  HttpConnection(HttpConnection&&) = delete;
  HttpConnection& operator=(HttpConnection&&) = delete;
  ~HttpConnection() override { close(); }

  HttpEndpoint& endpoint() const { return endpoint_; }
  Time idle_since() const { return idle_since_; }

  // Opens the connection and starts its first exchange.
  void connect(const Address& address, HttpExchange exchange);
  // Starts the next exchange on an idle connection.
  void reuse(HttpExchange exchange);

  // Whether an idle connection is still open and has nothing to read.
  bool healthy() const { return !stream_->closed() && stream_->peek() == Stream::Peeked::nothing; }
  // Whether the system has not taken any byte of the current exchange yet.
  bool unsent() const { return exchange_ && stream_->handed_over_bytes() == handed_over_before_; }

  // Prevents further exchanges after the current one, because the endpoint has a new address.
  void retire() { reusable_ = false; }
  // Closes the connection and drops its current exchange without reporting an end.
  void abort();
  // Ends the current exchange, of which no byte has been sent.
  void fail_unsent() { fail_exchange(AttemptOutcome::not_sent); }
  void close();

  void on_connected() override { send(); }
  void on_deferred_send() override;
  void on_write_drained() override { report_started(); }
  void on_data(std::string_view bytes) override;
  void on_closed(CloseReason reason) override;

 private:
  void send();
  void send_or_expire();
  bool expired() const { return reactor_.now() >= exchange_->start_before; }
  bool may_start() const;
  void report_started();
  void finish_exchange(HttpResponse response);
  void become_idle();
  void fail_exchange(AttemptOutcome outcome);
  AttemptOutcome outcome_of_loss() const;
  void cancel_timer() { reactor_.cancel(timer_); }

  Reactor& reactor_;
  HttpConnectionOwner& owner_;
  HttpEndpoint& endpoint_;
  HttpConnectionLimits limits_;
  std::shared_ptr<Stream> stream_;
  HttpResponseReader reader_;
  std::optional<HttpExchange> exchange_;
  std::string received_;                // bytes that the reader has not parsed yet
  std::size_t handed_over_before_ = 0;  // bytes that the system took before the current exchange
  core::Timer timer_;                   // of connecting, the current exchange or the idle time
  Time idle_since_ = 0;
  Time idle_before_ = 0;           // how long the connection was idle before the current exchange
  Time sent_at_ = 0;               // when the current exchange was written
  bool response_started_ = false;  // whether bytes have arrived since then
  bool reusable_ = true;
};

}  // namespace rushhill::transport

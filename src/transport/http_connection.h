// One HTTP/1.1 connection to an endpoint, which carries one exchange at a time. docs/servers.md is the
// contract.
#pragma once

#include <cstdint>
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
  std::string bytes{};   // of the request; empty once they are written
  bool started = false;  // bytes of it have left
};

// Limits of one connection.
struct HttpConnectionLimits {
  Time connect_timeout = 0;          // tenths of a millisecond
  Time idle_timeout = 0;             // tenths of a millisecond
  std::uint64_t response_bytes = 0;  // of a response's body
};

// Called by a connection; implemented by its pool.
class HttpConnectionOwner {
 public:
  HttpConnectionOwner() = default;
  HttpConnectionOwner(const HttpConnectionOwner&) = delete;
  HttpConnectionOwner& operator=(const HttpConnectionOwner&) = delete;
  HttpConnectionOwner(HttpConnectionOwner&&) = delete;
  HttpConnectionOwner& operator=(HttpConnectionOwner&&) = delete;
  virtual ~HttpConnectionOwner() = default;

  // The first bytes of an attempt have left.
  virtual void attempt_started(RequestId request) = 0;
  // The connection can take the next exchange.
  virtual void connection_idle(HttpConnection& connection) = 0;
  // The connection can't be used any more and is to be closed.
  virtual void connection_unusable(HttpConnection& connection) = 0;
  // The exchange has its one end: by a response, or without one.
  virtual void exchange_answered(const HttpExchange& exchange, HttpResponse response) = 0;
  virtual void exchange_failed(const HttpExchange& exchange, AttemptOutcome outcome) = 0;
};

// A connection: being established, at one exchange, or idle. Owned by its endpoint; may outlive the pool, and
// calls nothing but the reactor from then on.
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

  // Opens the connection for its first exchange.
  void connect(const Address& address, HttpExchange exchange);
  // Begins the next exchange on an idle connection.
  void reuse(HttpExchange exchange);

  // Whether an idle connection is still open with nothing to be read.
  bool healthy() const { return !stream_->closed() && stream_->peek() == Stream::Peeked::nothing; }
  // Whether the present exchange has sent no byte yet.
  bool unsent() const { return exchange_ && stream_->handed_over_bytes() == handed_over_before_; }

  // The present exchange is the last: its endpoint is reached elsewhere from now on.
  void retire() { reusable_ = false; }
  // Gives the present exchange up and reports nothing; the connection is used no more.
  void abort();
  // Ends the present exchange, of which no byte has left.
  void fail_unsent() { fail(AttemptOutcome::not_sent); }
  void close();

  void on_connected() override { send(); }
  void on_write_drained() override { note_started(); }
  void on_data(std::string_view bytes) override;
  void on_closed(CloseReason reason) override;

 private:
  void send();
  void note_started();
  void answered(HttpResponse response);
  void become_idle();
  void fail(AttemptOutcome outcome);
  AttemptOutcome outcome_of_loss() const;
  void cancel_timer() { reactor_.cancel(timer_); }

  Reactor& reactor_;
  HttpConnectionOwner& owner_;
  HttpEndpoint& endpoint_;
  HttpConnectionLimits limits_;
  std::shared_ptr<Stream> stream_;
  HttpResponseReader reader_;
  std::optional<HttpExchange> exchange_;
  std::string received_;                // bytes that the reader has not used yet
  std::size_t handed_over_before_ = 0;  // bytes handed over before the present exchange
  core::Timer timer_;                   // of connecting, of the present exchange, or of being idle
  Time idle_since_ = 0;
  Time idle_before_ = 0;           // how long it was idle before the present exchange
  Time sent_at_ = 0;               // when the present exchange was written
  bool response_started_ = false;  // bytes have come since then
  bool reusable_ = true;
};

}  // namespace rushhill::transport

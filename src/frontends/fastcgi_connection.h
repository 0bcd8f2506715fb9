// One client's FastCGI connection, within the FastCGI frontend.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/client.h"
#include "fastcgi/records.h"
#include "frontends/cgi_response.h"
#include "frontends/connection_activity.h"
#include "frontends/fastcgi_front.h"
#include "frontends/fastcgi_request.h"
#include "frontends/request_accounting.h"
#include "transport/numbered.h"
#include "transport/stream.h"

namespace rushhill::frontends {

// Reads a client's requests, several at once, and writes each one's answer as soon as it is known.
class FastCgiFront::Connection final : public transport::StreamHandler,
                                       public transport::Numbered,
                                       private core::Client,
                                       private fastcgi::Taker {
 public:
  Connection(FastCgiFront& front, const transport::PendingConnection& pending);
  ~Connection() override;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  Connection(Connection&&) = delete;
  Connection& operator=(Connection&&) = delete;

  // Closes the stream and cancels the open requests, which have no client any more.
  void close(ConnectionEnd end);
  // Ends this side once every answer is sent; what the client still sends is not read.
  void finish();

  std::optional<EvictionRank> eviction_rank(Time now) const;
  bool has_no_unread_input() const;
  // Whether no request stands partly read or unread, and every answer has been handed to the system.
  bool all_sent() const;
  // Complete requests without an answer.
  std::size_t open_requests() const { return open_.size() + received_.size(); }
  // Whether it is to be closed for its client's slowness or silence. Never while an answer is owed, also
  // where a further request on it has stopped halfway.
  bool has_timed_out(Time now) const;

  void on_data(std::string_view bytes) override;
  void on_write_drained() override;
  void on_closed(transport::CloseReason reason) override;

 private:
  // How a request is named on this connection.
  struct Exchange {
    fastcgi::Number number = 0;
    bool keep = true;  // the client wants the connection to stay after the answer
  };
  // A request that the gateway has accepted.
  struct OpenRequest {
    Exchange exchange{};
    std::string id{};
    std::uint64_t unread = 0;  // attempts that started while something of its client stood unread
    std::size_t memory = 0;    // bytes that the gateway is charged for it
  };

  // fastcgi::Taker
  bool may_hold(std::size_t bytes) override;
  // A request is started when all that came with it has been read: its client may cancel it
  // there.
  void request(fastcgi::Number number, fastcgi::Request request) override;
  void refused(fastcgi::Number number, fastcgi::Refusal why, bool keep) override;
  void aborted(fastcgi::Number number, bool whole) override;
  void values_requested(const std::vector<std::string>& names) override;
  void type_unknown(std::uint8_t type) override;
  void broken(const char* why) override;

  // core::Client
  bool may_start_attempt(RequestId) const override { return !stream_->is_reading_delayed(); }
  void attempt_started(RequestId request_id) override;
  void succeeded(RequestId request_id, events::CloudEvent answer) override;
  void rejected(RequestId request_id, Duration retry_after) override;
  void failed(RequestId request_id) override;

  void start_received();
  void start(fastcgi::Number number, fastcgi::Request request);
  // Answers health checks and metrics; false: the request is for neither.
  bool answer_monitoring(const Exchange& exchange, const fastcgi::Request& request);
  void forward(const Exchange& exchange, GatewayRequest request);
  bool cancel_received(fastcgi::Number number);
  bool cancel_open(fastcgi::Number number);
  // Every attempt so far is known to have started with nothing unread before its client's leaving.
  void reset_unread();
  OpenRequest take_open(RequestId request_id);
  // Whether this client's requests may take so many bytes more.
  bool has_memory_for(std::size_t bytes);
  void charge_unsent_answers();

  void answer_open(RequestId request_id, const CgiResponse& response);
  void answer(const Exchange& exchange, const CgiResponse& response);
  void answer_overloaded(const Exchange& exchange);
  // Writes the complete answer of one request.
  void write_answer(const std::string& bytes, bool keep);
  void write(const std::string& bytes, bool keep);
  // For a connection whose client's bytes cannot be read any more.
  void close_if_answered();
  // Since when a request stands here of which a part has not come.
  std::optional<Time> partial_since() const;

  FastCgiFront& front_;
  std::shared_ptr<transport::Stream> stream_;
  fastcgi::Reader reader_;
  ConnectionRequests requests_;
  std::map<RequestId, OpenRequest> open_;
  std::size_t open_memory_ = 0;  // bytes of all open requests
  core::MemoryCharge partial_memory_;
  core::MemoryCharge answer_memory_;
  std::vector<std::pair<fastcgi::Number, fastcgi::Request>> received_;  // complete, and not started
  Time quiet_since_;           // the last answer was written, or read by the client
  bool request_seen_ = false;  // at least one complete request has come
  bool closing_ = false;       // this side has ended
  bool closed_ = false;
  bool over_memory_ = false;    // its client does not read, and there is no memory for the answers
  bool unreadable_ = false;     // what its client sends cannot be read any more
  bool counts_unread_ = false;  // something stood unread when an attempt started
};

}  // namespace rushhill::frontends

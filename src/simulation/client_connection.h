// A simulated client's HTTP connection to a router: one request at a time.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "simulation/client_request.h"
#include "transport/http.h"
#include "transport/numbered.h"
#include "transport/reactor.h"

namespace rushhill::simulation {

class ClientConnection;

// Called by a connection.
class ClientConnectionOwner {
 public:
  ClientConnectionOwner() = default;
  ClientConnectionOwner(const ClientConnectionOwner&) = delete;
  ClientConnectionOwner& operator=(const ClientConnectionOwner&) = delete;
  ClientConnectionOwner(ClientConnectionOwner&&) = delete;
  ClientConnectionOwner& operator=(ClientConnectionOwner&&) = delete;
  virtual ~ClientConnectionOwner() = default;

  // The bytes of the request as of now: they tell how much time is left.
  virtual std::string bytes_of(const ClientRequest& request) const = 0;
  // `age`: how long ago the answer had arrived, tenths of a millisecond.
  virtual void answered(ClientRequest& request, const transport::HttpResponse& response, Time age) = 0;
  virtual void attempt_failed(ClientRequest& request, ClientAttemptEnd end) = 0;
  // Bytes came after the answer to the request, or without a request: a second answer.
  virtual void unexpected_bytes(const std::string& request_id, std::size_t count) = 0;
  // The connection may be used again.
  virtual void connection_idle(ClientConnection& connection) = 0;
  // The connection has ended. It has to live until what runs now has returned.
  virtual void connection_ended(ClientConnection& connection) = 0;
};

// Owned by its owner, which ends its requests.
class ClientConnection final : public transport::StreamHandler, public transport::Numbered {
 public:
  ClientConnection(transport::Reactor& reactor, ClientConnectionOwner& owner,
                   const transport::Address& address, std::size_t router);
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;
  ClientConnection(ClientConnection&&) = delete;
  ClientConnection& operator=(ClientConnection&&) = delete;
  ~ClientConnection() override;

  std::size_t router() const { return router_; }
  // Whether an idle one is still open with nothing to be read.
  bool healthy() const;

  // Sends the request as soon as the connection is established.
  void send(ClientRequest& request);
  // Sends and ignores whatever comes of it.
  void send_ignoring_answer(std::string bytes);
  // The client waits no longer.
  void abort();
  void close();

  void on_connected() override;
  void on_data(std::string_view bytes) override;
  void on_closed(transport::CloseReason reason) override;

 private:
  void complete(const transport::HttpResponse& response);
  void fail(ClientAttemptEnd end);

  ClientConnectionOwner& owner_;
  std::size_t router_;
  std::shared_ptr<transport::Stream> stream_;
  transport::HttpResponseReader reader_;
  ClientRequest* request_ = nullptr;
  std::string last_request_id_;
  std::string input_;
  std::string output_;  // of which the answer is ignored, until the connection is established
  bool connected_ = false;
  bool ignores_answer_ = false;
};

}  // namespace rushhill::simulation

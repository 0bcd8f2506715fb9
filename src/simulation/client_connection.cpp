#include "simulation/client_connection.h"

#include <algorithm>
#include <utility>

namespace rushhill::simulation {
namespace {

using transport::HttpProgress;
using transport::HttpResponse;

constexpr std::uint64_t longest_body = 4 * 1024 * 1024;  // bytes
constexpr int first_final_status = 200;
constexpr Time age_tolerance =
    100;  // tenths of a millisecond; the system counts ages in ticks of up to 10 ms

}  // namespace

ClientConnection::ClientConnection(transport::Reactor& reactor, ClientConnectionOwner& owner,
                                   const transport::Address& address, std::size_t router)
    : owner_(owner), router_(router), reader_({.body = longest_body}) {
  stream_ = transport::Stream::connect(reactor, address, *this);
}
ClientConnection::~ClientConnection() { stream_->close(); }

bool ClientConnection::healthy() const {
  return !stream_->closed() && stream_->peek() == transport::Stream::Peeked::nothing;
}

void ClientConnection::send(ClientRequest& request) {
  request_ = &request;
  request.connection = this;
  if (connected_) on_connected();
}

void ClientConnection::send_ignoring_answer(std::string bytes) {
  ignores_answer_ = true;
  output_ = std::move(bytes);
}

void ClientConnection::on_connected() {
  connected_ = true;
  stream_->write(request_ == nullptr ? std::exchange(output_, {}) : owner_.bytes_of(*request_));
}

void ClientConnection::on_data(std::string_view bytes) {
  input_ += bytes;
  if (ignores_answer_) return;
  if (request_ == nullptr) {
    owner_.unexpected_bytes(last_request_id_, input_.size());
    return close();
  }
  for (;;) {
    const HttpProgress progress = reader_.put(input_);
    if (progress == HttpProgress::more) return;
    if (progress != HttpProgress::done) return fail(ClientAttemptEnd::malformed);
    const HttpResponse response = reader_.take();
    if (response.status >= first_final_status) return complete(response);
  }
}

void ClientConnection::complete(const HttpResponse& response) {
  ClientRequest& request = *std::exchange(request_, nullptr);
  last_request_id_ = request.id();
  request.connection = nullptr;
  if (!input_.empty()) {
    owner_.unexpected_bytes(last_request_id_, input_.size());
    close();
  } else if (response.keep_alive) {
    owner_.connection_idle(*this);
  } else {
    close();
  }
  owner_.answered(request, response, std::max<Time>(stream_->unread_age() - age_tolerance, 0));
}

void ClientConnection::on_closed(transport::CloseReason reason) {
  const bool unreached =
      reason == transport::CloseReason::connect_failed || stream_->handed_over_bytes() == 0;
  fail(unreached ? ClientAttemptEnd::no_connection : ClientAttemptEnd::lost);
}

void ClientConnection::abort() {
  request_ = nullptr;
  close();
}

void ClientConnection::close() {
  stream_->close();
  owner_.connection_ended(*this);
}

void ClientConnection::fail(ClientAttemptEnd end) {
  ClientRequest* request = std::exchange(request_, nullptr);
  close();
  if (request == nullptr) return;
  request->connection = nullptr;
  owner_.attempt_failed(*request, end);
}

}  // namespace rushhill::simulation

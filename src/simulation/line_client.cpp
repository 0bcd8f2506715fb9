#include "simulation/line_client.h"

#include <utility>

namespace rushhill::simulation {
namespace {

constexpr Time retry_interval = 500;  // tenths of a millisecond between attempts to connect

}  // namespace

LineClient::LineClient(transport::Reactor& reactor, const transport::Address& address,
                       std::function<void()> connected)
    : reactor_(reactor), address_(address), on_established_(std::move(connected)) {
  connect();
}

LineClient::~LineClient() {
  reactor_.cancel(retry_timer_);
  if (stream_) stream_->close();
}

void LineClient::connect() { stream_ = transport::Stream::connect(reactor_, address_, *this); }

void LineClient::on_connected() {
  connected_ = true;
  on_established_();
}

void LineClient::on_closed(transport::CloseReason) {
  connected_ = false;
  reactor_.post([closed = stream_] {});
  retry_timer_ = reactor_.at(reactor_.now() + retry_interval, [this] { connect(); });
}

}  // namespace rushhill::simulation

// A connection of a line protocol that is established again after a break.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "transport/reactor.h"

namespace rushhill::simulation {

// Writes lines; what comes is ignored.
class LineClient final : public transport::StreamHandler {
 public:
  // `connected` is called each time that the connection is established.
  LineClient(transport::Reactor& reactor, const transport::Address& address, std::function<void()> connected);
  LineClient(const LineClient&) = delete;
  LineClient& operator=(const LineClient&) = delete;
  LineClient(LineClient&&) = delete;
  LineClient& operator=(LineClient&&) = delete;
  ~LineClient() override;

  void write(const std::string& line) { stream_->write(line + "\n"); }
  bool connected() const { return connected_; }

 private:
  void connect();
  void on_connected() override;
  void on_data(std::string_view) override {}
  void on_closed(transport::CloseReason) override;

  transport::Reactor& reactor_;
  transport::Address address_;
  std::function<void()> on_established_;
  std::shared_ptr<transport::Stream> stream_;
  core::Timer retry_timer_;
  bool connected_ = false;
};

}  // namespace rushhill::simulation

// What the stand-in processes share: a port that stays theirs, the day's start, one HTTP/1.1 exchange at a
// time on a connection of their own.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "transport/http.h"
#include "transport/reactor.h"

namespace rushhill::standin {

// Rings once the file with the day's start (monotonic, in nanoseconds) is there.
void await_start(transport::Reactor& reactor, const std::string& path, std::function<void(Time start)> call);
// For the process that sets it: whole or not there at all.
void write_start(const std::string& path, std::int64_t start_ns);

// A line protocol's connection that comes back after a break.
class Lines final : public transport::StreamHandler {
 public:
  Lines(transport::Reactor& reactor, const transport::Address& address, std::function<void()> opened);
  ~Lines() override;
  void write(const std::string& line) { stream_->write(line + "\n"); }
  bool open() const { return open_; }

 private:
  void connect();
  void on_connected() override;
  void on_data(std::string_view) override {}
  void on_closed(transport::CloseReason) override;

  transport::Reactor& reactor_;
  transport::Address address_;
  std::function<void()> opened_;
  std::shared_ptr<transport::Stream> stream_;
  core::Timer again_;
  bool open_ = false;
};

}  // namespace rushhill::standin

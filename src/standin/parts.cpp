#include "standin/parts.h"

#include <cstdio>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace rushhill::standin {
namespace {

constexpr Time look_every = 200;  // tenths of a millisecond between looks for the day's start
constexpr Time retry = 500;       // tenths of a millisecond between tries to connect

}  // namespace

void await_start(transport::Reactor& reactor, const std::string& path, std::function<void(Time start)> call) {
  std::int64_t start_ns = 0;
  if (std::ifstream(path) >> start_ns) return call(start_ns / 100'000);
  reactor.at(reactor.now() + look_every, [&reactor, path, call = std::move(call)]() mutable {
    await_start(reactor, path, std::move(call));
  });
}

void write_start(const std::string& path, std::int64_t start_ns) {
  const std::string part = path + ".part";
  std::ofstream(part) << start_ns << '\n';
  if (std::rename(part.c_str(), path.c_str()) != 0) throw std::runtime_error(path + ": cannot be written");
}

Lines::Lines(transport::Reactor& reactor, const transport::Address& address, std::function<void()> opened)
    : reactor_(reactor), address_(address), opened_(std::move(opened)) {
  connect();
}
Lines::~Lines() {
  reactor_.cancel(again_);
  if (stream_) stream_->close();
}
void Lines::connect() { stream_ = transport::Stream::connect(reactor_, address_, *this); }
void Lines::on_connected() {
  open_ = true;
  opened_();
}
void Lines::on_closed(transport::CloseReason) {
  open_ = false;
  reactor_.post([gone = stream_] {});
  again_ = reactor_.at(reactor_.now() + retry, [this] { connect(); });
}

}  // namespace rushhill::standin

#include "transport/loop.h"

#include <algorithm>
#include <cstdio>
#include <exception>
#include <utility>

#include "transport/datagram_socket.h"
#include "transport/socket_listener.h"
#include "transport/socket_stream.h"
#include "transport/sockets.h"

namespace rushhill::transport {
namespace {

constexpr Time longest_sleep = 1000;  // tenths of a millisecond; a signal's flag is seen within that
constexpr Time sight = 500;           // tenths of a millisecond; half of what a client is owed that has left
constexpr Time time_units_per_ms = 10;
constexpr std::int64_t nanoseconds_per_time_unit = 100'000;
constexpr std::size_t buffer_bytes = 64 * 1024;

// A bound socket that never listens.
class HeldPort final : public Place {
 public:
  HeldPort(SystemCalls& system, const Address& address)
      : system_(system), socket_(bound_socket(system, address, SOCK_STREAM, {.shared = true})) {}
  Address address() const override { return local_address(system_, socket_); }

 private:
  SystemCalls& system_;
  FileDescriptor socket_;
};

}  // namespace

Loop::Loop(SystemCalls& system) : system_(system), poller_(system), buffer_(buffer_bytes) {}

// A fault in a handler is a fault of the program: it ends at once rather than go on with half a state.
void Loop::run() try {
  act();
  while (!halted_) {
    const ReadySet ready = look();
    reading_clients_ = true;
    serve(ready, true);
    reading_clients_ = false;
    send_deferred();
    serve(ready, false);
    act();
  }
} catch (const std::exception& fault) {
  std::fprintf(stderr, "rushhill: fault in a handler: %s\n", fault.what());
  std::abort();
}

void Loop::forget_all() {
  alarms_ = {};
  soon_.clear();
  deferred_.clear();
  every_turn_ = nullptr;
}

void Loop::halt() { halted_ = true; }

Time Loop::now() const { return monotonic_ns() / nanoseconds_per_time_unit; }

core::Alarm Loop::at(Time when, Call call) { return alarms_.set(when, std::move(call)); }
void Loop::withdraw(core::Alarm& alarm) { alarms_.withdraw(alarm); }
void Loop::soon(Call call) { soon_.push_back(std::move(call)); }

// All that can be read, or written. Where the process slept or stood still it looks again, since what came
// meanwhile may not be among what it was told.
ReadySet Loop::look() {
  ReadySet ready;
  int timeout_ms = sleep_ms();
  bool all = false;
  while (!all || now() - looked_at_ > sight) {
    looked_at_ = now();
    const std::size_t before = ready.size();
    const std::size_t named = poller_.wait(timeout_ms, ready);
    all = named < Poller::most_named || ready.size() == before;
    timeout_ms = 0;
  }
  return ready;
}

bool Loop::may_send() const { return !reading_clients_ && now() - looked_at_ <= sight; }

// One that is gone meanwhile, or no longer waits for it, is passed over.
void Loop::serve(const ReadySet& ready, bool opened_by_peer) {
  for (const auto& [id, found] : ready) {
    const auto source = [&, id = id]() -> EventSource* {
      const auto it = sources_.find(id);
      return it == sources_.end() || it->second->opened_by_peer() != opened_by_peer ? nullptr : it->second;
    };
    if (EventSource* here = source(); found.readable && here != nullptr && here->interest_.readable)
      here->on_readable();
    if (EventSource* here = source(); found.writable && here != nullptr && here->interest_.writable)
      here->on_writable();
  }
}

void Loop::send_deferred() {
  for (const auto& deferred : std::exchange(deferred_, {})) {
    if (const auto stream = deferred.lock()) stream->send_deferred();
  }
}

void Loop::act() {
  if (every_turn_) every_turn_();
  alarms_.ring(now());
  // What these put off runs in the next iteration, so that a chain of them cannot starve the sockets.
  for (const Call& call : std::exchange(soon_, {})) call();
}

// How long the loop may sleep: rounded up, so that nothing rings early or spins.
int Loop::sleep_ms() const {
  if (!soon_.empty() || !deferred_.empty()) return 0;
  const Time now_is = now();
  const Time wake = std::min(alarms_.next().value_or(now_is + longest_sleep), now_is + longest_sleep);
  const Time left = std::max<Time>(wake - now_is, 0);
  return static_cast<int>((left + time_units_per_ms - 1) / time_units_per_ms);
}

bool Loop::watch(int descriptor, EventSource& source, Interest interest) {
  if (source.interest_ == interest) return true;
  if (!interest.any()) {
    poller_.remove(descriptor);
    sources_.erase(std::exchange(source.registration_, 0));
    source.interest_ = interest;
    return true;
  }
  if (source.registration_ != 0) {
    if (!poller_.update(descriptor, source.registration_, interest)) return false;
  } else {
    const RegistrationId id = last_registration_ + 1;
    if (!poller_.add(descriptor, id, interest)) return false;
    last_registration_ = id;
    source.registration_ = id;
    sources_.emplace(id, &source);
  }
  source.interest_ = interest;
  return true;
}

std::shared_ptr<Stream> Loop::connect(const Address& address, StreamUser& user) {
  const auto stream = std::make_shared<SocketStream>(*this, user);
  stream->connect(address);
  return stream;
}

std::shared_ptr<Stream> Loop::adopt(const Arrival& arrival, StreamUser& user) {
  const auto stream =
      std::make_shared<SocketStream>(*this, user, static_cast<const SocketArrival&>(arrival).take());
  stream->establish();
  return stream;
}

std::unique_ptr<Place> Loop::listen(const Address& address, bool shared, Accepted accepted) {
  FileDescriptor socket = bound_socket(system_, address, SOCK_STREAM, {.shared = shared});
  start_listening(system_, socket);
  return std::make_unique<SocketListener>(*this, std::move(socket), std::move(accepted));
}

std::unique_ptr<Place> Loop::listen_inherited(int descriptor, Accepted accepted) {
  return std::make_unique<SocketListener>(*this, FileDescriptor(system_, descriptor), std::move(accepted));
}

std::unique_ptr<Place> Loop::hear(const Address& address, Heard heard) {
  // Beside one that has it already: a router's earlier self, which hears nothing from then on.
  return std::make_unique<DatagramSocket>(*this, bound_socket(system_, address, SOCK_DGRAM, {}),
                                          std::move(heard));
}

std::unique_ptr<Place> Loop::hear_inherited(int descriptor, Heard heard) {
  return std::make_unique<DatagramSocket>(*this, FileDescriptor(system_, descriptor), std::move(heard));
}

std::unique_ptr<Place> Loop::hold(const Address& address) {
  return std::make_unique<HeldPort>(system_, address);
}

}  // namespace rushhill::transport

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
constexpr int stale_rest_ms = 1;
constexpr std::size_t buffer_bytes = 64 * 1024;

// A bound socket that never listens.
class HeldPort final : public BoundSocket {
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
    rest_if_stale(ready);
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

// What the calls hold may withdraw alarms and put off calls as it goes: they leave the loop's lists first.
void Loop::forget_all() {
  const auto alarms = std::exchange(alarms_, {});
  const auto soon = std::exchange(soon_, {});
  unregistered_.clear();
  deferred_.clear();
  every_turn_ = nullptr;
}

void Loop::halt() { halted_ = true; }

Time Loop::now() const { return monotonic_ns() / nanoseconds_per_time_unit; }

core::Timer Loop::at(Time when, Call call) { return alarms_.add(when, std::move(call)); }
void Loop::cancel(core::Timer& alarm) { alarms_.cancel(alarm); }
void Loop::post(Call call) { soon_.push_back(std::move(call)); }

// All that can be read, or written. Where the process slept or stood still it looks again, since what came
// meanwhile may not be among what it was told.
ReadySet Loop::look() {
  ReadySet ready;
  int timeout_ms = sleep_ms();
  bool all = false;
  looked_before_ = looked_at_;
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
  alarms_.fire_due(now());
  // What these put off runs in the next iteration, so that a chain of them cannot starve the sockets.
  for (const Call& call : std::exchange(soon_, {})) call();
}

// How long the loop may sleep: rounded up, so that nothing rings early or spins.
int Loop::sleep_ms() const {
  if (!soon_.empty() || !deferred_.empty()) return 0;
  const Time now_is = now();
  const Time wake =
      std::min(alarms_.next_deadline().value_or(now_is + longest_sleep), now_is + longest_sleep);
  const Time left = std::max<Time>(wake - now_is, 0);
  return static_cast<int>((left + time_units_per_ms - 1) / time_units_per_ms);
}

void Loop::watch(int descriptor, EventSource& source, Interest interest) {
  if (source.interest_ == interest) return;
  source.interest_ = interest;
  if (!interest.any()) {
    if (std::exchange(source.registered_, false)) poller_.remove(descriptor);
    unregistered_.erase(source.registration_);
    sources_.erase(std::exchange(source.registration_, 0));
    return;
  }
  if (source.registration_ == 0) {
    source.registration_ = ++last_registration_;
    sources_.emplace(source.registration_, &source);
  }
  if (unregistered_.contains(source.registration_)) return;  // tried again soon, with this interest
  if (!register_source(descriptor, source)) register_later(descriptor, source);
}

bool Loop::register_source(int descriptor, EventSource& source) {
  const bool done = source.registered_ ? poller_.update(descriptor, source.registration_, source.interest_)
                                       : poller_.add(descriptor, source.registration_, source.interest_);
  source.registered_ |= done;
  return done;
}

void Loop::register_later(int descriptor, const EventSource& source) {
  const bool first = unregistered_.empty();
  unregistered_.emplace(source.registration_, descriptor);
  if (first) at(now() + register_backoff_.failed(), [this] { register_again(); });
}

void Loop::register_again() {
  for (const auto& [id, descriptor] : std::exchange(unregistered_, {})) {
    EventSource& source = *sources_.at(id);
    if (register_source(descriptor, source)) {
      register_backoff_.succeeded();
    } else {
      register_later(descriptor, source);
    }
  }
}

// What is named and wanted by nobody was left by a call that failed: the loop must not spin on it.
void Loop::rest_if_stale(const ReadySet& ready) {
  const auto wanted = [this](const auto& item) {
    const auto it = sources_.find(item.first);
    if (it == sources_.end()) return false;
    const Interest& interest = it->second->interest_;
    return (item.second.readable && interest.readable) || (item.second.writable && interest.writable);
  };
  if (!ready.empty() && std::ranges::none_of(ready, wanted)) system_.poll(nullptr, 0, stale_rest_ms);
}

std::shared_ptr<Stream> Loop::connect(const Address& address, StreamHandler& user) {
  const auto stream = std::make_shared<SocketStream>(*this, user);
  stream->connect(address);
  return stream;
}

std::shared_ptr<Stream> Loop::adopt(const PendingConnection& arrival, StreamHandler& user) {
  const auto stream =
      std::make_shared<SocketStream>(*this, user, static_cast<const SocketArrival&>(arrival).take());
  stream->establish();
  return stream;
}

std::unique_ptr<BoundSocket> Loop::listen(const Address& address, bool shared, AcceptHandler accepted) {
  FileDescriptor socket = bound_socket(system_, address, SOCK_STREAM, {.shared = shared});
  start_listening(system_, socket);
  return std::make_unique<SocketListener>(*this, std::move(socket), std::move(accepted));
}

std::unique_ptr<BoundSocket> Loop::listen_inherited(int descriptor, AcceptHandler accepted) {
  return std::make_unique<SocketListener>(*this, FileDescriptor(system_, descriptor), std::move(accepted));
}

std::unique_ptr<BoundSocket> Loop::open_datagrams(const Address& address, DatagramHandler heard) {
  // Beside one that has it already: a router's earlier self, which hears nothing from then on.
  return std::make_unique<DatagramSocket>(*this, bound_socket(system_, address, SOCK_DGRAM, {}),
                                          std::move(heard));
}

std::unique_ptr<BoundSocket> Loop::open_inherited_datagrams(int descriptor, DatagramHandler heard) {
  return std::make_unique<DatagramSocket>(*this, FileDescriptor(system_, descriptor), std::move(heard));
}

std::unique_ptr<BoundSocket> Loop::reserve(const Address& address) {
  return std::make_unique<HeldPort>(system_, address);
}

}  // namespace rushhill::transport

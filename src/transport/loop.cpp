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

// Tenths of a millisecond.
constexpr Time max_sleep = 1000;    // the longest delay until a flag of a signal handler is seen
constexpr Time max_poll_age = 500;  // half of the time within which a client's disconnect must be known
constexpr Time time_units_per_ms = 10;
constexpr std::int64_t nanoseconds_per_time_unit = 100'000;
constexpr int stale_sleep_ms = 1;
constexpr int max_reads = 4;  // of the connections that peers opened, in one iteration
constexpr std::int64_t unread_peers_time_ns = 10'000'000;  // that they share in one iteration
constexpr std::size_t buffer_bytes = 64 * 1024;

// Keeps an address bound without listening on it.
class ReservedPort final : public BoundSocket {
 public:
  ReservedPort(SystemCalls& system, const Address& address)
      : system_(system), socket_(create_bound_socket(system, address, SOCK_STREAM, {.shared = true})) {}
  Address address() const override { return local_address(system_, socket_); }

 private:
  SystemCalls& system_;
  FileDescriptor socket_;
};

}  // namespace

Loop::Loop(SystemCalls& system) : system_(system), poller_(system), buffer_(buffer_bytes) {}

// An exception from a handler is a bug. The program aborts at once rather than continue in an unknown state.
void Loop::run() try {
  run_calls();
  while (!halted_) {
    ReadySet ready = poll_sources();
    sleep_if_all_stale(ready);
    read_peers(ready);
    send_deferred();
    dispatch(ready, false);
    run_calls();
  }
} catch (const std::exception& error) {
  std::fprintf(stderr, "rushhill: unhandled exception in an event handler: %s\n", error.what());
  std::abort();
}

// Destroying a call may destroy objects that cancel timers or post calls, so all calls are moved out of the
// members first.
void Loop::drop_pending_calls() {
  const auto timers = std::exchange(timers_, {});
  const auto posted = std::exchange(posted_, {});
  const auto urgent = std::exchange(urgent_, {});
  unregistered_.clear();
  deferred_streams_.clear();
  iteration_hook_ = nullptr;
}

void Loop::halt() { halted_ = true; }

Time Loop::now() const { return monotonic_ns() / nanoseconds_per_time_unit; }

core::Timer Loop::at(Time when, Call call) { return timers_.add(when, std::move(call)); }
void Loop::cancel(core::Timer& timer) { timers_.cancel(timer); }
void Loop::post(Call call) { posted_.push_back(std::move(call)); }
void Loop::post_urgent(Call call) { urgent_.push_back(std::move(call)); }

// Returns everything that is readable or writable. Polls again if the process slept or was suspended, because
// data that arrived meanwhile may not have been reported.
ReadySet Loop::poll_sources() {
  ReadySet ready;
  int timeout_ms = sleep_ms();
  bool all = false;
  previous_poll_at_ = last_poll_at_;
  while (!all || now() - last_poll_at_ > max_poll_age) {
    last_poll_at_ = now();
    const std::size_t before = ready.size();
    const std::size_t reported = poller_.wait(timeout_ms, ready);
    polled_at_ns_ = monotonic_ns();
    all = reported < Poller::max_events || ready.size() == before;
    timeout_ms = 0;
  }
  return ready;
}

// If reading takes so long that nothing may be sent afterwards, reads again, what has come meanwhile.
// Otherwise a crowd that keeps the loop reading would keep it from sending for good. Adds to `ready` what
// else is reported.
void Loop::read_peers(ReadySet& ready) {
  reading_clients_ = true;
  dispatch(ready, true);
  unread_peers_.on_poll_read();
  read_unread_peers();
  for (int reads = 1; reads < max_reads && !deferred_streams_.empty() && last_poll_too_old(); ++reads) {
    const ReadySet more = poll_sources();
    dispatch(more, true);
    for (const auto& [id, found] : more) {
      Interest& interest = ready[id];
      interest.readable |= found.readable;
      interest.writable |= found.writable;
    }
  }
  reading_clients_ = false;
}

void Loop::read_unread_peers() {
  const std::int64_t end = monotonic_ns() + unread_peers_time_ns;
  while (const auto id = unread_peers_.next()) {
    EventSource* source = find_source(*id, true);
    if (source != nullptr && source->interest_.readable) source->on_readable();
    if (monotonic_ns() >= end) return;
  }
}

bool Loop::last_poll_too_old() const { return now() - last_poll_at_ > max_poll_age; }

bool Loop::may_send() const {
  return !reads_peers_before_sending || (!reading_clients_ && !last_poll_too_old());
}

// Skips sources that have been removed or have changed their interest since the poll, and the reading of
// those that wait for their turn.
void Loop::dispatch(const ReadySet& ready, bool opened_by_peer) {
  for (const auto& [id, found] : ready) {
    EventSource* source = find_source(id, opened_by_peer);
    const bool is_readable = found.readable && !unread_peers_.waits(id);
    if (is_readable && source != nullptr && source->interest_.readable) source->on_readable();
    source = find_source(id, opened_by_peer);
    if (found.writable && source != nullptr && source->interest_.writable) source->on_writable();
  }
}

// Returns nullptr if the source has been removed or was not opened by the requested side.
EventSource* Loop::find_source(RegistrationId id, bool opened_by_peer) const {
  const auto it = sources_.find(id);
  if (it == sources_.end() || it->second->opened_by_peer() != opened_by_peer) return nullptr;
  return it->second;
}

void Loop::send_deferred() {
  for (const auto& deferred : std::exchange(deferred_streams_, {})) {
    if (const auto stream = deferred.lock()) stream->send_deferred();
  }
}

void Loop::run_calls() {
  if (iteration_hook_) iteration_hook_();
  // What became due since the poll waits for the next one: an answer that came in time may lie unread until
  // then.
  const Time due = polled_at_ns_ / nanoseconds_per_time_unit;
  while (timers_.fire_next_due(due)) run_urgent_calls();
  run_urgent_calls();
  // Calls that these post run in the next iteration, so that a chain of them cannot starve the sockets.
  for (const Call& call : std::exchange(posted_, {})) {
    call();
    run_urgent_calls();
  }
}

// Urgent calls that these post run after the next timer or posted call, or in the next iteration.
void Loop::run_urgent_calls() {
  for (const Call& call : std::exchange(urgent_, {})) call();
}

// Returns how long the loop may sleep. Rounds up, so that it does not wake before a timer is due and spin.
int Loop::sleep_ms() const {
  if (!posted_.empty() || !urgent_.empty() || !deferred_streams_.empty() || !unread_peers_.empty()) return 0;
  const Time start = now();
  const Time latest = start + max_sleep;
  const Time wake = std::min(timers_.next_deadline().value_or(latest), latest);
  const Time left = std::max<Time>(wake - start, 0);
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
  if (unregistered_.contains(source.registration_)) return;  // the pending retry uses the new interest
  if (!register_source(descriptor, source)) schedule_registration(descriptor, source);
}

bool Loop::register_source(int descriptor, EventSource& source) {
  const bool done = source.registered_ ? poller_.update(descriptor, source.registration_, source.interest_)
                                       : poller_.add(descriptor, source.registration_, source.interest_);
  source.registered_ |= done;
  return done;
}

void Loop::schedule_registration(int descriptor, const EventSource& source) {
  const bool first = unregistered_.empty();
  unregistered_.emplace(source.registration_, descriptor);
  if (first) at(now() + register_backoff_.pause_after_failure(), [this] { retry_registrations(); });
}

void Loop::retry_registrations() {
  for (const auto& [id, descriptor] : std::exchange(unregistered_, {})) {
    EventSource& source = *sources_.at(id);
    if (register_source(descriptor, source)) {
      register_backoff_.record_success();
    } else {
      schedule_registration(descriptor, source);
    }
  }
}

// Sleeps if no source waits for any of the ready descriptors. Such a descriptor is still registered because
// the system refused to remove or change it, and the loop must not spin on it.
void Loop::sleep_if_all_stale(const ReadySet& ready) {
  const auto wanted = [this](const auto& item) {
    const auto it = sources_.find(item.first);
    if (it == sources_.end()) return false;
    const Interest& interest = it->second->interest_;
    return (item.second.readable && interest.readable) || (item.second.writable && interest.writable);
  };
  if (!ready.empty() && std::ranges::none_of(ready, wanted)) system_.poll(nullptr, 0, stale_sleep_ms);
}

std::shared_ptr<Stream> Loop::connect(const Address& address, StreamHandler& handler) {
  const auto stream = std::make_shared<SocketStream>(*this, handler);
  stream->connect(address);
  return stream;
}

std::shared_ptr<Stream> Loop::adopt(const PendingConnection& connection, StreamHandler& handler) {
  const auto stream = std::make_shared<SocketStream>(
      *this, handler, static_cast<const AcceptedSocket&>(connection).take_socket());
  stream->establish();
  return stream;
}

std::unique_ptr<BoundSocket> Loop::listen(const Address& address, bool shared, AcceptHandler handler) {
  FileDescriptor socket = create_bound_socket(system_, address, SOCK_STREAM, {.shared = shared});
  start_listening(system_, socket);
  return std::make_unique<SocketListener>(*this, std::move(socket), std::move(handler));
}

std::unique_ptr<BoundSocket> Loop::listen_inherited(int descriptor, AcceptHandler handler) {
  return std::make_unique<SocketListener>(*this, FileDescriptor(system_, descriptor), std::move(handler));
}

std::unique_ptr<BoundSocket> Loop::open_datagrams(const Address& address, DatagramHandler handler) {
  // An earlier process of this router may still have a socket with this address. It receives nothing once the
  // new socket is bound.
  return std::make_unique<DatagramSocket>(*this, create_bound_socket(system_, address, SOCK_DGRAM, {}),
                                          std::move(handler));
}

std::unique_ptr<BoundSocket> Loop::open_inherited_datagrams(int descriptor, DatagramHandler handler) {
  return std::make_unique<DatagramSocket>(*this, FileDescriptor(system_, descriptor), std::move(handler));
}

std::unique_ptr<BoundSocket> Loop::reserve(const Address& address) {
  return std::make_unique<ReservedPort>(system_, address);
}

}  // namespace rushhill::transport

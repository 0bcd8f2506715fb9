// The event loop of the one thread, on sockets: a Poller, timers, and the byte streams, listeners and
// datagram sockets that wait in it.
//
// An iteration reads before it acts, in this order: connections that peers opened, until nothing is left to
// be read, so that a client's leaving is known before anything is begun for it; then listeners and
// connections that we opened; then the timers that are due; then posted calls. Nothing is sent on a
// connection that we opened while those that peers opened are being read, or once that was too long ago: it
// can be recalled until they have been read again.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/timer_queue.h"
#include "transport/backoff.h"
#include "transport/event_source.h"
#include "transport/poller.h"
#include "transport/reactor.h"
#include "transport/system_calls.h"

namespace rushhill::transport {

class SocketStream;

// The loop, of one thread. It must outlive its streams and sockets.
class Loop final : public Reactor {
 public:
  explicit Loop(SystemCalls& system = SystemCalls::real());
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
  Loop(Loop&&) = delete;
  Loop& operator=(Loop&&) = delete;
  ~Loop() override { forget_all(); }

  void run() override;  // until halt()
  void halt() override;

  Time now() const override;
  core::Timer at(Time when, Call call) override;
  void cancel(core::Timer& timer) override;
  void post(Call call) override;
  std::int64_t nanoseconds() const override { return monotonic_ns(); }
  std::int64_t clock_ns() const override { return monotonic_ns(); }
  std::int64_t unix_ns() const override { return system_.unix_ns(); }

  std::shared_ptr<Stream> connect(const Address& address, StreamHandler& handler) override;
  std::shared_ptr<Stream> adopt(const PendingConnection& connection, StreamHandler& handler) override;
  std::unique_ptr<BoundSocket> listen(const Address& address, bool shared, AcceptHandler handler) override;
  std::unique_ptr<BoundSocket> listen_inherited(int descriptor, AcceptHandler handler) override;
  std::unique_ptr<BoundSocket> open_datagrams(const Address& address, DatagramHandler handler) override;
  std::unique_ptr<BoundSocket> open_inherited_datagrams(int descriptor, DatagramHandler handler) override;
  std::unique_ptr<BoundSocket> reserve(const Address& address) override;

  // Drops every timer and posted call: for the end, when those that set them are gone.
  void forget_all();

  // Called in every iteration; for what a signal handler has noted.
  void every_turn(Call call) { every_turn_ = std::move(call); }

  // Bytes at most in one read or write; small ones make every boundary happen, for tests.
  std::size_t most_at_once = 64 * 1024;

  // For the sockets of this loop.
  SystemCalls& system() { return system_; }
  // Waits, from now on, for what `interest` names; for nothing: forgets the source. Where the system refuses
  // it for lack of a resource it is tried again until it succeeds.
  void watch(int descriptor, EventSource& source, Interest interest);
  // Of connections that could not be begun for lack of a resource on this machine.
  Backoff& connect_backoff() { return connect_backoff_; }
  // Whether bytes may leave on a connection that we opened: all that peers opened has been read just now.
  bool may_send() const;
  // Bytes that are read now have come after this moment: by then all that could be read was known.
  Time looked_before() const { return looked_before_; }
  // The stream's send_deferred() is called once the connections that peers opened have been read.
  void send_later(std::weak_ptr<SocketStream> stream) { deferred_.push_back(std::move(stream)); }
  // One for all reads: its content is lost at the next.
  std::vector<char>& read_buffer() { return buffer_; }

 private:
  ReadySet poll_sources();
  void dispatch(const ReadySet& ready, bool opened_by_peer);
  EventSource* find_source(RegistrationId id, bool opened_by_peer) const;
  void send_deferred();
  void run_calls();
  int sleep_ms() const;
  bool register_source(int descriptor, EventSource& source);
  void register_later(int descriptor, const EventSource& source);
  void register_again();
  void rest_if_stale(const ReadySet& ready);

  SystemCalls& system_;
  Poller poller_;
  core::TimerQueue timers_;
  std::vector<Call> posted_;
  std::vector<char> buffer_;
  Call every_turn_;
  RegistrationId last_registration_ = 0;
  std::map<RegistrationId, EventSource*> sources_;
  std::map<RegistrationId, int> unregistered_;  // descriptors whose interest the system has not taken yet
  Backoff register_backoff_;
  Backoff connect_backoff_;
  std::vector<std::weak_ptr<SocketStream>> deferred_;  // each once
  Time looked_at_ = 0;            // what could be read before then is known, or is being read
  Time looked_before_ = 0;        // the same as of the iteration before
  bool reading_clients_ = false;  // connections that peers opened are being read
  std::atomic<bool> halted_ = false;
};

}  // namespace rushhill::transport

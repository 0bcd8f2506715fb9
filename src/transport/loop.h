// The single-threaded event loop on sockets: a Poller, timers, and the byte streams, listeners and datagram
// sockets that wait in it.
//
// Each iteration reads before it acts. It first reads the connections that peers opened, so that a client's
// disconnect is known before work is started for that client. It then serves listeners, datagram sockets and
// the connections that we opened, then timers that were due when it polled, then posted calls, urgent ones
// first. So no timeout fires before an answer that arrived in time has been read. Nothing is sent on a
// connection that we opened while those that peers opened are being read, or if the last poll is too long
// ago. Bytes that wait for this reason can still be cancelled.
//
// Peers that send faster than they are read must not hold up everything else. Each connection is read up to a
// quantum in an iteration; those with more to read share a limited time, in turn (deficit round robin, with
// new flows first, as in RFC 8290). What they have sent is not wholly known meanwhile: see
// Stream::is_reading_delayed().
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
#include "transport/unread_sources.h"

namespace rushhill::transport {

class SocketStream;

// The event loop. It must outlive its streams and sockets.
class Loop final : public Reactor {
 public:
  explicit Loop(SystemCalls& system = SystemCalls::real());
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
  Loop(Loop&&) = delete;
  Loop& operator=(Loop&&) = delete;
  ~Loop() override { drop_pending_calls(); }

  void run() override;  // until halt()
  void halt() override;

  Time now() const override;
  core::Timer at(Time when, Call call) override;
  void cancel(core::Timer& timer) override;
  void post(Call call) override;
  void post_urgent(Call call) override;
  std::int64_t nanoseconds() const override { return monotonic_ns(); }
  std::int64_t clock_ns() const override { return monotonic_ns(); }
  std::int64_t unix_ns() const override { return system_.unix_ns(); }
  std::int64_t event_time_ns() const override { return polled_at_ns_; }

  std::shared_ptr<Stream> connect(const Address& address, StreamHandler& handler) override;
  std::shared_ptr<Stream> adopt(const PendingConnection& connection, StreamHandler& handler) override;
  std::unique_ptr<BoundSocket> listen(const Address& address, bool shared, AcceptHandler handler) override;
  std::unique_ptr<BoundSocket> listen_inherited(int descriptor, AcceptHandler handler) override;
  std::unique_ptr<BoundSocket> open_datagrams(const Address& address, DatagramHandler handler) override;
  std::unique_ptr<BoundSocket> open_inherited_datagrams(int descriptor, DatagramHandler handler) override;
  std::unique_ptr<BoundSocket> reserve(const Address& address) override;

  // Drops all timers and posted calls. Used at shutdown, when the objects that they refer to are gone.
  void drop_pending_calls();

  // Sets a function that is called in every iteration, to act on flags that a signal handler has set.
  void set_iteration_hook(Call call) { iteration_hook_ = std::move(call); }

  // Whether bytes wait, on connections that we opened, until the connections that peers opened have been
  // read. A process that sends nothing on behalf of those peers turns it off before the loop runs.
  bool reads_peers_before_sending = true;

  // Maximum bytes of one read or write. Tests set a small value to split messages at every byte.
  std::size_t max_io_bytes = 64 * 1024;

  // Members below are for the sockets of this loop.
  SystemCalls& system() { return system_; }
  // Waits for the events in `interest` from now on; without any, the source is removed. If the system lacks a
  // resource for the registration, it is retried until it succeeds.
  void watch(int descriptor, EventSource& source, Interest interest);
  // The backoff of connections that could not be started for lack of a local resource.
  Backoff& connect_backoff() { return connect_backoff_; }
  // Whether bytes may be sent on a connection that we opened: the connections that peers opened have just
  // been read.
  bool may_send() const;
  // When the last poll of the previous iteration began. Bytes that are read now have arrived since, because
  // everything that was readable by then had been reported.
  Time previous_poll_at() const { return previous_poll_at_; }
  // Calls the stream's send_deferred() once the connections that peers opened have been read.
  void defer_send(std::weak_ptr<SocketStream> stream) { deferred_streams_.push_back(std::move(stream)); }
  // Lets the source read on when it is its turn again, because there is more to read. It is told so by
  // on_readable(), in this iteration or the next one.
  void continue_reading(const EventSource& source) { unread_peers_.add(source.registration_); }
  bool may_hold_unread(const EventSource& source) const {
    return unread_peers_.may_hold_unread(source.registration_);
  }
  // One buffer for all reads; each read overwrites it.
  std::vector<char>& read_buffer() { return buffer_; }

 private:
  ReadySet poll_sources();
  void read_peers(ReadySet& ready);
  void read_unread_peers();
  bool last_poll_too_old() const;
  void dispatch(const ReadySet& ready, bool opened_by_peer);
  EventSource* find_source(RegistrationId id, bool opened_by_peer) const;
  void send_deferred();
  void run_calls();
  void run_urgent_calls();
  int sleep_ms() const;
  bool register_source(int descriptor, EventSource& source);
  void schedule_registration(int descriptor, const EventSource& source);
  void retry_registrations();
  void sleep_if_all_stale(const ReadySet& ready);

  SystemCalls& system_;
  Poller poller_;
  core::TimerQueue timers_;
  std::vector<Call> posted_;
  std::vector<Call> urgent_;
  std::vector<char> buffer_;
  Call iteration_hook_;
  RegistrationId last_registration_ = 0;
  std::map<RegistrationId, EventSource*> sources_;
  std::map<RegistrationId, int> unregistered_;  // descriptors whose registration is to be retried
  Backoff register_backoff_;
  Backoff connect_backoff_;
  std::vector<std::weak_ptr<SocketStream>> deferred_streams_;  // each stream once
  UnreadSources unread_peers_;                                 // connections that peers opened
  std::int64_t polled_at_ns_ = monotonic_ns();                 // when the last poll returned
  Time last_poll_at_ = 0;         // when the last poll began; what was readable by then has been reported
  Time previous_poll_at_ = 0;     // its value in the previous iteration
  bool reading_clients_ = false;  // whether connections that peers opened are being read
  std::atomic<bool> halted_ = false;
};

}  // namespace rushhill::transport

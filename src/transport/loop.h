// The event loop of the one thread, on sockets: a Poller, timers, and the byte streams, listeners and
// datagram sockets that wait in it.
//
// An iteration reads before it acts, in this order: connections that came to us, to the end of what stands
// there, so that a client's leaving is known before anything is begun for it; then listeners and connections
// that we opened; then the timers that are due; then what was put off. Nothing is sent on a connection that
// we opened while those that came to us are being read, or once that was too long ago: it can be recalled
// until they have been read again.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/alarms.h"
#include "transport/event_source.h"
#include "transport/poller.h"
#include "transport/reactor.h"
#include "transport/system_calls.h"

namespace rushhill::transport {

class SocketStream;

class Loop final : public Reactor {
 public:
  explicit Loop(SystemCalls& system = SystemCalls::real());

  void run() override;  // until halt()
  void halt() override;

  Time now() const override;
  core::Alarm at(Time when, Call call) override;
  void withdraw(core::Alarm& alarm) override;
  void soon(Call call) override;
  std::int64_t nanoseconds() const override { return monotonic_ns(); }
  std::int64_t clock_ns() const override { return monotonic_ns(); }
  std::int64_t unix_ns() const override { return system_.unix_ns(); }

  std::shared_ptr<Stream> connect(const Address& address, StreamUser& user) override;
  std::shared_ptr<Stream> adopt(const Arrival& arrival, StreamUser& user) override;
  std::unique_ptr<Place> listen(const Address& address, bool shared, Accepted accepted) override;
  std::unique_ptr<Place> listen_inherited(int descriptor, Accepted accepted) override;
  std::unique_ptr<Place> hear(const Address& address, Heard heard) override;
  std::unique_ptr<Place> hear_inherited(int descriptor, Heard heard) override;
  std::unique_ptr<Place> hold(const Address& address) override;

  // Drops every timer and put-off call: for the end, when those that set them are gone.
  void forget_all();

  // Asked every time the loop turns; for what a signal's handler has noted.
  void every_turn(Call call) { every_turn_ = std::move(call); }

  // Bytes at most in one read or write; small ones make every boundary happen, for tests.
  std::size_t most_at_once = 64 * 1024;

  // For the sockets of this loop.
  SystemCalls& system() { return system_; }
  // Waits, from now on, for what `interest` names; for nothing: forgets the source. Returns whether the
  // system did it.
  bool watch(int descriptor, EventSource& source, Interest interest);
  // Whether bytes may leave on a connection that we opened: all that came to us has been read just now.
  bool may_send() const;
  void send_later(std::weak_ptr<SocketStream> stream) { deferred_.push_back(std::move(stream)); }
  // One for all reads: what it holds is lost at the next.
  std::vector<char>& read_buffer() { return buffer_; }

 private:
  ReadySet look();
  void serve(const ReadySet& ready, bool opened_by_peer);
  void send_deferred();
  void act();
  int sleep_ms() const;

  SystemCalls& system_;
  Poller poller_;
  core::Alarms alarms_;
  std::vector<Call> soon_;
  std::vector<char> buffer_;
  Call every_turn_;
  RegistrationId last_registration_ = 0;
  std::map<RegistrationId, EventSource*> sources_;
  std::vector<std::weak_ptr<SocketStream>> deferred_;  // each once
  Time looked_at_ = 0;            // what could be read before then is known, or is being read
  bool reading_clients_ = false;  // those that came to us
  std::atomic<bool> halted_ = false;
};

}  // namespace rushhill::transport

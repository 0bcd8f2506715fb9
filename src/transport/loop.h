// The one thread's loop on sockets: POCO's PollSet with alarms, and byte streams, listeners and datagrams on
// it.
//
// A turn reads before it acts, in this order: connections that came to us, to the end of what stands there,
// so that a client's leaving is known before anything is begun for it; then listeners and connections that we
// opened; then the alarms that are due; then what was put off. Nothing is sent on a connection that we opened
// while those that came to us are being read, or once that was too long ago: it can be recalled until they
// have been read again.
#pragma once

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/alarms.h"
#include "transport/reactor.h"

namespace rushhill::transport {

class Loop final : public Reactor {
 public:
  Loop();

  void run() override;  // until halt()
  void halt() override;

  Time now() const override;
  core::Alarm at(Time when, Call call) override;
  void withdraw(core::Alarm& alarm) override;
  void soon(Call call) override;
  std::int64_t nanoseconds() const override { return monotonic_ns(); }
  std::int64_t clock_ns() const override { return monotonic_ns(); }
  std::int64_t unix_ns() const override;

  std::shared_ptr<Stream> connect(const Address& address, StreamUser& user) override;
  std::shared_ptr<Stream> adopt(const Arrival& arrival, StreamUser& user) override;
  std::unique_ptr<Place> listen(const Address& address, bool shared, Accepted accepted) override;
  std::unique_ptr<Place> listen_inherited(int descriptor, Accepted accepted) override;
  std::unique_ptr<Place> hear(const Address& address, Heard heard) override;
  std::unique_ptr<Place> hear_inherited(int descriptor, Heard heard) override;
  std::unique_ptr<Place> hold(const Address& address) override;

  // Drops every alarm and put-off call: for the end, when those that set them are gone.
  void forget_all();

  // Asked every time the loop turns; for what a signal's handler has noted.
  void every_turn(Call call) { every_turn_ = std::move(call); }

  // Bytes at most in one read or write; small ones make every boundary happen, for tests.
  std::size_t most_at_once = 64 * 1024;

 private:
  class SocketArrival;
  class SocketStream;
  class SocketListener;
  class SocketDatagrams;
  // What waits for its socket. `came`: the connection was opened by the other side.
  class Waiting {
   public:
    Waiting() = default;
    Waiting(const Waiting&) = delete;
    Waiting& operator=(const Waiting&) = delete;
    virtual ~Waiting() = default;
    virtual void on_readable() = 0;
    virtual void on_writable() {}
    bool came = false;
  };
  Poco::Net::PollSet::SocketModeMap look();
  bool may_send() const;
  void send_deferred();
  void wait_for(const Poco::Net::Socket& socket, Waiting& waiting, bool readable, bool writable);
  void serve(const Poco::Net::PollSet::SocketModeMap& ready, bool came);
  void act();
  Time sleep();

  Poco::Net::DatagramSocket keeper_{
      Poco::Net::SocketAddress::IPv4};  // a PollSet cannot wait without a socket
  core::Alarms alarms_;
  std::vector<Call> soon_;
  std::vector<char> buffer_;
  Call every_turn_;
  Poco::Net::PollSet polled_;
  std::map<const Poco::Net::SocketImpl*, Waiting*> waiting_;
  std::vector<std::weak_ptr<SocketStream>> deferred_;  // each once
  Time looked_at_ = 0;            // what could be read before then is known, or is being read
  bool reading_clients_ = false;  // those that came to us
  std::atomic<bool> halted_ = false;
};

}  // namespace rushhill::transport

// What the stories of a whole router on the platform share: two servers and discovery by hand, on loopback.
#pragma once

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>
#include <vector>

#include "loopback.h"
#include "platform.h"

namespace rushhill::node {

// A listener whose connections do not come up before it opens: the system's queue is full.
class SlowDoor {
 public:
  SlowDoor() : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in at{
        .sin_family = AF_INET, .sin_port = 0, .sin_addr = {htonl(INADDR_LOOPBACK)}, .sin_zero = {}};
    socklen_t size = sizeof at;
    bind(socket_, reinterpret_cast<sockaddr*>(&at), size);
    listen(socket_, 0);
    getsockname(socket_, reinterpret_cast<sockaddr*>(&at), &size);
    address_ = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
    filler_ = ::socket(AF_INET, SOCK_STREAM, 0);
    connect(filler_, reinterpret_cast<sockaddr*>(&at), size);
  }
  ~SlowDoor() {
    for (const int one : taken_) close(one);
    close(filler_), close(socket_);
  }
  SlowDoor(const SlowDoor&) = delete;
  SlowDoor& operator=(const SlowDoor&) = delete;

  const std::string& address() const { return address_; }
  // Takes the one that fills the queue, then the next that comes up; the system tries again after 1 s. False:
  // none did.
  bool open(int ms = 10'000) {
    for (int i = 0; i < 2; ++i) {
      pollfd waiting{.fd = socket_, .events = POLLIN, .revents = 0};
      if (poll(&waiting, 1, ms) != 1) return false;
      taken_.push_back(accept(socket_, nullptr, nullptr));
    }
    return true;
  }
  // All that has come on what it took.
  std::string seen() {
    char bytes[4096];
    for (const int one : taken_) {
      for (ssize_t got = 0; (got = recv(one, bytes, sizeof bytes, MSG_DONTWAIT)) > 0;)
        seen_.append(bytes, static_cast<std::size_t>(got));
    }
    return seen_;
  }

 private:
  int socket_, filler_ = -1;
  std::string address_, seen_;
  std::vector<int> taken_;
};

// The loop stands still meanwhile, as a machine does: alarms fall due, bytes arrive.
inline void stand_still(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

// All that the clients of a server have sent, over its connections.
inline int times_at(const RawServer& server, const std::string& what) {
  int times = 0;
  for (const auto& peer : server.peers) times += times_in(peer->seen, what);
  return times;
}

// An address that nobody else on the machine is given while the story lasts, for clients and for datagrams.
class HeldAddress {
 public:
  explicit HeldAddress(transport::Loop& reactor)
      : place_(reactor.reserve(transport::numeric_address("127.0.0.1:0"))) {}
  std::string text() const { return place_->address().toString(); }

 private:
  std::unique_ptr<transport::BoundSocket> place_;
};

// Answers each request that has come whole, and takes it from what has been seen.
inline void answer_all(RawPeer& peer) {
  const std::string end = "3\r\nask\r\n";
  for (std::size_t at = 0; (at = peer.seen.find(end)) != std::string::npos;
       peer.seen.erase(0, at + end.size()))
    peer.stream->write(peer.seen.substr(peer.seen.find("invoke ") + 7, 16) + succeeded);
}

class PlatformStory : public testing::Test {
 protected:
  std::int64_t now_ms() const { return reactor.unix_ns() / 1'000'000; }
  int times_at_servers(const std::string& what) const { return times_at(one, what) + times_at(other, what); }
  bool at_servers(const std::string& what) {
    return pump.until([&] { return times_at_servers(what) > 0; });
  }
  void servers_say(const std::string& id, const std::string& what) const {
    for (const RawServer* server : {&one, &other}) {
      for (const auto& peer : server->peers) {
        if (peer->seen.find(id) != std::string::npos) peer->stream->write(id + what);
      }
    }
  }
  bool at_server(const RawServer& server, const std::string& what) {
    return pump.until([&] { return times_at(server, what) > 0; });
  }
  // Discovery has been asked, with this line, on some connection.
  bool watching(const RawServer& place, const std::string& line) {
    return pump.until([&] {
      return std::ranges::any_of(place.peers, [&](const auto& peer) { return peer->seen == line; });
    });
  }
  bool succeeds(Visitor& visitor, int times = 1) {
    return pump.until([&] { return times_in(visitor.seen(), "Status: 200") >= times; });
  }

  transport::Loop reactor;
  Pump pump{reactor};
  Silent silent;
  RawServer one{reactor}, other{reactor}, discovery{reactor};
};

}  // namespace rushhill::node

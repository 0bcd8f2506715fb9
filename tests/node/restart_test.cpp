// How soon a router that starts is ready, and decides rightly: whatever discovery does at that moment, beside
// its earlier self that still holds the address, with thirty others, with a list of the largest size. Each
// story prints what it measured: the start of the process to the answer to /alive, and to the first request
// that a server of the list has answered.
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>

#include "crowd.h"
#include "platform_story.h"
#include "process.h"

namespace rushhill::node {
namespace {

constexpr double ready_within = 10;           // seconds; the platform's bound for nine in ten
constexpr double goal = 1;                    // seconds; ours for all, without sanitizers
constexpr std::size_t together = 30;          // routers; a tenth of a fleet of 300
constexpr std::size_t most_list = 4'000'000;  // bytes of the largest list that discovery sends
constexpr int answered_within_ms = 1'000;     // one try at /alive or a request, which then is sent anew
constexpr Time end_of_old = 100'000;  // tenths of a millisecond; far beyond what a router may take to end
#ifdef __SANITIZE_ADDRESS__
constexpr double slower = 10;  // with sanitizers and without optimization, on a machine that is shared
#else
constexpr double slower = 1;
#endif

std::string numbered_host(std::size_t number, const std::string& at) {
  const std::string digits = std::to_string(number);
  return host("s-" + std::string(8 - digits.size(), '0') + digits, at);
}
std::string largest_list(const std::string& at) {
  std::string hosts = numbered_host(0, at);
  for (std::size_t i = 1; hosts.size() + hosts.size() / i + 200 < most_list; ++i)
    hosts += "," + numbered_host(i, at);
  return hosts;
}
std::string router_configuration(const std::string& listen, const std::string& discovery,
                                 const std::string& hosts, const std::string& peers) {
  return configuration({.promise = "1000000000",
                        .cancel = "true",
                        .connect_timeout = "250000000",
                        .sockets = "256",
                        .listen = listen,
                        .peer_listen = peers,
                        .peers = "\"" + peers + "\""},
                       discovery, hosts);
}
std::string request(const std::string& id) { return ask(1, id); }
const std::string alive = get(1, "/alive");
constexpr const char* held_id = "cccccccccccccccc";  // a request that gets no answer yet

class RestartStory : public testing::Test {
 protected:
  RestartStory() {
    raise_descriptors();
    server.on_bytes = [](RawPeer& peer) { answer(peer); };
  }
  ~RestartStory() override {
    for (const std::string& path : paths) std::remove(path.c_str());
  }
  static void answer(RawPeer& peer) {
    const std::string end = "3\r\nask\r\n";
    for (std::size_t at = 0; (at = peer.seen.find(end)) != std::string::npos;
         peer.seen.erase(0, at + end.size())) {
      const std::string id = peer.seen.substr(peer.seen.find("invoke ") + 7, 16);
      if (id != held_id) peer.stream->write(id + " HIT - 2\r\nok\r\n");
    }
  }
  std::unique_ptr<Process> start(const std::string& text) {
    paths.push_back(testing::TempDir() + "restart-" + std::to_string(getpid()) + "-" +
                    std::to_string(paths.size()) + ".json");
    std::ofstream(paths.back()) << text;
    if (std::exchange(counted, true) == false) begun = reactor.now();
    return std::make_unique<Process>(
        Launch{.arguments = {"node"}, .environment = {{"PROXY_CONFIG", paths.back()}}});
  }
  std::unique_ptr<Process> start() {
    return start(router_configuration(listen, board->address(), hosts(), peers));
  }
  std::string hosts() const { return numbered_host(0, server.address()); }

  // What is measured of one start, in seconds.
  struct Start {
    double ready = -1, decided = -1;
  };
  // A client that asks, and asks again on a new connection where it got nothing, or was refused.
  class Asker {
   public:
    Asker(const std::string& to, std::string bytes) : to_(to), bytes_(std::move(bytes)) {}
    bool answered(Time now) {
      if (caller_ && caller_->seen().find("Status: 200") != std::string::npos) return true;
      const bool answered_otherwise = caller_ && caller_->seen().find("Status: ") != std::string::npos;
      if (!caller_ || answered_otherwise || caller_->closed() || now - since_ > answered_within_ms * 10) {
        caller_ = std::make_unique<Caller>(to_);
        caller_->send(bytes_);
        since_ = now;
      }
      return false;
    }

    std::string last() const { return caller_ ? caller_->seen() : "nothing"; }

   private:
    transport::Address to_;
    std::string bytes_;
    std::unique_ptr<Caller> caller_;
    Time since_ = 0;
  };
  // Of the routers at these addresses, from the first one's start.
  std::vector<Start> measure(const std::vector<std::string>& at) {
    counted = false;
    std::vector<Start> starts(at.size());
    std::vector<Asker> ready, decided;
    for (std::size_t i = 0; i < at.size(); ++i) {
      ready.emplace_back(at[i], alive);
      decided.emplace_back(at[i], request("aaaaaaaaaaaaa" + std::to_string(100 + i)));
    }
    pump.until(
        [&] {
          bool all = true;
          for (std::size_t i = 0; i < at.size(); ++i) {
            const auto so_far = [&] { return static_cast<double>(reactor.now() - begun) / 10'000; };
            if (starts[i].ready < 0 && ready[i].answered(reactor.now())) starts[i].ready = so_far();
            if (starts[i].ready >= 0 && starts[i].decided < 0 && decided[i].answered(reactor.now()))
              starts[i].decided = so_far();
            all = all && starts[i].decided >= 0;
          }
          return all;
        },
        static_cast<Time>(2 * ready_within * 10'000));
    for (std::size_t i = 0; i < at.size(); ++i) {
      EXPECT_GE(starts[i].ready, 0) << at[i] << " said last: " << ready[i].last();
      EXPECT_GE(starts[i].decided, 0) << at[i] << " said last: " << decided[i].last();
    }
    return starts;
  }
  void expect_soon(const std::vector<Start>& starts) {
    for (const auto& [name, member] :
         {std::pair("ready", &Start::ready), std::pair("decided", &Start::decided)}) {
      std::vector<double> times;
      for (const Start& one : starts) times.push_back(one.*member < 0 ? 1'000 : one.*member);
      std::ranges::sort(times);
      const double nine_in_ten = times[(times.size() * 9 + 9) / 10 - 1];
      std::cout << "    " << name << ": nine in ten " << nine_in_ten << " s, all " << times.back() << " s\n";
      EXPECT_LE(nine_in_ten, ready_within) << name;
      EXPECT_LE(times.back(), goal * slower) << name;
    }
  }

  transport::Loop reactor;
  Pump pump{reactor};
  RawServer server{reactor};
  const HeldAddress place{reactor}, board_place{reactor};
  std::unique_ptr<RawServer> board = std::make_unique<RawServer>(reactor, board_place.text());
  // Bound as a router binds it, which then hears in its stead.
  const std::unique_ptr<transport::BoundSocket> peer_place =
      reactor.open_datagrams(transport::numeric_address("127.0.0.1:0"), [](const auto&, std::string_view) {});
  const std::string listen = place.text(), peers = peer_place->address().toString();
  std::vector<std::string> paths;
  Time begun = 0;
  bool counted = false;
};

TEST_F(RestartStory, WhileDiscoveryRefuses) {
  const std::string text = router_configuration(listen, board->address(), hosts(), peers);
  board.reset();
  const auto program = start(text);
  expect_soon(measure({listen}));
}

TEST_F(RestartStory, WhileDiscoveryIsSilent) {
  const auto program = start();
  expect_soon(measure({listen}));
}

TEST_F(RestartStory, WhileDiscoveryBreaksOffEachConnection) {
  board->on_bytes = [](RawPeer& peer) { peer.stream->reset(); };
  const auto program = start();
  expect_soon(measure({listen}));
}

TEST_F(RestartStory, WhileDiscoveryDoesNotOpen) {
  const int full = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const transport::Address any = transport::numeric_address("127.0.0.1:0");
  bind(full, any.addr(), any.length());
  ::listen(full, 0);
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(full, reinterpret_cast<sockaddr*>(&at), &size);
  const std::string address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
  const Caller fills(transport::numeric_address(address));
  const auto program = start(router_configuration(listen, address, hosts(), peers));
  expect_soon(measure({listen}));
  ::close(full);
}

// Nobody is there any more where the configuration's server was: only the list, which is one line, leads to
// servers that answer.
TEST_F(RestartStory, WhileDiscoverySendsTheLargestList) {
  const HeldAddress nobody(reactor);
  const std::string gone = nobody.text();
  const std::string list = whole_list(2, largest_list(server.address()));
  board->on_bytes = [&](RawPeer& peer) {
    if (peer.seen == "watch 1\n") peer.stream->write(list);
  };
  const auto program = start(router_configuration(listen, board->address(), numbered_host(0, gone), peers));
  ASSERT_TRUE(pump.until([&] { return !board->peers.empty() && !board->peers[0]->seen.empty(); }));
  expect_soon(measure({listen}));
  EXPECT_EQ(board->peers.size(), 1U) << "it was taken the first time";
}

TEST_F(RestartStory, WithAConfigurationOfTheLargestSize) {
  const auto program =
      start(router_configuration(listen, board->address(), largest_list(server.address()), peers));
  expect_soon(measure({listen}));
}

TEST_F(RestartStory, WhileItsEarlierSelfStillEndsAtTheSameAddresses) {
  RawServer old_server(reactor);
  old_server.on_bytes = [](RawPeer& peer) { answer(peer); };
  const auto old =
      start(router_configuration(listen, board->address(), numbered_host(0, old_server.address()), peers));
  measure({listen});
  Caller waits{transport::Address(listen)};
  waits.send(request(held_id));
  ASSERT_TRUE(pump.until([&] {
    return std::ranges::any_of(old_server.peers, [](const auto& p) { return p->seen.empty() && !p->ended; });
  }));
  pump.pass(500);
  old->signal(SIGTERM);
  const auto program = start();
  const std::size_t before = server.peers.size();
  // Both may be reached there at first: it is the new one that has to answer.
  std::vector<Start> starts(1);
  EXPECT_TRUE(program->says("serving", static_cast<int>(ready_within * 1'000))) << program->said();
  starts[0].ready = static_cast<double>(reactor.now() - begun) / 10'000;
  int asked = 0;
  std::vector<std::unique_ptr<Caller>> callers;
  EXPECT_TRUE(pump.until(
      [&] {
        callers.push_back(std::make_unique<Caller>(transport::Address(listen)));
        callers.back()->send(request("aaaaaaaaaaaaa" + std::to_string(100 + ++asked)));
        pump.pass(50);
        return server.peers.size() > before;
      },
      static_cast<Time>(ready_within * 10'000)));
  starts[0].decided = static_cast<double>(reactor.now() - begun) / 10'000;
  expect_soon(starts);
  EXPECT_FALSE(old->ended()) << "it was still there";
  for (const auto& caller : callers) {
    EXPECT_TRUE(pump.until([&] { return caller->seen().find("Status: 200") != std::string::npos; }, 20'000));
  }
  EXPECT_TRUE(pump.until([&] { return old->ended(); }, end_of_old));
  EXPECT_EQ(old->wait(), 0);
}

TEST_F(RestartStory, ThirtyTogether) {
  std::vector<std::string> at;
  std::vector<HeldAddress> held;
  std::vector<std::unique_ptr<transport::BoundSocket>> peer_places;
  std::vector<std::unique_ptr<Process>> programs;
  for (std::size_t i = 0; i < together; ++i) {
    at.push_back(held.emplace_back(reactor).text());
    peer_places.push_back(reactor.open_datagrams(transport::numeric_address("127.0.0.1:0"),
                                                 [](const auto&, std::string_view) {}));
  }
  for (std::size_t i = 0; i < together; ++i)
    programs.push_back(
        start(router_configuration(at[i], board->address(), hosts(), peer_places[i]->address().toString())));
  expect_soon(measure(at));
}

}  // namespace
}  // namespace rushhill::node

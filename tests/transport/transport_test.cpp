// Timers, datagrams between routers, and what a stream does when its peer does not read.
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstddef>

#include "core/timer_queue.h"
#include "loopback.h"
#include "transport/datagram_endpoint.h"
#include "transport/listener.h"
#include "transport/loop.h"
#include "transport/peer_links.h"

namespace rushhill::transport {
namespace {

TEST(TimerQueue, RingInTheirOrderAndWithdrawnOnesNever) {
  core::TimerQueue alarms;
  std::string rung;
  alarms.add(20, [&] { rung += 'c'; });
  alarms.add(10, [&] { rung += 'a'; });
  core::Timer gone = alarms.add(10, [&] { rung += 'x'; });
  alarms.add(10, [&] {
    rung += 'b';
    alarms.add(5, [&] { rung += '!'; });  // due already
  });
  alarms.cancel(gone);
  alarms.cancel(gone);
  alarms.fire_due(15);
  EXPECT_EQ(rung, "ab!");
  EXPECT_EQ(alarms.next_deadline(), 20);
}

TEST(TimerQueue, AHundredThousandRingInTheirOrderWithoutTheWithdrawn) {
  core::TimerQueue alarms;
  std::vector<core::Timer> set;
  Time last = 0;
  int rung = 0;
  for (int i = 0; i < 100'000; ++i) {
    const Time when = 1 + (i * 7'919) % 100'003;
    set.push_back(alarms.add(when, [&, when] {
      EXPECT_LE(last, when);
      last = when;
      ++rung;
    }));
  }
  for (std::size_t i = 0; i < set.size(); i += 2) alarms.cancel(set[i]);
  for (Time now = 0; now <= 100'003; now += 100) alarms.fire_due(now);
  alarms.fire_due(100'003);
  EXPECT_EQ(rung, 50'000);
  EXPECT_EQ(alarms.count(), 0U);
}

TEST(TimerQueue, AnAlarmMayWithdrawTheOneThatWouldRingNext) {
  core::TimerQueue alarms;
  bool rung = false;
  core::Timer second;
  alarms.add(1, [&] { alarms.cancel(second); });
  second = alarms.add(1, [&] { rung = true; });
  alarms.fire_due(1);
  EXPECT_FALSE(rung);
}

TEST(NumericAddress, ANameIsNeverLookedUp) {
  EXPECT_EQ(numeric_address("127.0.0.1:80").toString(), "127.0.0.1:80");
  for (const char* bad : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:99999", ":80", "", "[::1:80"})
    EXPECT_THROW(numeric_address(bad), std::invalid_argument) << bad;
}

TEST(Peers, OnlyWhatComesFromAKnownRoutersOwnAddressIsHeard) {
  Loop reactor;
  Pump pump(reactor);
  std::vector<std::pair<int, std::string>> heard;
  const auto note = [&](int router, const std::string& bytes) { heard.emplace_back(router, bytes); };
  DatagramEndpoint stranger(reactor, numeric_address("127.0.0.1:0"), [](const Address&, std::string_view) {});
  Poco::Net::DatagramSocket first(numeric_address("127.0.0.1:0")), second(numeric_address("127.0.0.1:0"));
  const std::vector<std::string> addresses{first.address().toString(), second.address().toString()};
  PeerLinks one(reactor, "fd:" + std::to_string(dup(first.impl()->sockfd())), 0, addresses, note);
  PeerLinks two(reactor, "fd:" + std::to_string(dup(second.impl()->sockfd())), 1, addresses, note);
  two.send(-1, "box u50");
  two.send(0, std::string("with\nfeeds\0and zeros", 20));
  ASSERT_TRUE(pump.until([&] { return heard.size() == 2; }));
  EXPECT_EQ(heard[0], std::pair(1, std::string("box u50")));
  EXPECT_EQ(heard[1].second, std::string("with\nfeeds\0and zeros", 20));
  for (const std::string& forged :
       {std::string("rushhill-peer-1 1\nforged"), std::string("rushhill-peer-1 99\nx"),
        std::string("rubbish"), "rushhill-peer-1 1\n" + std::string(1000, 'x'), std::string()})
    stranger.send(numeric_address(addresses[0]), forged);
  pump.pass(300);
  EXPECT_EQ(heard.size(), 2U);
}

TEST(Stream, APeerThatDoesNotReadIsToldOfOnceItHasReadAll) {
  Loop reactor;
  Pump pump(reactor);
  RawServer server(reactor);
  struct User final : StreamHandler {
    void on_connected() override { stream->write(std::string(8'000'000, 'x')); }
    void on_data(std::string_view) override {}
    void on_write_drained() override { ++drains; }
    void on_closed(CloseReason) override {}
    std::shared_ptr<Stream> stream;
    int drains = 0;
  } user;
  user.stream = Stream::connect(reactor, numeric_address(server.address()), user);
  ASSERT_TRUE(pump.until([&] { return !server.peers.empty(); }));
  server.peers.front()->stream->set_reading(false);
  pump.pass(500);
  EXPECT_GT(user.stream->pending_bytes(), 0U);
  EXPECT_EQ(user.drains, 0);
  server.peers.front()->stream->set_reading(true);
  ASSERT_TRUE(pump.until([&] { return user.drains == 1; }));
  ASSERT_TRUE(pump.until([&] { return server.peers.front()->seen.size() == 8'000'000; }));
  user.stream->close();
}

// The system gives none, whatever the program counts: that ends the connection and not the program.
TEST(Stream, WithoutADescriptorLeftAConnectionIsRefused) {
  Loop reactor;
  Pump pump(reactor);
  RawServer server(reactor);
  // The sanitizer needs descriptors itself to look at an object of a kind that it has not met.
  RawPeer met(reactor, numeric_address(server.address()));
  ASSERT_TRUE(pump.until([&] { return server.peers.size() == 1; }));
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  const int next = dup(0);
  close(next);
  const rlimit none{static_cast<rlim_t>(next), before.rlim_max};
  setrlimit(RLIMIT_NOFILE, &none);
  std::unique_ptr<RawPeer> opened;
  EXPECT_NO_THROW(opened = std::make_unique<RawPeer>(reactor, numeric_address(server.address())));
  setrlimit(RLIMIT_NOFILE, &before);
  ASSERT_NE(opened, nullptr);
  EXPECT_TRUE(pump.until([&] { return opened->ended; }));
}

// Bytes on connections that came to us and on ones that we opened, and an alarm that is due, all stand there
// before the loop turns; many of each, so that no order by chance passes.
TEST(Turn, WhatCameToUsIsReadFirstThenWhatWeOpenedThenAlarmsRing) {
  Loop reactor;
  Pump pump(reactor);
  RawServer server(reactor);
  std::string order;
  Poco::Net::ServerSocket partner(numeric_address("127.0.0.1:0"));
  std::vector<Poco::Net::StreamSocket> callers, called;
  std::vector<std::unique_ptr<RawPeer>> opened;
  for (int i = 0; i < 8; ++i) {
    opened.push_back(std::make_unique<RawPeer>(reactor, partner.address()));
    opened.back()->on_bytes = [&] { order += 'o'; };
    called.push_back(partner.acceptConnection());
    callers.emplace_back(numeric_address(server.address()));
  }
  server.on_bytes = [&](RawPeer&) { order += 'c'; };
  ASSERT_TRUE(pump.until([&] { return server.peers.size() == 8; }));
  pump.pass(200);
  for (int i = 0; i < 8; ++i) {
    called[static_cast<std::size_t>(i)].sendBytes("x", 1);
    callers[static_cast<std::size_t>(i)].sendBytes("x", 1);
  }
  const Time due = reactor.now() + 1;  // not yet rung by the turn that stands still now
  reactor.at(due, [&] { order += 'a'; });
  while (reactor.now() <= due + 10) {}
  ASSERT_TRUE(pump.until([&] { return order.size() == 17; }));
  EXPECT_EQ(order, "ccccccccooooooooa");
}

// More connections can be read than the system tells of at once.
TEST(Turn, HoweverManyCameToUsAllAreReadBeforeWhatWeOpened) {
  constexpr int many = 1'500;  // the system tells of 1,024
  Loop reactor;
  Pump pump(reactor);
  RawServer server(reactor);
  std::string order;
  Poco::Net::ServerSocket partner(numeric_address("127.0.0.1:0"));
  std::vector<std::unique_ptr<Visitor>> callers;
  RawPeer opened(reactor, partner.address());
  opened.on_bytes = [&] { order += 'o'; };
  Poco::Net::StreamSocket called = partner.acceptConnection();
  for (int i = 0; i < many; ++i)
    callers.push_back(std::make_unique<Visitor>(numeric_address(server.address())));
  server.on_bytes = [&](RawPeer&) { order += 'c'; };
  ASSERT_TRUE(pump.until([&] { return server.peers.size() == many; }));
  pump.pass(200);
  called.sendBytes("x", 1);
  for (const auto& caller : callers) caller->send("x");
  ASSERT_TRUE(pump.until([&] { return order.size() == many + 1; }));
  EXPECT_EQ(order.find('o'), static_cast<std::size_t>(many));
}

// From here on this process gets no socket more, as where no descriptor is left. (With none left in truth the
// sanitizers, which need some now and then, end the story.)
bool no_socket_is_left() {
  constexpr auto none = static_cast<unsigned>(SECCOMP_RET_ERRNO | EMFILE);
  constexpr auto number = static_cast<unsigned>(offsetof(seccomp_data, nr));
  std::array<sock_filter, 5> steps{
      {BPF_STMT(BPF_LD | BPF_W | BPF_ABS, number), BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_socket, 1, 0),
       BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_accept4, 0, 1), BPF_STMT(BPF_RET | BPF_K, none),
       BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW)}};
  sock_fprog program{static_cast<unsigned short>(steps.size()), steps.data()};
  return prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) == 0 &&
         prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &program) == 0;
}
constexpr Time looked_at_for = 2'000;  // tenths of a millisecond
constexpr int turns_at_rest = 100;     // in that time; a rest lasts 10 ms, spinning makes many thousands
constexpr int as_it_should_be = 17;    // how the child ends

int connect_without_a_descriptor() {
  Loop reactor;
  struct User final : StreamHandler {
    void on_data(std::string_view) override {}
    void on_closed(CloseReason why) override { ways.push_back(why); }
    std::vector<CloseReason> ways;
  } user;
  if (!no_socket_is_left()) return 1;
  const auto stream = Stream::connect(reactor, numeric_address("127.0.0.1:9"), user);
  stream->write("x");
  if (!user.ways.empty()) return 2;  // never from within the call
  reactor.at(reactor.now() + looked_at_for, [&] { reactor.halt(); });
  reactor.run();
  return user.ways == std::vector{CloseReason::not_started} && stream->closed() ? as_it_should_be : 3;
}
int listen_without_a_descriptor() {
  Loop reactor;
  int came = 0, turns = 0;
  Listener listener(reactor, numeric_address("127.0.0.1:0"), false,
                    [&](const PendingConnection&) { ++came; });
  Poco::Net::StreamSocket caller(listener.address());
  if (!no_socket_is_left()) return 1;
  reactor.every_turn([&] { ++turns; });
  reactor.at(reactor.now() + looked_at_for, [&] { reactor.halt(); });
  reactor.run();
  if (came != 0) return 2;
  return turns < turns_at_rest ? as_it_should_be : 3;
}

TEST(DescriptorsDeathTest, WithNoneLeftAConnectionIsLostAsNeverBegun) {
  EXPECT_EXIT(_exit(connect_without_a_descriptor()), testing::ExitedWithCode(as_it_should_be), "");
}
TEST(DescriptorsDeathTest, WithNoneLeftAListenerRests) {
  EXPECT_EXIT(_exit(listen_without_a_descriptor()), testing::ExitedWithCode(as_it_should_be), "");
}

// Room is asked for once for each that is taken, and what finds none waits.
TEST(Listener, TakesOnlyWhereThereIsRoomAndTheRestOnceThereIs) {
  Loop reactor;
  Pump pump(reactor);
  int came = 0, room = 2;
  Listener listener(reactor, numeric_address("127.0.0.1:0"), false,
                    [&](const PendingConnection&) { ++came; });
  listener.accept_while([&] { return room > 0 && room-- > 0; });
  std::vector<Poco::Net::StreamSocket> callers;
  for (int i = 0; i < 3; ++i) callers.emplace_back(listener.address());
  ASSERT_TRUE(pump.until([&] { return came == 2; }));
  pump.pass(500);
  EXPECT_EQ(came, 2);
  room = 5;
  ASSERT_TRUE(pump.until([&] { return came == 3; }));
  pump.pass(500);
  EXPECT_EQ(room, 4) << "no room is made for nobody";
}

TEST(PumpStory, ALoopThatNeverHadATurnEndsToo) {
  Loop reactor;
  const Pump pump{reactor};
}

}  // namespace
}  // namespace rushhill::transport

// The order in which the loop serves what is ready.
#include "transport/loop.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include "loopback.h"

namespace rushhill::transport {
namespace {

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

TEST(PumpStory, ALoopThatNeverHadATurnEndsToo) {
  Loop reactor;
  const Pump pump{reactor};
}

}  // namespace
}  // namespace rushhill::transport

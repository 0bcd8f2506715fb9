// The simulated links between routers: what goes in at one end comes out of the other, or does not.
#include "simulation/links.h"

#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "emulator/network.h"
#include "transport/listener.h"

namespace rushhill::simulation {
namespace {

using transport::Stream;

struct Peer final : transport::StreamHandler {
  void on_data(std::string_view bytes) override { received += bytes; }
  void on_closed(transport::CloseReason) override { closed = true; }
  std::shared_ptr<Stream> stream{};
  std::string received{};
  bool closed = false;
};

// Router 0 has connected to router 1.
struct LinksTest : testing::Test {
  LinksTest() {
    day.routers = 2;
    for (auto& replica : replicas) replica = network.reserve(transport::numeric_address("127.0.0.1:0"));
    listener = std::make_unique<transport::Listener>(
        network, replicas[1]->address(), true, [this](const transport::PendingConnection& pending) {
          accepted.push_back(std::make_unique<Peer>());
          accepted.back()->stream = Stream::adopt(network, pending, *accepted.back());
        });
    links = std::make_unique<Links>(
        network, day, std::vector<transport::Address>{replicas[0]->address(), replicas[1]->address()});
  }
  ~LinksTest() override {
    if (caller.stream) caller.stream->close();
    for (const auto& peer : accepted) peer->stream->close();
  }
  void connect() {
    caller.stream = Stream::connect(network, links->address(0, 1), caller);
    pass(100);
  }
  void pass(Time span) { network.run_until(network.now() + span); }
  void set_fault(FaultKind kind, bool active, double size = 1, int router = 0) {
    links->set_fault({.kind = kind, .size = size, .router = router}, active);
  }

  Day day;
  emulator::Network network{1};
  std::array<std::unique_ptr<transport::BoundSocket>, 2> replicas;
  std::unique_ptr<transport::Listener> listener;
  std::unique_ptr<Links> links;
  Peer caller;
  std::vector<std::unique_ptr<Peer>> accepted;
};

TEST_F(LinksTest, BytesHeldByADroppedLinkComeInOrderWhenItIsBack) {
  connect();
  caller.stream->write("one ");
  pass(100);
  set_fault(FaultKind::link_drop, true);
  caller.stream->write("two ");
  accepted.at(0)->stream->write("back");
  pass(30'000);
  EXPECT_EQ(accepted.at(0)->received, "one ");
  EXPECT_EQ(caller.received, "");
  set_fault(FaultKind::link_drop, false);
  caller.stream->write("three");
  pass(100);
  EXPECT_EQ(accepted.at(0)->received, "one two three");
  EXPECT_EQ(caller.received, "back");
}

TEST_F(LinksTest, OneWayDropHoldsOnlyWhatTheFirstSends) {
  connect();
  set_fault(FaultKind::link_one_way, true);
  caller.stream->write("there");
  accepted.at(0)->stream->write("back");
  pass(10'000);
  EXPECT_EQ(accepted.at(0)->received, "");
  EXPECT_EQ(caller.received, "back");
}

TEST_F(LinksTest, DelayThrottleGarblingAndDuplicationTakeEffect) {
  connect();
  set_fault(FaultKind::link_delay, true, 200);
  caller.stream->write("slow");
  pass(1'900);
  EXPECT_EQ(accepted.at(0)->received, "");
  pass(300);
  EXPECT_EQ(accepted.at(0)->received, "slow");
  set_fault(FaultKind::link_delay, false);
  set_fault(FaultKind::link_throttle, true, 1'000);  // bytes a second
  caller.stream->write(std::string(2'000, 'x'));
  pass(10'000);
  EXPECT_NEAR(static_cast<double>(accepted.at(0)->received.size()), 1'000, 100);
  set_fault(FaultKind::link_throttle, false);
  pass(100);
  accepted.at(0)->received.clear();
  set_fault(FaultKind::link_garble, true);
  const std::string text(200, 'y');
  for (int i = 0; i < 40; ++i) {
    caller.stream->write(text);
    pass(10);
  }
  EXPECT_EQ(accepted.at(0)->received.size(), 40 * text.size());
  EXPECT_NE(accepted.at(0)->received.find_first_not_of('y'), std::string::npos);
  set_fault(FaultKind::link_garble, false);
  set_fault(FaultKind::link_twice, true);
  Peer again;
  again.stream = Stream::connect(network, links->address(0, 1), again);
  pass(100);
  again.stream->write("both");
  pass(100);
  ASSERT_EQ(accepted.size(), 3U);
  EXPECT_EQ(accepted.at(1)->received, "both");
  EXPECT_EQ(accepted.at(2)->received, "both");
  again.stream->close();
}

TEST_F(LinksTest, CutConnectionIsResetAndTheNextOnePasses) {
  connect();
  set_fault(FaultKind::link_cut, true);
  caller.stream->write("cut in the midst");
  pass(100);
  EXPECT_TRUE(caller.closed);
  EXPECT_LT(accepted.at(0)->received.size(), 16U);
  EXPECT_TRUE(accepted.at(0)->closed);
  EXPECT_EQ(links->connections(), 0U);
  set_fault(FaultKind::link_cut, false);
  Peer next;
  next.stream = Stream::connect(network, links->address(0, 1), next);
  pass(100);
  next.stream->write("whole");
  pass(100);
  EXPECT_EQ(accepted.at(1)->received, "whole");
  next.stream->close();
}

}  // namespace
}  // namespace rushhill::simulation

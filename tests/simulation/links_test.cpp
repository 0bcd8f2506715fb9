// The stand-in for ways between routers: what goes in one end comes out of the other, or does not.
#include "simulation/links.h"

#include <gtest/gtest.h>

#include "emulator/network.h"
#include "transport/listener.h"

namespace rushhill::simulation {
namespace {

using transport::Stream;

struct End final : transport::StreamHandler {
  void on_data(std::string_view bytes) override { heard += bytes; }
  void on_closed(transport::CloseReason) override { gone = true; }
  std::shared_ptr<Stream> stream{};
  std::string heard{};
  bool gone = false;
};

// Router 0 has dialled router 1.
struct LinksStory : testing::Test {
  LinksStory() {
    day.routers = 2;
    for (auto& place : copies) place = network.reserve(transport::numeric_address("127.0.0.1:0"));
    listener = std::make_unique<transport::Listener>(
        network, copies[1]->address(), true, [this](const transport::PendingConnection& arrival) {
          ends.push_back(std::make_unique<End>());
          ends.back()->stream = Stream::adopt(network, arrival, *ends.back());
        });
    links = std::make_unique<Links>(
        network, day, std::vector<transport::Address>{copies[0]->address(), copies[1]->address()});
  }
  ~LinksStory() override {
    if (dialler.stream) dialler.stream->close();
    for (const auto& end : ends) end->stream->close();
  }
  void dial() {
    dialler.stream = Stream::connect(network, links->address(0, 1), dialler);
    pass(100);
  }
  void pass(Time span) { network.run_until(network.now() + span); }
  void ail(FaultKind kind, bool begins, double size = 1, int router = 0) {
    links->set_fault({.kind = kind, .size = size, .router = router}, begins);
  }

  Day day;
  emulator::Network network{1};
  std::array<std::unique_ptr<transport::BoundSocket>, 2> copies;
  std::unique_ptr<transport::Listener> listener;
  std::unique_ptr<Links> links;
  End dialler;
  std::vector<std::unique_ptr<End>> ends;
};

TEST_F(LinksStory, WhatWaitsBehindADroppedWayComesWhenItIsBackInOrder) {
  dial();
  dialler.stream->write("one ");
  pass(100);
  ail(FaultKind::link_drop, true);
  dialler.stream->write("two ");
  ends.at(0)->stream->write("back");
  pass(30'000);
  EXPECT_EQ(ends.at(0)->heard, "one ");
  EXPECT_EQ(dialler.heard, "");
  ail(FaultKind::link_drop, false);
  dialler.stream->write("three");
  pass(100);
  EXPECT_EQ(ends.at(0)->heard, "one two three");
  EXPECT_EQ(dialler.heard, "back");
}

TEST_F(LinksStory, OneWayHoldsOnlyWhatTheFirstSends) {
  dial();
  ail(FaultKind::link_one_way, true);
  dialler.stream->write("there");
  ends.at(0)->stream->write("back");
  pass(10'000);
  EXPECT_EQ(ends.at(0)->heard, "");
  EXPECT_EQ(dialler.heard, "back");
}

TEST_F(LinksStory, DelayedThrottledChangedAndDoubledEachShow) {
  dial();
  ail(FaultKind::link_delay, true, 200);
  dialler.stream->write("slow");
  pass(1'900);
  EXPECT_EQ(ends.at(0)->heard, "");
  pass(300);
  EXPECT_EQ(ends.at(0)->heard, "slow");
  ail(FaultKind::link_delay, false);
  ail(FaultKind::link_throttle, true, 1'000);  // bytes a second
  dialler.stream->write(std::string(2'000, 'x'));
  pass(10'000);
  EXPECT_NEAR(static_cast<double>(ends.at(0)->heard.size()), 1'000, 100);
  ail(FaultKind::link_throttle, false);
  pass(100);
  ends.at(0)->heard.clear();
  ail(FaultKind::link_garble, true);
  const std::string text(200, 'y');
  for (int i = 0; i < 40; ++i) dialler.stream->write(text), pass(10);
  EXPECT_EQ(ends.at(0)->heard.size(), 40 * text.size());
  EXPECT_NE(ends.at(0)->heard.find_first_not_of('y'), std::string::npos);
  ail(FaultKind::link_garble, false);
  ail(FaultKind::link_twice, true);
  End again;
  again.stream = Stream::connect(network, links->address(0, 1), again);
  pass(100);
  again.stream->write("both");
  pass(100);
  ASSERT_EQ(ends.size(), 3U);
  EXPECT_EQ(ends.at(1)->heard, "both");
  EXPECT_EQ(ends.at(2)->heard, "both");
  again.stream->close();
}

TEST_F(LinksStory, ACutComesInTheMidstAndTheNextConnectionPasses) {
  dial();
  ail(FaultKind::link_cut, true);
  dialler.stream->write("cut in the midst");
  pass(100);
  EXPECT_TRUE(dialler.gone);
  EXPECT_LT(ends.at(0)->heard.size(), 16U);
  EXPECT_TRUE(ends.at(0)->gone);
  EXPECT_EQ(links->connections(), 0U);
  ail(FaultKind::link_cut, false);
  End next;
  next.stream = Stream::connect(network, links->address(0, 1), next);
  pass(100);
  next.stream->write("whole");
  pass(100);
  EXPECT_EQ(ends.at(1)->heard, "whole");
  next.stream->close();
}

}  // namespace
}  // namespace rushhill::simulation

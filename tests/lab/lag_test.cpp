// What the lag's measurement finds, and the losses that it is measured under.
#include "lab/lag.h"

#include <gtest/gtest.h>

#include "emulator/network.h"
#include "transport/listener.h"

namespace rushhill::lab {
namespace {

TEST(LagStory, EveryWordComesToAllAndLossesMakeItLateAndTheSameEveryTime) {
  const Lag plain = measure_lag({.routers = 20, .words = 30});
  const Lag lossy = measure_lag({.routers = 20, .words = 30, .loss = 0.3});
  const Lag again = measure_lag({.routers = 20, .words = 30, .loss = 0.3});
  EXPECT_EQ(plain.never + lossy.never, 0);
  ASSERT_EQ(plain.last.size(), 30U);
  EXPECT_LT(plain.last.back(), 1'000) << "a few hops of at most 10 ms and a half";
  EXPECT_GT(lossy.last.back(), plain.last.back());
  EXPECT_EQ(lossy.last, again.last);
  EXPECT_LE(plain.most_ways, 10U) << "twice the logarithm";
}

struct Heard final : transport::StreamHandler {
  void on_data(std::string_view came) override { bytes += came; }
  void on_closed(transport::CloseReason) override {}
  std::string bytes;
  std::shared_ptr<transport::Stream> stream;
};

TEST(LagStory, WhatIsLostComesLateInOrderAndWhole) {
  emulator::Network network(5);
  network.lose(0.5, 2'000, 3);
  Heard caller, called;
  const transport::Listener listener(network, transport::numeric_address("127.0.0.1:0"), true,
                                     [&](const transport::PendingConnection& arrival) {
                                       called.stream = transport::Stream::adopt(network, arrival, called);
                                     });
  caller.stream = transport::Stream::connect(network, listener.address(), caller);
  network.run_until(network.now() + 100'000);
  std::string all;
  const Time start = network.now();
  for (int i = 0; i < 50; ++i) {
    const std::string part = std::to_string(i) + " ";
    caller.stream->write(part);
    all += part;
    network.run_until(network.now() + 1);
  }
  EXPECT_LT(called.bytes.size(), all.size());
  network.run_until(start + 2'000'000);
  EXPECT_EQ(called.bytes, all);
  caller.stream->close();
  called.stream->close();
}

}  // namespace
}  // namespace rushhill::lab

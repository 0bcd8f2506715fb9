// Checks that a listener stops accepting while there is no capacity and continues afterwards.
#include <Poco/Net/StreamSocket.h>

#include "loopback.h"
#include "transport/listener.h"
#include "transport/loop.h"

namespace rushhill::transport {
namespace {

// The predicate reserves capacity, so it must be called once per accepted connection. The third connection
// stays in the queue until there is capacity.
TEST(Listener, AcceptsOnlyWithCapacityAndTheRestLater) {
  Loop reactor;
  EventLoopDriver pump(reactor);
  int accepted = 0, capacity = 2;
  Listener listener(reactor, numeric_address("127.0.0.1:0"), false,
                    [&](const PendingConnection&) { ++accepted; });
  listener.accept_while([&] { return capacity > 0 && capacity-- > 0; });
  std::vector<Poco::Net::StreamSocket> clients;
  for (int i = 0; i < 3; ++i) clients.emplace_back(listener.address());
  ASSERT_TRUE(pump.until([&] { return accepted == 2; }));
  pump.pass(500);
  EXPECT_EQ(accepted, 2);
  capacity = 5;
  ASSERT_TRUE(pump.until([&] { return accepted == 3; }));
  pump.pass(500);
  EXPECT_EQ(capacity, 4) << "capacity must be reserved only if a connection is in the queue";
}

}  // namespace
}  // namespace rushhill::transport

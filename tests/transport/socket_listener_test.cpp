// Listeners that may not accept for a while.
#include <Poco/Net/StreamSocket.h>

#include "loopback.h"
#include "transport/listener.h"
#include "transport/loop.h"

namespace rushhill::transport {
namespace {

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

}  // namespace
}  // namespace rushhill::transport

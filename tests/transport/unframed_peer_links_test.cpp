// Checks that datagrams without a header are attributed to the router with the sender's address, and that
// datagrams from other addresses are ignored.
#include "transport/unframed_peer_links.h"

#include <gtest/gtest.h>

#include "emulator/network.h"

namespace rushhill::transport {
namespace {

struct ReceivedMessage {
  int router = 0;
  std::string bytes;
  bool operator==(const ReceivedMessage&) const = default;
};

class UnframedPeerLinksTest : public testing::Test {
 protected:
  std::unique_ptr<UnframedPeerLinks> make_peer(int number, const std::string& listen) {
    return std::make_unique<UnframedPeerLinks>(network, numeric_address(listen), number, addresses, "",
                                               [this, number](int from, const std::string& bytes) {
                                                 if (number == 1) received.push_back({from, bytes});
                                               });
  }
  void deliver_messages() { network.run_until(network.now() + 100); }

  emulator::Network network{1};
  std::vector<std::string> addresses{"127.0.0.1:7000", "127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7000"};
  std::vector<ReceivedMessage> received;
  std::unique_ptr<UnframedPeerLinks> router_zero = make_peer(0, "127.0.0.1:7000"),
                                     router_one = make_peer(1, "127.0.0.1:7001"),
                                     router_two = make_peer(2, "127.0.0.1:7002"),
                                     stranger = make_peer(9, "127.0.0.1:7009");
};

TEST_F(UnframedPeerLinksTest, IdentifiesSendersByAddressAndTheLowestNumberWins) {
  router_two->send(-1, "from two");
  router_zero->send(1, "from nought");
  deliver_messages();
  EXPECT_EQ(received, (std::vector<ReceivedMessage>{{2, "from two"}, {0, "from nought"}}));
}

TEST_F(UnframedPeerLinksTest, IgnoresUnknownSendersItselfAndOverlongMessages) {
  stranger->send(1, "who is that");
  router_one->send(1, "myself");
  router_zero->send(1, std::string(257, 'x'));
  deliver_messages();
  EXPECT_TRUE(received.empty());
}

}  // namespace
}  // namespace rushhill::transport

// Datagrams between routers: who sent one is told by its address, and nobody else is heard.
#include "transport/bare_peers.h"

#include <gtest/gtest.h>

#include "emulator/network.h"

namespace rushhill::transport {
namespace {

struct Heard {
  int router = 0;
  std::string bytes;
  bool operator==(const Heard&) const = default;
};

class PeersStory : public testing::Test {
 protected:
  std::unique_ptr<BarePeers> peer(int number, const std::string& listen) {
    return std::make_unique<BarePeers>(network, numeric_address(listen), number, addresses, "",
                                       [this, number](int from, const std::string& bytes) {
                                         if (number == 1) heard.push_back({from, bytes});
                                       });
  }
  void pass() { network.run_until(network.now() + 100); }

  emulator::Network network{1};
  std::vector<std::string> addresses{"127.0.0.1:7000", "127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7000"};
  std::vector<Heard> heard;
  std::unique_ptr<BarePeers> zero = peer(0, "127.0.0.1:7000"), one = peer(1, "127.0.0.1:7001"),
                             two = peer(2, "127.0.0.1:7002"), stranger = peer(9, "127.0.0.1:7009");
};

TEST_F(PeersStory, EachIsKnownByItsAddressAndTheFirstOfTwoAlikeCounts) {
  two->send(-1, "from two");
  zero->send(1, "from nought");
  pass();
  EXPECT_EQ(heard, (std::vector<Heard>{{2, "from two"}, {0, "from nought"}}));
}

TEST_F(PeersStory, StrangersOnesOwnAndWhatIsTooLongAreNotHeard) {
  stranger->send(1, "who is that");
  one->send(1, "myself");
  zero->send(1, std::string(257, 'x'));
  pass();
  EXPECT_TRUE(heard.empty());
}

}  // namespace
}  // namespace rushhill::transport

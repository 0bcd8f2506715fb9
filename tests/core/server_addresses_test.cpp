// Which addresses a server list changes.
#include "core/server_addresses.h"

#include <gtest/gtest.h>

namespace rushhill::core {
namespace {

using Map = ServerAddresses::Map;

class ServerAddressesTest : public testing::Test {
 protected:
  void SetUp() override {
    addresses.set("a", "127.0.0.1:1");
    addresses.set("b", "127.0.0.1:2");
  }
  ServerAddresses addresses;
};

TEST_F(ServerAddressesTest, ChangesSpeakOnlyOfTheServersTheyName) {
  EXPECT_EQ(addresses.listed(RosterForm::changes, {{{.id = "b"}, "127.0.0.1:3"}}),
            (Map{{"b", "127.0.0.1:3"}}));
  EXPECT_TRUE(addresses.listed(RosterForm::failed, {}).empty());
}

TEST_F(ServerAddressesTest, AWholeListMakesTheServersItLeavesOutUnreachable) {
  const Map expected{{"a", ""}, {"b", "127.0.0.1:2"}};
  EXPECT_EQ(addresses.listed(RosterForm::complete, {{{.id = "b"}, "127.0.0.1:2"}}), expected);
  EXPECT_EQ(addresses.listed(RosterForm::remembered, {{{.id = "b"}, "127.0.0.1:2"}}), expected);
}

TEST_F(ServerAddressesTest, AServerThatHasLeftIsUnreachableWhateverAddressIsGiven) {
  const std::vector<RosterEntry> entries{{{.id = "a", .condition = Condition::left}, "127.0.0.1:1"},
                                         {{.id = "b", .condition = Condition::leaving}, "127.0.0.1:2"}};
  EXPECT_EQ(addresses.listed(RosterForm::changes, entries), (Map{{"a", ""}, {"b", "127.0.0.1:2"}}));
}

TEST_F(ServerAddressesTest, OnlyAnAddressThatDiffersIsAChange) {
  EXPECT_FALSE(addresses.set("a", "127.0.0.1:1"));
  EXPECT_TRUE(addresses.set("a", "127.0.0.1:9"));
  EXPECT_TRUE(addresses.set("a", ""));
  EXPECT_FALSE(addresses.set("a", "")) << "forgotten already";
  EXPECT_FALSE(addresses.set("never seen", ""));
  EXPECT_EQ(addresses.listed(RosterForm::complete, {}), (Map{{"b", ""}}));
}

}  // namespace
}  // namespace rushhill::core

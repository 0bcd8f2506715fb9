// Guards against stale endpoint addresses: checks which addresses each form of endpoint list changes.
#include "core/endpoint_addresses.h"

#include <gtest/gtest.h>

namespace rushhill::core {
namespace {

using Map = EndpointAddresses::Map;

class EndpointAddressesTest : public testing::Test {
 protected:
  void SetUp() override {
    addresses.set("a", "127.0.0.1:1");
    addresses.set("b", "127.0.0.1:2");
  }
  EndpointAddresses addresses;
};

TEST_F(EndpointAddressesTest, DeltaAffectsOnlyTheListedEndpoints) {
  EXPECT_EQ(addresses.updates_from(EndpointListForm::delta, {{{.id = "b"}, "127.0.0.1:3"}}),
            (Map{{"b", "127.0.0.1:3"}}));
  EXPECT_TRUE(addresses.updates_from(EndpointListForm::failed, {}).empty());
}

TEST_F(EndpointAddressesTest, CompleteListMakesMissingEndpointsUnreachable) {
  const Map expected{{"a", ""}, {"b", "127.0.0.1:2"}};
  EXPECT_EQ(addresses.updates_from(EndpointListForm::complete, {{{.id = "b"}, "127.0.0.1:2"}}), expected);
  EXPECT_EQ(addresses.updates_from(EndpointListForm::cached, {{{.id = "b"}, "127.0.0.1:2"}}), expected);
}

TEST_F(EndpointAddressesTest, RemovedEndpointIsUnreachableEvenWithAnAddress) {
  const std::vector<EndpointListEntry> entries{
      {{.id = "a", .state = EndpointState::removed}, "127.0.0.1:1"},
      {{.id = "b", .state = EndpointState::draining}, "127.0.0.1:2"}};
  EXPECT_EQ(addresses.updates_from(EndpointListForm::delta, entries), (Map{{"a", ""}, {"b", "127.0.0.1:2"}}));
}

TEST_F(EndpointAddressesTest, ReportsOnlyADifferentAddressAsAChange) {
  EXPECT_FALSE(addresses.set("a", "127.0.0.1:1"));
  EXPECT_TRUE(addresses.set("a", "127.0.0.1:9"));
  EXPECT_TRUE(addresses.set("a", ""));
  EXPECT_FALSE(addresses.set("a", "")) << "the address is already removed";
  EXPECT_FALSE(addresses.set("never seen", ""));
  EXPECT_EQ(addresses.updates_from(EndpointListForm::complete, {}), (Map{{"b", ""}}));
}

}  // namespace
}  // namespace rushhill::core

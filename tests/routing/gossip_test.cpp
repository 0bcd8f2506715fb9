#include "routing/gossip.h"

#include <gtest/gtest.h>

namespace rushhill::routing {
namespace {

TEST(Gossip, EncodingEqualsThatOfEarlierVersions) {
  EXPECT_EQ(encode(EndpointDied{"box-1"}), "box-1");
  EXPECT_EQ(encode(ConnectionLost{"box-1"}), "box-1 c");
  EXPECT_EQ(encode(UtilizationReported{"box-1", 0.426}), "box-1 u43");
}

TEST(Gossip, DecodesAnEncodedDeath) {
  const GossipMessage message = decode(encode(EndpointDied{"box-1"}));
  ASSERT_TRUE(std::holds_alternative<EndpointDied>(message));
  EXPECT_EQ(endpoint_of(message), "box-1");
}

TEST(Gossip, DecodesAnEncodedLostConnection) {
  const GossipMessage message = decode(encode(ConnectionLost{"box-1"}));
  ASSERT_TRUE(std::holds_alternative<ConnectionLost>(message));
  EXPECT_EQ(endpoint_of(message), "box-1");
}

TEST(Gossip, DecodesAnEncodedUtilizationInWholePercent) {
  const GossipMessage message = decode(encode(UtilizationReported{"box-1", 1.234}));
  ASSERT_TRUE(std::holds_alternative<UtilizationReported>(message));
  EXPECT_EQ(endpoint_of(message), "box-1");
  EXPECT_DOUBLE_EQ(std::get<UtilizationReported>(message).utilization, 1.23);
}

TEST(Gossip, MalformedMessageIsDecodedWithoutFailing) {
  EXPECT_EQ(endpoint_of(decode("")), "");
  EXPECT_EQ(endpoint_of(decode(" ")), "");
  EXPECT_TRUE(std::holds_alternative<ConnectionLost>(decode("box-1 ")));
  const GossipMessage without_number = decode("box-1 uxyz");
  ASSERT_TRUE(std::holds_alternative<UtilizationReported>(without_number));
  EXPECT_EQ(std::get<UtilizationReported>(without_number).utilization, 0);
}

}  // namespace
}  // namespace rushhill::routing

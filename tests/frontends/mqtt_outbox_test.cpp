// What is published is kept until the broker has it.
#include "frontends/mqtt_outbox.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace rushhill::frontends {
namespace {

using mqtt::Packet;

TEST(MqttOutboxTest, IdentifiersStartAboveTheSubscriptionsAndLeaveOutThoseInUse) {
  MqttOutbox outbox(10);
  EXPECT_EQ(outbox.add({.topic = "kept"}).id, mqtt_subscription_id + 1);
  for (int i = 0; i < 0x1'0000; ++i) {
    const Packet& packet = outbox.add({.topic = "gone"});
    ASSERT_GT(packet.id, mqtt_subscription_id + 1);
    ASSERT_EQ(packet.qos, 1);
    outbox.acknowledged(packet.id);
  }
  EXPECT_EQ(outbox.for_resending(true).size(), 1U);
}

TEST(MqttOutboxTest, WhatIsNotAcknowledgedIsResentAsADuplicateWhereTheSessionStands) {
  MqttOutbox outbox(10);
  const std::uint16_t first = outbox.add({.topic = "first"}).id;
  outbox.add({.topic = "second"});
  outbox.acknowledged(first);
  ASSERT_EQ(outbox.for_resending(true).size(), 1U);
  EXPECT_EQ(outbox.for_resending(true).begin()->second.topic, "second");
  EXPECT_TRUE(outbox.for_resending(true).begin()->second.dup);
  EXPECT_FALSE(outbox.for_resending(false).begin()->second.dup);
}

TEST(MqttOutboxTest, BeyondTheLimitTheLowestIdentifierGoes) {
  MqttOutbox outbox(2);
  for (const char* topic : {"first", "second", "third"}) outbox.add({.topic = topic});
  std::set<std::string> topics;
  for (const auto& [id, packet] : outbox.for_resending(true)) topics.insert(packet.topic);
  EXPECT_EQ(topics, (std::set<std::string>{"second", "third"}));
}

}  // namespace
}  // namespace rushhill::frontends

// What is published until the broker has it, and the answers that are kept for repeats.
#include "frontends/mqtt_outbox.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

#include "frontends/mqtt_answer.h"

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

TEST(MqttAnswerCacheTest, BeyondTheLimitTheOldestGoes) {
  MqttAnswerCache cache(2);
  for (const char* key : {"a", "b", "c"}) cache.store(key, {.topic = key});
  EXPECT_EQ(cache.find("a"), nullptr);
  ASSERT_NE(cache.find("b"), nullptr);
  EXPECT_EQ(cache.find("c")->topic, "c");
}

TEST(MqttAnswerTest, AReplyCarriesItsAttributesAsUserProperties) {
  events::CloudEvent reply{.id = "r", .source = "/s", .type = "t", .others = {{"subject", "x"}}, .data = "d"};
  const Packet answer = to_answer("answers", {.outcome = admission::Outcome::honoured, .reply = reply});
  EXPECT_EQ(answer.topic, "answers");
  EXPECT_EQ(answer.payload, "d");
  EXPECT_EQ(answer.properties.content_type, "application/octet-stream");
  EXPECT_EQ(answer.properties.user,
            (std::vector<std::pair<std::string, std::string>>{
                {"subject", "x"}, {"specversion", "1.0"}, {"id", "r"}, {"source", "/s"}, {"type", "t"}}));
}

TEST(MqttAnswerTest, AProblemTellsWhetherToRepeatAndWhen) {
  const Packet shed = to_answer("answers", {.outcome = admission::Outcome::shed, .retry_after = 11});
  EXPECT_EQ(shed.properties.content_type, "application/problem+json");
  EXPECT_EQ(shed.payload, R"({"harmless_to_repeat":true,"outcome":"shed","retry_after_ms":2,)"
                          R"("type":"urn:rushhill:problem:shed"})");
  EXPECT_EQ(to_answer("answers", {.outcome = admission::Outcome::abandoned}).payload,
            R"({"harmless_to_repeat":false,"outcome":"abandoned","type":"urn:rushhill:problem:abandoned"})");
}

}  // namespace
}  // namespace rushhill::frontends

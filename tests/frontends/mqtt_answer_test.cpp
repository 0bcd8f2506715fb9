// Outcomes as MQTT answers, and the answers that are kept for repeats.
#include "frontends/mqtt_answer.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace rushhill::frontends {
namespace {

using mqtt::Packet;

TEST(MqttAnswerCacheTest, BeyondTheLimitTheOldestGoes) {
  MqttAnswerCache cache(2);
  for (const char* key : {"a", "b", "c"}) cache.store(key, {.topic = key});
  EXPECT_EQ(cache.find("a"), nullptr);
  ASSERT_NE(cache.find("b"), nullptr);
  EXPECT_EQ(cache.find("c")->topic, "c");
}

TEST(MqttAnswerTest, AReplyCarriesItsAttributesAsUserProperties) {
  events::CloudEvent reply{.id = "r", .source = "/s", .type = "t", .others = {{"subject", "x"}}, .data = "d"};
  const Packet answer = to_answer("answers", {.outcome = admission::Outcome::succeeded, .reply = reply});
  EXPECT_EQ(answer.topic, "answers");
  EXPECT_EQ(answer.payload, "d");
  EXPECT_EQ(answer.properties.content_type, "application/octet-stream");
  EXPECT_EQ(answer.properties.user,
            (std::vector<std::pair<std::string, std::string>>{
                {"subject", "x"}, {"specversion", "1.0"}, {"id", "r"}, {"source", "/s"}, {"type", "t"}}));
}

TEST(MqttAnswerTest, AProblemTellsWhetherToRepeatAndWhen) {
  const Packet shed = to_answer("answers", {.outcome = admission::Outcome::rejected, .retry_after = 11});
  EXPECT_EQ(shed.properties.content_type, "application/problem+json");
  EXPECT_EQ(shed.payload, R"({"harmless_to_repeat":true,"outcome":"shed","retry_after_ms":2,)"
                          R"("type":"urn:rushhill:problem:shed"})");
  EXPECT_EQ(to_answer("answers", {.outcome = admission::Outcome::failed}).payload,
            R"({"harmless_to_repeat":false,"outcome":"abandoned","type":"urn:rushhill:problem:abandoned"})");
}

}  // namespace
}  // namespace rushhill::frontends

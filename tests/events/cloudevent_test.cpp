// The specification's rules for attributes, in both forms, and what a sender is told when one is broken.
#include "events/cloudevent.h"

#include <gtest/gtest.h>

#include "core/request_reader.h"

namespace rushhill::events {
namespace {

const Headers good{{"ce-specversion", "1.0"}, {"ce-id", "1"}, {"ce-source", "/a"}, {"ce-type", "t"}};

Headers with(Headers headers, const std::string& name, const std::string& value) {
  std::erase_if(headers, [&](const auto& header) { return header.first == name; });
  if (!value.empty()) headers.emplace_back(name, value);
  return headers;
}
std::string attribute_refused(const Headers& headers) {
  try {
    from_headers(headers, "");
    return "taken";
  } catch (const BadEvent& bad) {
    return bad.attribute();
  }
}
std::string attribute_refused(const std::string& json) {
  try {
    from_json(json);
    return "taken";
  } catch (const BadEvent& bad) {
    return bad.attribute();
  }
}

TEST(CloudEvent, HeadersThatBreakARuleNameTheAttribute) {
  EXPECT_EQ(attribute_refused(good), "taken");
  EXPECT_EQ(attribute_refused(with(good, "ce-specversion", "0.3")), "specversion");
  EXPECT_EQ(attribute_refused(with(good, "ce-specversion", "")), "specversion");
  EXPECT_EQ(attribute_refused(with(good, "ce-id", "")), "id");
  EXPECT_EQ(attribute_refused(with(good, "ce-source", "a b")), "source");
  EXPECT_EQ(attribute_refused(with(good, "ce-source", "/a%2")), "source");
  EXPECT_EQ(attribute_refused(with(good, "ce-source", "/a%zz")), "source");
  EXPECT_EQ(attribute_refused(with(good, "ce-type", "")), "type");
  EXPECT_EQ(attribute_refused(with(good, "ce-type", "caf%C3")), "type");      // half a character
  EXPECT_EQ(attribute_refused(with(good, "ce-type", "bell%07")), "type");     // a control character
  EXPECT_EQ(attribute_refused(with(good, "ce-type", "x%EF%BF%BF")), "type");  // a noncharacter
  EXPECT_EQ(attribute_refused(with(good, "ce-time", "yesterday")), "time");
  EXPECT_EQ(attribute_refused(with(good, "ce-time", "2026-02-30T10:00:00Z")), "time");
  EXPECT_EQ(attribute_refused(with(good, "ce-time", "2026-02-28T24:00:00Z")), "time");
  EXPECT_EQ(attribute_refused(with(good, "ce-time", "2026-02-28T10:00:00")), "time");
  EXPECT_EQ(attribute_refused(with(good, "ce-time", "2026-02-28T10:00:00.5+05:30")), "taken");
  EXPECT_EQ(attribute_refused(with(good, "ce-dataschema", "relative")), "dataschema");
  EXPECT_EQ(attribute_refused(with(good, "ce-my_own", "x")), "my_own");
  EXPECT_EQ(attribute_refused(with(good, "ce-data", "x")), "data");
  EXPECT_EQ(attribute_refused(with(good, "ce-datacontenttype", "a/b")), "datacontenttype");
  Headers twice = good;
  twice.emplace_back("ce-id", "2");
  EXPECT_EQ(attribute_refused(twice), "id");
}

TEST(CloudEvent, JsonThatBreaksARuleNamesTheAttribute) {
  const std::string start = R"({"specversion":"1.0","id":"1","source":"/a","type":"t")";
  EXPECT_EQ(attribute_refused(start + "}"), "taken");
  EXPECT_EQ(attribute_refused(start + R"(,"subject":null})"), "taken");
  EXPECT_EQ(attribute_refused(start + R"(,"lanes":3,"repeat":true})"), "taken");
  EXPECT_EQ(attribute_refused(start + R"(,"lanes":3.5})"), "lanes");
  EXPECT_EQ(attribute_refused(start + R"(,"lanes":4294967296})"), "lanes");
  EXPECT_EQ(attribute_refused(start + R"(,"lanes":[1]})"), "lanes");
  EXPECT_EQ(attribute_refused(start + R"(,"Lanes":1})"), "Lanes");
  EXPECT_EQ(attribute_refused(start + R"(,"data":1,"data_base64":"AA=="})"), "data_base64");
  EXPECT_EQ(attribute_refused(start + R"(,"data_base64":"A"})"), "data_base64");
  EXPECT_EQ(attribute_refused(start + R"(,"data_base64":7})"), "data_base64");
  EXPECT_EQ(attribute_refused(R"({"specversion":"1.0","id":1,"source":"/a","type":"t"})"), "taken");
  EXPECT_EQ(attribute_refused(R"({"specversion":"1.0","id":"","source":"/a","type":"t"})"), "id");
  EXPECT_EQ(attribute_refused("[]"), "data");
  EXPECT_EQ(attribute_refused("{"), "data");
  EXPECT_EQ(attribute_refused(std::string(200'000, '[')), "data");
}

TEST(CloudEvent, AnEventSurvivesBothFormsWithEveryByte) {
  CloudEvent event{
      .id = "caf\xC3\xA9 \"100%\"", .source = "urn:x:%20", .type = "a.b", .data_content_type = "x/y"};
  event.others["subject"] = "\xF0\x9F\x8C\xA7 rain";
  for (int i = 0; i < 256; ++i) event.data += static_cast<char>(i);
  const CloudEvent from_head = from_headers(to_headers(event), event.data);
  const CloudEvent from_text = from_json(to_json(event));
  for (const CloudEvent& back : {from_head, from_text}) {
    EXPECT_EQ(back.id, event.id);
    EXPECT_EQ(back.source, event.source);
    EXPECT_EQ(back.others, event.others);
    EXPECT_EQ(back.data, event.data);
    EXPECT_EQ(back.data_content_type, event.data_content_type);
  }
}

TEST(CloudEvent, AQuotedHeaderValueIsUnquotedOnce) {
  EXPECT_EQ(from_headers(with(good, "ce-id", R"("a \"b\" %25")"), "").id, "a \"b\" %");
}

TEST(CloudEvent, ABatchNamesTheEventThatIsWrong) {
  const std::string one = R"({"specversion":"1.0","id":"1","source":"/a","type":"t"})";
  EXPECT_EQ(batch_from_json("[" + one + "," + one + "]", 2).size(), 2U);
  EXPECT_THROW(batch_from_json("[" + one + "," + one + "]", 1), BadEvent);
  try {
    batch_from_json("[" + one + ",{}]", 9);
    FAIL();
  } catch (const BadEvent& bad) {
    EXPECT_NE(std::string(bad.what()).find("event 1"), std::string::npos) << bad.what();
  }
}

TEST(CloudEvent, ModesGoByTheMediaTypeAlone) {
  EXPECT_EQ(mode_of("Application/CloudEvents+JSON; charset=utf-8"), Mode::structured);
  EXPECT_EQ(mode_of("application/cloudevents-batch+json"), Mode::batched);
  EXPECT_EQ(mode_of("application/cloudevents+xml"), Mode::unknown_format);
  EXPECT_EQ(mode_of("application/json"), Mode::binary);
}

class Reading : public testing::Test {
 protected:
  Reading() {
    deployment.request_classes = {
        {.name = "lookup", .latency_objective = to_duration(7'500), .deadline_span = to_duration(25'000)}};
    deployment.tenants = {{.name = "a"}};
  }
  std::string refused(const std::string& name, const std::string& value) {
    CloudEvent event{.id = "1", .source = "/a", .type = "org.lookup"};
    event.others = {{"function", "f"}};
    event.others[name] = value;
    if (value.empty()) event.others.erase(name);
    try {
      told = core::RequestReader(deployment, {{"org.lookup", "lookup"}}).read(event);
      return "";
    } catch (const BadEvent& bad) {
      return bad.attribute();
    }
  }
  RoutingConfiguration deployment;
  RoutingRequest told;
};

TEST_F(Reading, EachAttributeHasItsRange) {
  EXPECT_EQ(refused("subject", "any"), "");
  EXPECT_EQ(told.time_left, to_duration(25'000));
  EXPECT_EQ(told.lanes, 1);
  EXPECT_EQ(refused("function", ""), "function");
  EXPECT_EQ(refused("function", std::string(257, 'f')), "function");
  EXPECT_EQ(refused("customer", "b"), "customer");
  EXPECT_EQ(refused("customer", "a"), "");
  EXPECT_EQ(refused("lanes", "0"), "lanes");
  EXPECT_EQ(refused("lanes", "2x"), "lanes");
  EXPECT_EQ(refused("memorymb", "-1"), "memorymb");
  EXPECT_EQ(refused("loadms", "3600001"), "loadms");
  EXPECT_EQ(refused("repeat", "yes"), "repeat");
  EXPECT_EQ(refused("timeleftms", "0"), "timeleftms");
  EXPECT_EQ(refused("timeleftms", "2501"), "timeleftms");  // no client stretches the hard limit
  EXPECT_EQ(refused("timeleftms", "700"), "");
  EXPECT_EQ(told.time_left, to_duration(7'000));
}

TEST_F(Reading, ATypeThatBelongsToNoTrafficTypeIsRefused) {
  CloudEvent event{.id = "1", .source = "/a", .type = "lookup"};
  event.others = {{"function", "f"}};
  EXPECT_THROW(core::RequestReader(deployment, {{"org.lookup", "lookup"}}).read(event), BadEvent);
}

}  // namespace
}  // namespace rushhill::events

// Guards against accepting events that violate the CloudEvents specification and against errors that name the
// wrong attribute. The tests pass events as headers and as JSON, most with one invalid attribute.
#include "events/cloudevent.h"

#include <gtest/gtest.h>

#include "core/request_reader.h"

namespace rushhill::events {
namespace {

const Headers valid_headers{{"ce-specversion", "1.0"}, {"ce-id", "1"}, {"ce-source", "/a"}, {"ce-type", "t"}};

Headers with_header(Headers headers, const std::string& name, const std::string& value) {
  std::erase_if(headers, [&](const auto& header) { return header.first == name; });
  if (!value.empty()) headers.emplace_back(name, value);
  return headers;
}
std::string rejected_attribute(const Headers& headers) {
  try {
    from_headers(headers, "");
    return "taken";
  } catch (const BadEvent& error) {
    return error.attribute();
  }
}
std::string rejected_attribute(const std::string& json) {
  try {
    from_json(json);
    return "taken";
  } catch (const BadEvent& error) {
    return error.attribute();
  }
}

TEST(CloudEvent, ErrorsInHeadersNameTheAttribute) {
  EXPECT_EQ(rejected_attribute(valid_headers), "taken");
  EXPECT_EQ(rejected_attribute(with_header(valid_headers, "ce-specversion", "0.3")), "specversion");
  EXPECT_EQ(rejected_attribute(with_header(valid_headers, "ce-specversion", "")), "specversion");
  EXPECT_EQ(rejected_attribute(with_header(valid_headers, "ce-id", "")), "id");
  EXPECT_EQ(rejected_attribute(with_header(valid_headers, "ce-source", "a b")), "source");
  EXPECT_EQ(rejected_attribute(with_header(valid_headers, "ce-source", "/a%2")), "source");
  EXPECT_EQ(rejected_attribute(with_header(valid_headers, "ce-source", "/a%zz")), "source");
  EXPECT_EQ(rejected_attribute(with_header(valid_headers, "ce-type", "")), "type");
  EXPECT_EQ(rejected_attribute(with_header(valid_headers, "ce-type", "caf%C3")),
            "type");  // an incomplete UTF-8 sequence
  EXPECT_EQ(rejected_attribute(with_header(valid_headers, "ce-type", "bell%07")),
            "type");  // a control character
  EXPECT_EQ(rejected_attribute(with_header(valid_headers, "ce-type", "x%EF%BF%BF")),
            "type");  // a noncharacter
  EXPECT_EQ(rejected_attribute(with_header(valid_headers, "ce-time", "yesterday")), "time");
  EXPECT_EQ(rejected_attribute(with_header(valid_headers, "ce-time", "2026-02-30T10:00:00Z")), "time");
  EXPECT_EQ(rejected_attribute(with_header(valid_headers, "ce-time", "2026-02-28T24:00:00Z")), "time");
  EXPECT_EQ(rejected_attribute(with_header(valid_headers, "ce-time", "2026-02-28T10:00:00")), "time");
  EXPECT_EQ(rejected_attribute(with_header(valid_headers, "ce-time", "2026-02-28T10:00:00.5+05:30")),
            "taken");
  EXPECT_EQ(rejected_attribute(with_header(valid_headers, "ce-dataschema", "relative")), "dataschema");
  EXPECT_EQ(rejected_attribute(with_header(valid_headers, "ce-my_own", "x")), "my_own");
  EXPECT_EQ(rejected_attribute(with_header(valid_headers, "ce-data", "x")), "data");
  EXPECT_EQ(rejected_attribute(with_header(valid_headers, "ce-datacontenttype", "a/b")), "datacontenttype");
  Headers twice = valid_headers;
  twice.emplace_back("ce-id", "2");
  EXPECT_EQ(rejected_attribute(twice), "id");
}

TEST(CloudEvent, ErrorsInJsonNameTheAttribute) {
  const std::string start = R"({"specversion":"1.0","id":"1","source":"/a","type":"t")";
  EXPECT_EQ(rejected_attribute(start + "}"), "taken");
  EXPECT_EQ(rejected_attribute(start + R"(,"subject":null})"), "taken");
  EXPECT_EQ(rejected_attribute(start + R"(,"lanes":3,"repeat":true})"), "taken");
  EXPECT_EQ(rejected_attribute(start + R"(,"lanes":3.5})"), "lanes");
  EXPECT_EQ(rejected_attribute(start + R"(,"lanes":4294967296})"), "lanes");
  EXPECT_EQ(rejected_attribute(start + R"(,"lanes":[1]})"), "lanes");
  EXPECT_EQ(rejected_attribute(start + R"(,"Lanes":1})"), "Lanes");
  EXPECT_EQ(rejected_attribute(start + R"(,"data":1,"data_base64":"AA=="})"), "data_base64");
  EXPECT_EQ(rejected_attribute(start + R"(,"data_base64":"A"})"), "data_base64");
  EXPECT_EQ(rejected_attribute(start + R"(,"data_base64":7})"), "data_base64");
  EXPECT_EQ(rejected_attribute(R"({"specversion":"1.0","id":1,"source":"/a","type":"t"})"), "taken");
  EXPECT_EQ(rejected_attribute(R"({"specversion":"1.0","id":"","source":"/a","type":"t"})"), "id");
  EXPECT_EQ(rejected_attribute("[]"), "data");
  EXPECT_EQ(rejected_attribute("{"), "data");
  EXPECT_EQ(rejected_attribute(std::string(200'000, '[')), "data");
}

TEST(CloudEvent, HeadersAndJsonPreserveEveryAttributeAndByte) {
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

TEST(CloudEvent, DecodesAQuotedHeaderValueOnce) {
  EXPECT_EQ(from_headers(with_header(valid_headers, "ce-id", R"("a \"b\" %25")"), "").id, "a \"b\" %");
}

TEST(CloudEvent, BatchErrorNamesTheIndexOfTheInvalidEvent) {
  const std::string one = R"({"specversion":"1.0","id":"1","source":"/a","type":"t"})";
  EXPECT_EQ(batch_from_json("[" + one + "," + one + "]", 2).size(), 2U);
  EXPECT_THROW(batch_from_json("[" + one + "," + one + "]", 1), BadEvent);
  try {
    batch_from_json("[" + one + ",{}]", 9);
    FAIL();
  } catch (const BadEvent& error) {
    EXPECT_NE(std::string(error.what()).find("event 1"), std::string::npos) << error.what();
  }
}

TEST(CloudEvent, ContentModeDependsOnlyOnTheMediaType) {
  EXPECT_EQ(mode_of("Application/CloudEvents+JSON; charset=utf-8"), Mode::structured);
  EXPECT_EQ(mode_of("application/cloudevents-batch+json"), Mode::batched);
  EXPECT_EQ(mode_of("application/cloudevents+xml"), Mode::unknown_format);
  EXPECT_EQ(mode_of("application/json"), Mode::binary);
}

class RequestReaderTest : public testing::Test {
 protected:
  RequestReaderTest() {
    configuration.request_classes = {
        {.name = "lookup", .latency_objective = to_duration(7'500), .deadline_span = to_duration(25'000)}};
    configuration.tenants = {{.name = "a"}};
  }
  std::string rejection_by_reader(const std::string& name, const std::string& value) {
    CloudEvent event{.id = "1", .source = "/a", .type = "org.lookup"};
    event.others = {{"function", "f"}};
    event.others[name] = value;
    if (value.empty()) event.others.erase(name);
    try {
      request = core::RequestReader(configuration, {{"org.lookup", "lookup"}}).read(event);
      return "";
    } catch (const BadEvent& error) {
      return error.attribute();
    }
  }
  RoutingConfiguration configuration;
  RoutingRequest request;
};

TEST_F(RequestReaderTest, RejectsAttributesOutsideTheirRanges) {
  EXPECT_EQ(rejection_by_reader("subject", "any"), "");
  EXPECT_EQ(request.time_left, to_duration(25'000));
  EXPECT_EQ(request.lanes, 1);
  EXPECT_EQ(rejection_by_reader("function", ""), "function");
  EXPECT_EQ(rejection_by_reader("function", std::string(257, 'f')), "function");
  EXPECT_EQ(rejection_by_reader("customer", "b"), "customer");
  EXPECT_EQ(rejection_by_reader("customer", "a"), "");
  EXPECT_EQ(rejection_by_reader("lanes", "0"), "lanes");
  EXPECT_EQ(rejection_by_reader("lanes", "2x"), "lanes");
  EXPECT_EQ(rejection_by_reader("memorymb", "-1"), "memorymb");
  EXPECT_EQ(rejection_by_reader("loadms", "3600001"), "loadms");
  EXPECT_EQ(rejection_by_reader("repeat", "yes"), "repeat");
  EXPECT_EQ(rejection_by_reader("timeleftms", "0"), "timeleftms");
  EXPECT_EQ(rejection_by_reader("timeleftms", "2501"),
            "timeleftms");  // exceeds the class's deadline of 2500 ms
  EXPECT_EQ(rejection_by_reader("timeleftms", "700"), "");
  EXPECT_EQ(request.time_left, to_duration(7'000));
}

TEST_F(RequestReaderTest, RejectsATypeThatMapsToNoRequestClass) {
  CloudEvent event{.id = "1", .source = "/a", .type = "lookup"};
  event.others = {{"function", "f"}};
  EXPECT_THROW(core::RequestReader(configuration, {{"org.lookup", "lookup"}}).read(event), BadEvent);
}

}  // namespace
}  // namespace rushhill::events

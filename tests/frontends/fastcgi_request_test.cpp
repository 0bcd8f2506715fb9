// Which FastCGI parameters make a request, and what is answered to the others.
#include "frontends/fastcgi_request.h"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <vector>

namespace rushhill::frontends {
namespace {

class FastCgiRequestTest : public testing::Test {
 protected:
  FastCgiRequestTest() {
    RequestClass keyed;
    keyed.name = "order";
    keyed.retry_safety = RetrySafety::keyed;
    keyed.deadline_span = to_duration(50'000);
    configuration.request_classes.push_back(keyed);
    request.params = {{"SCRIPT_NAME", "/ops/order"},
                      {"HTTP_X_JOB_ID", "0123456789abcdef"},
                      {"HTTP_X_ALLOW_MS", "2000"},
                      {"HTTP_X_ITEM", "fedcba9876543210"},
                      {"HTTP_X_UNIQUE", "key-1"}};
    request.body = "data";
  }
  void set(const std::string& name, const std::string& value) {
    for (auto& [known, old] : request.params) {
      if (known == name) {
        old = value;
        return;
      }
    }
    request.params.emplace_back(name, value);
  }
  GatewayRequest read() const { return std::get<GatewayRequest>(read_request(configuration, request)); }
  std::string error() const {
    const auto result = read_request(configuration, request);
    const auto* error = std::get_if<RequestError>(&result);
    return error == nullptr ? "" : std::to_string(error->status) + " " + error->reason;
  }

  RoutingConfiguration configuration;
  fastcgi::Request request;
};

TEST_F(FastCgiRequestTest, EveryParameterIsTakenOver) {
  set("HTTP_X_FACTS", "memory_mb:512;lanes:2;load_ms:0.25;colour:7");
  const GatewayRequest read = this->read();
  EXPECT_EQ(read.routing.request_class, "order");
  EXPECT_EQ(read.routing.function, "fedcba9876543210");
  EXPECT_EQ(to_ticks(read.routing.time_left), 20'000 - 10) << "less the answer's way";
  EXPECT_EQ(read.routing.memory_mb, 512);
  EXPECT_EQ(read.routing.lanes, 2);
  EXPECT_EQ(read.routing.load_time, to_duration(3)) << "rounded up";
  EXPECT_EQ(read.message.id, "0123456789abcdef");
  EXPECT_EQ(read.message.type, "order");
  EXPECT_EQ(*read.message.other("function"), "fedcba9876543210");
  EXPECT_EQ(*read.message.other("number"), "key-1");
  EXPECT_EQ(read.message.data, "data");
}

TEST_F(FastCgiRequestTest, EachFaultHasItsAnswer) {
  const std::vector<std::array<const char*, 3>> faults = {
      {"SCRIPT_NAME", "/elsewhere", "404 no such place"},
      {"SCRIPT_NAME", "/ops/other", "404 unknown class"},
      {"HTTP_X_JOB_ID", "0123456789ABCDEF", "400 X-Job-Id is not 16 hex digits"},
      {"HTTP_X_ITEM", "0", "400 X-Item is not 16 hex digits"},
      {"HTTP_X_ALLOW_MS", "0", "400 X-Allow-Ms is not a number above 0"},
      {"HTTP_X_ALLOW_MS", "5002", "400 X-Allow-Ms is beyond the class's deadline"},
      {"HTTP_X_ALLOW_MS", "9223372036854775807", "400 X-Allow-Ms is beyond the class's deadline"},
      {"HTTP_X_UNIQUE", "a b", "400 X-Unique is no word of 128 bytes at most"},
      {"HTTP_X_FACTS", "lanes:0", "400 X-Facts holds what is no figure"},
      {"HTTP_X_FACTS", "colour:red", "400 X-Facts holds what is no figure"},
      {"CONTENT_LENGTH", "5", "400 CONTENT_LENGTH is not the body's"}};
  const fastcgi::Request good = request;
  for (const auto& [name, value, answer] : faults) {
    request = good;
    set(name, value);
    EXPECT_EQ(error(), answer) << name << '=' << value;
  }
  request = good;
  EXPECT_EQ(error(), "");
}

TEST_F(FastCgiRequestTest, AParameterThatIsThereTwiceIsTheFirstFault) {
  set("SCRIPT_NAME", "/elsewhere");
  request.params.emplace_back("HTTP_X_ITEM", "fedcba9876543210");
  EXPECT_EQ(error(), "400 HTTP_X_ITEM is there twice");
}

TEST_F(FastCgiRequestTest, WhereThereAreTenantsOneMustBeNamed) {
  Tenant tenant;
  tenant.name = "blue";
  configuration.tenants.push_back(tenant);
  EXPECT_EQ(error(), "400 X-Team is not a tenant");
  set("HTTP_X_TEAM", "blue");
  EXPECT_EQ(read().routing.tenant, "blue");
}

TEST_F(FastCgiRequestTest, OnlyAKeyedClassNeedsAKey) {
  request.params.pop_back();
  EXPECT_EQ(error(), "400 X-Unique is missing");
  configuration.request_classes.front().retry_safety = RetrySafety::idempotent;
  EXPECT_EQ(read().message.other("number"), nullptr);
}

}  // namespace
}  // namespace rushhill::frontends

// Problem details and the rows of a batch's answer, byte for byte.
#include "frontends/http_problem.h"

#include <gtest/gtest.h>

#include "frontends/http_batch.h"

namespace rushhill::frontends {
namespace {

const Problem shed{.status = 503, .outcome = "shed", .detail = "not run"};
constexpr const char* shed_body =
    R"({"detail":"not run","harmless_to_repeat":true,"outcome":"shed","status":503,)"
    R"("title":"Service Unavailable","type":"urn:rushhill:problem:shed"})";

TEST(HttpProblemTest, AProblemIsAJsonDocumentOfItsOwnType) {
  const transport::HttpResponse response = to_response(shed);
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(*response.header("content-type"), "application/problem+json");
  EXPECT_EQ(response.header("retry-after"), nullptr);
  EXPECT_EQ(response.body, shed_body);
}

TEST(HttpProblemTest, WithoutAdviceThereIsNoRetryAfter) {
  const transport::HttpResponse response = to_response(shed, 0);
  EXPECT_EQ(response.header("retry-after"), nullptr);
  EXPECT_EQ(response.body, shed_body);
}

TEST(HttpProblemTest, RetryAfterIsRoundedUpInTheHeaderAndInTheBody) {
  const transport::HttpResponse response = to_response(shed, 10'001);
  EXPECT_EQ(*response.header("retry-after"), "2");
  EXPECT_NE(response.body.find(R"("retry_after_ms":1001)"), std::string::npos) << response.body;
}

TEST(HttpProblemTest, AMalformedEventNamesItsAttributeAndLosesWhatIsNoUtf8) {
  const transport::HttpResponse response = malformed(events::BadEvent("id", "is \xff"));
  EXPECT_EQ(response.status, 400);
  EXPECT_NE(response.body.find(R"("attribute":"id")"), std::string::npos) << response.body;
  EXPECT_NE(response.body.find("is \xef\xbf\xbd"), std::string::npos) << response.body;
}

TEST(HttpBatchTest, RowsStandInTheOrderOfTheEventsHoweverTheyEnd) {
  HttpBatch batch;
  const HttpBatch::Row first = batch.add({.id = "1", .source = "/c"});
  const HttpBatch::Row second = batch.add({.id = "2", .source = "/c"});
  batch.set_problem(second, to_response(shed), 15);
  batch.set_reply(first, {.id = "r", .source = "/s", .type = "t"});
  const transport::HttpResponse response = batch.to_response();
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(*response.header("content-type"), "application/json");
  EXPECT_EQ(response.body, R"([{"event":{"id":"r","source":"/s","specversion":"1.0","type":"t"},"id":"1",)"
                           R"("source":"/c","status":200},{"id":"2","problem":)" +
                               std::string(shed_body) +
                               R"(,"retry_after_ms":2,"source":"/c","status":503}])");
}

TEST(HttpBatchTest, AnEmptyBatchIsAnEmptyList) { EXPECT_EQ(HttpBatch().to_response().body, "[]"); }

}  // namespace
}  // namespace rushhill::frontends

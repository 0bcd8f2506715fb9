// Problem details, byte for byte.
#include "frontends/http_problem.h"

#include <gtest/gtest.h>

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

}  // namespace
}  // namespace rushhill::frontends

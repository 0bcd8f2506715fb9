// The rows of a batch's answer, byte for byte.
#include "frontends/http_batch.h"

#include <gtest/gtest.h>

#include <string>

namespace rushhill::frontends {
namespace {

constexpr const char* problem_body = R"({"outcome":"shed"})";

TEST(HttpBatchTest, RowsStandInTheOrderOfTheEventsHoweverTheyEnd) {
  HttpBatch batch;
  const HttpBatch::Row first = batch.add({.id = "1", .source = "/c"});
  const HttpBatch::Row second = batch.add({.id = "2", .source = "/c"});
  batch.set_problem(second, {.status = 503, .body = problem_body}, 15);
  batch.set_reply(first, {.id = "r", .source = "/s", .type = "t"});
  const transport::HttpResponse response = batch.to_response();
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(*response.header("content-type"), "application/json");
  EXPECT_EQ(response.body, R"([{"event":{"id":"r","source":"/s","specversion":"1.0","type":"t"},"id":"1",)"
                           R"("source":"/c","status":200},{"id":"2","problem":)" +
                               std::string(problem_body) +
                               R"(,"retry_after_ms":2,"source":"/c","status":503}])");
}

TEST(HttpBatchTest, AnEmptyBatchIsAnEmptyList) { EXPECT_EQ(HttpBatch().to_response().body, "[]"); }

}  // namespace
}  // namespace rushhill::frontends

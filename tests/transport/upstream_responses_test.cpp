#include "transport/upstream_responses.h"

#include <gtest/gtest.h>

namespace rushhill::transport {
namespace {

int copies_in(UpstreamCallKind kind, const std::string& body) {
  return call_result({.kind = kind, .function = "f"}, {.body = body}).copies;
}

TEST(CallResult, ReadsCopiesFromPrewarmResponsesOrTheIndexAndIgnoresInvalidOnes) {
  EXPECT_EQ(copies_in(UpstreamCallKind::prewarm, R"({"copies":3})"), 3);
  EXPECT_EQ(copies_in(UpstreamCallKind::prewarm, R"({"copies":5000})"), 1'000);
  EXPECT_EQ(copies_in(UpstreamCallKind::prewarm, R"({"copies":-1})"), 0);
  EXPECT_EQ(copies_in(UpstreamCallKind::prewarm, R"({"copies":"3"})"), 0);
  EXPECT_EQ(copies_in(UpstreamCallKind::prewarm, "no JSON"), 0);
  EXPECT_EQ(copies_in(UpstreamCallKind::copy_query,
                      R"([{"name":"g","copies":9},{"name":"f","copies":2},7,{"name":"f"}])"),
            2);
  EXPECT_EQ(copies_in(UpstreamCallKind::copy_query, R"({"copies":3})"), 0);
  EXPECT_EQ(copies_in(UpstreamCallKind::probe, R"({"copies":3})"), 0);
}

TEST(CallResult, OutcomeFollowsTheStatusAndProvenRejections) {
  const UpstreamCall probe{.kind = UpstreamCallKind::probe};
  EXPECT_EQ(call_result(probe, {.status = 200}).outcome, AttemptOutcome::succeeded);
  EXPECT_EQ(call_result(probe, {.status = 503}).outcome, AttemptOutcome::error);
  EXPECT_EQ(call_result(probe, {.status = 503, .headers = {{"rushhill-never-ran", "draining"}}}).outcome,
            AttemptOutcome::overloaded);
  const CallResult result =
      call_result(probe, {.status = 200, .headers = {{"endpoint-load-metrics", "TEXT cpu_utilization=0.5"}}});
  EXPECT_EQ(result.report, (LoadReport{{"util", 0.5}}));
}

}  // namespace
}  // namespace rushhill::transport

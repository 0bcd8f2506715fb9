#include "routing/function_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace rushhill::routing {
namespace {

constexpr Timestamp now{100 * one_second};
constexpr Duration keep_alive = 10 * one_second;

TEST(FunctionTable, ForgetsAnEndpointsCopiesOfEveryFunction) {
  FunctionTable functions;
  for (const char* function : {"f", "g"}) {
    functions.at(function).copies.at("a").confirm(now);
    functions.at(function).copies.at("b").confirm(now);
  }
  functions.forget_copies("a");
  for (const char* function : {"f", "g"}) {
    EXPECT_FALSE(functions.at(function).copies.at("a").believed(now, keep_alive));
    EXPECT_TRUE(functions.at(function).copies.at("b").believed(now, keep_alive));
  }
}

TEST(FunctionTable, SweepErasesExpiredCopiesOnceASecond) {
  FunctionTable functions;
  functions.at("f").requested_at = now;
  functions.at("f").copies.at("a").confirm(now);
  functions.sweep(now + keep_alive - Duration{1}, keep_alive);
  EXPECT_EQ(functions.at("f").copies.size(), 1U);
  functions.sweep(now + keep_alive, keep_alive);
  EXPECT_EQ(functions.at("f").copies.size(), 0U);
  functions.at("f").copies.at("b");
  functions.sweep(now + keep_alive + one_second / 2, keep_alive);
  EXPECT_EQ(functions.at("f").copies.size(), 1U);
  functions.sweep(now + keep_alive + one_second, keep_alive);
  EXPECT_EQ(functions.at("f").copies.size(), 0U);
}

TEST(FunctionTable, SweepErasesFunctionsNotRequestedForALongTime) {
  FunctionTable functions;
  functions.at("f").requested_at = now;
  functions.at("f").lanes = 4;
  functions.sweep(now + 120 * one_second, keep_alive);
  EXPECT_EQ(functions.at("f").lanes, 4);
  functions.sweep(now + 121 * one_second, keep_alive);
  EXPECT_EQ(functions.at("f").lanes, 1);
}

// Guards against a table that grows with every id that a client makes up.
TEST(FunctionTable, KeepsItsMemoryLimitAndTheFunctionsRequestedLast) {
  constexpr std::size_t max_bytes = 256 * 1024;
  constexpr int distinct_functions = 20'000;
  FunctionTable functions(max_bytes);
  std::size_t most_bytes = 0;
  for (int i = 0; i < distinct_functions; ++i) {
    functions.make_room();
    functions.at(std::to_string(i)).requested_at = now + Duration{i};
    functions.make_room();
    functions.at("hot").requested_at = now + Duration{i};
    functions.at("hot").lanes = 4;
    most_bytes = std::max(most_bytes, functions.memory_bytes());
  }
  EXPECT_LE(most_bytes, max_bytes + max_bytes / 8) << "a check is made every 64 functions";
  EXPECT_GT(functions.memory_bytes(), max_bytes / 2);
  EXPECT_EQ(functions.at("hot").lanes, 4);
}

TEST(FunctionTable, GivesUpCandidatesBeforeRecordsAndKeepsFunctionsInUse) {
  constexpr int distinct_functions = 1'000;
  constexpr std::size_t max_bytes = 64 * 1024;  // far less than the records take
  FunctionTable functions(max_bytes);
  EXPECT_EQ(functions.memory_bytes(), 0U);
  functions.at("open").copies.at("a").attempt_sent(now, keep_alive);
  functions.at("ordered").copies.at("a").prewarm_ordered();
  for (int i = 0; i < distinct_functions; ++i) {
    functions.make_room();
    functions.at(std::to_string(i)).requested_at = now + Duration{i};
  }
  EXPECT_EQ(functions.at("open").copies.at("a").open_attempts(), 1);
  EXPECT_TRUE(functions.at("ordered").copies.at("a").prewarming());
  EXPECT_LT(functions.size(), static_cast<std::size_t>(distinct_functions));
}

TEST(WarmIndex, LinksTheEndpointsOnTheListToTheirCopies) {
  EndpointTable endpoints;
  endpoints.increment_version();
  EndpointRecord& record = endpoints.update({.id = "a"}).record;
  endpoints.update({.id = "b"});
  WarmIndex copies;
  copies.at("a").confirm(now);
  copies.at("gone").confirm(now);
  copies.link_endpoints(endpoints, 1);
  EXPECT_EQ(record.copy.for_selection(1), &copies.at("a"));
  EXPECT_EQ(endpoints.at("b").copy.for_selection(1), nullptr);
  copies.link_endpoints(endpoints, 2);
  EXPECT_EQ(record.copy.for_selection(1), nullptr);
}

}  // namespace
}  // namespace rushhill::routing

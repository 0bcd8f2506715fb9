// Guards against wrong durations when several calls with the same key are outstanding.
#include "core/outstanding_calls.h"

#include <gtest/gtest.h>

#include "routing/types.h"

namespace rushhill::core {
namespace {

constexpr Timestamp at(Time ticks) { return to_timestamp(ticks); }

TEST(OutstandingCalls, EndsTheOldestCallOfAKeyFirst) {
  OutstandingCalls<EndpointId> calls;
  calls.start("a", at(100));
  calls.start("a", at(130));
  calls.start("b", at(150));
  EXPECT_EQ(calls.end("a", at(200)), Duration{100});
  EXPECT_EQ(calls.end("b", at(200)), Duration{50});
  EXPECT_EQ(calls.end("a", at(200)), Duration{70});
}

TEST(OutstandingCalls, AnEndWithoutACallReturnsZeroAndKeepsNoKey) {
  OutstandingCalls<EndpointId> calls;
  EXPECT_EQ(calls.end("a", at(200)), Duration{0});
  EXPECT_EQ(calls.key_count(), 0U);
  calls.start("a", at(200));
  EXPECT_EQ(calls.key_count(), 1U);
  EXPECT_EQ(calls.end("a", at(250)), Duration{50});
  EXPECT_EQ(calls.end("a", at(260)), Duration{0});
  EXPECT_EQ(calls.key_count(), 0U);
}

}  // namespace
}  // namespace rushhill::core

// Timers fire in their order.
#include "core/timer_queue.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace rushhill::transport {
namespace {

TEST(TimerQueue, RingInTheirOrderAndWithdrawnOnesNever) {
  core::TimerQueue alarms;
  std::string rung;
  alarms.add(20, [&] { rung += 'c'; });
  alarms.add(10, [&] { rung += 'a'; });
  core::Timer gone = alarms.add(10, [&] { rung += 'x'; });
  alarms.add(10, [&] {
    rung += 'b';
    alarms.add(5, [&] { rung += '!'; });  // due already
  });
  alarms.cancel(gone);
  alarms.cancel(gone);
  alarms.fire_due(15);
  EXPECT_EQ(rung, "ab!");
  EXPECT_EQ(alarms.next_deadline(), 20);
}

TEST(TimerQueue, AHundredThousandRingInTheirOrderWithoutTheWithdrawn) {
  core::TimerQueue alarms;
  std::vector<core::Timer> set;
  Time last = 0;
  int rung = 0;
  for (int i = 0; i < 100'000; ++i) {
    const Time when = 1 + (i * 7'919) % 100'003;
    set.push_back(alarms.add(when, [&, when] {
      EXPECT_LE(last, when);
      last = when;
      ++rung;
    }));
  }
  for (std::size_t i = 0; i < set.size(); i += 2) alarms.cancel(set[i]);
  for (Time now = 0; now <= 100'003; now += 100) alarms.fire_due(now);
  alarms.fire_due(100'003);
  EXPECT_EQ(rung, 50'000);
  EXPECT_EQ(alarms.count(), 0U);
}

TEST(TimerQueue, AnAlarmMayWithdrawTheOneThatWouldRingNext) {
  core::TimerQueue alarms;
  bool rung = false;
  core::Timer second;
  alarms.add(1, [&] { alarms.cancel(second); });
  second = alarms.add(1, [&] { rung = true; });
  alarms.fire_due(1);
  EXPECT_FALSE(rung);
}

}  // namespace
}  // namespace rushhill::transport

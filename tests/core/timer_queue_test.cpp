// Checks that timers fire in the order of their times, and that cancelled timers do not fire.
#include "core/timer_queue.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace rushhill::transport {
namespace {

TEST(TimerQueue, FiresInOrderAndSkipsCancelledTimers) {
  core::TimerQueue timers;
  std::string fired;
  timers.add(20, [&] { fired += 'c'; });
  timers.add(10, [&] { fired += 'a'; });
  core::Timer cancelled = timers.add(10, [&] { fired += 'x'; });
  timers.add(10, [&] {
    fired += 'b';
    timers.add(5, [&] { fired += '!'; });  // already due
  });
  timers.cancel(cancelled);
  timers.cancel(cancelled);
  timers.fire_due(15);
  EXPECT_EQ(fired, "ab!");
  EXPECT_EQ(timers.next_deadline(), 20);
}

TEST(TimerQueue, FiresAHundredThousandInOrderWithoutTheCancelled) {
  core::TimerQueue timers;
  std::vector<core::Timer> added;
  Time last = 0;
  int fired = 0;
  for (int i = 0; i < 100'000; ++i) {
    const Time when = 1 + (i * 7'919) % 100'003;
    added.push_back(timers.add(when, [&, when] {
      EXPECT_LE(last, when);
      last = when;
      ++fired;
    }));
  }
  for (std::size_t i = 0; i < added.size(); i += 2) timers.cancel(added[i]);
  for (Time now = 0; now <= 100'003; now += 100) timers.fire_due(now);
  timers.fire_due(100'003);
  EXPECT_EQ(fired, 50'000);
  EXPECT_EQ(timers.count(), 0U);
}

TEST(TimerQueue, TimerCanCancelTheOneThatFiresNext) {
  core::TimerQueue timers;
  bool fired = false;
  core::Timer second;
  timers.add(1, [&] { timers.cancel(second); });
  second = timers.add(1, [&] { fired = true; });
  timers.fire_due(1);
  EXPECT_FALSE(fired);
}

}  // namespace
}  // namespace rushhill::transport

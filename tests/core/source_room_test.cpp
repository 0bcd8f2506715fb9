// Room for the requests of each source.
#include "core/source_room.h"

#include <gtest/gtest.h>

namespace rushhill::core {
namespace {

constexpr Timestamp now{100 * one_second};

TEST(SourceRoom, ACapBoundsTheRequestsOpenAtOnce) {
  SourceRoom room(2);
  const auto source = room.add(1, false);
  room.accepted(now, source);
  EXPECT_TRUE(room.has_room(now, source));
  room.accepted(now, source);
  EXPECT_FALSE(room.has_room(now, source));
  EXPECT_FALSE(room.within_share(source));
  EXPECT_EQ(room.open(), 2U);
  room.concluded(now, source, SourceRoom::End::succeeded);
  EXPECT_TRUE(room.has_room(now, source));
  EXPECT_EQ(room.open(), 1U);
}

TEST(SourceRoom, WithoutACapThereIsAlwaysRoom) {
  SourceRoom room(0);
  const auto source = room.add(1, false);
  for (int i = 0; i < 10'000; ++i) room.accepted(now, source);
  EXPECT_TRUE(room.has_room(now, source));
}

TEST(SourceRoom, OneSourceDoesNotTakeTheOthersPart) {
  SourceRoom room(10);
  const auto flood = room.add(1, true);
  const auto calm = room.add(1, false);
  while (room.within_share(flood)) room.accepted(now, flood);
  EXPECT_LT(room.open(), 10U);
  EXPECT_TRUE(room.has_room(now, calm));
}

}  // namespace
}  // namespace rushhill::core

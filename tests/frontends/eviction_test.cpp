// Which connection a full frontend evicts, and how many are looked at for it.
#include "frontends/eviction.h"

#include <gtest/gtest.h>

#include <map>

namespace rushhill::frontends {
namespace {

constexpr Time noon = 1'000'000;  // tenths of a millisecond

// A connection that counts how often it is looked at.
struct Counted {
  std::optional<EvictionRank> rank;
  int* looks = nullptr;
  std::optional<EvictionRank> eviction_rank(Time) const {
    ++*looks;
    return rank;
  }
  bool has_no_unread_input() const { return true; }
};

class EvictionTest : public testing::Test {
 protected:
  int add(std::optional<EvictionRank> rank) {
    connections.emplace(next_key, std::make_shared<Counted>(Counted{rank, &looks}));
    return next_key++;
  }
  // The key of the one that is evicted for one that comes; -1: none.
  int evict(Time now) {
    int gone = -1;
    const bool room = eviction.make_room(connections, now, [&](const Counted& connection) {
      const auto it = std::ranges::find_if(
          connections, [&](const auto& item) { return item.second.get() == &connection; });
      gone = it->first;
      connections.erase(it);
    });
    EXPECT_EQ(room, gone >= 0);
    return gone;
  }

  int looks = 0, next_key = 0;
  std::map<int, std::shared_ptr<Counted>> connections;
  static constexpr std::size_t limit = 1;  // always reached: every call is that of a full frontend
  Eviction<Counted> eviction{limit};
};

// A flood: each that comes asks, is answered and is idle at once.
TEST_F(EvictionTest, EachOfAFloodCostsAFewLooksHoweverManyAreHeld) {
  constexpr int held = 4'096, flood = 4'096, most_looks = 16;  // looks for each of the flood
  for (int i = 0; i < held; ++i) add(EvictionRank{HeldFor::idle, noon - held + i});
  for (int i = 0; i < flood; ++i) {
    EXPECT_EQ(evict(noon + i / 100), i) << "the longest idle";
    add(EvictionRank{HeldFor::idle, noon + i});
  }
  EXPECT_LT(looks, flood * most_looks);
}

TEST_F(EvictionTest, OneThatIsUsedAfterTheScanStays) {
  for (int i = 0; i < 64; ++i) add(EvictionRank{HeldFor::idle, noon - 100 + i});
  EXPECT_EQ(evict(noon), 0);
  connections.at(1)->rank = std::nullopt;                           // at work
  connections.at(2)->rank = EvictionRank{HeldFor::idle, noon + 1};  // answered meanwhile
  EXPECT_EQ(evict(noon + 2), 3);
}

TEST_F(EvictionTest, OneThatHasJustComeStaysWhereAnotherTurnedIdleAfterTheScan) {
  for (int i = 0; i < 64; ++i) add(EvictionRank{HeldFor::grace_period, noon - 100 + i});
  EXPECT_EQ(evict(noon), 0);
  connections.at(40)->rank = EvictionRank{HeldFor::idle, noon + 1};
  EXPECT_EQ(evict(noon + 2), 40);
}

TEST_F(EvictionTest, OneThatStaysSilentGoesBeforeIdleOnesOnceTheScanIsOld) {
  for (int i = 0; i < 64; ++i) add(EvictionRank{HeldFor::idle, noon - 100 + i});
  EXPECT_EQ(evict(noon), 0);
  connections.at(40)->rank = EvictionRank{HeldFor::silent_client, noon};
  EXPECT_EQ(evict(noon + candidates_valid_for), 40);
}

}  // namespace
}  // namespace rushhill::frontends

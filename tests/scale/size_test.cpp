// Hollow routers beside hollow servers that fail: what is measured at size really happens.
#include "scale/size.h"

#include <gtest/gtest.h>

namespace rushhill::scale {
namespace {

constexpr Time second = 10'000;

class NoCounter final : public Counter {
 public:
  std::uint64_t read() override { return 0; }
  bool counts() const override { return false; }
} none;

const Size small{.sizes = {.servers = 24, .functions = 60, .requests = 20, .routers = 4},
                 .routers = 4,
                 .instances = 240,
                 .lead = 10 * second,
                 .measured = 10 * second};

TEST(SizeStory, EveryRequestIsAnsweredInTimeWhereNothingFails) {
  const Figures found = run_at(small, none);
  EXPECT_NEAR(found.at("requests"), 20, 0.5);
  EXPECT_NEAR(found.at("answered"), 1, 0.02);
  EXPECT_NEAR(found.at("in time"), 1, 0.02);
  EXPECT_EQ(found.at("overdue"), 0);
  EXPECT_GT(found.at("instances standing"), 200);
}

Figures with(const Fault& fault) { return run_fault(small, fault, none); }

TEST(SizeStory, AZoneThatIsLostCostsFurtherAttemptsAndNoRequestWhereItIsTold) {
  const Figures told =
      with({.name = "zone", .every = 6, .count = 4, .span = 10 * second, .told_after = second});
  EXPECT_EQ(told.at("unanswered"), 0);
  EXPECT_EQ(told.at("given up"), 0);
  EXPECT_GT(told.at("attempts a request"), 1);
  const Figures untold = with({.name = "zone", .every = 6, .count = 4, .span = 10 * second});
  EXPECT_GT(untold.at("attempts a request"), told.at("attempts a request"));
  EXPECT_EQ(untold.at("unanswered"), 0);
}

TEST(SizeStory, RegionsApartTakeHalfOfTheServersFromEachRouter) {
  const Figures apart = with({.name = "apart", .kind = Fault::Kind::regions_apart, .span = 10 * second});
  EXPECT_GT(apart.at("attempts a request"), 1.05);
  EXPECT_EQ(apart.at("unanswered"), 0) << "answered or given up, each";
}

TEST(SizeStory, RoutersThatStartAgainAnswerAll) {
  const Figures again =
      with({.name = "again", .kind = Fault::Kind::routers_restart, .every = 2, .count = 2, .span = second});
  EXPECT_EQ(again.at("unanswered"), 0);
  EXPECT_EQ(again.at("given up"), 0);
}

}  // namespace
}  // namespace rushhill::scale

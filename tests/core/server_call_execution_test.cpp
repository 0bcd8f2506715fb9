// Probes and orders to load: sent, measured, and reported to the decision module.
#include "core/server_call_execution.h"

#include "core/parts_fixture.h"

namespace rushhill::core {
namespace {

struct RefusingLedger final : Ledger {
  bool ordering() override { return false; }
  Taking taking(EventId, const std::string&, const events::CloudEvent&, Time) override {
    return Taking::unmarked;
  }
  void ended(const events::CloudEvent&, Fate) override {}
};

class ServerCallExecutionTest : public PartsFixture {
 protected:
  ServerCallExecution calls(Ledger* ledger) {
    return {{.clock = clock,
             .carrier = carrier,
             .ledger = ledger,
             .deferred = deferred,
             .decisions = decisions,
             .tally = tally},
            5 * second};
  }
};

TEST_F(ServerCallExecutionTest, AProbeIsReportedWithTheTimeItTook) {
  ServerCallExecution execution = calls(nullptr);
  execution.probe("a");
  clock.pass(30);
  execution.probe_ended("a", Ending::honoured, {});
  EXPECT_EQ(carrier.probes, std::vector<ServerId>{"a"});
  EXPECT_EQ(tally.probes, 1U);
  ASSERT_EQ(heard.probe_ends.size(), 1U);
  EXPECT_EQ(heard.probe_ends[0].server, "a");
  EXPECT_EQ(heard.probe_ends[0].taken, 30);
}

TEST_F(ServerCallExecutionTest, AnOrderLeavesWithItsLimitAndIsReportedWithTheTimeItTook) {
  ServerCallExecution execution = calls(nullptr);
  execution.order("a", "f", 2);
  clock.pass(second);
  execution.order_ended("a", "f", Ending::honoured, 2);
  EXPECT_EQ(carrier.orders, (std::vector{std::pair(ServerId("a"), 2)}));
  EXPECT_EQ(carrier.order_limit, 5 * second);
  EXPECT_EQ(tally.orders, 1U);
  ASSERT_EQ(heard.order_ends.size(), 1U);
  EXPECT_EQ(heard.order_ends[0].taken, second);
  EXPECT_EQ(heard.order_ends[0].copies, 2);
}

TEST_F(ServerCallExecutionTest, AnOrderThatTheLedgerRefusesEndsAsNotSentOnceTheCallHasReturned) {
  RefusingLedger ledger;
  ServerCallExecution execution = calls(&ledger);
  execution.order("a", "f", 2);
  EXPECT_TRUE(heard.order_ends.empty());
  clock.settle();
  EXPECT_TRUE(carrier.orders.empty());
  EXPECT_EQ(tally.orders, 0U);
  ASSERT_EQ(heard.order_ends.size(), 1U);
  EXPECT_EQ(heard.order_ends[0].ending, Ending::not_sent);
}

TEST_F(ServerCallExecutionTest, AnEvictionIsSentAndCounted) {
  ServerCallExecution execution = calls(nullptr);
  execution.unload("a", "f");
  EXPECT_EQ(carrier.unloads, std::vector<ServerId>{"a"});
  EXPECT_EQ(tally.unloads, 1U);
}

}  // namespace
}  // namespace rushhill::core

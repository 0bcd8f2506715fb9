// The table of open requests: ids, when a record may be erased, timers.
#include "core/request_table.h"

#include <gtest/gtest.h>

#include <memory>

#include "core/manual_clock.h"

namespace rushhill::core {
namespace {

class RequestTableTest : public testing::Test {
 protected:
  HandClock clock;
  std::unique_ptr<RequestTable> table = std::make_unique<RequestTable>(clock, 7);
};

TEST_F(RequestTableTest, IdsCountUpFromAPlaceThatTheSeedDraws) {
  const RequestId first = table->add().id;
  EXPECT_GT(first, 0);
  EXPECT_EQ(table->add().id, first + 1);
  RequestTable same(clock, 7);
  RequestTable other(clock, 8);
  EXPECT_EQ(same.add().id, first);
  EXPECT_NE(other.add().id, first);
}

TEST_F(RequestTableTest, FindsRequestsAndTheirAttemptsByNumber) {
  const auto [id, request] = table->add();
  EXPECT_EQ(table->find(id), &request);
  EXPECT_EQ(table->find(id + 1), nullptr);
  request.attempts.resize(2);
  EXPECT_EQ(table->find_attempt({.request = id, .number = 1}), &request.attempts[1]);
  EXPECT_EQ(table->find_attempt({.request = id, .number = 2}), nullptr);
  EXPECT_EQ(table->find_attempt({.request = id, .number = -1}), nullptr);
  EXPECT_EQ(table->find_attempt({.request = id + 1, .number = 0}), nullptr);
}

TEST_F(RequestTableTest, ErasesARequestOnlyWhenNothingOfItIsLeft) {
  const auto [id, request] = table->add();
  request.attempts.resize(1);
  request.deferred_calls = 1;
  table->erase_if_over(id);
  request.concluded = true;
  table->erase_if_over(id);
  request.deferred_calls = 0;
  table->erase_if_over(id);
  EXPECT_EQ(table->size(), 1U) << "an attempt is open";
  request.attempts[0].open = false;
  table->erase_if_over(id);
  EXPECT_EQ(table->size(), 0U);
  table->erase_if_over(id);  // nothing of that id any more
}

TEST_F(RequestTableTest, TimersAreWithdrawnWithTheirRequest) {
  const auto set_timers = [&](Request& request) {
    request.deadline_timer = clock.at(clock.now() + 100, [] { FAIL() << "rings after its request"; });
    request.attempts.resize(1);
    request.attempts[0].open = false;
  };
  const auto [over, first] = table->add();
  set_timers(first);
  first.concluded = true;
  table->erase_if_over(over);
  EXPECT_EQ(clock.standing(), 0U);
  Request& second = table->add().request;
  set_timers(second);
  second.attempts[0].timeout_timer = clock.at(clock.now() + 50, [] { FAIL() << "rings after its table"; });
  table.reset();
  EXPECT_EQ(clock.standing(), 0U);
}

TEST_F(RequestTableTest, KnowsWhichRequestsAndClientsStillWait) {
  struct SilentClient final : Client {
    void succeeded(RequestId, events::CloudEvent) override {}
    void rejected(RequestId, Duration) override {}
    void failed(RequestId) override {}
  } client;
  for (int i = 0; i < 20; ++i) table->add();
  const auto [id, request] = table->add();
  EXPECT_FALSE(table->any_client_waits());
  request.client = &client;
  EXPECT_TRUE(table->any_client_waits());
  std::vector<RequestId> expected;
  for (int i = 20; i >= 1; --i) expected.push_back(id - i);
  request.concluded = true;
  EXPECT_EQ(table->not_concluded(), expected);
  EXPECT_TRUE(table->any_client_waits()) << "its answer is decided and not handed over";
}

}  // namespace
}  // namespace rushhill::core

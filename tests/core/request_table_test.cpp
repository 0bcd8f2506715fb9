// Guards against colliding request ids, requests that are erased too early, and timers that outlive their
// request.
#include "core/request_table.h"

#include <gtest/gtest.h>

#include <memory>

#include "core/manual_clock.h"

namespace rushhill::core {
namespace {

class RequestTableTest : public testing::Test {
 protected:
  ManualClock clock;
  std::unique_ptr<RequestTable> table = std::make_unique<RequestTable>(clock, 7);
};

TEST_F(RequestTableTest, IdsCountUpFromANumberDerivedFromTheSeed) {
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

TEST_F(RequestTableTest, ErasesARequestOnlyWhenItIsFinished) {
  const auto [id, request] = table->add();
  request.attempts.resize(1);
  request.deferred_calls = 1;
  table->erase_if_finished(id);
  request.concluded = true;
  table->erase_if_finished(id);
  request.deferred_calls = 0;
  table->erase_if_finished(id);
  EXPECT_EQ(table->size(), 1U) << "a request with an open attempt must not be erased";
  request.attempts[0].open = false;
  table->erase_if_finished(id);
  EXPECT_EQ(table->size(), 0U);
  table->erase_if_finished(id);  // does nothing, because the request is already erased
}

TEST_F(RequestTableTest, CancelsTimersWithTheirRequestOrTable) {
  const auto set_timers = [&](Request& request) {
    request.deadline_timer =
        clock.at(clock.now() + 100, [] { FAIL() << "the timer fired after its request was erased"; });
    request.attempts.resize(1);
    request.attempts[0].open = false;
  };
  const auto [over, first] = table->add();
  set_timers(first);
  first.concluded = true;
  table->erase_if_finished(over);
  EXPECT_EQ(clock.pending_timers(), 0U);
  Request& second = table->add().request;
  set_timers(second);
  second.attempts[0].timeout_timer =
      clock.at(clock.now() + 50, [] { FAIL() << "the timer fired after its table was destroyed"; });
  table.reset();
  EXPECT_EQ(clock.pending_timers(), 0U);
}

TEST_F(RequestTableTest, ListsUnconcludedRequestsAndDetectsWaitingClients) {
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
  EXPECT_EQ(table->unconcluded_requests(), expected);
  EXPECT_TRUE(table->any_client_waits()) << "the answer is decided but not yet delivered";
}

}  // namespace
}  // namespace rushhill::core

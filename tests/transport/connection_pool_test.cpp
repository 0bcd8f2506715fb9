// Checks the code that all connection pools share, on fake connections that transfer no data.
#include "transport/connection_pool.h"

#include "loopback.h"

namespace rushhill::transport {
namespace {

struct FakeEndpoint;

class FakeConnection final : public Numbered {
 public:
  FakeConnection(FakeEndpoint& endpoint, Time idle_since) : endpoint_(endpoint), idle_since_(idle_since) {}
  FakeEndpoint& endpoint() const { return endpoint_; }
  Time idle_since() const { return idle_since_; }
  void retire() { retired = true; }
  void close() { closed = true; }

  bool busy = false;
  bool retired = false;
  bool closed = false;

 private:
  FakeEndpoint& endpoint_;
  Time idle_since_;
};

struct FakeEndpoint : PooledEndpoint<FakeConnection> {
  std::vector<FakeConnection*> idle_connections() const {
    std::vector<FakeConnection*> idle;
    for (const auto& [connection, owner] : connections) {
      if (!connection->busy) idle.push_back(connection);
    }
    return idle;
  }
  FakeConnection* longest_idle() const {
    const auto idle = idle_connections();
    return idle.empty() ? nullptr : idle.front();
  }
  void connection_removed(FakeConnection&) {}
};

class FakePool final : public ConnectionPool<FakeEndpoint> {
 public:
  FakePool(Reactor& reactor, core::EventLog& event_log) : ConnectionPool(reactor, event_log) {}

  using ConnectionPool::close_longest_idle;
  using ConnectionPool::connection_of;
  using ConnectionPool::endpoint_count;
  using ConnectionPool::find_endpoint;
  using ConnectionPool::remove;
  using ConnectionPool::report_end_later;
  using ConnectionPool::track_attempt;
  using ConnectionPool::untrack;
  using ConnectionPool::untrack_attempt;

  std::shared_ptr<FakeConnection> open(const EndpointId& id, Time idle_since) {
    const auto connection = std::make_shared<FakeConnection>(*find_endpoint(id), idle_since);
    add(connection);
    return connection;
  }

  void send(const core::AttemptCall&) override {}
  void cancel(RequestId, int) override {}
  bool cancel_unsent(RequestId, int) override { return false; }
  void cancel_all_unsent(const EndpointId&) override {}
  void probe(const EndpointId&, Duration) override {}
  void prewarm(const EndpointId&, const FunctionId&, int, Duration) override {}
  void evict(const EndpointId&, const FunctionId&) override {}
};

struct EndCounter final : core::UpstreamObserver {
  void attempt_ended(RequestId, int, core::AttemptResult) override { ++attempts; }
  void probe_ended(const EndpointId&, AttemptOutcome, const LoadReport&) override { ++probes; }
  void prewarm_ended(const EndpointId&, const FunctionId&, AttemptOutcome, int) override { ++prewarms; }
  int attempts = 0;
  int probes = 0;
  int prewarms = 0;
};

class ConnectionPoolTest : public testing::Test {
 protected:
  ConnectionPoolTest() {
    pool->report_to(end_counter);
    pool->set_address("a", "127.0.0.1:1");
    pool->set_address("b", "127.0.0.1:2");
  }

  Loop reactor;
  EventLoopDriver pump{reactor};
  NullEventLog event_log;
  EndCounter end_counter;
  std::unique_ptr<FakePool> pool = std::make_unique<FakePool>(reactor, event_log);
};

TEST_F(ConnectionPoolTest, ClosesTheLongestIdleConnectionOfAnyEndpoint) {
  const auto later = pool->open("a", 20);
  const auto earlier = pool->open("b", 10);
  const auto busy = pool->open("b", 5);
  busy->busy = true;
  EXPECT_TRUE(pool->close_longest_idle());
  EXPECT_TRUE(earlier->closed);
  EXPECT_FALSE(later->closed);
  EXPECT_TRUE(pool->close_longest_idle());
  EXPECT_TRUE(later->closed);
  EXPECT_FALSE(pool->close_longest_idle());
  EXPECT_FALSE(busy->closed);
  EXPECT_EQ(pool->connections(), 1U);
}

TEST_F(ConnectionPoolTest, NewAddressRetiresAllConnectionsAndClosesIdleOnes) {
  const auto idle = pool->open("a", 1);
  const auto busy = pool->open("a", 1);
  const auto other = pool->open("b", 1);
  busy->busy = true;
  pool->set_address("a", "127.0.0.1:1");
  EXPECT_FALSE(idle->retired) << "the address has not changed";
  pool->set_address("a", "127.0.0.1:3");
  EXPECT_TRUE(idle->closed);
  EXPECT_TRUE(busy->retired);
  EXPECT_FALSE(busy->closed);
  EXPECT_FALSE(other->retired);
}

TEST_F(ConnectionPoolTest, InvalidAddressMakesTheEndpointUnreachable) {
  pool->set_address("a", "localhost");
  ASSERT_NE(pool->find_endpoint("a"), nullptr);
  EXPECT_FALSE(pool->find_endpoint("a")->address);
  pool->set_address("a", "127.0.0.1:1");
  EXPECT_TRUE(pool->find_endpoint("a")->address);
}

TEST_F(ConnectionPoolTest, RemovesAnUnlistedEndpointWithItsLastConnection) {
  const auto busy = pool->open("a", 1);
  busy->busy = true;
  pool->set_address("a", "");
  EXPECT_EQ(pool->endpoint_count(), 2U);
  pool->remove(*busy);
  pool->remove(*busy);
  EXPECT_EQ(pool->connections(), 0U) << "the second removal must have no effect";
  ASSERT_TRUE(pump.until([&] { return pool->endpoint_count() == 1; }));
  pool->set_address("b", "");
  EXPECT_EQ(pool->endpoint_count(), 0U);
}

TEST_F(ConnectionPoolTest, TracksTheConnectionOfEachAttempt) {
  const auto connection = pool->open("a", 1);
  const UpstreamCall call{.endpoint = "a", .request = 7, .attempt_number = 1};
  pool->track_attempt(call, *connection);
  pool->track_attempt({.kind = UpstreamCallKind::probe, .endpoint = "a"}, *connection);
  EXPECT_EQ(pool->connection_of({7, 1}), connection.get());
  EXPECT_EQ(pool->connection_of({7, 0}), nullptr);
  EXPECT_EQ(pool->connection_of({0, 0}), nullptr) << "a probe must not be tracked";
  EXPECT_EQ(pool->untrack({7, 1}), connection.get());
  EXPECT_EQ(pool->untrack({7, 1}), nullptr);
}

TEST_F(ConnectionPoolTest, ReportsEndsLaterByCallKindAndNotAfterDestruction) {
  pool->report_end_later({.request = 1}, AttemptOutcome::not_sent);
  pool->report_end_later({.kind = UpstreamCallKind::probe}, AttemptOutcome::not_sent);
  pool->report_end_later({.kind = UpstreamCallKind::prewarm}, AttemptOutcome::not_sent);
  pool->report_end_later({.kind = UpstreamCallKind::copy_query}, AttemptOutcome::not_sent);
  pool->report_end_later({.kind = UpstreamCallKind::evict}, AttemptOutcome::not_sent);
  EXPECT_EQ(end_counter.attempts, 0);
  ASSERT_TRUE(pump.until([&] { return end_counter.prewarms == 2; }));
  EXPECT_EQ(end_counter.attempts, 1);
  EXPECT_EQ(end_counter.probes, 1);
  pool->report_end_later({.request = 2}, AttemptOutcome::not_sent);
  pool.reset();
  pump.pass(100);
  EXPECT_EQ(end_counter.attempts, 1);
}

}  // namespace
}  // namespace rushhill::transport

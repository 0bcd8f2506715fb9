// Guards against records that do not reach all routers, or too slowly, and against links to routers that do
// not belong. Fleets of routers exchange records over simulated connections in virtual time while some are
// killed, restart, go silent or belong to another deployment. The last test uses real sockets.
#include "replicating/replica_links.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "emulator/network.h"
#include "loopback.h"

namespace rushhill::replicating {
namespace {

using replica::Kind;
using replica::Stage;

constexpr Time second = 10'000;

struct DivergenceCounter final : replica::ReplicaObserver {
  void full(Kind) override {}
  void on_divergence(const replica::StreamId&, const replica::Word&, const replica::Word&) override {
    ++divergences;
  }
  void on_duplicate_writer(const replica::Writer&) override {}
  void on_executed_twice(const std::string&, const replica::Writer&, const replica::Writer&) override {}
  int divergences = 0;
};

replica::Bounds bounds() {
  replica::Bounds result{.streams = 4'000, .horizon = 120 * second};
  result.life.fill(60 * second);
  result.own.fill(100'000);
  result.together.fill(100'000);
  return result;
}

std::string address_of(int router) { return "127.0.0.1:" + std::to_string(20'000 + router); }

struct Router {
  Router(transport::Reactor& reactor, int number, std::uint64_t incarnation, const std::string& listen,
         const std::vector<std::string>& addresses, const std::string& deployment = "yard")
      : replica({number, incarnation}, bounds(), observer),
        links(reactor,
              {.listen = listen,
               .addresses = addresses,
               .hello = {.deployment = deployment,
                         .name = "n" + std::to_string(number),
                         .writer = replica.me()}},
              replica, event_log) {}
  std::uint64_t admit(Time now, const std::string& request) {
    const std::uint64_t number =
        replica.write(now, Kind::deduplication, request, static_cast<std::uint32_t>(Stage::admitted));
    links.written();
    return number;
  }
  bool has_record(const std::string& request) const {
    return replica.highest_rank(Kind::deduplication, request) > 0;
  }
  DivergenceCounter observer;
  NullEventLog event_log;
  replica::Replica replica;
  ReplicaLinks links;
};

struct Fleet {
  explicit Fleet(int size) {
    for (int i = 0; i < size; ++i) addresses.push_back(address_of(i));
    for (int i = 0; i < size; ++i) start(i);
  }
  void start(int i) {
    routers[i] = std::make_unique<Router>(network, i, ++last_incarnation, address_of(i), addresses);
  }
  void kill(int i) { routers.erase(i); }
  void run_for(Time span) { network.run_until(network.now() + span); }
  std::size_t holders_of(const std::string& request) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(routers, [&](const auto& item) { return item.second->has_record(request); }));
  }
  // Returns the time until all running routers have the record, at most one second.
  Time replication_lag(const std::string& request) {
    const Time start_time = network.now();
    while (holders_of(request) < routers.size() && network.now() - start_time < second) run_for(10);
    return network.now() - start_time;
  }

  emulator::Network network{5};  // a latency of half a millisecond
  std::vector<std::string> addresses;
  std::map<int, std::unique_ptr<Router>> routers;
  std::uint64_t last_incarnation = 0;
};

TEST(ReplicaLinksTest, ARecordReachesAHundredRoutersWithinAFewIterationsOverFewLinks) {
  Fleet fleet(100);
  fleet.run_for(second);
  std::size_t max_links = 0;
  for (const auto& [number, router] : fleet.routers) {
    EXPECT_EQ(router->links.met().size(), router->links.links()) << "no two links lead to the same router";
    max_links = std::max(max_links, router->links.links());
  }
  EXPECT_LE(max_links, 14U) << "a router has seven neighbours and is the neighbour of seven";
  fleet.routers.at(17)->admit(fleet.network.now(), "e");
  // At most seven hops, each of one iteration (10 ms) and the latency of 0.5 ms.
  EXPECT_LE(fleet.replication_lag("e"), 7 * 110);
}

TEST(ReplicaLinksTest, KillingAThirdAtOnceNeitherStopsNorSplitsTheRest) {
  Fleet fleet(30);
  fleet.run_for(second);
  for (int i = 0; i < 30; i += 3) fleet.kill(i);
  fleet.routers.at(1)->admit(fleet.network.now(), "request during the outage");
  EXPECT_LT(fleet.replication_lag("request during the outage"), second);
  for (int i = 0; i < 30; i += 3) fleet.start(i);
  fleet.run_for(9 * second);
  EXPECT_EQ(fleet.holders_of("request during the outage"), 30U);
  for (const auto& [number, router] : fleet.routers) {
    EXPECT_GE(router->links.met().size(), 5U) << number;
    EXPECT_EQ(router->links.behind(), 0U);
    EXPECT_EQ(router->observer.divergences, 0);
  }
}

TEST(ReplicaLinksTest, ARestartedRouterGetsBackItsEarlierPrewarmCount) {
  Fleet fleet(5);
  fleet.run_for(second);
  fleet.routers.at(2)->replica.write(fleet.network.now(), Kind::load_budget, "bucket", 0, 4);
  fleet.routers.at(2)->links.written();
  fleet.run_for(second / 10);
  fleet.kill(2);
  fleet.start(2);
  EXPECT_EQ(fleet.routers.at(2)->replica.count_of_earlier_incarnations(Kind::load_budget), 0U);
  fleet.run_for(second);
  EXPECT_EQ(fleet.routers.at(2)->replica.count_of_earlier_incarnations(Kind::load_budget), 4U);
}

TEST(ReplicaLinksTest, ClosesTheLinkToASilentRouterAndConnectsToTheNextOne) {
  emulator::Network network{5};
  struct SilentPeer final : transport::StreamHandler {
    void on_data(std::string_view) override {}
    void on_closed(transport::CloseReason) override { ++closed_count; }
    std::shared_ptr<transport::Stream> stream;
    int closed_count = 0;
  };
  std::vector<std::unique_ptr<SilentPeer>> silent_peers;
  const auto listening_peer = network.listen(
      transport::numeric_address(address_of(1)), false, [&](const transport::PendingConnection& arrival) {
        silent_peers.push_back(std::make_unique<SilentPeer>());
        silent_peers.back()->stream = transport::Stream::adopt(network, arrival, *silent_peers.back());
      });
  const std::vector<std::string> addresses{address_of(0), address_of(1), address_of(2), address_of(3)};
  Router zero(network, 0, 1, address_of(0), addresses), two(network, 2, 1, address_of(2), addresses),
      three(network, 3, 1, address_of(3), addresses);
  network.run_until(network.now() + 3 * second);
  ASSERT_FALSE(silent_peers.empty());
  EXPECT_GT(silent_peers.front()->closed_count, 0);
  EXPECT_EQ(zero.links.met(), (std::set<int>{2, 3}));
  network.run_until(network.now() + 60 * second);
  EXPECT_LE(silent_peers.size(), 3U * 10U) << "connection attempts are repeated with an exponential backoff";
}

TEST(ReplicaLinksTest, RoutersOfAnotherDeploymentOrWithTheSameIdentityExchangeNothing) {
  emulator::Network network{5};
  const std::vector<std::string> addresses{address_of(0), address_of(1), address_of(2)};
  Router zero(network, 0, 1, address_of(0), addresses);
  Router stranger(network, 1, 2, address_of(1), addresses, "barn");
  Router twin(network, 0, 1, address_of(2), addresses);
  stranger.admit(network.now(), "theirs");
  twin.admit(network.now(), "twin's");
  network.run_until(network.now() + 5 * second);
  EXPECT_FALSE(zero.has_record("theirs") || zero.has_record("twin's"));
  EXPECT_TRUE(zero.links.met().empty() && stranger.links.met().empty());
}

TEST(ReplicaLinksTest, OnSocketsAnAcknowledgedRecordIsHeldAndOutlivesItsWriter) {
  transport::Loop reactor;
  EventLoopDriver driver{reactor};
  Router one(reactor, 0, 1, "127.0.0.1:0", {});
  auto other = std::make_unique<Router>(reactor, 1, 2, "127.0.0.1:0",
                                        std::vector<std::string>{one.links.address().toString(), ""});
  ASSERT_TRUE(driver.until([&] { return one.links.met().contains(1) && other->links.met().contains(0); }));
  const std::uint64_t number = other->admit(reactor.now(), "e");
  EXPECT_TRUE(driver.until([&] { return other->replica.holder_count(Kind::deduplication, number) == 1; }));
  EXPECT_TRUE(one.has_record("e"));
  other.reset();
  EXPECT_TRUE(driver.until([&] { return one.links.met().empty(); }));
  EXPECT_TRUE(one.has_record("e"));
}

}  // namespace
}  // namespace rushhill::replicating

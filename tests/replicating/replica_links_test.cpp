// Whole fleets whose copies are exchanged over connections, in virtual time: routers are killed, come back,
// go silent and are strangers. One story on real sockets.
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

struct Quiet final : replica::Findings {
  void full(Kind) override {}
  void copies_differed(const replica::StreamId&, const replica::Word&, const replica::Word&) override {
    ++differed;
  }
  void second_of_us(const replica::Writer&) override {}
  void honoured_twice(const std::string&, const replica::Writer&, const replica::Writer&) override {}
  int differed = 0;
};

replica::Bounds bounds() {
  replica::Bounds told{.streams = 4'000, .horizon = 120 * second};
  told.life.fill(60 * second);
  told.own.fill(100'000);
  told.together.fill(100'000);
  return told;
}

std::string address_of(int router) { return "127.0.0.1:" + std::to_string(20'000 + router); }

struct Router {
  Router(transport::Reactor& reactor, int number, std::uint64_t incarnation, const std::string& listen,
         const std::vector<std::string>& addresses, const std::string& deployment = "yard")
      : copy({number, incarnation}, bounds(), noted),
        links(
            reactor,
            {.listen = listen,
             .addresses = addresses,
             .hello = {.deployment = deployment, .name = "n" + std::to_string(number), .writer = copy.me()}},
            copy, silent) {}
  std::uint64_t mark(Time now, const std::string& event) {
    const std::uint64_t number = copy.write(now, Kind::mark, event, static_cast<std::uint32_t>(Stage::taken));
    links.written();
    return number;
  }
  bool knows(const std::string& event) const { return copy.strictest(Kind::mark, event) > 0; }
  Quiet noted;
  Silent silent;
  replica::Replica copy;
  ReplicaLinks links;
};

struct Fleet {
  explicit Fleet(int size) {
    for (int i = 0; i < size; ++i) addresses.push_back(address_of(i));
    for (int i = 0; i < size; ++i) start(i);
  }
  void start(int i) { routers[i] = std::make_unique<Router>(network, i, ++lives, address_of(i), addresses); }
  void kill(int i) { routers.erase(i); }
  void pass(Time span) { network.run_until(network.now() + span); }
  std::size_t knowing(const std::string& event) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(routers, [&](const auto& item) { return item.second->knows(event); }));
  }
  // How long until all that live know it; a second at the most.
  Time lag(const std::string& event) {
    const Time began = network.now();
    while (knowing(event) < routers.size() && network.now() - began < second) pass(10);
    return network.now() - began;
  }

  emulator::Network network{5};  // half a millisecond from one to another
  std::vector<std::string> addresses;
  std::map<int, std::unique_ptr<Router>> routers;
  std::uint64_t lives = 0;
};

TEST(ReplicaLinksStory, AWordReachesAHundredRoutersWithinAFewTurnsOverFewLinks) {
  Fleet fleet(100);
  fleet.pass(second);
  std::size_t most = 0;
  for (const auto& [number, router] : fleet.routers) {
    EXPECT_EQ(router->links.met().size(), router->links.links()) << "one way between two";
    most = std::max(most, router->links.links());
  }
  EXPECT_LE(most, 14U) << "seven chosen, seven that chose it";
  fleet.routers.at(17)->mark(fleet.network.now(), "e");
  // Seven hops at the most, each a turn of 10 ms and the way.
  EXPECT_LE(fleet.lag("e"), 7 * 110);
}

TEST(ReplicaLinksStory, AThirdKilledAtOnceNeitherStopsNorSplitsTheRest) {
  Fleet fleet(30);
  fleet.pass(second);
  for (int i = 0; i < 30; i += 3) fleet.kill(i);
  fleet.routers.at(1)->mark(fleet.network.now(), "while they are gone");
  EXPECT_LT(fleet.lag("while they are gone"), second);
  for (int i = 0; i < 30; i += 3) fleet.start(i);
  fleet.pass(9 * second);
  EXPECT_EQ(fleet.knowing("while they are gone"), 30U);
  for (const auto& [number, router] : fleet.routers) {
    EXPECT_GE(router->links.met().size(), 5U) << number;
    EXPECT_EQ(router->links.behind(), 0U);
    EXPECT_EQ(router->noted.differed, 0);
  }
}

TEST(ReplicaLinksStory, ARouterThatStartsAgainBringsBackWhatItOrderedBefore) {
  Fleet fleet(5);
  fleet.pass(second);
  fleet.routers.at(2)->copy.write(fleet.network.now(), Kind::ration, "bucket", 0, 4);
  fleet.routers.at(2)->links.written();
  fleet.pass(second / 10);
  fleet.kill(2);
  fleet.start(2);
  EXPECT_EQ(fleet.routers.at(2)->copy.written_before(Kind::ration), 0U);
  fleet.pass(second);
  EXPECT_EQ(fleet.routers.at(2)->copy.written_before(Kind::ration), 4U);
}

TEST(ReplicaLinksStory, WhoIsSilentIsLeftAndTheNextOneOnIsAskedInItsPlace) {
  emulator::Network network{5};
  struct Mute final : transport::StreamHandler {
    void on_data(std::string_view) override {}
    void on_closed(transport::CloseReason) override { ++losses; }
    std::shared_ptr<transport::Stream> stream;
    int losses = 0;
  };
  std::vector<std::unique_ptr<Mute>> mutes;
  const auto stalled = network.listen(
      transport::numeric_address(address_of(1)), false, [&](const transport::PendingConnection& arrival) {
        mutes.push_back(std::make_unique<Mute>());
        mutes.back()->stream = transport::Stream::adopt(network, arrival, *mutes.back());
      });
  const std::vector<std::string> addresses{address_of(0), address_of(1), address_of(2), address_of(3)};
  Router zero(network, 0, 1, address_of(0), addresses), two(network, 2, 1, address_of(2), addresses),
      three(network, 3, 1, address_of(3), addresses);
  network.run_until(network.now() + 3 * second);
  ASSERT_FALSE(mutes.empty());
  EXPECT_GT(mutes.front()->losses, 0);
  EXPECT_EQ(zero.links.met(), (std::set<int>{2, 3}));
  network.run_until(network.now() + 60 * second);
  EXPECT_LE(mutes.size(), 3U * 10U) << "asked again after doubling pauses";
}

TEST(ReplicaLinksStory, AStrangerAndATwinExchangeNothing) {
  emulator::Network network{5};
  const std::vector<std::string> addresses{address_of(0), address_of(1), address_of(2)};
  Router zero(network, 0, 1, address_of(0), addresses);
  Router stranger(network, 1, 2, address_of(1), addresses, "barn");
  Router twin(network, 0, 1, address_of(2), addresses);
  stranger.mark(network.now(), "theirs");
  twin.mark(network.now(), "twin's");
  network.run_until(network.now() + 5 * second);
  EXPECT_FALSE(zero.knows("theirs") || zero.knows("twin's"));
  EXPECT_TRUE(zero.links.met().empty() && stranger.links.met().empty());
}

TEST(ReplicaLinksStory, OnSocketsAWordIsHeldOnceItIsAcknowledgedAndAKilledWritersWordStays) {
  transport::Loop reactor;
  Pump pump{reactor};
  Router one(reactor, 0, 1, "127.0.0.1:0", {});
  auto other = std::make_unique<Router>(reactor, 1, 2, "127.0.0.1:0",
                                        std::vector<std::string>{one.links.address().toString(), ""});
  ASSERT_TRUE(pump.until([&] { return one.links.met().contains(1) && other->links.met().contains(0); }));
  const std::uint64_t number = other->mark(reactor.now(), "e");
  EXPECT_TRUE(pump.until([&] { return other->copy.holders(Kind::mark, number) == 1; }));
  EXPECT_TRUE(one.knows("e"));
  other.reset();
  EXPECT_TRUE(pump.until([&] { return one.links.met().empty(); }));
  EXPECT_TRUE(one.knows("e"));
}

}  // namespace
}  // namespace rushhill::replicating

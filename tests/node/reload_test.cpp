// A new configuration (SIGHUP) that says a server drains, another is gone and discovery has moved, while
// requests wait for room, for a load, for a connection, and are out at the server that drains. The router is
// a process of its own; the verdict is what the servers and clients see.
#include "node_process.h"
#include "platform_story.h"

namespace rushhill::node {
namespace {

constexpr const char* first_id = "aaaaaaaaaaaaaaaa";
constexpr const char* second_id = "bbbbbbbbbbbbbbbb";
constexpr const char* third_id = "cccccccccccccccc";
constexpr Time settle = 5'000;          // tenths of a millisecond; for what should not happen at once
constexpr Time at_once = 12'000;        // below the silence after which a watch is replaced anyway
constexpr Time drain_grace = 20'000;    // as the configuration says
constexpr int unfinished_for_ms = 300;  // a file of which half is written
constexpr const char* reloaded = "configuration read again";

class ReloadStory : public PlatformStory {
 protected:
  void start(const std::string& hosts) {
    process = std::make_unique<NodeProcess>(configuration(settings, discovery.address(), hosts));
    address = std::make_unique<transport::Address>(process->address());
    ASSERT_TRUE(watching(discovery, "watch 1\n"));
  }
  // The first server drains, the third is gone, the second stands ready; discovery is elsewhere.
  std::string drained(const std::string& draining) {
    return configuration(settings, moved_discovery.address(),
                         host("s1", draining, "leaving") + "," + host("s2", other.address()), 2);
  }
  bool reloads(const std::string& text) {
    process->reload(text);
    return process->says(reloaded);
  }

  Settings settings;
  RawServer moved_discovery{reactor}, third{reactor};
  std::unique_ptr<transport::Address> address;
  std::unique_ptr<NodeProcess> process;
};

TEST_F(ReloadStory, WhatIsOutAtADrainingServerIsAnsweredAndWhatWaitsForRoomGoesElsewhere) {
  start(host("s1", one.address(), "active", now_ms()));
  Visitor visitor(*address), waits(*address);
  visitor.send(ask(1, first_id) + ask(2, second_id));
  ASSERT_TRUE(at_server(one, first_id) && at_server(one, second_id));
  waits.send(ask(3, third_id));
  pump.pass(settle);
  ASSERT_EQ(times_at(one, third_id), 0) << "it waits for room";
  ASSERT_TRUE(reloads(drained(one.address())));
  EXPECT_TRUE(at_server(other, third_id));
  EXPECT_TRUE(watching(moved_discovery, "watch 2\n"));
  servers_say(first_id, succeeded);
  servers_say(second_id, succeeded);
  servers_say(third_id, succeeded);
  EXPECT_TRUE(succeeds(visitor, 2) && succeeds(waits));
  EXPECT_EQ(times_at(one, third_id), 0);
}

TEST_F(ReloadStory, WhatWaitsForALoadGoesElsewhere) {
  settings.not_loaded = "miss";
  start(host("s1", one.address()));
  Visitor visitor(*address);
  visitor.send(ask(1, first_id));
  ASSERT_TRUE(at_server(one, first_id));
  servers_say(first_id, not_loaded_answer);
  ASSERT_TRUE(at_server(one, "prewarm "));
  ASSERT_TRUE(reloads(drained(one.address())));
  ASSERT_TRUE(pump.until(
      [&] { return times_at(other, "invoke " + std::string(first_id)) + times_at(other, "prewarm ") > 0; }));
  for (const auto& peer : other.peers) {
    const std::size_t order = peer->seen.find("prewarm ");
    if (order == std::string::npos) continue;
    const std::size_t tag = order + 8;
    peer->stream->write(peer->seen.substr(tag, peer->seen.find(' ', tag) - tag) + " HIT units=1 0\r\n\r\n");
  }
  ASSERT_TRUE(at_server(other, first_id));
  servers_say(first_id, succeeded);
  EXPECT_TRUE(succeeds(visitor));
  EXPECT_EQ(times_at(one, "invoke "), 1);
}

TEST_F(ReloadStory, WhatWaitsForAConnectionGoesElsewhere) {
  SlowDoor door;
  start(host("s1", door.address()));
  Visitor visitor(*address);
  visitor.send(ask(1, first_id));
  pump.pass(settle);
  ASSERT_TRUE(reloads(drained(door.address())));
  ASSERT_TRUE(at_server(other, first_id));
  servers_say(first_id, succeeded);
  EXPECT_TRUE(succeeds(visitor));
  door.open(2'000);
  pump.pass(settle);
  EXPECT_EQ(door.seen(), "");
}

TEST_F(ReloadStory, NothingNewGoesToAServerThatDrainsOrIsMissingFromTheNewList) {
  start(host("s1", one.address()) + "," + host("s3", third.address()));
  Visitor visitor(*address);
  ASSERT_TRUE(reloads(drained(one.address())));
  ASSERT_TRUE(watching(moved_discovery, "watch 2\n"));
  for (int i = 0; i < 30; ++i) {
    const std::string id = "aaaaaaaaaaaaaa" + std::to_string(10 + i);
    visitor.send(ask(static_cast<fastcgi::Number>(1 + i), id));
    ASSERT_TRUE(at_server(other, id));
    servers_say(id, succeeded);
  }
  EXPECT_TRUE(succeeds(visitor, 30));
  EXPECT_EQ(times_at(one, "invoke "), 0);
  EXPECT_EQ(times_at(third, "invoke "), 0);
}

TEST_F(ReloadStory, OfTwoReloadsAtOnceTheLastOneHolds) {
  RawServer last_discovery(reactor);
  start(host("s1", one.address()));
  process->reload(drained(one.address()));
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  process->reload(configuration(settings, last_discovery.address(), host("s3", third.address()), 3));
  ASSERT_TRUE(pump.until([&] { return !last_discovery.peers.empty(); }, at_once)) << "not only by silence";
  ASSERT_TRUE(watching(last_discovery, "watch 3\n"));
  Visitor visitor(*address);
  visitor.send(ask(1, first_id));
  ASSERT_TRUE(at_server(third, first_id));
  servers_say(first_id, succeeded);
  last_discovery.peers.back()->stream->write(notice(4, host("s4", other.address())));
  const auto still_watched = [&] {
    return std::ranges::any_of(moved_discovery.peers, [](const auto& peer) { return !peer->ended; });
  };
  EXPECT_TRUE(pump.until([&] { return !still_watched(); }));
  pump.pass(settle);
  EXPECT_FALSE(still_watched());
  EXPECT_EQ(times_at(one, "invoke ") + times_at(other, "invoke "), 0);
}

TEST_F(ReloadStory, AFileThatIsHalfWrittenTakesEffectOnceItIsWholeAndNothingOfItBefore) {
  start(host("s1", one.address()));
  const std::string text = drained(one.address());
  process->reload(text.substr(0, text.size() / 2));
  stand_still(unfinished_for_ms);
  Visitor visitor(*address);
  visitor.send(ask(1, first_id));
  ASSERT_TRUE(at_server(one, first_id)) << "the old one holds meanwhile";
  EXPECT_TRUE(moved_discovery.peers.empty());
  process->write(text);
  ASSERT_TRUE(process->says(reloaded));
  EXPECT_TRUE(watching(moved_discovery, "watch 2\n"));
  visitor.send(ask(2, second_id));
  EXPECT_TRUE(at_server(other, second_id));
  servers_say(first_id, succeeded);
  servers_say(second_id, succeeded);
  EXPECT_TRUE(succeeds(visitor, 2));
}

TEST_F(ReloadStory, AFileThatStaysHalfWrittenIsNamedAndTheNextOneIsTaken) {
  start(host("s1", one.address()));
  const std::string text = drained(one.address());
  process->reload(text.substr(0, text.size() / 2));
  ASSERT_TRUE(process->says("configuration not read: the old one stays"));
  EXPECT_NE(process->said().find("not JSON"), std::string::npos) << process->said();
  Visitor visitor(*address);
  visitor.send(ask(1, first_id));
  ASSERT_TRUE(at_server(one, first_id));
  servers_say(first_id, succeeded);
  EXPECT_TRUE(succeeds(visitor));
  ASSERT_TRUE(reloads(text));
  visitor.send(ask(2, second_id));
  EXPECT_TRUE(at_server(other, second_id));
}

TEST_F(ReloadStory, DuringTheWindUpItIsTakenAndWhatIsOutIsAnswered) {
  start(host("s1", one.address()));
  Visitor visitor(*address);
  visitor.send(ask(1, first_id));
  ASSERT_TRUE(at_server(one, first_id));
  process->signal(SIGTERM);
  ASSERT_TRUE(process->says("winding up"));
  ASSERT_TRUE(reloads(drained(one.address())));
  visitor.send(ask(2, second_id));
  ASSERT_TRUE(at_server(other, second_id));
  servers_say(first_id, succeeded);
  servers_say(second_id, succeeded);
  EXPECT_TRUE(succeeds(visitor, 2));
  EXPECT_TRUE(process->ended_well());
  EXPECT_EQ(times_at(one, "invoke "), 1);
}

// They are those of the start until a restart, and the log says so; what is under way keeps its limits.
TEST_F(ReloadStory, OtherLimitsAreNamedAndDoNotTakeEffect) {
  start(host("s1", one.address()));
  Visitor visitor(*address);
  visitor.send(ask(1, first_id) + ask(2, second_id));
  ASSERT_TRUE(at_server(one, first_id) && at_server(one, second_id));
  settings.send_cap = "1";
  settings.sockets = "32";
  process->reload(configuration(settings, discovery.address(), host("s1", one.address())));
  ASSERT_TRUE(process->says("take effect at a restart"));
  servers_say(first_id, overloaded);
  ASSERT_TRUE(pump.until([&] { return times_at(one, "invoke " + std::string(first_id)) >= 2; }))
      << "a second attempt, as the settings of the start allow";
  servers_say(first_id, succeeded);
  servers_say(second_id, succeeded);
  EXPECT_TRUE(succeeds(visitor, 2));
}

// A server that is gone by the new list gets its connections closed once the grace is over, and what was out
// there ends with an answer in time.
TEST_F(ReloadStory, WhatIsOutAtAServerThatIsMissingFromTheNewListEndsInTime) {
  start(host("s3", third.address()));
  Visitor visitor(*address);
  visitor.send(ask(1, first_id));
  ASSERT_TRUE(at_server(third, first_id));
  ASSERT_TRUE(reloads(drained(one.address())));
  EXPECT_TRUE(pump.until([&] { return times_in(visitor.seen(), "Status: ") == 1; }, drain_grace + 10'000));
  EXPECT_EQ(times_at(third, "invoke "), 1);
}

}  // namespace
}  // namespace rushhill::node

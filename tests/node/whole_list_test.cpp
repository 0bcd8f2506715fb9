// Discovery that answers with the whole list where changes were expected: what is missing from it is gone,
// with its grace from then; what came back with another start time is cold; all else stays as it was.
#include "node/node.h"
#include "platform_story.h"

namespace rushhill::node {
namespace {

constexpr const char* first_id = "aaaaaaaaaaaaaaaa";
constexpr Time settle = 5'000;            // tenths of a millisecond; for what should not happen at once
constexpr Time drain_grace = 20'000;      // as the configuration says
constexpr int requests_at_once = 6;       // beyond what a cold server is given, below what a warm one bears
constexpr int most_at_a_cold_server = 3;  // of them; its rating is 1

class WholeListStory : public PlatformStory {
 protected:
  void start(const std::string& hosts) {
    router = std::make_unique<Node>(
        reactor, read_configuration(configuration(settings, discovery.address(), hosts)), silent);
    ASSERT_TRUE(watching(discovery, "watch 1\n"));
  }
  void tell(const std::string& message) {
    discovery.peers.back()->stream->write(message);
    pump.pass(100);
  }
  void send(Visitor& visitor, int count) {
    for (int i = 0; i < count; ++i) {
      ++asked;
      visitor.send(ask(static_cast<fastcgi::Number>(asked), id_of(asked)));
    }
  }
  // All that stand at either server without an answer so far.
  void answer_both() {
    for (RawServer* server : {&one, &other}) {
      for (const auto& peer : server->peers) answer_all(*peer);
    }
  }

  Settings settings;
  int asked = 0;
  std::unique_ptr<Node> router;
};

TEST_F(WholeListStory, AServerThatIsMissingIsGoneAndWhatIsOutThereIsAnsweredWithinItsGrace) {
  start(host("s1", one.address()));
  Visitor visitor(router->address());
  visitor.send(ask(100, first_id));
  ASSERT_TRUE(at_server(one, first_id));
  tell(whole_list(2, host("s2", other.address())));
  send(visitor, requests_at_once);
  ASSERT_TRUE(pump.until([&] { return times_at(other, "invoke ") == requests_at_once; }));
  pump.pass(drain_grace / 2);
  answer_both();
  EXPECT_TRUE(succeeds(visitor, requests_at_once + 1));
  pump.pass(drain_grace);
  send(visitor, requests_at_once);
  ASSERT_TRUE(pump.until([&] { return times_at(other, "invoke ") == requests_at_once; }));
  EXPECT_EQ(times_at(one, "invoke "), 0) << "what it has answered is taken away";
}

TEST_F(WholeListStory, AServerThatCameBackWithAnotherStartTimeIsColdAndOneThatDidNotIsNot) {
  start(host("s1", one.address()));
  Visitor visitor(router->address());
  send(visitor, requests_at_once);
  ASSERT_TRUE(pump.until([&] { return times_at(one, "invoke ") == requests_at_once; })) << "warm";
  answer_both();
  ASSERT_TRUE(succeeds(visitor, requests_at_once));
  tell(whole_list(2, host("s1", one.address())));
  send(visitor, requests_at_once);
  ASSERT_TRUE(pump.until([&] { return times_at(one, "invoke ") == requests_at_once; })) << "warm still";
  answer_both();
  ASSERT_TRUE(succeeds(visitor, 2 * requests_at_once));
  tell(whole_list(3, host("s1", one.address(), "active", now_ms())));
  send(visitor, requests_at_once);
  pump.pass(settle);
  EXPECT_GE(times_at(one, "invoke "), 1);
  EXPECT_LE(times_at(one, "invoke "), most_at_a_cold_server);
}

TEST_F(WholeListStory, NumbersMaySkipToAWholeListAndGoOnFromThere) {
  start(host("s1", one.address()));
  tell(whole_list(9, host("s2", other.address())));
  tell(notice(10, host("s3", one.address())));
  pump.pass(settle);
  EXPECT_EQ(discovery.peers.size(), 1U) << "no reason to ask again";
  tell(notice(12, host("s4", one.address())));
  EXPECT_TRUE(watching(discovery, "watch 10\n")) << "a gap among changes is one";
}

TEST_F(WholeListStory, AnEmptyListLeavesNoServerAndTheNextOneBringsThemBack) {
  start(host("s1", one.address()));
  Visitor visitor(router->address());
  tell(whole_list(2, ""));
  send(visitor, 1);
  EXPECT_TRUE(pump.until([&] { return times_in(visitor.seen(), "Status: 50") == 1; }, 30'000));
  EXPECT_EQ(times_at(one, "invoke "), 0);
  tell(whole_list(3, host("s1", one.address())));
  send(visitor, 1);
  ASSERT_TRUE(at_server(one, id_of(asked)));
  answer_both();
  EXPECT_TRUE(succeeds(visitor));
}

TEST_F(WholeListStory, TheSameListTwiceDisturbsNothing) {
  start(host("s1", one.address()));
  Visitor visitor(router->address());
  send(visitor, requests_at_once);
  ASSERT_TRUE(pump.until([&] { return times_at(one, "invoke ") == requests_at_once; }));
  const std::size_t connections = one.peers.size();
  tell(whole_list(2, host("s1", one.address())));
  tell(whole_list(2, host("s1", one.address())));
  tell(whole_list(3, host("s1", one.address())));
  pump.pass(settle);
  answer_both();
  EXPECT_TRUE(succeeds(visitor, requests_at_once)) << "each by the connection that it went on";
  send(visitor, requests_at_once);
  ASSERT_TRUE(pump.until([&] { return times_at(one, "invoke ") == requests_at_once; })) << "not cold";
  EXPECT_EQ(one.peers.size(), connections) << "by those that stood";
  EXPECT_EQ(discovery.peers.size(), 1U);
}

}  // namespace
}  // namespace rushhill::node

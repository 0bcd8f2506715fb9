// Servers and routers that fall silent late: a server after half an answer, a router's peer for seconds.
#include "node/node.h"
#include "node_process.h"
#include "platform_story.h"

namespace rushhill::node {
namespace {

constexpr Time second = 10'000;    // tenths of a millisecond
constexpr Time deadline = 25'000;  // as the configuration says
constexpr const char* half_answer = " HIT - 2\r\no";
constexpr const char* other_half = "k\r\n";

class SilentServer : public PlatformStory, public testing::WithParamInterface<const char*> {
 protected:
  void start(const std::string& hosts) {
    settings.effect = GetParam();
    settings.promise = "500000000";
    settings.cancel = "true";
    router = std::make_unique<Node>(
        reactor, read_configuration(configuration(settings, discovery.address(), hosts)), silent);
  }
  Settings settings;
  std::unique_ptr<Node> router;
};
INSTANTIATE_TEST_SUITE_P(Effects, SilentServer, testing::Values("free", "single_shot"));

TEST_P(SilentServer, AfterHalfAnAnswerItsRequestEndsInTimeAndItsConnectionCarriesNothingFurther) {
  const bool repeatable = GetParam() == std::string("free");
  start(host("s1", one.address()) + "," + host("s2", other.address()));
  Visitor visitor(router->address());
  visitor.send(ask(1, id_of(1)));
  ASSERT_TRUE(at_servers(id_of(1)));
  const bool at_one = times_at(one, id_of(1)) > 0;
  const RawServer& first = at_one ? one : other;
  const RawServer& second_server = at_one ? other : one;
  RawPeer& connection = *first.peers.back();
  connection.stream->write(id_of(1) + half_answer);
  if (repeatable) {
    ASSERT_TRUE(at_server(second_server, id_of(1))) << "tried elsewhere";
    for (const auto& peer : second_server.peers) peer->stream->write(id_of(1) + succeeded);
  }
  EXPECT_TRUE(pump.until([&] { return times_in(visitor.seen(), "Status: ") == 1; }, deadline + second));
  EXPECT_EQ(times_in(visitor.seen(), repeatable ? "Status: 200" : "Status: 504"), 1);
  EXPECT_EQ(times_at(second_server, "invoke "), repeatable ? 1 : 0);
  connection.stream->write(other_half);
  const std::string before = connection.seen;
  for (int i = 2; i < 6; ++i) {
    visitor.send(ask(static_cast<fastcgi::Number>(i), id_of(i)));
    ASSERT_TRUE(at_servers(id_of(i)));
    servers_say(id_of(i), succeeded);
    ASSERT_TRUE(pump.until([&] { return times_in(visitor.seen(), "Status: ") == i; }));
  }
  EXPECT_EQ(times_in(connection.seen, "invoke "), times_in(before, "invoke "));
  EXPECT_EQ(times_in(visitor.seen(), "Status: "), 5) << "one answer each, and nothing of the late half";
}

class SilentPeer : public PlatformStory {};

TEST_F(SilentPeer, ARouterThatIsStoppedForSecondsHoldsUpNoOtherAndServesWhenItGoesOn) {
  const HeldAddress first_address(reactor), second_address(reactor);
  Settings settings;
  settings.routers = 2;
  settings.peers = "\"" + first_address.text() + "\",\"" + second_address.text() + "\"";
  settings.peer_listen = first_address.text();
  one.on_bytes = answer_all;
  const std::string hosts = host("s1", one.address(), "active", 0, "16");
  NodeProcess first(configuration(settings, discovery.address(), hosts));
  const transport::Address first_router = first.address();
  settings.me = 1;
  settings.peer_listen = second_address.text();
  NodeProcess second_process(configuration(settings, discovery.address(), hosts));
  const transport::Address second_router = second_process.address();
  Visitor to_first(first_router), to_second(second_router);
  to_second.send(ask(1, id_of(1)));
  ASSERT_TRUE(succeeds(to_second));
  second_process.signal(SIGSTOP);
  constexpr int rounds = 30;  // a tenth of a second each
  for (int i = 0; i < rounds; ++i) {
    to_first.send(ask(static_cast<fastcgi::Number>(1 + i), id_of(10 + i)));
    pump.pass(second / 10);
    ASSERT_EQ(times_in(to_first.seen(), "Status: 200"), i + 1) << "each within a tenth of a second";
  }
  second_process.signal(SIGCONT);
  to_second.send(ask(2, id_of(2)));
  EXPECT_TRUE(succeeds(to_second, 2));
}

}  // namespace
}  // namespace rushhill::node

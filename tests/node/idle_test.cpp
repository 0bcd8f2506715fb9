// A router without a single request for a minute: what it costs, and that its first request after that is
// right. A process of its own; what it sends is counted at the other side's sockets.
#include "crowd.h"
#include "node_process.h"
#include "platform_story.h"

namespace rushhill::node {
namespace {

constexpr int idle_seconds = 60;
constexpr Time second = 10'000;  // tenths of a millisecond
#ifdef __SANITIZE_ADDRESS__
constexpr double slower = 10;  // with sanitizers and without optimization
#else
constexpr double slower = 1;
#endif
constexpr double most_processor = 0.001 * idle_seconds * slower;  // seconds; a thousandth of a core
constexpr int most_datagrams = 2 * idle_seconds;                  // to each peer; two a second

class IdleStory : public PlatformStory {
 protected:
  // Beats each second; half way through it tells that the server is another one.
  void idle_for_a_minute(const std::string& change) {
    for (int i = 1; i <= idle_seconds; ++i) {
      RawPeer& watch = *discovery.peers.back();
      if (i == idle_seconds / 2) watch.stream->write(change);
      watch.stream->write(std::string(i < idle_seconds / 2 ? "1" : "2") + "\n");
      pump.pass(second);
    }
  }

  int datagrams = 0;
  const std::unique_ptr<transport::BoundSocket> peer = reactor.open_datagrams(
      transport::numeric_address("127.0.0.1:0"), [this](const auto&, std::string_view) { ++datagrams; });
  const HeldAddress own_peer_address{reactor};
};

TEST_F(IdleStory, AMinuteWithoutARequestCostsNextToNothingAndTheNextOneIsRight) {
  Settings settings;
  settings.effect = "single_shot";
  settings.routers = 2;
  settings.peer_listen = own_peer_address.text();
  settings.peers = "\"" + settings.peer_listen + "\",\"" + peer->address().toString() + "\"";
  one.on_bytes = answer_all;
  NodeProcess process(configuration(settings, discovery.address(), host("s1", one.address())));
  const transport::Address address = process.address();
  ASSERT_TRUE(watching(discovery, "watch 1\n"));
  Visitor before(address);
  before.send(ask(1, id_of(1)));
  ASSERT_TRUE(succeeds(before));
  before.leave();
  pump.pass(second);
  const std::size_t connections = one.peers.size();
  const double used = process.processor_seconds();
  datagrams = 0;

  idle_for_a_minute(notice(2, host("s1", one.address(), "left") + "," + host("s2", other.address())));

  const double spent = process.processor_seconds() - used;
  std::cout << "    a minute of nothing: " << spent << " s of processor time, " << datagrams
            << " datagrams to its peer\n";
  EXPECT_LE(spent, most_processor);
  EXPECT_LE(datagrams, most_datagrams);
  EXPECT_EQ(discovery.peers.size(), 1U) << "followed by one watch";
  EXPECT_EQ(discovery.peers[0]->seen, "watch 1\n") << "and nothing further asked";
  EXPECT_EQ(one.peers.size(), connections) << "no server is connected to for nothing";
  EXPECT_TRUE(std::ranges::all_of(one.peers, [](const auto& connection) { return connection->ended; }))
      << "what was idle has been closed by us, before the server would";
  EXPECT_TRUE(other.peers.empty());

  Visitor after(address);
  after.send(ask(1, id_of(2)));
  ASSERT_TRUE(at_server(other, id_of(2))) << "by the list as it is now";
  servers_say(id_of(2), succeeded);
  EXPECT_TRUE(succeeds(after));
  EXPECT_EQ(times_at(one, "invoke ") + times_at(other, "invoke "), 1) << "once";
}

}  // namespace
}  // namespace rushhill::node

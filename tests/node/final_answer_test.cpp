// Every request that was read gets its one final answer: whatever its own connection shows after it, whatever
// other clients and the servers do, and with next to no time left.
#include <random>

#include "node/node.h"
#include "node_process.h"
#include "platform_story.h"

namespace rushhill::node {
namespace {

constexpr Time second = 10'000;      // tenths of a millisecond
constexpr Time late = 5'000;         // a final answer may come so long after its time and still be one
constexpr Time deadline = 25'000;    // as the configuration says
constexpr Time silent_for = 19'500;  // just below the time after which a silent connection is closed
constexpr int stall_ms = 200;
constexpr const char* end_of_request = "\1\3";  // version and type of the record that ends a request

// Records that end requests, whichever they are.
int ended_in(const std::string& seen) { return times_in(seen, end_of_request); }

class FinalAnswerStory : public PlatformStory {
 protected:
  void start(const Settings& settings, const std::string& hosts) {
    router = std::make_unique<Node>(
        reactor, read_configuration(configuration(settings, discovery.address(), hosts)), silent);
  }
  bool over(Visitor& visitor) {
    return pump.until([&] { return visitor.seen().size() > 0 && visitor.ended(); });
  }
  std::unique_ptr<Node> router;
};

// What a client sends after its request that nobody can read.
struct Unreadable {
  const char* name;
  std::string bytes;
};
std::ostream& operator<<(std::ostream& out, const Unreadable& kind) { return out << kind.name; }
std::vector<Unreadable> unreadable() {
  return {
      {"noise", std::string(20, '\xff')},
      {"much noise", std::string(100'000, '\xff')},
      {"the same number again", ask(1, id_of(2))},
      {"a beginning of the wrong length", std::string{'\1', '\1', '\0', '\7', '\0', '\1', '\0', '\0', '\0'}}};
}
class AfterUnreadable : public FinalAnswerStory, public testing::WithParamInterface<Unreadable> {};
INSTANTIATE_TEST_SUITE_P(Kinds, AfterUnreadable, testing::ValuesIn(unreadable()));

// Of every kind at once.
TEST_F(FinalAnswerStory, WhatWasReadBeforeTheUnreadableIsAnsweredAndThenTheConnectionEnds) {
  struct Client {
    Client(Unreadable sent, const transport::Address& to, std::string one_id, std::string other_id)
        : kind(std::move(sent)), later(to), together(to), first(std::move(one_id)),
          second(std::move(other_id)) {}
    Unreadable kind;
    Visitor later, together;
    std::string first, second;
  };
  start({}, host("s1", one.address(), "active", 0, "16"));
  std::vector<std::unique_ptr<Client>> clients;
  int ids = 10;
  for (const Unreadable& kind : unreadable()) {
    const transport::Address address = router->address();
    clients.push_back(std::make_unique<Client>(kind, address, id_of(ids), id_of(ids + 1)));
    ids += 2;
    Client& client = *clients.back();
    client.later.send(ask(1, client.first));
    ASSERT_TRUE(at_servers(client.first));
    client.later.send(kind.bytes);
    client.together.send(get(3, "/alive") + ask(1, client.second) + kind.bytes);
    ASSERT_TRUE(at_servers(client.second));
  }
  pump.pass(3'000);
  for (const auto& client : clients) {
    client->later.send(ask(9, id_of(++ids)));
    servers_say(client->first, succeeded);
    servers_say(client->second, succeeded);
  }
  for (const auto& client : clients) {
    EXPECT_TRUE(over(client->later)) << client->kind;
    EXPECT_TRUE(over(client->together)) << client->kind;
    EXPECT_EQ(times_in(client->later.seen(), "Status: 200"), 1) << client->kind << client->later.seen();
    EXPECT_EQ(times_in(client->together.seen(), "Status: 200"), 2) << client->kind << client->together.seen();
  }
  EXPECT_EQ(times_at_servers("invoke "), 2 * static_cast<int>(clients.size()))
      << "nothing is begun of what follows";
  EXPECT_EQ(router->front().counts().dropped, 0U);
}

TEST_P(AfterUnreadable, AClientThatGoesAfterItIsGone) {
  start({}, host("s1", one.address()) + "," + host("s2", other.address()));
  Visitor visitor(router->address());
  visitor.send(ask(1, id_of(1)));
  ASSERT_TRUE(at_servers(id_of(1)));
  visitor.send(GetParam().bytes);
  pump.pass(500);
  visitor.leave();
  servers_say(id_of(1), overloaded);
  pump.pass(3'000);
  EXPECT_EQ(times_at_servers("invoke "), 1) << "no further attempt";
  EXPECT_EQ(router->gateway().open_requests(), 0U);
}

// The loop stands still as the connection's time runs out; its first request, or the rest of one, comes
// meanwhile and is here before the connection would be closed.
TEST_F(FinalAnswerStory, WhatComesAsASilentConnectionsTimeRunsOutIsAnswered) {
  start({}, host("s1", one.address(), "active", 0, "16"));
  one.on_bytes = answer_all;
  Visitor silent_one(router->address()), half(router->address());
  const std::string request = ask(1, id_of(1)), cut = ask(1, id_of(2));
  half.send(cut.substr(0, cut.size() / 2));
  ASSERT_TRUE(pump.until([&] { return router->front().connections() == 2; }));
  pump.pass(silent_for);
  ASSERT_EQ(router->front().connections(), 2U);
  reactor.every_turn([&] {
    reactor.post([this] { reactor.every_turn(nullptr); });  // once
    silent_one.send(request);
    half.send(cut.substr(cut.size() / 2));
    stand_still(stall_ms);
  });
  EXPECT_TRUE(succeeds(silent_one));
  EXPECT_TRUE(succeeds(half));
}

// Clients and servers of every kind of trouble, by chance, around clients that only ask and wait.
class BesideTrouble : public PlatformStory, public testing::WithParamInterface<unsigned> {
 protected:
  static constexpr int patient_clients = 4, rounds = 15;

  void trouble_at_servers() {
    for (RawServer* server : {&one, &other}) {
      server->on_bytes = [this](RawPeer& peer) {
        const std::string end = "3\r\nask\r\n";
        for (std::size_t at = 0; (at = peer.seen.find(end)) != std::string::npos;
             peer.seen.erase(0, at + end.size()))
          say(peer, peer.seen.substr(peer.seen.find("invoke ") + 7, 16));
      };
    }
  }
  void say(RawPeer& peer, const std::string& id) {
    switch (chance() % 10) {
      case 0:
        return peer.stream->reset();
      case 1:
        return peer.stream->shutdown_write();
      case 2:
        return peer.stream->write(std::string(20, '\xff'));
      case 3:
        return peer.stream->write(id + overloaded);
      case 4:
        return peer.stream->write(id + " FAULT - 0\r\n\r\n");
      case 5:
        return;  // never
      case 6:
        return peer.stream->write(id + succeeded + id + succeeded);
      default:
        return peer.stream->write(id + succeeded);
    }
  }
  void trouble_of_a_client(const transport::Address& address) {
    Visitor visitor(address);
    const std::string request = ask(1, id_of(++ids));
    switch (chance() % 6) {
      case 0:
        return visitor.send(request + std::string(50, '\xff'));
      case 1:
        visitor.send(request);
        return visitor.reset();
      case 2:
        visitor.send(request.substr(0, request.size() / 2));
        return visitor.half_close();
      case 3:
        return visitor.send(request + abort_request(1));
      case 4:
        return visitor.send(request + request);
      default:
        return visitor.send(std::string(70'000, '\1'));
    }
  }

  std::mt19937 chance{GetParam()};
  int ids = 0;
};
INSTANTIATE_TEST_SUITE_P(Seeds, BesideTrouble, testing::Range(1U, 3U));

TEST_P(BesideTrouble, EachRequestOfAClientThatWaitsGetsOneFinalAnswerInTime) {
  Settings settings;
  settings.cancel = "true";
  settings.promise = "500000000";
  trouble_at_servers();
  NodeProcess process(configuration(
      settings, discovery.address(),
      host("s1", one.address(), "active", 0, "16") + "," + host("s2", other.address(), "active", 0, "16")));
  const transport::Address address = process.address();
  std::vector<std::unique_ptr<Visitor>> patient;
  for (int i = 0; i < patient_clients; ++i) patient.push_back(std::make_unique<Visitor>(address));
  for (int round = 1; round <= rounds; ++round) {
    for (const auto& client : patient)
      client->send(ask(static_cast<fastcgi::Number>(round), id_of(++ids), {.allow_ms = 1'000}));
    trouble_of_a_client(address);
    trouble_of_a_client(address);
    pump.pass(30 + static_cast<Time>(chance() % 100));
  }
  for (const auto& client : patient) {
    EXPECT_TRUE(pump.until([&] { return ended_in(client->seen()) >= rounds; }, second + late))
        << client->seen();
  }
  pump.pass(500);
  for (const auto& client : patient) {
    EXPECT_EQ(ended_in(client->seen()), rounds) << "one each";
    EXPECT_FALSE(client->ended());
  }
  process.signal(SIGTERM);
  EXPECT_TRUE(process.says("dropped 0, open 0"));
  EXPECT_TRUE(process.ended_well());
}

// Servers may drop what has next to no time left without a word. Each of these has its answer in time, and
// the servers are not held for dead.
TEST_F(FinalAnswerStory, RequestsWithNextToNoTimeLeftAreAnsweredAndServersStayInUse) {
  start({}, host("s1", one.address(), "active", 0, "16"));
  Visitor visitor(router->address());
  const int times[] = {1, 2, 5, 10, 20, 1, 2, 5, 10, 20};
  int asked = 0;
  const Time sent = reactor.now();
  for (const int allow : times) {
    ++asked;
    visitor.send(ask(static_cast<fastcgi::Number>(asked), id_of(asked), {.allow_ms = allow}));
  }
  EXPECT_TRUE(pump.until([&] { return ended_in(visitor.seen()) == asked; }, late));
  EXPECT_LT(reactor.now() - sent, 200 + late);
  for (int i = 1; i <= asked; ++i) {
    for (const auto& peer : one.peers) {
      const std::size_t command = peer->seen.find("invoke " + id_of(i));
      if (command == std::string::npos) continue;
      EXPECT_LE(std::atoi(peer->seen.c_str() + peer->seen.find("max=", command) + 4), times[i - 1]);
    }
  }
  one.on_bytes = answer_all;
  for (const auto& peer : one.peers) peer->seen.clear();
  visitor.send(ask(30, id_of(30)));
  EXPECT_TRUE(pump.until([&] { return times_in(visitor.seen(), "Status: 200") == 1; }, second));
  EXPECT_EQ(ended_in(visitor.seen()), asked + 1);
}

// A server answers a request and forgets the connection while it rests: no close, and what comes on it is
// never read. The request that meets it has its final answer in time, the next ones are served.
TEST_F(FinalAnswerStory, AConnectionThatItsServerForgotWhileItRestedCostsNoAnswer) {
  Settings settings;
  settings.cancel = "true";
  settings.promise = "500000000";
  start(settings, host("s1", one.address(), "active", 0, "16"));
  one.on_bytes = answer_all;
  Visitor visitor(router->address());
  visitor.send(ask(1, id_of(1)));
  ASSERT_TRUE(succeeds(visitor));
  pump.pass(second);
  for (const auto& peer : one.peers) peer->stream->set_reading(false);
  const std::size_t forgotten = one.peers.size();
  visitor.send(ask(2, id_of(2)));
  EXPECT_TRUE(pump.until([&] { return ended_in(visitor.seen()) == 2; }, deadline + late));
  ASSERT_EQ(one.peers.size() > forgotten || times_in(visitor.seen(), "Status: 504") == 1, true);
  visitor.send(ask(3, id_of(3)));
  EXPECT_TRUE(pump.until([&] { return ended_in(visitor.seen()) == 3; }, deadline + late));
  EXPECT_GE(times_in(visitor.seen(), "Status: 200"), 2);
}

// One server refuses each request, the others refuse each connection: every retry fails at once.
TEST_F(FinalAnswerStory, WhereEachRetryFailsAtOnceEachRequestHasItsAnswerAndNothingSpins) {
  const HeldAddress nobody(reactor), nobody_else(reactor);
  int attempts = 0;
  one.on_bytes = [&](RawPeer& peer) {
    const std::string end = "3\r\nask\r\n";
    for (std::size_t at = 0; (at = peer.seen.find(end)) != std::string::npos;
         peer.seen.erase(0, at + end.size())) {
      ++attempts;
      peer.stream->write(peer.seen.substr(peer.seen.find("invoke ") + 7, 16) + overloaded);
    }
  };
  start({},
        host("s1", one.address()) + "," + host("s2", nobody.text()) + "," + host("s3", nobody_else.text()));
  Visitor visitor(router->address());
  constexpr int requests = 10, most_attempts = 5;  // of one request, as the configuration says
  for (int i = 1; i <= requests; ++i)
    visitor.send(ask(static_cast<fastcgi::Number>(i), id_of(i), {.allow_ms = 1'000}));
  EXPECT_TRUE(pump.until([&] { return ended_in(visitor.seen()) == requests; }, second + late));
  EXPECT_EQ(times_in(visitor.seen(), "Status: 200"), 0);
  EXPECT_LE(router->gateway().tally().attempts, static_cast<std::uint64_t>(requests * most_attempts));
  EXPECT_LE(attempts, requests * most_attempts);
  EXPECT_EQ(router->gateway().open_requests(), 0U);
}

// New configurations one after another while requests are out and come: none is lost, the last one holds.
TEST_F(FinalAnswerStory, ThroughTwentyReloadsInARowEachRequestIsAnswered) {
  constexpr int reloads = 20;
  one.on_bytes = answer_all;
  other.on_bytes = answer_all;
  NodeProcess process(configuration({}, discovery.address(), host("s1", one.address(), "active", 0, "16")));
  const transport::Address process_address = process.address();
  Visitor visitor(process_address);
  for (int i = 1; i <= reloads; ++i) {
    visitor.send(ask(static_cast<fastcgi::Number>(i), id_of(i)));
    const bool last = i == reloads;
    process.reload(configuration(
        {}, discovery.address(),
        host(last ? "s2" : "s1", last ? other.address() : one.address(), "active", 0, "16"), 1 + i));
    pump.pass(300);
  }
  EXPECT_TRUE(succeeds(visitor, reloads));
  int more = reloads;
  EXPECT_TRUE(pump.until(
      [&] {
        Visitor after(process_address);
        after.send(ask(1, id_of(++more)));
        return succeeds(after) && !other.peers.empty();
      },
      second))
      << "the last one holds";
  process.signal(SIGTERM);
  EXPECT_TRUE(process.says("dropped 0, open 0"));
  EXPECT_TRUE(process.ended_well());
}

}  // namespace
}  // namespace rushhill::node

// Every request that the router has taken ends in exactly one count: answered, cancelled by its client, or
// dropped, which never happens while the process lives and its clients read.
#include <random>
#include <thread>

#include "loopback.h"
#include "node/node.h"
#include "platform.h"

namespace rushhill::node {
namespace {

using frontends::RequestCounts;

constexpr const char* first_id = "aaaaaaaaaaaaaaaa";
constexpr const char* second_id = "bbbbbbbbbbbbbbbb";
constexpr Time beyond_half_request = 22'000;   // tenths of a millisecond; a half request is closed after 2 s
constexpr Time after_the_last_answer = 5'000;  // beyond what a client has to leave once it has been answered
constexpr int large_answers = 5;
constexpr std::size_t large_answer = 1'000'000;  // bytes; more than the system takes for a client that waits
constexpr int small_window = 2 * 1024;           // bytes that a slow client takes without reading

std::string answer_of(const std::string& id, std::size_t size) {
  return id + " HIT - " + std::to_string(size) + "\r\n" + std::string(size, 'x') + "\r\n";
}

// A client whose window is so small that a large answer stands with the router until it is read.
class SlowClient {
 public:
  explicit SlowClient(const transport::Address& to)
      : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &small_window, sizeof small_window);
    connected_ = connect(socket_, to.addr(), to.length()) == 0;
  }
  ~SlowClient() { close(socket_); }
  SlowClient(const SlowClient&) = delete;
  SlowClient& operator=(const SlowClient&) = delete;
  bool connected() const { return connected_; }
  void send(const std::string& bytes) const { ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL); }
  // Reads what stands there; false: the connection has ended.
  bool read() {
    char bytes[64 * 1024];
    ssize_t got = 0;
    while ((got = recv(socket_, bytes, sizeof bytes, MSG_DONTWAIT)) > 0)
      seen_.append(bytes, static_cast<std::size_t>(got));
    return got < 0 && errno == EAGAIN;
  }
  const std::string& seen() const { return seen_; }

 private:
  int socket_;
  bool connected_ = false;
  std::string seen_;
};

class RequestsStory : public testing::Test {
 protected:
  void start(const Settings& settings = {}) {
    router = std::make_unique<Node>(
        reactor,
        read_configuration(configuration(settings, discovery.address(),
                                         host("s1", server.address(), "active", 0, "16") + "," +
                                             host("s2", server.address(), "active", 0, "16"))),
        silent);
  }
  const RequestCounts& counts() const { return router->front().counts(); }
  // At any instant: what is open by the counts is at least what the connections hold, the rest being answers
  // on their way out.
  void expect_balanced() const {
    ASSERT_TRUE(counts().balanced()) << to_text(counts());
    ASSERT_GE(counts().open, router->front().open_requests()) << to_text(counts());
  }
  bool all_ended() {
    return pump.until([&] { return counts().open == 0 && router->gateway().open_requests() == 0; }, 60'000);
  }
  void servers_say(const std::string& id, const std::string& bytes) const {
    for (const auto& peer : server.peers) {
      if (peer->seen.find(id) != std::string::npos) peer->stream->write(bytes);
    }
  }
  bool at_server(const std::string& id) {
    return pump.until([&] {
      return std::ranges::any_of(server.peers,
                                 [&](const auto& peer) { return peer->seen.find(id) != std::string::npos; });
    });
  }

  transport::Loop reactor;
  Pump pump{reactor};
  Silent silent;
  RawServer server{reactor}, discovery{reactor};
  std::unique_ptr<Node> router;
};

TEST_F(RequestsStory, EachWayInWhichARequestEndsIsItsOwnCount) {
  start();
  Visitor answered(router->address());
  answered.send(ask(1, first_id));
  ASSERT_TRUE(at_server(first_id));
  EXPECT_EQ(counts().open, 1U);
  servers_say(first_id, first_id + succeeded);
  ASSERT_TRUE(pump.until([&] { return counts().answered == 1; }));

  answered.send(ask(2, second_id));
  ASSERT_TRUE(at_server(second_id));
  answered.send(abort_request(2));
  ASSERT_TRUE(pump.until([&] { return counts().cancelled == 1; }));

  Visitor leaves(router->address());
  leaves.send(ask(1, second_id) + ask(2, first_id));
  ASSERT_TRUE(pump.until([&] { return counts().taken == 4; }));
  leaves.leave();
  ASSERT_TRUE(pump.until([&] { return counts().cancelled == 3; }));

  Visitor refused(router->address());
  refused.send(get(1, "/nowhere") + get(2, "/alive"));
  ASSERT_TRUE(pump.until([&] { return counts().answered == 3; }));
  expect_balanced();
  EXPECT_EQ(counts().open, 0U);
  EXPECT_EQ(counts().dropped, 0U);
}

TEST_F(RequestsStory, TheCountsAreServedAsMetrics) {
  start();
  Visitor visitor(router->address());
  visitor.send(get(1, "/alive"));
  ASSERT_TRUE(pump.until([&] { return counts().answered == 1; }));
  visitor.send(get(2, "/metrics"));
  ASSERT_TRUE(pump.until([&] { return counts().answered == 2; }));
  const std::string& seen = visitor.seen();
  EXPECT_NE(seen.find("\nrushhill_requests_taken_total 2\n"), std::string::npos) << seen;
  EXPECT_NE(seen.find("\nrushhill_requests_answered_total 1\n"), std::string::npos);
  EXPECT_NE(seen.find("\nrushhill_requests_cancelled_total 0\n"), std::string::npos);
  EXPECT_NE(seen.find("\nrushhill_requests_dropped_total 0\n"), std::string::npos);
  EXPECT_NE(seen.find("\nrushhill_requests_open 1\n"), std::string::npos) << "the one for the metrics itself";
}

TEST_F(RequestsStory, AnAnswerIsOwedWhileAFurtherRequestOnItsConnectionStopsHalfway) {
  start();
  Visitor visitor(router->address());
  const std::string further = ask(2, second_id);
  visitor.send(ask(1, first_id) + further.substr(0, further.size() / 2));
  ASSERT_TRUE(at_server(first_id));
  pump.pass(beyond_half_request);
  servers_say(first_id, first_id + succeeded);
  EXPECT_TRUE(pump.until([&] { return visitor.seen().find("Status: 200") != std::string::npos; }, 20'000));
  EXPECT_EQ(counts().answered, 1U);
  EXPECT_EQ(counts().dropped, 0U);
  ASSERT_TRUE(pump.until([&] { return router->front().connections() == 0; })) << "then it has to go";
}

// What the system has not taken of the last answer on a connection is sent at its client's pace.
TEST_F(RequestsStory, ALastAnswerIsReadAtItsClientsPace) {
  start();
  SlowClient client(router->address());
  ASSERT_TRUE(client.connected());
  for (int i = 1; i <= large_answers; ++i) {
    client.send(ask(static_cast<fastcgi::Number>(i), id_of(i), {.keep = false}));
    ASSERT_TRUE(at_server(id_of(i)));
  }
  for (int i = 1; i <= large_answers; ++i) servers_say(id_of(i), answer_of(id_of(i), large_answer));
  ASSERT_TRUE(pump.until([&] { return router->gateway().open_requests() == 0; }));
  pump.pass(after_the_last_answer);
  ASSERT_GT(counts().open, 0U) << "the system has not taken them all";
  while (client.read()) pump.pass(20);
  EXPECT_EQ(times_in(client.seen(), "Status: 200"), large_answers);
  EXPECT_GT(client.seen().size(), large_answers * large_answer);
  EXPECT_TRUE(pump.until([&] { return counts().answered == large_answers; }, 20'000)) << to_text(counts());
  EXPECT_EQ(counts().dropped, 0U);
}

// The one way in which an answer is never sent while the process lives, and it shows.
TEST_F(RequestsStory, AClientThatReadsNothingAndAsksOnIsDroppedAndCounted) {
  start();
  server.on_bytes = [](RawPeer& peer) {
    const std::string end = "3\r\nask\r\n";
    for (std::size_t at = 0; (at = peer.seen.find(end)) != std::string::npos;
         peer.seen.erase(0, at + end.size()))
      peer.stream->write(answer_of(peer.seen.substr(peer.seen.find("invoke ") + 7, 16), large_answer));
  };
  SlowClient client(router->address());
  for (int i = 0; i < 8; ++i) {
    client.send(ask(static_cast<fastcgi::Number>(1 + i), "aaaaaaaaaaaaaa" + std::to_string(10 + i)));
    pump.pass(1'000);
  }
  EXPECT_TRUE(pump.until([&] { return counts().dropped > 0; }, 50'000)) << to_text(counts());
  expect_balanced();
}

// Tries to break the identity: clients of every kind by chance, looked at after each step.
class RandomClients : public RequestsStory, public testing::WithParamInterface<unsigned> {
 protected:
  enum class Act {
    ask,
    ask_twice,
    ask_wrong,
    half,
    rest,
    cancel,
    leave,
    half_close,
    reset,
    garble,
    health,
    count
  };
  struct Client {
    std::unique_ptr<Visitor> visitor;
    std::string rest;  // of a request of which half has been sent
    fastcgi::Number last = 0;
  };

  std::string next_id() { return id_of(++ids); }
  void answer_by_chance() {
    server.on_bytes = [this](RawPeer& peer) {
      const std::string end = "3\r\nask\r\n";
      for (std::size_t at = 0; (at = peer.seen.find(end)) != std::string::npos;
           peer.seen.erase(0, at + end.size())) {
        const std::string id = peer.seen.substr(peer.seen.find("invoke ") + 7, 16);
        switch (answer_choice() % 8) {
          case 0:
            return peer.stream->reset();
          case 1:
            peer.stream->write(id + overloaded);
            break;
          case 2:
            peer.stream->write(id + " FAULT - 0\r\n\r\n");
            break;
          case 3:
            break;  // never
          default:
            peer.stream->write(id + succeeded);
        }
      }
    };
  }
  void act(Client& client) {
    if (!client.visitor) client.visitor = std::make_unique<Visitor>(router->address());
    Visitor& visitor = *client.visitor;
    const auto number = [&] { return ++client.last; };
    switch (static_cast<Act>(chance() % static_cast<unsigned>(Act::count))) {
      case Act::ask:
        return visitor.send(ask(number(), next_id()));
      case Act::ask_twice:
        return visitor.send(ask(number(), next_id()) + ask(number(), next_id()));
      case Act::ask_wrong:
        return visitor.send(ask(number(), "no id"));
      case Act::half: {
        const std::string whole = ask(number(), next_id());
        const std::size_t cut = 1 + chance() % (whole.size() - 1);
        visitor.send(std::exchange(client.rest, whole.substr(cut)) + whole.substr(0, cut));
        return;
      }
      case Act::rest:
        return visitor.send(std::exchange(client.rest, ""));
      case Act::cancel:
        return visitor.send(abort_request(static_cast<char>(client.last % 100)));
      case Act::leave:
        return client.visitor.reset();
      case Act::half_close:
        visitor.half_close();
        client = {};
        return;
      case Act::reset:
        visitor.reset();
        client = {};
        return;
      case Act::garble:
        visitor.send(std::string(20, '\xff'));
        client = {};
        return;
      default:
        return visitor.send(get(number(), "/alive"));
    }
  }

  // The endpoint draws from a generator of its own: the order of socket events must not decide what clients
  // do.
  std::mt19937 chance{GetParam()};
  std::mt19937 answer_choice{GetParam() + 1'000};
  int ids = 0;
};
INSTANTIATE_TEST_SUITE_P(Seeds, RandomClients, testing::Range(1U, 5U));

TEST_P(RandomClients, TheCountsBalanceAtEveryInstantAndNothingIsDropped) {
  Settings settings;
  settings.cancel = "true";
  start(settings);
  answer_by_chance();
  std::vector<Client> clients(6);
  for (int step = 0; step < 600; ++step) {
    act(clients[chance() % clients.size()]);
    if (chance() % 3 == 0) pump.pass(1 + static_cast<Time>(chance() % 50));
    expect_balanced();
    if (HasFatalFailure()) return;
  }
  EXPECT_TRUE(all_ended()) << to_text(counts());
  expect_balanced();
  EXPECT_GT(counts().answered, 20U);
  EXPECT_GT(counts().cancelled, 20U);
  EXPECT_EQ(counts().dropped, 0U);
}

}  // namespace
}  // namespace rushhill::node

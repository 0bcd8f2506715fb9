// A router process that is told to end (SIGTERM) and killed as early as that may be: the longest deadline, of
// which 3 s count at most, and 0.7 s later. Its clients go on sending on their open connections until then;
// one of its servers hangs all the while. Every request has its final answer.
#include <algorithm>

#include "node_process.h"
#include "platform_story.h"

namespace rushhill::node {
namespace {

constexpr Time second = 10'000;  // tenths of a millisecond
constexpr Time counted_at_most = 3 * second, killed_after = 7'000;
constexpr Time before_the_signal = 3'000;
constexpr Time between_requests = 200;
constexpr Time new_connections_until = 4'000;  // after the signal
constexpr int steady_clients = 6;
constexpr int most_open = 30;  // requests on one connection, a router's own bound is 32
constexpr const char* end_of_request = "\1\3";

// A client that sends a request at each step for as long as its connection stands.
struct SteadyClient {
  explicit SteadyClient(const transport::Address& to) : connection(to) {}
  int ended() { return times_in(connection.seen(), end_of_request); }
  bool may_send() { return !over && sent - ended() < most_open; }

  Visitor connection;
  int sent = 0;
  bool over = false;  // the router has ended it
};

class ShutdownStory : public PlatformStory, public testing::WithParamInterface<int> {
 protected:
  static Settings settings() {
    Settings told;
    told.deadline = std::to_string(GetParam()) + "000000";
    told.promise = std::to_string(GetParam() / 2) + "000000";
    return told;
  }
  // Looks first whether the connection has ended: what is sent after that would be the client's own fault.
  void step(SteadyClient& client) {
    client.over = client.over || client.connection.ended();
    if (client.over) client.connection.leave();
    if (!client.may_send()) return;
    ++client.sent;
    client.connection.send(
        ask(static_cast<fastcgi::Number>(1 + client.sent % 1'000), id_of(++ids), {.allow_ms = GetParam()}));
  }
  void step_all() {
    for (const auto& client : clients) step(*client);
    pump.pass(between_requests);
  }

  std::vector<std::unique_ptr<SteadyClient>> clients;
  int ids = 0;
};
INSTANTIATE_TEST_SUITE_P(DeadlinesInMs, ShutdownStory, testing::Values(200, 1'000, 5'000));

TEST_P(ShutdownStory, WhatIsReadUntilTheKillIsAnsweredBeforeIt) {
  one.on_bytes = answer_all;  // the other one hangs
  NodeProcess process(configuration(
      settings(), discovery.address(),
      host("s1", one.address(), "active", 0, "16") + "," + host("s2", other.address(), "active", 0, "16")));
  const transport::Address address = process.address();
  for (int i = 0; i < steady_clients; ++i) clients.push_back(std::make_unique<SteadyClient>(address));
  const Time before = reactor.now() + before_the_signal;
  while (reactor.now() < before) step_all();

  process.signal(SIGTERM);
  const Time told = reactor.now();
  const Time killed = told + std::min<Time>(GetParam() * 10, counted_at_most) + killed_after;
  while (reactor.now() < killed) {
    if (reactor.now() < told + new_connections_until && clients.size() < 2 * steady_clients)
      clients.push_back(std::make_unique<SteadyClient>(address));
    step_all();
  }
  const bool ended_by_itself = process.ended();
  process.signal(SIGKILL);
  process.wait();

  int answered = 0;
  for (const auto& client : clients) {
    const int ended = client->ended();
    answered += ended;
    // One that crosses the end of its connection is sent again by its client.
    const int crossing = client->over || client->connection.ended() ? 1 : 0;
    EXPECT_GE(ended, client->sent - crossing) << "of " << client->sent;
    EXPECT_LE(ended, client->sent);
  }
  EXPECT_TRUE(ended_by_itself) << "it need not wait for the kill";
  EXPECT_GT(answered, 100);
}

}  // namespace
}  // namespace rushhill::node

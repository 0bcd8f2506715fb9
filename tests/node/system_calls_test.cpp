// A whole router over real sockets while its system calls fail: every request that it reads gets exactly one
// final answer, in time, and it does not spin. Its partners have a loop of their own, whose calls go well.
#include <cstring>

#include "node/node.h"
#include "platform_story.h"
#include "simulation/faulty_system_calls.h"
#include "transport/datagram_endpoint.h"

namespace rushhill::node {
namespace {

using simulation::FaultySystemCalls;
using simulation::SystemCall;
using simulation::SystemCallFailure;

constexpr Time a_step = 5;                  // tenths of a millisecond, of each loop in turn
constexpr Time owed_within = 30'000;        // likewise; what a client is owed that misbehaves, too
constexpr std::uint64_t calls_a_step = 60;  // on the average of a story; spinning makes many more
constexpr int clients = 6;

std::string named(const SystemCallFailure& failure) {
  return "call " + std::to_string(static_cast<int>(failure.call)) + ", " +
         (failure.error == 0 ? "short" : strerrorname_np(failure.error));
}

// A router on a loop of its own.
struct FaultyRouter {
  FaultyRouter(const std::string& text, std::uint64_t seed, const SystemCallFailure* at_start)
      : system(seed) {
    if (at_start != nullptr) system.fail_once(*at_start, 1);
    reactor = std::make_unique<transport::Loop>(system);
    pump = std::make_unique<Pump>(*reactor);
    node = std::make_unique<Node>(*reactor, read_configuration(text), silent);
  }
  FaultySystemCalls system;
  Silent silent;
  std::unique_ptr<transport::Loop> reactor;
  std::unique_ptr<Pump> pump;
  std::unique_ptr<Node> node;
};

class SystemCallDay : public testing::Test {
 protected:
  SystemCallDay() {
    for (RawServer* server : {&one, &other}) {
      server->on_bytes = [this](RawPeer& at) {
        if (std::exchange(cut_next, false)) return at.stream->close();
        answer_all(at);
      };
    }
  }
  void start(std::uint64_t seed, const SystemCallFailure* at_start = nullptr) {
    visitors.clear();
    router.reset();
    Settings settings;
    settings.routers = 2;
    settings.peer_listen = peer_address.text();
    settings.peers = "\"" + peer_address.text() + "\",\"" + peer.address().toString() + "\"";
    router = std::make_unique<FaultyRouter>(
        configuration(settings, discovery.address(),
                      host("s1", one.address()) + "," + host("s2", other.address())),
        seed, at_start);
  }
  void step() {
    partner_pump.pass(a_step);
    router->pump->pass(a_step);
    ++steps;
  }
  bool until(const std::function<bool()>& holds) {
    const Time end = partners.now() + owed_within;
    while (!holds() && partners.now() < end) step();
    return holds();
  }
  // One request of each client, on the connection that it has; `fresh`: on a new one.
  void ask_each(bool fresh) {
    if (fresh) {
      visitors.clear();
      asked_on_each = 0;
      for (int i = 0; i < clients; ++i)
        visitors.push_back(std::make_unique<Visitor>(router->node->address()));
    }
    ++asked_on_each;
    for (const auto& visitor : visitors) visitor->send(ask(1, id_of(++last_id)));
  }
  bool all_answered() {
    return std::ranges::all_of(visitors, [&](const auto& visitor) {
      return times_in(visitor->seen(), "Status: ") >= asked_on_each;
    });
  }
  // How many answers with this beginning have come to all clients that are there.
  int answers(const std::string& status) {
    int found = 0;
    for (const auto& visitor : visitors) found += times_in(visitor->seen(), status);
    return found;
  }
  std::uint64_t endings(core::Gateway& gateway, AttemptOutcome ending) const {
    return gateway.tally().outcomes[static_cast<std::size_t>(ending)];
  }

  transport::Loop partners;
  Pump partner_pump{partners};
  RawServer one{partners}, other{partners}, discovery{partners};
  HeldAddress peer_address{partners};
  std::vector<std::string> peer_words;
  transport::DatagramEndpoint peer{
      partners, transport::numeric_address("127.0.0.1:0"),
      [this](const transport::Address&, std::string_view bytes) { peer_words.emplace_back(bytes); }};
  std::unique_ptr<FaultyRouter> router;
  std::vector<std::unique_ptr<Visitor>> visitors;
  int asked_on_each = 0, last_id = 0;
  bool cut_next = false;  // the connection on which a server is asked next is lost
  std::uint64_t steps = 0;
};

bool happens_at_start(const SystemCallFailure& failure) {
  using enum SystemCall;
  if (failure.error == EACCES) return false;  // lasts: it ends a start, with its reason
  return failure.call == epoll_create1 || failure.call == socket || failure.call == bind ||
         failure.call == setsockopt || failure.call == getsockname || failure.call == epoll_ctl;
}
bool happens_later(const SystemCallFailure& failure) {
  using enum SystemCall;
  return failure.call != epoll_create1 && failure.call != bind && failure.call != getsockname;
}

// Beside a connection to a server that is lost, and words of a peer. Every call fails in every way once: at
// the start, and at its first and third time from then on.
TEST_F(SystemCallDay, NoSingleFailureCostsARequestItsAnswer) {
  for (const SystemCallFailure& failure : simulation::documented_failures()) {
    std::uint64_t fired = 0;
    for (const int nth : {0, 1, 3}) {
      const std::string at = named(failure) + " at " + std::to_string(nth);
      if (!(nth == 0 ? happens_at_start(failure) : happens_later(failure))) continue;
      start(1, nth == 0 ? &failure : nullptr);
      steps = 0;
      const std::uint64_t calls_before = router->system.calls();
      if (nth > 0) router->system.fail_once(failure, nth);
      for (int round = 0; round < 2; ++round) {
        cut_next = round == 0;
        for (int i = 0; i < 3; ++i) peer.send(transport::numeric_address(peer_address.text()), "s1 u50");
        ask_each(round == 0);
        ASSERT_TRUE(until([&] { return all_answered(); })) << at;
      }
      step();
      EXPECT_EQ(answers("Status: "), 2 * clients) << at;
      EXPECT_EQ(answers("Status: 200"), 2 * clients) << at;
      EXPECT_EQ(router->node->gateway().open_requests(), 0U) << at;
      EXPECT_LE(router->system.failures(), 1U) << at;
      fired += router->system.failures();
      EXPECT_LT(router->system.calls() - calls_before, 1'000 + calls_a_step * steps) << at;
    }
    EXPECT_GT(fired, 0U) << named(failure);
  }
}

class SystemCallDayOfSeed : public SystemCallDay, public testing::WithParamInterface<std::uint64_t> {};
INSTANTIATE_TEST_SUITE_P(Seeds, SystemCallDayOfSeed, testing::Values(1, 2, 3));

// One call in twenty fails.
TEST_P(SystemCallDayOfSeed, EveryRequestGetsOneAnswerInTime) {
  constexpr int rounds = 60;
  start(GetParam());
  router->system.fail_all_at_rate(0.05);
  int asked = 0, answered = 0;
  for (int round = 0; round < rounds; ++round) {
    const bool fresh = round % 5 == 0;
    if (fresh) answered += visitors.empty() ? 0 : answers("Status: ");
    ask_each(fresh);
    asked += clients;
    ASSERT_TRUE(until([&] { return all_answered(); })) << "round " << round;
  }
  step();
  answered += answers("Status: ");
  EXPECT_EQ(answered, asked);
  EXPECT_EQ(router->node->gateway().open_requests(), 0U);
  EXPECT_GT(router->system.failures(), 100U);
  EXPECT_LT(router->system.calls(), 1'000 + calls_a_step * steps);
}

// While no connection can be begun for want of something here, nothing is held against a server or said to
// peers, and the requests that come after it are answered well.
TEST_F(SystemCallDay, WhatThisMachineLacksIsNoEvidenceAgainstAServer) {
  for (const SystemCallFailure& failure : simulation::documented_failures()) {
    const bool connecting = failure.call == SystemCall::socket || failure.call == SystemCall::connect ||
                            failure.call == SystemCall::connect_outcome;
    if (!connecting || failure.accuses_peer || failure.error == EINTR) continue;
    start(1);
    peer_words.clear();
    router->system.fail_always(failure);
    steps = 0;
    const std::uint64_t calls_before = router->system.calls();
    ask_each(true);
    ASSERT_TRUE(until([&] { return all_answered(); })) << named(failure);
    EXPECT_EQ(answers("Status: "), clients) << named(failure);
    EXPECT_LT(router->system.calls() - calls_before, 1'000 + calls_a_step * steps) << named(failure);
    core::Gateway& gateway = router->node->gateway();
    EXPECT_GT(endings(gateway, AttemptOutcome::not_sent), 0U) << named(failure);
    EXPECT_EQ(endings(gateway, AttemptOutcome::connect_failed), 0U) << named(failure);
    EXPECT_EQ(endings(gateway, AttemptOutcome::connection_lost), 0U) << named(failure);
    router->system.heal();
    ask_each(true);
    ASSERT_TRUE(until([&] { return all_answered(); })) << named(failure);
    EXPECT_EQ(answers("Status: 200"), clients) << named(failure);
    for (const std::string& word : peer_words)
      EXPECT_NE(word.find(" u"), std::string::npos) << "said of a server: " << word;
  }
}

// What stands in the queue when a router ends was taken for it by the system.
TEST_F(SystemCallDay, WhatStandsInTheQueueAtTheEndIsAnsweredThoughAcceptFails) {
  start(5);
  bool over = false;
  router->node->start_draining([&] { over = true; });
  step();
  ask_each(true);
  router->system.fail_at_rate(SystemCall::accept4, 0.8);
  stand_still(900);  // past the span in which requests still come
  EXPECT_TRUE(until([&] { return all_answered(); }));
  EXPECT_EQ(answers("Status: 200"), clients);
  visitors.clear();
  EXPECT_TRUE(until([&] { return over; }));
}

}  // namespace
}  // namespace rushhill::node

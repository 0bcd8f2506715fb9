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

// A router whose requests all have the same deadline, and its clients.
class EndingRouter {
 public:
  EndingRouter(transport::Loop& loop, int deadline, const std::string& discovery, const std::string& hosts)
      : reactor_(loop), deadline_ms_(deadline), process_(configuration(settings(deadline), discovery, hosts)),
        address_(process_.address()) {
    for (int i = 0; i < steady_clients; ++i) add_client();
  }
  void step() {
    for (const auto& client : clients_) step(*client);
  }
  void tell() {
    process_.signal(SIGTERM);
    told_ = reactor_.now();
  }
  void step_towards_the_kill() {
    if (killed_) return;
    if (reactor_.now() >= told_ + std::min<Time>(deadline_ms_ * 10, counted_at_most) + killed_after)
      return kill();
    if (reactor_.now() < told_ + new_connections_until && clients_.size() < 2 * steady_clients) add_client();
    step();
  }
  bool killed() const { return killed_; }
  void judge() {
    SCOPED_TRACE(deadline_ms_);
    int answered = 0;
    for (const auto& client : clients_) {
      const int ended = client->ended();
      answered += ended;
      // One that crosses the end of its connection is sent again by its client.
      const int crossing = client->over || client->connection.ended() ? 1 : 0;
      EXPECT_GE(ended, client->sent - crossing) << "of " << client->sent;
      EXPECT_LE(ended, client->sent);
    }
    EXPECT_TRUE(ended_by_itself_) << "it need not wait for the kill";
    EXPECT_GT(answered, 100);
  }

 private:
  static Settings settings(int deadline) {
    Settings told;
    told.deadline = std::to_string(deadline) + "000000";
    told.promise = std::to_string(deadline / 2) + "000000";
    return told;
  }
  void add_client() { clients_.push_back(std::make_unique<SteadyClient>(address_)); }
  // Looks first whether the connection has ended: what is sent after that would be the client's own fault.
  void step(SteadyClient& client) {
    client.over = client.over || client.connection.ended();
    if (client.over) client.connection.leave();
    if (!client.may_send()) return;
    ++client.sent;
    client.connection.send(ask(static_cast<fastcgi::Number>(1 + client.sent % 1'000), id_of(++ids_),
                               {.allow_ms = deadline_ms_}));
  }
  void kill() {
    killed_ = true;
    ended_by_itself_ = process_.ended();
    process_.signal(SIGKILL);
    process_.wait();
  }

  transport::Loop& reactor_;
  int deadline_ms_;
  NodeProcess process_;
  transport::Address address_;
  std::vector<std::unique_ptr<SteadyClient>> clients_;
  int ids_ = 0;
  Time told_ = 0;
  bool killed_ = false, ended_by_itself_ = false;
};

class ShutdownStory : public PlatformStory {};

// Three routers at once, each with a deadline of its own; none knows of the others.
TEST_F(ShutdownStory, WhatIsReadUntilTheKillIsAnsweredBeforeIt) {
  one.on_bytes = answer_all;  // the other one hangs
  const std::string hosts =
      host("s1", one.address(), "active", 0, "16") + "," + host("s2", other.address(), "active", 0, "16");
  std::vector<std::unique_ptr<EndingRouter>> routers;
  for (const int deadline_ms : {200, 1'000, 5'000})
    routers.push_back(std::make_unique<EndingRouter>(reactor, deadline_ms, discovery.address(), hosts));
  const Time before = reactor.now() + before_the_signal;
  while (reactor.now() < before) {
    for (const auto& router : routers) router->step();
    pump.pass(between_requests);
  }
  for (const auto& router : routers) router->tell();
  while (!std::ranges::all_of(routers, [](const auto& router) { return router->killed(); })) {
    for (const auto& router : routers) router->step_towards_the_kill();
    pump.pass(between_requests);
  }
  for (const auto& router : routers) router->judge();
}

}  // namespace
}  // namespace rushhill::node

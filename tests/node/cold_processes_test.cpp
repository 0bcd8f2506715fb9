// Rule 4 as the sum over processes: two dozen routers, uneven load beyond what the servers bear, all servers
// but two replaced at once, half of the routers killed and started again in the middle. Counted at the
// servers' sockets: what each cold one gets within the rule's span, against N + 2 x root of N + 2.
#include <algorithm>
#include <cmath>
#include <deque>
#include <iostream>
#include <numeric>
#include <random>

#include "crowd.h"
#include "node_process.h"
#include "platform_story.h"

namespace rushhill::node {
namespace {

constexpr Time second = 10'000;  // tenths of a millisecond
constexpr int routers = 24;
constexpr int servers = 8, warm_servers = 2;
constexpr int lanes = 4;           // requests that a warm server works on at once
constexpr int queue = 8;           // and so many wait; beyond that it says that it is overloaded
constexpr Time work = second / 5;  // of a request
constexpr double overload = 1.3;   // requests, of what all servers bear when warm
constexpr Time warm_phase = 5 * second, cold_phase = 9 * second;
constexpr Time restarts_after = 2 * second;  // from the replacement
constexpr double cold_share = 0.16;          // as the configuration says, and the next three
constexpr Time cold_span = 16 * second;
constexpr Time fall_span = 15'000;
constexpr double fall_multiple = 2;
constexpr double least_used = 0.6;  // of N, over all cold servers, while requests are refused
constexpr double capacity =
    static_cast<double>(lanes) * static_cast<double>(second) / static_cast<double>(work);

// A server that works on so many requests at once as its warmth allows.
class SimulatedServer {
 public:
  explicit SimulatedServer(transport::Loop& reactor) : reactor_(reactor), door_(reactor) {
    door_.on_bytes = [this](RawPeer& peer) { read(peer); };
  }
  std::string address() const { return door_.address(); }
  void restart() { started_ = reactor_.now(); }
  bool cold() const { return started_ != 0; }
  // N: what the settings allow it now within the span.
  double permitted(Time now) const {
    return fall_multiple * share(now) * capacity * static_cast<double>(fall_span) /
           static_cast<double>(second);
  }
  // The most that it got within a span beyond N, over 2 x root of N + 2: above 1 the rule is broken.
  double worst_excess() const { return worst_; }
  // Requests that it got while cold, and what N allowed.
  double got() const { return got_; }
  double allowed(Time until) const {
    double sum = 0;
    for (Time at = started_; at < until; at += second / 10)
      sum += permitted(at) * static_cast<double>(second / 10) / static_cast<double>(fall_span);
    return sum;
  }

 private:
  double share(Time now) const {
    if (!cold()) return 1;
    const auto age = static_cast<double>(now - started_) / static_cast<double>(cold_span);
    return std::min(1.0, cold_share + (1 - cold_share) * age);
  }
  void read(RawPeer& peer) {
    const std::string end = "3\r\nask\r\n";
    for (std::size_t at = 0; (at = peer.seen.find(end)) != std::string::npos;
         peer.seen.erase(0, at + end.size())) {
      const std::size_t begin = peer.seen.find("invoke ");
      if (begin != std::string::npos) take(peer, peer.seen.substr(begin + 7, 16));
    }
  }
  void take(RawPeer& peer, const std::string& id) {
    count();
    if (in_hand_ >= lanes + queue) return peer.stream->write(id + overloaded);
    ++in_hand_;
    // Each lane is slower while it is cold: the same as fewer lanes.
    const Time now = reactor_.now();
    Time& lane = *std::min_element(free_.begin(), free_.end());
    lane = std::max(lane, now) + static_cast<Time>(static_cast<double>(work) / share(now));
    reactor_.at(lane, [this, stream = peer.stream, id] {
      --in_hand_;
      if (!stream->closed()) stream->write(id + succeeded);
    });
  }
  void count() {
    if (!cold()) return;
    const Time now = reactor_.now();
    ++got_;
    arrivals_.push_back(now);
    while (now - arrivals_.front() >= fall_span) arrivals_.pop_front();
    const double n = permitted(arrivals_.front());  // the smallest within the window
    worst_ = std::max(worst_, (static_cast<double>(arrivals_.size()) - n) / (2 * std::sqrt(n) + 2));
  }

  transport::Loop& reactor_;
  RawServer door_;
  std::vector<Time> free_ = std::vector<Time>(lanes, 0);
  std::deque<Time> arrivals_;
  Time started_ = 0;
  int in_hand_ = 0;
  double got_ = 0, worst_ = -1;
};

class ColdProcesses : public PlatformStory, public testing::WithParamInterface<unsigned> {
 protected:
  ColdProcesses() {
    raise_descriptors();
    for (int i = 0; i < servers; ++i) fleet.push_back(std::make_unique<SimulatedServer>(reactor));
    for (int i = 0; i < routers; ++i) {
      addresses.push_back(std::make_unique<HeldAddress>(reactor));
      rates.push_back(std::exp(std::normal_distribution<double>(0, 0.9)(chance)));
    }
    const double sum = std::accumulate(rates.begin(), rates.end(), 0.0);
    for (double& rate : rates) rate *= overload * servers * capacity / sum;
    clients.resize(routers);
    processes.resize(routers);
  }
  std::string hosts() const {
    std::string all;
    for (int i = 0; i < servers; ++i) {
      all += (i == 0 ? "" : ",") + host("s" + std::to_string(i), fleet[index(i)]->address(), "active",
                                        fleet[index(i)]->cold() ? replaced_at_ms : 0);
    }
    return all;
  }
  static std::size_t index(int i) { return static_cast<std::size_t>(i); }
  void start(int router) {
    Settings settings;
    settings.cold_share = std::to_string(cold_share);
    settings.promise = "750000000";
    settings.cancel = "true";
    settings.me = router;
    settings.routers = routers;
    settings.listen = addresses[index(router)]->text();
    processes[index(router)] =
        std::make_unique<NodeProcess>(configuration(settings, discovery.address(), hosts(), list_number));
  }
  void connect(int router) {
    processes[index(router)]->address();
    keep_counts(router);
    clients[index(router)] =
        std::make_unique<RawPeer>(reactor, transport::Address(addresses[index(router)]->text()));
  }
  void keep_counts(int router) {
    if (!clients[index(router)]) return;
    served += times_in(clients[index(router)]->seen, "Status: 200");
    refused += times_in(clients[index(router)]->seen, "Status: 503");
  }
  // One request after another, at this router's rate.
  void ask_on(int router) {
    const auto pause = static_cast<Time>(std::exponential_distribution<double>(rates[index(router)])(chance) *
                                         static_cast<double>(second));
    reactor.at(reactor.now() + std::max<Time>(pause, 1), [this, router] {
      ask_on(router);
      const auto& client = clients[index(router)];
      if (!client || client->ended) return;
      ++asked;
      client->stream->write(ask(static_cast<fastcgi::Number>(1 + asked % 60'000), id_of(asked),
                                {.function = id_of(1 + asked % 20)}));
    });
  }
  void replace_servers() {
    replaced_at_ms = now_ms();
    ++list_number;
    for (int i = warm_servers; i < servers; ++i) fleet[index(i)]->restart();
    for (const auto& watch : discovery.peers) {
      if (!watch->ended) watch->stream->write(whole_list(list_number, hosts()));
    }
  }
  // Beats, as discovery does.
  void pass_beating(Time span) {
    for (const Time end = reactor.now() + span; reactor.now() < end; pump.pass(second / 2)) {
      for (const auto& watch : discovery.peers) {
        if (!watch->ended) watch->stream->write(std::to_string(list_number) + "\n");
      }
    }
  }
  void restart_half_of_the_routers() {
    for (int i = 0; i < routers; i += 2) {
      processes[index(i)]->signal(SIGKILL);
      processes[index(i)]->wait();
      start(i);
    }
    for (int i = 0; i < routers; i += 2) connect(i);
  }

  void play();
  double used = 0;           // of N, by all cold servers together
  double worst_excess = -1;  // of any cold server, beyond N, over 2 x root of N + 2

  std::mt19937 chance{GetParam()};
  std::vector<std::unique_ptr<SimulatedServer>> fleet;
  std::vector<std::unique_ptr<HeldAddress>> addresses;
  std::vector<std::unique_ptr<NodeProcess>> processes;
  std::vector<std::unique_ptr<RawPeer>> clients;
  std::vector<double> rates;  // requests a second
  std::int64_t replaced_at_ms = 0;
  int list_number = 1, asked = 0, served = 0, refused = 0;
};
INSTANTIATE_TEST_SUITE_P(Seeds, ColdProcesses, testing::Values(1U));

// One play, in which half of the routers are restarted two seconds after the servers.
void ColdProcesses::play() {
  for (int i = 0; i < routers; ++i) start(i);
  for (int i = 0; i < routers; ++i) connect(i);
  for (int i = 0; i < routers; ++i) ask_on(i);
  pass_beating(warm_phase);
  replace_servers();
  pass_beating(restarts_after);
  restart_half_of_the_routers();
  pass_beating(cold_phase - restarts_after);

  for (int i = 0; i < routers; ++i) keep_counts(i);
  double got = 0, allowed = 0, worst = -1;
  for (int i = warm_servers; i < servers; ++i) {
    got += fleet[index(i)]->got();
    allowed += fleet[index(i)]->allowed(reactor.now());
    worst = std::max(worst, fleet[index(i)]->worst_excess());
  }
  std::cout << "    " << asked << " asked, " << served << " served, " << refused
            << " refused; cold servers: " << got / allowed << " of N used, worst excess " << worst
            << " of what is left to chance\n";
  used = got / allowed;
  worst_excess = worst;
}

TEST_P(ColdProcesses, TogetherNeverPushAColdServerOver) {
  play();
  EXPECT_LE(worst_excess, 1);
  EXPECT_GT(refused, asked / 20) << "it was an overload";
}

TEST_P(ColdProcesses, UseColdServersWhileRequestsAreRefused) {
  play();
  EXPECT_GT(refused, asked / 20) << "it was an overload";
  EXPECT_GE(used, least_used);
}

}  // namespace
}  // namespace rushhill::node

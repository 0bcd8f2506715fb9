// Guards against routers that each keep rule 4 and still overload a cold server together. 24 routers get an
// uneven load beyond the capacity of the servers; all servers but two are replaced at once, and half of the
// routers are killed and restarted 2 s later. Counted at the servers' sockets: the requests that each cold
// server receives within the rule's span, which may be N + 2 * sqrt(N) + 2 at most.
#include <algorithm>
#include <cmath>
#include <deque>
#include <iostream>
#include <numeric>
#include <random>

#include "crowd.h"
#include "node_process.h"
#include "platform_fixture.h"

namespace rushhill::node {
namespace {

constexpr Time second = 10'000;  // tenths of a millisecond
constexpr int router_count = 24;
constexpr int server_count = 8, warm_server_count = 2;
constexpr int lanes = 4;         // requests that a warm server processes at the same time
constexpr int queue_length = 8;  // requests that wait beside them; a further one is answered as overloaded
constexpr Time service_time = second / 5;  // for one request
constexpr double load_factor = 1.3;  // rate of requests, relative to the capacity of all servers when warm
constexpr Time warm_phase = 5 * second, cold_phase = 9 * second;
constexpr Time router_restart_delay = 2 * second;  // after the servers are replaced
constexpr double initial_capacity = 0.16;          // as configured, like the next three
constexpr Time cold_span = 16 * second;
constexpr Time fall_span = 15'000;
constexpr double fall_multiple = 2;
constexpr double min_used_share = 0.6;  // of N, over all cold servers, while requests are rejected
constexpr double capacity =
    static_cast<double>(lanes) * static_cast<double>(second) / static_cast<double>(service_time);

// A server that processes requests more slowly while it is cold.
class SimulatedServer {
 public:
  explicit SimulatedServer(transport::Loop& reactor) : reactor_(reactor), listener_(reactor) {
    listener_.on_bytes = [this](RawPeer& peer) { read(peer); };
  }
  std::string address() const { return listener_.address(); }
  void restart() { started_ = reactor_.now(); }
  bool cold() const { return started_ != 0; }
  // N: the number of requests within the span that the configuration allows at that time.
  double allowed_in_span(Time now) const {
    return fall_multiple * capacity_share(now) * capacity * static_cast<double>(fall_span) /
           static_cast<double>(second);
  }
  // The largest excess over N within a span, divided by 2 * sqrt(N) + 2. Above 1 the rule is broken.
  double largest_excess() const { return largest_excess_; }
  // Requests received while cold, and the number that N allowed in that time.
  double received() const { return received_; }
  double allowed_total(Time until) const {
    double sum = 0;
    for (Time at = started_; at < until; at += second / 10)
      sum += allowed_in_span(at) * static_cast<double>(second / 10) / static_cast<double>(fall_span);
    return sum;
  }

 private:
  double capacity_share(Time now) const {
    if (!cold()) return 1;
    const auto age = static_cast<double>(now - started_) / static_cast<double>(cold_span);
    return std::min(1.0, initial_capacity + (1 - initial_capacity) * age);
  }
  void read(RawPeer& peer) {
    const std::string end = "3\r\nask\r\n";
    for (std::size_t at = 0; (at = peer.seen.find(end)) != std::string::npos;
         peer.seen.erase(0, at + end.size())) {
      const std::size_t begin = peer.seen.find("invoke ");
      if (begin != std::string::npos) accept_request(peer, peer.seen.substr(begin + 7, 16));
    }
  }
  void accept_request(RawPeer& peer, const std::string& id) {
    count_arrival();
    if (in_flight_ >= lanes + queue_length) return peer.stream->write(id + overloaded_answer);
    ++in_flight_;
    // Each lane is slower while the server is cold, which has the effect of fewer lanes.
    const Time now = reactor_.now();
    Time& lane_free_at = *std::min_element(lanes_free_at_.begin(), lanes_free_at_.end());
    lane_free_at = std::max(lane_free_at, now) +
                   static_cast<Time>(static_cast<double>(service_time) / capacity_share(now));
    reactor_.at(lane_free_at, [this, stream = peer.stream, id] {
      --in_flight_;
      if (!stream->closed()) stream->write(id + success_answer);
    });
  }
  void count_arrival() {
    if (!cold()) return;
    const Time now = reactor_.now();
    ++received_;
    arrivals_.push_back(now);
    while (now - arrivals_.front() >= fall_span) arrivals_.pop_front();
    const double n = allowed_in_span(arrivals_.front());  // the smallest within the span, since N grows
    largest_excess_ =
        std::max(largest_excess_, (static_cast<double>(arrivals_.size()) - n) / (2 * std::sqrt(n) + 2));
  }

  transport::Loop& reactor_;
  RawServer listener_;
  std::vector<Time> lanes_free_at_ = std::vector<Time>(lanes, 0);
  std::deque<Time> arrivals_;
  Time started_ = 0;
  int in_flight_ = 0;
  double received_ = 0, largest_excess_ = -1;
};

class NodeCombinedSlowStartTest : public PlatformTest, public testing::WithParamInterface<unsigned> {
 protected:
  NodeCombinedSlowStartTest() {
    raise_descriptors();
    for (int i = 0; i < server_count; ++i) servers.push_back(std::make_unique<SimulatedServer>(reactor));
    for (int i = 0; i < router_count; ++i) {
      addresses.push_back(std::make_unique<ReservedAddress>(reactor));
      request_rates.push_back(std::exp(std::normal_distribution<double>(0, 0.9)(random)));
    }
    const double sum = std::accumulate(request_rates.begin(), request_rates.end(), 0.0);
    for (double& request_rate : request_rates) request_rate *= load_factor * server_count * capacity / sum;
    clients.resize(router_count);
    processes.resize(router_count);
  }
  std::string hosts() const {
    std::string all;
    for (int i = 0; i < server_count; ++i) {
      all += (i == 0 ? "" : ",") + host("s" + std::to_string(i), servers[index(i)]->address(), "active",
                                        servers[index(i)]->cold() ? replaced_at_ms : 0);
    }
    return all;
  }
  static std::size_t index(int i) { return static_cast<std::size_t>(i); }
  void start(int router) {
    Settings settings;
    settings.initial_capacity = std::to_string(initial_capacity);
    settings.latency_objective = "750000000";
    settings.cancel = "true";
    settings.router_number = router;
    settings.routers = router_count;
    settings.listen = addresses[index(router)]->text();
    processes[index(router)] =
        std::make_unique<NodeProcess>(configuration(settings, discovery.address(), hosts(), list_number));
  }
  void connect(int router) {
    processes[index(router)]->address();
    add_answer_counts(router);
    clients[index(router)] =
        std::make_unique<RawPeer>(reactor, transport::Address(addresses[index(router)]->text()));
  }
  void add_answer_counts(int router) {
    if (!clients[index(router)]) return;
    succeeded_requests += count_in(clients[index(router)]->seen, "Status: 200");
    rejected_requests += count_in(clients[index(router)]->seen, "Status: 503");
  }
  // Sends this router one request after another, at its rate.
  void schedule_requests(int router) {
    const auto interval =
        static_cast<Time>(std::exponential_distribution<double>(request_rates[index(router)])(random) *
                          static_cast<double>(second));
    reactor.at(reactor.now() + std::max<Time>(interval, 1), [this, router] {
      schedule_requests(router);
      const auto& client = clients[index(router)];
      if (!client || client->ended) return;
      ++requests_sent;
      client->stream->write(invoke_request(static_cast<fastcgi::Number>(1 + requests_sent % 60'000),
                                           request_id(requests_sent),
                                           {.function = request_id(1 + requests_sent % 20)}));
    });
  }
  void replace_servers() {
    replaced_at_ms = unix_time_ms();
    ++list_number;
    for (int i = warm_server_count; i < server_count; ++i) servers[index(i)]->restart();
    for (const auto& watch : discovery.peers) {
      if (!watch->ended) watch->stream->write(whole_list(list_number, hosts()));
    }
  }
  // Runs the loop for that time, with a heartbeat of discovery every half second.
  void run_with_heartbeats(Time span) {
    for (const Time end = reactor.now() + span; reactor.now() < end; driver.pass(second / 2)) {
      for (const auto& watch : discovery.peers) {
        if (!watch->ended) watch->stream->write(std::to_string(list_number) + "\n");
      }
    }
  }
  void restart_half_of_the_routers() {
    for (int i = 0; i < router_count; i += 2) {
      processes[index(i)]->signal(SIGKILL);
      processes[index(i)]->wait();
      start(i);
    }
    for (int i = 0; i < router_count; i += 2) connect(i);
  }

  void run_scenario();
  double used_share = 0;       // share of N that all cold servers received together
  double largest_excess = -1;  // the largest of the cold servers

  std::mt19937 random{GetParam()};
  std::vector<std::unique_ptr<SimulatedServer>> servers;
  std::vector<std::unique_ptr<ReservedAddress>> addresses;
  std::vector<std::unique_ptr<NodeProcess>> processes;
  std::vector<std::unique_ptr<RawPeer>> clients;
  std::vector<double> request_rates;  // requests a second, by router
  std::int64_t replaced_at_ms = 0;
  int list_number = 1, requests_sent = 0, succeeded_requests = 0, rejected_requests = 0;
};
INSTANTIATE_TEST_SUITE_P(Seeds, NodeCombinedSlowStartTest, testing::Values(1U));

// Runs the scenario at the head of this file, and sets the two results.
void NodeCombinedSlowStartTest::run_scenario() {
  for (int i = 0; i < router_count; ++i) start(i);
  for (int i = 0; i < router_count; ++i) connect(i);
  for (int i = 0; i < router_count; ++i) schedule_requests(i);
  run_with_heartbeats(warm_phase);
  replace_servers();
  run_with_heartbeats(router_restart_delay);
  restart_half_of_the_routers();
  run_with_heartbeats(cold_phase - router_restart_delay);

  for (int i = 0; i < router_count; ++i) add_answer_counts(i);
  double received = 0, allowed_total = 0, largest = -1;
  for (int i = warm_server_count; i < server_count; ++i) {
    received += servers[index(i)]->received();
    allowed_total += servers[index(i)]->allowed_total(reactor.now());
    largest = std::max(largest, servers[index(i)]->largest_excess());
  }
  std::cout << "    " << requests_sent << " asked, " << succeeded_requests << " served, " << rejected_requests
            << " rejected; cold servers received " << received / allowed_total << " of N, largest excess "
            << largest << " of the tolerance 2 * sqrt(N) + 2\n";
  used_share = received / allowed_total;
  largest_excess = largest;
}

TEST_P(NodeCombinedSlowStartTest, RoutersTogetherKeepTheLimitOfEachColdServer) {
  run_scenario();
  EXPECT_LE(largest_excess, 1);
  EXPECT_GT(rejected_requests, requests_sent / 20) << "the load must have exceeded the capacity";
}

TEST_P(NodeCombinedSlowStartTest, ColdServersAreUsedWhileRequestsAreRejected) {
  run_scenario();
  EXPECT_GT(rejected_requests, requests_sent / 20) << "the load must have exceeded the capacity";
  EXPECT_GE(used_share, min_used_share);
}

}  // namespace
}  // namespace rushhill::node

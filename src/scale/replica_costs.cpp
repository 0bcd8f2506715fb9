// Costs of the state that routers replicate among them: one link between two routers, a replica's memory, and
// a fleet of routers with real links.

#include <memory>
#include <string>
#include <utility>

#include "emulator/network.h"
#include "replica/conversation.h"
#include "replica/replica.h"
#include "replicating/replica_links.h"
#include "scale/cost_support.h"
#include "scale/part_costs.h"

namespace rushhill::scale {
namespace {

constexpr int records_before = 4;  // that each router wrote before anything is measured
constexpr std::uint32_t record_rank = 2;
constexpr std::size_t streams_per_router = replica::kinds * 20;
constexpr Time record_lifetime = 600 * second;
constexpr Time horizon = 1'200 * second;
constexpr std::size_t most_own_records = 10'000;
constexpr std::size_t most_records = 10'000'000;
constexpr Time iteration_interval = second / 100;  // between iterations of a router's loop
constexpr Time synchronization_begin = second;     // of two routers
constexpr Time synchronization_end = 4 * second;
constexpr int exchanges_per_iteration = 3;          // messages and their answers
constexpr Time fleet_synchronization = 5 * second;  // until the routers have connected and hold the same
constexpr Time observed_span = 3 * second;          // three times the interval at which all state is compared
constexpr int few_routers = 20;
constexpr const char* deployment_name = "scale";

// Ignores what a replica reports about its records.
class IgnoredFindings final : public replica::ReplicaObserver {
 public:
  void full(replica::Kind /*kind*/) override {}
  void on_divergence(const replica::StreamId& /*stream*/, const replica::Word& /*stands*/,
                     const replica::Word& /*gone*/) override {}
  void on_duplicate_writer(const replica::Writer& /*writer*/) override {}
  void on_executed_twice(const std::string& /*request*/, const replica::Writer& /*one*/,
                         const replica::Writer& /*other*/) override {}
};

replica::ReplicaObserver& ignored_findings() {
  static IgnoredFindings findings;
  return findings;
}

replica::Bounds bounds_for(std::size_t routers) {
  replica::Bounds bounds{.streams = routers * streams_per_router, .horizon = horizon};
  bounds.life.fill(record_lifetime);
  bounds.own.fill(most_own_records);
  bounds.together.fill(most_records);
  return bounds;
}

// One direction of a connection: keeps what was sent until the other end takes it.
class BufferedLine final : public replica::Line {
 public:
  void send(const std::string& bytes) override {
    waiting_ += bytes;
    bytes_sent_ += bytes.size();
    ++frames_sent_;
  }
  std::size_t unsent() const override { return 0; }

  std::string take_waiting() { return std::exchange(waiting_, {}); }
  std::size_t bytes_sent() const { return bytes_sent_; }
  std::size_t frames_sent() const { return frames_sent_; }

 private:
  std::string waiting_;
  std::size_t bytes_sent_ = 0;
  std::size_t frames_sent_ = 0;
};

// The records of one kind that a router of the fleet wrote.
replica::Piece records_of(int router, replica::Kind kind) {
  replica::Piece piece{
      .stream = {kind, {router, 1}}, .through = records_before, .of = records_before, .words = {}};
  for (int i = 1; i <= records_before; ++i) {
    const std::string key = std::to_string(router) + "-" + std::to_string(i);
    piece.words.push_back({static_cast<std::uint64_t>(i), key, record_rank, 0, 0});
  }
  return piece;
}

// One of two connected routers.
struct ConnectedReplica {
  ConnectedReplica(int number, std::size_t routers)
      : replica({number, 1}, bounds_for(routers), ignored_findings()),
        conversation({.deployment = deployment_name,
                      .name = "router-" + std::to_string(number),
                      .writer = {number, 1}},
                     replica, line, {}) {}

  replica::Replica replica;
  BufferedLine line;  // to the other
  replica::Conversation conversation;
};

// Two routers that both hold the records of all routers, and the connection between them.
class ReplicaPair {
 public:
  explicit ReplicaPair(std::size_t routers) : first_(0, routers), second_(1, routers) {
    for (int router = 2; router < static_cast<int>(routers); ++router) {
      for (const replica::Kind kind : {replica::Kind::deduplication, replica::Kind::load_budget}) {
        const replica::Piece records = records_of(router, kind);
        first_.replica.apply(synchronization_begin, {records});
        second_.replica.apply(synchronization_begin, {records});
      }
    }
    first_.conversation.opened();
    second_.conversation.opened();
  }

  // One iteration of both routers' loops.
  void iterate(Time now) {
    first_.conversation.turn(now);
    second_.conversation.turn(now);
    for (int i = 0; i < exchanges_per_iteration; ++i) {
      const std::string to_second = first_.line.take_waiting();
      const std::string to_first = second_.line.take_waiting();
      if (!to_second.empty()) second_.conversation.arrived(now, to_second);
      if (!to_first.empty()) first_.conversation.arrived(now, to_first);
    }
  }

  // The first router writes a deduplication record.
  void write_record(Time now, int number) {
    first_.replica.write(now, replica::Kind::deduplication,
                         "/clients 0123456789abcdef" + std::to_string(number), record_rank);
  }

  std::size_t bytes_sent() const { return first_.line.bytes_sent() + second_.line.bytes_sent(); }
  std::size_t frames_sent() const { return first_.line.frames_sent() + second_.line.frames_sent(); }
  bool is_open() const {
    return first_.conversation.reason().empty() && second_.conversation.reason().empty();
  }

 private:
  ConnectedReplica first_;
  ConnectedReplica second_;
};

// The fleet that the two ends of a link belong to.
struct LinkLoad {
  double routers = few_routers;
  double records_per_second = 0;  // written by one of the two
};

// A second of one link between two routers, in both directions, for one of its ends.
Figures link_cost(const LinkLoad& load, Counter& counter) {
  Time now = synchronization_begin;
  ReplicaPair pair(static_cast<std::size_t>(load.routers));
  for (; now < synchronization_end; now += iteration_interval) pair.iterate(now);
  const std::size_t bytes_before = pair.bytes_sent();
  const std::size_t frames_before = pair.frames_sent();
  const double seconds = to_seconds(observed_span);
  const Time until = now + observed_span;
  double due = 0;
  int written = 0;
  Figures figures = metered(counter, 2 * seconds, [&] {
    for (; now < until; now += iteration_interval) {
      due += load.records_per_second * static_cast<double>(iteration_interval) / static_cast<double>(second);
      for (; due >= 1; due -= 1) pair.write_record(now, ++written);
      pair.iterate(now);
    }
  });
  figures[figure_name::port_bytes] = static_cast<double>(pair.bytes_sent() - bytes_before) / seconds;
  figures[figure_name::messages] = static_cast<double>(pair.frames_sent() - frames_before) / seconds;
  require(pair.is_open(), "the routers hung up");
  return figures;
}

Figures link_cost_by_routers(double routers, Counter& counter) {
  return link_cost({.routers = routers}, counter);
}

Figures link_cost_by_records(double records_per_second, Counter& counter) {
  return link_cost({.records_per_second = records_per_second}, counter);
}

Figures memory_cost(double routers, Counter& /*counter*/) {
  const double before = allocated_bytes();
  const ReplicaPair pair(static_cast<std::size_t>(routers));
  return {{figure_name::bytes, (allocated_bytes() - before) / 2}};
}

// A router of a fleet with real links between all of them.
struct LinkedRouter {
  LinkedRouter(transport::Reactor& reactor, int number, const std::vector<std::string>& addresses)
      : replica({number, 1}, bounds_for(addresses.size()), ignored_findings()),
        links(
            reactor,
            {.listen = addresses[static_cast<std::size_t>(number)],
             .addresses = addresses,
             .hello = {.deployment = deployment_name, .name = std::to_string(number), .writer = replica.me()},
             .full_mesh = addresses.size() <= replica::max_full_mesh_routers},
            replica, log) {}

  NullLog log;
  replica::Replica replica;
  replicating::ReplicaLinks links;
};

// A second of one router, in virtual time.
Figures fleet_cost(double router_count, Counter& counter) {
  emulator::Network network(router_latency);
  const std::vector<std::string> addresses = router_addresses(static_cast<int>(router_count));
  std::vector<std::unique_ptr<LinkedRouter>> routers;
  for (int i = 0; i < static_cast<int>(router_count); ++i) {
    routers.push_back(std::make_unique<LinkedRouter>(network, i, addresses));
    const std::string key = "first of " + std::to_string(i);
    routers.back()->replica.write(network.now(), replica::Kind::deduplication, key, record_rank);
  }
  network.run_until(network.now() + fleet_synchronization);
  const std::uint64_t bytes_before = network.bytes();
  const double seconds = to_seconds(observed_span);
  Figures figures =
      metered(counter, seconds * router_count, [&] { network.run_until(network.now() + observed_span); });
  // Sent and received.
  figures[figure_name::port_bytes] =
      2 * static_cast<double>(network.bytes() - bytes_before) / seconds / router_count;
  double links = 0;
  double lacking = 0;
  for (const auto& router : routers) {
    links += static_cast<double>(router->links.links());
    lacking += static_cast<double>(router->links.behind());
  }
  figures["ways"] = links / router_count;
  require(lacking == 0, "words are lacking");
  return figures;
}

}  // namespace

std::vector<Cost> replica_costs() {
  const std::string replica_types = "Conversation, Replica: src/replica";
  const std::string per_link = "second of one way, one end";
  return {{"replica.way-by-routers",
           replica_types,
           per_link,
           "routers",
           "two kinds written by each router, nothing new",
           {43, 85, 170, 340, 680},
           doubling(8, 5),
           link_cost_by_routers},
          {"replica.way-by-words", replica_types, per_link, "words a second", "20 routers", doubling(20, 5),
           doubling(4, 5), link_cost_by_records},
          {"replica.memory-by-routers",
           replica_types,
           "copy and one way",
           "routers",
           "eight words by each router",
           {43, 85, 170, 340, 680},
           doubling(64, 5),
           memory_cost},
          {"replica.fleet-by-routers", "ReplicaLinks: src/replicating", "second of one router", "routers",
           "one kind written by each router, nothing new", doubling(20, 5), doubling(2, 5), fleet_cost}};
}

}  // namespace rushhill::scale

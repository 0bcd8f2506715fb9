#include "scale/costs.h"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <stdexcept>
#include <utility>

#include "core/endpoint_list_source.h"
#include "core/event_log.h"
#include "core/peer_messenger.h"
#include "emulator/network.h"
#include "membership/board_client.h"
#include "membership/board_words.h"
#include "membership/roster_client.h"
#include "membership/roster_words.h"
#include "replica/conversation.h"
#include "replica/replica.h"
#include "replicating/replica_links.h"
#include "transport/bare_peers.h"
#include "transport/listener.h"

namespace rushhill::scale {
namespace {

constexpr Time second = 10'000;         // tenths of a millisecond
constexpr Time warm_up = 30 * second;   // until a module knows its servers: longer than its rings
constexpr Time measured = 15 * second;  // some 2,400 requests, 150 ticks
constexpr Time all_met = 110 * second;  // in which functions called in turn are all met and none forgotten
constexpr Time latency = 5;             // time from one router to another
constexpr int changes = 40;             // of a list, one server each
constexpr int repeats = 20;             // of what costs little
constexpr int port = 20'000;            // of the first router
constexpr int words_before = 4;         // that each router wrote before anything is measured
constexpr Time meeting = 5 * second;    // until routers have found one another and are alike
constexpr Time listening = 3 * second;  // three times all points
constexpr double least_timed = 50e6;    // ns; user CPU is accounted in steps of some milliseconds
constexpr double core_servers = 100;    // servers that a core's costs are measured beside

struct Quiet final : core::EventLog {
  bool wants(core::Level) const override { return false; }
  void write(core::Level, const char*, Fields) override {}
};

// Figures of a section metered: for each unit, and the user CPU of all that ran.
template <typename Work>
Figures metered(Counter& counter, double units, Work work) {
  Meter meter(counter);
  const double before = user_ns();
  meter.begin();
  work();
  meter.end();
  Figures found{{"instructions", meter.sum() / units}};
  if (const double spent = user_ns() - before; spent >= least_timed) found["user ns"] = spent / units;
  return found;
}
// A part that did not do its work has no cost.
void need(bool done, const char* what) {
  if (!done) throw std::runtime_error(what);
}

// The module.

Figures request_cost(const Sizes& sizes, Counter& counter) {
  HollowModule module(sizes, counter);
  module.pass(warm_up);
  module.clear();
  const double before = user_ns();
  module.pass(measured);
  const double spent = user_ns() - before;
  const auto taken = static_cast<double>(module.taken);
  need(module.rejected + module.abandoned == 0, "requests were rejected");
  Figures found{{"instructions", module.requests.sum() / taken},
                {"attempts", static_cast<double>(module.attempts) / taken}};
  if (spent >= least_timed) found["user ns"] = spent / taken;  // with ticks and the hollow host
  return found;
}

Figures tick_cost(const Sizes& sizes, Counter& counter) {
  HollowModule module(sizes, counter);
  module.pass(sizes.even ? all_met : warm_up);
  module.clear();
  module.pass(measured);
  return {{"instructions", module.ticks.sum() / static_cast<double>(module.ticks.sections())}};
}

Figures change_cost(const Sizes& sizes, Counter& counter) {
  HollowModule module(sizes, counter);
  module.pass(sizes.even ? all_met : warm_up);
  module.clear();
  Meter after(counter);
  for (int i = 0; i < changes; ++i) module.change(i * 7);
  const double alone = module.lists.sum() / changes;
  // Each function is ranked anew at its first call after a change.
  module.clear();
  for (int i = 0; i < changes; ++i) module.change(i * 7), module.request();
  return {{"instructions", alone}, {"instructions of the next request", module.requests.sum() / changes}};
}

Figures whole_list_cost(const Sizes& sizes, Counter& counter) {
  HollowModule module(sizes, counter);
  module.pass(sizes.even ? all_met : warm_up);
  module.clear();
  for (int i = 0; i < repeats; ++i) module.whole_list();
  return {{"instructions", module.lists.sum() / repeats}};
}

Figures memory_cost(const Sizes& sizes, Counter& counter) {
  const double resident = resident_bytes();
  HollowModule module(sizes, counter);
  module.pass(all_met);
  const double grown = resident_bytes() - resident;  // with the hollow host and its servers
  const auto met = static_cast<double>(module.functions_met());
  return {{"bytes", module.end()}, {"resident", grown}, {"functions met", met}};
}

Figures probing_cost(const Sizes& sizes, Counter& counter) {
  HollowModule module(sizes, counter);
  module.pass(warm_up);
  module.clear();
  module.pass(measured);
  const double seconds = static_cast<double>(measured) / static_cast<double>(second);
  return {{"messages", static_cast<double>(module.messages) / seconds},
          {"port bytes", static_cast<double>(module.message_bytes) / seconds}};
}

// The core with its module.

struct NoPeers final : core::PeerMessenger {
  void send(int, const std::string&) override {}
};

Figures core_second_cost(const Sizes& sizes, Counter& counter) {
  emulator::Network network(latency);
  HollowServers servers(network, sizes.servers, sizes.functions);
  NoPeers none;
  HollowRouter router(deployment_of(sizes), servers, none, 1);
  router.gateway().endpoints_updated(EndpointListForm::complete, servers.list());
  Calls calls(sizes, 1);
  RequestId number = 0;
  double next = static_cast<double>(network.now());
  const auto pass = [&](Time span) {
    const Time until = network.now() + span;
    for (; next < static_cast<double>(until); next += static_cast<double>(second) / sizes.requests) {
      network.run_until(static_cast<Time>(next));
      router.request(function_name(calls.next()), ++number);
    }
    network.run_until(until);
  };
  pass(warm_up);
  return metered(counter, static_cast<double>(measured) / static_cast<double>(second),
                 [&] { pass(measured); });
}

Figures core_list_cost(double size, Counter& counter) {
  emulator::Network network(latency);
  HollowServers servers(network, static_cast<int>(size), 1);
  NoPeers none;
  HollowRouter router(deployment_of({.servers = static_cast<int>(size)}), servers, none, 1);
  const std::vector<core::EndpointListEntry> list = servers.list();
  router.gateway().endpoints_updated(EndpointListForm::complete, list);
  return metered(counter, repeats, [&] {
    for (int i = 0; i < repeats; ++i) router.gateway().endpoints_updated(EndpointListForm::complete, list);
  });
}

// Membership.

std::vector<core::EndpointListEntry> entries_of(double servers) {
  std::vector<core::EndpointListEntry> entries;
  for (Endpoint& server : server_list(static_cast<int>(servers))) {
    const std::size_t i = entries.size();
    char address[32];
    std::snprintf(address, sizeof address, "10.%zu.%zu.%zu:10080", i / 65'536 % 256, i / 256 % 256, i % 256);
    entries.push_back({std::move(server), address});
  }
  return entries;
}
// As the platform's notice board writes a whole list: docs/platform.md, tests/membership/board_test.cpp.
std::string notice_of(const std::vector<core::EndpointListEntry>& entries, std::int64_t number) {
  settings::Json hosts = settings::Json::array();
  for (const core::EndpointListEntry& entry : entries)
    hosts.push_back({{"host", entry.endpoint.id},
                     {"dial", entry.address},
                     {"site", entry.endpoint.location},
                     {"class", entry.endpoint.kind},
                     {"block", entry.endpoint.cell},
                     {"health", "active"},
                     {"share", entry.endpoint.rating},
                     {"born_ms", 0}});
  return settings::Json{{"rev", number},
                        {"pool", {{"seq", number}, {"whole", true}, {"hosts", std::move(hosts)}}}}
      .dump();
}

Figures board_list_cost(double size, Counter& counter) {
  const std::string line = notice_of(entries_of(size), 1);
  Figures found = metered(counter, repeats, [&] {
    for (int i = 0; i < repeats; ++i) membership::read_line(line, 0);
  });
  const double before = allocated_bytes();
  const membership::Notice kept = membership::read_line(line, 0);
  found["bytes"] = allocated_bytes() - before;
  found["port bytes"] = static_cast<double>(line.size() + 1);
  return found;
}
Figures roster_list_cost(double size, Counter& counter) {
  const std::string line =
      membership::write_word({.revision = 1, .entries = entries_of(size), .remarks = {}}, 0);
  Figures found = metered(counter, repeats, [&] {
    for (int i = 0; i < repeats; ++i) membership::read_word(line, 0);
  });
  found["port bytes"] = static_cast<double>(line.size() + 1);
  return found;
}
Figures remembered_cost(double size, Counter& counter) {
  const membership::RosterWord word{.revision = 1, .entries = entries_of(size), .remarks = {}};
  membership::Remembered remembered;
  return metered(counter, 1, [&] { remembered.hear(word); });
}

// A source that sends one line to whoever comes; its bytes are counted at the port.
class HollowSource final : private transport::StreamHandler {
 public:
  HollowSource(emulator::Network& network, std::string line)
      : line_(std::move(line)), listener_(network, transport::numeric_address("127.0.0.1:0"), true,
                                          [this, &network](const transport::PendingConnection& arrival) {
                                            stream_ = transport::Stream::adopt(network, arrival, *this);
                                            stream_->write(line_);
                                          }) {}
  ~HollowSource() override {
    if (stream_) stream_->close();
  }
  transport::Address address() const { return listener_.address(); }

 private:
  void on_data(std::string_view) override {}
  void on_closed(transport::CloseReason) override {}
  std::string line_;
  std::shared_ptr<transport::Stream> stream_;
  transport::Listener listener_;
};

Figures board_client_cost(double size, Counter& counter) {
  emulator::Network network(latency);
  HollowSource source(network, notice_of(entries_of(size), 1) + "\n");
  Quiet quiet;
  std::size_t heard = 0;
  membership::BoardClient client(network, source.address(), 0, 1, quiet,
                                 [&](EndpointListForm, const std::vector<core::EndpointListEntry>& entries) {
                                   heard += entries.size();
                                 });
  client.watch(true);
  Figures found = metered(counter, 1, [&] { network.run_until(network.now() + second); });
  found["port bytes"] = static_cast<double>(network.bytes());
  need(heard == static_cast<std::size_t>(size), "the list was not heard whole");
  return found;
}
Figures roster_client_cost(double size, Counter& counter) {
  emulator::Network network(latency);
  HollowSource source(
      network, membership::write_word({.revision = 1, .entries = entries_of(size), .remarks = {}}, 0) + "\n");
  Quiet quiet;
  std::size_t heard = 0;
  membership::RosterClient client(network, source.address(), 0, second, 1, quiet,
                                  [&](EndpointListForm, const std::vector<core::EndpointListEntry>& entries) {
                                    heard += entries.size();
                                  });
  client.watch(true);
  Figures found = metered(counter, 1, [&] { network.run_until(network.now() + second); });
  found["port bytes"] = static_cast<double>(network.bytes());
  need(heard == static_cast<std::size_t>(size), "the list was not heard whole");
  return found;
}

// Messages between routers.

std::vector<std::string> addresses_of(double routers) {
  std::vector<std::string> addresses;
  for (int i = 0; i < static_cast<int>(routers); ++i)
    addresses.push_back("127.0.0.1:" + std::to_string(port + i));
  return addresses;
}

// One message to all: what it costs its teller, and one that hears it.
Figures peer_message_cost(double size, Counter& counter) {
  emulator::Network network(latency);
  const std::vector<std::string> addresses = addresses_of(size);
  int heard = 0;
  const auto hears = [&](int, const std::string&) { ++heard; };
  const std::string message = server_name(1) + " u50";
  transport::BarePeers hearer(network, transport::numeric_address(addresses.back()),
                              static_cast<int>(size) - 1, addresses, "", hears);
  transport::BarePeers teller(network, transport::numeric_address(addresses[addresses.size() / 2]),
                              static_cast<int>(addresses.size() / 2), addresses, "", hears);
  Figures found = metered(counter, repeats, [&] {
    for (int i = 0; i < repeats; ++i) teller.send(-1, message);
  });
  found["messages"] = static_cast<double>(network.datagrams()) / repeats;
  found["port bytes"] = static_cast<double>(network.bytes()) / repeats;
  network.run_until(network.now() + second);
  need(heard == repeats, "a message was not heard");
  for (int i = 0; i < repeats; ++i) teller.send(static_cast<int>(size) - 1, message);
  found["instructions of hearing"] =
      metered(counter, repeats, [&] { network.run_until(network.now() + second); }).at("instructions");
  return found;
}

// What routers hold together.

struct Unheeded final : replica::Findings {
  void full(replica::Kind) override {}
  void copies_differed(const replica::StreamId&, const replica::Word&, const replica::Word&) override {}
  void second_of_us(const replica::Writer&) override {}
  void honoured_twice(const std::string&, const replica::Writer&, const replica::Writer&) override {}
} unheeded;

replica::Bounds bounds_of(double routers) {
  replica::Bounds bounds{.streams = static_cast<std::size_t>(routers) * replica::kinds * 20,
                         .horizon = 1'200 * second};
  bounds.life.fill(600 * second);
  bounds.own.fill(10'000);
  bounds.together.fill(10'000'000);
  return bounds;
}

struct Wire final : replica::Line {
  void send(const std::string& bytes) override { waiting += bytes, sent += bytes.size(), ++frames; }
  std::size_t unsent() const override { return 0; }
  std::string waiting;
  std::size_t sent = 0, frames = 0;
};

// Two routers that both hold the words of all, over one connection; nothing new is written, unless told.
struct Pair {
  Pair(double routers, Time now)
      : here({0, 1}, bounds_of(routers), unheeded), there({1, 1}, bounds_of(routers), unheeded),
        at_here({.deployment = "scale", .name = "router-0", .writer = {0, 1}}, here, to_there, {}),
        at_there({.deployment = "scale", .name = "router-1", .writer = {1, 1}}, there, to_here, {}) {
    for (int router = 2; router < static_cast<int>(routers); ++router) {
      for (const replica::Kind kind : {replica::Kind::mark, replica::Kind::ration}) {
        replica::Piece piece{
            .stream = {kind, {router, 1}}, .through = words_before, .of = words_before, .words = {}};
        for (int i = 1; i <= words_before; ++i)
          piece.words.push_back(
              {static_cast<std::uint64_t>(i), std::to_string(router) + "-" + std::to_string(i), 2, 0, 0});
        here.apply(now, {piece});
        there.apply(now, {piece});
      }
    }
    at_here.opened();
    at_there.opened();
  }
  // One turn of either.
  void turn(Time now) {
    at_here.turn(now);
    at_there.turn(now);
    for (int i = 0; i < 3; ++i) {
      const std::string there_hears = std::exchange(to_there.waiting, {}),
                        here_hears = std::exchange(to_here.waiting, {});
      if (!there_hears.empty()) at_there.arrived(now, there_hears);
      if (!here_hears.empty()) at_here.arrived(now, here_hears);
    }
  }
  replica::Replica here, there;
  Wire to_there, to_here;
  replica::Conversation at_here, at_there;
};

// A second of one way between two routers, both directions; for one router half of it is its own.
Figures conversation_cost(double routers, double words_a_second, Counter& counter) {
  constexpr Time turn_every = 100;
  Time now = second;
  Pair pair(routers, now);
  for (; now < 4 * second; now += turn_every) pair.turn(now);
  const std::size_t bytes = pair.to_there.sent + pair.to_here.sent;
  const std::size_t frames = pair.to_there.frames + pair.to_here.frames;
  const double seconds = static_cast<double>(listening) / static_cast<double>(second);
  double due = 0;
  int written = 0;
  const Time until = now + listening;
  Figures found = metered(counter, 2 * seconds, [&] {
    for (; now < until; now += turn_every) {
      due += words_a_second * static_cast<double>(turn_every) / static_cast<double>(second);
      for (; due >= 1; due -= 1)
        pair.here.write(now, replica::Kind::mark, "/clients 0123456789abcdef" + std::to_string(++written), 2);
      pair.turn(now);
    }
  });
  found["port bytes"] = static_cast<double>(pair.to_there.sent + pair.to_here.sent - bytes) / seconds;
  found["messages"] = static_cast<double>(pair.to_there.frames + pair.to_here.frames - frames) / seconds;
  need(pair.at_here.reason().empty() && pair.at_there.reason().empty(), "the routers hung up");
  return found;
}

Figures replica_memory_cost(double routers, Counter&) {
  const double before = allocated_bytes();
  Pair pair(routers, second);
  return {{"bytes", (allocated_bytes() - before) / 2}};
}

// A whole fleet of routers, real links between them, in virtual time: a second of one router.
struct Linked {
  Linked(transport::Reactor& reactor, int number, const std::vector<std::string>& addresses)
      : copy({number, 1}, bounds_of(static_cast<double>(addresses.size())), unheeded),
        links(reactor,
              {.listen = addresses[static_cast<std::size_t>(number)],
               .addresses = addresses,
               .hello = {.deployment = "scale", .name = std::to_string(number), .writer = copy.me()},
               .everybody = addresses.size() <= replica::most_meeting},
              copy, quiet) {}
  Quiet quiet;
  replica::Replica copy;
  replicating::ReplicaLinks links;
};

Figures links_cost(double size, Counter& counter) {
  emulator::Network network(latency);
  const std::vector<std::string> addresses = addresses_of(size);
  std::vector<std::unique_ptr<Linked>> routers;
  for (int i = 0; i < static_cast<int>(size); ++i) {
    routers.push_back(std::make_unique<Linked>(network, i, addresses));
    routers.back()->copy.write(network.now(), replica::Kind::mark, "first of " + std::to_string(i), 2);
  }
  network.run_until(network.now() + meeting);
  const std::uint64_t before = network.bytes();
  const double seconds = static_cast<double>(listening) / static_cast<double>(second);
  Figures found = metered(counter, seconds * size, [&] { network.run_until(network.now() + listening); });
  found["port bytes"] = 2 * static_cast<double>(network.bytes() - before) / seconds / size;  // sent and heard
  double ways = 0, lacking = 0;
  for (const auto& router : routers) {
    ways += static_cast<double>(router->links.links());
    lacking += static_cast<double>(router->links.behind());
  }
  found["ways"] = ways / size;
  need(lacking == 0, "words are lacking");
  return found;
}

std::vector<double> doubling(double first, int points) {
  std::vector<double> sizes;
  for (int i = 0; i < points; ++i, first *= 2) sizes.push_back(first);
  return sizes;
}

Sizes with(Sizes sizes, int Sizes::*which, double value) {
  sizes.*which = static_cast<int>(value);
  return sizes;
}

std::vector<Cost> all_costs() {
  const Sizes usual{};
  const Sizes in_turn{.servers = 64, .even = true};
  const char* const pick = "request_received, pick, rank_homes: src/routing/routing_policy.cpp";
  const char* const house = "keep_house: src/routing/routing_policy.cpp";
  const char* const list = "endpoints_updated, rank_homes: src/routing/routing_policy.cpp";
  const char* const memory = "Function, Server, Entry: src/routing/routing_policy.cpp";
  const char* const board = "BoardClient, read_line: src/membership";
  const char* const roster = "RosterClient, read_word, Remembered: src/membership";
  const char* const peers = "BarePeers: src/transport/bare_peers.cpp";
  const char* const copies = "Conversation, Replica: src/replica";
  const char* const links = "ReplicaLinks: src/replicating";
  const auto servers = doubling(125, 6), small_servers = doubling(16, 5);
  const std::vector<double> functions{938, 1'875, 3'750, 7'500, 15'000};
  const auto small_functions = doubling(16, 5), held = doubling(900, 5);
  const std::vector<double> routers{43, 85, 170, 340, 680};
  const auto small_routers = doubling(8, 5);
  const std::string around = "15,000 functions by rank, 162 requests a second, 680 routers";
  std::vector<Cost> all;
  all.push_back({"module.request-by-servers", pick, "request", "servers", around, servers, small_servers,
                 [=](double n, Counter& c) { return request_cost(with(usual, &Sizes::servers, n), c); }});
  all.push_back({"module.request-by-functions", pick, "request", "functions",
                 "1,000 servers, 162 requests a second", functions, small_functions,
                 [=](double n, Counter& c) { return request_cost(with(usual, &Sizes::functions, n), c); }});
  all.push_back({"module.request-by-requests", pick, "request", "requests a second",
                 "1,000 servers, 15,000 functions by rank", doubling(40.5, 5), doubling(10, 5),
                 [=](double n, Counter& c) {
                   Sizes sizes = usual;
                   sizes.requests = n;
                   return request_cost(sizes, c);
                 }});
  all.push_back({"module.request-by-tenants", pick, "request", "tenants",
                 "100 servers, 15,000 functions by rank, 162 requests a second", doubling(64, 5),
                 doubling(8, 5), [=](double n, Counter& c) {
                   Sizes sizes = with(usual, &Sizes::tenants, n);
                   sizes.servers = static_cast<int>(core_servers);
                   return request_cost(sizes, c);
                 }});
  all.push_back({"module.tick-by-servers", house, "tick, 10 a second", "servers", around, servers,
                 small_servers,
                 [=](double n, Counter& c) { return tick_cost(with(usual, &Sizes::servers, n), c); }});
  all.push_back({"module.tick-by-functions-held", house, "tick, 10 a second", "functions held",
                 "64 servers, 162 requests a second in turn", held, small_functions,
                 [=](double n, Counter& c) { return tick_cost(with(in_turn, &Sizes::functions, n), c); }});
  all.push_back({"module.tick-by-requests", house, "tick, 10 a second", "requests a second",
                 "1,000 servers, 15,000 functions by rank", doubling(40.5, 5), doubling(10, 5),
                 [=](double n, Counter& c) {
                   Sizes sizes = usual;
                   sizes.requests = n;
                   return tick_cost(sizes, c);
                 }});
  all.push_back({"module.change-by-servers", list, "change of one server", "servers", around, servers,
                 small_servers,
                 [=](double n, Counter& c) { return change_cost(with(usual, &Sizes::servers, n), c); }});
  all.push_back({"module.change-by-functions-held", list, "change of one server", "functions held",
                 "64 servers, 162 requests a second in turn", held, small_functions,
                 [=](double n, Counter& c) { return change_cost(with(in_turn, &Sizes::functions, n), c); }});
  all.push_back({"module.list-by-servers", list, "whole list", "servers", around, servers, small_servers,
                 [=](double n, Counter& c) { return whole_list_cost(with(usual, &Sizes::servers, n), c); }});
  all.push_back({"module.memory-by-servers", memory, "module", "servers",
                 "15,000 functions by rank, 162 requests a second", servers, small_servers,
                 [=](double n, Counter& c) { return memory_cost(with(usual, &Sizes::servers, n), c); }});
  all.push_back({"module.memory-by-servers-all-met",
                 memory,
                 "module",
                 "servers",
                 "14,400 functions in turn, 162 requests a second",
                 servers,
                 {16, 32, 64, 128, 256},
                 [=](double n, Counter& c) {
                   return memory_cost(with(with(in_turn, &Sizes::functions, 14'400), &Sizes::servers, n), c);
                 }});
  all.push_back({"module.memory-by-functions-held", memory, "module", "functions held",
                 "250 servers, 162 requests a second in turn", held, small_functions,
                 [=](double n, Counter& c) {
                   return memory_cost(with(with(in_turn, &Sizes::servers, 250), &Sizes::functions, n), c);
                 }});
  all.push_back({"module.probe-messages-by-servers", "ask_load, probe_ended: src/routing/routing_policy.cpp",
                 "second, whole fleet", "servers", "load reports by probe and peers permitted", servers,
                 small_servers, [=](double n, Counter& c) {
                   Sizes sizes = with(usual, &Sizes::servers, n);
                   sizes.probing = true;
                   return probing_cost(sizes, c);
                 }});
  all.push_back({"core.second-by-requests",
                 "Gateway: src/core/gateway.cpp, with its module and hollow servers", "second",
                 "requests a second", "100 servers, 15,000 functions by rank", doubling(40.5, 5),
                 doubling(10, 5), [=](double n, Counter& c) {
                   Sizes sizes = usual;
                   sizes.servers = static_cast<int>(core_servers);
                   sizes.requests = n;
                   return core_second_cost(sizes, c);
                 }});
  all.push_back({"core.list-by-servers", "Gateway::roster: src/core/gateway.cpp, with its module",
                 "whole list", "servers", "no request yet", servers, small_servers, core_list_cost});
  all.push_back({"membership.board-list-by-servers", "read_line: src/membership/board_words.cpp",
                 "whole list", "servers", "", servers, small_servers, board_list_cost});
  all.push_back({"membership.board-client-by-servers", board, "whole list heard", "servers",
                 "one connection, emulated", servers, small_servers, board_client_cost});
  all.push_back({"membership.roster-list-by-servers", "read_word: src/membership/roster_words.cpp",
                 "whole list", "servers", "", servers, small_servers, roster_list_cost});
  all.push_back({"membership.roster-client-by-servers", roster, "whole list heard", "servers",
                 "one connection, emulated", servers, small_servers, roster_client_cost});
  all.push_back({"membership.remembered-by-servers", "Remembered::hear: src/membership/roster_words.cpp",
                 "whole list", "servers", "", servers, small_servers, remembered_cost});
  all.push_back({"peers.message-by-routers", peers, "message to all", "routers", "no address for all at once",
                 routers, small_routers, peer_message_cost});
  all.push_back({"replica.way-by-routers", copies, "second of one way, one end", "routers",
                 "two kinds written by each router, nothing new", routers, small_routers,
                 [](double n, Counter& c) { return conversation_cost(n, 0, c); }});
  all.push_back({"replica.way-by-words", copies, "second of one way, one end", "words a second", "20 routers",
                 doubling(20, 5), doubling(4, 5),
                 [](double n, Counter& c) { return conversation_cost(20, n, c); }});
  all.push_back({"replica.memory-by-routers", copies, "copy and one way", "routers",
                 "eight words by each router", routers, doubling(64, 5), replica_memory_cost});
  all.push_back({"replica.fleet-by-routers",
                 links,
                 "second of one router",
                 "routers",
                 "one kind written by each router, nothing new",
                 doubling(20, 5),
                 {2, 4, 8, 16, 32},
                 links_cost});
  return all;
}

}  // namespace

const std::vector<Cost>& costs() {
  static const std::vector<Cost> all = all_costs();
  return all;
}

}  // namespace rushhill::scale

#include "lab/lag.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <memory>
#include <random>
#include <string>

#include "core/event_log.h"
#include "emulator/network.h"
#include "replicating/replica_links.h"
#include "transport/reactor.h"

namespace rushhill::lab {
namespace {

using replica::Kind;

constexpr Time second = 10'000;
constexpr Time latency = 5;             // tenths of a millisecond from one router to another
constexpr Time sent_again = 2'000;      // after a loss; TCP's least pause on most systems
constexpr Time meeting = 10 * second;   // until all have found one another
constexpr Time between = 500;           // words, on average
constexpr Time look_every = 5;          // half a millisecond: how fine the figures are
constexpr Time patience = 60 * second;  // after the last word
constexpr int first_port = 20'000;

struct Unheeded final : replica::ReplicaObserver {
  void full(Kind) override {}
  void on_divergence(const replica::StreamId&, const replica::Word&, const replica::Word&) override {}
  void on_duplicate_writer(const replica::Writer&) override {}
  void on_executed_twice(const std::string&, const replica::Writer&, const replica::Writer&) override {}
};
struct NoEventLog final : core::EventLog {
  bool should_log(core::Level) const override { return false; }
  void write(core::Level, const char*, Fields) override {}
};

replica::Bounds bounds(int routers) {
  replica::Bounds told{.streams = static_cast<std::size_t>(routers) * replica::kinds * 2,
                       .horizon = 1'200 * second};
  told.life.fill(600 * second);
  told.own.fill(10'000);
  told.together.fill(1'000'000);
  return told;
}

struct Router {
  Router(transport::Reactor& reactor, int number, const std::vector<std::string>& addresses)
      : copy({number, 1}, bounds(static_cast<int>(addresses.size())), unheeded),
        links(reactor,
              {.listen = addresses[static_cast<std::size_t>(number)],
               .addresses = addresses,
               .hello = {.deployment = "lag", .name = std::to_string(number), .writer = copy.me()},
               .full_mesh = addresses.size() <= replica::max_full_mesh_routers},
              copy, diary) {}
  Unheeded unheeded;
  NoEventLog diary;
  replica::Replica copy;
  replicating::ReplicaLinks links;
};

struct Word {
  std::string key;
  Time written = 0;
  std::vector<int> lacking;  // routers
};

Time quantile(const std::vector<Time>& ascending, double share) {
  if (ascending.empty()) return 0;
  return ascending[static_cast<std::size_t>(share * static_cast<double>(ascending.size() - 1))];
}

void print(const char* what, const std::vector<Time>& ascending) {
  std::cout << what;
  for (const auto& [name, share] : {std::pair{"median", 0.5}, {"90%", 0.9}, {"99%", 0.99}, {"most", 1.0}})
    std::cout << "  " << name << ' ' << static_cast<double>(quantile(ascending, share)) / 10 << " ms";
  std::cout << '\n';
}

}  // namespace

Lag measure_lag(const LagOf& of) {
  const std::int64_t began = transport::monotonic_ns();
  emulator::Network network(latency);
  network.lose(of.loss, sent_again, of.seed);
  std::mt19937_64 chance(of.seed);
  std::vector<std::string> addresses;
  for (int i = 0; i < of.routers; ++i) addresses.push_back("127.0.0.1:" + std::to_string(first_port + i));
  std::vector<std::unique_ptr<Router>> routers;
  for (int i = 0; i < of.routers; ++i) routers.push_back(std::make_unique<Router>(network, i, addresses));
  network.run_until(network.now() + meeting);

  Lag found;
  std::vector<Word> words;
  int written = 0;
  Time next = network.now(), end = 0;
  while (written < of.words || (!words.empty() && network.now() < end)) {
    if (written < of.words && network.now() >= next) {
      const auto writer = static_cast<std::size_t>(chance() % routers.size());
      Word word{.key = "word " + std::to_string(++written), .written = network.now(), .lacking = {}};
      for (int i = 0; i < of.routers; ++i) {
        if (i != static_cast<int>(writer)) word.lacking.push_back(i);
      }
      routers[writer]->copy.write(network.now(), Kind::deduplication, word.key, 1);
      routers[writer]->links.written();
      if (!word.lacking.empty()) words.push_back(std::move(word));
      next += 1 + static_cast<Time>(chance() % static_cast<std::uint64_t>(2 * between));
      end = network.now() + patience;
    }
    network.run_until(network.now() + look_every);
    std::erase_if(words, [&](Word& word) {
      const std::size_t before = word.lacking.size();
      std::erase_if(word.lacking, [&](int router) {
        return routers[static_cast<std::size_t>(router)]->copy.highest_rank(Kind::deduplication, word.key) >
               0;
      });
      const Time taken = network.now() - word.written;
      if (before == static_cast<std::size_t>(of.routers) - 1 && word.lacking.size() < before)
        found.first.push_back(taken);
      if (word.lacking.empty()) found.last.push_back(taken);
      return word.lacking.empty();
    });
  }
  found.never = static_cast<int>(words.size());
  for (const auto& router : routers) found.most_ways = std::max(found.most_ways, router->links.links());
  std::ranges::sort(found.first);
  std::ranges::sort(found.last);
  found.virtual_seconds = static_cast<double>(network.now()) / 1e4;
  found.real_seconds = static_cast<double>(transport::monotonic_ns() - began) / 1e9;
  return found;
}

int lag(const LagOf& of) {
  const Lag found = measure_lag(of);
  std::cout << of.routers << " routers, " << of.words << " words, " << of.loss * 100 << "% lost, at most "
            << found.most_ways << " ways at one router\n"
            << std::fixed << std::setprecision(1);
  print("until a second router has it:", found.first);
  print("until all have it:           ", found.last);
  std::cout << found.never << " words lacked by some router " << static_cast<double>(patience) / second
            << " s after the last; " << found.virtual_seconds << " s of virtual time in "
            << found.real_seconds << " s\n";
  return found.never == 0 ? 0 : 1;
}

}  // namespace rushhill::lab

#include "simulation/day_start.h"

#include <cstdio>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace rushhill::simulation {
namespace {

constexpr Time poll_interval = 200;  // tenths of a millisecond between two looks for the file
constexpr std::int64_t nanoseconds_per_tick = 100'000;

}  // namespace

void await_start(transport::Reactor& reactor, const std::string& path, std::function<void(Time start)> call) {
  std::int64_t start_ns = 0;
  if (std::ifstream(path) >> start_ns) return call(start_ns / nanoseconds_per_tick);
  reactor.at(reactor.now() + poll_interval, [&reactor, path, call = std::move(call)]() mutable {
    await_start(reactor, path, std::move(call));
  });
}

void write_start(const std::string& path, std::int64_t start_ns) {
  const std::string part = path + ".part";
  std::ofstream(part) << start_ns << '\n';
  if (std::rename(part.c_str(), path.c_str()) != 0) throw std::runtime_error(path + ": cannot be written");
}

}  // namespace rushhill::simulation

#include "command/bench.h"

#include <memory>

#include "lab/bench.h"

namespace rushhill::command {

Command add_bench(CLI::App& app) {
  const auto options = std::make_shared<lab::Bench>();
  CLI::App* bench_app =
      app.add_subcommand("bench", "measure what the router adds, and its memory; about a minute");
  bench_app->add_option("--seconds", options->seconds, "of each measurement")->check(CLI::Range(1, 600));
  bench_app->add_option("--connections", options->connections, "of the client")->check(CLI::Range(1, 10'000));
  bench_app->add_option("--processes", options->processes, "routers on one port")->check(CLI::Range(1, 64));
  bench_app->add_flag("!--no-mqtt", options->mqtt, "leave out MQTT");
  bench_app->add_flag("--flood", options->flood,
                      "instead: how HTTP and a quiet topic fare beside a topic that floods");
  bench_app->add_flag("!--no-memory", options->memory,
                      "leave out the memory with 10,000 and 50,000 events open");
  return {.app = bench_app, .run = [options] { return laboratory_exit_code(lab::bench(*options)); }};
}

}  // namespace rushhill::command

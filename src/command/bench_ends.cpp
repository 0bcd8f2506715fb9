#include "command/bench_ends.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "command/ready_line.h"
#include "command/run_until_signal.h"
#include "lab/mqtt_pump.h"
#include "lab/pump.h"
#include "transport/loop.h"
#include "transport/reactor.h"

namespace rushhill::command {
namespace {

constexpr Time millisecond = 10;
constexpr Time second = 1'000 * millisecond;
constexpr const char* any_free_port = "127.0.0.1:0";

struct EchoOptions {
  int ports = 1;
  std::int64_t answers = -1;  // below 0: all
  int work_ms = 0;
  int lanes = 1;
};

struct PumpOptions {
  std::vector<std::string> to;
  int seconds = 3;
  int due_ms = 0;
  lab::Pumping load;
};

struct MqttPumpOptions {
  std::vector<std::string> streams;  // TOPIC=RATE
  int seconds = 3;
  int due_ms = 0;
};

ExitCode run_echo(const EchoOptions& options) {
  transport::Loop reactor;
  std::int64_t answers_left = options.answers;
  std::vector<std::unique_ptr<lab::Echo>> servers;
  std::string addresses;
  for (int port = 0; port < options.ports; ++port) {
    servers.push_back(std::make_unique<lab::Echo>(reactor, transport::numeric_address(any_free_port),
                                                  answers_left, millisecond * options.work_ms,
                                                  options.lanes));
    addresses += (addresses.empty() ? "" : " ") + servers.back()->address().toString();
  }
  print_ready(addresses);
  run_until_signal(reactor);
  return ExitCode::success;
}

ExitCode run_pump(const PumpOptions& options) {
  transport::Loop reactor;
  std::vector<transport::Address> to;
  for (const std::string& text : options.to) to.push_back(transport::numeric_address(text));
  lab::Pumping load = options.load;
  load.span = second * options.seconds;
  load.due = millisecond * options.due_ms;
  lab::EventLoopDriver pump(reactor, to, load);
  pump.run();
  print_ready(lab::as_json(pump.result()));
  return ExitCode::success;
}

lab::Stream stream_of(const std::string& text) {
  const std::size_t equals = text.find('=');
  const double rate = equals == std::string::npos ? 0 : std::stod(text.substr(equals + 1));
  return {.topic = text.substr(0, equals), .rate = rate};
}

ExitCode run_mqtt_pump(const MqttPumpOptions& options) {
  std::vector<lab::Stream> streams;
  for (const std::string& text : options.streams) streams.push_back(stream_of(text));
  transport::Loop reactor;
  lab::MqttPump pump(reactor, transport::numeric_address(any_free_port), streams, second * options.seconds,
                     millisecond * options.due_ms, lab::Pumping{}.functions);
  print_ready(pump.address().toString());
  pump.run();
  std::string line;
  for (const lab::Pumped& result : pump.results()) line += (line.empty() ? "[" : ",") + lab::as_json(result);
  print_ready(line + "]");
  return ExitCode::success;
}

Command add_echo(CLI::App& parent) {
  const auto options = std::make_shared<EchoOptions>();
  CLI::App* app = parent.add_subcommand("echo", "the bench's server: answers at once");
  app->add_option("--ports", options->ports, "ports to listen on")->check(CLI::Range(1, 1000));
  app->add_option("--answers", options->answers, "answer so many and no more; below 0: all");
  app->add_option("--work", options->work_ms, "milliseconds of work on each; 0: at once")
      ->check(CLI::Range(0, 60'000));
  app->add_option("--lanes", options->lanes, "worked on at once")->check(CLI::Range(1, 1000));
  return {.app = app, .run = [options] { return run_echo(*options); }};
}

Command add_mqtt_pump(CLI::App& parent) {
  const auto options = std::make_shared<MqttPumpOptions>();
  CLI::App* app = parent.add_subcommand("mqtt-pump", "the bench's broker, which publishes its own load");
  app->add_option("--stream", options->streams, "TOPIC=RATE; rate 0: as much as is taken")->required();
  app->add_option("--seconds", options->seconds, "how long")->check(CLI::Range(1, 3600));
  app->add_option("--due", options->due_ms, "milliseconds that count as in time; 0: any");
  return {.app = app, .run = [options] { return run_mqtt_pump(*options); }};
}

Command add_pump(CLI::App& parent) {
  const auto options = std::make_shared<PumpOptions>();
  CLI::App* app = parent.add_subcommand("pump", "the bench's client: keeps connections busy");
  app->add_option("--to", options->to, "an address; may be given again")->required();
  app->add_option("--connections", options->load.connections, "connections")->check(CLI::Range(1, 100'000));
  app->add_option("--rate", options->load.rate,
                  "requests a second at their own moments; 0: as fast as answered");
  app->add_option("--due", options->due_ms, "milliseconds that count as in time; 0: any");
  app->add_option("--seconds", options->seconds, "how long")->check(CLI::Range(1, 3600));
  app->add_option("--batch", options->load.batch, "events in a request")->check(CLI::Range(0, 10'000));
  return {.app = app, .run = [options] { return run_pump(*options); }};
}

}  // namespace

Commands add_bench_end_commands(CLI::App& app) { return {add_echo(app), add_mqtt_pump(app), add_pump(app)}; }

}  // namespace rushhill::command

#include "command/simulation.h"

#include <fstream>
#include <iterator>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "command/ready_line.h"
#include "command/run_until_signal.h"
#include "simulation/broker.h"
#include "simulation/clients.h"
#include "simulation/day_json.h"
#include "simulation/day_start.h"
#include "simulation/discovery_server.h"
#include "simulation/links.h"
#include "simulation/simulated_servers.h"
#include "transport/loop.h"
#include "transport/reactor.h"

namespace rushhill::command {
namespace {

// What all parts of a day are started with.
struct DayOptions {
  std::string day_file;
  std::string record_file;
  std::string start_file;  // empty: the day does not start, but for the clients, who start at once
};

struct DiscoveryOptions {
  DayOptions day;
  std::string listen = "127.0.0.1:0";
};

struct ServersOptions {
  DayOptions day;
  std::string discovery;
};

struct BrokerOptions {
  DayOptions day;
  std::string listen = "127.0.0.1:0";
};

struct ClientsOptions {
  DayOptions day;
  std::vector<std::string> routers;
  std::string broker;
  double mqtt_share = 0;
};

struct LinksOptions {
  DayOptions day;
  std::vector<std::string> routers;
};

std::string file_text(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file.is_open()) throw std::runtime_error(path + ": cannot be read");
  return {std::istreambuf_iterator<char>(file), {}};
}

simulation::Day read_day(const DayOptions& options) {
  return simulation::day_from_json(file_text(options.day_file));
}

std::vector<transport::Address> numeric_addresses(const std::vector<std::string>& texts) {
  std::vector<transport::Address> addresses;
  for (const std::string& text : texts) addresses.push_back(transport::numeric_address(text));
  return addresses;
}

ExitCode run_discovery(const DiscoveryOptions& options) {
  const simulation::Day day = read_day(options.day);
  simulation::Record record(options.day.record_file);
  transport::Loop reactor;
  reactor.reads_peers_before_sending = false;
  simulation::DiscoveryServer discovery(reactor, transport::numeric_address(options.listen), day, record);
  print_ready(discovery.address().toString());
  if (!options.day.start_file.empty())
    simulation::await_start(reactor, options.day.start_file, [&](Time start) { discovery.play(start); });
  run_until_signal(reactor);
  record.flush();
  return ExitCode::success;
}

ExitCode run_servers(const ServersOptions& options) {
  const simulation::Day day = read_day(options.day);
  simulation::Record record(options.day.record_file);
  transport::Loop reactor;
  reactor.reads_peers_before_sending = false;
  simulation::SimulatedServers fleet(reactor, day, record);
  if (!options.discovery.empty()) fleet.announce_to(transport::numeric_address(options.discovery));
  print_ready(fleet.address(day.servers.front().id).toString());
  if (!options.day.start_file.empty())
    simulation::await_start(reactor, options.day.start_file, [&](Time start) { fleet.play(start); });
  run_until_signal(reactor);
  fleet.close();
  return ExitCode::success;
}

ExitCode run_broker(const BrokerOptions& options) {
  const simulation::Day day = read_day(options.day);
  simulation::Record record(options.day.record_file);
  transport::Loop reactor;
  reactor.reads_peers_before_sending = false;
  simulation::Broker broker(reactor, transport::numeric_address(options.listen), record);
  print_ready(broker.address().toString());
  if (!options.day.start_file.empty())
    simulation::await_start(reactor, options.day.start_file, [&](Time start) { broker.play(day, start); });
  run_until_signal(reactor);
  record.flush();
  return ExitCode::success;
}

ExitCode run_clients(const ClientsOptions& options) {
  const simulation::Day day = read_day(options.day);
  simulation::Record record(options.day.record_file);
  transport::Loop reactor;
  reactor.reads_peers_before_sending = false;
  simulation::Clients clients(
      reactor, day, numeric_addresses(options.routers), record, [&] { reactor.halt(); }, options.broker,
      options.mqtt_share);
  print_ready();
  if (options.day.start_file.empty()) {
    clients.play(reactor.now());
  } else {
    simulation::await_start(reactor, options.day.start_file, [&](Time start) { clients.play(start); });
  }
  run_until_signal(reactor);
  record.flush();
  return ExitCode::success;
}

ExitCode run_links(const LinksOptions& options) {
  const simulation::Day day = read_day(options.day);
  transport::Loop reactor;
  reactor.reads_peers_before_sending = false;
  const std::vector<transport::Address> routers = numeric_addresses(options.routers);
  if (static_cast<int>(routers.size()) != day.routers)
    throw std::invalid_argument("as many --router as the day has routers are needed");
  simulation::Links links(reactor, day, routers);
  std::string addresses;
  for (int from = 0; from < day.routers; ++from) {
    for (int to = 0; to < day.routers; ++to)
      addresses += (addresses.empty() ? "" : " ") + links.address(from, to).toString();
  }
  print_ready(addresses);
  if (!options.day.start_file.empty())
    simulation::await_start(reactor, options.day.start_file, [&](Time start) { links.play(start); });
  run_until_signal(reactor);
  return ExitCode::success;
}

void add_day_options(CLI::App& app, DayOptions& options) {
  app.add_option("--day", options.day_file, "the day's file")->required();
  app.add_option("--record", options.record_file, "where what is seen is written, a JSON object a line");
  app.add_option("--start", options.start_file, "wait for this file, which tells the day's start");
}

Command add_discovery(CLI::App& parent) {
  const auto options = std::make_shared<DiscoveryOptions>();
  CLI::App* app = parent.add_subcommand("roster", "a roster that tells changes late");
  add_day_options(*app, options->day);
  app->add_option("--listen", options->listen, "address and port; port 0: the system chooses");
  return {.app = app, .run = [options] { return run_discovery(*options); }};
}

Command add_servers(CLI::App& parent) {
  const auto options = std::make_shared<ServersOptions>();
  CLI::App* app = parent.add_subcommand("servers", "the day's fleet of model servers");
  add_day_options(*app, options->day);
  app->add_option("--roster", options->discovery, "the roster to announce them to");
  return {.app = app, .run = [options] { return run_servers(*options); }};
}

Command add_broker(CLI::App& parent) {
  const auto options = std::make_shared<BrokerOptions>();
  CLI::App* app = parent.add_subcommand("broker", "an MQTT broker");
  add_day_options(*app, options->day);
  app->add_option("--listen", options->listen, "address and port; port 0: the system chooses");
  return {.app = app, .run = [options] { return run_broker(*options); }};
}

Command add_clients(CLI::App& parent) {
  const auto options = std::make_shared<ClientsOptions>();
  CLI::App* app = parent.add_subcommand("clients", "the day's clients");
  add_day_options(*app, options->day);
  app->add_option("--router", options->routers, "a router's address; may be given again")->required();
  app->add_option("--broker", options->broker, "the broker for a share of the events");
  app->add_option("--mqtt", options->mqtt_share, "that share")->check(CLI::Range(0.0, 1.0));
  return {.app = app, .run = [options] { return run_clients(*options); }};
}

Command add_links(CLI::App& parent) {
  const auto options = std::make_shared<LinksOptions>();
  CLI::App* app = parent.add_subcommand("links", "the ways between routers' copies, with the day's faults");
  add_day_options(*app, options->day);
  app->add_option("--router", options->routers, "a router's address for copies, in their order")->required();
  return {.app = app, .run = [options] { return run_links(*options); }};
}

}  // namespace

Commands add_simulation_commands(CLI::App& app) {
  return {add_discovery(app), add_servers(app), add_broker(app), add_clients(app), add_links(app)};
}

}  // namespace rushhill::command

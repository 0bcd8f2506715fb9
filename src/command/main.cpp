// The command line. Exit codes: 0 good; 1 a rule broken or an event not honoured, where that was asked; 2
// wrong use, or a file that is refused; 3 events still open at the end; 4 something could not be opened or
// reached.
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>

#include "command/node.h"
#include "command/send.h"
#include "command/serve.h"
#include "deployment/deployment_file.h"
#include "lab/badday.h"
#include "lab/bench.h"
#include "lab/emulate.h"
#include "lab/lag.h"
#include "lab/mqtt_pump.h"
#include "lab/pump.h"
#include "lab/scale.h"
#include "standin/broker.h"
#include "standin/clients.h"
#include "standin/fleet.h"
#include "standin/links.h"
#include "standin/roster_board.h"
#include "transport/loop.h"
#include "transport/reactor.h"

namespace rushhill::command {
namespace {

constexpr const char* version = "0.2.0";

transport::Reactor* ended_by_signal = nullptr;
void on_signal(int) {
  if (ended_by_signal != nullptr) ended_by_signal->halt();
}

std::string file_text(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in.is_open()) throw std::runtime_error(path + ": cannot be read");
  return {std::istreambuf_iterator<char>(in), {}};
}

struct StandinPart {
  std::string day_file, record_file, start_file, roster, broker, listen = "127.0.0.1:0";
  double mqtt_share = 0;
  std::vector<std::string> routers;
};

void run(transport::Reactor& reactor) {
  std::signal(SIGPIPE, SIG_IGN);
  ended_by_signal = &reactor;
  std::signal(SIGTERM, on_signal);
  std::signal(SIGINT, on_signal);
  reactor.run();
}

int roster(const StandinPart& part) {
  const standin::Day day = standin::day_from_json(file_text(part.day_file));
  standin::Record record(part.record_file);
  transport::Loop reactor;
  standin::RosterBoard board(reactor, transport::numeric_address(part.listen), day, record);
  std::cout << "ready " << board.address().toString() << std::endl;
  if (!part.start_file.empty())
    standin::await_start(reactor, part.start_file, [&](Time start) { board.play(start); });
  run(reactor);
  record.flush();
  return 0;
}

int servers(const StandinPart& part) {
  const standin::Day day = standin::day_from_json(file_text(part.day_file));
  standin::Record record(part.record_file);
  transport::Loop reactor;
  standin::Fleet fleet(reactor, day, record);
  if (!part.roster.empty()) fleet.announce_to(transport::numeric_address(part.roster));
  std::cout << "ready " << fleet.address(day.servers.front().id).toString() << std::endl;
  if (!part.start_file.empty())
    standin::await_start(reactor, part.start_file, [&](Time start) { fleet.play(start); });
  run(reactor);
  fleet.close();
  return 0;
}

int broker(const StandinPart& part) {
  const standin::Day day = standin::day_from_json(file_text(part.day_file));
  standin::Record record(part.record_file);
  transport::Loop reactor;
  standin::Broker all(reactor, transport::numeric_address(part.listen), record);
  std::cout << "ready " << all.address().toString() << std::endl;
  if (!part.start_file.empty())
    standin::await_start(reactor, part.start_file, [&](Time start) { all.play(day, start); });
  run(reactor);
  record.flush();
  return 0;
}

int links(const StandinPart& part) {
  const standin::Day day = standin::day_from_json(file_text(part.day_file));
  transport::Loop reactor;
  std::vector<transport::Address> copies;
  for (const std::string& router : part.routers) copies.push_back(transport::numeric_address(router));
  if (static_cast<int>(copies.size()) != day.routers)
    throw std::invalid_argument("as many --router as the day has routers are needed");
  standin::Links all(reactor, day, copies);
  std::string line = "ready";
  for (int from = 0; from < day.routers; ++from) {
    for (int to = 0; to < day.routers; ++to) line += " " + all.address(from, to).toString();
  }
  std::cout << line << std::endl;
  if (!part.start_file.empty())
    standin::await_start(reactor, part.start_file, [&](Time start) { all.play(start); });
  run(reactor);
  return 0;
}

int clients(const StandinPart& part) {
  const standin::Day day = standin::day_from_json(file_text(part.day_file));
  standin::Record record(part.record_file);
  transport::Loop reactor;
  std::vector<transport::Address> routers;
  for (const std::string& router : part.routers) routers.push_back(transport::numeric_address(router));
  standin::Clients all(
      reactor, day, routers, record, [&] { reactor.halt(); }, part.broker, part.mqtt_share);
  std::cout << "ready" << std::endl;
  if (part.start_file.empty()) {
    all.play(reactor.now());
  } else {
    standin::await_start(reactor, part.start_file, [&](Time start) { all.play(start); });
  }
  run(reactor);
  record.flush();
  return 0;
}

struct BenchEnds {
  int ports = 1, seconds = 3;
  std::int64_t answers = -1;
  int work_ms = 0, lanes = 1, due_ms = 0;
  lab::Pumping how;
  std::vector<std::string> to, streams;
};

int echo(BenchEnds ends) {
  transport::Loop reactor;
  std::vector<std::unique_ptr<lab::Echo>> all;
  std::string line = "ready";
  for (int i = 0; i < ends.ports; ++i) {
    all.push_back(std::make_unique<lab::Echo>(reactor, transport::numeric_address("127.0.0.1:0"),
                                              ends.answers, Time{10} * ends.work_ms, ends.lanes));
    line += " " + all.back()->address().toString();
  }
  std::cout << line << std::endl;
  run(reactor);
  return 0;
}

int pump(BenchEnds ends) {
  transport::Loop reactor;
  std::vector<transport::Address> to;
  for (const std::string& one : ends.to) to.push_back(transport::numeric_address(one));
  ends.how.span = Time{10'000} * ends.seconds;
  ends.how.due = Time{10} * ends.due_ms;
  lab::Pump pump(reactor, to, ends.how);
  pump.run();
  std::cout << "ready " << lab::as_json(pump.result()) << std::endl;
  return 0;
}

int mqtt_pump(const BenchEnds& ends) {
  std::vector<lab::Stream> streams;
  for (const std::string& text : ends.streams) {
    const std::size_t equals = text.find('=');
    streams.push_back({.topic = text.substr(0, equals),
                       .rate = equals == std::string::npos ? 0 : std::stod(text.substr(equals + 1))});
  }
  transport::Loop reactor;
  lab::MqttPump pump(reactor, transport::numeric_address("127.0.0.1:0"), streams, Time{10'000} * ends.seconds,
                     Time{10} * ends.due_ms, ends.how.functions);
  std::cout << "ready " << pump.address().toString() << std::endl;
  pump.run();
  std::string line;
  for (const lab::Pumped& result : pump.results()) line += (line.empty() ? "[" : ",") + lab::as_json(result);
  std::cout << "ready " << line << "]" << std::endl;
  return 0;
}

// As many descriptors as the system lets an ordinary user have.
void raise_descriptors() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

int check(const std::string& path) {
  const deployment::DeploymentConfiguration program = deployment::read_file(path);
  for (const std::string& line : program.in_force) std::cout << line << '\n';
  return 0;
}

int main_of(int argc, char** argv) {
  CLI::App app("rushhill: a gateway that runs calls on model servers which load functions on demand");
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 good; 1 a rule broken or an event not honoured; 2 wrong use or a refused file;\n"
      "3 events still open at the end; 4 something could not be opened or reached.");

  std::string file, tally;
  auto* on_serve = app.add_subcommand("serve", "run one router until SIGTERM");
  on_serve->add_option("deployment", file, "the deployment file (INI)")->required();
  on_serve->add_option("--tally", tally, "append the counts to this file at the end, as a line of JSON");
  auto* on_node = app.add_subcommand(
      "node", "run one router on the platform until SIGTERM, as the file that PROXY_CONFIG names tells");
  auto* on_check = app.add_subcommand("check", "check a deployment file and print what is in force");
  on_check->add_option("deployment", file, "the deployment file (INI)")->required();

  StandinPart part;
  auto* on_standin = app.add_subcommand("standin", "the stand-ins: roster, model servers, clients");
  on_standin->require_subcommand(1);
  const auto common = [&](CLI::App* on) {
    on->add_option("--day", part.day_file, "the day's file")->required();
    on->add_option("--record", part.record_file, "where what is seen is written, a JSON object a line");
    on->add_option("--start", part.start_file, "wait for this file, which tells the day's start");
  };
  auto* on_roster = on_standin->add_subcommand("roster", "a roster that tells changes late");
  common(on_roster);
  on_roster->add_option("--listen", part.listen, "address and port; port 0: the system chooses");
  auto* on_servers = on_standin->add_subcommand("servers", "the day's fleet of model servers");
  common(on_servers);
  on_servers->add_option("--roster", part.roster, "the roster to announce them to");
  auto* on_broker = on_standin->add_subcommand("broker", "an MQTT broker");
  common(on_broker);
  on_broker->add_option("--listen", part.listen, "address and port; port 0: the system chooses");
  auto* on_clients = on_standin->add_subcommand("clients", "the day's clients");
  common(on_clients);
  on_clients->add_option("--router", part.routers, "a router's address; may be given again")->required();

  auto* on_links =
      on_standin->add_subcommand("links", "the ways between routers' copies, with the day's faults");
  common(on_links);
  on_links->add_option("--router", part.routers, "a router's address for copies, in their order")->required();

  on_clients->add_option("--broker", part.broker, "the broker for a share of the events");
  on_clients->add_option("--mqtt", part.mqtt_share, "that share")->check(CLI::Range(0.0, 1.0));

  BenchEnds ends;

  auto* on_echo = on_standin->add_subcommand("echo", "the bench's server: answers at once");
  on_echo->add_option("--ports", ends.ports, "ports to listen on")->check(CLI::Range(1, 1000));
  on_echo->add_option("--answers", ends.answers, "answer so many and no more; below 0: all");
  on_echo->add_option("--work", ends.work_ms, "milliseconds of work on each; 0: at once")
      ->check(CLI::Range(0, 60'000));
  on_echo->add_option("--lanes", ends.lanes, "worked on at once")->check(CLI::Range(1, 1000));
  auto* on_mqtt_pump =
      on_standin->add_subcommand("mqtt-pump", "the bench's broker, which publishes its own load");
  on_mqtt_pump->add_option("--stream", ends.streams, "TOPIC=RATE; rate 0: as much as is taken")->required();
  on_mqtt_pump->add_option("--seconds", ends.seconds, "how long")->check(CLI::Range(1, 3600));
  on_mqtt_pump->add_option("--due", ends.due_ms, "milliseconds that count as in time; 0: any");
  auto* on_pump = on_standin->add_subcommand("pump", "the bench's client: keeps connections busy");
  on_pump->add_option("--to", ends.to, "an address; may be given again")->required();
  on_pump->add_option("--connections", ends.how.connections, "connections")->check(CLI::Range(1, 100'000));
  on_pump->add_option("--rate", ends.how.rate,
                      "requests a second at their own moments; 0: as fast as answered");
  on_pump->add_option("--due", ends.due_ms, "milliseconds that count as in time; 0: any");
  on_pump->add_option("--seconds", ends.seconds, "how long")->check(CLI::Range(1, 3600));
  on_pump->add_option("--batch", ends.how.batch, "events in a request")->check(CLI::Range(0, 10'000));

  lab::Bench bench;
  auto* on_bench =
      app.add_subcommand("bench", "measure what the router adds, and its memory; about a minute");
  on_bench->add_option("--seconds", bench.seconds, "of each measurement")->check(CLI::Range(1, 600));
  on_bench->add_option("--connections", bench.connections, "of the client")->check(CLI::Range(1, 10'000));
  on_bench->add_option("--processes", bench.processes, "routers on one port")->check(CLI::Range(1, 64));
  on_bench->add_flag("!--no-mqtt", bench.mqtt, "leave out MQTT");
  on_bench->add_flag("--flood", bench.flood,
                     "instead: how HTTP and a quiet topic fare beside a topic that floods");
  on_bench->add_flag("!--no-memory", bench.memory, "leave out the memory with 10,000 and 50,000 events open");

  Sending sending;
  auto* on_send = app.add_subcommand("send", "send one event by hand and print its answer");
  on_send->add_option("--to", sending.to, "the router's address")->required();
  on_send->add_option("--type", sending.type, "the event's type")->required();
  on_send->add_option("--function", sending.function, "the function it calls")->required();
  on_send->add_option("--customer", sending.customer, "the customer");
  on_send->add_option("--id", sending.id, "the event's id; drawn where not given");
  on_send->add_option("--source", sending.source, "the event's source");
  on_send->add_option("--data", sending.data, "the payload, JSON");
  on_send->add_option("--within", sending.within_ms, "milliseconds to wait")->check(CLI::Range(1, 3'600'000));

  lab::BadDay bad_day;
  auto* on_badday =
      app.add_subcommand("badday", "play a scripted bad day on loopback and judge it by the rules");
  on_badday->add_option("--events", bad_day.events, "events to send")->check(CLI::Range(100, 10'000'000));
  on_badday->add_option("--rate", bad_day.rate, "events a second")->check(CLI::Range(1.0, 100'000.0));
  on_badday->add_option("--seed", bad_day.seed, "of everything drawn");
  on_badday->add_option("--day", bad_day.day_file, "play this day instead");
  on_badday->add_option("--keep", bad_day.folder, "keep the records and logs in this folder");
  on_badday->add_flag("--json", bad_day.json, "print the tally as JSON");
  on_badday->add_flag("--servers-load", bad_day.loads_by_themselves,
                      "servers load what they lack by themselves instead of answering that they lack it");
  const auto among_routers = [](CLI::App* on, lab::BadDay& of) {
    on->add_flag("--together", of.together, "routers hold state together");
    on->add_option("--marks", of.marks, "of events that must not run twice: none, told, held")
        ->check(CLI::IsMember({"none", "told", "held"}));
    on->add_flag("--repeats", of.repeats,
                 "clients send again, to another router, what was not answered, and some of what was");
    on->add_flag("--quiet", of.quiet, "none of the scripted troubles");
    on->add_option(
          "--faults", of.faults,
          "among routers: links, stalls, crashes, restarts; within them: storage, syscalls, wallclock")
        ->delimiter(',')
        ->check(
            CLI::IsMember({"links", "stalls", "crashes", "restarts", "storage", "syscalls", "wallclock"}));
  };
  among_routers(on_badday, bad_day);
  on_badday->add_option("--routers", bad_day.routers, "how many")->check(CLI::Range(1, 64));
  on_badday->add_flag("--calm", bad_day.calm, "longer limits and ticks, for slow machines");
  on_badday->add_option("--front", bad_day.front, "how events come: http, mqtt, both")
      ->check(CLI::IsMember({"http", "mqtt", "both"}));
  auto* on_judge = app.add_subcommand("judge", "judge the records of a day once more");
  on_judge->add_option("folder", bad_day.folder, "the folder that badday --keep left")->required();
  on_judge->add_flag("--json", bad_day.json, "print the tally as JSON");
  lab::Emulate emulated;
  auto* on_lab = app.add_subcommand("lab", "the laboratory: days in virtual time");
  on_lab->require_subcommand(1);
  auto* on_run = on_lab->add_subcommand("run", "emulate a day and judge it by the rules");
  on_run->add_option("day", emulated.day_file, "the day's file; else the scripted bad day");
  on_run->add_option("--events", emulated.events, "events to send")->check(CLI::Range(100, 100'000'000));
  on_run->add_option("--rate", emulated.rate, "events a second")->check(CLI::Range(1.0, 1'000'000.0));
  on_run->add_option("--seed", emulated.seed, "of everything drawn");
  on_run->add_option("--servers", emulated.servers, "a grown day instead, with so many servers")
      ->check(CLI::Range(1, 10'000));
  on_run->add_option("--routers", emulated.routers, "its routers")->check(CLI::Range(1, 5'000));
  on_run->add_option("--functions", emulated.functions, "its functions")->check(CLI::Range(1, 1'000'000));
  on_run->add_option("--keep", emulated.folder, "keep day and records in this folder");
  among_routers(on_run, emulated.among);
  on_run->add_flag("!--no-judge", emulated.judge, "only play, for speed at large size");
  on_run->add_flag("--json", emulated.json, "print the tally as JSON");
  lab::LagOf lag_of;
  auto* on_lag = on_lab->add_subcommand("lag", "how long a router's word takes to all others");
  on_lag->add_option("--routers", lag_of.routers, "how many")->check(CLI::Range(2, 5'000));
  on_lag->add_option("--words", lag_of.words, "words to follow")->check(CLI::Range(1, 10'000));
  on_lag->add_option("--loss", lag_of.loss, "share of what is sent that is lost")
      ->check(CLI::Range(0.0, 0.9));
  on_lag->add_option("--seed", lag_of.seed, "of everything drawn");
  lab::Scale scale_of;
  auto* on_scale = on_lab->add_subcommand(
      "scale", "what the program's parts cost by the sizes of a fleet, as lines fitted to points counted");
  on_scale->add_option("--only", scale_of.only, "costs whose names hold this text alone");
  on_scale
      ->add_option("--repeats", scale_of.repeats,
                   "runs of each point for user CPU, of which the least counts")
      ->check(CLI::Range(0, 100));
  on_scale->add_option("--jobs", scale_of.jobs, "points at once, a process each")->check(CLI::Range(1, 64));
  on_scale->add_option("--plots", scale_of.plots,
                       "draw the growth of each part into this folder (needs gnuplot)");
  on_scale
      ->add_option("--at", scale_of.at,
                   "these sizes, ascending, instead of each cost's own; fewer than three give no line")
      ->delimiter(',')
      ->check(CLI::Range(1.0, 1e6));
  on_scale->add_option("--from", scale_of.from,
                       "measure nothing: table and plots of what --json printed into this file");
  on_scale->add_flag("--size", scale_of.size,
                     "instead: runs near the size to design for, beside what the slopes foretell");
  on_scale->add_flag("--faults", scale_of.faults,
                     "instead: faults beside 680 hollow routers, and what they cost");
  on_scale->add_flag("--small", scale_of.small, "smaller sizes, seconds instead of minutes");
  on_scale->add_flag("--list", scale_of.list, "name the costs and what carries them; run nothing");
  on_scale->add_flag("--json", scale_of.json, "a line of JSON for each cost and figure");
  on_scale->footer(
      "Instructions are counted by the processor (user space alone); where the machine does not let it, they "
      "are left\n"
      "out, and a run under callgrind counts them: valgrind --tool=callgrind --trace-children=yes rushhill "
      "lab scale\n"
      "--only NAME --repeats 0 --jobs 1. Bytes are the allocator's; port bytes are payload without headers.");
  auto* on_version = app.add_subcommand("version", "print the version");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& wrong) {
    return app.exit(wrong) == 0 ? 0 : 2;
  }
  if (on_node->parsed()) return node();  // under the platform's limits as they are
  raise_descriptors();
  if (on_version->parsed()) std::cout << "rushhill " << version << '\n';
  if (on_serve->parsed()) return serve(deployment::read_file(file), tally);
  if (on_check->parsed()) return check(file);
  if (on_roster->parsed()) return roster(part);
  if (on_servers->parsed()) return servers(part);
  if (on_broker->parsed()) return broker(part);
  if (on_clients->parsed()) return clients(part);
  if (on_links->parsed()) return links(part);
  if (on_echo->parsed()) return echo(ends);
  if (on_pump->parsed()) return pump(ends);
  if (on_mqtt_pump->parsed()) return mqtt_pump(ends);
  if (on_bench->parsed()) return lab::bench(bench);
  if (on_send->parsed()) return send(sending);
  if (on_badday->parsed()) return lab::play(bad_day);
  if (on_run->parsed()) return lab::emulate(emulated);
  if (on_lag->parsed()) return lab::lag(lag_of);
  if (on_scale->parsed()) return lab::scale(scale_of);
  if (on_judge->parsed()) return lab::judge(bad_day);
  return 0;
}

}  // namespace
}  // namespace rushhill::command

int main(int argc, char** argv) {
  try {
    return rushhill::command::main_of(argc, argv);
  } catch (const rushhill::deployment::BadFile& bad) {
    std::cerr << bad.what() << '\n';
    return 2;
  } catch (const std::invalid_argument& bad) {
    std::cerr << "rushhill: " << bad.what() << '\n';
    return 2;
  } catch (const Poco::Exception& bad) {
    std::cerr << "rushhill: " << bad.displayText() << '\n';
    return 4;
  } catch (const std::exception& bad) {
    std::cerr << "rushhill: " << bad.what() << '\n';
    return 4;
  }
}

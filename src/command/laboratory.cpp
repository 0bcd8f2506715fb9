#include "command/laboratory.h"

#include <memory>

#include "command/bad_day.h"
#include "lab/emulate.h"
#include "lab/lag.h"
#include "lab/scale.h"

namespace rushhill::command {
namespace {

Command add_run(CLI::App& parent) {
  const auto options = std::make_shared<lab::Emulate>();
  CLI::App* app = parent.add_subcommand("run", "emulate a day and judge it by the rules");
  app->add_option("day", options->day_file, "the day's file; else the scripted bad day");
  app->add_option("--events", options->events, "events to send")->check(CLI::Range(100, 100'000'000));
  app->add_option("--rate", options->rate, "events a second")->check(CLI::Range(1.0, 1'000'000.0));
  app->add_option("--seed", options->seed, "of everything drawn");
  app->add_option("--servers", options->servers, "a grown day instead, with so many servers")
      ->check(CLI::Range(1, 10'000));
  app->add_option("--routers", options->routers, "its routers")->check(CLI::Range(1, 5'000));
  app->add_option("--functions", options->functions, "its functions")->check(CLI::Range(1, 1'000'000));
  app->add_option("--keep", options->folder, "keep day and records in this folder");
  add_router_options(*app, options->among);
  app->add_flag("!--no-judge", options->judge, "only play, for speed at large size");
  app->add_flag("--json", options->json, "print the tally as JSON");
  return {.app = app, .run = [options] { return laboratory_exit_code(lab::emulate(*options)); }};
}

Command add_lag(CLI::App& parent) {
  const auto options = std::make_shared<lab::LagOf>();
  CLI::App* app = parent.add_subcommand("lag", "how long a router's word takes to all others");
  app->add_option("--routers", options->routers, "how many")->check(CLI::Range(2, 5'000));
  app->add_option("--words", options->words, "words to follow")->check(CLI::Range(1, 10'000));
  app->add_option("--loss", options->loss, "share of what is sent that is lost")->check(CLI::Range(0.0, 0.9));
  app->add_option("--seed", options->seed, "of everything drawn");
  return {.app = app, .run = [options] { return laboratory_exit_code(lab::lag(*options)); }};
}

void add_scale_measurement_options(CLI::App& app, lab::Scale& options) {
  app.add_option("--only", options.only, "costs whose names hold this text alone");
  app.add_option("--repeats", options.repeats, "runs of each point for user CPU, of which the least counts")
      ->check(CLI::Range(0, 100));
  app.add_option("--jobs", options.jobs, "points at once, a process each")->check(CLI::Range(1, 64));
  app.add_option("--plots", options.plots, "draw the growth of each part into this folder (needs gnuplot)");
  app.add_option("--at", options.at,
                 "these sizes, ascending, instead of each cost's own; fewer than three give no line")
      ->delimiter(',')
      ->check(CLI::Range(1.0, 1e6));
  app.add_option("--from", options.from,
                 "measure nothing: table and plots of what --json printed into this file");
}

void add_scale_mode_flags(CLI::App& app, lab::Scale& options) {
  app.add_flag("--size", options.size,
               "instead: runs near the size to design for, beside what the slopes foretell");
  app.add_flag("--faults", options.faults, "instead: faults beside 680 hollow routers, and what they cost");
  app.add_flag("--small", options.small, "smaller sizes, seconds instead of minutes");
  app.add_flag("--list", options.list, "name the costs and what carries them; run nothing");
  app.add_flag("--json", options.json, "a line of JSON for each cost and figure");
}

Command add_scale(CLI::App& parent) {
  const auto options = std::make_shared<lab::Scale>();
  CLI::App* app = parent.add_subcommand(
      "scale", "what the program's parts cost by the sizes of a fleet, as lines fitted to points counted");
  add_scale_measurement_options(*app, *options);
  add_scale_mode_flags(*app, *options);
  app->footer(
      "Instructions are counted by the processor (user space alone); where the machine does not let it, they "
      "are left\n"
      "out, and a run under callgrind counts them: valgrind --tool=callgrind --trace-children=yes rushhill "
      "lab scale\n"
      "--only NAME --repeats 0 --jobs 1. Bytes are the allocator's; port bytes are payload without headers.");
  return {.app = app, .run = [options] { return laboratory_exit_code(lab::scale(*options)); }};
}

}  // namespace

Commands add_laboratory_commands(CLI::App& app) {
  CLI::App* laboratory = app.add_subcommand("lab", "the laboratory: days in virtual time");
  laboratory->require_subcommand(1);
  return {add_run(*laboratory), add_lag(*laboratory), add_scale(*laboratory)};
}

}  // namespace rushhill::command

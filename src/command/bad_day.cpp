#include "command/bad_day.h"

#include <memory>

namespace rushhill::command {

void add_router_options(CLI::App& app, lab::BadDay& day) {
  app.add_flag("--together", day.together, "routers hold state together");
  app.add_option("--marks", day.marks, "of events that must not run twice: none, told, held")
      ->check(CLI::IsMember({"none", "told", "held"}));
  app.add_flag("--repeats", day.repeats,
               "clients send again, to another router, what was not answered, and some of what was");
  app.add_flag("--quiet", day.quiet, "none of the scripted troubles");
  app.add_option("--faults", day.faults,
                 "among routers: links, stalls, crashes, restarts; within them: storage, syscalls, wallclock")
      ->delimiter(',')
      ->check(CLI::IsMember({"links", "stalls", "crashes", "restarts", "storage", "syscalls", "wallclock"}));
}

Command add_bad_day(CLI::App& app) {
  const auto day = std::make_shared<lab::BadDay>();
  CLI::App* day_app =
      app.add_subcommand("badday", "play a scripted bad day on loopback and judge it by the rules");
  day_app->add_option("--events", day->events, "events to send")->check(CLI::Range(100, 10'000'000));
  day_app->add_option("--rate", day->rate, "events a second")->check(CLI::Range(1.0, 100'000.0));
  day_app->add_option("--seed", day->seed, "of everything drawn");
  day_app->add_option("--day", day->day_file, "play this day instead");
  day_app->add_option("--keep", day->folder, "keep the records and logs in this folder");
  day_app->add_flag("--json", day->json, "print the tally as JSON");
  day_app->add_flag("--servers-load", day->loads_by_themselves,
                    "servers load what they lack by themselves instead of answering that they lack it");
  add_router_options(*day_app, *day);
  day_app->add_option("--routers", day->routers, "how many")->check(CLI::Range(1, 64));
  day_app->add_flag("--calm", day->calm, "longer limits and ticks, for slow machines");
  day_app->add_option("--front", day->front, "how events come: http, mqtt, both")
      ->check(CLI::IsMember({"http", "mqtt", "both"}));
  return {.app = day_app, .run = [day] { return laboratory_exit_code(lab::play(*day)); }};
}

Command add_judge(CLI::App& app) {
  const auto day = std::make_shared<lab::BadDay>();
  CLI::App* judge_app = app.add_subcommand("judge", "judge the records of a day once more");
  judge_app->add_option("folder", day->folder, "the folder that badday --keep left")->required();
  judge_app->add_flag("--json", day->json, "print the tally as JSON");
  return {.app = judge_app, .run = [day] { return laboratory_exit_code(lab::judge(*day)); }};
}

}  // namespace rushhill::command

// `rushhill badday` and `rushhill judge`: a scripted day on loopback, and its judgement.
#pragma once

#include "command/command.h"
#include "lab/badday.h"

namespace rushhill::command {

Command add_bad_day(CLI::App& app);
Command add_judge(CLI::App& app);

// The options of a day with several routers, which days in virtual time have as well.
void add_router_options(CLI::App& app, lab::BadDay& day);

}  // namespace rushhill::command

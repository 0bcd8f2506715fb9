// The five rules, a file each, and the figures of a day. Each adds to the verdict what it finds.
#pragma once

#include "checker/day_rules.h"
#include "checker/history.h"
#include "checker/verdict.h"

namespace rushhill::checker {

// What all of them look at.
struct Day {
  const DayRules& rules;
  const History& history;
};

void check_final_answers(const Day& day, Verdict& verdict);  // 1
void check_effects(const Day& day, Verdict& verdict);        // 2
void check_drains(const Day& day, Verdict& verdict);         // 3
void check_slow_starts(const Day& day, Verdict& verdict);    // 4
void check_load_budgets(const Day& day, Verdict& verdict);   // 5

void measure(const Day& day, Verdict& verdict);

}  // namespace rushhill::checker

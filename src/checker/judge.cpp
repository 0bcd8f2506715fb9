#include "checker/judge.h"

#include <istream>
#include <stdexcept>

#include "checker/day_rules.h"
#include "checker/history.h"
#include "checker/rules.h"

namespace rushhill::checker {
namespace {

using Json = nlohmann::json;

Verdict judge_day(const Day& day) {
  Verdict verdict;
  verdict.repeated_answers = day.history.repeated_answers;
  verdict.router_kills = day.history.router_kills;
  verdict.router_stalls = day.history.router_stalls;
  check_final_answers(day, verdict);
  check_effects(day, verdict);
  check_drains(day, verdict);
  check_slow_starts(day, verdict);
  check_load_budgets(day, verdict);
  measure(day, verdict);
  return verdict;
}

}  // namespace

Verdict judge(const Json& day, const std::vector<Json>& records) {
  try {
    const DayRules rules = read_day_rules(day);
    const History history = read_history(records);
    return judge_day({.rules = rules, .history = history});
  } catch (const Json::exception& error) {
    throw std::invalid_argument(std::string("a record or the day cannot be read: ") + error.what());
  }
}

std::vector<Json> read_records(std::istream& lines, const std::string& name) {
  std::vector<Json> records;
  std::string line;
  while (std::getline(lines, line)) {
    Json record = Json::parse(line, nullptr, false);
    if (!record.is_object())
      throw std::invalid_argument(name + ":" + std::to_string(records.size() + 1) + ": not a JSON object");
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace rushhill::checker

#include "checker/verdict.h"

#include <algorithm>
#include <cstddef>
#include <iomanip>
#include <sstream>

namespace rushhill::checker {
namespace {

using Json = nlohmann::json;

constexpr std::size_t most_examples = 5;
constexpr int rule_name_width = 34;
constexpr int checks_width = 9;
constexpr int breaks_width = 6;

void print_figures(std::ostream& out, const Verdict& verdict) {
  out << std::fixed << std::setprecision(3) << "\nin due time " << verdict.due_share
      << " of all, shots an event " << verdict.attempts_per_request << ", orders " << verdict.orders
      << ", messages delivered again " << verdict.redelivered << ", answers told again "
      << verdict.repeated_answers << std::setprecision(2) << "\nlatency of the honoured: median "
      << verdict.latency_median_ms << " ms, 99th percentile " << verdict.latency_p99_ms
      << " ms\nadded beside the server's own time: median " << verdict.added_median_ms
      << " ms, 99th percentile " << verdict.added_p99_ms << " ms\n";
  if (verdict.router_kills + verdict.router_stalls + verdict.sent_again + verdict.excused > 0)
    out << "routers killed " << verdict.router_kills << ", stopped " << verdict.router_stalls
        << "; events excused by that " << verdict.excused << "; sent again though they must not run twice "
        << verdict.sent_again << ", of them run twice " << verdict.ran_twice << '\n';
}

}  // namespace

void Finding::check(bool kept, const std::string& words) {
  ++checks;
  if (kept) return;
  ++breaks;
  if (examples.size() < most_examples) examples.push_back(words);
}

bool Verdict::good() const {
  return std::ranges::all_of(rules, [](const auto& rule) { return rule.second.breaks == 0; });
}

std::string as_text(const Verdict& verdict) {
  std::ostringstream out;
  out << verdict.events << " events:";
  for (const auto& [outcome, count] : verdict.outcomes) out << "  " << outcome << ' ' << count;
  print_figures(out, verdict);
  for (const auto& [name, rule] : verdict.rules) {
    out << "rule " << std::left << std::setw(rule_name_width) << name << std::right << std::setw(checks_width)
        << rule.checks << " checks " << std::setw(breaks_width) << rule.breaks << " breaks\n";
    for (const std::string& example : rule.examples) out << "    " << example << '\n';
  }
  out << (verdict.good() ? "good\n" : "NOT GOOD\n");
  return out.str();
}

Json as_json(const Verdict& verdict) {
  Json rules = Json::object();
  for (const auto& [name, rule] : verdict.rules)
    rules[name] = {{"checks", rule.checks}, {"breaks", rule.breaks}, {"examples", rule.examples}};
  return {{"events", verdict.events},
          {"outcomes", verdict.outcomes},
          {"due_share", verdict.due_share},
          {"shots_an_event", verdict.attempts_per_request},
          {"orders", verdict.orders},
          {"router_kills", verdict.router_kills},
          {"router_stalls", verdict.router_stalls},
          {"excused", verdict.excused},
          {"sent_again", verdict.sent_again},
          {"ran_twice", verdict.ran_twice},
          {"latency_ms", {{"median", verdict.latency_median_ms}, {"p99", verdict.latency_p99_ms}}},
          {"added_ms", {{"median", verdict.added_median_ms}, {"p99", verdict.added_p99_ms}}},
          {"rules", std::move(rules)},
          {"good", verdict.good()}};
}

}  // namespace rushhill::checker

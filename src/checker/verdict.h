// What was found in a day's records, and how it is printed.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace rushhill::checker {

// What was found by one rule.
struct Finding {
  std::int64_t checks = 0;
  std::int64_t breaks = 0;
  std::vector<std::string> examples;  // the first few breaks in words

  // Counts one check; `words` say what broke the rule where it was not kept.
  void check(bool kept, const std::string& words);
};

// All findings and the figures of a day.
struct Verdict {
  std::map<std::string, Finding> rules;  // "1 one final answer" and so on
  std::map<std::string, std::int64_t> outcomes;
  std::int64_t events = 0;
  std::int64_t attempts = 0;
  std::int64_t orders = 0;            // to load a copy
  std::int64_t redelivered = 0;       // messages of a broker
  std::int64_t repeated_answers = 0;  // to messages of a broker
  std::int64_t excused = 0;           // requests whose router was stopped or killed while they waited for it
  std::int64_t sent_again =
      0;  // requests that must not run twice, sent to more than one router or incarnation
  std::int64_t ran_twice = 0;  // of them
  std::int64_t router_kills = 0;
  std::int64_t router_stalls = 0;
  double due_share = 0;  // succeeded within the latency objective, of all
  double attempts_per_request = 0;
  double added_median_ms = 0;  // of requests that one attempt answered: beside the server's own time
  double added_p99_ms = 0;
  double latency_median_ms = 0;  // of requests that succeeded
  double latency_p99_ms = 0;

  // Whether no rule was broken.
  bool good() const;
};

std::string as_text(const Verdict& verdict);
nlohmann::json as_json(const Verdict& verdict);

}  // namespace rushhill::checker

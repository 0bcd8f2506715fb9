// Judges a day by the five rules from what was seen on the sockets: the clients', the servers' and the
// roster's own records on one monotonic clock. Knows nothing of the router's code, and reads no log of it.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace rushhill::checker {

struct Finding {
  std::int64_t checks = 0, breaks = 0;
  std::vector<std::string> examples;  // the first few breaks in words
};

struct Verdict {
  std::map<std::string, Finding> rules;  // "1 one final answer" and so on
  std::map<std::string, std::int64_t> outcomes;
  std::int64_t events = 0, shots = 0, orders = 0;
  std::int64_t redelivered = 0, repeated_answers = 0;  // messages of a broker
  std::int64_t excused = 0;     // events whose router was stopped or killed while they waited for it
  std::int64_t sent_again = 0;  // events that must not run twice, at more than one router or life
  std::int64_t ran_twice = 0;   // of them
  std::int64_t router_kills = 0, router_stalls = 0;
  double due_share = 0;  // honoured within the due time, of all
  double shots_an_event = 0;
  double added_median_ms = 0,
         added_p99_ms = 0;  // of events honoured by one shot: beside the server's own time
  double latency_median_ms = 0, latency_p99_ms = 0;
  bool good() const;
};

// One record a line; `day` is the day's file. Throws std::invalid_argument naming what cannot be read.
Verdict judge(const nlohmann::json& day, const std::vector<nlohmann::json>& records);
std::vector<nlohmann::json> read_records(std::istream& in, const std::string& name);

std::string as_text(const Verdict& verdict);
nlohmann::json as_json(const Verdict& verdict);

}  // namespace rushhill::checker

// Judges a day by the five rules from what was seen on the sockets: the clients', the servers' and service
// discovery's own records on one monotonic clock. Knows nothing of the router's code, and reads no log of it.
#pragma once

#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "checker/verdict.h"

namespace rushhill::checker {

// `day` is the day's file. Throws std::invalid_argument naming what cannot be read.
Verdict judge(const nlohmann::json& day, const std::vector<nlohmann::json>& records);

// One record a line. Throws std::invalid_argument with `name` and the line that is no JSON object.
std::vector<nlohmann::json> read_records(std::istream& lines, const std::string& name);

}  // namespace rushhill::checker

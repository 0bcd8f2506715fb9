// A day as a JSON file: what the processes of a day are started with and the checker judges by.
#pragma once

#include <string>
#include <string_view>

#include "simulation/day.h"

namespace rushhill::simulation {

std::string to_json(const Day& day);

// Throws std::invalid_argument that names the field.
Day day_from_json(std::string_view text);

}  // namespace rushhill::simulation

// The file that gives all processes of a day its start: monotonic, in nanoseconds.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "transport/reactor.h"

namespace rushhill::simulation {

// Calls once the file is there.
void await_start(transport::Reactor& reactor, const std::string& path, std::function<void(Time start)> call);

// Writes the file; it is there whole or not at all.
void write_start(const std::string& path, std::int64_t start_ns);

}  // namespace rushhill::simulation

// Faults that acceptance days inject into a router by environment variables.
#pragma once

#include <memory>

#include "core/event_log.h"
#include "router/router_process.h"
#include "simulation/faulty_system_calls.h"
#include "transport/reactor.h"

namespace rushhill::command {

// Where RUSHHILL_STORAGE_FAULTS holds a seed, files fail by a plan drawn from it and the router's number.
router::StorageAccess storage_access(const transport::Reactor& reactor, int router,
                                     core::EventLog& event_log);

// Where RUSHHILL_SYSTEM_CALL_FAULTS holds a seed: system calls that fail once start_failing() was called,
// drawn from it and the router's number. Else null.
std::unique_ptr<simulation::FaultySystemCalls> faulty_system_calls(int router, core::EventLog& event_log);
void start_failing(simulation::FaultySystemCalls& system_calls);

}  // namespace rushhill::command

// Runs an event loop until the process is asked to end.
#pragma once

#include "transport/reactor.h"

namespace rushhill::command {

// Until SIGTERM, SIGINT or a halt of the reactor. SIGPIPE is ignored from then on. Once in a process at a
// time.
void run_until_signal(transport::Reactor& reactor);

}  // namespace rushhill::command

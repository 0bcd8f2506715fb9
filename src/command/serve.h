// `rushhill serve`: one router, one process, one thread.
#pragma once

#include "deployment/deployment_file.h"

namespace rushhill::command {

// Until a signal asks for the end; 0 when all was wound up in time, 3 when events were still open then.
int serve(const deployment::DeploymentConfiguration& configuration, const std::string& tally_path);

}  // namespace rushhill::command

// The deployment file: INI read by inih, every key checked with file, line, key and reason.
#pragma once

#include <string>
#include <string_view>

#include "deployment/configuration.h"
#include "deployment/faults.h"

namespace rushhill::deployment {

// Throws BadFile with all faults, also where the file cannot be opened.
DeploymentConfiguration read_file(const std::string& path);

// The same for a text that is held already; `path` names it in the faults.
DeploymentConfiguration read_text(const std::string& path, std::string_view text);

}  // namespace rushhill::deployment

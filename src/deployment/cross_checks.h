// Checks across the sections of a deployment file: what is right alone and wrong together.
#pragma once

#include "deployment/configuration.h"
#include "deployment/faults.h"
#include "deployment/ini_file.h"

namespace rushhill::deployment {

// For a file whose sections have no fault of their own; `sections` tells the lines of the keys.
void check_across_sections(const DeploymentConfiguration& configuration, const Sections& sections,
                           FaultCollector& faults);

}  // namespace rushhill::deployment

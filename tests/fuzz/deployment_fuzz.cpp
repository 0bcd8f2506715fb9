// The deployment file under any bytes: refused with a reason, or taken and then meaning the same when
// printed.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "deployment/deployment_file.h"
#include "membership/endpoint_list_messages.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace rushhill;
  const std::string text(reinterpret_cast<const char*>(data), size);
  try {
    const deployment::DeploymentConfiguration first = deployment::read_text("f", text);
    std::string printed;
    for (const std::string& line : first.in_force) printed += line + "\n";
    if (deployment::read_text("g", printed).in_force != first.in_force) std::abort();
  } catch (const deployment::BadFile& bad) {
    if (bad.faults().empty()) std::abort();
  }
  try {
    membership::read_endpoint_list_message(text, 12'345);
  } catch (const std::invalid_argument&) {}
  return 0;
}

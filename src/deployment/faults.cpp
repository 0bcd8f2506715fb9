#include "deployment/faults.h"

#include <utility>

namespace rushhill::deployment {
namespace {

constexpr std::size_t most_faults = 50;

std::string joined(const std::vector<Fault>& faults) {
  std::string text;
  for (const Fault& fault : faults) text += (text.empty() ? "" : "\n") + to_text(fault);
  return text;
}

}  // namespace

std::string to_text(const Fault& fault) {
  return fault.file + ":" + std::to_string(fault.place.line) + ": " + fault.place.key + ": " + fault.reason;
}

BadFile::BadFile(std::vector<Fault> faults)
    : std::runtime_error(joined(faults)), faults_(std::move(faults)) {}

void FaultCollector::add(FaultPlace place, std::string reason) {
  if (faults_.size() >= most_faults) return;
  faults_.push_back({.file = file_, .place = std::move(place), .reason = std::move(reason)});
}

}  // namespace rushhill::deployment

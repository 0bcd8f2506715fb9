#include "simulation/fault.h"

#include <algorithm>
#include <array>

namespace rushhill::simulation {
namespace {

constexpr std::array kind_names{
    "silence",        "mute-head",    "mute-half",    "reset",         "refuse",      "slow",
    "fail-fast",      "crash",        "lose-answers", "trickle",       "garbage",     "close-on-use",
    "drain",          "roster-lag",   "roster-break", "roster-twice",  "store-slow",  "store-refuse",
    "router-restart", "burst",        "broker-drop",  "broker-twice",  "router-kill", "router-stall",
    "link-drop",      "link-one-way", "link-delay",   "link-throttle", "link-cut",    "link-garble",
    "link-twice"};
static_assert(kind_names.size() == static_cast<std::size_t>(FaultKind::link_twice) + 1);

}  // namespace

const char* name_of(FaultKind kind) { return kind_names[static_cast<std::size_t>(kind)]; }

std::optional<FaultKind> fault_kind_of(std::string_view name) {
  const auto it = std::ranges::find(kind_names, name);
  if (it == kind_names.end()) return std::nullopt;
  return static_cast<FaultKind>(it - kind_names.begin());
}

}  // namespace rushhill::simulation

#include "simulation/link_faults.h"

namespace rushhill::simulation {
namespace {

constexpr double garbled_share = 0.3;  // of what comes in one piece
constexpr char garbled_bits = 0x41;

}  // namespace

const double* LinkFaults::size(Direction direction, FaultKind kind) const {
  const Sizes& sizes = active_[index(direction)];
  const auto it = sizes.find(kind);
  return it == sizes.end() ? nullptr : &it->second;
}

void LinkFaults::set(const Fault& fault, bool active) {
  for (int other = 0; other < routers_; ++other) {
    const bool meant = fault.other == Fault::every_router || fault.other == other;
    if (other == fault.router || !meant) continue;
    const Direction direction{.from = fault.router, .to = other};
    set(direction, fault, active);
    if (fault.kind != FaultKind::link_one_way) set(direction.reversed(), fault, active);
  }
}

void LinkFaults::set(Direction direction, const Fault& fault, bool active) {
  const FaultKind kind = fault.kind == FaultKind::link_one_way ? FaultKind::link_drop : fault.kind;
  Sizes& sizes = active_[index(direction)];
  if (active) {
    sizes[kind] = fault.size;
  } else {
    sizes.erase(kind);
  }
}

std::size_t LinkFaults::draw_offset(const std::string& bytes) {
  return static_cast<std::size_t>(draw() * static_cast<double>(bytes.size()));
}

void LinkFaults::maybe_garble(Direction direction, std::string& bytes) {
  if (!active(direction, FaultKind::link_garble) || draw() >= garbled_share) return;
  bytes[draw_offset(bytes)] ^= garbled_bits;
}

std::string LinkFaults::cut(const std::string& bytes) { return bytes.substr(0, draw_offset(bytes)); }

}  // namespace rushhill::simulation

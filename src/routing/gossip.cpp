#include "routing/gossip.h"

#include <cmath>
#include <cstddef>
#include <cstdlib>

namespace rushhill::routing {
namespace {

// The endpoint's name; then, for all but a death, a space and a letter; for the utilization a whole
// percentage.
constexpr char separator = ' ';
constexpr const char* connection_lost_mark = "c";
constexpr const char* utilization_mark = "u";
constexpr double percent = 100;

struct Encoder {
  std::string operator()(const EndpointDied& message) const { return message.endpoint; }
  std::string operator()(const ConnectionLost& message) const {
    return message.endpoint + separator + connection_lost_mark;
  }
  std::string operator()(const UtilizationReported& message) const {
    const long percentage = std::lround(percent * message.utilization);
    return message.endpoint + separator + utilization_mark + std::to_string(percentage);
  }
};

}  // namespace

std::string encode(const GossipMessage& message) { return std::visit(Encoder{}, message); }

GossipMessage decode(const std::string& bytes) {
  const std::size_t gap = bytes.find(separator);
  if (gap == std::string::npos) return EndpointDied{bytes};
  const EndpointId endpoint = bytes.substr(0, gap);
  const std::size_t figure = gap + 2;  // behind the letter
  if (figure >= bytes.size()) return ConnectionLost{endpoint};
  return UtilizationReported{endpoint, std::strtod(bytes.c_str() + figure, nullptr) / percent};
}

const EndpointId& endpoint_of(const GossipMessage& message) {
  return std::visit([](const auto& any) -> const EndpointId& { return any.endpoint; }, message);
}

}  // namespace rushhill::routing

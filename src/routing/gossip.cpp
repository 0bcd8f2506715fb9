#include "routing/gossip.h"

#include <cmath>
#include <cstddef>
#include <cstdlib>

namespace rushhill::routing {
namespace {

// A message is the endpoint's name, followed by a space and a letter unless it reports a death. The
// utilization's letter is followed by a whole percentage.
constexpr char separator = ' ';
constexpr const char* connection_lost_letter = "c";
constexpr const char* utilization_letter = "u";
constexpr double percent = 100;

struct Encoder {
  std::string operator()(const EndpointDied& message) const { return message.endpoint; }
  std::string operator()(const ConnectionLost& message) const {
    return message.endpoint + separator + connection_lost_letter;
  }
  std::string operator()(const UtilizationReported& message) const {
    const long percentage = std::lround(percent * message.utilization);
    return message.endpoint + separator + utilization_letter + std::to_string(percentage);
  }
};

}  // namespace

std::string encode(const GossipMessage& message) { return std::visit(Encoder{}, message); }

GossipMessage decode(const std::string& bytes) {
  const std::size_t separator_at = bytes.find(separator);
  if (separator_at == std::string::npos) return EndpointDied{bytes};
  const EndpointId endpoint = bytes.substr(0, separator_at);
  const std::size_t number_start = separator_at + 2;  // after the letter
  if (number_start >= bytes.size()) return ConnectionLost{endpoint};
  return UtilizationReported{endpoint, std::strtod(bytes.c_str() + number_start, nullptr) / percent};
}

const EndpointId& endpoint_of(const GossipMessage& message) {
  return std::visit([](const auto& alternative) -> const EndpointId& { return alternative.endpoint; },
                    message);
}

}  // namespace rushhill::routing

// What a router on the platform is told at its start, as JSON: its addresses, the machine's limits, the list
// of model servers so far and the settings of its module.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "membership/board_words.h"
#include "routing/configuration.h"

namespace rushhill::node {

struct Configuration {
  std::string name{};
  std::string listen{};  // addresses in digits, with ports
  std::uint64_t seed = 0;
  std::size_t sockets = 0;    // descriptors, all in all
  std::size_t memory_mb = 0;  // 0: not told
  std::string peer_listen{};
  std::vector<std::string> peers{};  // by router number, our own among them
  std::string peers_all{};
  std::string board{};
  RoutingConfiguration module{};
  settings::Json known{};  // read when the clock's offset is known
  std::string fixed{};     // all but discovery's address and the list, as text, to see what a reload changes
};

// Throws settings::BadField naming what is missing or wrong.
Configuration read_configuration(const std::string& text);

}  // namespace rushhill::node

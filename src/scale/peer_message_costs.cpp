// Costs of the datagrams that routers send to one another.

#include <string>

#include "emulator/network.h"
#include "scale/cost_support.h"
#include "scale/fleet_size.h"
#include "scale/part_costs.h"
#include "transport/unframed_peer_links.h"

namespace rushhill::scale {
namespace {

constexpr int all_routers = -1;
constexpr const char* no_broadcast = "";

// One message to all: what it costs the sender, and one receiver.
Figures message_cost(double router_count, Counter& counter) {
  emulator::Network network(router_latency);
  const std::vector<std::string> addresses = router_addresses(static_cast<int>(router_count));
  const auto sender_number = static_cast<int>(addresses.size() / 2);
  const int receiver_number = static_cast<int>(addresses.size()) - 1;
  int received = 0;
  const auto receive = [&](int /*router*/, const std::string& /*bytes*/) { ++received; };
  const std::string message = server_name(1) + " u50";
  transport::UnframedPeerLinks receiver(network, transport::numeric_address(addresses.back()),
                                        receiver_number, addresses, no_broadcast, receive);
  transport::UnframedPeerLinks sender(network, transport::numeric_address(addresses[addresses.size() / 2]),
                                      sender_number, addresses, no_broadcast, receive);
  Figures figures = metered(counter, repetitions, [&] {
    for (int i = 0; i < repetitions; ++i) sender.send(all_routers, message);
  });
  figures[figure_name::messages] = static_cast<double>(network.datagrams()) / repetitions;
  figures[figure_name::port_bytes] = static_cast<double>(network.bytes()) / repetitions;
  network.run_until(network.now() + second);
  require(received == repetitions, "a message was not heard");
  for (int i = 0; i < repetitions; ++i) sender.send(receiver_number, message);
  const Figures receiving = metered(counter, repetitions, [&] { network.run_until(network.now() + second); });
  figures[figure_name::receiving] = receiving.at(figure_name::instructions);
  return figures;
}

}  // namespace

std::vector<Cost> peer_message_costs() {
  return {{"peers.message-by-routers",
           "BarePeers: src/transport/unframed_peer_links.cpp",
           "message to all",
           "routers",
           "no address for all at once",
           {43, 85, 170, 340, 680},
           doubling(8, 5),
           message_cost}};
}

}  // namespace rushhill::scale

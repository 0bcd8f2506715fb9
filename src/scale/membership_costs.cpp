// Costs of endpoint lists: as messages of the two discovery services, and in the clients that receive them.

#include <array>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "core/endpoint_list_source.h"
#include "emulator/network.h"
#include "membership/endpoint_list_client.h"
#include "membership/endpoint_list_messages.h"
#include "membership/platform_discovery_client.h"
#include "membership/platform_discovery_messages.h"
#include "scale/cost_support.h"
#include "scale/fleet_size.h"
#include "scale/part_costs.h"
#include "transport/listener.h"

namespace rushhill::scale {
namespace {

using EndpointEntries = std::vector<core::EndpointListEntry>;

constexpr Time no_wall_offset = 0;
constexpr std::int64_t no_event_received = 0;
constexpr int router_number = 0;
constexpr Time retry_pause = second;
constexpr std::uint64_t client_seed = 1;

std::string address_of(std::size_t server) {
  constexpr std::size_t byte_values = 256;
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "10.%zu.%zu.%zu:10080",
                server / byte_values / byte_values % byte_values, server / byte_values % byte_values,
                server % byte_values);
  return text.data();
}

EndpointEntries entries_of(double server_count) {
  EndpointEntries entries;
  for (Endpoint& server : server_list(static_cast<int>(server_count)))
    entries.push_back({std::move(server), address_of(entries.size())});
  return entries;
}

// A complete list as the platform's notice board writes it: docs/platform.md,
// tests/membership/platform_discovery_client_test.cpp.
std::string board_line(double server_count) {
  constexpr int revision = 1;
  settings::Json hosts = settings::Json::array();
  for (const core::EndpointListEntry& entry : entries_of(server_count)) {
    hosts.push_back({{"host", entry.endpoint.id},
                     {"dial", entry.address},
                     {"site", entry.endpoint.location},
                     {"class", entry.endpoint.kind},
                     {"block", entry.endpoint.cell},
                     {"health", "active"},
                     {"share", entry.endpoint.rating},
                     {"born_ms", 0}});
  }
  const settings::Json pool{{"seq", revision}, {"whole", true}, {"hosts", std::move(hosts)}};
  return settings::Json{{"rev", revision}, {"pool", pool}}.dump();
}

membership::EndpointListMessage complete_list(double server_count) {
  return {.revision = 1, .entries = entries_of(server_count), .remarks = {}};
}

std::string list_line(double server_count) {
  return membership::write_endpoint_list_message(complete_list(server_count), no_wall_offset);
}

double bytes_on_the_wire(const std::string& line) { return static_cast<double>(line.size() + 1); }

Figures board_list_cost(double server_count, Counter& counter) {
  const std::string line = board_line(server_count);
  Figures figures = metered(counter, repetitions, [&] {
    for (int i = 0; i < repetitions; ++i) membership::read_line(line, no_wall_offset);
  });
  const double before = allocated_bytes();
  const auto kept = membership::read_line(line, no_wall_offset);
  figures[figure_name::bytes] = allocated_bytes() - before;
  figures[figure_name::port_bytes] = bytes_on_the_wire(line);
  return figures;
}

Figures list_cost(double server_count, Counter& counter) {
  const std::string line = list_line(server_count);
  Figures figures = metered(counter, repetitions, [&] {
    for (int i = 0; i < repetitions; ++i) membership::read_endpoint_list_message(line, no_wall_offset);
  });
  figures[figure_name::port_bytes] = bytes_on_the_wire(line);
  return figures;
}

Figures remembered_list_cost(double server_count, Counter& counter) {
  const membership::EndpointListMessage list = complete_list(server_count);
  membership::CurrentEndpointList remembered;
  return metered(counter, 1, [&] { remembered.hear(list); });
}

// A discovery service that sends one line to each client that connects.
class LineServer final : private transport::StreamHandler {
 public:
  LineServer(emulator::Network& network, std::string line)
      : network_(network), line_(std::move(line)),
        listener_(network, transport::numeric_address("127.0.0.1:0"), true,
                  [this](const transport::PendingConnection& connection) { accept(connection); }) {}
  LineServer(const LineServer&) = delete;
  LineServer& operator=(const LineServer&) = delete;
  LineServer(LineServer&&) = delete;
  LineServer& operator=(LineServer&&) = delete;
  ~LineServer() override {
    if (stream_) stream_->close();
  }

  transport::Address address() const { return listener_.address(); }

 private:
  void accept(const transport::PendingConnection& connection) {
    stream_ = transport::Stream::adopt(network_, connection, *this);
    stream_->write(line_);
  }
  void on_data(std::string_view /*bytes*/) override {}
  void on_closed(transport::CloseReason /*reason*/) override {}

  emulator::Network& network_;
  std::string line_;
  std::shared_ptr<transport::Stream> stream_;
  transport::Listener listener_;
};

// Counts the endpoints that a client has received.
struct ReceivedEndpoints {
  std::size_t count = 0;
  void operator()(EndpointListForm /*form*/, const EndpointEntries& entries) { count += entries.size(); }
};

// A client that receives one list over a connection.
template <typename Client>
Figures receive_list(emulator::Network& network, Client& client, Counter& counter) {
  client.watch(true);
  Figures figures = metered(counter, 1, [&] { network.run_until(network.now() + second); });
  figures[figure_name::port_bytes] = static_cast<double>(network.bytes());
  return figures;
}

Figures board_client_cost(double server_count, Counter& counter) {
  emulator::Network network(router_latency);
  LineServer server(network, board_line(server_count) + "\n");
  NullLog log;
  ReceivedEndpoints received;
  membership::PlatformDiscoveryClient client(network, server.address(), no_event_received, client_seed, log,
                                             std::ref(received));
  Figures figures = receive_list(network, client, counter);
  require(received.count == static_cast<std::size_t>(server_count), "the list was not heard whole");
  return figures;
}

Figures list_client_cost(double server_count, Counter& counter) {
  emulator::Network network(router_latency);
  LineServer server(network, list_line(server_count) + "\n");
  NullLog log;
  ReceivedEndpoints received;
  membership::EndpointListClient client(network, server.address(), router_number, retry_pause, client_seed,
                                        log, std::ref(received));
  Figures figures = receive_list(network, client, counter);
  require(received.count == static_cast<std::size_t>(server_count), "the list was not heard whole");
  return figures;
}

// A cost of a complete list by its servers.
Cost by_servers(Cost cost) {
  cost.varied = "servers";
  cost.points = server_counts();
  cost.small_points = few_server_counts();
  return cost;
}

}  // namespace

std::vector<Cost> membership_costs() {
  const std::string list = "whole list";
  const std::string received = "whole list heard";
  const std::string connection = "one connection, emulated";
  return {by_servers({.name = "membership.board-list-by-servers",
                      .mechanism = "read_line: src/membership/platform_discovery_messages.cpp",
                      .unit = list,
                      .measure = board_list_cost}),
          by_servers({.name = "membership.board-client-by-servers",
                      .mechanism = "BoardClient, read_line: src/membership",
                      .unit = received,
                      .fixed = connection,
                      .measure = board_client_cost}),
          by_servers({.name = "membership.roster-list-by-servers",
                      .mechanism = "read_word: src/membership/endpoint_list_messages.cpp",
                      .unit = list,
                      .measure = list_cost}),
          by_servers({.name = "membership.roster-client-by-servers",
                      .mechanism = "RosterClient, read_word, Remembered: src/membership",
                      .unit = received,
                      .fixed = connection,
                      .measure = list_client_cost}),
          by_servers({.name = "membership.remembered-by-servers",
                      .mechanism = "Remembered::hear: src/membership/endpoint_list_messages.cpp",
                      .unit = list,
                      .measure = remembered_list_cost})};
}

}  // namespace rushhill::scale

#include "node/configuration.h"

#include <charconv>
#include <optional>
#include <stdexcept>
#include <utility>

#include "settings/deployment.h"
#include "transport/address.h"

namespace rushhill::node {
namespace {

constexpr std::size_t min_sockets =
    32;  // file descriptors; fewer leave too few connections to serve requests

constexpr std::size_t bytes_per_mb = 1024 * 1024;
// Share of the memory limit for what the routing policy knows of functions. Half of the limit is for buffers
// (core::MemoryBudgets).
constexpr double function_memory_share = 0.1875;

std::size_t function_memory_of(std::size_t memory_mb) {
  return static_cast<std::size_t>(static_cast<double>(memory_mb * bytes_per_mb) * function_memory_share);
}

std::string address_field(const settings::Fields& fields, const char* name) {
  std::string text = fields.text(name);
  try {
    transport::numeric_address(text);
  } catch (const std::invalid_argument& error) {
    throw settings::BadField(std::string("field '") + name + "': " + error.what());
  }
  return text;
}

std::uint64_t seed_of(const std::string& text) {
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc{} || end != text.data() + text.size())
    throw settings::BadField("field 'seed' is not a number in hex digits");
  return seed;
}

// The configuration without the fields that a reload may change, as text. The endpoint list is left out, also
// because it may take megabytes.
std::string fixed_settings_of(const settings::Json& json) {
  settings::Json remaining;
  for (const auto& [name, value] : json.items()) {
    if (name != "board" && name != "known") remaining[name] = value;
  }
  return remaining.dump(-1, ' ', false, settings::Json::error_handler_t::replace);
}

}  // namespace

Configuration read_configuration(const std::string& text) {
  std::optional<membership::ListDocument> document =
      membership::parse_list_document(text, membership::as_told);
  if (!document) throw settings::BadField("not JSON");
  const settings::Json& json = document->json;
  const settings::Fields fields(json);
  Configuration configuration;
  configuration.name = fields.text("name", "");
  configuration.listen = address_field(fields, "listen");
  configuration.seed = seed_of(fields.text("seed"));
  const settings::Fields limits = fields.object("limits");
  const std::int64_t sockets = limits.whole("sockets");
  if (sockets < static_cast<std::int64_t>(min_sockets))
    throw settings::BadField("field 'limits.sockets' is below " + std::to_string(min_sockets));
  configuration.sockets = static_cast<std::size_t>(sockets);
  const std::int64_t memory = limits.whole("memory_mb", 0);
  configuration.memory_mb = memory > 0 ? static_cast<std::size_t>(memory) : 0;
  configuration.routing = settings::read_deployment(fields.object("settings"));
  configuration.routing.function_memory_bytes = function_memory_of(configuration.memory_mb);
  if (configuration.routing.reports.gossip) {
    configuration.peer_listen = address_field(fields, "peer_listen");
    configuration.peers = fields.texts("peers");
    configuration.broadcast_address = fields.text("peers_all", "");
  }
  configuration.discovery = address_field(fields, "board");
  configuration.initial_endpoint_list =
      membership::read_initial_endpoint_list(fields.object("known"), *document);
  configuration.fixed_settings = fixed_settings_of(json);
  return configuration;
}

}  // namespace rushhill::node

#include "node/configuration.h"

#include <charconv>
#include <stdexcept>

#include "settings/deployment.h"
#include "transport/address.h"

namespace rushhill::node {
namespace {

constexpr std::size_t fewest_sockets = 32;  // descriptors; below that nothing can be served

std::string address(const settings::Fields& fields, const char* name) {
  std::string text = fields.text(name);
  try {
    transport::numeric_address(text);
  } catch (const std::invalid_argument& wrong) {
    throw settings::BadField(std::string("field '") + name + "': " + wrong.what());
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

// All that a reload does not change, as text. The list may have megabytes and is not copied.
std::string fixed_part(const settings::Json& json) {
  settings::Json fixed;
  for (const auto& [name, value] : json.items()) {
    if (name != "board" && name != "known") fixed[name] = value;
  }
  return fixed.dump(-1, ' ', false, settings::Json::error_handler_t::replace);
}

}  // namespace

Configuration read_configuration(const std::string& text) {
  const settings::Json json = settings::Json::parse(text, nullptr, false);
  if (json.is_discarded()) throw settings::BadField("not JSON");
  const settings::Fields fields(json);
  Configuration read;
  read.name = fields.text("name", "");
  read.listen = address(fields, "listen");
  read.seed = seed_of(fields.text("seed"));
  const settings::Fields limits = fields.object("limits");
  const std::int64_t sockets = limits.whole("sockets");
  if (sockets < static_cast<std::int64_t>(fewest_sockets))
    throw settings::BadField("field 'limits.sockets' is below " + std::to_string(fewest_sockets));
  read.sockets = static_cast<std::size_t>(sockets);
  const std::int64_t memory = limits.whole("memory_mb", 0);
  read.memory_mb = memory > 0 ? static_cast<std::size_t>(memory) : 0;
  read.module = settings::read_deployment(fields.object("settings"));
  if (read.module.reports.gossip) {
    read.peer_listen = address(fields, "peer_listen");
    read.peers = fields.texts("peers");
    read.peers_all = fields.text("peers_all", "");
  }
  read.board = address(fields, "board");
  read.known = fields.need("known");
  read.fixed = fixed_part(json);
  return read;
}

}  // namespace rushhill::node

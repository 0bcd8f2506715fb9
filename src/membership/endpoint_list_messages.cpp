#include "membership/endpoint_list_messages.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace rushhill::membership {
namespace {

using Json = nlohmann::json;
using Fault = std::invalid_argument;

constexpr std::size_t max_servers = 100'000;  // per message; a hundred times the largest fleet
constexpr std::size_t max_text_bytes = 200;

std::string read_text(const Json& entry, const char* name, const char* default_value) {
  const auto it = entry.find(name);
  if (it == entry.end() || it->is_null()) {
    if (default_value == nullptr) throw Fault(std::string("field '") + name + "' is missing");
    return default_value;
  }
  if (!it->is_string()) throw Fault(std::string("field '") + name + "' is not a string");
  std::string value = it->get<std::string>();
  if (value.size() > max_text_bytes)
    throw Fault(std::string("field '") + name + "' is longer than 200 bytes");
  return value;
}

double read_number(const Json& entry, const char* name, double default_value, double min, double max) {
  const auto it = entry.find(name);
  if (it == entry.end() || it->is_null()) return default_value;
  if (!it->is_number()) throw Fault(std::string("field '") + name + "' is not a number");
  const double value = it->get<double>();
  if (!(value >= min && value <= max)) throw Fault(std::string("field '") + name + "' is out of range");
  return value;
}

EndpointState parse_state(const std::string& text) {
  if (text == "active") return EndpointState::active;
  if (text == "draining") return EndpointState::draining;
  if (text == "gone") return EndpointState::removed;
  throw Fault("field 'condition' is not 'active', 'draining' or 'gone'");
}

core::EndpointListEntry read_entry(const Json& entry, Time wall_offset) {
  if (!entry.is_object()) throw Fault("an entry of 'servers' is not an object");
  core::EndpointListEntry read;
  read.endpoint.id = read_text(entry, "id", nullptr);
  if (read.endpoint.id.empty()) throw Fault("field 'id' is empty");
  if (!std::ranges::all_of(read.endpoint.id, [](char c) { return c > ' ' && c < 0x7F; }))
    throw Fault("field 'id' contains other characters than visible ASCII");
  read.address = read_text(entry, "address", "");
  const double started_ms = read_number(entry, "started_ms", 0, 0, 1e14);
  if (started_ms > 0)
    read.endpoint.started = to_timestamp(std::max<Time>(std::llround(started_ms * 10) - wall_offset, 1));
  read.endpoint.rating = read_number(entry, "rating", 1, 0, 1e9);
  read.endpoint.kind = read_text(entry, "kind", "");
  read.endpoint.location = read_text(entry, "location", "");
  read.endpoint.cell = static_cast<int>(read_number(entry, "cell", 0, -1e9, 1e9));
  read.endpoint.state = parse_state(read_text(entry, "condition", "active"));
  if (read.address.empty() && read.endpoint.state == EndpointState::active)
    throw Fault("field 'address' is missing for an active server");
  return read;
}

const char* state_name(EndpointState state) {
  return state == EndpointState::active ? "active" : state == EndpointState::draining ? "draining" : "gone";
}

}  // namespace

EndpointListMessage read_endpoint_list_message(std::string_view line, Time wall_offset) {
  const Json object = Json::parse(line, nullptr, false);
  if (!object.is_object()) throw Fault("not a JSON object");
  EndpointListMessage message;
  const std::string form = read_text(object, "form", nullptr);
  if (form != "complete" && form != "changes")
    throw Fault("field 'form' is neither 'complete' nor 'changes'");
  message.form = form == "complete" ? EndpointListForm::complete : EndpointListForm::delta;
  message.revision = static_cast<std::int64_t>(read_number(object, "revision", 0, 0, 9e15));
  const auto servers = object.find("servers");
  if (servers == object.end() || !servers->is_array()) throw Fault("field 'servers' is not a list");
  if (servers->size() > max_servers) throw Fault("field 'servers' has more than 100000 entries");
  std::map<std::string, std::size_t> index_by_id, index_by_address;
  for (const Json& entry : *servers) {
    core::EndpointListEntry read = read_entry(entry, wall_offset);
    const auto [it, inserted] = index_by_id.try_emplace(read.endpoint.id, message.entries.size());
    if (inserted) {
      message.entries.push_back(std::move(read));
      continue;
    }
    // A server is listed twice. The later start is the newer incarnation; of the same incarnation, the entry
    // listed last counts, with the stricter of both states.
    message.remarks.push_back("server " + read.endpoint.id + " is listed twice");
    core::EndpointListEntry& listed = message.entries[it->second];
    if (read.endpoint.started < listed.endpoint.started) continue;
    if (read.endpoint.started == listed.endpoint.started)
      read.endpoint.state = std::max(read.endpoint.state, listed.endpoint.state);
    listed = std::move(read);
  }
  // An address that two servers claim belongs to the one that started last. The other one is removed.
  for (std::size_t i = 0; i < message.entries.size(); ++i) {
    core::EndpointListEntry& entry = message.entries[i];
    if (entry.endpoint.state == EndpointState::removed || entry.address.empty()) continue;
    const auto [it, inserted] = index_by_address.try_emplace(entry.address, i);
    if (inserted) continue;
    core::EndpointListEntry& other = message.entries[it->second];
    message.remarks.push_back("address " + entry.address + " is claimed by both " + other.endpoint.id +
                              " and " + entry.endpoint.id);
    core::EndpointListEntry& older = other.endpoint.started <= entry.endpoint.started ? other : entry;
    if (&older == &other) it->second = i;
    older.endpoint.state = EndpointState::removed;
    older.address.clear();
  }
  return message;
}

std::string write_endpoint_list_message(const EndpointListMessage& message, Time wall_offset) {
  Json servers = Json::array();
  for (const core::EndpointListEntry& entry : message.entries) {
    const Endpoint& server = entry.endpoint;
    Json row{{"id", server.id}, {"address", entry.address}, {"condition", state_name(server.state)}};
    if (server.started > Timestamp{})
      row["started_ms"] = static_cast<double>(to_ticks(server.started) + wall_offset) / 10;
    if (server.rating != 1) row["rating"] = server.rating;
    if (!server.kind.empty()) row["kind"] = server.kind;
    if (!server.location.empty()) row["location"] = server.location;
    if (server.cell != 0) row["cell"] = server.cell;
    servers.push_back(std::move(row));
  }
  const Json object{{"form", message.form == EndpointListForm::delta ? "changes" : "complete"},
                    {"revision", message.revision},
                    {"servers", std::move(servers)}};
  return object.dump();
}

void CurrentEndpointList::hear(const EndpointListMessage& message) {
  if (message.form != EndpointListForm::delta) entries_.clear();
  revision_ = message.revision;
  for (const core::EndpointListEntry& entry : message.entries) {
    if (entry.endpoint.state == EndpointState::removed) {
      entries_.erase(entry.endpoint.id);
    } else {
      entries_.insert_or_assign(entry.endpoint.id, entry);
    }
  }
}

EndpointListMessage CurrentEndpointList::whole() const {
  EndpointListMessage message{.form = EndpointListForm::cached, .revision = revision_, .entries = {}};
  for (const auto& [id, entry] : entries_) message.entries.push_back(entry);
  return message;
}

}  // namespace rushhill::membership

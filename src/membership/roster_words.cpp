#include "membership/roster_words.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace rushhill::membership {
namespace {

using Json = nlohmann::json;
using Fault = std::invalid_argument;

constexpr std::size_t most_servers = 100'000;  // entries of one word; a hundred times the largest fleet
constexpr std::size_t longest_name = 200;      // bytes

std::string text(const Json& entry, const char* name, const char* otherwise) {
  const auto it = entry.find(name);
  if (it == entry.end() || it->is_null()) {
    if (otherwise == nullptr) throw Fault(std::string("field '") + name + "' is missing");
    return otherwise;
  }
  if (!it->is_string()) throw Fault(std::string("field '") + name + "' is not a string");
  std::string value = it->get<std::string>();
  if (value.size() > longest_name) throw Fault(std::string("field '") + name + "' is longer than 200 bytes");
  return value;
}

double number(const Json& entry, const char* name, double otherwise, double least, double most) {
  const auto it = entry.find(name);
  if (it == entry.end() || it->is_null()) return otherwise;
  if (!it->is_number()) throw Fault(std::string("field '") + name + "' is not a number");
  const double value = it->get<double>();
  if (!(value >= least && value <= most)) throw Fault(std::string("field '") + name + "' is out of range");
  return value;
}

EndpointState condition(const std::string& word) {
  if (word == "active") return EndpointState::active;
  if (word == "draining") return EndpointState::draining;
  if (word == "gone") return EndpointState::removed;
  throw Fault("field 'condition' is none of active, draining, gone");
}

core::EndpointListEntry read_entry(const Json& entry, Time wall_offset) {
  if (!entry.is_object()) throw Fault("an entry of 'servers' is not an object");
  core::EndpointListEntry read;
  read.endpoint.id = text(entry, "id", nullptr);
  if (read.endpoint.id.empty()) throw Fault("field 'id' is empty");
  if (!std::ranges::all_of(read.endpoint.id, [](char c) { return c > ' ' && c < 0x7F; }))
    throw Fault("field 'id' holds more than visible ASCII characters");
  read.address = text(entry, "address", "");
  const double started_ms = number(entry, "started_ms", 0, 0, 1e14);
  if (started_ms > 0)
    read.endpoint.started = to_timestamp(std::max<Time>(std::llround(started_ms * 10) - wall_offset, 1));
  read.endpoint.rating = number(entry, "rating", 1, 0, 1e9);
  read.endpoint.kind = text(entry, "kind", "");
  read.endpoint.location = text(entry, "location", "");
  read.endpoint.cell = static_cast<int>(number(entry, "cell", 0, -1e9, 1e9));
  read.endpoint.state = condition(text(entry, "condition", "active"));
  if (read.address.empty() && read.endpoint.state == EndpointState::active)
    throw Fault("field 'address' is missing for an active server");
  return read;
}

const char* name_of(EndpointState of) {
  return of == EndpointState::active ? "active" : of == EndpointState::draining ? "draining" : "gone";
}

}  // namespace

RosterWord read_word(std::string_view line, Time wall_offset) {
  const Json object = Json::parse(line, nullptr, false);
  if (!object.is_object()) throw Fault("not a JSON object");
  RosterWord word;
  const std::string form = text(object, "form", nullptr);
  if (form != "complete" && form != "changes") throw Fault("field 'form' is neither complete nor changes");
  word.form = form == "complete" ? EndpointListForm::complete : EndpointListForm::delta;
  word.revision = static_cast<std::int64_t>(number(object, "revision", 0, 0, 9e15));
  const auto servers = object.find("servers");
  if (servers == object.end() || !servers->is_array()) throw Fault("field 'servers' is not a list");
  if (servers->size() > most_servers) throw Fault("field 'servers' holds more than 100000 entries");
  std::map<std::string, std::size_t> place, by_address;
  for (const Json& entry : *servers) {
    core::EndpointListEntry read = read_entry(entry, wall_offset);
    const auto [it, fresh] = place.try_emplace(read.endpoint.id, word.entries.size());
    if (fresh) {
      word.entries.push_back(std::move(read));
      continue;
    }
    // Named twice: the later start is the newer life; of one life the stricter condition holds.
    word.remarks.push_back("server " + read.endpoint.id + " is named twice");
    core::EndpointListEntry& known = word.entries[it->second];
    if (read.endpoint.started < known.endpoint.started) continue;
    if (read.endpoint.started == known.endpoint.started)
      read.endpoint.state = std::max(read.endpoint.state, known.endpoint.state);
    known = std::move(read);
  }
  // An address that two active servers claim belongs to the one that started last: the other has gone.
  for (std::size_t i = 0; i < word.entries.size(); ++i) {
    core::EndpointListEntry& entry = word.entries[i];
    if (entry.endpoint.state == EndpointState::removed || entry.address.empty()) continue;
    const auto [it, fresh] = by_address.try_emplace(entry.address, i);
    if (fresh) continue;
    core::EndpointListEntry& other = word.entries[it->second];
    word.remarks.push_back("address " + entry.address + " belongs to " + other.endpoint.id + " and " +
                           entry.endpoint.id);
    core::EndpointListEntry& older = other.endpoint.started <= entry.endpoint.started ? other : entry;
    if (&older == &other) it->second = i;
    older.endpoint.state = EndpointState::removed;
    older.address.clear();
  }
  return word;
}

std::string write_word(const RosterWord& word, Time wall_offset) {
  Json servers = Json::array();
  for (const core::EndpointListEntry& entry : word.entries) {
    const Endpoint& server = entry.endpoint;
    Json row{{"id", server.id}, {"address", entry.address}, {"condition", name_of(server.state)}};
    if (server.started > Timestamp{})
      row["started_ms"] = static_cast<double>(to_ticks(server.started) + wall_offset) / 10;
    if (server.rating != 1) row["rating"] = server.rating;
    if (!server.kind.empty()) row["kind"] = server.kind;
    if (!server.location.empty()) row["location"] = server.location;
    if (server.cell != 0) row["cell"] = server.cell;
    servers.push_back(std::move(row));
  }
  const Json object{{"form", word.form == EndpointListForm::delta ? "changes" : "complete"},
                    {"revision", word.revision},
                    {"servers", std::move(servers)}};
  return object.dump();
}

void Remembered::hear(const RosterWord& word) {
  if (word.form != EndpointListForm::delta) entries_.clear();
  revision_ = word.revision;
  for (const core::EndpointListEntry& entry : word.entries) {
    if (entry.endpoint.state == EndpointState::removed) {
      entries_.erase(entry.endpoint.id);
    } else {
      entries_.insert_or_assign(entry.endpoint.id, entry);
    }
  }
}

RosterWord Remembered::whole() const {
  RosterWord word{.form = EndpointListForm::cached, .revision = revision_, .entries = {}};
  for (const auto& [id, entry] : entries_) word.entries.push_back(entry);
  return word;
}

}  // namespace rushhill::membership

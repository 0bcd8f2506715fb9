// The roster's messages without any transport: one JSON object a line. docs/roster.md is the contract.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/endpoint_list_source.h"

namespace rushhill::membership {

struct RosterWord {
  EndpointListForm form = EndpointListForm::complete;
  std::int64_t revision = 0;
  std::vector<core::EndpointListEntry> entries{};
  std::vector<std::string> remarks{};  // what was mended on reading: a server named twice, and the like
};

// `wall_offset`: what is taken off a start's Unix time, in tenths of a millisecond; 0 where the start times
// are translated later, by StartTimeTranslator. Throws std::invalid_argument naming the field and the fault.
RosterWord read_word(std::string_view line, Time wall_offset);
std::string write_word(const RosterWord& word, Time wall_offset);

// The list as a whole, kept up by complete words and changes; for remembering it over a restart.
class Remembered {
 public:
  void hear(const RosterWord& word);
  RosterWord whole() const;

 private:
  std::map<EndpointId, core::EndpointListEntry> entries_;
  std::int64_t revision_ = 0;
};

}  // namespace rushhill::membership

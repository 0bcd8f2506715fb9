// The platform's notice board without any transport: its events, one JSON object a line, and the
// configuration's `known`, which holds those of the start.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/endpoint_list_source.h"
#include "settings/fields.h"

namespace rushhill::membership {

struct Notice {
  std::int64_t number = 0;
  bool beat = false;   // no event: the board's last number, told each second
  bool whole = false;  // else what has changed
  std::vector<core::EndpointListEntry> entries{};
};

// `wall_offset`: what is taken off a start's Unix time, in tenths of a millisecond; none where the start
// times are translated later, by StartTimeTranslator.
constexpr Time as_told = 0;
// All throw settings::BadField.
Notice read_notice(const settings::Json& event, Time wall_offset);
Notice read_line(std::string_view text, Time wall_offset);
struct Known {
  std::int64_t number = 0;  // of the last event
  std::vector<Notice> notices{};
};
Known read_known(const settings::Fields& known, Time wall_offset);

}  // namespace rushhill::membership

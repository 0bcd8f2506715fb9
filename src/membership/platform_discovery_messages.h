// The message format of the platform's service discovery: watch events, one JSON object per line, and the
// configuration's field `known`, which holds the events of the initial endpoint list.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/endpoint_list_source.h"
#include "membership/list_document.h"
#include "settings/fields.h"

namespace rushhill::membership {

struct WatchEvent {
  std::int64_t revision = 0;
  bool heartbeat = false;  // The line holds no event, only the latest revision; one is sent each second.
  bool whole = false;      // The entries are the complete list, not only those that changed.
  std::vector<core::EndpointListEntry> entries{};
};

// The events of an initial endpoint list.
struct Known {
  std::int64_t revision = 0;  // of the last event
  std::vector<WatchEvent> notices{};
};

// `wall_offset` is subtracted from the Unix time of each start, in tenths of a millisecond. It is zero where
// StartTimeTranslator translates the start times later.
constexpr Time as_told = 0;
// The functions below throw settings::BadField if a message cannot be read.
WatchEvent read_line(std::string_view text, Time wall_offset);
// Takes the hosts out of the document.
Known read_initial_endpoint_list(const settings::Fields& fields, ListDocument& document);

}  // namespace rushhill::membership

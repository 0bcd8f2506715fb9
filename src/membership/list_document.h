// Parses the platform's JSON documents that hold endpoint lists: lines of service discovery and
// configurations.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "core/endpoint_list_source.h"
#include "settings/fields.h"

namespace rushhill::membership {

// A document whose hosts were converted one by one while it was parsed. As JSON values the list of a large
// fleet would take ten times its text.
struct ListDocument {
  settings::Json json{};  // In place of its hosts, each `pool.hosts` holds the index of its list.
  std::vector<std::vector<core::EndpointListEntry>> host_lists{};
};

// `wall_offset` is subtracted from the Unix time of each start, in tenths of a millisecond. Returns nullopt
// if the text is not JSON or is nested too deeply, and throws settings::BadField if a host cannot be read.
std::optional<ListDocument> parse_list_document(std::string_view text, Time wall_offset);

}  // namespace rushhill::membership

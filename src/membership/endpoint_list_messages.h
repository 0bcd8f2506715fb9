// The message format of the endpoint list: one JSON object per line. docs/roster.md is the contract.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/endpoint_list_source.h"

namespace rushhill::membership {

struct EndpointListMessage {
  EndpointListForm form = EndpointListForm::complete;
  std::int64_t revision = 0;
  std::vector<core::EndpointListEntry> entries{};
  std::vector<std::string> remarks{};  // contradictions resolved on reading, such as a server listed twice
};

// `wall_offset` is subtracted from the Unix time of each start on reading and added on writing, in tenths of
// a millisecond. It is 0 where StartTimeTranslator translates the start times later. Reading throws
// std::invalid_argument, which names the field and the fault.
EndpointListMessage read_endpoint_list_message(std::string_view line, Time wall_offset);
std::string write_endpoint_list_message(const EndpointListMessage& message, Time wall_offset);

// The complete endpoint list, updated by each message, so that it can be stored for the next start.
class CurrentEndpointList {
 public:
  void hear(const EndpointListMessage& message);
  EndpointListMessage whole() const;

 private:
  std::map<EndpointId, core::EndpointListEntry> entries_;
  std::int64_t revision_ = 0;
};

}  // namespace rushhill::membership

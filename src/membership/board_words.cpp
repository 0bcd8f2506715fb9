#include "membership/board_words.h"

#include <array>
#include <string>

namespace rushhill::membership {
namespace {

constexpr std::array condition_words{"active", "leaving", "left"};

core::EndpointListEntry read_host(const settings::Json& json, Time wall_offset) {
  const settings::Fields fields(json, "hosts");
  core::EndpointListEntry entry;
  entry.endpoint.id = fields.text("host");
  entry.endpoint.state = fields.word<EndpointState>("health", condition_words);
  entry.address = fields.text("dial", "");
  entry.endpoint.location = fields.text("site", "");
  entry.endpoint.kind = fields.text("class", "");
  entry.endpoint.cell = static_cast<int>(fields.whole("block", 0));
  entry.endpoint.rating = fields.number("share", 1);
  const std::int64_t born = fields.whole("born_ms", 0);
  entry.endpoint.started = to_timestamp(born == 0 ? 0 : born * 10 - wall_offset);
  return entry;
}

}  // namespace

Notice read_notice(const settings::Json& event, Time wall_offset) {
  const settings::Fields fields(event);
  Notice notice;
  notice.number = fields.whole("rev");
  const settings::Fields pool = fields.object("pool");
  notice.whole = pool.flag("whole");
  for (const settings::Json& host : pool.list("hosts"))
    notice.entries.push_back(read_host(host, wall_offset));
  return notice;
}

// An event, or the last number alone, bare or as the event's own field.
Notice read_line(std::string_view text, Time wall_offset) {
  const settings::Json json = settings::Json::parse(text, nullptr, false);
  if (json.is_discarded()) throw settings::BadField("not JSON");
  if (json.is_number_integer()) return {.number = json.get<std::int64_t>(), .beat = true};
  const settings::Fields fields(json);
  if (fields.find("pool") == nullptr) return {.number = fields.whole("rev"), .beat = true};
  return read_notice(json, wall_offset);
}

Known read_known(const settings::Fields& known, Time wall_offset) {
  Known read{.number = known.whole("rev")};
  for (const settings::Json& notice : known.list("notices"))
    read.notices.push_back(read_notice(notice, wall_offset));
  return read;
}

}  // namespace rushhill::membership

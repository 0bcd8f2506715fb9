#include "membership/platform_discovery_messages.h"

#include <optional>
#include <utility>

namespace rushhill::membership {
namespace {

WatchEvent read_event(const settings::Json& json, ListDocument& document) {
  const settings::Fields fields(json);
  WatchEvent event;
  event.revision = fields.whole("rev");
  const settings::Fields pool = fields.object("pool");
  event.whole = pool.flag("whole");
  const auto index = pool.list("hosts").at(0).get<std::size_t>();
  event.entries = std::move(document.host_lists.at(index));
  return event;
}

}  // namespace

// A heartbeat holds the latest revision alone, either as a bare number or as the field `rev`.
WatchEvent read_line(std::string_view text, Time wall_offset) {
  std::optional<ListDocument> document = parse_list_document(text, wall_offset);
  if (!document) throw settings::BadField("not JSON");
  const settings::Json& json = document->json;
  if (json.is_number_integer()) return {.revision = json.get<std::int64_t>(), .heartbeat = true};
  const settings::Fields fields(json);
  if (fields.find("pool") == nullptr) return {.revision = fields.whole("rev"), .heartbeat = true};
  return read_event(json, *document);
}

Known read_initial_endpoint_list(const settings::Fields& fields, ListDocument& document) {
  Known list{.revision = fields.whole("rev")};
  for (const settings::Json& event : fields.list("notices"))
    list.notices.push_back(read_event(event, document));
  return list;
}

}  // namespace rushhill::membership

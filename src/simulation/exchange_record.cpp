#include "simulation/exchange_record.h"

namespace rushhill::simulation {
namespace {

using Json = nlohmann::json;

const char* name_of(ExchangeKind kind) {
  switch (kind) {
    case ExchangeKind::attempt:
      return "shot";
    case ExchangeKind::misdirected:
      return "misdirected";
    case ExchangeKind::prewarm:
      return "order";
    case ExchangeKind::evict:
      return "unload";
  }
  return "";
}

const char* name_of(ExchangeEnd end) {
  switch (end) {
    case ExchangeEnd::answered:
      return "answered";
    case ExchangeEnd::never_ran:
      return "never-ran";
    case ExchangeEnd::error:
      return "error";
    case ExchangeEnd::answer_lost:
      return "lost-answer";
    case ExchangeEnd::reset:
      return "reset";
    case ExchangeEnd::closed_on_use:
      return "closed-on-use";
    case ExchangeEnd::closed_by_server:
      return "closed-by-server";
    case ExchangeEnd::server_crashed:
      return "died";
    case ExchangeEnd::closed_by_router:
      return "closed-by-router";
    case ExchangeEnd::malformed_request:
      return "garbled";
    case ExchangeEnd::open_at_end:
      return "open-at-end";
  }
  return "";
}

template <typename Value>
void write(Json& record, const char* key, const std::optional<Value>& value) {
  if (value) record[key] = *value;
}

}  // namespace

void ExchangeRecord::write_request(Json& record) const {
  record["server"] = server;
  write(record, "router", router);
  write(record, "shot", attempt_number);
  write(record, "id", event_id);
  write(record, "source", event_source);
  write(record, "type", event_type);
  write(record, "function", function);
}

Json ExchangeRecord::execution_to_json(std::int64_t at_ns) const {
  Json record{{"what", "ran"}, {"at", at_ns}};
  write_request(record);
  return record;
}

Json ExchangeRecord::to_json(ExchangeEnd end, std::int64_t ended_ns) const {
  Json record{{"at", started_ns}, {"ended", ended_ns}, {"how", name_of(end)}};
  if (kind) record["what"] = name_of(*kind);
  write_request(record);
  write(record, "work", work);
  write(record, "copies", instances);
  write(record, "refusal", rejection);
  write(record, "fault", fault);
  if (duplicate) record["repeat"] = true;
  if (executed) record["began"] = true;
  return record;
}

}  // namespace rushhill::simulation

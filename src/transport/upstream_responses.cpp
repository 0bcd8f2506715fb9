#include "transport/upstream_responses.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "transport/load_report.h"

namespace rushhill::transport {
namespace {

using Json = nlohmann::json;

constexpr const char* never_ran_header = "rushhill-never-ran";
constexpr const char* load_report_header = "endpoint-load-metrics";
constexpr const char* in_flight_header = "rushhill-crowd";
constexpr const char* copy_state_header = "rushhill-copy";

// Larger figures are taken for these.
constexpr int most_in_flight = 1'000'000;
constexpr int most_copies = 1'000;

bool is_success(const HttpResponse& response) { return response.status >= 200 && response.status < 300; }

std::optional<int> parsed_int(const std::string* text) {
  if (text == nullptr) return std::nullopt;
  int value = 0;
  const char* text_end = text->data() + text->size();
  const auto [end, error] = std::from_chars(text->data(), text_end, value);
  if (error != std::errc{} || end != text_end) return std::nullopt;
  return value;
}

// What a response without success proves; nothing: it may have run.
std::optional<core::AttemptResult> proven_rejection(const HttpResponse& response) {
  const std::string* reason = response.header(never_ran_header);
  if (reason == nullptr) return std::nullopt;
  if (*reason == "full" || *reason == "draining")
    return core::AttemptResult{.outcome = AttemptOutcome::overloaded};
  if (*reason == "misdirected") return core::AttemptResult{.outcome = AttemptOutcome::connect_failed};
  if (*reason == "not-stored") return core::AttemptResult{.outcome = AttemptOutcome::function_missing};
  if (*reason == "load-failed")
    return core::AttemptResult{.outcome = AttemptOutcome::function_missing,
                               .copy_state = CopyState::load_failed};
  return std::nullopt;
}

CopyState copy_state(const HttpResponse& response) {
  const std::string* word = response.header(copy_state_header);
  if (word == nullptr) return CopyState::unknown;
  if (*word == "found") return CopyState::loaded;
  if (*word == "began-load") return CopyState::load_started;
  if (*word == "awaited-load") return CopyState::load_awaited;
  return CopyState::unknown;
}

// The `copies` of a JSON object; nothing: it has none.
std::optional<int> copies_in(const Json& object) {
  if (!object.is_object() || !object.contains("copies")) return std::nullopt;
  const Json& copies = object["copies"];
  if (!copies.is_number_integer()) return std::nullopt;
  return std::clamp(copies.get<int>(), 0, most_copies);
}

// In the repository's index, by function; the last row of a function counts.
int copies_in_index(const Json& index, const FunctionId& function) {
  int copies = 0;
  if (!index.is_array()) return copies;
  for (const Json& row : index) {
    const bool named = row.is_object() && row.contains("name") && row["name"] == function;
    if (named) copies = copies_in(row).value_or(copies);
  }
  return copies;
}

int loaded_copies(const UpstreamCall& call, const HttpResponse& response) {
  const bool prewarm = call.kind == UpstreamCallKind::prewarm;
  if (!prewarm && call.kind != UpstreamCallKind::copy_query) return 0;
  const Json body = Json::parse(response.body, nullptr, false);
  return prewarm ? copies_in(body).value_or(0) : copies_in_index(body, call.function);
}

}  // namespace

core::AttemptResult attempt_result(HttpResponse response) {
  core::AttemptResult result{.outcome = AttemptOutcome::error};
  const bool success = is_success(response);
  if (!success) result = proven_rejection(response).value_or(result);
  if (const std::string* report = response.header(load_report_header)) result.report = load_report(*report);
  result.in_flight = std::clamp(parsed_int(response.header(in_flight_header)).value_or(0), 0, most_in_flight);
  if (!success) return result;
  result.copy_state = copy_state(response);
  try {
    result.reply = events::from_headers(response.headers, std::move(response.body));
    result.outcome = AttemptOutcome::succeeded;
  } catch (const events::BadEvent&) {
    result.outcome = AttemptOutcome::error;  // an answer that is no event: it may have run
  }
  return result;
}

CallResult call_result(const UpstreamCall& call, const HttpResponse& response) {
  CallResult result{.copies = loaded_copies(call, response)};
  if (is_success(response)) {
    result.outcome = AttemptOutcome::succeeded;
  } else if (const auto rejection = proven_rejection(response)) {
    result.outcome = rejection->outcome;
  }
  if (const std::string* report = response.header(load_report_header)) result.report = load_report(*report);
  return result;
}

}  // namespace rushhill::transport

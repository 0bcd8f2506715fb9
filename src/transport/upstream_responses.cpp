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

// Larger reported values are reduced to these.
constexpr int max_in_flight = 1'000'000;
constexpr int max_copies = 1'000;

bool is_success(const HttpResponse& response) { return response.status >= 200 && response.status < 300; }

std::optional<int> parsed_int(const std::string* text) {
  if (text == nullptr) return std::nullopt;
  int value = 0;
  const char* text_end = text->data() + text->size();
  const auto [end, error] = std::from_chars(text->data(), text_end, value);
  if (error != std::errc{} || end != text_end) return std::nullopt;
  return value;
}

// Returns the outcome if an unsuccessful response proves that the request did not run, else nothing.
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
  const std::string* state = response.header(copy_state_header);
  if (state == nullptr) return CopyState::unknown;
  if (*state == "found") return CopyState::loaded;
  if (*state == "began-load") return CopyState::load_started;
  if (*state == "awaited-load") return CopyState::load_awaited;
  return CopyState::unknown;
}

// Returns the `copies` of a JSON object, or nothing if there is no such integer.
std::optional<int> copies_in(const Json& object) {
  if (!object.is_object() || !object.contains("copies")) return std::nullopt;
  const Json& copies = object["copies"];
  if (!copies.is_number_integer()) return std::nullopt;
  return std::clamp(copies.get<int>(), 0, max_copies);
}

// Returns the copies of a function in the repository index. The last row of the function with a number
// counts.
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
  if (const std::string* report = response.header(load_report_header))
    result.report = parse_load_report(*report);
  result.in_flight = std::clamp(parsed_int(response.header(in_flight_header)).value_or(0), 0, max_in_flight);
  if (!success) return result;
  result.copy_state = copy_state(response);
  try {
    result.reply = events::from_headers(response.headers, std::move(response.body));
    result.outcome = AttemptOutcome::succeeded;
  } catch (const events::BadEvent&) {
    result.outcome = AttemptOutcome::error;  // the response is no CloudEvent, but the request may have run
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
  if (const std::string* report = response.header(load_report_header))
    result.report = parse_load_report(*report);
  return result;
}

}  // namespace rushhill::transport

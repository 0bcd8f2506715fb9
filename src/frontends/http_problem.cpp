#include "frontends/http_problem.h"

#include <nlohmann/json.hpp>

#include "frontends/time_units.h"

namespace rushhill::frontends {
namespace {

using Json = nlohmann::json;

Json to_json(const Problem& problem) {
  return {{"type", std::string("urn:rushhill:problem:") + problem.outcome},
          {"title", std::string(transport::reason_of(problem.status))},
          {"status", problem.status},
          {"detail", problem.detail},
          {"outcome", problem.outcome},
          {"harmless_to_repeat", problem.harmless_to_repeat}};
}

transport::HttpResponse response_with(int status, const Json& body) {
  return {.status = status,
          .headers = {{"content-type", "application/problem+json"}},
          .body = body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

}  // namespace

transport::HttpResponse to_response(const Problem& problem) {
  return response_with(problem.status, to_json(problem));
}

transport::HttpResponse to_response(const Problem& problem, Time retry_after) {
  if (retry_after <= 0) return to_response(problem);
  Json body = to_json(problem);
  body["retry_after_ms"] = whole_ms(retry_after);
  transport::HttpResponse response = response_with(problem.status, body);
  response.headers.emplace_back("retry-after", std::to_string(whole_seconds(retry_after)));
  return response;
}

transport::HttpResponse malformed(const events::BadEvent& bad) {
  const Problem problem{.status = 400, .outcome = "malformed", .detail = bad.what()};
  Json body = to_json(problem);
  body["attribute"] = bad.attribute();
  return response_with(problem.status, body);
}

}  // namespace rushhill::frontends

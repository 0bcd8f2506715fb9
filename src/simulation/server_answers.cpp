#include "simulation/server_answers.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace rushhill::simulation {
namespace {

using Json = nlohmann::json;
using transport::HttpResponse;

constexpr const char* copy_state_header = "rushhill-copy";
constexpr const char* in_flight_header = "rushhill-crowd";
constexpr const char* load_report_header = "endpoint-load-metrics";
constexpr const char* content_type_header = "content-type";
constexpr const char* json_content_type = "application/json";

// HTTP statuses.
constexpr int not_found = 404;
constexpr int misdirected_request = 421;
constexpr int internal_server_error = 500;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;

ServerAnswer rejected_with(int status, const char* reason) {
  return {.response = {.status = status, .headers = {{never_ran_header, reason}}},
          .end = ExchangeEnd::never_ran};
}

// The words of the wire; empty: the state is not reported.
const char* name_of(CopyState state) {
  switch (state) {
    case CopyState::loaded:
      return "found";
    case CopyState::load_started:
      return "began-load";
    case CopyState::load_awaited:
      return "awaited-load";
    case CopyState::unknown:
    case CopyState::load_failed:
      return "";
  }
  return "";
}

// The load report in the text form of ORCA.
std::string load_report_text(const ServerModel& model) {
  return "TEXT cpu_utilization=" + std::to_string(model.utilization()) +
         ", named_metrics.inflight=" + std::to_string(model.job_count()) +
         ", named_metrics.x1=" + std::to_string(model.load_count());
}

// The load report in the JSON form of ORCA.
std::string load_report_json(const ServerModel& model) {
  const Json report{{"cpu_utilization", model.utilization()},
                    {"named_metrics", {{"inflight", model.job_count()}, {"x1", model.load_count()}}}};
  return "JSON " + report.dump();
}

ServerAnswer reply(const events::CloudEvent& event, const ServerModel& model, const JobResult& result) {
  const std::string& server = model.spec().id;
  events::CloudEvent reply{.id = event.id + "-reply",
                           .source = "/servers/" + server,
                           .type = event.type + ".reply",
                           .data_content_type = json_content_type};
  reply.data = Json{{"answers", event.id}, {"by", server}}.dump();
  HttpResponse response{.headers = events::to_headers(reply), .body = reply.data};
  const char* copy_state = name_of(result.copy_state);
  if (*copy_state != 0) response.headers.emplace_back(copy_state_header, copy_state);
  response.headers.emplace_back(in_flight_header, std::to_string(result.in_flight));
  response.headers.emplace_back(load_report_header, load_report_text(model));
  return {.response = std::move(response)};
}

// Where instances could not be loaded.
ServerAnswer prewarm_failure(JobOutcome outcome) {
  if (outcome == JobOutcome::load_failed)
    return {.response = {.status = internal_server_error}, .end = ExchangeEnd::never_ran};
  return rejected(outcome == JobOutcome::draining ? Rejection::draining : Rejection::overloaded);
}

}  // namespace

ServerAnswer rejected(Rejection reason) {
  switch (reason) {
    case Rejection::misdirected:
      return rejected_with(misdirected_request, "misdirected");
    case Rejection::function_missing:
      return rejected_with(not_found, "not-stored");
    case Rejection::overloaded:
      return rejected_with(service_unavailable, "full");
    case Rejection::draining:
      return rejected_with(service_unavailable, "draining");
    case Rejection::load_failed:
      return rejected_with(service_unavailable, "load-failed");
  }
  return {};
}

ServerAnswer failed(int status) { return {.response = {.status = status}, .end = ExchangeEnd::error}; }

ServerAnswer job_answer(const events::CloudEvent& event, const ServerModel& model, const JobResult& result) {
  switch (result.outcome) {
    case JobOutcome::completed:
      return reply(event, model, result);
    case JobOutcome::overloaded:
      return rejected(Rejection::overloaded);
    case JobOutcome::draining:
      return rejected(Rejection::draining);
    case JobOutcome::function_missing:
      return rejected(Rejection::function_missing);
    case JobOutcome::load_failed:
      return rejected(Rejection::load_failed);
    case JobOutcome::expired:
      return failed(gateway_timeout);
  }
  return {};
}

ServerAnswer prewarm_answer(JobOutcome outcome, int instances) {
  ServerAnswer answer = outcome == JobOutcome::completed ? ServerAnswer{} : prewarm_failure(outcome);
  answer.response.headers.emplace_back(content_type_header, json_content_type);
  answer.response.body = Json{{"copies", instances}}.dump();
  return answer;
}

ServerAnswer health_answer(const ServerModel& model) {
  return {.response = {.headers = {{load_report_header, load_report_json(model)}}}};
}

ServerAnswer repository_index_answer(const ServerModel& model) {
  Json rows = Json::array();
  for (const auto& [function, instances] : model.instance_counts())
    rows.push_back(
        {{"name", function}, {"state", instances > 0 ? "READY" : "UNAVAILABLE"}, {"copies", instances}});
  return {.response = {.headers = {{content_type_header, json_content_type}}, .body = rows.dump()}};
}

}  // namespace rushhill::simulation

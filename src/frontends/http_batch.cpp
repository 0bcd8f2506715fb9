#include "frontends/http_batch.h"

#include "frontends/time_units.h"

namespace rushhill::frontends {

using Json = nlohmann::json;

HttpBatch::Row HttpBatch::add(const events::CloudEvent& event) {
  const Row row = rows_.size();
  rows_.push_back({{"id", event.id}, {"source", event.source}});
  return row;
}

void HttpBatch::set_reply(Row row, const events::CloudEvent& reply) {
  rows_[row]["status"] = 200;
  rows_[row]["event"] = Json::parse(events::to_json(reply));
}

void HttpBatch::set_problem(Row row, const transport::HttpResponse& problem, Time retry_after) {
  rows_[row]["status"] = problem.status;
  rows_[row]["problem"] = Json::parse(problem.body);
  if (retry_after > 0) rows_[row]["retry_after_ms"] = whole_ms(retry_after);
}

transport::HttpResponse HttpBatch::to_response() const {
  return {.status = 200,
          .headers = {{"content-type", "application/json"}},
          .body = rows_.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

}  // namespace rushhill::frontends

// The answer to a batch of events over HTTP: one row an event, in their order.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>

#include "events/cloudevent.h"
#include "routing/time.h"
#include "transport/http.h"

namespace rushhill::frontends {

// Collects the rows of one batch's answer.
class HttpBatch {
 public:
  // A row of the answer; events are answered in any order.
  using Row = std::size_t;

  // A row for the event, without an outcome yet.
  Row add(const events::CloudEvent& event);
  // The row's outcome: the reply, or a problem (see http_problem.h). `retry_after` in tenths of a
  // millisecond, 0: no advice.
  void set_reply(Row row, const events::CloudEvent& reply);
  void set_problem(Row row, const transport::HttpResponse& problem, Time retry_after = 0);
  transport::HttpResponse to_response() const;

 private:
  nlohmann::json rows_ = nlohmann::json::array();
};

}  // namespace rushhill::frontends

// One HTTP request and its answer, within the HTTP frontend.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/client.h"
#include "frontends/http_batch.h"
#include "frontends/http_front.h"
#include "frontends/http_problem.h"
#include "transport/http.h"

namespace rushhill::frontends {

// Hands a request's events to the gateway and makes the response of their outcomes; one after the other for
// each request of a connection.
class HttpFront::Exchange final : public core::Client {
 public:
  // Both outlive the exchange.
  Exchange(HttpFront& front, Connection& connection) : front_(front), connection_(connection) {}

  // Answers the request by Connection::answer(), now or later.
  void start(const transport::HttpRequest& request);
  // The client has left: its open events are cancelled.
  void cancel();
  // Something that stood unread has been read.
  void on_input_read();

  bool may_start_attempt(RequestId request_id) const override;
  void attempt_started(RequestId request_id) override;
  void succeeded(RequestId request_id, events::CloudEvent reply) override;
  void rejected(RequestId request_id, Duration retry_after) override;
  void duplicate(RequestId request_id) override;
  void failed(RequestId request_id) override;

 private:
  void answer_health(const transport::HttpRequest& request, const std::string& path);
  void answer_metrics(const transport::HttpRequest& request);
  void answer_method_not_allowed(const char* allowed);
  void start_events(const transport::HttpRequest& request);
  void start_one(events::CloudEvent message);
  void start_batch(std::vector<events::CloudEvent> messages);
  // Nothing: the gateway has no room. Throws events::BadEvent.
  std::optional<RequestId> accept(events::CloudEvent message);
  transport::HttpResponse no_room() const;
  void put_problem(RequestId request_id, transport::HttpResponse response, Time retry_after = 0);
  void answer_complete_batch();

  HttpFront& front_;
  Connection& connection_;
  std::map<RequestId, HttpBatch::Row> open_;  // events that await their outcome, and their row in a batch
  std::optional<HttpBatch> batch_;            // of the present request, where it is one
  std::uint64_t unread_ = 0;  // attempts that started while something of the client stood unread
};

}  // namespace rushhill::frontends

#include "frontends/http_exchange.h"

#include <algorithm>
#include <utility>

#include "frontends/http_connection.h"

namespace rushhill::frontends {
namespace {

constexpr const char* events_path = "/";
constexpr const char* live_path = "/health/live";
constexpr const char* ready_path = "/health/ready";
constexpr const char* metrics_path = "/metrics";

}  // namespace

void HttpFront::Exchange::start(const transport::HttpRequest& request) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == live_path || path == ready_path) return answer_health(request, path);
  if (path == metrics_path) return answer_metrics(request);
  if (path == events_path) return start_events(request);
  connection_.answer(
      to_response({.status = 404, .outcome = "unknown-path", .detail = "events are sent to /"}));
}

void HttpFront::Exchange::cancel() {
  for (const auto& [request_id, row] : std::exchange(open_, {}))
    front_.gateway_.client_cancelled(request_id, std::exchange(unread_, 0));
}

void HttpFront::Exchange::on_input_read() {
  if (unread_ > 0 && !connection_.has_unread_input()) unread_ = 0;
}
bool HttpFront::Exchange::may_start_attempt(RequestId) const { return !connection_.is_reading_delayed(); }
void HttpFront::Exchange::attempt_started(RequestId) {
  if (connection_.has_unread_input()) ++unread_;
}

void HttpFront::Exchange::answer_health(const transport::HttpRequest& request, const std::string& path) {
  if (request.method != "GET") return answer_method_not_allowed("GET");
  const bool good = path == live_path || (front_.ready_ && !front_.draining_);
  std::string body = good ? "yes\n" : "no\n";
  if (front_.standing_ && path == ready_path) body += front_.standing_() + "\n";
  connection_.answer(
      {.status = good ? 200 : 503, .headers = {{"content-type", "text/plain"}}, .body = std::move(body)});
}

void HttpFront::Exchange::answer_metrics(const transport::HttpRequest& request) {
  if (request.method != "GET") return answer_method_not_allowed("GET");
  std::string body = to_prometheus(front_.counts_);
  if (front_.more_metrics_) body += front_.more_metrics_();
  connection_.answer(
      {.status = 200, .headers = {{"content-type", "text/plain; version=0.0.4"}}, .body = std::move(body)});
}

void HttpFront::Exchange::answer_method_not_allowed(const char* allowed) {
  transport::HttpResponse response =
      to_response({.status = 405, .outcome = "wrong-method", .detail = std::string("only ") + allowed});
  response.headers.emplace_back("allow", allowed);
  connection_.answer(std::move(response));
}

void HttpFront::Exchange::start_events(const transport::HttpRequest& request) {
  if (request.method != "POST") return answer_method_not_allowed("POST");
  const std::string* type = request.header("content-type");
  try {
    switch (events::mode_of(type == nullptr ? "" : *type)) {
      case events::Mode::binary:
        return start_one(events::from_headers(request.headers, request.body));
      case events::Mode::structured:
        return start_one(events::from_json(request.body));
      case events::Mode::batched:
        return start_batch(
            events::batch_from_json(request.body, static_cast<std::size_t>(front_.rules_.batch)));
      case events::Mode::unknown_format:
        return connection_.answer(to_response(
            {.status = 415, .outcome = "unknown-format", .detail = "events come in binary mode or as JSON"}));
    }
  } catch (const events::BadEvent& bad) {
    connection_.answer(malformed(bad));
  }
}

void HttpFront::Exchange::start_one(events::CloudEvent message) {
  const auto request_id = accept(std::move(message));
  if (!request_id) return connection_.answer(no_room());
  open_[*request_id] = 0;
}

void HttpFront::Exchange::start_batch(std::vector<events::CloudEvent> messages) {
  batch_.emplace();
  for (events::CloudEvent& message : messages) {
    const HttpBatch::Row row = batch_->add(message);
    try {
      const auto request_id = accept(std::move(message));
      if (request_id) {
        open_[*request_id] = row;
      } else {
        batch_->set_problem(row, no_room());
      }
    } catch (const events::BadEvent& bad) {
      batch_->set_problem(row, malformed(bad));
    }
  }
  answer_complete_batch();
}

std::optional<RequestId> HttpFront::Exchange::accept(events::CloudEvent message) {
  RoutingRequest request = front_.intake_.read(message);
  Time time_left = to_ticks(request.time_left) - connection_.request_age();
  if (front_.draining_) time_left = std::min(time_left, front_.drain_time_left());
  request.time_left = to_duration(std::max<Time>(time_left, 1));
  return front_.gateway_.accept(front_.source_, *this, std::move(request), std::move(message));
}

transport::HttpResponse HttpFront::Exchange::no_room() const {
  return to_response({.status = 503, .outcome = "crowded", .detail = "as many events are open as permitted"},
                     front_.rules_.retry_after);
}

void HttpFront::Exchange::succeeded(RequestId request_id, events::CloudEvent reply) {
  if (!batch_) {
    open_.erase(request_id);
    transport::HttpResponse response{.status = 200, .headers = events::to_headers(reply)};
    response.body = std::move(reply.data);
    return connection_.answer(std::move(response));
  }
  const auto it = open_.find(request_id);
  if (it == open_.end()) return;
  batch_->set_reply(it->second, reply);
  open_.erase(it);
  answer_complete_batch();
}

void HttpFront::Exchange::rejected(RequestId request_id, Duration retry_after) {
  const Problem problem{
      .status = 503,
      .outcome = "shed",
      .detail = "the event was not run; it may be sent again",
  };
  const Time ticks = to_ticks(retry_after);
  put_problem(request_id, to_response(problem, ticks), ticks);
}
void HttpFront::Exchange::duplicate(RequestId request_id) {
  put_problem(request_id,
              to_response({.status = 409,
                           .outcome = "abandoned",
                           .harmless_to_repeat = false,
                           .detail = "this event was taken before, here or by another router, and may "
                                     "have run"}));
}
void HttpFront::Exchange::failed(RequestId request_id) {
  put_problem(request_id, to_response({.status = 504,
                                       .outcome = "abandoned",
                                       .harmless_to_repeat = false,
                                       .detail = "given up without an answer; the event may have run"}));
}

void HttpFront::Exchange::put_problem(RequestId request_id, transport::HttpResponse response,
                                      Time retry_after) {
  if (!batch_) {
    open_.erase(request_id);
    return connection_.answer(std::move(response));
  }
  const auto it = open_.find(request_id);
  if (it == open_.end()) return;
  batch_->set_problem(it->second, response, retry_after);
  open_.erase(it);
  answer_complete_batch();
}

void HttpFront::Exchange::answer_complete_batch() {
  if (!batch_ || !open_.empty()) return;
  transport::HttpResponse response = batch_->to_response();
  batch_.reset();
  connection_.answer(std::move(response));
}

}  // namespace rushhill::frontends

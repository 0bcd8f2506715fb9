#include "simulation/server_connection.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace rushhill::simulation {
namespace {

using Json = nlohmann::json;
using transport::HttpProgress;
using transport::HttpRequest;

constexpr const char* endpoint_header = "rushhill-server";
constexpr const char* router_header = "rushhill-router";
constexpr const char* attempt_number_header = "rushhill-shot";
constexpr const char* time_left_header = "rushhill-time-left-ms";
constexpr std::string_view repository_prefix = "/v2/repository/models/";
constexpr std::string_view end_of_head = "\r\n\r\n";
constexpr std::string_view garbage = "\x16\x03 this is no HTTP\r\n\r\n\r\n";
constexpr Time byte_interval = 10;  // tenths of a millisecond between two bytes of a slow answer
constexpr Time ticks_per_millisecond = 10;
constexpr int most_instances = 16;  // that one prewarm request brings

// HTTP statuses.
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int internal_server_error = 500;

std::optional<int> number_in(const HttpRequest& request, const char* header) {
  const std::string* value = request.header(header);
  return value == nullptr ? std::nullopt : std::optional(std::atoi(value->c_str()));
}

// When the client gives up; 0: it does not say.
Time deadline_of(const HttpRequest& request, Time now) {
  const std::string* left = request.header(time_left_header);
  return left == nullptr ? 0 : now + ticks_per_millisecond * std::atoll(left->c_str());
}

// The instances that a prewarm request asks for.
int instances_in(const HttpRequest& request) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("parameters") || !body["parameters"].is_object()) return 1;
  return body["parameters"].value("copies", 1);
}

}  // namespace

ServerConnection::ServerConnection(SimulatedServer& server, ServerEnvironment& environment,
                                   const transport::PendingConnection& pending)
    : server_(server), environment_(environment), reader_({}) {
  stream_ = transport::Stream::adopt(environment.reactor, pending, *this);
}
ServerConnection::~ServerConnection() { stream_->close(); }

template <typename Call>
auto ServerConnection::while_open(Call call) {
  return [this, alive = weak_from_this(), call = std::move(call)](auto&&... arguments) {
    if (!alive.expired() && !closed_) call(arguments...);
  };
}

void ServerConnection::on_data(std::string_view bytes) {
  input_ += bytes;
  input_arrived_ns_ = arrival_time_ns();
  if (!busy_) read_request();
}

void ServerConnection::on_closed(transport::CloseReason) { close(ExchangeEnd::closed_by_router); }

void ServerConnection::close(ExchangeEnd end) {
  if (std::exchange(closed_, true)) return;
  write_record(end);
  if (end == ExchangeEnd::reset || end == ExchangeEnd::server_crashed) stream_->reset();
  stream_->close();
  if (job_ != 0) server_.model().cancel_job(std::exchange(job_, 0));
  if (keyed_request_ && !record_.executed) environment_.deduplication.forget(keyed_request_);
  server_.release(*this);
}

void ServerConnection::read_request() {
  const HttpProgress progress = reader_.put(input_);
  if (progress == HttpProgress::more) return;
  if (progress != HttpProgress::done) return close(ExchangeEnd::malformed_request);
  busy_ = true;
  ++request_count_;
  const HttpRequest request = reader_.take();
  begin_record(request);
  handle(request);
}

// When the bytes that are being read arrived, at the latest. The event time is too early for what the router
// sends after an answer of the same iteration.
std::int64_t ServerConnection::arrival_time_ns() const {
  const transport::Reactor& reactor = environment_.reactor;
  const bool after_answer = exchange_ended_ns_ >= reactor.event_time_ns();
  return after_answer ? reactor.clock_ns() : reactor.event_time_ns();
}

// When an exchange that is being recorded ended. A router that has closed the connection did so before
// whatever this server does to it now, even if the loop has not come to that event yet.
std::int64_t ServerConnection::end_time_ns(ExchangeEnd end) const {
  const bool closed_by_router = end == ExchangeEnd::closed_by_router ||
                                (!stream_->closed() && stream_->peek() == transport::Stream::Peeked::end);
  return closed_by_router ? environment_.reactor.event_time_ns() : environment_.reactor.clock_ns();
}

void ServerConnection::begin_record(const HttpRequest& request) {
  record_open_ = true;
  record_ = {.started_ns = input_arrived_ns_, .server = server_.id()};
  record_.router = number_in(request, router_header);
  record_.attempt_number = number_in(request, attempt_number_header);
}

void ServerConnection::handle(const HttpRequest& request) {
  const std::string* intended = request.header(endpoint_header);
  if (intended != nullptr && *intended != server_.id()) {
    record_.kind = ExchangeKind::misdirected;
    return answer(rejected(Rejection::misdirected));
  }
  if (request.method == "POST" && request.target == "/") return handle_attempt(request);
  if (request.target == "/v2/health/ready") return answer(health_answer(server_.model()));
  if (request.target == "/v2/repository/index") return answer(repository_index_answer(server_.model()));
  handle_repository(request);
}

void ServerConnection::handle_attempt(const HttpRequest& request) {
  record_.kind = ExchangeKind::attempt;
  events::CloudEvent event;
  try {
    event = events::from_headers(request.headers, request.body);
  } catch (const events::BadEvent& bad) {
    record_.fault = bad.what();
    return answer(failed(bad_request));
  }
  const std::string* name = event.other("function");
  record_.event_id = event.id;
  record_.event_source = event.source;
  record_.event_type = event.type;
  record_.function = name == nullptr ? "" : *name;
  if (ended_by_fault()) return;
  const FunctionSpec* function = name == nullptr ? nullptr : environment_.day.function(*name);
  if (function == nullptr) return answer(rejected(Rejection::function_missing));
  record_.work = function->work;
  const Job job{function, function->work, deadline_of(request, environment_.reactor.now())};
  const RequestClassSpec* request_class = environment_.day.type(event.type);
  if (request_class != nullptr && request_class->retry_safety == RetrySafety::keyed)
    return run_once(job, event, *request_class);
  run(job, event, nullptr);
}

// Whether an active fault has ended the exchange before any work.
bool ServerConnection::ended_by_fault() {
  if (server_.has_fault(FaultKind::reset)) {
    close(ExchangeEnd::reset);
  } else if (server_.has_fault(FaultKind::close_on_use) && request_count_ > 1) {
    close(ExchangeEnd::closed_on_use);
  } else if (server_.has_fault(FaultKind::fail_fast)) {
    answer(failed(internal_server_error));
  } else {
    return false;
  }
  return true;
}

// An event that the server's group has seen is not run again.
void ServerConnection::run_once(const Job& job, const events::CloudEvent& event,
                                const RequestClassSpec& request_class) {
  const auto known = environment_.deduplication.find_or_add(server_.model().spec(), request_class,
                                                            event.source + " " + event.id);
  if (!known.first) return answer_duplicate(event, known.request);
  run(job, event, known.request);
}

// Answered when the first run has ended.
void ServerConnection::answer_duplicate(const events::CloudEvent& event,
                                        const KeyedRequestPointer& keyed_request) {
  record_.duplicate = true;
  const auto reply = while_open(
      [this, event] { answer(job_answer(event, server_.model(), {.copy_state = CopyState::loaded})); });
  if (keyed_request->completed) return reply();
  keyed_request->waiters.emplace_back(reply);
}

void ServerConnection::run(const Job& job, const events::CloudEvent& event,
                           const KeyedRequestPointer& keyed_request) {
  ServerModel& model = server_.model();
  const bool had_collapsed = model.collapsed();
  // Recorded at once: also where the connection ends before the answer, the work was done.
  const auto began = [this, alive = weak_from_this(), record = record_, &environment = environment_] {
    if (!alive.expired()) record_.executed = true;
    environment.record.line(record.execution_to_json(environment.reactor.clock_ns()));
  };
  const auto answer_result = while_open([this, event](const JobResult& result) {
    job_ = 0;
    keyed_request_.reset();
    job_ended_ = true;
    answer(job_answer(event, server_.model(), result));
  });
  job_ended_ = false;
  keyed_request_ = keyed_request;
  const auto ended = [keyed_request, answer_result,
                      &deduplication = environment_.deduplication](const JobResult& result) {
    if (keyed_request) deduplication.settle(keyed_request, result.outcome == JobOutcome::completed);
    answer_result(result);
  };
  const auto id = model.take(job, began, ended);
  if (!job_ended_ && !closed_) job_ = id;
  if (!had_collapsed && model.collapsed())
    environment_.record.line({{"what", "fell"}, {"server", server_.id()}, {"at", record_.started_ns}});
}

// The Open Inference Protocol's load and unload, with a parameter for the number of instances.
void ServerConnection::handle_repository(const HttpRequest& request) {
  const std::string& target = request.target;
  const std::size_t slash = target.rfind('/');
  if (!target.starts_with(repository_prefix) || slash < repository_prefix.size())
    return answer(failed(not_found));
  const std::string name = target.substr(repository_prefix.size(), slash - repository_prefix.size());
  const std::string verb = target.substr(slash + 1);
  record_.kind = verb == "load" ? ExchangeKind::prewarm : ExchangeKind::evict;
  record_.function = name;
  const FunctionSpec* function = environment_.day.function(name);
  if (function == nullptr) return answer(rejected(Rejection::function_missing));
  if (verb != "unload") return prewarm(*function, request);
  server_.model().evict(*function);
  answer({});
}

void ServerConnection::prewarm(const FunctionSpec& function, const HttpRequest& request) {
  const int instances = instances_in(request);
  record_.instances = instances;
  server_.model().prewarm(
      function, std::clamp(instances, 1, most_instances),
      while_open([this](JobOutcome outcome, int loaded) { answer(prewarm_answer(outcome, loaded)); }));
}

void ServerConnection::answer(ServerAnswer answer) {
  answer.response.keep_alive = true;
  if (const std::string* reason = answer.response.header(never_ran_header)) record_.rejection = *reason;
  const std::string bytes = transport::to_bytes(answer.response);
  if (server_.has_fault(FaultKind::silence)) return stop_answering("silent");
  if (server_.has_fault(FaultKind::lose_answers) && record_.executed) return close(ExchangeEnd::answer_lost);
  if (write_truncated(bytes, bytes.find(end_of_head) + end_of_head.size())) return;
  if (server_.has_fault(FaultKind::garbage)) {
    stream_->write(garbage);
    return stop_answering("garbage");
  }
  if (server_.has_fault(FaultKind::byte_at_a_time)) return write_byte_by_byte(bytes, 0, answer.end);
  stream_->write(bytes);
  finish(answer.end);
}

// Whether a fault has cut the answer short. One without a body is not cut.
bool ServerConnection::write_truncated(const std::string& bytes, std::size_t head_size) {
  if (bytes.size() <= head_size) return false;
  if (server_.has_fault(FaultKind::mute_head)) {
    stream_->write(bytes.substr(0, head_size));
    stop_answering("mute-head");
    return true;
  }
  if (server_.has_fault(FaultKind::mute_half)) {
    stream_->write(bytes.substr(0, head_size + (bytes.size() - head_size) / 2));
    stop_answering("mute-half");
    return true;
  }
  return false;
}

void ServerConnection::write_byte_by_byte(const std::string& bytes, std::size_t from, ExchangeEnd end) {
  stream_->write(std::string_view(bytes).substr(from, 1));
  if (from + 1 == bytes.size()) return finish(end);
  environment_.reactor.at(environment_.reactor.now() + byte_interval,
                          while_open([this, bytes, from, end] { write_byte_by_byte(bytes, from + 1, end); }));
}

// Nothing more is written; when the router closes the connection is still recorded.
void ServerConnection::stop_answering(const char* fault) { record_.fault = fault; }

void ServerConnection::finish(ExchangeEnd end) {
  write_record(end);
  busy_ = false;
  if (input_.empty()) return;
  environment_.reactor.post(while_open([this] {
    if (!busy_) read_request();
  }));
}

void ServerConnection::write_record(ExchangeEnd end) {
  exchange_ended_ns_ = end_time_ns(end);
  if (!std::exchange(record_open_, false) || !record_.kind) return;
  environment_.record.line(record_.to_json(end, exchange_ended_ns_));
}

}  // namespace rushhill::simulation

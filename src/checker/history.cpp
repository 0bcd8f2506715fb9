#include "checker/history.h"

#include <algorithm>

namespace rushhill::checker {
namespace {

using Json = nlohmann::json;

constexpr Ns longest_restart = 500 * millisecond;  // beyond its span, that a router stays stopped or killed

std::string text_at(const Json& record, const char* key) { return record.at(key).get<std::string>(); }
Ns moment_at(const Json& record, const char* key) { return record.at(key).get<Ns>(); }

void read_request(const Json& record, History& history) {
  Request request{.id = text_at(record, "id"),
                  .type = text_at(record, "type"),
                  .outcome = text_at(record, "outcome"),
                  .sent = moment_at(record, "sent"),
                  .ended = moment_at(record, "ended"),
                  .limit = moment_at(record, "limit_ms") * millisecond,
                  .by_broker = record.value("front", "") == "mqtt",
                  .submissions = {}};
  for (const Json& one : record.at("tries")) {
    const Submission submission{
        .router = one.at("router").get<int>(), .sent = moment_at(one, "sent"), .end = one.value("how", "")};
    if (submission.end != "no-connection")
      history.arrivals[submission.router].earliest.push_back(submission.sent);
    request.submissions.push_back(submission);
  }
  history.requests.push_back(std::move(request));
}

void read_attempt(const Json& record, History& history) {
  const Attempt attempt{.at = moment_at(record, "at"),
                        .ended = moment_at(record, "ended"),
                        .server = text_at(record, "server"),
                        .end = text_at(record, "how"),
                        .fault = record.value("fault", ""),
                        .router = record.value("router", -1)};
  history.attempts[text_at(record, "id")].push_back(attempt);
}

void read_order(const Json& record, History& history) {
  if (record.value("copies", 1) <= 0) return;
  history.orders.push_back({.at = moment_at(record, "at"),
                            .server = text_at(record, "server"),
                            .function = record.value("function", ""),
                            .router = record.value("router", -1)});
}

void read_incarnation(const Json& record, History& history) {
  history.incarnations[text_at(record, "server")].push_back({.at = moment_at(record, "at"),
                                                             .cold = record.at("cold").get<bool>(),
                                                             .cores = record.at("cores").get<double>(),
                                                             .speed = record.at("speed").get<double>()});
}

void read_router_fault(const Json& record, History& history) {
  const std::string kind = text_at(record, "kind");
  const int router = record.at("router").get<int>();
  const Span span{.from = moment_at(record, "from"), .to = moment_at(record, "to")};
  // One that is asked to end still owes everybody an answer.
  if (kind != "router-restart") history.unavailabilities[router].push_back(span);
  if (kind == "router-stall") history.stalls[router].push_back(span);
  history.router_kills += kind == "router-kill" ? 1 : 0;
  history.router_stalls += kind == "router-stall" ? 1 : 0;
}

// What a message says of one server.
struct ReportedState {
  double started = 0;
  bool leaving = false;
};

// Of what one message says of a server, the newest incarnation counts, and of that the stricter state.
std::map<std::string, ReportedState> states_of(const Json& rows) {
  std::map<std::string, ReportedState> states;
  for (const Json& row : rows) {
    const ReportedState state{.started = row.at(2).get<double>(),
                              .leaving = row.at(1).get<std::string>() != "active"};
    const auto [it, inserted] = states.try_emplace(row.at(0).get<std::string>(), state);
    if (inserted) continue;
    if (state.started > it->second.started) it->second = state;
    if (state.started == it->second.started) it->second.leaving |= state.leaving;
  }
  return states;
}

void read_updates(const Json& record, History& history) {
  const Ns at = moment_at(record, "at");
  const int router = record.at("router").get<int>();
  std::map<std::string, ReportedState> states = states_of(record.at("servers"));
  if (record.value("complete", false)) {
    for (const auto& [key, updates] : history.updates) {
      if (key.first == router) states.try_emplace(key.second, ReportedState{.started = 0, .leaving = true});
    }
  }
  for (const auto& [server, state] : states)
    history.updates[{router, server}].push_back({.at = at, .leaving = state.leaving});
}

void read_record(const Json& record, History& history) {
  const std::string what = text_at(record, "what");
  if (what == "event") read_request(record, history);
  if (what == "delivered") history.deliveries[text_at(record, "id")].push_back(moment_at(record, "at"));
  if (what == "repeated-answer") ++history.repeated_answers;
  if (what == "extra") history.extras.push_back(text_at(record, "id"));
  if (what == "shot" && record.contains("id")) read_attempt(record, history);
  if (what == "ran") history.runs[text_at(record, "id")] += 1;
  if (what == "order") read_order(record, history);
  if (what == "told") read_updates(record, history);
  if (what == "started") read_incarnation(record, history);
  if (what == "router") read_router_fault(record, history);
  if (what == "fell")
    history.overloads.push_back({.server = text_at(record, "server"), .at = moment_at(record, "at")});
}

// During which of the stalls a router may have read what was sent to it at that moment. nullptr: during none.
const Span* stall_at(Ns at, const std::vector<Span>& stalls) {
  const auto found = std::ranges::find_if(
      stalls, [&](const Span& stall) { return at >= stall.from - transit && at <= stall.to; });
  return found == stalls.end() ? nullptr : &*found;
}

// When a router that may have been stopped can have read an update.
void set_reading_span(EndpointUpdate& update, const std::vector<Span>& stalls) {
  const Span* stall = stall_at(update.at, stalls);
  update.earliest = stall == nullptr || update.at <= stall->from ? update.at : stall->to;
  update.latest = stall == nullptr ? update.at : stall->to + transit;
}

// The same for requests; only when they were sent is known yet.
void set_reading_spans(Arrivals& arrivals, const std::vector<Span>& stalls) {
  for (Ns& at : arrivals.earliest) {
    const Span* stall = stall_at(at, stalls);
    arrivals.latest.push_back(stall == nullptr ? at : stall->to);
    if (stall != nullptr && at > stall->from) at = stall->to;
  }
  std::ranges::sort(arrivals.earliest);
  std::ranges::sort(arrivals.latest);
}

}  // namespace

const std::vector<Attempt>& History::attempts_of(const std::string& id) const {
  static const std::vector<Attempt> none;
  const auto found = attempts.find(id);
  return found == attempts.end() ? none : found->second;
}

std::int64_t Request::submissions_to(int router) const {
  return std::ranges::count_if(
      submissions, [&](const Submission& one) { return one.router == router && one.end != "no-connection"; });
}

std::int64_t Arrivals::within(Span span) const {
  const auto begun = std::ranges::upper_bound(earliest, span.to) - earliest.begin();
  const auto over = std::ranges::lower_bound(latest, span.from) - latest.begin();
  return begun - over;
}

bool History::unavailable(int router, Span span) const {
  const auto found = unavailabilities.find(router);
  return found != unavailabilities.end() && std::ranges::any_of(found->second, [&](const Span& one) {
           return one.from <= span.to && one.to + longest_restart >= span.from;
         });
}

History read_history(const std::vector<Json>& records) {
  History history;
  for (const Json& record : records) read_record(record, history);
  for (auto& [id, attempts] : history.attempts) std::ranges::sort(attempts, {}, &Attempt::at);
  for (auto& [server, incarnations] : history.incarnations)
    std::ranges::sort(incarnations, {}, &Incarnation::at);
  for (auto& [router, arrivals] : history.arrivals) set_reading_spans(arrivals, history.stalls[router]);
  std::ranges::sort(history.orders, {}, &LoadOrder::at);
  for (auto& [key, updates] : history.updates) {
    std::ranges::stable_sort(updates, {}, &EndpointUpdate::at);
    for (EndpointUpdate& update : updates) set_reading_span(update, history.stalls[key.first]);
  }
  return history;
}

}  // namespace rushhill::checker

#include "core/request_lifecycle.h"

#include <string>
#include <utility>

namespace rushhill::core {
namespace {

constexpr double ticks_per_ms = 10;  // Time counts tenths of a millisecond

const char* name_of(SourceRoom::End end) {
  switch (end) {
    case SourceRoom::End::honoured:
      return "honoured";
    case SourceRoom::End::given_up:
      return "given up";
    case SourceRoom::End::gone:
      break;
  }
  return "gone";
}

Fate fate_without_reply(const Request& request) {
  return request.attempts.empty() ? Fate::unrun : Fate::may_have_run;
}

}  // namespace

std::optional<EventId> RequestLifecycle::accept(SourceRoom::Source source, Client& client, Event told,
                                                events::CloudEvent message) {
  if (!env_.room.within_share(source)) {
    ++env_.tally.refused;
    return std::nullopt;
  }
  const auto [id, request] = env_.requests.add();
  told.id = id;
  request.client = &client;
  request.message = std::move(message);
  request.accepted = env_.clock.now();
  request.deadline = request.accepted + told.left;
  request.deadline_timer = env_.clock.at(request.deadline, [this, added = id] { expire(added); });
  request.source = source;
  env_.room.accepted(request.accepted, source);
  ++env_.tally.taken;
  Taking verdict = Taking::unmarked;
  if (env_.ledger != nullptr) {
    verdict = env_.ledger->taking(id, told.traffic_type, request.message, told.left);
  }
  apply(verdict, id, request, std::move(told));
  return id;
}

// What does not go on to the decision module is answered at once.
void RequestLifecycle::apply(Taking verdict, EventId id, Request& request, Event told) {
  request.awaiting_record.reset();
  switch (verdict) {
    case Taking::marked:
      request.recorded = true;
      [[fallthrough]];
    case Taking::unmarked:
      env_.decisions.run([&](Router& router, Time now) { router.event(now, told); });
      break;
    case Taking::wait:
      request.recorded = true;
      request.awaiting_record = std::move(told);
      break;
    case Taking::known:
      answer_known(id, request);
      break;
    case Taking::not_now:
      ++env_.tally.not_held;
      reject(id, rejection_advice_);
      break;
  }
}

void RequestLifecycle::verdict(EventId id, Taking verdict) {
  Request* request = env_.requests.find(id);
  if (request == nullptr || !request->awaiting_record || request->concluded) return;
  Event told = std::move(*request->awaiting_record);
  told.left = request->deadline - env_.clock.now();
  // In the tick of the deadline the deadline comes first.
  if (told.left <= 0) {
    expire(id);
    return;
  }
  apply(verdict, id, *request, std::move(told));
}

void RequestLifecycle::cancelled(EventId id, std::uint64_t unread) {
  env_.tally.attempts_after_cancel += unread;
  Request* request = env_.requests.find(id);
  if (request == nullptr || request->client == nullptr) return;
  request->client = nullptr;
  if (request->concluded) return;
  ++env_.tally.gone;
  const bool unknown_to_module = request->awaiting_record.has_value();
  conclude(id, *request, End::gone, fate_without_reply(*request));
  if (unknown_to_module) return;
  env_.decisions.run([&](Router& router, Time now) { router.client_gone(now, id); });
}

void RequestLifecycle::reject(EventId id, Time retry_after) {
  Request* request = env_.requests.find(id);
  if (request == nullptr || request->concluded) return;
  ++env_.tally.shed;
  conclude(id, *request, End::given_up, Fate::unrun);
  answer_soon(id, [retry_after, id](Client& client) { client.shed(id, retry_after); });
}

void RequestLifecycle::fail(EventId id) {
  Request* request = env_.requests.find(id);
  if (request == nullptr || request->concluded) return;
  ++env_.tally.abandoned;
  conclude(id, *request, End::given_up, fate_without_reply(*request));
  answer_soon(id, [id](Client& client) { client.abandoned(id); });
}

void RequestLifecycle::answer_known(EventId id, Request& request) {
  ++env_.tally.abandoned;
  ++env_.tally.known;
  conclude(id, request, End::given_up, Fate::unrun);
  answer_soon(id, [id](Client& client) { client.known(id); });
}

// The decision module has given its answer before; where it has not, the core does.
void RequestLifecycle::expire(EventId id) {
  Request* request = env_.requests.find(id);
  if (request == nullptr) return;
  if (!request->concluded) {
    if (request->awaiting_record) {  // the module has not heard of it
      reject(id, 0);
      return;
    }
    ++env_.tally.overdue;
    env_.log.line(Level::error, "no answer by the hard limit", {{"event", request->message.id}});
    fail(id);
    env_.decisions.run([&](Router& router, Time now) { router.client_gone(now, id); });
  }
  env_.attempts.cancel_at_deadline(id, *request);
}

void RequestLifecycle::attempt_started(EventId id) {
  const Request* request = env_.requests.find(id);
  if (request != nullptr && request->client != nullptr) request->client->attempt_started(id);
}

void RequestLifecycle::attempt_ended(EventId id, int number, ShotResult result) {
  Attempt* attempt = env_.requests.find_attempt(id, number);
  if (attempt == nullptr || !attempt->open) return;
  Request& request = env_.requests.at(id);
  // In the very tick of the deadline the deadline comes first.
  if (!request.concluded && env_.clock.now() >= request.deadline) {
    expire(id);
    return;
  }
  env_.attempts.close(*attempt);
  if (result.ending == Ending::honoured && !request.concluded) {
    ++env_.tally.honoured;
    conclude(id, request, End::honoured, Fate::honoured);
    Client* client = std::exchange(request.client, nullptr);
    client->honoured(id, std::move(result.reply));
  }
  env_.attempts.report_end(id, number, result);
}

// From here on the request only waits for the ends of its attempts. Nothing is sent for it any more, whether
// or not what is out may be cancelled.
void RequestLifecycle::conclude(EventId id, Request& request, End end, Fate fate) {
  if (request.recorded) env_.ledger->ended(request.message, fate);
  env_.attempts.cancel_unsent(id, request);
  env_.room.concluded(env_.clock.now(), request.source, end);
  request.concluded = true;
  env_.deferred.run_soon([this, id] { env_.requests.erase_if_over(id); });
  log_conclusion(request, end);
}

void RequestLifecycle::log_conclusion(const Request& request, End end) {
  if (!env_.log.wants(Level::debug)) return;
  const double elapsed_ms = static_cast<double>(env_.clock.now() - request.accepted) / ticks_per_ms;
  env_.log.line(Level::debug, "final answer",
                {{"outcome", name_of(end)},
                 {"event", request.message.id},
                 {"source", request.message.source},
                 {"shots", std::to_string(request.attempts.size())},
                 {"ms", std::to_string(elapsed_ms)}});
}

// Answers that the decision module gives leave when it has returned.
void RequestLifecycle::answer_soon(EventId id, std::function<void(Client&)> answer) {
  ++env_.requests.at(id).deferred_calls;
  env_.deferred.run_soon([this, id, answer = std::move(answer)] {
    Request& request = env_.requests.at(id);
    --request.deferred_calls;
    Client* client = std::exchange(request.client, nullptr);
    if (client != nullptr) answer(*client);
    env_.requests.erase_if_over(id);
  });
}

}  // namespace rushhill::core

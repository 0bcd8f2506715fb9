#include "simulation/client_request.h"

namespace rushhill::simulation {
namespace {

using Json = nlohmann::json;

constexpr Time ticks_per_millisecond = 10;

const char* name_of(ClientAttemptEnd end) {
  switch (end) {
    case ClientAttemptEnd::answered:
      return "answered";
    case ClientAttemptEnd::no_connection:
      return "no-connection";
    case ClientAttemptEnd::lost:
      return "lost";
    case ClientAttemptEnd::malformed:
      return "garbled";
    case ClientAttemptEnd::silent:
      return "silent";
    case ClientAttemptEnd::duplicate:
      return "twin";
  }
  return "";
}

const char* name_of(ClientOutcome outcome) {
  switch (outcome) {
    case ClientOutcome::succeeded:
      return "honoured";
    case ClientOutcome::rejected:
      return "shed";
    case ClientOutcome::failed:
      return "abandoned";
    case ClientOutcome::wrong_answer:
      return "wrong-answer";
    case ClientOutcome::other_answer:
      return "other";
    case ClientOutcome::none:
      return "none";
    case ClientOutcome::unreachable:
      return "unreachable";
    case ClientOutcome::unknown:
      return "unknown";
  }
  return "";
}

Json to_json(const ClientAttempt& attempt) {
  Json record{{"router", attempt.router}, {"sent", attempt.sent_ns}, {"how", name_of(attempt.end)}};
  if (attempt.ended_ns) record["ended"] = *attempt.ended_ns;
  if (attempt.status) record["status"] = *attempt.status;
  return record;
}

}  // namespace

void ClientRequest::end_attempt(ClientAttemptEnd end, std::int64_t now_ns) {
  if (!attempt) return;
  attempt->end = end;
  attempt->ended_ns = now_ns;
  attempts.push_back(*attempt);
  attempt.reset();
}

Json ClientRequest::to_json(ClientOutcome outcome) const {
  Json tries = Json::array();
  for (const ClientAttempt& ended : attempts) tries.push_back(simulation::to_json(ended));
  Json record{{"what", "event"},
              {"id", id()},
              {"type", request_class->name},
              {"function", function->name},
              {"sent", sent_ns},
              {"limit_ms", time_limit / ticks_per_millisecond},
              {"ended", ended_ns},
              {"again", first_outcome.has_value()},
              {"outcome", name_of(first_outcome.value_or(outcome))},
              {"tries", std::move(tries)}};
  if (over_mqtt) record["front"] = "mqtt";
  return record;
}

}  // namespace rushhill::simulation

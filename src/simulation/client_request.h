// One request of the simulated clients, followed to its one final answer, and what is recorded of it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/timer_service.h"
#include "simulation/day.h"

namespace rushhill::simulation {

class ClientConnection;

// How a client's attempt at a router ended.
enum class ClientAttemptEnd : std::uint8_t {
  answered,
  no_connection,  // nothing of it can have reached the router
  lost,           // the connection broke before the answer
  malformed,      // the answer is no HTTP
  silent,         // the client waited no longer
  duplicate       // the same event sent to a second router, of which no answer is awaited
};

// How a request ended for its client.
enum class ClientOutcome : std::uint8_t {
  succeeded,
  rejected,
  failed,
  wrong_answer,  // an answer to something else
  other_answer,
  none,         // no answer within the limit
  unreachable,  // no router could be reached
  unknown       // the connection broke, and the client may not send again
};

// One attempt of a request at a router.
struct ClientAttempt {
  int router = unknown_router;
  std::int64_t sent_ns = 0;
  ClientAttemptEnd end = ClientAttemptEnd::silent;
  std::optional<std::int64_t> ended_ns{};
  std::optional<int> status{};  // of the HTTP response

  static constexpr int unknown_router = -1;  // the broker chooses
};

// Lives until its final answer, or until its client waits no longer.
struct ClientRequest {
  std::int64_t number = 0;
  const RequestClassSpec* request_class = nullptr;
  const FunctionSpec* function = nullptr;
  Time deadline = 0;
  std::size_t router = 0;  // of the next attempt
  int unreachable_attempts = 0;
  std::int64_t sent_ns = 0;
  Time time_limit = 0;  // from then on
  bool over_mqtt = false;
  // Set once it was answered and sent once more all the same: the first answer and when it came.
  std::optional<ClientOutcome> first_outcome{};
  std::int64_t ended_ns = 0;
  std::vector<ClientAttempt> attempts{};
  std::optional<ClientAttempt> attempt{};  // the one under way
  ClientConnection* connection = nullptr;  // of that attempt
  core::Timer patience_timer{};            // ends that attempt
  core::Timer deadline_timer{};

  std::string id() const { return "e-" + std::to_string(number); }
  // Ends the attempt under way.
  void end_attempt(ClientAttemptEnd end, std::int64_t now_ns);
  // The record of the request, `outcome` being its last one.
  nlohmann::json to_json(ClientOutcome outcome) const;
};

}  // namespace rushhill::simulation

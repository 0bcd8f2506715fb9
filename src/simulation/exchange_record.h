// What is recorded of one exchange between a router and a simulated server.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "routing/time.h"

namespace rushhill::simulation {

// What a router asked for. Other requests, such as health checks, are not recorded.
enum class ExchangeKind : std::uint8_t { attempt, misdirected, prewarm, evict };

// How an exchange ended.
enum class ExchangeEnd : std::uint8_t {
  answered,
  never_ran,          // answered, and the answer says that nothing ran
  error,              // answered with an error
  answer_lost,        // the work was done and the connection closed without an answer
  reset,              // the server reset the connection at the request
  closed_on_use,      // the server closed a kept connection at the request
  closed_by_server,   // the server closed all its connections
  server_crashed,     // the server died
  closed_by_router,   // the router closed the connection
  malformed_request,  // what the router sent is no HTTP
  open_at_end         // the day was over before
};

// One exchange, from its request on.
struct ExchangeRecord {
  std::int64_t started_ns = 0;
  std::string server{};
  std::optional<ExchangeKind> kind{};  // none: the exchange is not recorded
  std::optional<int> router{};         // as the request's headers say
  std::optional<int> attempt_number{};
  std::optional<std::string> event_id{};
  std::optional<std::string> event_source{};
  std::optional<std::string> event_type{};
  std::optional<std::string> function{};
  std::optional<Time> work{};              // of the function, on a standard core
  std::optional<int> instances{};          // asked for by a prewarm request
  std::optional<std::string> rejection{};  // the reason that the answer gives
  std::optional<std::string> fault{};      // what was wrong with the request, or with the answer
  bool duplicate = false;                  // the event had been seen before
  bool executed = false;                   // the work began

  // The record of the whole exchange.
  nlohmann::json to_json(ExchangeEnd end, std::int64_t ended_ns) const;
  // The record of the moment at which its work began.
  nlohmann::json execution_to_json(std::int64_t at_ns) const;

 private:
  void write_request(nlohmann::json& record) const;
};

}  // namespace rushhill::simulation

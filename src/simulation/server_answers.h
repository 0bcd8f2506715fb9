// What a simulated server answers, as docs/servers.md states it.
#pragma once

#include <cstdint>

#include "events/cloudevent.h"
#include "simulation/exchange_record.h"
#include "simulation/server_model.h"
#include "transport/http.h"

namespace rushhill::simulation {

// The header of a rejection, with its reason.
constexpr const char* never_ran_header = "rushhill-never-ran";

// A response and how its exchange ends with it.
struct ServerAnswer {
  transport::HttpResponse response{};
  ExchangeEnd end = ExchangeEnd::answered;
};

// Why a request was rejected before any of it ran.
enum class Rejection : std::uint8_t { misdirected, function_missing, overloaded, draining, load_failed };

ServerAnswer rejected(Rejection reason);
// An error that does not say whether something ran.
ServerAnswer failed(int status);

// The answer to an event whose job ended so.
ServerAnswer job_answer(const events::CloudEvent& event, const ServerModel& model, const JobResult& result);
// The answer to a prewarm request; `instances`: how many of the function are loaded now.
ServerAnswer prewarm_answer(JobOutcome outcome, int instances);
ServerAnswer health_answer(const ServerModel& model);
ServerAnswer repository_index_answer(const ServerModel& model);

}  // namespace rushhill::simulation

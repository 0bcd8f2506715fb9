// The figures of a day: shares, attempts, latencies.
#include <algorithm>
#include <cstddef>
#include <vector>

#include "checker/rules.h"

namespace rushhill::checker {
namespace {

constexpr double median = 0.5;
constexpr double ninety_ninth = 0.99;

// Reorders the values. 0 where there are none.
double quantile(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  const auto at = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
  std::ranges::nth_element(values, values.begin() + at);
  return values[static_cast<std::size_t>(at)];
}

double milliseconds(Ns span) { return static_cast<double>(span) / millisecond; }

// Whether one attempt at one router answered the request, without an injected fault.
bool answered_plainly(const Request& request, const std::vector<Attempt>& attempts) {
  return request.submissions.size() == 1 && attempts.size() == 1 && attempts[0].end == "answered" &&
         attempts[0].fault.empty();
}

}  // namespace

void measure(const Day& day, Verdict& verdict) {
  std::vector<double> added;
  std::vector<double> latency;
  std::int64_t in_time = 0;
  for (const Request& request : day.history.requests) {
    const std::vector<Attempt>& attempts = day.history.attempts_of(request.id);
    verdict.attempts += static_cast<std::int64_t>(attempts.size());
    if (!request.succeeded()) continue;
    const Ns taken = request.ended - request.sent;
    in_time += taken <= day.rules.request_class(request.type).latency_objective ? 1 : 0;
    latency.push_back(milliseconds(taken));
    if (answered_plainly(request, attempts))
      added.push_back(milliseconds(taken - (attempts[0].ended - attempts[0].at)));
  }
  const auto requests = static_cast<double>(std::max<std::size_t>(day.history.requests.size(), 1));
  verdict.orders = static_cast<std::int64_t>(day.history.orders.size());
  verdict.due_share = static_cast<double>(in_time) / requests;
  verdict.attempts_per_request = static_cast<double>(verdict.attempts) / requests;
  verdict.added_median_ms = quantile(added, median);
  verdict.added_p99_ms = quantile(added, ninety_ninth);
  verdict.latency_median_ms = quantile(latency, median);
  verdict.latency_p99_ms = quantile(latency, ninety_ninth);
}

}  // namespace rushhill::checker

#include "routing/overload_control.h"

#include "routing/statistics.h"

namespace rushhill::routing {
namespace {

// Share of attempts at loaded copies that are slow without an overload.
constexpr double slow_share_without_load = 0.15;
// Requests rejected for each slow attempt beyond that share. A larger factor would make the load oscillate.
constexpr double rejected_per_slow_attempt = 2;
// Share of a tenant's requests. The requests that are still admitted show when the overload has ended.
constexpr double max_rejected_share = 0.9;
// Attempts that count as not slow, so that a few slow ones do not look like an overload.
constexpr double prior_attempt_count = 3;
// A router that received fewer requests in the history span has too few samples to detect an overload.
constexpr double min_requests = 20;
// Share of the attempts in flight that are long-running without an overload, for exponential response times.
constexpr double long_running_share_without_load = 0.6;
// Attempts. A single long-running attempt is not an overload.
constexpr double prior_in_flight = 1;

}  // namespace

OverloadControl::AttemptWindow& OverloadControl::attempts_of(const std::string& tenant) {
  return attempts_.try_emplace(tenant, one_second).first->second;
}

void OverloadControl::record_attempt_at_loaded_copy(Timestamp now, const std::string& tenant, bool slow) {
  attempts_of(tenant).bucket_at(now) += Attempts{.all = 1, .slow = slow ? 1.0 : 0.0};
}

double OverloadControl::share_to_reject(Timestamp now, const std::string& tenant) {
  const Attempts recent = attempts_of(tenant).total(now, recent_buckets);
  const double slow_share = recent.slow / (recent.all + prior_attempt_count);
  return std::min(rejected_per_slow_attempt * (slow_share - slow_share_without_load), max_rejected_share);
}

void OverloadControl::observe_in_flight(Timestamp now, Duration observed_for, double requests,
                                        std::vector<double>& long_running_counts) {
  const Duration span = std::clamp(observed_for, one_second, recent_buckets * one_second);
  const double no_load_in_flight = no_load_times_.total(now, recent_buckets) / FractionalDuration{span};
  // Attempts that hang at one faulty endpoint are not an overload, so each endpoint counts for at most twice
  // the median.
  const double max_per_endpoint = std::max(1.0, 2 * median(long_running_counts, 0));
  double all = 0;
  for (const double count : long_running_counts) all += std::min(count, max_per_endpoint);
  const double excess = std::max(0.0, all - long_running_share_without_load * no_load_in_flight);
  load_ratio_ = requests < min_requests ? 1 : 1 + excess / (no_load_in_flight + prior_in_flight);
}

}  // namespace rushhill::routing

#include "routing/overload_control.h"

#include "routing/statistics.h"

namespace rushhill::routing {
namespace {

constexpr double slow_share_without_load = 0.15;  // of attempts at loaded copies; as on a day without load
constexpr double rejected_per_slow = 2;  // requests for each slow attempt beyond; more would oscillate
constexpr double most_rejected = 0.9;    // of a tenant's requests; the rest shows when it is over
constexpr double prior_attempts = 3;     // attempts; so that a few slow ones are no overload
constexpr double fewest_requests = 20;   // in the window; a router that took fewer can't tell
constexpr double outlasting_without_load = 0.6;  // of attempts whose times are exponential
constexpr double prior_in_flight = 1;            // attempts; one that is out is no overload

}  // namespace

OverloadControl::AttemptWindow& OverloadControl::attempts_of(const std::string& tenant) {
  return attempts_.try_emplace(tenant, one_second).first->second;
}

void OverloadControl::attempt_at_loaded_copy(Timestamp now, const std::string& tenant, bool slow) {
  attempts_of(tenant).bucket_at(now) += Attempts{.all = 1, .slow = slow ? 1.0 : 0.0};
}

double OverloadControl::share_to_reject(Timestamp now, const std::string& tenant) {
  const Attempts recent = attempts_of(tenant).total(now, recent_buckets);
  const double slow_share = recent.slow / (recent.all + prior_attempts);
  return std::min(rejected_per_slow * (slow_share - slow_share_without_load), most_rejected);
}

void OverloadControl::observe_in_flight(Timestamp now, Duration observed_for, double requests,
                                        std::vector<double>& outlasting) {
  const Duration span = std::clamp(observed_for, one_second, recent_buckets * one_second);
  const double no_load_in_flight = no_load_times_.total(now, recent_buckets) / FractionalDuration{span};
  // What hangs at one faulty endpoint is no overload: none counts for more than twice the median.
  const double most = std::max(1.0, 2 * median(outlasting, 0));
  double all = 0;
  for (const double here : outlasting) all += std::min(here, most);
  const double beyond = std::max(0.0, all - outlasting_without_load * no_load_in_flight);
  load_ratio_ = requests < fewest_requests ? 1 : 1 + beyond / (no_load_in_flight + prior_in_flight);
}

}  // namespace rushhill::routing

#include "simulation/request_plan.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <iterator>

namespace rushhill::simulation {
namespace {

constexpr std::uint64_t seed_modulus = 16'777'183;
constexpr double ticks_per_second = 10'000;

std::size_t index_at(const std::vector<double>& sums, double share) {
  const auto it = std::ranges::upper_bound(sums, share * sums.back());
  return static_cast<std::size_t>(std::min(it, std::prev(sums.end())) - sums.begin());
}

}  // namespace

RequestPlan::RequestPlan(const Day& day)
    : day_(day), random_(static_cast<std::uint_fast32_t>(day.seed % seed_modulus)) {
  double sum = 0;
  for (const FunctionSpec& function : day_.functions) function_sums_.push_back(sum += function.weight);
  sum = 0;
  for (const RequestClassSpec& request_class : day_.types) class_sums_.push_back(sum += request_class.share);
}

// Between 0 and 1, never either.
double RequestPlan::draw() {
  return (static_cast<double>(random_()) + 0.5) / (static_cast<double>(random_.max()) + 1);
}

double RequestPlan::rate_at(Time since_start) const {
  double rate = day_.rate;
  for (const Fault& fault : day_.faults) {
    const bool active = since_start >= fault.at && since_start < fault.at + fault.span;
    if (fault.kind == FaultKind::burst && active) rate *= fault.size;
  }
  return rate;
}

Time RequestPlan::next_time() {
  next_time_ += -std::log(draw()) / rate_at(static_cast<Time>(next_time_)) * ticks_per_second;
  return static_cast<Time>(next_time_);
}

PlannedRequest RequestPlan::next_request(std::size_t routers) {
  PlannedRequest request;
  request.request_class = &day_.types[index_at(class_sums_, draw())];
  request.function = &day_.functions[index_at(function_sums_, draw())];
  request.router = static_cast<std::size_t>(draw() * static_cast<double>(routers));
  return request;
}

}  // namespace rushhill::simulation

#include "simulation/day.h"

#include <algorithm>

namespace rushhill::simulation {
namespace {

constexpr double ticks_per_second = 10'000;

}  // namespace

const FunctionSpec* Day::function(std::string_view name) const {
  const auto it = std::ranges::find(functions, name, &FunctionSpec::name);
  return it == functions.end() ? nullptr : &*it;
}

const RequestClassSpec* Day::type(std::string_view name) const {
  const auto it = std::ranges::find(types, name, &RequestClassSpec::name);
  return it == types.end() ? nullptr : &*it;
}

double Day::mean_work() const {
  double work = 0;
  double weight = 0;
  for (const FunctionSpec& function : functions) {
    work += function.weight * static_cast<double>(function.work);
    weight += function.weight;
  }
  return work / weight;
}

Time Day::span() const { return static_cast<Time>(static_cast<double>(events) / rate * ticks_per_second); }

}  // namespace rushhill::simulation

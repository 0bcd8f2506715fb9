#include "lab/scale_points.h"

#include <algorithm>
#include <deque>
#include <utility>

#include "lab/scale_process.h"

namespace rushhill::lab {
namespace {

// A point that is being measured.
struct RunningPoint {
  std::size_t index = 0;
  MeasuringProcess process;
};

const std::vector<double>& sizes_of(const scale::Cost& cost, const ScaleOptions& options) {
  if (!options.at.empty()) return options.at;
  return options.small ? cost.small_points : cost.points;
}

void add(const Measurement& measurement, Point& point) {
  if (measurement.failed()) {
    point.failure = measurement.failure;
    return;
  }
  for (const auto& [name, value] : measurement.figures) {
    const auto [it, is_new] = point.figures.try_emplace(name, value);
    if (!is_new && name == scale::figure_name::user_time) it->second = std::min(it->second, value);
  }
}

}  // namespace

std::vector<Point> measure_points(const scale::Cost& cost, const ScaleOptions& options) {
  std::vector<Point> points;
  for (const double size : sizes_of(cost, options)) points.push_back({.size = size});
  std::deque<RunningPoint> running;
  const auto finish_oldest = [&] {
    const RunningPoint oldest = running.front();
    running.pop_front();
    add(oldest.process.result(), points[oldest.index]);
  };
  for (int round = 0; round <= options.repeats; ++round) {
    const auto quantity = round == 0 ? MeasuredQuantity::instructions : MeasuredQuantity::user_time;
    for (std::size_t i = 0; i < points.size(); ++i) {
      if (running.size() >= static_cast<std::size_t>(options.jobs)) finish_oldest();
      const auto work = [&](scale::Counter& counter) { return cost.measure(points[i].size, counter); };
      running.push_back({.index = i, .process = MeasuringProcess(quantity, work)});
    }
  }
  while (!running.empty()) finish_oldest();
  return points;
}

}  // namespace rushhill::lab

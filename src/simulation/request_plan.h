// The requests of a day's clients, drawn from its seed: when each is sent, of which class, for which function
// and to which router.
#pragma once

#include <cstddef>
#include <random>
#include <vector>

#include "simulation/day.h"

namespace rushhill::simulation {

// What is drawn of a request.
struct PlannedRequest {
  const RequestClassSpec* request_class = nullptr;
  const FunctionSpec* function = nullptr;
  std::size_t router = 0;
};

// The draws are made in the order of the calls: the time of a request, the request, whether it is published.
class RequestPlan {
 public:
  // The day has to outlive the plan.
  explicit RequestPlan(const Day& day);

  // When the next request is sent, since the day's start. Requests do not wait for the answers of earlier
  // ones.
  Time next_time();
  PlannedRequest next_request(std::size_t routers);
  // True for that share of the calls.
  bool draw_with_share(double share) { return draw() < share; }

 private:
  double draw();
  double rate_at(Time since_start) const;

  const Day& day_;
  std::ranlux24_base random_;
  std::vector<double> function_sums_;  // of the weights up to each function
  std::vector<double> class_sums_;     // of the shares up to each class
  double next_time_ = 0;
};

}  // namespace rushhill::simulation

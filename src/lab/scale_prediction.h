// Predicts from the fitted costs what a router costs in a fleet of a given size.
#pragma once

#include "lab/scale_options.h"
#include "scale/fit.h"
#include "scale/fleet_simulation.h"

namespace rushhill::lab {

// The predicted cost of one router.
struct RouterCost {
  double instructions = 0;  // a second
  double bytes = 0;
};

// The fits that a prediction is made from.
class CostModel {
 public:
  // Measures the costs it needs, at the sizes that the options select. Throws std::runtime_error where one
  // could not be counted.
  explicit CostModel(const ScaleOptions& options);

  // `functions_met`: different functions that the router is called for while it keeps them. Throws
  // std::runtime_error where a cost is no line and the size is beyond its points.
  RouterCost predict(const scale::FleetSize& fleet, double functions_met) const;

 private:
  double predict_instructions(const scale::FleetSize& fleet) const;
  double predict_bytes(int servers, double functions_met) const;

  scale::Fit second_;            // of the core with its policy, by requests
  scale::Fit request_;           // by servers
  scale::Fit tick_;              // by servers
  scale::Fit memory_;            // of the policy, by servers
  scale::Fit functions_met_;     // in the same measurement
  scale::Fit functions_memory_;  // of the policy, by functions
};

// How many different functions a router of that fleet is called for during the run, as far as its policy
// keeps them: drawn at random, not calculated.
double functions_met_in(const scale::SimulationSize& size);

}  // namespace rushhill::lab

// The parts of one router's policy, in the order of their dependencies: each part depends only on those above
// it.
#pragma once

#include <cstdint>

#include "routing/configuration.h"
#include "routing/endpoint_selector.h"
#include "routing/endpoint_table.h"
#include "routing/endpoint_warm_up.h"
#include "routing/fleet_load.h"
#include "routing/function_table.h"
#include "routing/latency_estimates.h"
#include "routing/load_budget.h"
#include "routing/observation_window.h"
#include "routing/outlier_detection.h"
#include "routing/overload_control.h"
#include "routing/placement.h"
#include "routing/random_source.h"
#include "routing/request_tracker.h"
#include "routing/retry_policy.h"
#include "routing/routing_policy.h"
#include "routing/scorer.h"
#include "routing/tenant_quotas.h"

namespace rushhill::routing {

// Owns the parts. They hold references to each other, so this struct can be neither copied nor moved.
struct RoutingParts {
  RoutingParts(const RoutingConfiguration& settings, std::uint64_t seed, RoutingHost& router);
  RoutingParts(const RoutingParts&) = delete;
  RoutingParts& operator=(const RoutingParts&) = delete;
  RoutingParts(RoutingParts&&) = delete;
  RoutingParts& operator=(RoutingParts&&) = delete;
  ~RoutingParts() = default;

  const RoutingConfiguration configuration;
  RoutingHost& host;
  RandomSource random;

  EndpointTable endpoints;
  FunctionTable functions;
  RequestTracker requests;

  ObservationWindow observation;
  FleetLoad fleet_load;
  LatencyEstimates estimates;
  OutlierDetection outliers;
  LoadBudget load_budget;
  TenantQuotas tenant_quotas;
  OverloadControl overload;

  EndpointWarmUp warm_up;
  RetryPolicy retries;
  Placement placement;
  Scorer scorer;
  EndpointSelector selector;
};

}  // namespace rushhill::routing

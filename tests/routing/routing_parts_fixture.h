// The parts of a routing policy with a host that records their calls, and with endpoints "a" to "c" on the
// list.
#pragma once

#include <gtest/gtest.h>

#include "fake_host.h"
#include "routing/endpoint_monitor.h"
#include "routing/routing_parts.h"

namespace rushhill::routing {

class RoutingPartsTest : public ::testing::Test {
 protected:
  static constexpr Timestamp start{100 * one_second};
  static constexpr Duration tick{40};

  static RoutingConfiguration default_configuration() {
    RoutingConfiguration configuration;
    configuration.routers = 2;
    configuration.tick = tick;
    configuration.request_classes.push_back(
        {.name = "lookup", .latency_objective = one_second, .deadline_span = 3 * one_second});
    configuration.slow_start = {.budget_multiple = 2,
                                .budget_span = one_second,
                                .initial_capacity = 0.2,
                                .warm_up_span = 10 * one_second};
    configuration.retries.attempt_limit = 4;
    configuration.retries.cancel_attempts = true;
    configuration.retries.retry_after = true;
    configuration.retries.max_retry_after = 5 * one_second;
    configuration.copies.prewarm = true;
    configuration.copies.state_is_reported = true;
    configuration.copies.keep_alive = 10 * one_second;
    configuration.reports.gossip = true;
    configuration.connect_timeout = one_second / 4;
    return configuration;
  }

  explicit RoutingPartsTest(const RoutingConfiguration& configuration = default_configuration())
      : parts(configuration, 7, host), monitor(parts) {
    parts.observation.start(start);
    parts.endpoints.increment_version();
    for (const char* id : {"a", "b", "c"}) parts.endpoints.update({.id = id});
    parts.outliers.observe_fleet({.serving = 3});
  }

  TrackedRequest& track(RequestId id, const FunctionId& function = "f") {
    TrackedRequest& tracked = parts.requests.add({.id = id, .request_class = "lookup", .function = function});
    tracked.class_estimate = &parts.estimates.of_class("lookup");
    tracked.objective = start + one_second;
    tracked.answer_deadline = start + 3 * one_second;
    return tracked;
  }
  EndpointRecord& endpoint(const EndpointId& id) { return parts.endpoints.at(id); }
  BelievedCopy& copy(const EndpointId& id) { return parts.functions.at("f").copies.at(id); }
  bool copy_believed(const EndpointId& id) {
    return copy(id).believed(start, parts.configuration.copies.keep_alive);
  }

  FakeHost host;
  RoutingParts parts;
  EndpointMonitor monitor;
};

}  // namespace rushhill::routing

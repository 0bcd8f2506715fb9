// The real routing policy behind its interface, with simulated requests and servers in place of a router.
// What is metered is the policy's own work alone.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "routing/routing_policy.h"
#include "scale/fleet_size.h"
#include "scale/function_picker.h"
#include "scale/meter.h"
#include "scale/units.h"

namespace rushhill::scale {

// What a policy did since its harness was made or its meters were cleared.
struct PolicyTally {
  std::int64_t received = 0;  // requests
  std::int64_t rejected = 0;  // requests
  std::int64_t failed = 0;    // requests
  std::int64_t attempts = 0;
  std::int64_t gossip_messages = 0;  // a message to all routers counts once
  std::int64_t gossip_bytes = 0;
};

// The work of a policy by what caused it.
struct PolicyMeters {
  Meter requests;  // the request, the ends of its attempts, the timer of its deadline
  Meter ticks;     // the periodic timer
  Meter lists;     // endpoint lists
};

// Hosts one policy. Servers answer after a fixed time and load the functions that they lack.
class PolicyHarness final : private RoutingHost {
 public:
  PolicyHarness(const FleetSize& fleet, Counter& counter, std::uint64_t seed = 1);
  PolicyHarness(const PolicyHarness&) = delete;
  PolicyHarness& operator=(const PolicyHarness&) = delete;
  PolicyHarness(PolicyHarness&&) = delete;
  PolicyHarness& operator=(PolicyHarness&&) = delete;
  ~PolicyHarness() override;

  // Passes a span of virtual time, with its requests, answers and timers.
  void run(Time span);
  // Sends one request now, beside those of run().
  void send_request();
  // Announces that one server has restarted, by a list of one entry.
  void restart_server(int server);
  // Announces all servers.
  void send_complete_list();
  // Clears meters and tally.
  void clear();
  // Ends the policy; returns the bytes that the allocator got back from it.
  double end_policy();

  const PolicyMeters& meters() const { return meters_; }
  const PolicyTally& tally() const { return tally_; }
  // How many different functions have been called.
  std::size_t functions_met() const { return functions_met_.size(); }

 private:
  // A timer of the policy or the end of an attempt, to come.
  struct Event {
    Time at = 0;
    std::int64_t token = 0;  // of a timer
    RequestId request = 0;   // of an attempt, as all below
    std::size_t server = 0;
    Time sent = 0;
    bool copy_loaded = true;
    bool is_attempt_end = false;
    bool operator>(const Event& other) const { return at > other.at; }
  };
  using CopyKey = std::pair<std::size_t, int>;  // server and function

  void send_attempt(RequestId request, const EndpointId& endpoint, const AttemptLimits& limits) override;
  void cancel_attempt(RequestId /*request*/, int /*attempt_number*/) override {}
  void reject(RequestId request, Duration retry_after) override;
  void fail(RequestId request) override;
  void set_timer(std::int64_t token, Timestamp at) override;
  void probe(const EndpointId& endpoint) override;
  void close_idle_connections(const EndpointId& /*endpoint*/) override {}
  void prewarm(const EndpointId& /*endpoint*/, const FunctionId& /*function*/, int /*copies*/) override {}
  void evict(const EndpointId& /*endpoint*/, const FunctionId& /*function*/) override {}
  void send_gossip(int router, const std::string& bytes) override;
  void watch_endpoints(bool /*on*/) override {}
  void resync_endpoints() override {}
  void log(const std::string& /*line*/) override {}

  void fire(const Event& event);
  void fire_timer(std::int64_t token);
  void end_attempt(const Event& attempt);
  void end_probes();

  FleetSize fleet_;
  PolicyMeters meters_;
  PolicyTally tally_;
  std::vector<Endpoint> servers_;
  std::vector<std::string> function_names_;
  std::map<EndpointId, std::size_t> server_index_;
  FunctionPicker picker_;
  Time now_;
  Time restarts_ = 0;
  double next_request_at_;
  RequestId last_request_ = 0;
  std::set<int> functions_met_;
  std::map<RequestId, int> function_of_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<EndpointId> probed_;
  std::map<CopyKey, Time> copy_used_;  // copies that are loaded, and when each was last used
  std::unique_ptr<RoutingPolicy> policy_;
};

}  // namespace rushhill::scale

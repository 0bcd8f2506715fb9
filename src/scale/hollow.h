// A router with all that is around it hollow: the real module, or the real core and module, told of servers
// that hold no bytes and asked by clients that are figures. What is metered is the program's own work alone.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/client.h"
#include "core/endpoint_list_source.h"
#include "core/event_log.h"
#include "core/gateway.h"
#include "core/peer_messenger.h"
#include "core/timer_service.h"
#include "core/upstream_transport.h"
#include "emulator/network.h"
#include "routing/routing_policy.h"
#include "scale/counter.h"
#include "simulation/server_model.h"

namespace rushhill::scale {

// Time until a connection that does not come up is given up; as the node's where none is told.
constexpr Time connect_limit = 2'500;

// What a router lives in. One of these is varied at a time.
struct Sizes {
  int servers = 1'000;
  int functions = 15'000;
  double requests = 162;  // a second, at this router
  int routers = 680;
  int tenants = 0;
  bool even = false;     // functions are called alike often, one after the other; else a few most of the time
  bool probing = false;  // load reports are asked for, and told to all routers
};

std::string server_name(int number);
std::string location_of(int number);  // zone and region, by turns, of servers and of routers
std::string region_of(const std::string& location);
std::string function_name(int number);
std::vector<Endpoint> server_list(int servers);
RoutingConfiguration deployment_of(const Sizes& sizes);

// Which function is called next.
class Calls {
 public:
  Calls(const Sizes& sizes, std::uint64_t seed);
  int next();

 private:
  int functions_, last_ = 0;
  std::ranlux24_base chance_;
  std::discrete_distribution<int> drawn_;  // none: in turn
  bool even_;
};

// The routing policy behind its interface. Servers answer after a fixed work and load what they lack.
class HollowModule final : private RoutingHost {
 public:
  HollowModule(const Sizes& sizes, Counter& counter, std::uint64_t seed = 1);
  ~HollowModule() override;

  void pass(Time span);     // with its requests, answers and timers
  void request();           // one now, beside those that come by themselves
  void change(int server);  // one server has started anew: a list of one entry
  void whole_list();
  void clear();  // the meters
  std::size_t functions_met() const { return met_.size(); }
  double end();  // of the module; what it held, in bytes of the allocator

  Meter requests, ticks, lists;  // a request: event, its attempts' ends, its limit's timer
  std::int64_t taken = 0, attempts = 0, rejected = 0, abandoned = 0, cold = 0;
  std::int64_t messages = 0, message_bytes = 0;  // to peers, before they fan out

 private:
  struct Due {
    Time at = 0;
    std::int64_t token = 0;  // of a timer; else an attempt's end
    RequestId event = 0;
    std::size_t server = 0;
    Time sent = 0;
    bool found = true, is_end = false;
    bool operator>(const Due& other) const { return at > other.at; }
  };

  void send_attempt(RequestId event, const EndpointId& server, Duration timeout) override;
  void cancel_attempt(RequestId, int) override {}
  void reject(RequestId event, Duration) override { ++rejected, function_of_.erase(event); }
  void fail(RequestId event) override { ++abandoned, function_of_.erase(event); }
  void set_timer(std::int64_t token, Timestamp at) override;
  void probe(const EndpointId& server) override;
  void close_idle(const EndpointId&) override {}
  void prewarm(const EndpointId&, const FunctionId&, int) override {}
  void evict(const EndpointId&, const FunctionId&) override {}
  void send_gossip(int, const std::string& bytes) override;
  void watch_endpoints(bool) override {}
  void resync_endpoints() override {}
  void log(const std::string&) override {}
  void ring(const Due& due);

  Sizes sizes_;
  std::vector<Endpoint> list_;
  std::vector<std::string> functions_;
  std::map<EndpointId, std::size_t> place_;
  Calls calls_;
  Time now_ = 10'000, changes_ = 0;
  double next_request_ = 10'000;
  RequestId last_ = 0;
  int calling_ = 0;    // function of the request being taken
  std::set<int> met_;  // functions
  std::map<RequestId, int> function_of_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::vector<EndpointId> probed_;
  std::map<std::pair<std::size_t, int>, Time> warm_;  // copy: server and function, last used
  std::unique_ptr<RoutingPolicy> router_;
};

// Servers by the emulator's model, for any number of hollow routers.
class HollowServers {
 public:
  HollowServers(core::TimerService& clock, int servers, int functions);
  ~HollowServers();
  simulation::ServerModel& at(const EndpointId& server);
  const simulation::FunctionSpec& function(const std::string& name) const { return functions_.at(name); }
  core::TimerService& clock() { return clock_; }
  std::vector<core::EndpointListEntry> list() const;
  // A machine that is gone is silent: what it had in hand is never heard of, and no connection comes up.
  void stop(const EndpointId& server);
  void start(const EndpointId& server);  // cold
  bool stopped(const EndpointId& server) const { return stopped_.contains(server); }
  // From now on, or no longer, nothing passes between routers and servers of different regions.
  void part_regions(bool on) { parted_ = on; }
  bool reached(const std::string& region, const EndpointId& server) const;

 private:
  core::TimerService& clock_;
  simulation::ModelStore store_;
  std::map<std::string, simulation::FunctionSpec> functions_;
  std::map<EndpointId, std::unique_ptr<simulation::ServerModel>> machines_;
  std::set<EndpointId> stopped_;
  bool parted_ = false;
};

// Core and module; its connections to servers and clients are calls.
class HollowRouter final : private core::UpstreamTransport,
                           private core::Client,
                           private core::EndpointListSource,
                           private core::EventLog {
 public:
  HollowRouter(const RoutingConfiguration& deployment, HollowServers& servers, core::PeerMessenger& peers,
               std::uint64_t seed);
  ~HollowRouter() override;

  bool request(const std::string& function, RequestId number);  // false: no room
  core::Gateway& gateway() { return gateway_; }
  std::int64_t answered = 0, in_time = 0, given_up = 0;  // requests
  std::int64_t cold = 0, cold_in_time = 0;  // answers that waited for a load; of these, within 0.45 s

 private:
  void send(const core::AttemptCall& call) override;
  void hear(const std::pair<RequestId, int>& attempt, const simulation::JobResult& end);
  void cancel(RequestId event, int leg) override;
  bool cancel_unsent(RequestId, int) override { return false; }
  void cancel_all_unsent(const EndpointId&) override {}
  void probe(const EndpointId& server, Duration limit) override;
  void prewarm(const EndpointId& server, const FunctionId& function, int copies, Duration limit) override;
  void evict(const EndpointId&, const FunctionId&) override {}
  void close_idle(const EndpointId&) override {}
  void set_address(const EndpointId&, const std::string&) override {}
  void succeeded(RequestId event, events::CloudEvent reply) override;
  void rejected(RequestId event, Duration come_back) override;
  void failed(RequestId event) override;
  void watch(bool) override {}
  void resync() override {}
  bool wants(core::Level) const override { return false; }
  void write(core::Level, const char*, Fields) override {}

  HollowServers& servers_;
  std::map<RequestId, std::pair<std::string, Time>> open_;  // function, when it came
  std::map<std::pair<RequestId, int>, std::pair<EndpointId, simulation::ServerModel::JobId>> jobs_;
  std::shared_ptr<int> life_ = std::make_shared<int>(0);
  std::string calling_, region_;
  core::Gateway gateway_;
  admission::Shares::Source source_;
};

}  // namespace rushhill::scale

// The real core with its routing policy, whose connections to servers and clients are plain calls.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "core/client.h"
#include "core/endpoint_list_source.h"
#include "core/event_log.h"
#include "core/gateway.h"
#include "core/peer_messenger.h"
#include "core/upstream_transport.h"
#include "scale/simulated_servers.h"
#include "simulation/server_model.h"

namespace rushhill::scale {

// How the requests of one or several routers ended.
struct RequestOutcomes {
  std::int64_t answered = 0;
  std::int64_t in_time = 0;       // of those answered: within the latency target
  std::int64_t given_up = 0;      // rejected or failed
  std::int64_t cold = 0;          // answers that waited for a load
  std::int64_t cold_in_time = 0;  // of those cold: within the target of a cold start

  // Answered, but later than the latency target.
  std::int64_t late() const { return answered - in_time; }
  RequestOutcomes& operator+=(const RequestOutcomes& other);
};
// What `after` counts beyond `before`.
RequestOutcomes operator-(const RequestOutcomes& after, const RequestOutcomes& before);

// Drops messages to other routers.
class NoPeers final : public core::PeerMessenger {
 public:
  void send(int /*router*/, const std::string& /*bytes*/) override {}
};

// One router on simulated servers.
class GatewayHarness final : private core::UpstreamTransport,
                             private core::Client,
                             private core::EndpointListSource,
                             private core::EventLog {
 public:
  GatewayHarness(const RoutingConfiguration& configuration, SimulatedServers& servers,
                 core::PeerMessenger& peers, std::uint64_t seed);
  GatewayHarness(const GatewayHarness&) = delete;
  GatewayHarness& operator=(const GatewayHarness&) = delete;
  GatewayHarness(GatewayHarness&&) = delete;
  GatewayHarness& operator=(GatewayHarness&&) = delete;
  ~GatewayHarness() override;

  // Sends a request as a client does. False: not accepted, since there is no capacity.
  bool request(const std::string& function, RequestId number);

  core::Gateway& gateway() { return gateway_; }
  const RequestOutcomes& outcomes() const { return outcomes_; }

 private:
  // A request that has not been answered yet.
  struct OpenRequest {
    std::string function{};
    Time accepted = 0;
  };
  // An attempt that has not ended yet.
  struct RunningAttempt {
    EndpointId server{};
    simulation::ServerModel::JobId job = 0;
  };
  using AttemptKey = std::pair<RequestId, int>;  // request and number of the attempt

  void send(const core::AttemptCall& call) override;
  void cancel(RequestId request, int attempt_number) override;
  bool cancel_unsent(RequestId /*request*/, int /*attempt_number*/) override { return false; }
  void cancel_all_unsent(const EndpointId& /*endpoint*/) override {}
  void probe(const EndpointId& endpoint, Duration timeout) override;
  void prewarm(const EndpointId& endpoint, const FunctionId& function, int copies, Duration timeout) override;
  void evict(const EndpointId& /*endpoint*/, const FunctionId& /*function*/) override {}
  void close_idle_connections(const EndpointId& /*endpoint*/) override {}
  void set_address(const EndpointId& /*endpoint*/, const std::string& /*address*/) override {}
  void succeeded(RequestId request, events::CloudEvent reply) override;
  void rejected(RequestId request, Duration retry_after) override;
  void failed(RequestId request) override;
  void watch(bool /*on*/) override {}
  void resync() override {}
  bool should_log(core::Level /*level*/) const override { return false; }
  void write(core::Level /*level*/, const char* /*name*/, Fields /*fields*/) override {}

  void fail_to_connect(const AttemptKey& attempt, const EndpointId& server);
  void end_attempt(const AttemptKey& attempt, const simulation::JobResult& end);
  void count_cold_answer(RequestId request);

  SimulatedServers& servers_;
  std::map<RequestId, OpenRequest> open_;
  std::map<AttemptKey, RunningAttempt> attempts_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);  // calls put off are void once this is gone
  std::string accepting_;  // the function of the request that is being accepted
  std::string region_;
  RequestOutcomes outcomes_;
  core::Gateway gateway_;
  admission::SourceQuotas::Source source_;
};

}  // namespace rushhill::scale

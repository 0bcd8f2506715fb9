// A router: the connection pool, peer links, service discovery, the gateway and the frontends on one reactor.
// `rushhill serve` and the end-to-end tests run it.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "core/event_log.h"
#include "core/gateway.h"
#include "core/request_reader.h"
#include "deployment/deployment_file.h"
#include "frontends/http_front.h"
#include "frontends/mqtt_front.h"
#include "membership/endpoint_list_client.h"
#include "router/replicated_state.h"
#include "router/saved_endpoint_list.h"
#include "transport/peer_links.h"
#include "transport/reactor.h"
#include "transport/server_pool.h"

namespace rushhill::router {

class RouterProcess {
 public:
  // Starts to listen; throws if an address cannot be bound.
  RouterProcess(transport::Reactor& reactor, const deployment::DeploymentConfiguration& configuration,
                std::uint64_t seed, core::EventLog& event_log, const StorageAccess& storage = {});
  ~RouterProcess();
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;

  transport::Address address() const { return address_; }
  core::Gateway& gateway() { return gateway_; }
  transport::ServerPool& pool() { return pool_; }
  frontends::MqttFront* mqtt() { return mqtt_.get(); }  // nullptr without a broker

  // Accepts no further connections and messages, and calls `on_drained` once no request and no connection is
  // open or the configured drain timeout is over.
  void start_draining(std::function<void()> on_drained);
  bool draining() const { return drain_deadline_ != 0; }
  // Returns the counters as one line of JSON.
  std::string tally() const;

 private:
  void endpoints_updated(EndpointListForm form, const std::vector<core::EndpointListEntry>& entries);
  void use_saved_list_later(membership::EndpointListMessage list);
  void use_saved_list(const char* reason);
  void finish_when_drained(const std::function<void()>& on_drained);

  transport::Reactor& reactor_;
  const deployment::DeploymentConfiguration
      configuration_;                         // its client connections limited to the available descriptors
  const std::size_t max_server_connections_;  // 0: unlimited
  core::EventLog& event_log_;
  transport::ServerPool pool_;
  std::unique_ptr<transport::PeerLinks> peers_;
  std::unique_ptr<ReplicatedState> replicated_state_;  // nullptr if nothing is replicated
  std::unique_ptr<membership::EndpointListClient> discovery_;
  std::unique_ptr<SavedEndpointList> saved_list_;  // nullptr if no file is configured
  core::Gateway gateway_;
  core::RequestReader request_reader_;
  frontends::HttpFront frontend_;
  std::unique_ptr<frontends::MqttFront> mqtt_;
  transport::Address address_;
  Time drain_deadline_ = 0;
  // Read at the start; no list from discovery has come yet.
  std::optional<membership::EndpointListMessage> unused_saved_list_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace rushhill::router

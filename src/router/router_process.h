// One router put together: pool, peers, roster, core and front on one reactor. What `rushhill serve` runs,
// and the end-to-end tests.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/event_log.h"
#include "core/gateway.h"
#include "core/request_reader.h"
#include "deployment/deployment_file.h"
#include "frontends/http_front.h"
#include "frontends/mqtt_front.h"
#include "membership/roster_client.h"
#include "router/remembered_endpoint_list.h"
#include "router/shared_state.h"
#include "transport/peer_links.h"
#include "transport/reactor.h"
#include "transport/server_pool.h"

namespace rushhill::router {

class RouterProcess {
 public:
  // Listens at once; throws where an address cannot be had.
  RouterProcess(transport::Reactor& reactor, const deployment::DeploymentConfiguration& configuration,
                std::uint64_t seed, core::EventLog& diary, const StorageAccess& storage = {});
  ~RouterProcess();
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;

  transport::Address address() const { return address_; }
  core::Gateway& gateway() { return gateway_; }
  transport::ServerPool& pool() { return pool_; }
  frontends::MqttFront* mqtt() { return mqtt_.get(); }  // none: no broker

  // Takes nothing more and calls `ended` once nothing is open, or when the told time is up.
  void start_draining(std::function<void()> ended);
  bool draining() const { return end_by_ != 0; }
  // The counts as one line of JSON.
  std::string tally() const;

 private:
  void wait_for_end(const std::function<void()>& ended);

  transport::Reactor& reactor_;
  const deployment::DeploymentConfiguration
      configuration_;                     // with no more connections than there are descriptors for
  const std::size_t server_connections_;  // 0: no bound
  core::EventLog& diary_;
  transport::ServerPool pool_;
  std::unique_ptr<transport::PeerLinks> peers_;
  std::unique_ptr<SharedState> shared_;  // none: nothing is held together
  std::unique_ptr<membership::RosterClient> roster_;
  std::unique_ptr<RememberedEndpointList> remembered_list_;  // none: no file is named for it
  core::Gateway gateway_;
  core::RequestReader intake_;
  frontends::HttpFront front_;
  std::unique_ptr<frontends::MqttFront> mqtt_;
  transport::Address address_;
  Time end_by_ = 0;
  std::shared_ptr<int> life_ = std::make_shared<int>(0);
};

}  // namespace rushhill::router

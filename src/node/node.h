// A router on the platform: the FastCGI frontend, the gateway, the connection pool of the line protocol,
// service discovery and the peer links on one reactor. `rushhill node` and the end-to-end tests run it.
#pragma once

#include <functional>
#include <memory>

#include "core/event_log.h"
#include "core/gateway.h"
#include "core/memory_budgets.h"
#include "frontends/fastcgi_front.h"
#include "membership/platform_discovery_client.h"
#include "node/configuration.h"
#include "transport/descriptors.h"
#include "transport/reactor.h"
#include "transport/unframed_peer_links.h"
#include "upstream/line_pool.h"

namespace rushhill::node {

class Node {
 public:
  // Starts to listen; throws if an address cannot be bound. `configuration.sockets` is the number of file
  // descriptors that the router may still open.
  // Takes the configuration, whose endpoint list may be large and is not needed any more afterwards.
  Node(transport::Reactor& reactor, Configuration configuration, core::EventLog& event_log);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  transport::Address address() const { return address_; }
  core::Gateway& gateway() { return gateway_; }
  upstream::LinePool& pool() { return pool_; }
  const frontends::FastCgiFront& front() const { return frontend_; }

  // Applies a reloaded configuration: switches to its discovery address and applies the updates of its
  // endpoint list that discovery has not sent yet. Other settings take effect after a restart only; the log
  // warns if one has changed.
  void reconfigure(const Configuration& configuration);
  // Accepts requests for a short span, since clients learn of the shutdown later, and calls `on_drained` once
  // all requests are answered or the time that the platform allows is over.
  void start_draining(std::function<void()> on_drained);

 private:
  void finish_when_drained(const std::function<void()>& on_drained);
  void wait_for_clients_to_close(const std::function<void()>& on_drained, Time until);
  void schedule_check(std::function<void()> check);

  transport::Reactor& reactor_;
  core::EventLog& event_log_;
  transport::DescriptorShares descriptor_shares_;
  core::MemoryBudgets memory_;
  upstream::LinePool pool_;
  std::unique_ptr<transport::UnframedPeerLinks> peers_;
  std::unique_ptr<membership::PlatformDiscoveryClient> discovery_;
  core::Gateway gateway_;
  frontends::FastCgiFront frontend_;
  transport::Address address_;
  Time accept_until_ = 0, drain_deadline_ = 0;
  Time longest_deadline_span_ = 0;
  std::string fixed_settings_;  // those that a reload does not change, as text
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace rushhill::node

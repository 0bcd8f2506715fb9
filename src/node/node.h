// One router on the platform put together: FastCGI front, core, line pool, notice board and peers on one
// reactor. What `rushhill node` runs, and the end-to-end tests.
#pragma once

#include <functional>
#include <memory>

#include "core/event_log.h"
#include "core/gateway.h"
#include "frontends/fastcgi_front.h"
#include "membership/board_client.h"
#include "node/configuration.h"
#include "transport/bare_peers.h"
#include "transport/descriptors.h"
#include "transport/reactor.h"
#include "upstream/line_pool.h"

namespace rushhill::node {

class Node {
 public:
  // Listens at once; throws where an address cannot be had. `told.sockets`: descriptors that are free for it.
  Node(transport::Reactor& reactor, const Configuration& told, core::EventLog& diary);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  transport::Address address() const { return address_; }
  core::Gateway& gateway() { return gateway_; }
  upstream::LinePool& pool() { return pool_; }
  const frontends::FastCgiFront& front() const { return front_; }

  // The configuration has been replaced: follows discovery to its address and takes from its server list what
  // discovery has not told yet. All else stays as it was at the start, and the log says so where it differs.
  void reconfigure(const Configuration& changed);
  // Goes on through the span in which requests still come, then ends once all is answered.
  void start_draining(std::function<void()> ended);

 private:
  void wait_for_end(const std::function<void()>& ended);
  void take_leave(const std::function<void()>& ended, Time until);
  void look_again(std::function<void()> look);

  transport::Reactor& reactor_;
  core::EventLog& diary_;
  transport::DescriptorShares shares_;
  upstream::LinePool pool_;
  std::unique_ptr<transport::BarePeers> peers_;
  std::unique_ptr<membership::BoardClient> board_;
  core::Gateway gateway_;
  frontends::FastCgiFront front_;
  transport::Address address_;
  Time requests_until_ = 0, end_by_ = 0;
  Time longest_limit_ = 0;
  std::string fixed_;  // what of the configuration a reload does not change
  std::shared_ptr<int> life_ = std::make_shared<int>(0);
};

}  // namespace rushhill::node

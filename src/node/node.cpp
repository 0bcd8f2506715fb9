#include "node/node.h"

#include <algorithm>
#include <string>
#include <utility>

#include "core/endpoint_list_source.h"
#include "core/peer_messenger.h"
#include "membership/platform_discovery_client.h"

namespace rushhill::node {
namespace {

// Times are in tenths of a millisecond.
constexpr Time shutdown_check_interval = 100;
// Clients may send requests for 0.6 s after the shutdown signal, and requests that arrive within 0.7 s have
// to be answered.
constexpr Time acceptance_span = 8'000;
// The platform kills a router 0.7 s plus the longest deadline after the shutdown signal, where the deadline
// counts as 3 s at most. The router may notice the signal one iteration of an idle loop late, and has to
// answer every request before it is killed.
constexpr Time shutdown_kill_delay = 7'000;
constexpr Time max_counted_deadline = 30'000;
constexpr Time max_signal_delay = 1'000;
constexpr Time kill_margin = 1'000;
constexpr Time answer_delivery_timeout = 1'000;  // after the drain deadline, for clients that read slowly
constexpr Time client_close_timeout = 1'000;     // for clients to see the end of the connection and close it

// File descriptors kept out of the connection shares: one for the listener, two for service discovery, and
// one each for the peers' socket, the file that is read on SIGHUP, and a connection that is accepted only to
// be refused. The log's descriptor is already open when descriptors are counted.
constexpr std::size_t reserved_descriptors = 6;

constexpr std::size_t bytes_per_mb = 1024 * 1024;

// Fraction of the servers' idle timeout after which the router closes a connection, so that it closes first.
constexpr double idle_timeout_fraction = 0.66;

class NoPeers final : public core::PeerMessenger {
 public:
  void send(int, const std::string&) override {}
} no_peers;

}  // namespace

Node::Node(transport::Reactor& reactor, Configuration configuration, core::EventLog& event_log)
    : reactor_(reactor), event_log_(event_log),
      descriptor_shares_(transport::share_descriptors(configuration.sockets, reserved_descriptors)),
      memory_(configuration.memory_mb * bytes_per_mb),
      pool_(reactor,
            {.requests_per_connection = std::max(configuration.routing.requests_per_connection, 1),
             .connections = descriptor_shares_.servers,
             .connect_limit = configuration.routing.connect_timeout > Duration::zero()
                                  ? to_ticks(configuration.routing.connect_timeout)
                                  : 2'500,
             .idle = static_cast<Time>(
                 static_cast<double>(to_ticks(configuration.routing.connection_idle_timeout)) *
                 idle_timeout_fraction),
             .reports = configuration.routing.reports.load_reports != "" &&
                        configuration.routing.reports.load_reports != "none",
             .memory = &memory_.upstream},
            event_log),
      peers_(!configuration.routing.reports.gossip
                 ? nullptr
                 : std::make_unique<transport::UnframedPeerLinks>(
                       reactor, transport::numeric_address(configuration.peer_listen),
                       configuration.routing.router_number, configuration.peers,
                       configuration.broadcast_address,
                       [this](int router, const std::string& bytes) {
                         gateway_.gossip_received(router, bytes);
                       })),
      discovery_(std::make_unique<membership::PlatformDiscoveryClient>(
          reactor, transport::numeric_address(configuration.discovery),
          configuration.initial_endpoint_list.revision, configuration.seed, event_log,
          [this](EndpointListForm form, const std::vector<core::EndpointListEntry>& entries) {
            gateway_.endpoints_updated(form, entries);
          })),
      gateway_(configuration.routing, configuration.seed,
               {.clock = reactor,
                .upstream = pool_,
                .peers = peers_ ? static_cast<core::PeerMessenger&>(*peers_) : no_peers,
                .endpoint_lists = *discovery_,
                .log = event_log,
                .request_memory = &memory_.requests}),
      frontend_(reactor, gateway_, event_log, {.connections = descriptor_shares_.clients}, memory_) {
  pool_.report_to(gateway_);
  const membership::Known initial = discovery_->translated(std::move(configuration.initial_endpoint_list));
  // The gateway first receives one cached list, which may be empty, and then the later updates.
  bool first = true;
  for (const membership::WatchEvent& update : initial.notices) {
    const bool complete = std::exchange(first, false) || update.whole;
    gateway_.endpoints_updated(complete ? EndpointListForm::cached : EndpointListForm::delta, update.entries);
  }
  if (first) gateway_.endpoints_updated(EndpointListForm::cached, {});
  if (!configuration.routing.endpoint_watch_on_request) discovery_->watch(true);
  for (const RequestClass& request_class : configuration.routing.request_classes)
    longest_deadline_span_ = std::max(longest_deadline_span_, to_ticks(request_class.deadline_span));
  fixed_settings_ = std::move(configuration.fixed_settings);
  frontend_.ready(true);
  address_ = frontend_.listen(transport::numeric_address(configuration.listen));
  event_log.write(core::Level::info, "serving",
                  {{"address", address_.toString()}, {"name", configuration.name}});
}
Node::~Node() = default;

void Node::reconfigure(const Configuration& configuration) {
  event_log_.write(core::Level::info, "configuration read again", {{"board", configuration.discovery}});
  if (configuration.fixed_settings != fixed_settings_)
    event_log_.write(core::Level::warning, "changed settings, limits and addresses take effect at a restart",
                     {});
  discovery_->apply_newer_events(configuration.initial_endpoint_list);
  discovery_->move_to(transport::numeric_address(configuration.discovery));
}

void Node::start_draining(std::function<void()> on_drained) {
  if (drain_deadline_ != 0) return;
  const Time now = reactor_.now();
  const Time kill_time = now + std::min(longest_deadline_span_, max_counted_deadline) + shutdown_kill_delay;
  drain_deadline_ = kill_time - max_signal_delay - kill_margin;
  accept_until_ = std::min(now + acceptance_span, drain_deadline_);
  frontend_.answer_by(drain_deadline_);
  event_log_.write(core::Level::info, "winding up", {{"open", std::to_string(gateway_.open_requests())}});
  finish_when_drained(on_drained);
}

// The router is drained once every request received is read and answered and the answers are sent. Requests
// that are still open at the drain deadline are answered as expired, since the router may be killed soon
// after it.
void Node::finish_when_drained(const std::function<void()>& on_drained) {
  const Time now = reactor_.now();
  if (now >= accept_until_) frontend_.stop_listening();
  if (now >= drain_deadline_) gateway_.expire_all();
  const bool drained = now >= accept_until_ && gateway_.open_requests() == 0 && !gateway_.any_client_waits();
  if (drained && (frontend_.all_sent() || now >= drain_deadline_ + answer_delivery_timeout)) {
    frontend_.finish();
    return wait_for_clients_to_close(on_drained, now + client_close_timeout);
  }
  schedule_check([this, on_drained] { finish_when_drained(on_drained); });
}

// Closing a connection that holds unread data resets it, which can lose an answer in transit. Clients
// therefore get some time to close their connections first.
void Node::wait_for_clients_to_close(const std::function<void()>& on_drained, Time until) {
  if (frontend_.connections() == 0 || reactor_.now() >= until) return on_drained();
  schedule_check([this, on_drained, until] { wait_for_clients_to_close(on_drained, until); });
}

void Node::schedule_check(std::function<void()> check) {
  reactor_.at(reactor_.now() + shutdown_check_interval,
              [check = std::move(check), alive = std::weak_ptr(alive_)] {
                if (!alive.expired()) check();
              });
}

}  // namespace rushhill::node

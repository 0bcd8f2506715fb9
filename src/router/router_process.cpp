#include "router/router_process.h"

#include <sys/resource.h>

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/deduplication_log.h"
#include "core/endpoint_list_source.h"
#include "core/peer_messenger.h"
#include "transport/descriptors.h"

namespace rushhill::router {
namespace {

using core::Level;

// Tenths of a millisecond.
constexpr Time shutdown_check_interval = 100;
// How long discovery is asked at most before the saved list is used. That list may name servers that have
// left, if the router was killed before it could save their departure.
constexpr Time max_saved_list_delay = 10'000;

class NoPeers final : public core::PeerMessenger {
 public:
  void send(int, const std::string&) override {}
} no_peers;
class NoDiscovery final : public core::EndpointListSource {
 public:
  void watch(bool) override {}
  void resync() override {}
} no_discovery;

// The saved endpoint list keeps the servers' start times in Unix time, so they are not shifted on reading
// or writing.
constexpr Time no_wall_offset = 0;

// File descriptors kept out of the connection shares: those of the listeners, service discovery, the broker
// connection of each MQTT topic, the links between routers, the file of the endpoint list or of the counts,
// and a client that is accepted only to be refused. The log's descriptor is already open when descriptors are
// counted.
std::size_t reserved_descriptors(const deployment::DeploymentConfiguration& configuration) {
  constexpr std::size_t listener_file_and_refused = 3;
  const bool replicated = !configuration.replication.listen.empty();
  return listener_file_and_refused + (configuration.routing.reports.gossip ? 1 : 0) +
         (configuration.discovery.address.empty() ? 0 : 1) +
         (configuration.mqtt.address.empty() ? 0 : configuration.mqtt.topics.size()) +
         (replicated ? 2 + max_replica_links(configuration) : 0);
}
transport::DescriptorShares descriptor_shares(const deployment::DeploymentConfiguration& configuration) {
  if (configuration.descriptors == 0) return {};
  return transport::share_descriptors(configuration.descriptors, reserved_descriptors(configuration));
}
deployment::DeploymentConfiguration with_connection_limit(deployment::DeploymentConfiguration configuration) {
  const auto clients =
      static_cast<int>(std::min<std::size_t>(descriptor_shares(configuration).clients, 1'000'000));
  if (clients > 0) configuration.http.connections = std::min(configuration.http.connections, clients);
  return configuration;
}

// A complete list may lack servers that have left.
SaveUrgency urgency_of(EndpointListForm form, const std::vector<core::EndpointListEntry>& entries) {
  const bool leaves =
      form == EndpointListForm::complete || std::ranges::any_of(entries, [](const auto& entry) {
        return entry.endpoint.state != EndpointState::active;
      });
  return leaves ? SaveUrgency::server_leaves : SaveUrgency::normal;
}

membership::EndpointListMessage complete_list(const membership::CurrentEndpointList& remembered) {
  membership::EndpointListMessage list = remembered.whole();
  list.form = EndpointListForm::complete;
  return list;
}

double to_seconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
}

}  // namespace

RouterProcess::RouterProcess(transport::Reactor& reactor,
                             const deployment::DeploymentConfiguration& configuration, std::uint64_t seed,
                             core::EventLog& event_log, const StorageAccess& storage)
    : reactor_(reactor), configuration_(with_connection_limit(configuration)),
      max_server_connections_(descriptor_shares(configuration).servers), event_log_(event_log),
      pool_(reactor,
            {.router = configuration.routing.router_number,
             .connections = configuration.server_connections.connections,
             .total = max_server_connections_,
             .connect_limit = to_ticks(configuration.routing.connect_timeout),
             .idle = to_ticks(configuration.routing.connection_idle_timeout),
             .reply = configuration.server_connections.reply},
            event_log),
      peers_(!configuration.routing.reports.gossip
                 ? nullptr
                 : std::make_unique<transport::PeerLinks>(reactor, configuration.peers.listen,
                                                          configuration.routing.router_number,
                                                          configuration.peers.addresses,
                                                          [this](int router, const std::string& bytes) {
                                                            gateway_.gossip_received(router, bytes);
                                                          })),
      replicated_state_(configuration.replication.listen.empty()
                            ? nullptr
                            : std::make_unique<ReplicatedState>(
                                  reactor, configuration, seed, event_log,
                                  [this](double orders) { gateway_.load_budget_restored(orders); },
                                  [this](RequestId request, core::AdmissionVerdict verdict) {
                                    gateway_.admission_decided(request, verdict);
                                  })),
      discovery_(
          configuration.discovery.address.empty()
              ? nullptr
              : std::make_unique<membership::EndpointListClient>(
                    reactor, transport::numeric_address(configuration.discovery.address),
                    configuration.routing.router_number, configuration.discovery.retry, seed, event_log,
                    [this](EndpointListForm form, const std::vector<core::EndpointListEntry>& entries) {
                      endpoints_updated(form, entries);
                    })),
      saved_list_(!discovery_ || configuration.discovery.remembered.empty()
                      ? nullptr
                      : std::make_unique<SavedEndpointList>(
                            reactor, event_log, storage, configuration.discovery.remembered, seed,
                            [this] {
                              return EndpointListSnapshot{.list = complete_list(discovery_->remembered()),
                                                          .wall_offset = no_wall_offset};
                            })),
      gateway_(
          configuration.routing, seed,
          {.clock = reactor,
           .upstream = pool_,
           .peers = peers_ ? static_cast<core::PeerMessenger&>(*peers_) : no_peers,
           .endpoint_lists = discovery_ ? static_cast<core::EndpointListSource&>(*discovery_) : no_discovery,
           .log = event_log,
           .deduplication = replicated_state_.get()}),
      request_reader_(configuration.routing, configuration.class_of_event_type),
      frontend_(reactor, gateway_, request_reader_, event_log,
                {.connections = configuration_.http.connections,
                 .body = configuration.http.body,
                 .batch = configuration.http.batch,
                 .request_within = configuration.http.head_within,
                 .idle = configuration.http.idle,
                 .weight = configuration.http.weight,
                 .drain_timeout = configuration.http.drain_timeout,
                 .retry_after = configuration.routing.retries.retry_after
                                    ? to_ticks(configuration.routing.retries.max_retry_after)
                                    : 0}) {
  pool_.report_to(gateway_);
  if (replicated_state_) frontend_.standing([this] { return replicated_state_->status_text(); });
  if (saved_list_) frontend_.more_metrics([this] { return to_prometheus(saved_list_->writes()); });
  membership::EndpointListMessage cached_list =
      read_saved_list(*storage.files, configuration.discovery.remembered, no_wall_offset, event_log);
  membership::StartTimeTranslator local_start_times;
  membership::StartTimeTranslator& start_times = discovery_ ? discovery_->start_times() : local_start_times;
  start_times.translate_snapshot(membership::read_clocks(reactor),
                                 membership::latest_start(cached_list.entries), cached_list.form,
                                 cached_list.entries);
  if (discovery_ && !cached_list.entries.empty()) {
    gateway_.endpoints_updated(cached_list.form, {});
    use_saved_list_later(std::move(cached_list));
  } else {
    gateway_.endpoints_updated(cached_list.form, cached_list.entries);
  }
  if (discovery_ && !configuration.routing.endpoint_watch_on_request) discovery_->watch(true);
  if (!configuration.mqtt.address.empty())
    mqtt_ = std::make_unique<frontends::MqttFront>(reactor, gateway_, request_reader_, event_log,
                                                   configuration.mqtt, seed);
  const std::string& listen_address = configuration.http.listen;
  address_ = listen_address.starts_with("fd:")
                 ? frontend_.listen_inherited(std::stoi(listen_address.substr(3)))
                 : frontend_.listen(transport::numeric_address(listen_address), true);
  event_log.write(Level::info, "serving", {{"address", address_.toString()}, {"seed", std::to_string(seed)}});
}

RouterProcess::~RouterProcess() = default;

void RouterProcess::endpoints_updated(EndpointListForm form,
                                      const std::vector<core::EndpointListEntry>& entries) {
  gateway_.endpoints_updated(form, entries);
  if (form == EndpointListForm::failed) {
    if (discovery_->unreachable()) use_saved_list("service discovery cannot be reached");
    return;
  }
  unused_saved_list_.reset();
  frontend_.ready(true);
  if (saved_list_) saved_list_->schedule_save(urgency_of(form, entries));
}

// Until then requests wait, as they do without any server.
void RouterProcess::use_saved_list_later(membership::EndpointListMessage list) {
  unused_saved_list_ = std::move(list);
  reactor_.at(reactor_.now() + max_saved_list_delay, [this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) use_saved_list("service discovery does not answer");
  });
}

void RouterProcess::use_saved_list(const char* reason) {
  if (!unused_saved_list_) return;
  event_log_.write(Level::info, "saved endpoint list is used", {{"reason", reason}});
  gateway_.endpoints_updated(unused_saved_list_->form, unused_saved_list_->entries);
  unused_saved_list_.reset();
}

void RouterProcess::start_draining(std::function<void()> on_drained) {
  if (draining()) return;
  drain_deadline_ = reactor_.now() + std::max<Time>(configuration_.http.drain_timeout, 1);
  event_log_.write(Level::info, "winding up", {{"open", std::to_string(gateway_.open_requests())}});
  frontend_.start_draining();
  if (mqtt_) mqtt_->start_draining();
  if (saved_list_) saved_list_->flush();
  finish_when_drained(on_drained);
}

void RouterProcess::finish_when_drained(const std::function<void()>& on_drained) {
  const bool drained =
      gateway_.open_requests() == 0 && frontend_.connections() == 0 && (!mqtt_ || mqtt_->idle());
  if (drained || reactor_.now() >= drain_deadline_) return on_drained();
  reactor_.at(reactor_.now() + shutdown_check_interval, [this, on_drained, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) finish_when_drained(on_drained);
  });
}

std::string RouterProcess::tally() const {
  const core::Counters& tally = gateway_.tally();
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  return nlohmann::json{{"router", configuration_.routing.router_number},
                        {"taken", tally.accepted},
                        {"honoured", tally.succeeded},
                        {"shed", tally.rejected},
                        {"abandoned", tally.failed},
                        {"known", tally.duplicates},
                        {"not_held", tally.not_replicated},
                        {"gone", tally.cancelled},
                        {"refused", tally.not_accepted},
                        {"overdue", tally.expired},
                        {"http_requests", frontends::to_text(frontend_.counts())},
                        {"shots", tally.attempts},
                        {"attempts_after_cancel", tally.attempts_after_cancel},
                        {"probes", tally.probes},
                        {"orders", tally.prewarms},
                        {"told", tally.gossip_messages},
                        {"endings", tally.outcomes},
                        {"open", gateway_.open_requests()},
                        {"module_seconds", static_cast<double>(gateway_.policy_time_ns()) / 1e9},
                        {"cpu_seconds", to_seconds(used.ru_utime) + to_seconds(used.ru_stime)},
                        {"peak_memory_kib", used.ru_maxrss}}
      .dump();
}

}  // namespace rushhill::router

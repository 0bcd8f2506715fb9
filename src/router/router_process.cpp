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

constexpr Time look_every = 100;  // tenths of a millisecond between looks whether all is wound up

class NoPeers final : public core::PeerMessenger {
 public:
  void send(int, const std::string&) override {}
} no_peers;
class NoRoster final : public core::EndpointListSource {
 public:
  void watch(bool) override {}
  void resync() override {}
} no_roster;

// The remembered list keeps start times in Unix time, as they were told: nothing is taken off them.
constexpr Time starts_as_told = 0;

// Descriptors that no client and no server gets: the listeners', the roster's, the broker's for each topic,
// the links' between routers, the file's of the remembered list or of the counts, and one of a client that is
// refused. The log's is open before any is counted.
std::size_t reserve(const deployment::DeploymentConfiguration& configuration) {
  constexpr std::size_t listener_file_and_refused = 3;
  const bool links = !configuration.replication.listen.empty();
  return listener_file_and_refused + (configuration.routing.reports.gossip ? 1 : 0) +
         (configuration.discovery.address.empty() ? 0 : 1) +
         (configuration.mqtt.address.empty() ? 0 : configuration.mqtt.topics.size()) +
         (links ? 2 + most_links_of(configuration) : 0);
}
transport::DescriptorShares shares_of(const deployment::DeploymentConfiguration& configuration) {
  if (configuration.descriptors == 0) return {};
  return transport::share_descriptors(configuration.descriptors, reserve(configuration));
}
deployment::DeploymentConfiguration bounded(deployment::DeploymentConfiguration configuration) {
  const auto clients = static_cast<int>(std::min<std::size_t>(shares_of(configuration).clients, 1'000'000));
  if (clients > 0) configuration.http.connections = std::min(configuration.http.connections, clients);
  return configuration;
}

membership::RosterWord whole_list(const membership::Remembered& remembered) {
  membership::RosterWord list = remembered.whole();
  list.form = EndpointListForm::complete;
  return list;
}

double seconds(const timeval& of) {
  return static_cast<double>(of.tv_sec) + static_cast<double>(of.tv_usec) / 1e6;
}

}  // namespace

RouterProcess::RouterProcess(transport::Reactor& reactor,
                             const deployment::DeploymentConfiguration& configuration, std::uint64_t seed,
                             core::EventLog& diary, const StorageAccess& storage)
    : reactor_(reactor), configuration_(bounded(configuration)),
      server_connections_(shares_of(configuration).servers), diary_(diary),
      pool_(reactor,
            {.router = configuration.routing.router_number,
             .connections = configuration.server_connections.connections,
             .total = server_connections_,
             .connect_limit = to_ticks(configuration.routing.connect_timeout),
             .idle = to_ticks(configuration.routing.connection_idle_timeout),
             .reply = configuration.server_connections.reply},
            diary),
      peers_(!configuration.routing.reports.gossip
                 ? nullptr
                 : std::make_unique<transport::PeerLinks>(reactor, configuration.peers.listen,
                                                          configuration.routing.router_number,
                                                          configuration.peers.addresses,
                                                          [this](int router, const std::string& bytes) {
                                                            gateway_.gossip_received(router, bytes);
                                                          })),
      shared_(configuration.replication.listen.empty()
                  ? nullptr
                  : std::make_unique<SharedState>(
                        reactor, configuration, seed, diary,
                        [this](double orders) { gateway_.load_budget_restored(orders); },
                        [this](RequestId event, core::AdmissionVerdict how) {
                          gateway_.admission_decided(event, how);
                        })),
      roster_(configuration.discovery.address.empty()
                  ? nullptr
                  : std::make_unique<membership::RosterClient>(
                        reactor, transport::numeric_address(configuration.discovery.address),
                        configuration.routing.router_number, configuration.discovery.retry, seed, diary,
                        [this](EndpointListForm form, const std::vector<core::EndpointListEntry>& entries) {
                          gateway_.endpoints_updated(form, entries);
                          if (form == EndpointListForm::failed) return;
                          front_.ready(true);
                          if (remembered_list_) remembered_list_->changed();
                        })),
      remembered_list_(!roster_ || configuration.discovery.remembered.empty()
                           ? nullptr
                           : std::make_unique<RememberedEndpointList>(
                                 reactor, diary, storage, configuration.discovery.remembered, seed,
                                 [this] {
                                   return EndpointListSnapshot{.list = whole_list(roster_->remembered()),
                                                               .wall_offset = starts_as_told};
                                 })),
      gateway_(configuration.routing, seed,
               {.clock = reactor,
                .upstream = pool_,
                .peers = peers_ ? static_cast<core::PeerMessenger&>(*peers_) : no_peers,
                .endpoint_lists = roster_ ? static_cast<core::EndpointListSource&>(*roster_) : no_roster,
                .log = diary,
                .deduplication = shared_.get()}),
      intake_(configuration.routing, configuration.class_of_event_type),
      front_(reactor, gateway_, intake_, diary,
             {.connections = configuration_.http.connections,
              .body = configuration.http.body,
              .batch = configuration.http.batch,
              .request_within = configuration.http.head_within,
              .idle = configuration.http.idle,
              .weight = configuration.http.weight,
              .retry_after = configuration.routing.retries.retry_after
                                 ? to_ticks(configuration.routing.retries.longest_retry_after)
                                 : 0}) {
  pool_.report_to(gateway_);
  if (shared_) front_.standing([this] { return shared_->standing(); });
  if (remembered_list_) front_.more_metrics([this] { return to_prometheus(remembered_list_->writes()); });
  membership::RosterWord recalled =
      read_remembered_list(*storage.files, configuration.discovery.remembered, starts_as_told, diary);
  membership::StartTimeTranslator unfollowed;
  membership::StartTimeTranslator& start_times = roster_ ? roster_->start_times() : unfollowed;
  start_times.translate_snapshot(membership::read_clocks(reactor), membership::latest_start(recalled.entries),
                                 recalled.form, recalled.entries);
  gateway_.endpoints_updated(recalled.form, recalled.entries);
  if (roster_ && !configuration.routing.endpoints_on_request) roster_->watch(true);
  if (!configuration.mqtt.address.empty())
    mqtt_ =
        std::make_unique<frontends::MqttFront>(reactor, gateway_, intake_, diary, configuration.mqtt, seed);
  const std::string& where = configuration.http.listen;
  address_ = where.starts_with("fd:") ? front_.listen_inherited(std::stoi(where.substr(3)))
                                      : front_.listen(transport::numeric_address(where), true);
  diary.write(Level::info, "serving", {{"address", address_.toString()}, {"seed", std::to_string(seed)}});
}

RouterProcess::~RouterProcess() = default;

void RouterProcess::start_draining(std::function<void()> ended) {
  if (draining()) return;
  end_by_ = reactor_.now() + std::max<Time>(configuration_.http.drain_timeout, 1);
  diary_.write(Level::info, "winding up", {{"open", std::to_string(gateway_.open_requests())}});
  front_.start_draining();
  if (mqtt_) mqtt_->start_draining();
  if (remembered_list_) remembered_list_->flush();
  wait_for_end(ended);
}

void RouterProcess::wait_for_end(const std::function<void()>& ended) {
  const bool done = gateway_.open_requests() == 0 && front_.connections() == 0 && (!mqtt_ || mqtt_->idle());
  if (done || reactor_.now() >= end_by_) return ended();
  reactor_.at(reactor_.now() + look_every, [this, ended, alive = std::weak_ptr(life_)] {
    if (!alive.expired()) wait_for_end(ended);
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
                        {"http_requests", frontends::to_text(front_.counts())},
                        {"shots", tally.attempts},
                        {"attempts_after_cancel", tally.attempts_after_cancel},
                        {"probes", tally.probes},
                        {"orders", tally.prewarms},
                        {"told", tally.gossip_messages},
                        {"endings", tally.outcomes},
                        {"open", gateway_.open_requests()},
                        {"module_seconds", static_cast<double>(gateway_.policy_ns()) / 1e9},
                        {"cpu_seconds", seconds(used.ru_utime) + seconds(used.ru_stime)},
                        {"peak_memory_kib", used.ru_maxrss}}
      .dump();
}

}  // namespace rushhill::router

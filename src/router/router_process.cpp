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
std::size_t reserve(const deployment::Program& program) {
  constexpr std::size_t listener_file_and_refused = 3;
  const bool links = !program.replica.listen.empty();
  return listener_file_and_refused + (program.module.reports.gossip ? 1 : 0) +
         (program.roster.address.empty() ? 0 : 1) +
         (program.mqtt.address.empty() ? 0 : program.mqtt.topics.size()) +
         (links ? 2 + most_links_of(program) : 0);
}
transport::DescriptorShares shares_of(const deployment::Program& program) {
  if (program.descriptors == 0) return {};
  return transport::share_descriptors(program.descriptors, reserve(program));
}
deployment::Program bounded(deployment::Program program) {
  const auto clients = static_cast<int>(std::min<std::size_t>(shares_of(program).clients, 1'000'000));
  if (clients > 0) program.http.connections = std::min(program.http.connections, clients);
  return program;
}

membership::RosterWord whole_list(const membership::Remembered& remembered) {
  membership::RosterWord list = remembered.whole();
  list.form = EndpointListForm::snapshot;
  return list;
}

double seconds(const timeval& of) {
  return static_cast<double>(of.tv_sec) + static_cast<double>(of.tv_usec) / 1e6;
}

}  // namespace

RouterProcess::RouterProcess(transport::Reactor& reactor, const deployment::Program& program,
                             std::uint64_t seed, core::EventLog& diary, const StorageAccess& storage)
    : reactor_(reactor), program_(bounded(program)), server_connections_(shares_of(program).servers),
      diary_(diary), pool_(reactor,
                           {.router = program.module.router_number,
                            .connections = program.links.connections,
                            .total = server_connections_,
                            .connect_limit = to_ticks(program.module.connect_timeout),
                            .idle = to_ticks(program.module.connection_idle_timeout),
                            .reply = program.links.reply},
                           diary),
      peers_(!program.module.reports.gossip
                 ? nullptr
                 : std::make_unique<transport::PeerLinks>(
                       reactor, program.peers.listen, program.module.router_number, program.peers.addresses,
                       [this](int router, const std::string& bytes) {
                         gateway_.gossip_received(router, bytes);
                       })),
      shared_(program.replica.listen.empty()
                  ? nullptr
                  : std::make_unique<SharedState>(
                        reactor, program, seed, diary,
                        [this](double orders) { gateway_.load_budget_restored(orders); },
                        [this](RequestId event, core::AdmissionVerdict how) {
                          gateway_.admission_decided(event, how);
                        })),
      roster_(program.roster.address.empty()
                  ? nullptr
                  : std::make_unique<membership::RosterClient>(
                        reactor, transport::numeric_address(program.roster.address),
                        program.module.router_number, program.roster.retry, seed, diary,
                        [this](EndpointListForm form, const std::vector<core::EndpointListEntry>& entries) {
                          gateway_.endpoints_updated(form, entries);
                          if (form == EndpointListForm::failed) return;
                          front_.ready(true);
                          if (remembered_list_) remembered_list_->changed();
                        })),
      remembered_list_(!roster_ || program.roster.remembered.empty()
                           ? nullptr
                           : std::make_unique<RememberedEndpointList>(
                                 reactor, diary, storage, program.roster.remembered, seed,
                                 [this] {
                                   return EndpointListSnapshot{.list = whole_list(roster_->remembered()),
                                                               .wall_offset = starts_as_told};
                                 })),
      gateway_(program.module, seed,
               {.clock = reactor,
                .upstream = pool_,
                .peers = peers_ ? static_cast<core::PeerMessenger&>(*peers_) : no_peers,
                .endpoint_lists = roster_ ? static_cast<core::EndpointListSource&>(*roster_) : no_roster,
                .log = diary,
                .deduplication = shared_.get()}),
      intake_(program.module, program.type_of_event),
      front_(reactor, gateway_, intake_, diary,
             {.connections = program_.http.connections,
              .body = program.http.body,
              .batch = program.http.batch,
              .request_within = program.http.head_within,
              .idle = program.http.idle,
              .weight = program.http.weight,
              .retry_after = program.module.retries.retry_after
                                 ? to_ticks(program.module.retries.longest_retry_after)
                                 : 0}) {
  pool_.report_to(gateway_);
  if (shared_) front_.standing([this] { return shared_->standing(); });
  if (remembered_list_) front_.more_metrics([this] { return to_prometheus(remembered_list_->writes()); });
  membership::RosterWord recalled =
      read_remembered_list(*storage.files, program.roster.remembered, starts_as_told, diary);
  membership::StartTimeTranslator unfollowed;
  membership::StartTimeTranslator& start_times = roster_ ? roster_->start_times() : unfollowed;
  start_times.translate_snapshot(membership::read_clocks(reactor), membership::latest_start(recalled.entries),
                                 recalled.form, recalled.entries);
  gateway_.endpoints_updated(recalled.form, recalled.entries);
  if (roster_ && !program.module.endpoints_on_request) roster_->watch(true);
  if (!program.mqtt.address.empty())
    mqtt_ = std::make_unique<frontends::MqttFront>(reactor, gateway_, intake_, diary, program.mqtt, seed);
  const std::string& where = program.http.listen;
  address_ = where.starts_with("fd:") ? front_.listen_inherited(std::stoi(where.substr(3)))
                                      : front_.listen(transport::numeric_address(where), true);
  diary.write(Level::info, "serving", {{"address", address_.toString()}, {"seed", std::to_string(seed)}});
}

RouterProcess::~RouterProcess() = default;

void RouterProcess::wind_up(std::function<void()> ended) {
  if (winding_up()) return;
  end_by_ = reactor_.now() + std::max<Time>(program_.http.wind_up, 1);
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
  return nlohmann::json{{"router", program_.module.router_number},
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

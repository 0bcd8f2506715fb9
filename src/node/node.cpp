#include "node/node.h"

#include <algorithm>
#include <string>
#include <utility>

#include "core/endpoint_list_source.h"
#include "core/peer_messenger.h"
#include "membership/board_client.h"

namespace rushhill::node {
namespace {

constexpr Time look_every = 100;  // tenths of a millisecond between looks whether all is wound up
constexpr Time still_coming =
    8'000;  // requests may come for 0.6 s after the word to end, and count until 0.7 s
// A router that is told to end is killed this long after the longest deadline, of which 3 s count at most. It
// may learn of the word a turn of an idle loop after it came, and has everything answered before.
constexpr Time killed_after = 7'000;
constexpr Time longest_counted = 30'000;
constexpr Time learned_after = 1'000;
constexpr Time answered_before = 1'000;
constexpr Time last_answers = 1'000;  // for answers to leave to clients that are slow to read, then no more
constexpr Time leave_taking = 1'000;  // for clients to see that we have ended, and to end too

// Descriptors that no client and no server gets: the listener's, discovery's two, the peers', the file that
// is read on SIGHUP, and a connection's that is taken to be refused. The log's is open before any is counted.
constexpr std::size_t reserve = 6;

constexpr double idle_part = 0.66;  // of the time after which servers close: ours close before

class NoPeers final : public core::PeerMessenger {
 public:
  void send(int, const std::string&) override {}
} no_peers;

}  // namespace

Node::Node(transport::Reactor& reactor, const Configuration& told, core::EventLog& diary)
    : reactor_(reactor), diary_(diary), shares_(transport::share_descriptors(told.sockets, reserve)),
      pool_(
          reactor,
          {.requests_per_connection = std::max(told.module.requests_per_connection, 1),
           .connections = shares_.servers,
           .connect_limit =
               told.module.connect_timeout > Duration::zero() ? to_ticks(told.module.connect_timeout) : 2'500,
           .idle = static_cast<Time>(static_cast<double>(to_ticks(told.module.connection_idle_timeout)) *
                                     idle_part),
           .reports = told.module.reports.load_reports != "" && told.module.reports.load_reports != "none"},
          diary),
      peers_(!told.module.reports.gossip ? nullptr
                                         : std::make_unique<transport::BarePeers>(
                                               reactor, transport::numeric_address(told.peer_listen),
                                               told.module.router_number, told.peers, told.peers_all,
                                               [this](int router, const std::string& bytes) {
                                                 gateway_.gossip_received(router, bytes);
                                               })),
      board_(std::make_unique<membership::BoardClient>(
          reactor, transport::numeric_address(told.board), settings::Fields(told.known, "known").whole("rev"),
          told.seed, diary,
          [this](EndpointListForm form, const std::vector<core::EndpointListEntry>& entries) {
            gateway_.endpoints_updated(form, entries);
          })),
      gateway_(told.module, told.seed,
               {.clock = reactor,
                .upstream = pool_,
                .peers = peers_ ? static_cast<core::PeerMessenger&>(*peers_) : no_peers,
                .endpoint_lists = *board_,
                .log = diary}),
      front_(reactor, gateway_, diary, {.connections = shares_.clients}) {
  pool_.report_to(gateway_);
  const membership::Known known =
      board_->translated(membership::read_known(settings::Fields(told.known, "known"), membership::as_told));
  // A start brings the list as it was last held, whole, though it may be empty.
  bool first = true;
  for (const membership::Notice& notice : known.notices) {
    const bool whole = std::exchange(first, false) || notice.whole;
    gateway_.endpoints_updated(whole ? EndpointListForm::cached : EndpointListForm::delta, notice.entries);
  }
  if (first) gateway_.endpoints_updated(EndpointListForm::cached, {});
  if (!told.module.endpoints_on_request) board_->watch(true);
  for (const RequestClass& type : told.module.request_classes)
    longest_limit_ = std::max(longest_limit_, to_ticks(type.deadline_span));
  fixed_ = told.fixed;
  front_.ready(true);
  address_ = front_.listen(transport::numeric_address(told.listen));
  diary.write(core::Level::info, "serving", {{"address", address_.toString()}, {"name", told.name}});
}
Node::~Node() = default;

void Node::reconfigure(const Configuration& changed) {
  // All of it is read before any of it takes effect.
  const membership::Known known =
      membership::read_known(settings::Fields(changed.known, "known"), membership::as_told);
  diary_.write(core::Level::info, "configuration read again", {{"board", changed.board}});
  if (changed.fixed != fixed_)
    diary_.write(core::Level::warning, "changed settings, limits and addresses take effect at a restart", {});
  board_->catch_up(known);
  board_->move_to(transport::numeric_address(changed.board));
}

void Node::start_draining(std::function<void()> ended) {
  if (end_by_ != 0) return;
  const Time now = reactor_.now();
  const Time killed_by = now + std::min(longest_limit_, longest_counted) + killed_after;
  end_by_ = killed_by - learned_after - answered_before;
  requests_until_ = std::min(now + still_coming, end_by_);
  front_.answer_by(end_by_);
  diary_.write(core::Level::info, "winding up", {{"open", std::to_string(gateway_.open_requests())}});
  wait_for_end(ended);
}

// Ended: all that has come is read, all that was read is answered, and the answers have left. What would be
// open as the router may be killed is answered before, as abandoned.
void Node::wait_for_end(const std::function<void()>& ended) {
  const Time now = reactor_.now();
  if (now >= requests_until_) front_.stop_listening();
  if (now >= end_by_) gateway_.expire_all();
  const bool over = now >= requests_until_ && gateway_.open_requests() == 0 && !gateway_.any_client_waits();
  if (over && (front_.all_sent() || now >= end_by_ + last_answers)) {
    front_.finish();
    return take_leave(ended, now + leave_taking);
  }
  look_again([this, ended] { wait_for_end(ended); });
}

// A connection closed while something unread lies in it is reset, and an answer on its way may go with it:
// the clients close first, for as long as it takes them to see that we have ended.
void Node::take_leave(const std::function<void()>& ended, Time until) {
  if (front_.connections() == 0 || reactor_.now() >= until) return ended();
  look_again([this, ended, until] { take_leave(ended, until); });
}

void Node::look_again(std::function<void()> look) {
  reactor_.at(reactor_.now() + look_every, [look = std::move(look), alive = std::weak_ptr(life_)] {
    if (!alive.expired()) look();
  });
}

}  // namespace rushhill::node

#include "replicating/replica_links.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "replica/neighbours.h"

namespace rushhill::replicating {
namespace {

using core::Level;
using transport::Stream;

constexpr Time iteration_interval = 100;  // tenths of a millisecond; bounds the delay of passing on a record
constexpr Time check_interval = 1'000;    // between checks for stalled links and neighbours without a link
constexpr Time handshake_timeout = 20'000;  // from connecting; a router that takes longer is stalled
constexpr Time initial_backoff = 5'000;     // after a link failed; doubles with each further failure
constexpr Time max_backoff = 80'000;        // within that, a router that is back gets a link again
constexpr int max_missed_reports = 3;  // intervals between full reports; a peer silent for longer is stalled

}  // namespace

std::size_t most_links(int routers, bool full_mesh) {
  const auto all = static_cast<unsigned>(std::max(routers, 1));
  return 3 * (full_mesh ? all : static_cast<std::size_t>(std::bit_width(all)));
}

class ReplicaLinks::Link final : public transport::StreamHandler,
                                 public replica::Line,
                                 public transport::Numbered {
 public:
  Link(ReplicaLinks& links, int router, const transport::Address& address)
      : links_(links), dialled_(router),
        conversation_(links.config_.hello, links.replica_, *this, links.config_.limits) {
    attach(Stream::connect(links.reactor_, address, *this));
  }
  Link(ReplicaLinks& links, const transport::PendingConnection& arrival)
      : links_(links), conversation_(links.config_.hello, links.replica_, *this, links.config_.limits) {
    attach(Stream::adopt(links.reactor_, arrival, *this));
    conversation_.opened();
  }
  ~Link() override {
    if (stream_) stream_->close();
  }

  void on_connected() override { conversation_.opened(); }
  void on_data(std::string_view bytes) override {
    const auto self = links_.links_.at(this);
    last_received_ = links_.reactor_.now();
    const bool was_done = conversation_.handshake_done();
    const bool keep_open = conversation_.arrived(last_received_, bytes);
    if (!was_done && conversation_.handshake_done()) links_.on_handshake(*this);
    if (!keep_open) links_.close_link(*this, conversation_.reason());
    if (links_.config_.heard) links_.config_.heard();
  }
  void on_closed(transport::CloseReason reason) override {
    links_.close_link(*this, reason == transport::CloseReason::connect_failed ? "refused" : "lost");
  }
  void send(const std::string& bytes) override { stream_->write(bytes); }
  std::size_t unsent() const override { return stream_->pending_bytes(); }

  void close() { stream_->close(); }
  int dialled() const { return dialled_; }  // the router connected to, or -1 for an accepted link
  int router() const {
    return conversation_.handshake_done() ? conversation_.peer_hello().writer.router : dialled_;
  }
  bool stalled(Time now) const {
    const Time timeout = conversation_.handshake_done()
                             ? max_missed_reports * links_.config_.limits.full_report_interval
                             : handshake_timeout;
    return now - last_received_ > timeout;
  }
  replica::Conversation& conversation() { return conversation_; }
  const replica::Conversation& conversation() const { return conversation_; }

 private:
  void attach(std::shared_ptr<Stream> stream) {
    stream_ = std::move(stream);
    last_received_ = links_.reactor_.now();
  }

  ReplicaLinks& links_;
  int dialled_ = -1;
  std::shared_ptr<Stream> stream_;
  replica::Conversation conversation_;
  Time last_received_ = 0;
};

ReplicaLinks::ReplicaLinks(transport::Reactor& reactor, const ReplicaLinksConfig& config,
                           replica::Replica& replica, core::EventLog& event_log)
    : reactor_(reactor), config_(config), replica_(replica), event_log_(event_log),
      listener_(reactor, transport::numeric_address(config.listen), true,
                [this](const transport::PendingConnection& arrival) { accept(arrival); }) {
  for (std::size_t i = 0; i < config_.addresses.size(); ++i) {
    if (!config_.addresses[i].empty()) transport::numeric_address(config_.addresses[i]);
  }
  run_iteration();
}

ReplicaLinks::~ReplicaLinks() { reactor_.cancel(timer_); }

void ReplicaLinks::accept(const transport::PendingConnection& arrival) {
  const auto accepted =
      std::ranges::count_if(links_, [](const auto& item) { return item.first->dialled() < 0; });
  if (static_cast<std::size_t>(accepted) >= config_.most_links * 2 / 3 && !evict_unidentified_link())
    return arrival.refuse();
  const auto link = std::make_shared<Link>(*this, arrival);
  links_.emplace(link.get(), link);
}

// Closes the oldest accepted link without a hello, since a router sends its hello at once. Returns false if
// there is none.
bool ReplicaLinks::evict_unidentified_link() {
  const auto unknown = std::ranges::find_if(links_, [](const auto& item) {
    return item.first->dialled() < 0 && !item.first->conversation().handshake_done();
  });
  if (unknown == links_.end()) return false;
  close_link(*unknown->first, "");
  return true;
}

void ReplicaLinks::written() {
  if (std::exchange(send_scheduled_, true)) return;
  reactor_.post([this, alive = std::weak_ptr(alive_)] {
    if (alive.expired()) return;
    send_scheduled_ = false;
    tell_now();
  });
}

void ReplicaLinks::tell_now() {
  for (const auto& [link, owner] : links_) link->conversation().turn(reactor_.now());
}

void ReplicaLinks::run_iteration() {
  const Time now = reactor_.now();
  timer_ = reactor_.at(now + iteration_interval, [this] { run_iteration(); });
  if (now >= next_check_) check_links(now);
  tell_now();
}

// Expires records, closes stalled links, and opens links to the neighbours, chosen among the routers that
// have a link or may be connected to now.
void ReplicaLinks::check_links(Time now) {
  next_check_ = now + check_interval;
  replica_.expire_records(now);
  const auto links = links_;
  for (const auto& [link, owner] : links) {
    if (link->stalled(now)) close_link(*link, "silent");
  }
  std::set<int> reachable;
  for (std::size_t i = 0; i < config_.addresses.size(); ++i) {
    const int router = static_cast<int>(i);
    const auto backoff = backoffs_.find(router);
    const bool may_connect =
        !config_.addresses[i].empty() && (backoff == backoffs_.end() || now >= backoff->second.retry_at);
    if (may_connect || linked_to(router)) reachable.insert(router);
  }
  reachable.erase(config_.hello.writer.router);
  for (const int router :
       config_.full_mesh ? reachable : replica::select_neighbours(config_.hello.writer.router, reachable)) {
    if (linked_to(router) || links_.size() >= config_.most_links) continue;
    const auto link = std::make_shared<Link>(
        *this, router, transport::numeric_address(config_.addresses[static_cast<std::size_t>(router)]));
    links_.emplace(link.get(), link);
  }
}

bool ReplicaLinks::linked_to(int router) const {
  return std::ranges::any_of(links_, [&](const auto& item) { return item.second->router() == router; });
}

// If two routers connect to each other at the same time, both keep the link that the router with the lower
// number opened.
void ReplicaLinks::on_handshake(Link& link) {
  const int router = link.router();
  if (link.dialled() >= 0 && link.dialled() != router)
    return close_link(link, "the router at this address is number " + std::to_string(router));
  backoffs_.erase(router);
  const bool own_link_stays = config_.hello.writer.router < router;
  const auto links = links_;
  for (const auto& [other, owner] : links) {
    if (other == &link || other->router() != router) continue;
    // Of two links that the same side opened, the newer one stays, since the older one is stalled or belongs
    // to an earlier incarnation. A link to another incarnation of that router is closed as well, whichever
    // side opened it.
    const bool same_side = (other->dialled() >= 0) == (link.dialled() >= 0);
    const bool other_incarnation =
        other->conversation().handshake_done() &&
        other->conversation().peer_hello().writer != link.conversation().peer_hello().writer;
    const bool link_stays = same_side || other_incarnation || (link.dialled() >= 0) == own_link_stays;
    if (!link_stays && !other->conversation().handshake_done()) continue;
    close_link(link_stays ? *other : link, "");
    if (!link_stays) return;
  }
  event_log_.write(Level::info, "replication link established", {{"router", std::to_string(router)}});
}

void ReplicaLinks::close_link(Link& link, const std::string& reason) {
  const auto it = links_.find(&link);
  if (it == links_.end()) return;
  const int router = link.router();
  const std::shared_ptr<Link> closed = it->second;
  links_.erase(it);
  closed->close();
  if (router >= 0 && !linked_to(router)) replica_.forget_peer(router);
  // Only for routers with a configured address, since a router that connects to this one may claim any
  // number.
  if (router >= 0 && static_cast<std::size_t>(router) < config_.addresses.size() && !linked_to(router)) {
    Backoff& backoff = backoffs_[router];
    backoff.delay = backoff.delay == 0 ? initial_backoff : std::min(2 * backoff.delay, max_backoff);
    backoff.retry_at = reactor_.now() + backoff.delay;
  }
  if (!reason.empty() && reason != "refused")
    event_log_.write(Level::warning, "replication link closed",
                     {{"router", std::to_string(router)}, {"reason", reason}});
  // The link may be the caller, so it is destroyed only after that call has returned.
  reactor_.post([closed] {});
}

std::set<int> ReplicaLinks::met() const {
  std::set<int> routers;
  for (const auto& [link, owner] : links_) {
    if (link->conversation().handshake_done()) routers.insert(link->router());
  }
  return routers;
}

bool ReplicaLinks::caught_up() const {
  return !links_.empty() && std::ranges::all_of(links_, [](const auto& item) {
    return item.second->conversation().caught_up();
  });
}

ReplicaLinks::SynchronizedPeers ReplicaLinks::learnt() const {
  std::map<int, bool> recovered;
  for (const auto& [link, owner] : links_) {
    const replica::Conversation& conversation = link->conversation();
    if (conversation.handshake_done() && conversation.has_initial_records() &&
        link->router() != config_.hello.writer.router)
      recovered[link->router()] |= conversation.peer_recovered();
  }
  const auto recovered_count = std::ranges::count_if(recovered, [](const auto& peer) { return peer.second; });
  return {static_cast<int>(recovered.size()), static_cast<int>(recovered_count)};
}

std::uint64_t ReplicaLinks::behind() const {
  std::uint64_t max_missing = 0;
  for (const auto& [link, owner] : links_) {
    if (link->conversation().handshake_done())
      max_missing = std::max(max_missing, link->conversation().missing_records());
  }
  return max_missing;
}

}  // namespace rushhill::replicating

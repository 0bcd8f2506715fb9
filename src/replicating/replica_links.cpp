#include "replicating/replica_links.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "replica/neighbours.h"

namespace rushhill::replicating {
namespace {

using core::Level;
using transport::Stream;

constexpr Time turn_every = 100;        // tenths of a millisecond; what is learnt is passed on within that
constexpr Time look_every = 1'000;      // between looks for neighbours that are not linked
constexpr Time hello_within = 20'000;   // from connecting; a router that takes longer is stalled
constexpr Time first_pause = 5'000;     // after a way that failed; doubles while it goes on failing
constexpr Time longest_pause = 80'000;  // a router that is back is met within that
constexpr int silent_points = 3;        // times the span between points; so long silent is stalled

}  // namespace

std::size_t most_links(int routers, bool everybody) {
  const auto all = static_cast<unsigned>(std::max(routers, 1));
  return 3 * (everybody ? all : static_cast<std::size_t>(std::bit_width(all)));
}

class ReplicaLinks::Link final : public transport::StreamHandler,
                                 public replica::Line,
                                 public transport::Numbered {
 public:
  Link(ReplicaLinks& links, int router, const transport::Address& address)
      : links_(links), dialled_(router), talk_(links.ways_.hello, links.copy_, *this, links.ways_.pace) {
    begin(Stream::connect(links.reactor_, address, *this));
  }
  Link(ReplicaLinks& links, const transport::PendingConnection& arrival)
      : links_(links), talk_(links.ways_.hello, links.copy_, *this, links.ways_.pace) {
    begin(Stream::adopt(links.reactor_, arrival, *this));
    talk_.opened();
  }
  ~Link() override {
    if (stream_) stream_->close();
  }

  void on_connected() override { talk_.opened(); }
  void on_data(std::string_view bytes) override {
    const auto self = links_.links_.at(this);
    heard_ = links_.reactor_.now();
    const bool met = talk_.greeted();
    const bool good = talk_.arrived(heard_, bytes);
    if (!met && talk_.greeted()) links_.greeted(*this);
    if (!good) links_.end(*this, talk_.reason());
    if (links_.ways_.heard) links_.ways_.heard();
  }
  void on_closed(transport::CloseReason why) override {
    links_.end(*this, why == transport::CloseReason::connect_failed ? "refused" : "lost");
  }
  void send(const std::string& bytes) override { stream_->write(bytes); }
  std::size_t unsent() const override { return stream_->pending_bytes(); }

  void close() { stream_->close(); }
  int dialled() const { return dialled_; }  // -1: the other came to us
  int router() const { return talk_.greeted() ? talk_.other().writer.router : dialled_; }
  bool stalled(Time now) const {
    const Time most = talk_.greeted() ? silent_points * links_.ways_.pace.points_every : hello_within;
    return now - heard_ > most;
  }
  replica::Conversation& talk() { return talk_; }
  const replica::Conversation& talk() const { return talk_; }

 private:
  void begin(std::shared_ptr<Stream> stream) {
    stream_ = std::move(stream);
    heard_ = links_.reactor_.now();
  }

  ReplicaLinks& links_;
  int dialled_ = -1;
  std::shared_ptr<Stream> stream_;
  replica::Conversation talk_;
  Time heard_ = 0;
};

ReplicaLinks::ReplicaLinks(transport::Reactor& reactor, const Ways& ways, replica::Replica& copy,
                           core::EventLog& diary)
    : reactor_(reactor), ways_(ways), copy_(copy), diary_(diary),
      listener_(reactor, transport::numeric_address(ways.listen), true,
                [this](const transport::PendingConnection& arrival) { accept(arrival); }) {
  for (std::size_t i = 0; i < ways_.addresses.size(); ++i) {
    if (!ways_.addresses[i].empty()) transport::numeric_address(ways_.addresses[i]);
  }
  turn();
}

ReplicaLinks::~ReplicaLinks() { reactor_.cancel(alarm_); }

void ReplicaLinks::accept(const transport::PendingConnection& arrival) {
  const auto came = std::ranges::count_if(links_, [](const auto& item) { return item.first->dialled() < 0; });
  if (static_cast<std::size_t>(came) >= ways_.most_links * 2 / 3 && !make_room()) return arrival.refuse();
  const auto link = std::make_shared<Link>(*this, arrival);
  links_.emplace(link.get(), link);
}

// Whoever came to us first and has not said who it is makes room: a router does so at once.
bool ReplicaLinks::make_room() {
  const auto unknown = std::ranges::find_if(
      links_, [](const auto& item) { return item.first->dialled() < 0 && !item.first->talk().greeted(); });
  if (unknown == links_.end()) return false;
  end(*unknown->first, "");
  return true;
}

void ReplicaLinks::written() {
  if (std::exchange(telling_soon_, true)) return;
  reactor_.post([this, alive = std::weak_ptr(life_)] {
    if (alive.expired()) return;
    telling_soon_ = false;
    tell_now();
  });
}

void ReplicaLinks::tell_now() {
  for (const auto& [link, held] : links_) link->talk().turn(reactor_.now());
}

void ReplicaLinks::turn() {
  const Time now = reactor_.now();
  alarm_ = reactor_.at(now + turn_every, [this] { turn(); });
  if (now >= look_at_) look(now);
  tell_now();
}

// Whom we should be linked to, given who cannot be reached now.
void ReplicaLinks::look(Time now) {
  look_at_ = now + look_every;
  copy_.pass(now);
  const auto links = links_;
  for (const auto& [link, held] : links) {
    if (link->stalled(now)) end(*link, "silent");
  }
  std::set<int> there;
  for (std::size_t i = 0; i < ways_.addresses.size(); ++i) {
    const int router = static_cast<int>(i);
    const auto far = far_.find(router);
    const bool reachable = !ways_.addresses[i].empty() && (far == far_.end() || now >= far->second.again_at);
    if (reachable || linked_to(router)) there.insert(router);
  }
  there.erase(ways_.hello.writer.router);
  for (const int router : ways_.everybody ? there : replica::neighbours(ways_.hello.writer.router, there)) {
    if (linked_to(router) || links_.size() >= ways_.most_links) continue;
    const auto link = std::make_shared<Link>(
        *this, router, transport::numeric_address(ways_.addresses[static_cast<std::size_t>(router)]));
    links_.emplace(link.get(), link);
  }
}

bool ReplicaLinks::linked_to(int router) const {
  return std::ranges::any_of(links_, [&](const auto& item) { return item.second->router() == router; });
}

// Where two routers dialled each other at once, the way that the lower number dialled stays, at both alike.
void ReplicaLinks::greeted(Link& link) {
  const int router = link.router();
  if (link.dialled() >= 0 && link.dialled() != router)
    return end(link, "the router there is " + std::to_string(router));
  far_.erase(router);
  const bool ours_stays = ways_.hello.writer.router < router;
  const auto links = links_;
  for (const auto& [other, held] : links) {
    if (other == &link || other->router() != router) continue;
    // Of two that the same side dialled, the newer: the older is stalled, or of a life that has ended. A way
    // to another life of that router has ended too, whoever dialled it.
    const bool same_side = (other->dialled() >= 0) == (link.dialled() >= 0);
    const bool another_life =
        other->talk().greeted() && other->talk().other().writer != link.talk().other().writer;
    const bool link_stays = same_side || another_life || (link.dialled() >= 0) == ours_stays;
    if (!link_stays && !other->talk().greeted()) continue;
    end(link_stays ? *other : link, "");
    if (!link_stays) return;
  }
  diary_.write(Level::info, "copies exchanged with", {{"router", std::to_string(router)}});
}

void ReplicaLinks::end(Link& link, const std::string& why) {
  const auto it = links_.find(&link);
  if (it == links_.end()) return;
  const int router = link.router();
  const std::shared_ptr<Link> gone = it->second;
  links_.erase(it);
  gone->close();
  if (router >= 0 && !linked_to(router)) copy_.forget(router);
  // Only of those that we may dial: whoever dials us may claim any number.
  if (router >= 0 && static_cast<std::size_t>(router) < ways_.addresses.size() && !linked_to(router)) {
    Far& far = far_[router];
    far.pause = far.pause == 0 ? first_pause : std::min(2 * far.pause, longest_pause);
    far.again_at = reactor_.now() + far.pause;
  }
  if (!why.empty() && why != "refused")
    diary_.write(Level::warning, "copies no longer exchanged",
                 {{"router", std::to_string(router)}, {"reason", why}});
  // It may be the one that is calling: it goes when that call has returned.
  reactor_.post([gone] {});
}

std::set<int> ReplicaLinks::met() const {
  std::set<int> routers;
  for (const auto& [link, held] : links_) {
    if (link->talk().greeted()) routers.insert(link->router());
  }
  return routers;
}

bool ReplicaLinks::caught_up() const {
  return !links_.empty() &&
         std::ranges::all_of(links_, [](const auto& item) { return item.second->talk().caught_up(); });
}

ReplicaLinks::Learnt ReplicaLinks::learnt() const {
  std::map<int, bool> others;
  for (const auto& [link, held] : links_) {
    const replica::Conversation& talk = link->talk();
    if (talk.greeted() && talk.learnt() && link->router() != ways_.hello.writer.router)
      others[link->router()] |= talk.other_vouches();
  }
  const auto vouching = std::ranges::count_if(others, [](const auto& other) { return other.second; });
  return {static_cast<int>(others.size()), static_cast<int>(vouching)};
}

std::uint64_t ReplicaLinks::behind() const {
  std::uint64_t most = 0;
  for (const auto& [link, held] : links_) {
    if (link->talk().greeted()) most = std::max(most, link->talk().behind());
  }
  return most;
}

}  // namespace rushhill::replicating

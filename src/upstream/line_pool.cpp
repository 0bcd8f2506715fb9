#include "upstream/line_pool.h"

#include <algorithm>
#include <deque>
#include <stdexcept>

#include "transport/idle_close.h"

namespace rushhill::upstream {
namespace {

using transport::CloseReason;
using transport::Stream;

constexpr std::size_t most_unsent = 256 * 1024;  // bytes; a server that takes no more is silent
constexpr Time deadline_renewed = 50;  // tenths of a millisecond; between two renewals of what cannot leave
constexpr std::size_t ids_kept = 64;   // ids that a connection has carried; far above its tries of one

}  // namespace

struct LinePool::Exchange {
  enum class Kind { shot, probe, order, unload } kind = Kind::shot;
  EndpointId server{};
  RequestId event = 0;
  int leg = 0;
  FunctionId function{};
  std::string tag{};    // the event's id, or our own
  std::string bytes{};  // of all but shots
  line_protocol::Invocation invocation{};
  Time deadline = 0;     // of a shot: when its client gives up
  Time limit = 0;        // 0: ended from above
  bool again = false;    // it has been on a connection that took none of it
  bool started = false;  // bytes of it have left
  std::size_t from = 0;  // bytes before it on its connection
  std::size_t size = 0;  // bytes of it there
  core::Timer alarm{};

  std::string text(Time now) const { return kind == Kind::shot ? invocation.text(deadline - now) : bytes; }
};

// One connection. A server's answers are believed by their ids alone, so an id is never twice on the same
// one: a second copy of an answer, or one that was under way when its shot was given up, meets no later shot.
class LinePool::Link final : public transport::StreamHandler, public transport::Numbered {
 public:
  Link(LinePool& pool, Server& server)
      : pool_(pool), reactor_(pool.reactor_), server_(server), reader_(pool.bounds_.answers) {
    ++pool_.connections_;
    stream_ = Stream::connect(reactor_, *server.address, *this);
    alarm_ = reactor_.at(reactor_.now() + pool.bounds_.connect_limit,
                         [this] { fail(AttemptOutcome::connect_failed, false); });
  }
  ~Link() override {
    reactor_.cancel(alarm_);
    reactor_.cancel(renewal_);
    for (auto& [tag, exchange] : open_) reactor_.cancel(exchange.alarm);
    if (stream_) stream_->close();
  }

  Server& server() { return server_; }
  std::size_t open() const { return open_.size(); }
  Time idle_since() const { return idle_since_; }
  bool usable(const Exchange& exchange) const {
    return !retired_ && !over_ && open_.size() < static_cast<std::size_t>(pool_.bounds_.shots_a_connection) &&
           std::ranges::find(carried_ids_, exchange.tag) == carried_ids_.end();
  }
  bool sound() { return !established_ || stream_->peek() == Stream::Peeked::nothing; }
  // Nothing new goes on it; it is closed when what it carries has ended.
  void retire() {
    retired_ = true;
    if (open_.empty()) pool_.forget(*this);
  }
  void close() {
    over_ = true;
    reactor_.cancel(alarm_);
    reactor_.cancel(renewal_);
    stream_->close();
  }

  void use(Exchange exchange) {
    if (established_) reactor_.cancel(alarm_);
    if (open_.empty()) {
      idle_before_ = established_ ? reactor_.now() - idle_since_ : 0;
      sent_ = reactor_.now();
      came_ = false;
    }
    const std::string bytes = place(exchange);
    if (exchange.kind == Exchange::Kind::unload) {
      if (established_ && open_.empty()) rest();
      return stream_->write(bytes);
    }
    carried_ids_.push_back(exchange.tag);
    if (carried_ids_.size() > ids_kept) carried_ids_.pop_front();
    if (exchange.limit > 0) {
      exchange.alarm = reactor_.at(exchange.limit, [this, tag = exchange.tag] {
        const auto self = hold();
        Exchange late = take(tag);
        retire();
        pool_.end(late, AttemptOutcome::unanswered);
      });
    }
    if (exchange.kind == Exchange::Kind::shot) pool_.shots_[{exchange.event, exchange.leg}] = this;
    open_.emplace(exchange.tag, std::move(exchange));
    stream_->write(bytes);
    note_started();
    renew_later();
    if (stream_->pending_bytes() > most_unsent) retired_ = true;
  }

  // The shot is given up. Where none of it has left, it is only taken from what waits. Else: where nothing
  // else is on the connection its close says so, and a server whose answer will never come costs no later
  // shot; beside others it is taken back by a word, and they are the last.
  void give_up(RequestId event, int leg) {
    const auto self = hold();
    const std::string tag = tag_of(event, leg);
    if (tag.empty() || recall(tag)) return;
    take(tag);
    if (!open_.empty()) stream_->write(line_protocol::abort(tag));
    retire();
  }

  // Where none of the exchange has left, nothing of it ever does. The connection takes no further one: it is
  // on its way up for long, or is up and takes nothing.
  std::optional<Exchange> recall(const std::string& tag) {
    const auto it = open_.find(tag);
    if (it == open_.end()) return std::nullopt;
    if (!withdraw_bytes(it->second)) return std::nullopt;
    const auto self = hold();
    Exchange exchange = take(tag);
    retire();
    return exchange;
  }
  std::string tag_of(RequestId event, int leg) const {
    const auto it = std::ranges::find_if(open_, [&](const auto& item) {
      return item.second.kind == Exchange::Kind::shot && item.second.event == event && item.second.leg == leg;
    });
    return it == open_.end() ? std::string() : it->first;
  }
  std::vector<std::string> tags() const {
    std::vector<std::string> all;
    for (const auto& [tag, exchange] : open_) all.push_back(tag);
    return all;
  }

  void on_connected() override {
    established_ = true;
    reactor_.cancel(alarm_);
    renew_deadlines();
    if (open_.empty() && !over_) rest();
  }

  void on_data(std::string_view bytes) override {
    const auto self = hold();
    came_ = true;
    reader_.put(bytes);
    line_protocol::Answer answer;
    while (!over_) {
      switch (reader_.next(answer)) {
        case line_protocol::Progress::more:
          return;
        case line_protocol::Progress::bad:
          return spoilt(reader_.suspect());
        case line_protocol::Progress::answer:
          break;
      }
      if (!open_.contains(answer.id)) continue;  // unknown, a second one, or of what was given up
      const Exchange exchange = take(answer.id);
      if (open_.empty()) {
        if (retired_) {
          pool_.forget(*this);
        } else {
          rest();
        }
      }
      pool_.answered(exchange, std::move(answer));
    }
  }

  void on_write_drained() override {
    note_started();
    renew_later();
  }
  void on_closed(CloseReason why) override {
    if (why == CloseReason::not_started)
      return fail(AttemptOutcome::not_sent, false);  // ours, and says nothing of the server
    const bool crossed = !came_ && transport::crossed_idle_close(idle_before_, reactor_.now() - sent_);
    fail(why == CloseReason::connect_failed ? AttemptOutcome::connect_failed
         : crossed                          ? AttemptOutcome::unanswered
                                            : AttemptOutcome::connection_lost,
         true);
  }

 private:
  std::shared_ptr<Link> hold() {
    const auto it = server_.links.find(this);
    return it == server_.links.end() ? nullptr : it->second;
  }
  void note_started() {
    for (auto& [tag, exchange] : open_) {
      if (exchange.kind != Exchange::Kind::shot || stream_->handed_over_bytes() <= exchange.from) continue;
      if (!std::exchange(exchange.started, true)) pool_.carried_->attempt_started(exchange.event);
    }
  }
  // Its bytes as of now; they are to be written next.
  std::string place(Exchange& exchange) {
    std::string bytes = exchange.text(reactor_.now());
    exchange.from = stream_->handed_over_bytes() + stream_->pending_bytes();
    exchange.size = bytes.size();
    return bytes;
  }
  // Takes its bytes from what waits to leave. False: some of them have left.
  bool withdraw_bytes(const Exchange& exchange) {
    const std::size_t from = exchange.from;
    if (!stream_->cancel_unsent(from, exchange.size)) return false;
    for (auto& [tag, other] : open_) {
      if (other.from > from) other.from -= exchange.size;
    }
    return true;
  }
  // The deadline that a shot tells its server is counted from when it leaves, which may be long after it was
  // written: its connection comes up late, the system takes no more, or clients have to be read first.
  void renew_deadlines() {
    std::vector<Exchange*> waiting;
    for (auto& [tag, exchange] : open_) {
      if (exchange.kind == Exchange::Kind::shot && stream_->handed_over_bytes() <= exchange.from)
        waiting.push_back(&exchange);
    }
    std::ranges::sort(waiting, {}, &Exchange::from);
    std::erase_if(waiting, [this](const Exchange* exchange) { return !withdraw_bytes(*exchange); });
    std::vector<std::string> too_late;
    for (Exchange* exchange : waiting) {
      if (exchange->deadline <= reactor_.now()) {
        too_late.push_back(exchange->tag);
      } else {
        stream_->write(place(*exchange));
      }
    }
    note_started();
    for (const std::string& tag : too_late) pool_.fail_soon(take(tag), AttemptOutcome::not_sent);
    renew_later();
  }
  void renew_later() {
    const bool waits =
        established_ && std::ranges::any_of(open_, [this](const auto& item) {
          return item.second.kind == Exchange::Kind::shot && stream_->handed_over_bytes() <= item.second.from;
        });
    reactor_.cancel(renewal_);
    if (waits)
      renewal_ = reactor_.at(reactor_.now() + deadline_renewed, [this] {
        renew_deadlines();
        if (open_.empty()) pool_.forget(*this);
      });
  }
  void rest() {
    idle_since_ = reactor_.now();
    alarm_ = reactor_.at(idle_since_ + pool_.bounds_.idle, [this] { pool_.forget(*this); });
  }
  Exchange take(const std::string& tag) {
    const auto it = open_.find(tag);
    Exchange exchange = std::move(it->second);
    open_.erase(it);
    reactor_.cancel(exchange.alarm);
    if (exchange.kind == Exchange::Kind::shot) pool_.shots_.erase({exchange.event, exchange.leg});
    return exchange;
  }
  std::vector<Exchange> take_all() {
    std::vector<Exchange> all;
    while (!open_.empty()) all.push_back(take(std::string(open_.begin()->first)));
    return all;
  }

  // What cannot be read: the one it was meant for has run and has no answer, the others lose their
  // connection.
  void spoilt(const std::string& suspect) {
    pool_.diary_.write(core::Level::warning, "answer cannot be read", {{"server", server_.id}});
    const bool known = open_.contains(suspect) || open_.size() == 1;
    pool_.forget(*this);
    std::vector<Exchange> all = take_all();
    for (const Exchange& exchange : all) {
      const bool meant = all.size() == 1 || exchange.tag == suspect;
      pool_.end(exchange, meant || !known ? AttemptOutcome::error : AttemptOutcome::connection_lost);
    }
  }

  // A connection that ended, a new one also on its way up, may have been cut: what the system took no byte
  // of, which is certain not to have begun, goes on another one, once.
  void fail(AttemptOutcome ending, bool ended) {
    const auto self = hold();
    const std::size_t handed_over = stream_->handed_over_bytes();
    pool_.forget(*this);
    for (Exchange& exchange : take_all()) {
      const bool untouched = handed_over <= exchange.from;
      if (ended && untouched && !exchange.again) {
        exchange.again = true;
        const EndpointId id = exchange.server;
        pool_.start(id, std::move(exchange));
      } else {
        pool_.end(exchange,
                  untouched && ending != AttemptOutcome::not_sent ? AttemptOutcome::connect_failed : ending);
      }
    }
  }

  LinePool& pool_;
  transport::Reactor& reactor_;  // also when the pool is gone
  Server& server_;
  std::shared_ptr<Stream> stream_;
  line_protocol::Reader reader_;
  std::map<std::string, Exchange, std::less<>> open_;
  std::deque<std::string> carried_ids_;
  core::Timer alarm_, renewal_;
  // Of what went on it when it was idle last: how long it had been, since when that is out, and whether
  // anything has come since.
  Time idle_since_ = 0, idle_before_ = 0, sent_ = 0;
  bool came_ = false;
  bool established_ = false, retired_ = false, over_ = false;
};

LinePool::LinePool(transport::Reactor& reactor, const LineBounds& bounds, core::EventLog& diary)
    : reactor_(reactor), bounds_(bounds), diary_(diary) {}
LinePool::~LinePool() = default;

void LinePool::forget(Link& link) {
  Server& server = link.server();
  const auto it = server.links.find(&link);
  if (it == server.links.end()) return;
  link.close();
  --connections_;
  // It may be the one that is calling: it goes when that call has returned. So does its server, after it.
  reactor_.post([this, gone = it->second, id = server.id, alive = std::weak_ptr(life_)] {
    if (!alive.expired()) drop_if_unused(id);
  });
  server.links.erase(it);
}

void LinePool::set_address(const EndpointId& id, const std::string& address) {
  auto& known = servers_[id];
  if (!known) known = std::make_unique<Server>();
  known->id = id;
  if (known->address_text == address && (known->address || address.empty())) return drop_if_unused(id);
  known->address_text = address;
  known->address.reset();
  if (!address.empty()) {
    try {
      known->address = transport::numeric_address(address);
    } catch (const std::invalid_argument& wrong) {
      diary_.write(core::Level::warning, "server cannot be reached",
                   {{"server", id}, {"reason", wrong.what()}});
    }
  }
  const auto links = known->links;
  for (const auto& [link, held] : links) link->retire();
  drop_if_unused(id);
}

// A server that is reached nowhere and has no connection left is forgotten.
void LinePool::drop_if_unused(const EndpointId& id) {
  const auto it = servers_.find(id);
  if (it != servers_.end() && it->second->address_text.empty() && it->second->links.empty())
    reactor_.post([gone = std::shared_ptr<Server>(std::move(it->second))] {}), servers_.erase(it);
}

void LinePool::close_idle(const EndpointId& id) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) return;
  const auto links = it->second->links;
  for (const auto& [link, held] : links) {
    if (link->open() == 0) forget(*link);
  }
}

// An idle connection, the last used first; else a new one, since what is spoilt on a shared one costs its
// neighbours; else the one with the fewest on it.
LinePool::Link* LinePool::link_for(Server& server, const Exchange& exchange) {
  for (;;) {
    Link *idle = nullptr, *shared = nullptr;
    for (const auto& [link, held] : server.links) {
      if (!link->usable(exchange)) continue;
      if (link->open() == 0) {
        if (idle == nullptr || link->idle_since() >= idle->idle_since()) idle = link;
      } else if (shared == nullptr || link->open() < shared->open()) {
        shared = link;
      }
    }
    if (idle != nullptr && !idle->sound()) {
      forget(*idle);
      continue;
    }
    if (idle != nullptr) return idle;
    if (connections_ >= bounds_.connections && !make_room()) return shared;
    const auto link = std::make_shared<Link>(*this, server);
    server.links.emplace(link.get(), link);
    return link.get();
  }
}

// Closes the connection that has been idle longest, whichever server's it is.
bool LinePool::make_room() {
  Link* oldest = nullptr;
  for (const auto& [id, server] : servers_) {
    for (const auto& [link, held] : server->links) {
      if (link->open() == 0 && (oldest == nullptr || link->idle_since() < oldest->idle_since()))
        oldest = link;
    }
  }
  if (oldest != nullptr) forget(*oldest);
  return oldest != nullptr;
}

void LinePool::start(const EndpointId& id, Exchange exchange) {
  exchange.server = id;
  const auto it = servers_.find(id);
  if (it == servers_.end() || !it->second->address)
    return fail_soon(std::move(exchange), AttemptOutcome::connect_failed);
  Link* link = link_for(*it->second, exchange);
  if (link == nullptr) return fail_soon(std::move(exchange), AttemptOutcome::not_sent);
  link->use(std::move(exchange));
}

void LinePool::fail_soon(Exchange exchange, AttemptOutcome ending) {
  auto failed = std::make_shared<Exchange>(std::move(exchange));
  reactor_.post([this, failed, ending, alive = std::weak_ptr(life_)] {
    if (!alive.expired()) end(*failed, ending);
  });
}

void LinePool::send(const core::AttemptCall& call) {
  const std::string *function = call.message.other("function"), *number = call.message.other("number");
  start(call.endpoint, {.event = call.request,
                        .leg = call.attempt_number,
                        .tag = call.message.id,
                        .invocation = line_protocol::invocation(
                            call.message.id, call.message.type, function == nullptr ? "" : *function,
                            number == nullptr ? "" : *number, call.message.data),
                        .deadline = reactor_.now() + call.time_left});
}

void LinePool::cancel(RequestId event, int leg) {
  const auto it = shots_.find({event, leg});
  if (it == shots_.end()) return;
  it->second->give_up(event, leg);
}

bool LinePool::cancel_unsent(RequestId event, int leg) {
  const auto it = shots_.find({event, leg});
  if (it == shots_.end()) return false;
  Link* link = it->second;
  return link->recall(link->tag_of(event, leg)).has_value();
}

void LinePool::cancel_all_unsent(const EndpointId& id) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) return;
  const auto links = it->second->links;
  for (const auto& [link, held] : links) {
    for (const std::string& tag : link->tags()) {
      if (auto recalled = link->recall(tag)) fail_soon(std::move(*recalled), AttemptOutcome::not_sent);
    }
  }
}

void LinePool::probe(const EndpointId& server, Time limit) {
  const std::string tag = "p" + std::to_string(next_tag_++);
  start(server, {.kind = Exchange::Kind::probe,
                 .tag = tag,
                 .bytes = bounds_.reports ? line_protocol::gauges(tag) : line_protocol::alive(tag),
                 .limit = reactor_.now() + limit});
}

void LinePool::prewarm(const EndpointId& server, const FunctionId& function, int copies, Time limit) {
  const std::string tag = "o" + std::to_string(next_tag_++);
  start(server, {.kind = Exchange::Kind::order,
                 .function = function,
                 .tag = tag,
                 .bytes = line_protocol::prewarm(tag, function, copies),
                 .limit = reactor_.now() + limit});
}

void LinePool::evict(const EndpointId& server, const FunctionId& function) {
  start(server,
        {.kind = Exchange::Kind::unload, .function = function, .bytes = line_protocol::evict(function)});
}

void LinePool::answered(const Exchange& exchange, line_protocol::Answer answer) {
  using Kind = Exchange::Kind;
  if (exchange.kind == Kind::shot) {
    auto result = line_protocol::attempt_result(std::move(answer));
    if (!result) return end(exchange, AttemptOutcome::error);  // a word that answers no shot: it may have run
    return carried_->attempt_ended(exchange.event, exchange.leg, std::move(*result));
  }
  const bool good =
      answer.word == (exchange.kind == Kind::probe ? line_protocol::Word::pong : line_protocol::Word::hit) ||
      (exchange.kind == Kind::probe && answer.word == line_protocol::Word::hit);
  const AttemptOutcome ending = good                                       ? AttemptOutcome::succeeded
                                : answer.word == line_protocol::Word::shed ? AttemptOutcome::overloaded
                                                                           : AttemptOutcome::error;
  if (exchange.kind == Kind::probe) return carried_->probe_ended(exchange.server, ending, answer.report);
  carried_->prewarm_ended(exchange.server, exchange.function, ending, answer.copies);
}

void LinePool::end(const Exchange& exchange, AttemptOutcome ending) {
  using Kind = Exchange::Kind;
  if (exchange.kind == Kind::shot)
    return carried_->attempt_ended(exchange.event, exchange.leg, {.outcome = ending});
  if (exchange.kind == Kind::probe) return carried_->probe_ended(exchange.server, ending, {});
  if (exchange.kind == Kind::order) carried_->prewarm_ended(exchange.server, exchange.function, ending, 0);
}

}  // namespace rushhill::upstream

#include "standin/discovery_server.h"

#include <algorithm>
#include <utility>

namespace rushhill::standin {
namespace {

using Json = nlohmann::json;
constexpr std::size_t longest_line = 1024 * 1024;  // bytes a caller may send without a line's end

}  // namespace

class DiscoveryServer::Caller final : public transport::StreamHandler, public transport::Numbered {
 public:
  Caller(DiscoveryServer& board, const transport::PendingConnection& arrival) : board_(board) {
    stream_ = transport::Stream::adopt(board.reactor_, arrival, *this);
  }
  ~Caller() override { stream_->close(); }

  void on_data(std::string_view bytes) override {
    in_ += bytes;
    for (std::size_t end = in_.find('\n'); end != std::string::npos; end = in_.find('\n')) {
      const Json line = Json::parse(in_.substr(0, end), nullptr, false);
      in_.erase(0, end + 1);
      if (!line.is_object()) return leave();
      if (line.contains("announce")) board_.announce(line["announce"]);
      if (!line.contains("ask")) continue;
      router = line.value("router", 0);
      const std::string ask = line.value("ask", "");
      if (ask == "rest") follows = false;
      if (ask == "follow") follows = true;
      if (ask == "follow" || ask == "reload") board_.tell_complete(*this);
    }
    if (in_.size() > longest_line) leave();
  }
  void on_closed(transport::CloseReason) override { leave(); }
  void leave() {
    stream_->close();
    const auto it = board_.callers_.find(this);
    if (it == board_.callers_.end()) return;
    board_.reactor_.post([gone = it->second] {});
    board_.callers_.erase(it);
  }
  void write(const std::string& line) { stream_->write(line); }

  bool follows = false;
  int router = 0;
  Time told_until = 0;  // later words do not overtake earlier ones

 private:
  DiscoveryServer& board_;
  std::shared_ptr<transport::Stream> stream_;
  std::string in_;
};

DiscoveryServer::DiscoveryServer(transport::Reactor& reactor, const transport::Address& address,
                                 const Day& day, Record& record)
    : reactor_(reactor), day_(day), record_(record),
      chance_(static_cast<std::uint_fast32_t>(day.seed % 16'777'211)) {
  holder_ = reactor.reserve(address);
  address_ = holder_->address();
  listen();
}
DiscoveryServer::~DiscoveryServer() { break_off(); }

void DiscoveryServer::listen() {
  listener_ = std::make_unique<transport::Listener>(
      reactor_, address_, true, [this](const transport::PendingConnection& arrival) {
        const auto caller = std::make_shared<Caller>(*this, arrival);
        callers_.emplace(caller.get(), caller);
      });
}

void DiscoveryServer::break_off() {
  listener_.reset();
  while (!callers_.empty()) callers_.begin()->first->leave();
}

void DiscoveryServer::announce(const Json& entry) {
  if (!entry.is_object() || !entry.contains("id")) return;
  Json& known = entries_[entry.value("id", "")];
  if (known == entry) return;
  known = entry;
  ++revision_;
  tell_change(entry);
}

void DiscoveryServer::tell_change(const Json& entry) {
  for (auto& [caller, held] : callers_) {
    if (!caller->follows) continue;
    const double share = static_cast<double>(chance_()) / static_cast<double>(chance_.max());
    const Time lag = day_.discovery_lag_minimum + more_lag_ +
                     static_cast<Time>(share * static_cast<double>(day_.discovery_lag_maximum -
                                                                   day_.discovery_lag_minimum));
    const Time when = std::max(reactor_.now() + lag, caller->told_until);
    caller->told_until = when;
    const Json word{{"form", "changes"}, {"revision", revision_}, {"servers", Json::array({entry})}};
    reactor_.at(when, [this, receiver = caller, alive = std::weak_ptr(held), word] {
      if (!alive.expired()) send(*receiver, word);
    });
  }
}

void DiscoveryServer::tell_complete(Caller& caller) {
  Json servers = Json::array();
  for (const auto& [id, entry] : entries_) {
    if (entry.value("condition", "") != "gone") servers.push_back(entry);
  }
  send(caller, {{"form", "complete"}, {"revision", revision_}, {"servers", std::move(servers)}});
}

void DiscoveryServer::tell_now(const Json& word) {
  for (auto& [caller, held] : callers_) {
    if (caller->follows) send(*caller, word);
  }
}

// What leaves here is what a router is told, and from when on.
void DiscoveryServer::send(Caller& caller, const Json& word) {
  const std::int64_t now = reactor_.clock_ns();
  Json conditions = Json::array();
  for (const Json& entry : word["servers"])
    conditions.push_back(
        {entry.value("id", ""), entry.value("condition", "active"), entry.value("started_ms", 0.0)});
  record_.line({{"what", "told"},
                {"at", now},
                {"router", caller.router},
                {"complete", word.value("form", "") == "complete"},
                {"servers", std::move(conditions)}});
  caller.write(word.dump() + "\n");
}

void DiscoveryServer::play(Time start) {
  for (const Fault& fault : day_.faults) {
    const Time from = start + fault.at, to = from + fault.span;
    if (fault.kind == FaultKind::discovery_lag) {
      reactor_.at(from, [this, size = fault.size] { more_lag_ = static_cast<Time>(size * 10'000); });
      reactor_.at(to, [this] { more_lag_ = 0; });
    } else if (fault.kind == FaultKind::discovery_outage) {
      reactor_.at(from, [this] { break_off(); });
      reactor_.at(to, [this] { listen(); });
    } else if (fault.kind == FaultKind::discovery_contradiction) {
      for (const std::string& server : fault.servers) {
        reactor_.at(from, [this, server] {
          const auto it = entries_.find(server);
          if (it == entries_.end()) return;
          Json other = it->second;
          other["condition"] = "draining";
          tell_now({{"form", "changes"},
                    {"revision", ++revision_},
                    {"servers", Json::array({other, it->second})}});
        });
        reactor_.at(to, [this, server] {
          if (const auto it = entries_.find(server); it != entries_.end()) tell_change(it->second);
        });
      }
    }
  }
}

}  // namespace rushhill::standin

#include "emulator/network.h"

#include <algorithm>
#include <limits>
#include <stdexcept>
#include <string>
#include <utility>

namespace rushhill::emulator {
namespace {

using transport::Address;
using transport::CloseReason;

constexpr std::size_t most_unread = 256 * 1024;  // bytes a peer may leave unread before a writer waits

constexpr int most_doublings = 6;  // of the pause before what was lost is sent again

}  // namespace

// When what is sent now comes, no sooner than what was sent before it.
Time Network::on_its_way(Time not_before) {
  Time moment = now_ + latency_;
  Time pause = again_;
  for (int i = 0; loss_ > 0 && i < most_doublings; ++i) {
    if (std::uniform_real_distribution<double>(0, 1)(chance_) >= loss_) break;
    moment += pause;
    pause *= 2;
  }
  return std::max(moment, not_before);
}

// One end of a connection. What is under way to a closed end is lost, and its sender sees a reset.
class Network::End final : public transport::Stream, public std::enable_shared_from_this<End> {
 public:
  End(Network& network, transport::StreamHandler& user) : network_(network), user_(&user) {}
  ~End() override { End::close(); }

  void write(std::string_view bytes) override {
    if (closed() || finishing_) return;
    out_ += bytes;
    if (established_) flush();
  }
  std::size_t handed_over_bytes() const override { return handed_over_; }
  std::size_t pending_bytes() const override { return out_.size(); }
  void set_reading(bool on) override {
    if (closed() || std::exchange(reading_, on) == on || !on) return;
    network_.post([alive = weak_from_this()] {
      if (const auto self = alive.lock()) self->look();
    });
  }
  bool cancel_unsent(std::size_t from, std::size_t count) override {
    if (from < handed_over_ || from - handed_over_ + count > out_.size()) return false;
    out_.erase(from - handed_over_, count);
    return true;
  }
  Peeked peek() override {
    if (!unread_.empty()) return Peeked::bytes;
    return ended_ ? Peeked::end : Peeked::nothing;
  }
  void shutdown_write() override {
    if (closed() || std::exchange(finishing_, true)) return;
    if (out_.empty() && established_) to_peer([](End& peer) { peer.hear_end(CloseReason::closed_by_peer); });
  }
  void close() override { leave(CloseReason::closed_by_peer); }
  void reset() override { leave(CloseReason::reset); }
  bool closed() const override { return user_ == nullptr; }

  // The two ends are joined when the listener takes the connection; the connecting one hears of it later.
  void join(const std::shared_ptr<End>& other) {
    peer_ = other;
    other->peer_ = weak_from_this();
    established_ = reading_ = true;
  }
  bool joined() const { return !peer_.expired(); }
  void establish() {
    if (closed()) return;
    established_ = reading_ = true;
    user_->on_connected();
    if (closed()) return;
    const bool waited = !out_.empty();
    flush();
    if (finishing_ && out_.empty()) to_peer([](End& peer) { peer.hear_end(CloseReason::closed_by_peer); });
    if (waited && out_.empty() && !closed()) user_->on_write_drained();
    look();
  }
  void lose(CloseReason why) {
    if (closed()) return;
    transport::StreamHandler* user = std::exchange(user_, nullptr);
    out_.clear();
    user->on_closed(why);
  }

 private:
  template <typename Call>
  void to_peer(Call call) {
    last_comes_ = network_.on_its_way(last_comes_);
    network_.at(last_comes_, [peer = peer_, call = std::move(call)] {
      if (const auto end = peer.lock()) call(*end);
    });
  }
  void flush() {
    const auto peer = peer_.lock();
    if (!peer || out_.empty()) return;
    const std::size_t room = most_unread - std::min(most_unread, peer->unread_.size() + under_way_);
    const std::size_t part = std::min(room, out_.size());
    if (part == 0) return;
    handed_over_ += part;
    network_.bytes_ += part;
    under_way_ += part;
    std::string bytes = part == out_.size() ? std::exchange(out_, {}) : out_.substr(0, part);
    if (!out_.empty()) out_.erase(0, part);
    to_peer([bytes = std::move(bytes), from = weak_from_this()](End& end) {
      if (const auto sender = from.lock()) sender->under_way_ -= bytes.size();
      end.hear(bytes);
    });
  }
  void hear(const std::string& bytes) {
    if (closed()) return to_peer([](End& peer) { peer.hear_end(CloseReason::reset); });
    unread_ += bytes;
    look();
  }
  void hear_end(CloseReason how) {
    ended_ = true;
    how_ = how;
    // A reset overtakes what was not read.
    if (how == CloseReason::reset) return lose(CloseReason::reset);
    look();
  }
  void look() {
    if (closed() || !reading_) return;
    const auto self = shared_from_this();
    if (!unread_.empty()) {
      const std::string bytes = std::exchange(unread_, {});
      to_peer([](End& peer) { peer.room(); });
      user_->on_data(bytes);
    }
    if (ended_ && unread_.empty() && reading_) lose(how_);
  }
  void room() {
    if (closed() || out_.empty()) return;
    flush();
    if (!out_.empty()) return;
    if (finishing_) to_peer([](End& peer) { peer.hear_end(CloseReason::closed_by_peer); });
    user_->on_write_drained();
  }
  void leave(CloseReason how) {
    if (closed()) return;
    user_ = nullptr;
    out_.clear();
    if (!unread_.empty()) how = CloseReason::reset;  // what was sent and never read: a reset
    to_peer([how](End& peer) { peer.hear_end(how); });
  }

  Network& network_;
  transport::StreamHandler* user_;
  std::weak_ptr<End> peer_;
  std::string out_, unread_;
  std::size_t handed_over_ = 0, under_way_ = 0;
  Time last_comes_ = 0;  // of what was sent, to the other end
  bool established_ = false, reading_ = false, finishing_ = false, ended_ = false;
  CloseReason how_ = CloseReason::closed_by_peer;
};

class Network::Arrived final : public transport::PendingConnection {
 public:
  explicit Arrived(std::shared_ptr<End> from) : caller(std::move(from)) {}
  void refuse() const override {}  // nobody adopts it, which is what its caller sees
  std::shared_ptr<End> caller;
};

class Network::Listening final : public transport::BoundSocket {
 public:
  Listening(Network& network, const Address& address, transport::AcceptHandler call)
      : accepted(std::move(call)), network_(network), address_(address) {
    network.listening_[address.port()].push_back(this);
  }
  ~Listening() override { std::erase(network_.listening_[address_.port()], this); }
  Address address() const override { return address_; }
  transport::AcceptHandler accepted;

 private:
  Network& network_;
  Address address_;
};

class Network::Hearing final : public transport::BoundSocket {
 public:
  Hearing(Network& network, const Address& address, transport::DatagramHandler heard)
      : network_(network), address_(address), heard_(std::move(heard)) {
    network.hearing_[address.port()] = this;
  }
  ~Hearing() override { network_.hearing_.erase(address_.port()); }
  Address address() const override { return address_; }
  bool send(const Address& to, std::string_view bytes) override {
    network_.bytes_ += bytes.size();
    ++network_.datagrams_;
    network_.at(network_.now() + network_.latency_,
                [&network = network_, port = to.port(), from = address_, text = std::string(bytes)] {
                  const auto it = network.hearing_.find(port);
                  if (it != network.hearing_.end()) it->second->heard_(from, text);
                });
    return true;
  }

 private:
  Network& network_;
  Address address_;
  transport::DatagramHandler heard_;
};

class Network::Holding final : public transport::BoundSocket {
 public:
  explicit Holding(const Address& address) : address_(address) {}
  Address address() const override { return address_; }

 private:
  Address address_;
};

Network::~Network() {
  // What still stands may hold streams; they go while the rest of the network is there.
  soon_.clear();
  alarms_ = {};
}

Address Network::free(const Address& address) {
  if (address.port() != 0) return address;
  if (next_port_ == 65'535) throw std::runtime_error("the emulated network has no port left");
  return {address.host(), ++next_port_};
}

std::shared_ptr<transport::Stream> Network::connect(const Address& address, transport::StreamHandler& user) {
  const auto end = std::make_shared<End>(*this, user);
  at(now_ + latency_, [this, port = address.port(), weak = std::weak_ptr(end)] {
    const auto caller = weak.lock();
    if (!caller || caller->closed()) return;
    const auto& listeners = listening_[port];
    if (!listeners.empty()) listeners[turns_++ % listeners.size()]->accepted(Arrived(caller));
    at(now_ + latency_, [weak] {
      const auto waiting = weak.lock();
      if (!waiting) return;
      if (waiting->joined()) return waiting->establish();
      waiting->lose(CloseReason::connect_failed);
    });
  });
  return end;
}

std::shared_ptr<transport::Stream> Network::adopt(const transport::PendingConnection& arrival,
                                                  transport::StreamHandler& user) {
  const auto end = std::make_shared<End>(*this, user);
  end->join(static_cast<const Arrived&>(arrival).caller);
  return end;
}

std::unique_ptr<transport::BoundSocket> Network::listen(const Address& address, bool,
                                                        transport::AcceptHandler accepted) {
  return std::make_unique<Listening>(*this, free(address), std::move(accepted));
}
std::unique_ptr<transport::BoundSocket> Network::open_datagrams(const Address& address,
                                                                transport::DatagramHandler heard) {
  return std::make_unique<Hearing>(*this, free(address), std::move(heard));
}
std::unique_ptr<transport::BoundSocket> Network::reserve(const Address& address) {
  return std::make_unique<Holding>(free(address));
}
std::unique_ptr<transport::BoundSocket> Network::listen_inherited(int, transport::AcceptHandler) {
  throw std::invalid_argument("an emulated router inherits no socket");
}
std::unique_ptr<transport::BoundSocket> Network::open_inherited_datagrams(int, transport::DatagramHandler) {
  throw std::invalid_argument("an emulated router inherits no socket");
}

void Network::turn(Time until) {
  halted_ = false;
  while (!halted_) {
    while (!soon_.empty() && !halted_) {
      for (const Call& call : std::exchange(soon_, {})) {
        ++happenings_;
        call();
      }
    }
    const auto next = alarms_.next_deadline();
    if (halted_ || !next || *next > until) break;
    now_ = std::max(now_, *next);
    ++happenings_;
    alarms_.fire_due(now_);
  }
}
void Network::run() { turn(std::numeric_limits<Time>::max()); }
void Network::run_until(Time moment) {
  turn(moment);
  if (!halted_) now_ = std::max(now_, moment);
}

}  // namespace rushhill::emulator

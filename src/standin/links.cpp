#include "standin/links.h"

#include <algorithm>
#include <array>
#include <deque>
#include <string>
#include <utility>

namespace rushhill::standin {
namespace {

constexpr std::size_t most_held = 1024 * 1024;  // bytes one way; then the sender is left waiting
constexpr Time throttle_step = 100;             // tenths of a millisecond between two parts of a slowed way
constexpr double garbled_share = 0.3;           // of what comes in one piece

}  // namespace

// One connection: from the router that dialled to the one that was meant, and back.
class Links::Pass final : public transport::Numbered {
 public:
  Pass(Links& links, int from, int to, const transport::PendingConnection& arrival)
      : links_(links), ends_{End{*this, from, to}, End{*this, to, from}} {
    const transport::Address& there = links.copies_[static_cast<std::size_t>(to)];
    ends_[0].stream = transport::Stream::adopt(links.reactor_, arrival, ends_[0]);
    ends_[1].stream = transport::Stream::connect(links.reactor_, there, ends_[1]);
    if (links.ails(from, to, FaultKind::link_twice) != nullptr) {
      twin_ = std::make_unique<Deaf>();
      twin_->stream = transport::Stream::connect(links.reactor_, there, *twin_);
    }
  }
  ~Pass() {
    for (End& end : ends_) {
      links_.reactor_.cancel(end.next);
      if (end.stream) end.stream->close();
    }
    if (twin_) twin_->stream->close();
  }

  void leave(bool reset) {
    const auto it = links_.passes_.find(this);
    if (it == links_.passes_.end()) return;
    const auto held = it->second;
    links_.passes_.erase(it);
    for (End& end : ends_) {
      links_.reactor_.cancel(end.next);
      if (reset) end.stream->reset();
      end.stream->close();
    }
    links_.reactor_.post([held] {});
  }

  // What waited may go on.
  void look() {
    for (End& end : ends_) pass_on(end);
  }

 private:
  // What one router sends, on its way to the other.
  struct End final : transport::StreamHandler {
    End(Pass& of, int by, int for_whom) : pass(of), from(by), to(for_whom) {}
    void on_data(std::string_view came) override { pass.came(*this, came); }
    void on_closed(transport::CloseReason why) override { pass.lost(*this, why); }
    Pass& pass;
    int from, to;
    std::shared_ptr<transport::Stream> stream{};      // where it comes from
    std::deque<std::pair<Time, std::string>> held{};  // and when it may go on
    std::size_t bytes = 0;
    core::Timer next{};
    bool over = false;
  };
  // The second of two connections that carry the same; what it answers is heard by nobody.
  struct Deaf final : transport::StreamHandler {
    void on_data(std::string_view) override {}
    void on_closed(transport::CloseReason) override { gone = true; }
    std::shared_ptr<transport::Stream> stream{};
    bool gone = false;
  };
  End& across(End& end) { return &end == &ends_[0] ? ends_[1] : ends_[0]; }

  void came(End& end, std::string_view bytes) {
    std::string text(bytes);
    if (links_.ails(end.from, end.to, FaultKind::link_garble) != nullptr && draw() < garbled_share)
      text[static_cast<std::size_t>(draw() * static_cast<double>(text.size()))] ^= 0x41;
    if (links_.ails(end.from, end.to, FaultKind::link_cut) != nullptr) {
      across(end).stream->write(
          text.substr(0, static_cast<std::size_t>(draw() * static_cast<double>(text.size()))));
      return leave(true);
    }
    const double* delay = links_.ails(end.from, end.to, FaultKind::link_delay);
    const Time now = links_.reactor_.now();
    end.held.emplace_back(now + (delay == nullptr ? 0 : static_cast<Time>(*delay * 10)), std::move(text));
    end.bytes += bytes.size();
    if (end.bytes > most_held) end.stream->set_reading(false);
    pass_on(end);
  }

  void pass_on(End& end) {
    links_.reactor_.cancel(end.next);
    if (links_.ails(end.from, end.to, FaultKind::link_drop) != nullptr) return;
    const Time now = links_.reactor_.now();
    const double* rate = links_.ails(end.from, end.to, FaultKind::link_throttle);
    std::size_t room =
        rate == nullptr ? most_held * 2 : static_cast<std::size_t>(*rate * throttle_step / 10'000);
    room = std::max<std::size_t>(room, 1);
    while (!end.held.empty() && end.held.front().first <= now && room > 0) {
      std::string& text = end.held.front().second;
      const std::string part = text.substr(0, room);
      room -= part.size();
      end.bytes -= part.size();
      across(end).stream->write(part);
      if (twin_ && &end == &ends_[0] && !twin_->gone) twin_->stream->write(part);
      text.erase(0, part.size());
      if (text.empty()) end.held.pop_front();
    }
    if (end.bytes <= most_held && !end.over) end.stream->set_reading(true);
    if (end.held.empty()) {
      if (end.over) leave(false);
      return;
    }
    const Time when = std::max(end.held.front().first, now + throttle_step);
    end.next = links_.reactor_.at(when, [this, &end] { pass_on(end); });
  }

  void lost(End& end, transport::CloseReason why) {
    // Also an end is not heard of through a way that lets nothing pass.
    end.over = true;
    if (why != transport::CloseReason::closed_by_peer && end.held.empty() &&
        links_.ails(end.from, end.to, FaultKind::link_drop) == nullptr)
      return leave(why == transport::CloseReason::reset);
    pass_on(end);
  }

  double draw() { return std::uniform_real_distribution<double>(0, 1)(links_.chance_); }

  Links& links_;
  std::array<End, 2> ends_;
  std::unique_ptr<Deaf> twin_;
};

Links::Links(transport::Reactor& reactor, const Day& day, std::vector<transport::Address> copies)
    : reactor_(reactor), day_(day), copies_(std::move(copies)),
      ways_(static_cast<std::size_t>(day.routers * day.routers)), chance_(day.seed) {
  for (int from = 0; from < day_.routers; ++from) {
    for (int to = 0; to < day_.routers; ++to) {
      listeners_.push_back(std::make_unique<transport::Listener>(
          reactor_, transport::numeric_address("127.0.0.1:0"), false,
          [this, from, to](const transport::PendingConnection& arrival) {
            const auto pass = std::make_shared<Pass>(*this, from, to, arrival);
            passes_.emplace(pass.get(), pass);
          }));
    }
  }
}
Links::~Links() = default;

transport::Address Links::address(int from, int to) const {
  return listeners_[static_cast<std::size_t>(from * day_.routers + to)]->address();
}

const double* Links::ails(int from, int to, FaultKind kind) {
  const auto& kinds = way(from, to).kinds;
  const auto it = kinds.find(kind);
  return it == kinds.end() ? nullptr : &it->second;
}

void Links::play(Time start) {
  for (const Fault& one : day_.faults) {
    if (one.kind < FaultKind::link_drop) continue;
    reactor_.at(start + one.at, [this, one] { fault(one, true); });
    reactor_.at(start + one.at + one.span, [this, one] { fault(one, false); });
  }
}

void Links::fault(const Fault& fault, bool begins) {
  for (int other = 0; other < day_.routers; ++other) {
    if (other == fault.router || (fault.other >= 0 && other != fault.other)) continue;
    const bool one_way = fault.kind == FaultKind::link_one_way;
    const FaultKind kind = one_way ? FaultKind::link_drop : fault.kind;
    for (Ailing* ailing : {&way(fault.router, other), &way(other, fault.router)}) {
      if (begins) ailing->kinds[kind] = fault.size;
      if (!begins) ailing->kinds.erase(kind);
      if (one_way) break;
    }
  }
  const auto passes = passes_;
  for (const auto& [pass, held] : passes) {
    if (passes_.contains(pass)) pass->look();
  }
}

}  // namespace rushhill::standin

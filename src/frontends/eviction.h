// Which connection a front closes to take another one, where it holds as many as it may.
#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "core/timer_service.h"

namespace rushhill::frontends {

// What a connection is held for; what stands first goes first, and of equal ones the one that has been so for
// longest. One with a request that awaits its answer never goes.
enum class Holding { nothing, idle, half_request, just_come, unread_answer };
struct Rank {
  Holding holding = Holding::idle;
  Time since = 0;
};

constexpr Time come_for =
    500;  // tenths of a millisecond; its first request, or the rest of one, is on its way
constexpr Time unread_for = 2'000;     // likewise; an answer is still being read
constexpr Time looked_again = 100;     // likewise; all were at work
constexpr Time refused_after = 3'000;  // likewise; as long as all are at work, what comes stands in the queue
constexpr Time remembered_for = 500;   // likewise; what a scan found, as long as a silent one has just come
constexpr std::size_t scan_factor = 8;       // connections scanned for each that goes, however many there are
constexpr std::size_t passing_factor = 256;  // likewise, where all that could go have just come or are read
constexpr std::size_t spare_candidates = 16;  // known beyond that, as some may have been written to

// Connection: holds(now), nothing where it is at work, and untouched(), whether nothing stands to be read.
template <typename Connection>
class Eviction {
 public:
  // Whether what stands in the listener's queue is to be taken: where the front holds as many as it may, one
  // goes for it. While none can go it waits there; where that lasts it is taken, to be refused.
  template <typename Connections, typename Forget>
  bool room(const Connections& connections, std::size_t most, Time now, const Forget& forget) {
    if (connections.size() >= most) {
      const auto gone = next(connections, now);
      if (!gone) {
        if (full_since_ == 0) full_since_ = now;
        return now - full_since_ >= refused_after;
      }
      forget(*gone);
    }
    full_since_ = 0;
    return true;
  }

 private:
  // Where there are many the next few are found in one scan, so that a flood at the limit costs a turn of the
  // loop no more where the limit is high.
  template <typename Connections>
  std::shared_ptr<Connection> next(const Connections& connections, Time now) {
    if (now - scanned_at_ >= remembered_for) candidates_.clear();
    if (auto connection = take(now)) return connection;
    if (now < look_at_) return nullptr;
    scan(connections, now);
    auto connection = take(now);
    forget_passing(connections.size() / passing_factor);
    if (!connection) look_at_ = now + looked_again;
    return connection;
  }
  template <typename Connections>
  void scan(const Connections& connections, Time now) {
    scanned_at_ = now;
    for (const auto& [key, connection] : connections) {
      const std::optional<Rank> rank = connection->holds(now);
      if (rank && (rank->holding != Holding::unread_answer || now - rank->since >= unread_for))
        candidates_.emplace_back(*rank, connection);
    }
    const std::size_t wanted = 1 + connections.size() / scan_factor + spare_candidates;
    const std::size_t known = std::min(wanted, candidates_.size());
    std::ranges::partial_sort(candidates_, candidates_.begin() + offset(known), goes_earlier);
    candidates_.resize(known);
    std::ranges::reverse(candidates_);
  }
  // Who has just come, or still reads, goes only where nobody else can, which holds for the next few at most.
  void forget_passing(std::size_t few) {
    const auto settled = static_cast<std::size_t>(std::ranges::count_if(
        candidates_, [](const Candidate& one) { return one.first.holding < Holding::just_come; }));
    const std::size_t kept = std::min(std::max(few, settled), candidates_.size());
    candidates_.erase(candidates_.begin(), candidates_.end() - offset(kept));
  }
  // The first to go stands at the back. One that has been used since it was looked at stays.
  std::shared_ptr<Connection> take(Time now) {
    while (!candidates_.empty()) {
      const auto [rank, candidate] = candidates_.back();
      candidates_.pop_back();
      auto connection = candidate.lock();
      const auto still = connection ? connection->holds(now) : std::nullopt;
      if (still && still->since == rank.since && connection->untouched()) return connection;
    }
    return nullptr;
  }

  using Candidate = std::pair<Rank, std::weak_ptr<Connection>>;
  static bool goes_earlier(const Candidate& a, const Candidate& b) {
    return std::pair(a.first.holding, a.first.since) < std::pair(b.first.holding, b.first.since);
  }
  static std::ptrdiff_t offset(std::size_t count) { return static_cast<std::ptrdiff_t>(count); }

  std::vector<Candidate> candidates_;
  Time scanned_at_ = 0, look_at_ = 0, full_since_ = 0;
};

}  // namespace rushhill::frontends

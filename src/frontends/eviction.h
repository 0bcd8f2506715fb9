// Which connection a full frontend closes to accept another one.
#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "frontends/connection_activity.h"

namespace rushhill::frontends {

// Times in tenths of a millisecond.
constexpr Time unread_answer_grace = 2'000;  // an answer is still being read for so long
constexpr Time rescan_interval = 100;        // after a scan that found nothing to evict
constexpr Time refuse_after = 3'000;         // full for so long, new connections are refused
constexpr Time candidates_valid_for = 500;   // a silent client's connection is found that soon
constexpr std::size_t scan_factor = 8;       // connections scanned for each candidate, however many there are
constexpr std::size_t reluctant_factor = 256;  // likewise, where all candidates are in grace or being read
constexpr std::size_t spare_candidates = 16;   // beyond that, as some may have become active again

// Chooses the connections to evict. `Connection` has eviction_rank(now), nothing where an answer is owed, and
// has_no_unread_input(), whether nothing has come on it that has not been read.
template <typename Connection>
class Eviction {
 public:
  // `limit`: connections that the frontend may hold.
  explicit Eviction(std::size_t limit) : limit_(limit) {}

  // Whether a connection that waits in the listener's queue is to be accepted. In a full frontend one is
  // evicted for it by a call of `evict`. While none can be evicted it waits in the queue; where that lasts,
  // it is to be accepted, and refused.
  template <typename Connections, typename Evict>
  bool make_room(const Connections& connections, Time now, const Evict& evict) {
    if (connections.size() >= limit_) {
      const auto evicted = next(connections, now);
      if (!evicted) {
        if (full_since_ == 0) full_since_ = now;
        return now - full_since_ >= refuse_after;
      }
      evict(*evicted);
    }
    full_since_ = 0;
    return true;
  }

 private:
  using Candidate = std::pair<EvictionRank, std::weak_ptr<Connection>>;

  // One scan finds the next few, so that a flood of connections at a high limit costs an iteration of the
  // loop no more than at a low one.
  template <typename Connections>
  std::shared_ptr<Connection> next(const Connections& connections, Time now) {
    if (now - scanned_at_ >= candidates_valid_for) candidates_.clear();
    if (auto connection = pop_candidate(now)) return connection;
    if (now < next_scan_at_) return nullptr;
    scan(connections, now);
    auto connection = pop_candidate(now);
    drop_reluctant(connections.size() / reluctant_factor);
    if (!connection) next_scan_at_ = now + rescan_interval;
    return connection;
  }
  template <typename Connections>
  void scan(const Connections& connections, Time now) {
    scanned_at_ = now;
    for (const auto& [key, connection] : connections) {
      const std::optional<EvictionRank> rank = connection->eviction_rank(now);
      if (rank && (rank->held_for != HeldFor::unread_answer || now - rank->since >= unread_answer_grace))
        candidates_.emplace_back(*rank, connection);
    }
    const std::size_t wanted = 1 + connections.size() / scan_factor + spare_candidates;
    const std::size_t known = std::min(wanted, candidates_.size());
    std::ranges::partial_sort(candidates_, candidates_.begin() + offset(known), is_evicted_before);
    candidates_.resize(known);
    std::ranges::reverse(candidates_);
  }
  // A connection in its grace period, or whose answer is being read, is evicted only where no other can be;
  // that holds for the next few at most.
  void drop_reluctant(std::size_t few) {
    const auto settled =
        static_cast<std::size_t>(std::ranges::count_if(candidates_, [](const Candidate& candidate) {
          return candidate.first.held_for < HeldFor::grace_period;
        }));
    const std::size_t kept = std::min(std::max(few, settled), candidates_.size());
    candidates_.erase(candidates_.begin(), candidates_.end() - offset(kept));
  }
  // The next to be evicted stands at the back. One that has been used since the scan stays open.
  std::shared_ptr<Connection> pop_candidate(Time now) {
    while (!candidates_.empty()) {
      const auto [rank, candidate] = candidates_.back();
      candidates_.pop_back();
      auto connection = candidate.lock();
      const auto current = connection ? connection->eviction_rank(now) : std::nullopt;
      if (current && current->since == rank.since && connection->has_no_unread_input()) return connection;
    }
    return nullptr;
  }

  static bool is_evicted_before(const Candidate& left, const Candidate& right) {
    return std::pair(left.first.held_for, left.first.since) <
           std::pair(right.first.held_for, right.first.since);
  }
  static std::ptrdiff_t offset(std::size_t count) { return static_cast<std::ptrdiff_t>(count); }

  std::size_t limit_;
  std::vector<Candidate> candidates_;
  Time scanned_at_ = 0;
  Time next_scan_at_ = 0;
  Time full_since_ = 0;  // 0: not full
};

}  // namespace rushhill::frontends

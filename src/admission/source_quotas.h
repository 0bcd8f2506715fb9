// Weighted quotas of open requests: how many requests each source may have open, so that a flood from one
// source does not starve the others. Free of I/O, clock and randomness.
#pragma once

#include <cstddef>
#include <vector>

namespace rushhill::admission {

// Each source has a quota, in proportion to its weight. It may also use what the others leave of theirs,
// except for a reserve that stays free for each source that is below its quota.
class SourceQuotas {
 public:
  using Source = std::size_t;
  // `max_open`: requests open at once, over all sources.
  explicit SourceQuotas(std::size_t max_open) : max_open_(max_open) {}

  Source add(double weight);
  // Returns whether one more request of the source may be admitted.
  bool may_admit(Source source) const;
  void on_admitted(Source source) {
    ++sources_[source].open;
    ++open_;
  }
  void ended(Source source) {
    --sources_[source].open;
    --open_;
  }

  std::size_t quota(Source source) const;
  std::size_t open(Source source) const { return sources_[source].open; }
  std::size_t open() const { return open_; }
  // Chooses the source that is furthest below its quota, among those that have requests waiting and may admit
  // one. Returns false if there is none.
  template <typename HasWaiting>
  bool next_source(HasWaiting has_waiting, Source& chosen) const {
    bool found = false;
    for (Source source = 0; source < sources_.size(); ++source) {
      if (!has_waiting(source) || !may_admit(source)) continue;
      if (!found || open_per_weight(source) < open_per_weight(chosen)) chosen = source;
      found = true;
    }
    return found;
  }

 private:
  struct SourceState {
    double weight = 1;
    std::size_t open = 0;
  };
  double open_per_weight(Source source) const {
    return static_cast<double>(sources_[source].open) / sources_[source].weight;
  }

  std::size_t max_open_;
  std::vector<SourceState> sources_;
  double total_weight_ = 0;
  std::size_t open_ = 0;
};

}  // namespace rushhill::admission

// Weighted taking between sources of events: how many each may have open, so that one's flood starves no
// other. Free of I/O, clock and chance.
#pragma once

#include <cstddef>
#include <vector>

namespace rushhill::admission {

// Each source has a part of the whole by its weight that is always its own to take. What others leave of
// theirs may be borrowed but for a reserve, which is kept free for each that is below its part.
class Shares {
 public:
  using Source = std::size_t;
  // `whole`: events open at once, over all sources.
  explicit Shares(std::size_t whole) : whole_(whole) {}

  Source add(double weight);
  bool may_take(Source source) const;
  void took(Source source) {
    ++sources_[source].open;
    ++open_;
  }
  void ended(Source source) {
    --sources_[source].open;
    --open_;
  }

  std::size_t part(Source source) const;
  std::size_t open(Source source) const { return sources_[source].open; }
  std::size_t open() const { return open_; }
  // Of those that wait and may take, the one whose open events are the smallest share of its part.
  template <typename Waits>
  bool next(Waits waits, Source& chosen) const {
    bool found = false;
    for (Source source = 0; source < sources_.size(); ++source) {
      if (!waits(source) || !may_take(source)) continue;
      if (!found || fill(source) < fill(chosen)) chosen = source;
      found = true;
    }
    return found;
  }

 private:
  struct Row {
    double weight = 1;
    std::size_t open = 0;
  };
  double fill(Source source) const {
    return static_cast<double>(sources_[source].open) / sources_[source].weight;
  }

  std::size_t whole_;
  std::vector<Row> sources_;
  double weights_ = 0;
  std::size_t open_ = 0;
};

}  // namespace rushhill::admission

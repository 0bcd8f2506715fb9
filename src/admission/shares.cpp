#include "admission/shares.h"

#include <algorithm>

namespace rushhill::admission {
namespace {

constexpr std::size_t reserve_parts = 4;  // a quarter of its part is kept free for a source that is below it

}  // namespace

Shares::Source Shares::add(double weight) {
  sources_.push_back({.weight = std::max(weight, 1e-6)});
  weights_ += sources_.back().weight;
  return sources_.size() - 1;
}

std::size_t Shares::part(Source source) const {
  const double part = static_cast<double>(whole_) * sources_[source].weight / weights_;
  return std::max<std::size_t>(static_cast<std::size_t>(part), 1);
}

bool Shares::may_take(Source source) const {
  if (open_ >= whole_) return false;
  if (sources_[source].open < part(source)) return true;
  // Beyond its own part: only of what is not reserved.
  std::size_t reserved = 0;
  for (Source other = 0; other < sources_.size(); ++other) {
    if (other == source || sources_[other].open >= part(other)) continue;
    const std::size_t missing = part(other) - sources_[other].open;
    reserved += std::min(missing, std::max<std::size_t>(part(other) / reserve_parts, 1));
  }
  return open_ + reserved < whole_;
}

}  // namespace rushhill::admission

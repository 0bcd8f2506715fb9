#include "admission/source_quotas.h"

#include <algorithm>

namespace rushhill::admission {
namespace {

// A quarter of its quota is reserved for each source that is below its quota.
constexpr std::size_t reserve_divisor = 4;

}  // namespace

SourceQuotas::Source SourceQuotas::add(double weight) {
  sources_.push_back({.weight = std::max(weight, 1e-6)});
  total_weight_ += sources_.back().weight;
  return sources_.size() - 1;
}

std::size_t SourceQuotas::quota(Source source) const {
  const double quota = static_cast<double>(max_open_) * sources_[source].weight / total_weight_;
  return std::max<std::size_t>(static_cast<std::size_t>(quota), 1);
}

bool SourceQuotas::may_admit(Source source) const {
  if (open_ >= max_open_) return false;
  if (sources_[source].open < quota(source)) return true;
  // Above its quota a source may use only what is not reserved for others.
  std::size_t reserved = 0;
  for (Source other = 0; other < sources_.size(); ++other) {
    if (other == source || sources_[other].open >= quota(other)) continue;
    const std::size_t unused = quota(other) - sources_[other].open;
    reserved += std::min(unused, std::max<std::size_t>(quota(other) / reserve_divisor, 1));
  }
  return open_ + reserved < max_open_;
}

}  // namespace rushhill::admission

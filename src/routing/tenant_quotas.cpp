#include "routing/tenant_quotas.h"

#include <algorithm>

namespace rushhill::routing {
namespace {

// Capacity of a bucket in addition to one second's tokens. At less than one token a second, requests arrive
// too irregularly for a smaller one.
constexpr double burst_tokens = 3;

}  // namespace

TenantQuotas::TenantQuotas(const std::vector<Tenant>& tenants, int routers) {
  for (const Tenant& tenant : tenants) {
    const double part = std::max(tenant.quota_per_s, 0.0) / std::max(1, routers);
    buckets_.try_emplace(tenant.name, TokenBucket{.tokens_per_s = part});
  }
}

bool TenantQuotas::take_token(Timestamp now, const std::string& tenant) {
  const auto found = buckets_.find(tenant);
  if (found == buckets_.end() || found->second.tokens_per_s <= 0) return true;
  TokenBucket& bucket = found->second;
  const double rate = bucket.tokens_per_s;
  const FractionalDuration elapsed = now - bucket.refilled_at;
  bucket.tokens += rate * elapsed / one_second;
  bucket.tokens = std::min(bucket.tokens, rate + burst_tokens);
  bucket.refilled_at = now;
  if (bucket.tokens < 1) return false;
  bucket.tokens -= 1;
  return true;
}

}  // namespace rushhill::routing

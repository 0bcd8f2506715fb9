// Quotas of the tenants at one router (docs/design.md, "Quotas" and "Overload"). A request beyond its
// tenant's quota is not rejected for that alone, but it is shed first when the endpoints are overloaded.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "routing/types.h"

namespace rushhill::routing {

// A token bucket for each tenant. The quota holds for all routers together; each router gets an equal part of
// it.
class TenantQuotas {
 public:
  TenantQuotas(const std::vector<Tenant>& tenants, int routers);

  // Takes a token for one request. Returns whether the request is within its tenant's quota, which is always
  // the case if the tenant has none.
  bool take_token(Timestamp now, const std::string& tenant);

 private:
  // One tenant's bucket, filled at this router's part of the quota.
  struct TokenBucket {
    double tokens_per_s = 0;  // 0 if the tenant has no quota
    double tokens = 0;
    Timestamp refilled_at{};
  };

  std::map<std::string, TokenBucket> buckets_;
};

}  // namespace rushhill::routing

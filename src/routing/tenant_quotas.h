// Tenants' quotas, per router (docs/design.md, "Quotas" and "Overload"). A request beyond its tenant's quota
// is not rejected for that alone: it gives way first when the endpoints are overloaded.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "routing/types.h"

namespace rushhill::routing {

// A token bucket for each tenant that has a quota. The quota holds for all routers together; each takes an
// even part.
class TenantQuotas {
 public:
  TenantQuotas(const std::vector<Tenant>& tenants, int routers);

  // Counts the request and says whether it is within its tenant's quota. A tenant without a quota always is.
  bool take(Timestamp now, const std::string& tenant);

 private:
  // One tenant's part at this router.
  struct TokenBucket {
    double tokens_per_s = 0;  // 0: no quota
    double tokens = 0;
    Timestamp refilled_at{};
  };

  std::map<std::string, TokenBucket> buckets_;
};

}  // namespace rushhill::routing

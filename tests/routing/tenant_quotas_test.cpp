#include "routing/tenant_quotas.h"

#include <gtest/gtest.h>

namespace rushhill::routing {
namespace {

constexpr Timestamp start{100 * one_second};

int requests_within_quota(TenantQuotas& quotas, Timestamp now, int requests) {
  int within = 0;
  for (int i = 0; i < requests; ++i) within += quotas.take_token(now, "acme") ? 1 : 0;
  return within;
}

TEST(TenantQuotas, TenantWithoutAQuotaIsNeverBeyondIt) {
  TenantQuotas quotas({{.name = "acme", .quota_per_s = 0}}, 1);
  EXPECT_EQ(requests_within_quota(quotas, start, 1'000), 1'000);
  EXPECT_TRUE(quotas.take_token(start, "unknown"));
}

TEST(TenantQuotas, QuotaIsSharedEvenlyByTheRouters) {
  TenantQuotas quotas({{.name = "acme", .quota_per_s = 40}}, 4);
  requests_within_quota(quotas, start, 1'000);
  EXPECT_EQ(requests_within_quota(quotas, start + one_second, 1'000), 10);
}

TEST(TenantQuotas, SavesTheTokensOfOneSecondAndABurst) {
  TenantQuotas quotas({{.name = "acme", .quota_per_s = 10}}, 1);
  EXPECT_EQ(requests_within_quota(quotas, start, 1'000), 10 + 3);
}

TEST(TenantQuotas, ShareBelowOneRequestASecondAccumulatesOverSeveralSeconds) {
  TenantQuotas quotas({{.name = "acme", .quota_per_s = 1}}, 4);
  requests_within_quota(quotas, start, 1'000);
  EXPECT_FALSE(quotas.take_token(start + 2 * one_second, "acme"));
  EXPECT_TRUE(quotas.take_token(start + 4 * one_second, "acme"));
}

}  // namespace
}  // namespace rushhill::routing

// Descriptors are counted, and too few are said at the start.
#include "transport/descriptors.h"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <stdexcept>

namespace rushhill::transport {
namespace {

TEST(Descriptors, WhatIsOpenIsTakenOffTheLimitThatIsLower) {
  rlimit system{};
  getrlimit(RLIMIT_NOFILE, &system);
  rlimit less = system;
  less.rlim_cur = 100;
  setrlimit(RLIMIT_NOFILE, &less);
  const std::size_t of_system = descriptors_left(0);
  EXPECT_LT(of_system, 100U);
  EXPECT_EQ(descriptors_left(200), of_system);
  EXPECT_EQ(descriptors_left(90), of_system - 10);
  const int one = dup(STDERR_FILENO);
  EXPECT_EQ(descriptors_left(0), of_system - 1);
  close(one);
  setrlimit(RLIMIT_NOFILE, &system);
}

TEST(Descriptors, WhatIsLeftBesideTheReserveIsHalvedAndTooFewAreSaid) {
  const DescriptorShares shares = share_descriptors(60, 5);
  EXPECT_EQ(shares.clients, 28U);
  EXPECT_EQ(shares.servers, 27U);
  EXPECT_NO_THROW(share_descriptors(7, 5));
  try {
    share_descriptors(6, 5);
    FAIL() << "taken";
  } catch (const std::invalid_argument& wrong) {
    EXPECT_STREQ(wrong.what(), "too few descriptors: 6 are left, at least 7 are needed");
  }
}

}  // namespace
}  // namespace rushhill::transport

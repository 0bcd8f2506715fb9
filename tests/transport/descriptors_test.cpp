// Checks how descriptors are counted and divided, and that having too few of them is an error.
#include "transport/descriptors.h"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <stdexcept>

namespace rushhill::transport {
namespace {

TEST(Descriptors, SubtractsOpenDescriptorsFromTheLowerLimit) {
  rlimit system{};
  getrlimit(RLIMIT_NOFILE, &system);
  rlimit lowered = system;
  lowered.rlim_cur = 100;
  setrlimit(RLIMIT_NOFILE, &lowered);
  const std::size_t left = descriptors_left(0);
  EXPECT_LT(left, 100U);
  EXPECT_EQ(descriptors_left(200), left);
  EXPECT_EQ(descriptors_left(90), left - 10);
  const int duplicate = dup(STDERR_FILENO);
  EXPECT_EQ(descriptors_left(0), left - 1);
  close(duplicate);
  setrlimit(RLIMIT_NOFILE, &system);
}

TEST(Descriptors, HalvesDescriptorsBeyondTheReserveAndRejectsTooFew) {
  const DescriptorShares shares = share_descriptors(60, 5);
  EXPECT_EQ(shares.clients, 28U);
  EXPECT_EQ(shares.servers, 27U);
  EXPECT_NO_THROW(share_descriptors(7, 5));
  try {
    share_descriptors(6, 5);
    FAIL() << "taken";
  } catch (const std::invalid_argument& error) {
    EXPECT_STREQ(error.what(),
                 "too few file descriptors: 6 are available, but at least 7 are required; raise the limit on "
                 "open files");
  }
}

}  // namespace
}  // namespace rushhill::transport

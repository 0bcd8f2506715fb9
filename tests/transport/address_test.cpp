// Addresses in digits.
#include "transport/address.h"

#include <gtest/gtest.h>

#include <stdexcept>

namespace rushhill::transport {
namespace {

TEST(NumericAddress, ANameIsNeverLookedUp) {
  EXPECT_EQ(numeric_address("127.0.0.1:80").toString(), "127.0.0.1:80");
  for (const char* bad : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:99999", ":80", "", "[::1:80"})
    EXPECT_THROW(numeric_address(bad), std::invalid_argument) << bad;
}

}  // namespace
}  // namespace rushhill::transport

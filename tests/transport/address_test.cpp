// Checks that only numeric addresses are accepted, so that no host name is ever resolved.
#include "transport/address.h"

#include <gtest/gtest.h>

#include <stdexcept>

namespace rushhill::transport {
namespace {

TEST(NumericAddress, RejectsHostNamesAndMalformedAddresses) {
  EXPECT_EQ(numeric_address("127.0.0.1:80").toString(), "127.0.0.1:80");
  for (const char* invalid :
       {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:99999", ":80", "", "[::1:80"})
    EXPECT_THROW(numeric_address(invalid), std::invalid_argument) << invalid;
}

}  // namespace
}  // namespace rushhill::transport

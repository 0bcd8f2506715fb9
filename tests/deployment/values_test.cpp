// Values of the deployment file: what each parser takes, its bounds, and the reason of what it refuses.
#include "deployment/values.h"

#include <gtest/gtest.h>

#include <functional>

namespace rushhill::deployment {
namespace {

std::string reason_of(const std::function<void()>& parse) {
  try {
    parse();
    return "taken";
  } catch (const InvalidValue& invalid) {
    return invalid.what();
  }
}

TEST(Values, ASpanIsCountedInTenthsOfAMillisecondByItsUnit) {
  EXPECT_EQ(span("0"), Duration::zero());
  EXPECT_EQ(span("100us"), to_duration(1));
  EXPECT_EQ(span("12.5ms"), to_duration(125));
  EXPECT_EQ(span("2.5s"), to_duration(25'000));
  EXPECT_EQ(span("3min"), to_duration(1'800'000));
  EXPECT_EQ(span("168h"), to_duration(6'048'000'000));
}

TEST(Values, ASpanBeyondAWeekBelowTheStepOrWithoutUnitIsRefused) {
  EXPECT_EQ(reason_of([] { span("168.1h"); }), "'168.1h' is not from 0 to a week");
  EXPECT_EQ(reason_of([] { span("50us"); }), "'50us' is not whole tenths of a millisecond");
  EXPECT_EQ(reason_of([] { span("20"); }), "'20' is not a time with its unit, as 750ms or 2.5s");
  EXPECT_EQ(reason_of([] { span("1e999s"); }), "'1e999' is not a number");
  EXPECT_EQ(reason_of([] { positive_span("0s"); }), "must be longer than 0");
}

TEST(Values, BoundsOfNumbersAreIncluded) {
  EXPECT_EQ(number_in("1", {.least = 0.5, .most = 1}), 1);
  EXPECT_EQ(int_in("7", {.least = 7, .most = 9}), 7);
  EXPECT_EQ(reason_of([] { number_in("1.5", {.least = 0.5, .most = 1}); }), "'1.5' is not from 0.5 to 1");
  EXPECT_EQ(reason_of([] { int_in("10", {.least = 7, .most = 9}); }), "'10' is not from 7 to 9");
  EXPECT_EQ(reason_of([] { int_in("7x", {.least = 7, .most = 9}); }), "'7x' is not a whole number");
}

TEST(Values, SizesHaveUnitsAndEndAtAGibibyte) {
  EXPECT_EQ(bytes("1B"), 1U);
  EXPECT_EQ(bytes("64KiB"), 64U * 1024);
  EXPECT_EQ(bytes("1024MiB"), 1U << 30U);
  EXPECT_EQ(reason_of([] { bytes("1025MiB"); }), "'1025' is not from 1 to 1024");
  EXPECT_EQ(reason_of([] { bytes("12"); }), "'12' is not a size with its unit, as 64KiB or 1MiB");
}

TEST(Values, AddressesAreNumericOrInheritedDescriptors) {
  EXPECT_EQ(socket_address("[::1]:0"), "[::1]:0");
  EXPECT_EQ(socket_address("fd:3"), "fd:3");
  EXPECT_EQ(reason_of([] { socket_address("fd:2"); }), "'2' is not from 3 to 1048576");
  EXPECT_EQ(reason_of([] { socket_address("8080"); }),
            "'8080' is neither an address with a port, as 127.0.0.1:8080, nor fd:N");
  EXPECT_EQ(optional_socket_address(""), "");
}

TEST(Values, WordsOutsideTheListAreRefusedWithTheList) {
  const auto parse = [](const std::string& text) { return one_of<int>(text, {{"one", 1}, {"two", 2}}); };
  EXPECT_EQ(parse("two"), 2);
  EXPECT_EQ(reason_of([&] { parse("three"); }), "'three' is none of one, two");
}

}  // namespace
}  // namespace rushhill::deployment

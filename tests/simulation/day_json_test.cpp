// A day's file is read as it was written, and a wrong one is named.
#include "simulation/day_json.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "simulation/bad_day.h"

namespace rushhill::simulation {
namespace {

Day small_day() { return scripted_bad_day({.events = 100, .rate = 50, .seed = 4}); }

// The reason why a day with that change is refused; empty: it is accepted.
std::string refusal_of(const char* field, const nlohmann::json& value) {
  nlohmann::json day = nlohmann::json::parse(to_json(small_day()));
  day[field] = value;
  try {
    day_from_json(day.dump());
  } catch (const std::invalid_argument& refusal) {
    return refusal.what();
  }
  return "";
}

TEST(DayJsonTest, WrittenDayIsReadBackUnchanged) {
  const Day day = small_day();
  const std::string text = to_json(day);
  const Day read = day_from_json(text);
  EXPECT_EQ(to_json(read), text);
  EXPECT_EQ(read.faults.size(), day.faults.size());
  EXPECT_EQ(read.faults.back().servers, day.faults.back().servers);
}

TEST(DayJsonTest, EveryKindOfFaultKeepsItsName) {
  for (int kind = 0; kind <= static_cast<int>(FaultKind::link_twice); ++kind) {
    const auto fault = static_cast<FaultKind>(kind);
    EXPECT_EQ(fault_kind_of(name_of(fault)), fault);
  }
  EXPECT_FALSE(fault_kind_of("no such fault"));
}

TEST(DayJsonTest, RequestClassKeepsItsPromises) {
  const Day read = day_from_json(to_json(small_day()));
  const RequestClassSpec* form = read.type("counter-form");
  ASSERT_NE(form, nullptr);
  EXPECT_EQ(form->retry_safety, RetrySafety::keyed);
  EXPECT_EQ(form->deduplication_scope, DeduplicationScope::location);
  EXPECT_EQ(read.type("fee-booking")->retry_safety, RetrySafety::at_most_once);
}

TEST(DayJsonTest, WrongFieldIsNamed) {
  EXPECT_EQ(refusal_of("types", nlohmann::json::array({{{"name", "form"}, {"effect", "twice"}}})),
            "field 'effect' has no value 'twice'");
  EXPECT_EQ(refusal_of("rate", "fast"), "field 'rate' is of the wrong type");
  EXPECT_EQ(refusal_of("servers", 3), "field 'servers' is not a list");
  EXPECT_EQ(refusal_of("types", nlohmann::json::array({1})), "an entry of 'types' is not an object");
  EXPECT_EQ(refusal_of("troubles", nlohmann::json::array({{{"kind", "storm"}}})),
            "trouble 'storm' is of no known kind");
  EXPECT_EQ(refusal_of("functions", nlohmann::json::array()),
            "the day has no servers, no functions or no types");
  EXPECT_EQ(refusal_of("rate", 0), "rate, events and routers must be above 0");
  EXPECT_EQ(refusal_of("rate", 10), "");
}

}  // namespace
}  // namespace rushhill::simulation

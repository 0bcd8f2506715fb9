#include "routing/endpoint_table.h"

#include <gtest/gtest.h>

namespace rushhill::routing {
namespace {

constexpr Timestamp now{100 * one_second};
constexpr Duration removed_retention = 120 * one_second;

TEST(EndpointTable, UpdateReportsWhatItChanged) {
  EndpointTable endpoints;
  EXPECT_TRUE(endpoints.update({.id = "a"}).added);
  const EndpointUpdate same = endpoints.update({.id = "a"});
  EXPECT_FALSE(same.added);
  EXPECT_FALSE(same.restarted);
  EXPECT_TRUE(endpoints.update({.id = "a", .started = now}).restarted);
  EXPECT_EQ(endpoints.find("b"), nullptr);
  EXPECT_EQ(endpoints.find("a"), &endpoints.at("a"));
}

TEST(EndpointTable, RemovedEndpointGetsNoRequestsAndIsErasedLater) {
  EndpointTable endpoints;
  endpoints.update({.id = "a"});
  EXPECT_TRUE(endpoints.at("a").may_receive());
  endpoints.remove(now, endpoints.at("a"));
  EXPECT_FALSE(endpoints.at("a").may_receive());
  endpoints.remove(now + one_second, endpoints.at("a"));
  endpoints.erase_removed(now + removed_retention);
  EXPECT_NE(endpoints.find("a"), nullptr);
  const std::uint64_t version = endpoints.version();
  endpoints.erase_removed(now + removed_retention + Duration{1});
  EXPECT_EQ(endpoints.find("a"), nullptr);
  EXPECT_NE(endpoints.version(), version) << "pointers to erased records have to be looked up again";
}

TEST(EndpointTable, KeepsTheRecordWhileAttemptsAreOpenOrAfterTheEndpointReturned) {
  EndpointTable endpoints;
  endpoints.update({.id = "open"}).record.in_flight.sent();
  endpoints.update({.id = "back"});
  for (const char* id : {"open", "back"}) endpoints.remove(now, endpoints.at(id));
  endpoints.update({.id = "back"});
  endpoints.erase_removed(now + 2 * removed_retention);
  EXPECT_NE(endpoints.find("open"), nullptr);
  EXPECT_NE(endpoints.find("back"), nullptr);
}

TEST(EndpointTable, RetentionStartsAnewWhenAReturnedEndpointIsRemovedAgain) {
  EndpointTable endpoints;
  for (const char* id : {"a", "b"}) endpoints.update({.id = id});
  endpoints.remove(now, endpoints.at("a"));
  endpoints.update({.id = "a"});
  endpoints.remove(now + one_second, endpoints.at("a"));
  endpoints.erase_removed(now + removed_retention + Duration{1});
  EXPECT_NE(endpoints.find("a"), nullptr);
  endpoints.remove(now + removed_retention, endpoints.at("b"));
  endpoints.erase_removed(now + one_second + removed_retention + Duration{1});
  EXPECT_EQ(endpoints.find("a"), nullptr);
  EXPECT_NE(endpoints.find("b"), nullptr);
}

TEST(EndpointRecord, WeightInPlacementIsTheRatingTimesThePlacementFactor) {
  EndpointRecord record;
  record.endpoint.rating = 0;
  EXPECT_EQ(record.weight(), 1);
  record.endpoint.rating = 3;
  record.placement_weight.observe(1, 0.5);
  EXPECT_DOUBLE_EQ(record.weight_in_placement(), 3 * std::exp(-0.5));
}

}  // namespace
}  // namespace rushhill::routing

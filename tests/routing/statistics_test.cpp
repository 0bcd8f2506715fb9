#include "routing/statistics.h"

#include <gtest/gtest.h>

namespace rushhill::routing {
namespace {

TEST(Statistics, FirstSampleBecomesTheMean) {
  double mean = 0;
  add_sample(mean, 40);
  EXPECT_EQ(mean, 40);
}

TEST(Statistics, LaterSamplesMoveTheMeanByTheSampleWeight) {
  double mean = 40;
  add_sample(mean, 60);
  EXPECT_DOUBLE_EQ(mean, 40 + 20 * new_sample_weight);
}

TEST(Statistics, MeanConvergesToAConstantSample) {
  double mean = 40;
  for (int i = 0; i < 100; ++i) add_sample(mean, 60);
  EXPECT_NEAR(mean, 60, 0.2);
}

TEST(Statistics, MedianOfNoValuesIsTheFallback) {
  std::vector<double> none;
  EXPECT_EQ(median(none, 7), 7);
}

TEST(Statistics, MedianIsTheMiddleOrTheLargerOfTheTwoMiddleValues) {
  std::vector<double> odd{9, 1, 5};
  EXPECT_EQ(median(odd, 0), 5);
  std::vector<double> even{4, 1, 3, 2};
  EXPECT_EQ(median(even, 0), 3);
}

}  // namespace
}  // namespace rushhill::routing

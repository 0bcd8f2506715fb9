// What counts as a line, and that nothing else is carried on as one.
#include "scale/fit.h"

#include <gtest/gtest.h>

#include <cmath>

namespace rushhill::scale {
namespace {

const std::vector<double> sizes{125, 250, 500, 1'000, 2'000};

Fit fit_of(double (*cost)(double)) {
  std::vector<double> costs;
  for (const double size : sizes) costs.push_back(cost(size));
  return fit({.sizes = sizes, .costs = costs});
}

TEST(FitStory, ALineIsFoundAndCarriedOn) {
  const Fit found = fit_of([](double n) { return 900 + 7 * n; });
  EXPECT_EQ(found.shape, Shape::line);
  EXPECT_NEAR(found.base, 900, 1e-6);
  EXPECT_NEAR(found.slope, 7, 1e-9);
  EXPECT_LT(found.residual, 1e-9);
  ASSERT_TRUE(found.at(4'000).has_value());
  EXPECT_NEAR(*found.at(4'000), 28'900, 1e-6);
}

TEST(FitStory, WhatIsAlikeAtAllSizesIsFlat) {
  EXPECT_EQ(fit_of([](double n) { return 1'000 + n / 100; }).shape, Shape::flat);
}

TEST(FitStory, ASquareIsACurveAndNotCarriedOn) {
  const Fit found = fit_of([](double n) { return n * n; });
  EXPECT_EQ(found.shape, Shape::curve);
  EXPECT_NEAR(found.power, 2, 1e-9);
  EXPECT_EQ(name_of(found), "curve ~n^2.0");
  EXPECT_FALSE(found.at(4'000).has_value());
  ASSERT_TRUE(found.at(700).has_value());
  EXPECT_NEAR(*found.at(700), 490'000, 1e-3) << "between its points, on logarithms";
}

TEST(FitStory, ASquareBesideALargeLineIsStillACurve) {
  EXPECT_EQ(fit_of([](double n) { return 500 * n + n * n; }).shape, Shape::curve);
  EXPECT_EQ(fit_of([](double n) { return 1e5 + n * n; }).shape, Shape::curve);
}

TEST(FitStory, PointsThatFollowNothingAreScattered) {
  const Fit found = fit({.sizes = sizes, .costs = {5, 900, 3, 1'200, 40}});
  EXPECT_EQ(found.shape, Shape::scattered);
  EXPECT_FALSE(found.at(4'000).has_value());
}

TEST(FitStory, TooFewPointsAreNoFit) {
  EXPECT_THROW(fit({.sizes = {1, 2}, .costs = {1, 2}}), std::invalid_argument);
}

}  // namespace
}  // namespace rushhill::scale

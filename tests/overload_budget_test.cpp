#include "overload_budget.h"

#include <gtest/gtest.h>

namespace firspool {
namespace {

TEST(OverloadBudget, ToleratesWhatTheTermsOfServiceName) {
  EXPECT_DOUBLE_EQ(tolerated_calls(0), 3);
  EXPECT_DOUBLE_EQ(tolerated_calls(16), 16 + 3 * 4 + 3);
  EXPECT_DOUBLE_EQ(tolerated_calls(100), 100 + 2 * 10 + 2);
}

TEST(OverloadBudget, ASafeMeanIsFourDeviationsUnderItsLimit) {
  for (const double limit : {0.5, 6.0, 30.0, 700.0}) {
    const double mean = largest_safe_mean(limit);
    EXPECT_GT(mean, 0);
    EXPECT_NEAR(mean + 4 * std::sqrt(mean), limit, 1e-9);
  }
  EXPECT_EQ(largest_safe_mean(-1), 0);
}

TEST(OverloadBudget, InformedRelaysLeaveRoomForTheOthers) {
  EXPECT_DOUBLE_EQ(informed_calls_limit(100, 0), 122);
  EXPECT_DOUBLE_EQ(informed_calls_limit(100, 20), 102);
  EXPECT_DOUBLE_EQ(informed_calls_limit(100, 1e6), 122 / 3.0);
  EXPECT_DOUBLE_EQ(minority_calls(100, 20), 10);
  EXPECT_DOUBLE_EQ(minority_calls(100, 1000), 100);
}

}  // namespace
}  // namespace firspool

#include "admission/room.h"

#include <gtest/gtest.h>

namespace umberhoist::admission {
namespace {

constexpr Time kSecond = 1'000'000;
constexpr Time kFar = 1000 * kSecond;

CapacityForecast forecast_after(double per_second, size_t bytes) {
  CapacityForecast forecast(kSecond / 10, 3 * kSecond);
  for (int i = 0; i < 10 * per_second; ++i)
    forecast.record_release(static_cast<Time>(i / per_second * kSecond), bytes);
  return forecast;
}

TEST(CapacityForecast, FollowsHowFastMessagesEnd) {
  // One message of 1,000 bytes ends each second: there is room for another in about a second, and no sooner
  // for half its size.
  const CapacityForecast slow = forecast_after(1, 1000);
  EXPECT_NEAR(static_cast<double>(slow.time_until_available(10 * kSecond, 1000, kFar)), 1e6, 5e5);
  EXPECT_EQ(slow.time_until_available(10 * kSecond, 500, kFar),
            slow.time_until_available(10 * kSecond, 1000, kFar));
  EXPECT_GT(slow.time_until_available(10 * kSecond, 2000, kFar),
            3 * slow.time_until_available(10 * kSecond, 1000, kFar) / 2);
  // A hundred messages end each second: the estimate is the minimum.
  EXPECT_EQ(forecast_after(100, 1000).time_until_available(10 * kSecond, 1000, kFar), kSecond / 10);
}

TEST(CapacityForecast, WhereNothingEndsTheFirstThatMustEndTells) {
  const CapacityForecast fresh(kSecond / 10, 3 * kSecond);
  EXPECT_EQ(fresh.time_until_available(0, 100, 2 * kSecond), 2 * kSecond);
  EXPECT_EQ(fresh.time_until_available(0, 100, kFar), 3 * kSecond) << "the maximum";
  EXPECT_EQ(fresh.time_until_available(5 * kSecond, 100, kSecond), kSecond / 10)
      << "the first message should have ended already";
  // Messages that ended long ago no longer count.
  EXPECT_EQ(forecast_after(100, 1000).time_until_available(100 * kSecond, 1000, 102 * kSecond), 2 * kSecond);
}

}  // namespace
}  // namespace umberhoist::admission

// The partner model, in simulated time.
#include "standins/partner.h"

#include <gtest/gtest.h>

namespace umberhoist::standins {
namespace {

PartnerSettings test_settings() {
  PartnerSettings out;
  out.mean_service_time = 100 * kMillisecond;
  out.cv = 0;
  out.concurrency = 2;
  out.max_queue_wait = 200 * kMillisecond;
  out.retry_after_share = 1;
  return out;
}

Partner make_partner(const PartnerSettings& settings) {
  return Partner(settings, [] { return 0.5; });
}

constexpr Time kStart = 1000 * kSecond;

TEST(Partner, ServesSoManyAtOnceQueuesAWhileAndTurnsTheRestAway) {
  Partner p = make_partner(test_settings());
  EXPECT_EQ(p.handle_call(kStart).at, kStart + 100 * kMillisecond);
  EXPECT_EQ(p.handle_call(kStart).at, kStart + 100 * kMillisecond);
  const PartnerResponse waits = p.handle_call(kStart);
  EXPECT_EQ(waits.executes_at, kStart + 100 * kMillisecond);
  EXPECT_EQ(waits.at, kStart + 200 * kMillisecond);
  p.handle_call(kStart);
  p.handle_call(kStart);
  p.handle_call(kStart);
  const PartnerResponse full = p.handle_call(kStart);  // the wait for a free place would be 300 ms
  EXPECT_EQ(full.status, 503);
  EXPECT_FALSE(full.executes);
}

TEST(Partner, AWindowedLimitTellsTheWaitToTheEndOfItsSpan) {
  PartnerSettings s = test_settings();
  s.concurrency = 100;
  s.limit = PartnerSettings::Limit::kWindow;
  s.limit_rate = 3;
  Partner p = make_partner(s);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(p.handle_call(kStart + 400 * kMillisecond).status, 200);
  const PartnerResponse over = p.handle_call(kStart + 400 * kMillisecond);
  EXPECT_EQ(over.status, 429);
  EXPECT_EQ(over.retry_after, 600 * kMillisecond);
  EXPECT_EQ(p.handle_call(kStart + kSecond).status, 200);  // the next window
}

TEST(Partner, APlainRateRefillsAndItsToldWaitIsHonest) {
  PartnerSettings s = test_settings();
  s.concurrency = 100;
  s.limit = PartnerSettings::Limit::kRate;
  s.limit_rate = 5;
  Partner p = make_partner(s);
  PartnerResponse v;
  int accepted = 0;
  while ((v = p.handle_call(kStart)).status == 200) ++accepted;
  EXPECT_EQ(accepted, 5);
  EXPECT_GT(v.retry_after, 0);
  EXPECT_EQ(p.handle_call(kStart + v.retry_after).status, 200);
}

TEST(Partner, ItComesBackColdAndWarmsUp) {
  Partner p = make_partner(test_settings());
  p.begin_fault(Fault::kUnavailable, kStart, kStart + 10 * kSecond, 0, true);
  const PartnerResponse shut = p.handle_call(kStart + kSecond);
  EXPECT_EQ(shut.status, 429);
  EXPECT_EQ(shut.retry_after, 9 * kSecond);
  p.end_fault(kStart + 10 * kSecond);
  EXPECT_NEAR(p.capacity_share(kStart + 10 * kSecond), 0.21, 1e-9);
  EXPECT_NEAR(p.capacity_share(kStart + 16 * kSecond), 0.605, 1e-9);
  EXPECT_EQ(p.capacity_share(kStart + 22 * kSecond), 1);
  const PartnerResponse cold = p.handle_call(kStart + 10 * kSecond);
  EXPECT_NEAR(static_cast<double>(cold.at - kStart - 10 * kSecond), 1e5 / 0.21, 2);
}

TEST(Partner, PushedWhileItIsColdItFallsOverForGood) {
  Partner p = make_partner(test_settings());  // 20 calls per second
  p.begin_fault(Fault::kHang, kStart, kStart + kSecond, 0, false);
  p.end_fault(kStart + kSecond);
  Time now = kStart + kSecond;
  for (int i = 0; i < 200; ++i) p.handle_call(now += 10 * kMillisecond);
  EXPECT_TRUE(p.overloaded());
  EXPECT_EQ(p.handle_call(now + 100 * kSecond).status, 503);
}

TEST(Partner, AModerateLoadDoesNotPushItOver) {
  Partner p = make_partner(test_settings());
  p.begin_fault(Fault::kHang, kStart, kStart + kSecond, 0, false);
  p.end_fault(kStart + kSecond);
  Time now = kStart + kSecond;
  for (int i = 0; i < 60; ++i) p.handle_call(now += 200 * kMillisecond);
  EXPECT_FALSE(p.overloaded());
}

TEST(Partner, DropsARepeatWhileItRemembersTheKey) {
  Partner p = make_partner(test_settings());
  EXPECT_TRUE(p.execute(kStart, 7));
  EXPECT_FALSE(p.execute(kStart + 14 * kSecond, 7));
  EXPECT_TRUE(p.execute(kStart + 15 * kSecond, 7));  // the window counts from the first execution
  EXPECT_TRUE(p.execute(kStart, 0));                 // without a key each call has an effect
  EXPECT_TRUE(p.execute(kStart, 0));
}

TEST(Partner, SilentAndHungItAnswersNothing) {
  for (const Fault trouble : {Fault::kSilent, Fault::kHang}) {
    Partner p = make_partner(test_settings());
    p.begin_fault(trouble, kStart, kStart + kSecond, 0, false);
    EXPECT_EQ(p.handle_call(kStart).kind, PartnerResponse::Kind::kNone);
    p.end_fault(kStart + kSecond);
    EXPECT_EQ(p.handle_call(kStart + kSecond).status, 200);
  }
}

TEST(Partner, FailingResettingAndSpoilingAreSharesOfItsCalls) {
  Partner p = make_partner(test_settings());  // the random source always returns 0.5
  p.begin_fault(Fault::kServerError, kStart, kStart + kSecond, 0.6, false);
  EXPECT_EQ(p.handle_call(kStart).status, 500);
  p.begin_fault(Fault::kServerError, kStart, kStart + kSecond, 0.4, false);
  EXPECT_EQ(p.handle_call(kStart).status, 200);
  p.begin_fault(Fault::kReset, kStart, kStart + kSecond, 0.6, false);
  EXPECT_EQ(p.handle_call(kStart).kind, PartnerResponse::Kind::kReset);
  p.begin_fault(Fault::kMalformed, kStart, kStart + kSecond, 0.6, false);
  const PartnerResponse spoilt = p.handle_call(kStart);
  EXPECT_EQ(spoilt.kind, PartnerResponse::Kind::kMalformed);
  EXPECT_TRUE(spoilt.executes);
}

}  // namespace
}  // namespace umberhoist::standins

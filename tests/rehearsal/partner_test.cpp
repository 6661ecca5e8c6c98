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
  Partner partner = make_partner(test_settings());
  EXPECT_EQ(partner.handle_call(kStart).at, kStart + 100 * kMillisecond);
  EXPECT_EQ(partner.handle_call(kStart).at, kStart + 100 * kMillisecond);
  const PartnerResponse queued = partner.handle_call(kStart);
  EXPECT_EQ(queued.executes_at, kStart + 100 * kMillisecond);
  EXPECT_EQ(queued.at, kStart + 200 * kMillisecond);
  partner.handle_call(kStart);
  partner.handle_call(kStart);
  partner.handle_call(kStart);
  const PartnerResponse refused = partner.handle_call(kStart);  // the wait for a free place would be 300 ms
  EXPECT_EQ(refused.status, 503);
  EXPECT_FALSE(refused.executes);
}

TEST(Partner, AWindowedLimitTellsTheWaitToTheEndOfItsSpan) {
  PartnerSettings s = test_settings();
  s.concurrency = 100;
  s.limit = PartnerSettings::Limit::kWindow;
  s.limit_rate = 3;
  Partner partner = make_partner(s);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(partner.handle_call(kStart + 400 * kMillisecond).status, 200);
  const PartnerResponse over_limit = partner.handle_call(kStart + 400 * kMillisecond);
  EXPECT_EQ(over_limit.status, 429);
  EXPECT_EQ(over_limit.retry_after, 600 * kMillisecond);
  EXPECT_EQ(partner.handle_call(kStart + kSecond).status, 200);  // the next window
}

TEST(Partner, APlainRateRefillsAndItsToldWaitIsHonest) {
  PartnerSettings s = test_settings();
  s.concurrency = 100;
  s.limit = PartnerSettings::Limit::kRate;
  s.limit_rate = 5;
  Partner partner = make_partner(s);
  PartnerResponse response;
  int accepted = 0;
  while ((response = partner.handle_call(kStart)).status == 200) ++accepted;
  EXPECT_EQ(accepted, 5);
  EXPECT_GT(response.retry_after, 0);
  EXPECT_EQ(partner.handle_call(kStart + response.retry_after).status, 200);
}

TEST(Partner, ItComesBackColdAndWarmsUp) {
  Partner partner = make_partner(test_settings());
  partner.begin_fault(Fault::kUnavailable, kStart, kStart + 10 * kSecond, 0, true);
  const PartnerResponse unavailable = partner.handle_call(kStart + kSecond);
  EXPECT_EQ(unavailable.status, 429);
  EXPECT_EQ(unavailable.retry_after, 9 * kSecond);
  partner.end_fault(kStart + 10 * kSecond);
  EXPECT_NEAR(partner.capacity_share(kStart + 10 * kSecond), 0.21, 1e-9);
  EXPECT_NEAR(partner.capacity_share(kStart + 16 * kSecond), 0.605, 1e-9);
  EXPECT_EQ(partner.capacity_share(kStart + 22 * kSecond), 1);
  const PartnerResponse during_slow_start = partner.handle_call(kStart + 10 * kSecond);
  EXPECT_NEAR(static_cast<double>(during_slow_start.at - kStart - 10 * kSecond), 1e5 / 0.21, 2);
}

TEST(Partner, PushedWhileItIsColdItFallsOverForGood) {
  Partner partner = make_partner(test_settings());  // 20 calls per second
  partner.begin_fault(Fault::kHang, kStart, kStart + kSecond, 0, false);
  partner.end_fault(kStart + kSecond);
  Time now = kStart + kSecond;
  for (int i = 0; i < 200; ++i) partner.handle_call(now += 10 * kMillisecond);
  EXPECT_TRUE(partner.overloaded());
  EXPECT_EQ(partner.handle_call(now + 100 * kSecond).status, 503);
}

TEST(Partner, AModerateLoadDoesNotPushItOver) {
  Partner partner = make_partner(test_settings());
  partner.begin_fault(Fault::kHang, kStart, kStart + kSecond, 0, false);
  partner.end_fault(kStart + kSecond);
  Time now = kStart + kSecond;
  for (int i = 0; i < 60; ++i) partner.handle_call(now += 200 * kMillisecond);
  EXPECT_FALSE(partner.overloaded());
}

TEST(Partner, DropsARepeatWhileItRemembersTheKey) {
  Partner partner = make_partner(test_settings());
  EXPECT_TRUE(partner.execute(kStart, 7));
  EXPECT_FALSE(partner.execute(kStart + 14 * kSecond, 7));
  EXPECT_TRUE(partner.execute(kStart + 15 * kSecond, 7));  // the window counts from the first execution
  EXPECT_TRUE(partner.execute(kStart, 0));                 // without a key each call has an effect
  EXPECT_TRUE(partner.execute(kStart, 0));
}

TEST(Partner, SilentAndHungItAnswersNothing) {
  for (const Fault fault : {Fault::kSilent, Fault::kHang}) {
    Partner partner = make_partner(test_settings());
    partner.begin_fault(fault, kStart, kStart + kSecond, 0, false);
    EXPECT_EQ(partner.handle_call(kStart).kind, PartnerResponse::Kind::kNone);
    partner.end_fault(kStart + kSecond);
    EXPECT_EQ(partner.handle_call(kStart + kSecond).status, 200);
  }
}

TEST(Partner, FailingResettingAndSpoilingAreSharesOfItsCalls) {
  Partner partner = make_partner(test_settings());  // the random source always returns 0.5
  partner.begin_fault(Fault::kServerError, kStart, kStart + kSecond, 0.6, false);
  EXPECT_EQ(partner.handle_call(kStart).status, 500);
  partner.begin_fault(Fault::kServerError, kStart, kStart + kSecond, 0.4, false);
  EXPECT_EQ(partner.handle_call(kStart).status, 200);
  partner.begin_fault(Fault::kReset, kStart, kStart + kSecond, 0.6, false);
  EXPECT_EQ(partner.handle_call(kStart).kind, PartnerResponse::Kind::kReset);
  partner.begin_fault(Fault::kMalformed, kStart, kStart + kSecond, 0.6, false);
  const PartnerResponse malformed = partner.handle_call(kStart);
  EXPECT_EQ(malformed.kind, PartnerResponse::Kind::kMalformed);
  EXPECT_TRUE(malformed.executes);
}

}  // namespace
}  // namespace umberhoist::standins

// The model of a partner, in made-up time.
#include "standins/partner.h"

#include <gtest/gtest.h>

namespace umberhoist::standins {
namespace {

PartnerSettings plain() {
  PartnerSettings out;
  out.service = 100 * kMillisecond;
  out.cv = 0;
  out.places = 2;
  out.queue = 200 * kMillisecond;
  out.tells_wait = 1;
  return out;
}

Partner partner(const PartnerSettings& settings) {
  return Partner(settings, [] { return 0.5; });
}

constexpr Time kStart = 1000 * kSecond;

TEST(Partner, ServesSoManyAtOnceQueuesAWhileAndTurnsTheRestAway) {
  Partner p = partner(plain());
  EXPECT_EQ(p.call(kStart).at, kStart + 100 * kMillisecond);
  EXPECT_EQ(p.call(kStart).at, kStart + 100 * kMillisecond);
  const Verdict waits = p.call(kStart);
  EXPECT_EQ(waits.runs_at, kStart + 100 * kMillisecond);
  EXPECT_EQ(waits.at, kStart + 200 * kMillisecond);
  p.call(kStart);
  p.call(kStart);
  p.call(kStart);
  const Verdict full = p.call(kStart);  // it would wait 300 ms
  EXPECT_EQ(full.status, 503);
  EXPECT_FALSE(full.runs);
}

TEST(Partner, AWindowedLimitTellsTheWaitToTheEndOfItsSpan) {
  PartnerSettings s = plain();
  s.places = 100;
  s.limit = PartnerSettings::Limit::kWindow;
  s.limit_rate = 3;
  Partner p = partner(s);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(p.call(kStart + 400 * kMillisecond).status, 200);
  const Verdict over = p.call(kStart + 400 * kMillisecond);
  EXPECT_EQ(over.status, 429);
  EXPECT_EQ(over.wait, 600 * kMillisecond);
  EXPECT_EQ(p.call(kStart + kSecond).status, 200);  // there is room again
}

TEST(Partner, APlainRateRefillsAndItsToldWaitIsHonest) {
  PartnerSettings s = plain();
  s.places = 100;
  s.limit = PartnerSettings::Limit::kRate;
  s.limit_rate = 5;
  Partner p = partner(s);
  Verdict v;
  int taken = 0;
  while ((v = p.call(kStart)).status == 200) ++taken;
  EXPECT_EQ(taken, 5);
  EXPECT_GT(v.wait, 0);
  EXPECT_EQ(p.call(kStart + v.wait).status, 200);
}

TEST(Partner, ItComesBackColdAndWarmsUp) {
  Partner p = partner(plain());
  p.begin(Trouble::kShut, kStart, kStart + 10 * kSecond, 0, true);
  const Verdict shut = p.call(kStart + kSecond);
  EXPECT_EQ(shut.status, 429);
  EXPECT_EQ(shut.wait, 9 * kSecond);
  p.end(kStart + 10 * kSecond);
  EXPECT_NEAR(p.warmth(kStart + 10 * kSecond), 0.21, 1e-9);
  EXPECT_NEAR(p.warmth(kStart + 16 * kSecond), 0.605, 1e-9);
  EXPECT_EQ(p.warmth(kStart + 22 * kSecond), 1);
  const Verdict cold = p.call(kStart + 10 * kSecond);
  EXPECT_NEAR(static_cast<double>(cold.at - kStart - 10 * kSecond), 1e5 / 0.21, 2);
}

TEST(Partner, PushedWhileItIsColdItFallsOverForGood) {
  Partner p = partner(plain());  // 20 calls a second
  p.begin(Trouble::kHang, kStart, kStart + kSecond, 0, false);
  p.end(kStart + kSecond);
  Time now = kStart + kSecond;
  for (int i = 0; i < 200; ++i) p.call(now += 10 * kMillisecond);
  EXPECT_TRUE(p.fallen());
  EXPECT_EQ(p.call(now + 100 * kSecond).status, 503);
}

TEST(Partner, AModerateLoadDoesNotPushItOver) {
  Partner p = partner(plain());
  p.begin(Trouble::kHang, kStart, kStart + kSecond, 0, false);
  p.end(kStart + kSecond);
  Time now = kStart + kSecond;
  for (int i = 0; i < 60; ++i) p.call(now += 200 * kMillisecond);
  EXPECT_FALSE(p.fallen());
}

TEST(Partner, DropsARepeatWhileItRemembersTheKey) {
  Partner p = partner(plain());
  EXPECT_TRUE(p.run(kStart, 7));
  EXPECT_FALSE(p.run(kStart + 14 * kSecond, 7));
  EXPECT_TRUE(p.run(kStart + 15 * kSecond, 7));  // remembered from the first run on
  EXPECT_TRUE(p.run(kStart, 0));                 // without a key each is an effect
  EXPECT_TRUE(p.run(kStart, 0));
}

TEST(Partner, SilentAndHungItAnswersNothing) {
  for (const Trouble trouble : {Trouble::kSilent, Trouble::kHang}) {
    Partner p = partner(plain());
    p.begin(trouble, kStart, kStart + kSecond, 0, false);
    EXPECT_EQ(p.call(kStart).what, Verdict::What::kNothing);
    p.end(kStart + kSecond);
    EXPECT_EQ(p.call(kStart + kSecond).status, 200);
  }
}

TEST(Partner, FailingResettingAndSpoilingAreSharesOfItsCalls) {
  Partner p = partner(plain());  // every chance is 0.5
  p.begin(Trouble::kFail, kStart, kStart + kSecond, 0.6, false);
  EXPECT_EQ(p.call(kStart).status, 500);
  p.begin(Trouble::kFail, kStart, kStart + kSecond, 0.4, false);
  EXPECT_EQ(p.call(kStart).status, 200);
  p.begin(Trouble::kReset, kStart, kStart + kSecond, 0.6, false);
  EXPECT_EQ(p.call(kStart).what, Verdict::What::kReset);
  p.begin(Trouble::kSpoil, kStart, kStart + kSecond, 0.6, false);
  const Verdict spoilt = p.call(kStart);
  EXPECT_EQ(spoilt.what, Verdict::What::kSpoilt);
  EXPECT_TRUE(spoilt.runs);
}

}  // namespace
}  // namespace umberhoist::standins

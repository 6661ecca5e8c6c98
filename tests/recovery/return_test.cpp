// The return of one relay, stage by stage.
#include "recovery/return.h"

#include <gtest/gtest.h>

#include <random>

namespace umberhoist::recovery {
namespace {

constexpr Time kSecond = 1'000'000;

std::vector<HeldMessage> many(int count, int destination, uint64_t from = 1, double worth = 1,
                              Time due = 60 * kSecond) {
  std::vector<HeldMessage> out;
  for (int i = 0; i < count; ++i)
    out.push_back({from + static_cast<uint64_t>(i), destination, worth, due, false});
  return out;
}

TEST(Return, EndsThatAreDueComeFirstAndWaitForNobody) {
  auto held = many(3, 7);
  held[2].must_end = true;
  StagedRecovery back({}, held, 0);
  EXPECT_EQ(back.release(0), (std::vector<uint64_t>{3}));
  EXPECT_EQ(back.stage(), Stage::kWaitingForFleet);
}

TEST(Return, WithoutTheFleetsWordItGoesOnAloneAtTheDeadline) {
  StagedRecovery back({}, many(3, 7), 0);
  EXPECT_TRUE(back.release(1 * kSecond).empty());
  EXPECT_EQ(back.release(2 * kSecond).size(), 1U);  // one, until it is known what the destination bears
  EXPECT_TRUE(back.without_fleet());
}

TEST(Return, TheOwnerTriesFirstAndTheOthersWaitForItsWord) {
  StagedRecovery owner({}, many(5, 7), 0), other({}, many(5, 7), 0);
  owner.set_may_try(7, true);
  for (StagedRecovery* back : {&owner, &other}) back->on_fleet_ready(0);
  EXPECT_EQ(owner.release(0).size(), 1U);
  EXPECT_TRUE(other.release(0).empty());
  owner.on_served(7, 100'000);
  other.on_served_elsewhere(7);
  EXPECT_EQ(owner.release(100'000).size(), 2U);  // each served call allows two more
  EXPECT_EQ(other.release(100'000).size(), 1U);
}

TEST(Return, ByWorthAndThenByTheTimeThatIsLeft) {
  std::vector<HeldMessage> held = {
      {1, 7, 1, 60 * kSecond, false}, {2, 7, 5, 60 * kSecond, false}, {3, 7, 1, 50 * kSecond, false}};
  RecoveryLimits limits;
  StagedRecovery back(limits, held, 0);
  back.set_may_try(7, true);
  back.on_fleet_ready(0);
  std::vector<uint64_t> order;
  for (Time now = 0; order.size() < 3; now += 10'000) {
    for (const uint64_t number : back.release(now)) {
      order.push_back(number);
      back.on_served(7, now);
    }
  }
  EXPECT_EQ(order, (std::vector<uint64_t>{2, 3, 1}));
}

TEST(Return, AFailureHoldsTheRestBack) {
  StagedRecovery back({}, many(10, 7), 0);
  back.set_may_try(7, true);
  back.on_fleet_ready(0);
  EXPECT_EQ(back.release(0).size(), 1U);
  back.on_failed(7, 100'000);
  EXPECT_TRUE(back.release(200'000).empty());
  EXPECT_EQ(back.release(1'200'000).size(), 1U);
}

TEST(Return, NothingWaitsPastItsEndNorPastTheDeadline) {
  auto held = many(4, 7);
  held[0].due = 4 * kSecond;
  StagedRecovery back({}, held, 0);
  back.set_may_try(7, false);
  EXPECT_EQ(back.release(1 * kSecond), (std::vector<uint64_t>{1}));  // its end is owed in time
  back.on_fleet_ready(1 * kSecond);
  std::vector<uint64_t> first = back.release(1 * kSecond);
  EXPECT_TRUE(first.empty());
  for (Time now = 1 * kSecond; now < 17 * kSecond; now += 100'000) back.release(now);
  EXPECT_EQ(back.remaining(), 0U);
  EXPECT_EQ(back.stage(), Stage::kComplete);
}

// Whatever happens, each message is handed on exactly once, and before its end.
TEST(Return, EachMessageOnceInAnyHistory) {
  std::mt19937 random(5);
  for (int round = 0; round < 2000; ++round) {
    std::vector<HeldMessage> held;
    const int count = static_cast<int>(random() % 60);
    for (int i = 0; i < count; ++i) {
      held.push_back({static_cast<uint64_t>(i + 1), static_cast<int>(random() % 4),
                      static_cast<double>(random() % 3), static_cast<Time>(4 + random() % 40) * kSecond,
                      random() % 7 == 0});
    }
    const auto given = held;
    StagedRecovery back({}, held, 0);
    std::vector<int> times(static_cast<size_t>(count) + 1, 0);
    for (Time now = 0; now < 60 * kSecond; now += 250'000) {
      if (random() % 30 == 0) back.on_fleet_ready(now);
      if (random() % 10 == 0) back.set_may_try(static_cast<int>(random() % 4), random() % 2 == 0);
      if (random() % 4 == 0) back.on_served(static_cast<int>(random() % 4), now);
      if (random() % 6 == 0) back.on_failed(static_cast<int>(random() % 4), now);
      if (random() % 9 == 0) back.on_served_elsewhere(static_cast<int>(random() % 4));
      for (const uint64_t number : back.release(now)) {
        ++times[number];
        EXPECT_LT(now, given[number - 1].due);
      }
    }
    for (size_t i = 1; i < times.size(); ++i) ASSERT_EQ(times[i], 1) << "round " << round;
    EXPECT_EQ(back.remaining(), 0U);
  }
}

}  // namespace
}  // namespace umberhoist::recovery

// Recovery of one relay after a restart, stage by stage.
#include "recovery/return.h"

#include <gtest/gtest.h>

#include <random>

namespace umberhoist::recovery {
namespace {

constexpr Time kSecond = 1'000'000;

std::vector<HeldMessage> messages(int count, int destination, uint64_t first_number = 1, double worth = 1,
                                  Time due = 60 * kSecond) {
  std::vector<HeldMessage> out;
  for (int i = 0; i < count; ++i)
    out.push_back({first_number + static_cast<uint64_t>(i), destination, worth, due, false});
  return out;
}

TEST(Return, EndsThatAreDueComeFirstAndWaitForNobody) {
  auto held = messages(3, 7);
  held[2].must_end = true;
  StagedRecovery recovery({}, held, 0);
  EXPECT_EQ(recovery.release(0), (std::vector<uint64_t>{3}));
  EXPECT_EQ(recovery.stage(), Stage::kWaitingForFleet);
}

TEST(Return, WithoutTheFleetsWordItGoesOnAloneAtTheDeadline) {
  StagedRecovery recovery({}, messages(3, 7), 0);
  EXPECT_TRUE(recovery.release(1 * kSecond).empty());
  EXPECT_EQ(recovery.release(2 * kSecond).size(), 1U);  // only one until the destination has served a call
  EXPECT_TRUE(recovery.without_fleet());
}

TEST(Return, TheOwnerTriesFirstAndTheOthersWaitForItsWord) {
  StagedRecovery owner({}, messages(5, 7), 0), other({}, messages(5, 7), 0);
  owner.set_may_try(7, true);
  for (StagedRecovery* recovery : {&owner, &other}) recovery->on_fleet_ready(0);
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
  StagedRecovery recovery(limits, held, 0);
  recovery.set_may_try(7, true);
  recovery.on_fleet_ready(0);
  std::vector<uint64_t> order;
  for (Time now = 0; order.size() < 3; now += 10'000) {
    for (const uint64_t number : recovery.release(now)) {
      order.push_back(number);
      recovery.on_served(7, now);
    }
  }
  EXPECT_EQ(order, (std::vector<uint64_t>{2, 3, 1}));
}

TEST(Return, AFailureHoldsTheRestBack) {
  StagedRecovery recovery({}, messages(10, 7), 0);
  recovery.set_may_try(7, true);
  recovery.on_fleet_ready(0);
  EXPECT_EQ(recovery.release(0).size(), 1U);
  recovery.on_failed(7, 100'000);
  EXPECT_TRUE(recovery.release(200'000).empty());
  EXPECT_EQ(recovery.release(1'200'000).size(), 1U);
}

TEST(Return, NothingWaitsPastItsEndNorPastTheDeadline) {
  auto held = messages(4, 7);
  held[0].due = 4 * kSecond;
  StagedRecovery recovery({}, held, 0);
  recovery.set_may_try(7, false);
  EXPECT_EQ(recovery.release(1 * kSecond), (std::vector<uint64_t>{1}));  // its notice must be in time
  recovery.on_fleet_ready(1 * kSecond);
  std::vector<uint64_t> first = recovery.release(1 * kSecond);
  EXPECT_TRUE(first.empty());
  for (Time now = 1 * kSecond; now < 17 * kSecond; now += 100'000) recovery.release(now);
  EXPECT_EQ(recovery.remaining(), 0U);
  EXPECT_EQ(recovery.stage(), Stage::kComplete);
}

// In any sequence of events, each message is released exactly once and before it is due.
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
    const auto initial = held;
    StagedRecovery recovery({}, held, 0);
    std::vector<int> times(static_cast<size_t>(count) + 1, 0);
    for (Time now = 0; now < 60 * kSecond; now += 250'000) {
      if (random() % 30 == 0) recovery.on_fleet_ready(now);
      if (random() % 10 == 0) recovery.set_may_try(static_cast<int>(random() % 4), random() % 2 == 0);
      if (random() % 4 == 0) recovery.on_served(static_cast<int>(random() % 4), now);
      if (random() % 6 == 0) recovery.on_failed(static_cast<int>(random() % 4), now);
      if (random() % 9 == 0) recovery.on_served_elsewhere(static_cast<int>(random() % 4));
      for (const uint64_t number : recovery.release(now)) {
        ++times[number];
        EXPECT_LT(now, initial[number - 1].due);
      }
    }
    for (size_t i = 1; i < times.size(); ++i) ASSERT_EQ(times[i], 1) << "round " << round;
    EXPECT_EQ(recovery.remaining(), 0U);
  }
}

}  // namespace
}  // namespace umberhoist::recovery

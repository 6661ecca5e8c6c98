// The return of one relay, stage by stage.
#include "recovery/return.h"

#include <gtest/gtest.h>

#include <random>

namespace umberhoist::recovery {
namespace {

constexpr Time kSecond = 1'000'000;

std::vector<Held> many(int count, int destination, uint64_t from = 1, double worth = 1,
                       Time due = 60 * kSecond) {
  std::vector<Held> out;
  for (int i = 0; i < count; ++i)
    out.push_back({from + static_cast<uint64_t>(i), destination, worth, due, false});
  return out;
}

TEST(Return, EndsThatAreDueComeFirstAndWaitForNobody) {
  auto held = many(3, 7);
  held[2].ends_now = true;
  Return back({}, held, 0);
  EXPECT_EQ(back.next(0), (std::vector<uint64_t>{3}));
  EXPECT_EQ(back.stage(), Stage::kAsking);
}

TEST(Return, WithoutTheFleetsWordItGoesOnAloneAtTheDeadline) {
  Return back({}, many(3, 7), 0);
  EXPECT_TRUE(back.next(1 * kSecond).empty());
  EXPECT_EQ(back.next(2 * kSecond).size(), 1U);  // one, until it is known what the destination bears
  EXPECT_TRUE(back.alone());
}

TEST(Return, TheOwnerTriesFirstAndTheOthersWaitForItsWord) {
  Return owner({}, many(5, 7), 0), other({}, many(5, 7), 0);
  owner.may_try(7, true);
  for (Return* back : {&owner, &other}) back->word(0);
  EXPECT_EQ(owner.next(0).size(), 1U);
  EXPECT_TRUE(other.next(0).empty());
  owner.served(7, 100'000);
  other.told_served(7);
  EXPECT_EQ(owner.next(100'000).size(), 2U);  // each served call allows two more
  EXPECT_EQ(other.next(100'000).size(), 1U);
}

TEST(Return, ByWorthAndThenByTheTimeThatIsLeft) {
  std::vector<Held> held = {
      {1, 7, 1, 60 * kSecond, false}, {2, 7, 5, 60 * kSecond, false}, {3, 7, 1, 50 * kSecond, false}};
  Limits limits;
  Return back(limits, held, 0);
  back.may_try(7, true);
  back.word(0);
  std::vector<uint64_t> order;
  for (Time now = 0; order.size() < 3; now += 10'000) {
    for (const uint64_t number : back.next(now)) {
      order.push_back(number);
      back.served(7, now);
    }
  }
  EXPECT_EQ(order, (std::vector<uint64_t>{2, 3, 1}));
}

TEST(Return, AFailureHoldsTheRestBack) {
  Return back({}, many(10, 7), 0);
  back.may_try(7, true);
  back.word(0);
  EXPECT_EQ(back.next(0).size(), 1U);
  back.failed(7, 100'000);
  EXPECT_TRUE(back.next(200'000).empty());
  EXPECT_EQ(back.next(1'200'000).size(), 1U);
}

TEST(Return, NothingWaitsPastItsEndNorPastTheDeadline) {
  auto held = many(4, 7);
  held[0].due = 4 * kSecond;
  Return back({}, held, 0);
  back.may_try(7, false);
  EXPECT_EQ(back.next(1 * kSecond), (std::vector<uint64_t>{1}));  // its end is owed in time
  back.word(1 * kSecond);
  std::vector<uint64_t> first = back.next(1 * kSecond);
  EXPECT_TRUE(first.empty());
  for (Time now = 1 * kSecond; now < 17 * kSecond; now += 100'000) back.next(now);
  EXPECT_EQ(back.left(), 0U);
  EXPECT_EQ(back.stage(), Stage::kServing);
}

// Whatever happens, each message is handed on exactly once, and before its end.
TEST(Return, EachMessageOnceInAnyHistory) {
  std::mt19937 random(5);
  for (int round = 0; round < 2000; ++round) {
    std::vector<Held> held;
    const int count = static_cast<int>(random() % 60);
    for (int i = 0; i < count; ++i) {
      held.push_back({static_cast<uint64_t>(i + 1), static_cast<int>(random() % 4),
                      static_cast<double>(random() % 3), static_cast<Time>(4 + random() % 40) * kSecond,
                      random() % 7 == 0});
    }
    const auto given = held;
    Return back({}, held, 0);
    std::vector<int> times(static_cast<size_t>(count) + 1, 0);
    for (Time now = 0; now < 60 * kSecond; now += 250'000) {
      if (random() % 30 == 0) back.word(now);
      if (random() % 10 == 0) back.may_try(static_cast<int>(random() % 4), random() % 2 == 0);
      if (random() % 4 == 0) back.served(static_cast<int>(random() % 4), now);
      if (random() % 6 == 0) back.failed(static_cast<int>(random() % 4), now);
      if (random() % 9 == 0) back.told_served(static_cast<int>(random() % 4));
      for (const uint64_t number : back.next(now)) {
        ++times[number];
        EXPECT_LT(now, given[number - 1].due);
      }
    }
    for (size_t i = 1; i < times.size(); ++i) ASSERT_EQ(times[i], 1) << "round " << round;
    EXPECT_EQ(back.left(), 0U);
  }
}

}  // namespace
}  // namespace umberhoist::recovery

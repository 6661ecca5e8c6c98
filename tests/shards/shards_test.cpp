// Maps judged against a brute-force judge on a key space of 8 bits, and against random points on 64.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "shards/plan.h"

namespace umberhoist::shards {
namespace {

bool has(const std::vector<ValidationError>& defects, const std::string& text) {
  return std::any_of(defects.begin(), defects.end(),
                     [&](const ValidationError& d) { return d.message.find(text) != std::string::npos; });
}

std::string all(const std::vector<ValidationError>& defects) {
  std::string out;
  for (const auto& d : defects) out += std::to_string(d.line) + ": " + d.message + "\n";
  return out;
}

Map parsed(const std::string& toml) {
  const auto out = parse_map(toml);
  if (const auto* defects = std::get_if<std::vector<ValidationError>>(&out)) ADD_FAILURE() << all(*defects);
  return std::holds_alternative<Map>(out) ? std::get<Map>(out) : Map();
}

Map two(Key cut, uint64_t epoch = 1) {
  return {epoch, "xxh64", {{0, cut, "n1", 0}, {cut + 1, UINT64_MAX, "n2", 0}}, 0, 0};
}

std::vector<Member> members(size_t count) {
  std::vector<Member> out;
  for (size_t i = 1; i <= count; ++i) {
    out.push_back({"n" + std::to_string(i), 1, i % 2 == 0 ? "a" : "b", true, false, true});
  }
  return out;
}

// ---- The cover ----

TEST(Map, TouchesAtTheLastKey) {
  EXPECT_TRUE(validate(two(UINT64_MAX - 1), {}).empty());
  Map map = two(1);
  map.ranges[1].last = UINT64_MAX - 1;
  const auto defects = validate(map, {});
  ASSERT_EQ(defects.size(), 1U);
  EXPECT_EQ(defects[0].message, "gap ffffffffffffffff..ffffffffffffffff: no owner");
}

TEST(Map, ARangeThatWrapsOrIsEmptyGivenTwiceOrOutOfOrder) {
  Map map = two(10);
  map.ranges[0].last = 5;
  map.ranges[0].first = 9;
  EXPECT_TRUE(has(validate(map, {}), "is empty or wraps"));
  map = two(10);
  map.ranges.insert(map.ranges.begin(), map.ranges[0]);
  EXPECT_TRUE(has(validate(map, {}), "overlap 0000000000000000..000000000000000a"));
  map = two(10);
  std::swap(map.ranges[0], map.ranges[1]);
  const auto defects = validate(map, {});
  ASSERT_EQ(defects.size(), 1U) << all(defects);
  EXPECT_TRUE(has(defects, "out of order"));
}

TEST(Map, AnOverlapNamesItsBoundsBothOwnersAndTheLines) {
  const Map map = parsed(
      "epoch = 1\nhash = \"xxh64\"\n[[range]]\nfirst = \"0000000000000000\"\nlast = \"7fffffffffffffff\"\n"
      "owner = \"n1\"\n[[range]]\nfirst = \"7ffffffffffffff0\"\nlast = \"ffffffffffffffff\"\nowner = "
      "\"n2\"\n");
  const auto defects = validate(map, {});
  ASSERT_EQ(defects.size(), 1U);
  EXPECT_EQ(defects[0].message,
            "overlap 7ffffffffffffff0..7fffffffffffffff: 'n1' (line 3) and 'n2' (line 7)");
  EXPECT_EQ(defects[0].line, 7);
}

TEST(Map, AllDefectsAreToldAtOnceAndInAStableOrder) {
  const auto known = members(2);
  const Map present = two(10);
  Map map{9, "md5", {{5, 20, "n1", 0}, {15, UINT64_MAX - 1, "nobody", 0}}, 0, 0};
  ValidationContext against{&present, &known, {}, MapChangeType::kRebalance};
  const auto defects = validate(map, against);
  for (const char* part :
       {"hash is 'md5'", "expected 2", "hash changes", "gap 0000000000000000..0000000000000004",
        "overlap 000000000000000f..0000000000000014", "gap ffffffffffffffff", "'nobody' is no"}) {
    EXPECT_TRUE(has(defects, part)) << part << "\n" << all(defects);
  }
  EXPECT_EQ(defects, validate(map, against));
}

TEST(Map, OwnersMustBeKnownLiveOfThisGenerationAndNotLeaving) {
  auto known = members(2);
  ValidationContext against{nullptr, &known, {}, MapChangeType::kRebalance};
  const Map map = two(UINT64_MAX / 2);
  EXPECT_TRUE(validate(map, against).empty()) << all(validate(map, against));
  known[1].live = false;
  EXPECT_TRUE(has(validate(map, against), "'n2' is not live"));
  known[1] = members(2)[1];
  known[1].leaving = true;
  EXPECT_TRUE(has(validate(map, against), "'n2' is leaving"));
  known[1] = members(2)[1];
  known[1].in_current_generation = false;
  EXPECT_TRUE(has(validate(map, against), "earlier generation"));
}

TEST(Map, SharesMovesAndZonesAreHeldToTheBounds) {
  const auto known = members(2);
  const Map present = two(UINT64_MAX / 2);
  ValidationContext against{&present, &known, {}, MapChangeType::kRebalance};
  EXPECT_TRUE(has(validate(two(UINT64_MAX / 8, 2), against), "of the keys move"));
  against.limits.max_moved_share = 1;
  EXPECT_TRUE(has(validate(two(UINT64_MAX / 8, 2), against), "'n1' has 12.50%"));
  against.limits.share_factor = 0;
  EXPECT_TRUE(validate(two(UINT64_MAX / 8, 2), against).empty());
  against.limits.require_two_zones = true;
  const Map one{2, "xxh64", {{0, UINT64_MAX, "n1", 0}}, 0, 0};
  EXPECT_TRUE(has(validate(one, against), "all owners are in zone 'b'"));
}

TEST(Map, ARepairMovesALostOwnersKeysAndNoOthers) {
  auto known = members(3);
  known[1].live = false;
  const Map present = two(UINT64_MAX / 2);
  Map map = two(UINT64_MAX / 2, 2);
  map.ranges[1].owner = "n3";
  const ValidationContext against{&present, &known, {}, MapChangeType::kRepair};
  EXPECT_TRUE(validate(map, against).empty()) << all(validate(map, against));
  map.ranges[0].last -= 1;
  map.ranges[1].first -= 1;
  EXPECT_TRUE(has(validate(map, against), "repair moves 7fffffffffffffff..7fffffffffffffff from 'n1'"));
}

// The judge looks at each of 256 keys and counts owners; the validator must find a defect of the cover
// exactly where one is, and name each key that is wrong.
TEST(Map, AgreesWithABruteForceJudgeOnAKeySpaceOfEightBits) {
  std::mt19937 random(7);
  for (int round = 0; round < 20'000; ++round) {
    Map map{1, "xxh64", {}, 0, 0};
    std::vector<int> owners(256, 0);
    // Mostly a right map, spoilt in a place or two.
    Key next = 0;
    while (next <= 255 && map.ranges.size() < 12) {
      const Key last = std::min<Key>(255, next + random() % 90);
      map.ranges.push_back({next, last, "n" + std::to_string(random() % 3), 0});
      next = last + 1;
    }
    for (int spoilt = static_cast<int>(random() % 3); spoilt > 0; --spoilt) {
      Range& range = map.ranges[random() % map.ranges.size()];
      Key& end = random() % 2 == 0 ? range.first : range.last;
      end = std::min<Key>(255, random() % 4 == 0 ? random() % 256 : end + (random() % 2 == 0 ? 1 : Key(-1)));
    }
    bool empty = false;
    for (const Range& range : map.ranges) {
      empty = empty || range.first > range.last;
      for (Key key = range.first; key <= range.last; ++key) ++owners[key];
    }
    ValidationContext against;
    against.limits.last_key = 255;
    std::set<Key> wrong, told;
    for (Key key = 0; key < 256; ++key) {
      if (owners[key] != 1) wrong.insert(key);
    }
    for (const ValidationError& defect : validate(map, against)) {
      if (!defect.message.starts_with("gap ") && !defect.message.starts_with("overlap ")) continue;
      const Key first = std::stoull(defect.message.substr(defect.message.find(' ') + 1, 16), nullptr, 16);
      const Key last = std::stoull(defect.message.substr(defect.message.find("..") + 2, 16), nullptr, 16);
      for (Key key = first; key <= last; ++key) told.insert(key);
    }
    ASSERT_EQ(told, wrong) << "round " << round;
    EXPECT_EQ(has(validate(map, against), "is empty or wraps"), empty);
  }
}

TEST(Map, FindAgreesWithEachRangeAtRandomPointsOfSixtyFourBits) {
  std::mt19937_64 random(8);
  for (int round = 0; round < 200; ++round) {
    auto known = members(1 + random() % 40);
    for (Member& member : known) member.weight = 1 + static_cast<double>(random() % 5);
    const Map map = *initial_map(known);
    EXPECT_TRUE(validate(map, {nullptr, &known, {}, MapChangeType::kRebalance}).empty());
    for (int i = 0; i < 200; ++i) {
      Key key = random();
      if (i < 2) key = i == 0 ? 0 : UINT64_MAX;
      if (i >= 2 && i < 40) key = map.ranges[random() % map.ranges.size()].last + (i % 2);
      const Range* found = find_range(map, key);
      ASSERT_NE(found, nullptr);
      for (const Range& range : map.ranges)
        EXPECT_EQ(range.first <= key && key <= range.last, &range == found);
    }
  }
}

// ---- The planner ----

TEST(Planner, ARepairMovesLittleAndValidatesForAnyMembers) {
  std::mt19937_64 random(9);
  for (int round = 0; round < 500; ++round) {
    auto known = members(2 + random() % 20);
    for (Member& member : known) member.weight = 1 + static_cast<double>(random() % 4);
    Map map = *initial_map(known);
    for (int step = 0; step < 4; ++step) {
      const size_t lost = random() % known.size();
      known[lost].live = false;
      if (std::none_of(known.begin(), known.end(), [](const Member& m) { return m.live; })) break;
      const auto next = repair(map, known);
      if (!next) continue;
      const auto defects = validate(*next, {&map, &known, {}, MapChangeType::kRepair});
      ASSERT_TRUE(defects.empty()) << all(defects);
      map = *next;
    }
  }
}

TEST(Planner, ARebalanceComesToRestInStepsThatAllValidate) {
  std::mt19937_64 random(10);
  for (int round = 0; round < 300; ++round) {
    auto known = members(2 + random() % 12);
    Map map = *initial_map(known);
    for (size_t i = random() % 5; i > 0; --i) {
      known.push_back(
          {"new" + std::to_string(i), 1 + static_cast<double>(random() % 3), "a", true, false, true});
    }
    if (random() % 2 == 0) known[0].leaving = true;
    MapLimits bounds;
    bounds.max_moved_share = 0.1;
    int steps = 0;
    while (const auto next = rebalance(map, known, bounds)) {
      const auto defects = validate(*next, {&map, &known, bounds, MapChangeType::kRebalance});
      ASSERT_TRUE(defects.empty()) << "round " << round << " step " << steps << "\n" << all(defects);
      map = *next;
      ASSERT_LT(++steps, 60);
    }
    for (const auto& [owner, share] : shares(map)) EXPECT_FALSE(known[0].leaving && owner == "n1") << share;
  }
}

// ---- The file ----

TEST(MapFile, ComesBackAsItWasWritten) {
  const Map map = *initial_map(members(7), 12);
  EXPECT_EQ(parsed(to_toml(map)), map);
}

TEST(MapFile, EachWrongLineIsTold) {
  const auto out = parse_map(
      "epoch = 0\nhash = 5\nfoo = 1\n[[range]]\nfirst = \"12\"\nlast = \"000000000000000g\"\nowner = \"\"\n");
  const auto& defects = std::get<std::vector<ValidationError>>(out);
  std::vector<int> lines;
  for (const auto& defect : defects) lines.push_back(defect.line);
  EXPECT_EQ(lines, (std::vector<int>{1, 2, 3, 5, 6, 7})) << all(defects);
  EXPECT_TRUE(std::holds_alternative<std::vector<ValidationError>>(parse_map("epoch = ")));
}

}  // namespace
}  // namespace umberhoist::shards

// Maps compared with a brute-force check on a key space of 8 bits, and at random keys of 64 bits.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "shards/plan.h"

namespace umberhoist::shards {
namespace {

bool contains_message(const std::vector<ValidationError>& errors, const std::string& text) {
  return std::any_of(errors.begin(), errors.end(),
                     [&](const ValidationError& d) { return d.message.find(text) != std::string::npos; });
}

std::string join_messages(const std::vector<ValidationError>& errors) {
  std::string out;
  for (const auto& d : errors) out += std::to_string(d.line) + ": " + d.message + "\n";
  return out;
}

Map parse_or_fail(const std::string& toml) {
  const auto out = parse_map(toml);
  if (const auto* errors = std::get_if<std::vector<ValidationError>>(&out))
    ADD_FAILURE() << join_messages(*errors);
  return std::holds_alternative<Map>(out) ? std::get<Map>(out) : Map();
}

Map two_ranges(Key cut, uint64_t epoch = 1) {
  return {epoch, "xxh64", {{0, cut, "n1", 0}, {cut + 1, UINT64_MAX, "n2", 0}}, 0, 0};
}

std::vector<Member> members(size_t count) {
  std::vector<Member> out;
  for (size_t i = 1; i <= count; ++i) {
    out.push_back({"n" + std::to_string(i), 1, i % 2 == 0 ? "a" : "b", true, false, true});
  }
  return out;
}

// ---- Coverage ----

TEST(Map, TouchesAtTheLastKey) {
  EXPECT_TRUE(validate(two_ranges(UINT64_MAX - 1), {}).empty());
  Map map = two_ranges(1);
  map.ranges[1].last = UINT64_MAX - 1;
  const auto errors = validate(map, {});
  ASSERT_EQ(errors.size(), 1U);
  EXPECT_EQ(errors[0].message, "gap ffffffffffffffff..ffffffffffffffff: no owner");
}

TEST(Map, ARangeThatWrapsOrIsEmptyGivenTwiceOrOutOfOrder) {
  Map map = two_ranges(10);
  map.ranges[0].last = 5;
  map.ranges[0].first = 9;
  EXPECT_TRUE(contains_message(validate(map, {}), "is empty or wraps"));
  map = two_ranges(10);
  map.ranges.insert(map.ranges.begin(), map.ranges[0]);
  EXPECT_TRUE(contains_message(validate(map, {}), "overlap 0000000000000000..000000000000000a"));
  map = two_ranges(10);
  std::swap(map.ranges[0], map.ranges[1]);
  const auto errors = validate(map, {});
  ASSERT_EQ(errors.size(), 1U) << join_messages(errors);
  EXPECT_TRUE(contains_message(errors, "out of order"));
}

TEST(Map, AnOverlapNamesItsBoundsBothOwnersAndTheLines) {
  const Map map = parse_or_fail(
      "epoch = 1\nhash = \"xxh64\"\n[[range]]\nfirst = \"0000000000000000\"\nlast = \"7fffffffffffffff\"\n"
      "owner = \"n1\"\n[[range]]\nfirst = \"7ffffffffffffff0\"\nlast = \"ffffffffffffffff\"\nowner = "
      "\"n2\"\n");
  const auto errors = validate(map, {});
  ASSERT_EQ(errors.size(), 1U);
  EXPECT_EQ(errors[0].message, "overlap 7ffffffffffffff0..7fffffffffffffff: 'n1' (line 3) and 'n2' (line 7)");
  EXPECT_EQ(errors[0].line, 7);
}

TEST(Map, AllDefectsAreToldAtOnceAndInAStableOrder) {
  const auto roster = members(2);
  const Map current = two_ranges(10);
  Map map{9, "md5", {{5, 20, "n1", 0}, {15, UINT64_MAX - 1, "nobody", 0}}, 0, 0};
  ValidationContext context{&current, &roster, {}, MapChangeType::kRebalance};
  const auto errors = validate(map, context);
  for (const char* part :
       {"hash is 'md5'", "expected 2", "hash changes", "gap 0000000000000000..0000000000000004",
        "overlap 000000000000000f..0000000000000014", "gap ffffffffffffffff", "'nobody' is no"}) {
    EXPECT_TRUE(contains_message(errors, part)) << part << "\n" << join_messages(errors);
  }
  EXPECT_EQ(errors, validate(map, context));
}

TEST(Map, OwnersMustBeKnownLiveOfThisGenerationAndNotLeaving) {
  auto roster = members(2);
  ValidationContext context{nullptr, &roster, {}, MapChangeType::kRebalance};
  const Map map = two_ranges(UINT64_MAX / 2);
  EXPECT_TRUE(validate(map, context).empty()) << join_messages(validate(map, context));
  roster[1].live = false;
  EXPECT_TRUE(contains_message(validate(map, context), "'n2' is not live"));
  roster[1] = members(2)[1];
  roster[1].leaving = true;
  EXPECT_TRUE(contains_message(validate(map, context), "'n2' is leaving"));
  roster[1] = members(2)[1];
  roster[1].in_current_generation = false;
  EXPECT_TRUE(contains_message(validate(map, context), "earlier generation"));
}

TEST(Map, SharesMovesAndZonesAreHeldToTheBounds) {
  const auto roster = members(2);
  const Map current = two_ranges(UINT64_MAX / 2);
  ValidationContext context{&current, &roster, {}, MapChangeType::kRebalance};
  EXPECT_TRUE(contains_message(validate(two_ranges(UINT64_MAX / 8, 2), context), "of the keys move"));
  context.limits.max_moved_share = 1;
  EXPECT_TRUE(contains_message(validate(two_ranges(UINT64_MAX / 8, 2), context), "'n1' has 12.50%"));
  context.limits.share_factor = 0;
  EXPECT_TRUE(validate(two_ranges(UINT64_MAX / 8, 2), context).empty());
  context.limits.require_two_zones = true;
  const Map one{2, "xxh64", {{0, UINT64_MAX, "n1", 0}}, 0, 0};
  EXPECT_TRUE(contains_message(validate(one, context), "all owners are in zone 'b'"));
}

TEST(Map, ARepairMovesALostOwnersKeysAndNoOthers) {
  auto roster = members(3);
  roster[1].live = false;
  const Map current = two_ranges(UINT64_MAX / 2);
  Map map = two_ranges(UINT64_MAX / 2, 2);
  map.ranges[1].owner = "n3";
  const ValidationContext context{&current, &roster, {}, MapChangeType::kRepair};
  EXPECT_TRUE(validate(map, context).empty()) << join_messages(validate(map, context));
  map.ranges[0].last -= 1;
  map.ranges[1].first -= 1;
  EXPECT_TRUE(
      contains_message(validate(map, context), "repair moves 7fffffffffffffff..7fffffffffffffff from 'n1'"));
}

// Counts the owners of each of 256 keys. The validator must report a gap or an overlap for exactly the keys
// that do not have one owner.
TEST(Map, AgreesWithABruteForceJudgeOnAKeySpaceOfEightBits) {
  std::mt19937 random(7);
  for (int round = 0; round < 20'000; ++round) {
    Map map{1, "xxh64", {}, 0, 0};
    std::vector<int> owners(256, 0);
    // A valid map with up to two random errors.
    Key next = 0;
    while (next <= 255 && map.ranges.size() < 12) {
      const Key last = std::min<Key>(255, next + random() % 90);
      map.ranges.push_back({next, last, "n" + std::to_string(random() % 3), 0});
      next = last + 1;
    }
    for (int errors_left = static_cast<int>(random() % 3); errors_left > 0; --errors_left) {
      Range& range = map.ranges[random() % map.ranges.size()];
      Key& end = random() % 2 == 0 ? range.first : range.last;
      end = std::min<Key>(255, random() % 4 == 0 ? random() % 256 : end + (random() % 2 == 0 ? 1 : Key(-1)));
    }
    bool empty = false;
    for (const Range& range : map.ranges) {
      empty = empty || range.first > range.last;
      for (Key key = range.first; key <= range.last; ++key) ++owners[key];
    }
    ValidationContext context;
    context.limits.last_key = 255;
    std::set<Key> wrong, reported;
    for (Key key = 0; key < 256; ++key) {
      if (owners[key] != 1) wrong.insert(key);
    }
    for (const ValidationError& error : validate(map, context)) {
      if (!error.message.starts_with("gap ") && !error.message.starts_with("overlap ")) continue;
      const Key first = std::stoull(error.message.substr(error.message.find(' ') + 1, 16), nullptr, 16);
      const Key last = std::stoull(error.message.substr(error.message.find("..") + 2, 16), nullptr, 16);
      for (Key key = first; key <= last; ++key) reported.insert(key);
    }
    ASSERT_EQ(reported, wrong) << "round " << round;
    EXPECT_EQ(contains_message(validate(map, context), "is empty or wraps"), empty);
  }
}

TEST(Map, FindAgreesWithEachRangeAtRandomPointsOfSixtyFourBits) {
  std::mt19937_64 random(8);
  for (int round = 0; round < 200; ++round) {
    auto roster = members(1 + random() % 40);
    for (Member& member : roster) member.weight = 1 + static_cast<double>(random() % 5);
    const Map map = *initial_map(roster);
    EXPECT_TRUE(validate(map, {nullptr, &roster, {}, MapChangeType::kRebalance}).empty());
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
    auto roster = members(2 + random() % 20);
    for (Member& member : roster) member.weight = 1 + static_cast<double>(random() % 4);
    Map map = *initial_map(roster);
    for (int step = 0; step < 4; ++step) {
      const size_t lost = random() % roster.size();
      roster[lost].live = false;
      if (std::none_of(roster.begin(), roster.end(), [](const Member& m) { return m.live; })) break;
      const auto next = repair(map, roster);
      if (!next) continue;
      const auto errors = validate(*next, {&map, &roster, {}, MapChangeType::kRepair});
      ASSERT_TRUE(errors.empty()) << join_messages(errors);
      map = *next;
    }
  }
}

TEST(Planner, ARebalanceComesToRestInStepsThatAllValidate) {
  std::mt19937_64 random(10);
  for (int round = 0; round < 300; ++round) {
    auto roster = members(2 + random() % 12);
    Map map = *initial_map(roster);
    for (size_t i = random() % 5; i > 0; --i) {
      roster.push_back(
          {"new" + std::to_string(i), 1 + static_cast<double>(random() % 3), "a", true, false, true});
    }
    if (random() % 2 == 0) roster[0].leaving = true;
    MapLimits bounds;
    bounds.max_moved_share = 0.1;
    int steps = 0;
    while (const auto next = rebalance(map, roster, bounds)) {
      const auto errors = validate(*next, {&map, &roster, bounds, MapChangeType::kRebalance});
      ASSERT_TRUE(errors.empty()) << "round " << round << " step " << steps << "\n" << join_messages(errors);
      map = *next;
      ASSERT_LT(++steps, 60);
    }
    for (const auto& [owner, share] : shares(map)) EXPECT_FALSE(roster[0].leaving && owner == "n1") << share;
  }
}

// ---- The file ----

TEST(MapFile, ComesBackAsItWasWritten) {
  const Map map = *initial_map(members(7), 12);
  EXPECT_EQ(parse_or_fail(to_toml(map)), map);
}

TEST(MapFile, EachWrongLineIsTold) {
  const auto out = parse_map(
      "epoch = 0\nhash = 5\nfoo = 1\n[[range]]\nfirst = \"12\"\nlast = \"000000000000000g\"\nowner = \"\"\n");
  const auto& errors = std::get<std::vector<ValidationError>>(out);
  std::vector<int> lines;
  for (const auto& error : errors) lines.push_back(error.line);
  EXPECT_EQ(lines, (std::vector<int>{1, 2, 3, 5, 6, 7})) << join_messages(errors);
  EXPECT_TRUE(std::holds_alternative<std::vector<ValidationError>>(parse_map("epoch = ")));
}

}  // namespace
}  // namespace umberhoist::shards

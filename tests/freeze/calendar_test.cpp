// The calendar compared with a model that evaluates every second by itself.
#include "freeze/calendar.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace umberhoist::freeze {
namespace {

constexpr Instant kUsPerSecond = 1'000'000;

Calendar parsed(const std::string& toml) {
  const auto out = parse_calendar(toml);
  if (const auto* defects = std::get_if<std::vector<ValidationError>>(&out)) {
    for (const auto& d : *defects) ADD_FAILURE() << d.line << ": " << d.message;
    return {};
  }
  return std::get<Calendar>(out);
}

std::vector<ValidationError> defects(const std::string& toml) {
  const auto out = parse_calendar(toml);
  return std::holds_alternative<std::vector<ValidationError>>(out)
             ? std::get<std::vector<ValidationError>>(out)
             : std::vector<ValidationError>{};
}

const char* const kSongkran = R"(
approvers = ["ann", "bo"]
[[window]]
id = "songkran-2027"
name = "Songkran"
start = 2027-04-12T00:00:00+07:00
end = 2027-04-16T00:00:00+07:00
changes = ["reload", "map"]
destinations = [3, 7]
declared_by = "trading"
notice_h = 24
)";

TEST(Calendar, StartIsInsideAndEndIsNot) {
  const Calendar calendar = parsed(kSongkran);
  const Instant start = *parse_instant("2027-04-12T00:00:00+07:00");
  const Instant end = *parse_instant("2027-04-15T17:00:00Z");
  const Change change{ChangeKind::kMap, {3}};
  EXPECT_FALSE(evaluate(calendar, change, {start - 1, start - 1}).closed);
  EXPECT_TRUE(evaluate(calendar, change, {start, start}).closed);
  EXPECT_TRUE(evaluate(calendar, change, {end - 1, end - 1}).closed);
  EXPECT_FALSE(evaluate(calendar, change, {end, end}).closed);
  EXPECT_FALSE(evaluate(calendar, {ChangeKind::kSettings, {3}}, {start, start}).closed);  // another kind
  EXPECT_FALSE(evaluate(calendar, {ChangeKind::kMap, {4}}, {start, start}).closed);  // another destination
  EXPECT_TRUE(evaluate(calendar, {ChangeKind::kMap, {}}, {start, start}).closed);    // any destination
}

TEST(Calendar, WhereABoundTouchesAWindowChangesAreClosed) {
  const Calendar calendar = parsed(kSongkran);
  const Instant start = calendar.windows[0].start, end = calendar.windows[0].end;
  EXPECT_TRUE(evaluate(calendar, {ChangeKind::kMap, {}}, {start - 600 * kUsPerSecond, start}).closed);
  EXPECT_TRUE(evaluate(calendar, {ChangeKind::kMap, {}}, {end - 1, end + 600 * kUsPerSecond}).closed);
  EXPECT_TRUE(evaluate(calendar, {ChangeKind::kMap, {}}, {start - 1, end + 1}).closed);
  EXPECT_FALSE(evaluate(calendar, {ChangeKind::kMap, {}}, {end, end + 600 * kUsPerSecond}).closed);
}

TEST(Calendar, BackToBackAndOverlappingWindowsAreClosedUntilTheLastEnd) {
  const Calendar calendar = parsed(R"(
[[window]]
id = "a"
start = 2027-01-01T00:00:00Z
end = 2027-01-01T01:00:00Z
declared_by = "t"
[[window]]
id = "b"
start = 2027-01-01T01:00:00Z
end = 2027-01-01T02:00:00Z
declared_by = "t"
[[window]]
id = "c"
start = 2027-01-01T01:30:00Z
end = 2027-01-01T03:00:00Z
declared_by = "t"
)");
  const Instant at = *parse_instant("2027-01-01T00:30:00Z");
  const auto decision = evaluate(calendar, {ChangeKind::kLimits, {}}, {at, at});
  EXPECT_EQ(decision.window_id, "a");
  EXPECT_EQ(format_instant(decision.reopens_at), "2027-01-01T03:00:00Z");
}

TEST(Calendar, OneThatEndsInTheSecondInWhichItStarts) {
  const Calendar calendar = parsed(
      "[[window]]\nid = \"a\"\nstart = 2027-01-01T00:00:00.2Z\nend = 2027-01-01T00:00:00.7Z\ndeclared_by = "
      "\"t\"\n");
  const Instant at = *parse_instant("2027-01-01T00:00:00.5Z");
  EXPECT_TRUE(evaluate(calendar, {ChangeKind::kMap, {}}, {at, at}).closed);
  EXPECT_EQ(defects("[[window]]\nid = \"a\"\nstart = 2027-01-01T00:00:00Z\nend = 2027-01-01T00:00:00Z\n"
                    "declared_by = \"t\"\n")
                .size(),
            1U);
}

TEST(Calendar, EachWrongLineIsTold) {
  const auto wrong = defects(R"(approvers = ["ann", "ann"]
[[window]]
id = "a"
start = 2027-01-01T00:00:00
end = "tomorrow"
changes = ["weather"]
destinations = []
notice_h = -1
colour = 3
)");
  std::vector<int> lines;
  for (const auto& d : wrong) lines.push_back(d.line);
  EXPECT_EQ(lines, (std::vector<int>{1, 2, 4, 5, 6, 7, 8, 9}));
}

TEST(Calendar, InForceOrWithinItsNoticeAWindowMayOnlyBeExtended) {
  const Calendar present = parsed(kSongkran);
  const Instant start = present.windows[0].start;
  const TimeBounds before{start - 25 * 3600 * kUsPerSecond, start - 25 * 3600 * kUsPerSecond};
  const TimeBounds noticed{start - 23 * 3600 * kUsPerSecond, start - 23 * 3600 * kUsPerSecond};
  Calendar next = present;
  next.windows.clear();
  EXPECT_TRUE(edit_violations(present, next, before).empty());
  EXPECT_EQ(edit_violations(present, next, noticed).size(), 1U);
  next = present;
  next.windows[0].end += kUsPerSecond;
  next.windows[0].destinations.clear();  // all destinations: more than before
  EXPECT_TRUE(edit_violations(present, next, noticed).empty());
  next = present;
  next.windows[0].end -= 1;
  EXPECT_EQ(edit_violations(present, next, noticed).size(), 1U);
  next = present;
  next.windows[0].change_kinds.erase(ChangeKind::kMap);
  EXPECT_EQ(edit_violations(present, next, noticed).size(), 1U);
  next = present;
  next.windows.push_back(
      {"z", "", start, start + kUsPerSecond, {}, {}, "t", 0, 0});  // new windows are always allowed
  EXPECT_TRUE(edit_violations(present, next, {start, start}).empty());
  next = present;
  next.approvers.insert("mallory");  // a new approver could approve any change
  EXPECT_EQ(edit_violations(present, next, {start, start}).size(), 1U);
}

TEST(Calendar, AgreesWithAModelThatLooksAtEverySecond) {
  std::mt19937 random(3);
  constexpr int kSpan = 120;
  for (int round = 0; round < 3000; ++round) {
    Calendar calendar;
    std::vector<std::vector<std::set<int64_t>>> closed(std::size(kChangeKinds),
                                                       std::vector<std::set<int64_t>>(kSpan));
    for (size_t w = random() % 5; w > 0; --w) {
      Window window;
      window.id = "w" + std::to_string(w);
      const int from = static_cast<int>(random() % kSpan), to = from + 1 + static_cast<int>(random() % 30);
      window.start = from * kUsPerSecond;
      window.end = to * kUsPerSecond;
      for (const ChangeKind kind : kChangeKinds) {
        if (random() % 3 == 0) window.change_kinds.insert(kind);
      }
      for (int64_t d = 1; d <= 3; ++d) {
        if (random() % 3 == 0) window.destinations.insert(d);
      }
      for (size_t k = 0; k < std::size(kChangeKinds); ++k) {
        if (!window.change_kinds.empty() && !window.change_kinds.contains(kChangeKinds[k])) continue;
        for (int s = from; s < std::min(to, kSpan); ++s) {
          for (int64_t d = 1; d <= 3; ++d) {
            if (window.destinations.empty() || window.destinations.contains(d))
              closed[k][static_cast<size_t>(s)].insert(d);
          }
        }
      }
      calendar.windows.push_back(window);
    }
    for (int question = 0; question < 30; ++question) {
      const size_t k = random() % std::size(kChangeKinds);
      const int from = static_cast<int>(random() % kSpan);
      const int to = std::min(kSpan - 1, from + static_cast<int>(random() % 8));
      Change change{kChangeKinds[k], {}};
      if (random() % 2 == 0) change.destinations.insert(1 + static_cast<int64_t>(random() % 3));
      bool expected = false;
      for (int s = from; s <= to; ++s) {
        const auto& now = closed[k][static_cast<size_t>(s)];
        expected = expected ||
                   (change.destinations.empty() ? !now.empty() : now.contains(*change.destinations.begin()));
      }
      // In the middle of a second, as windows start and end at whole seconds.
      const auto decision = evaluate(
          calendar, change, {from * kUsPerSecond + kUsPerSecond / 2, to * kUsPerSecond + kUsPerSecond / 2});
      ASSERT_EQ(decision.closed, expected) << "round " << round;
      if (!expected || from != to) continue;
      // reopens_at is the first second at which such changes are allowed again.
      for (int s = from; s * kUsPerSecond < decision.reopens_at && s < kSpan; ++s) {
        const auto& now = closed[k][static_cast<size_t>(s)];
        EXPECT_TRUE(change.destinations.empty() ? !now.empty() : now.contains(*change.destinations.begin()));
      }
      EXPECT_FALSE(evaluate(calendar, change, {decision.reopens_at, decision.reopens_at}).closed);
    }
  }
}

TEST(Calendar, NextStartAndTimes) {
  const Calendar calendar = parsed(kSongkran);
  EXPECT_EQ(next_window_start(calendar, {ChangeKind::kReload, {}}, 0), calendar.windows[0].start);
  EXPECT_EQ(next_window_start(calendar, {ChangeKind::kReload, {}}, calendar.windows[0].start), std::nullopt);
  EXPECT_EQ(next_window_start(calendar, {ChangeKind::kSettings, {}}, 0), std::nullopt);
  for (const char* bad : {"", "2027-04-12", "2027-04-12T00:00:00", "2027-04-12T00:00:00Z\nx = 1", "1 # 2",
                          "2027-13-12T00:00:00Z"}) {
    EXPECT_EQ(parse_instant(bad), std::nullopt) << bad;
  }
}

}  // namespace
}  // namespace umberhoist::freeze

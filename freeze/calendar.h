// Freeze calendar: declared trading periods in which configuration must not change. Decides whether a change
// is allowed now, and which edits of the calendar itself are. Time is given as bounds, as no single clock is
// trusted; a change is closed if any time within the bounds is in a window. No I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace umberhoist::freeze {

using Instant = int64_t;  // microseconds of UTC since 1970

enum class ChangeKind { kReload, kSettings, kMap, kLimits, kCalendar };
inline constexpr ChangeKind kChangeKinds[] = {ChangeKind::kReload, ChangeKind::kSettings, ChangeKind::kMap,
                                              ChangeKind::kLimits, ChangeKind::kCalendar};
const char* name(ChangeKind kind);
std::optional<ChangeKind> parse_change_kind(std::string_view name);

constexpr size_t kMaxWindows = 1000;
constexpr size_t kMaxNameBytes = 64;

struct Window {
  std::string id;
  std::string name;
  Instant start = 0;                  // inclusive
  Instant end = 0;                    // exclusive
  std::set<ChangeKind> change_kinds;  // empty: all
  std::set<int64_t> destinations;     // empty: all
  std::string declared_by;
  int64_t notice_s = 0;  // this long before its start the window can no longer be shortened, moved or removed
  int line = 0;
  bool operator==(const Window& o) const {
    return id == o.id && name == o.name && start == o.start && end == o.end &&
           change_kinds == o.change_kinds && destinations == o.destinations && declared_by == o.declared_by &&
           notice_s == o.notice_s;
  }
};

struct Calendar {
  std::vector<Window> windows;      // by id
  std::set<std::string> approvers;  // of exceptions, by name
  bool operator==(const Calendar&) const = default;
};

struct ValidationError {
  int line = 0;
  std::string message;
  bool operator==(const ValidationError&) const = default;
};

std::variant<Calendar, std::vector<ValidationError>> parse_calendar(std::string_view toml);

// "2027-04-12T00:00:00+07:00", with an offset or Z; fractions of a second to the microsecond.
std::optional<Instant> parse_instant(std::string_view text);
std::string format_instant(Instant instant);  // in UTC

struct TimeBounds {  // the true time is within, both ends inclusive
  Instant earliest = 0;
  Instant latest = 0;
};

struct Change {
  ChangeKind kind = ChangeKind::kSettings;
  std::set<int64_t> destinations;  // affected by the change; empty: any
};

struct FreezeDecision {
  bool closed = false;
  std::string window_id;   // the first window in scope that is in force, by start
  Instant reopens_at = 0;  // when such changes are allowed again, after adjoining windows too
  std::string reason;      // one sentence: window, end and what to do
};

FreezeDecision evaluate(const Calendar& calendar, const Change& change, TimeBounds now);

// The rules that replacing `current` by `next` would break; empty: none. A window that is in force or within
// its notice may only be extended, and approvers may not change while there is one. New windows may be added.
std::vector<std::string> edit_violations(const Calendar& current, const Calendar& next, TimeBounds now);

// The first start after `from` of a window in scope; nullopt: there is none.
std::optional<Instant> next_window_start(const Calendar& calendar, const Change& change, Instant from);

}  // namespace umberhoist::freeze

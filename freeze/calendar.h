// Declared trading periods in which configuration does not change: what a window covers, whether a change may
// be made now, and what may be done to the calendar itself. Time comes in bounds, as no single clock is to be
// trusted; where a bound touches a window, changes are closed. No I/O, no clock.
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
  Instant start = 0;                  // inside
  Instant end = 0;                    // outside
  std::set<ChangeKind> change_kinds;  // empty: all
  std::set<int64_t> destinations;     // empty: all
  std::string declared_by;
  int64_t notice_s = 0;  // so long before its start it already binds whoever would shorten, move or remove it
  int line = 0;
  bool operator==(const Window& o) const {
    return id == o.id && name == o.name && start == o.start && end == o.end &&
           change_kinds == o.change_kinds && destinations == o.destinations && declared_by == o.declared_by &&
           notice_s == o.notice_s;
  }
};

struct Calendar {
  std::vector<Window> windows;      // by id
  std::set<std::string> approvers;  // of exceptions
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

struct TimeBounds {  // the true time is in between, both ends inside
  Instant earliest = 0;
  Instant latest = 0;
};

struct Change {
  ChangeKind kind = ChangeKind::kSettings;
  std::set<int64_t> destinations;  // that it touches; empty: any
};

struct FreezeDecision {
  bool closed = false;
  std::string window_id;   // its id; the first one in scope, by start
  Instant reopens_at = 0;  // when changes of this kind are open again, windows that join on included
  std::string reason;      // one sentence: window, end and the way out
};

FreezeDecision evaluate(const Calendar& calendar, const Change& change, TimeBounds now);

// What stands in the way of taking `next` in place of `present`: windows that are in force or within their
// notice may only be extended, and others declared. Empty: nothing. Approvers may change while no window
// binds.
std::vector<std::string> edit_violations(const Calendar& present, const Calendar& next, TimeBounds now);

// The first start after `from` of a window in scope; nothing: none comes.
std::optional<Instant> next_window_start(const Calendar& calendar, const Change& change, Instant from);

}  // namespace umberhoist::freeze

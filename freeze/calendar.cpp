#include "freeze/calendar.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <sstream>

#include "state/toml.h"

namespace umberhoist::freeze {
namespace {

constexpr Instant kMicrosPerSecond = 1'000'000;
constexpr int64_t kMaxNoticeHours = 24 * 366;

Instant instant_of(const toml::date_time& value) {
  using namespace std::chrono;
  const auto& d = value.date;
  const auto& t = value.time;
  const sys_days day = year{d.year} / month{d.month} / std::chrono::day{d.day};
  const int64_t seconds =
      int64_t{t.hour} * 3600 + t.minute * 60 + t.second - int64_t{value.offset->minutes} * 60;
  return (duration_cast<std::chrono::seconds>(day.time_since_epoch()).count() + seconds) * kMicrosPerSecond +
         t.nanosecond / 1000;
}

class Parser {
 public:
  std::variant<Calendar, std::vector<ValidationError>> run(std::string_view text) {
    try {
      read(state::parse_toml(text));
    } catch (const toml::parse_error& error) {
      add_error(static_cast<int>(error.source().begin.line), std::string(error.description()));
    }
    if (!errors_.empty()) {
      std::stable_sort(errors_.begin(), errors_.end(),
                       [](const ValidationError& a, const ValidationError& b) { return a.line < b.line; });
      return errors_;
    }
    std::sort(out_.windows.begin(), out_.windows.end(), [](auto& a, auto& b) { return a.id < b.id; });
    return out_;
  }

 private:
  static int line(const toml::node& node) { return static_cast<int>(node.source().begin.line); }
  void add_error(int at, std::string what) { errors_.push_back({at, std::move(what)}); }

  void read(const toml::table& root) {
    for (const auto& [key, value] : root) {
      if (key != "window" && key != "approvers") {
        add_error(line(value), "'" + std::string(key) + "' is not known; expected window and approvers");
      }
    }
    if (const auto* node = root.get("approvers")) read_approvers(*node, out_.approvers);
    const auto* windows = root.get("window");
    if (windows == nullptr) return;
    if (!windows->is_array_of_tables())
      return add_error(line(*windows), "window is no table; expected [[window]]");
    if (windows->as_array()->size() > kMaxWindows) {
      return add_error(line(*windows), "more than " + std::to_string(kMaxWindows) + " windows");
    }
    for (const auto& item : *windows->as_array()) read_window(*item.as_table());
  }

  void read_approvers(const toml::node& node, std::set<std::string>& to) {
    const auto* list = node.as_array();
    if (list == nullptr) return add_error(line(node), "approvers is wrong; expected a list of names");
    for (const auto& item : *list) {
      const auto text = item.value_exact<std::string>();
      if (!text || text->empty() || text->size() > kMaxNameBytes) {
        add_error(line(item),
                  "approvers is wrong; expected names of 1 to " + std::to_string(kMaxNameBytes) + " bytes");
      } else if (!to.insert(*text).second) {
        add_error(line(item), "approver '" + *text + "' is given twice");
      }
    }
  }

  void read_string(const toml::table& table, const char* key, std::string& to, bool required) {
    const auto* node = table.get(key);
    if (node == nullptr && !required) return;
    const auto text = node == nullptr ? std::nullopt : node->value_exact<std::string>();
    if (!text || text->empty() || text->size() > kMaxNameBytes) {
      return add_error(node == nullptr ? line(table) : line(*node),
                       std::string(key) + " is missing or wrong; expected 1 to " +
                           std::to_string(kMaxNameBytes) + " bytes");
    }
    to = *text;
  }

  bool read_time(const toml::table& table, const char* key, Instant& to) {
    const auto* node = table.get(key);
    const auto value = node == nullptr ? std::nullopt : node->value_exact<toml::date_time>();
    if (!value || !value->offset) {
      add_error(node == nullptr ? line(table) : line(*node),
                std::string(key) +
                    " is missing or wrong; expected a date and time with an offset, as "
                    "2027-04-12T00:00:00+07:00");
      return false;
    }
    to = instant_of(*value);
    return true;
  }

  void read_window(const toml::table& table) {
    static const std::set<std::string_view> known = {"id",      "name",         "start",       "end",
                                                     "changes", "destinations", "declared_by", "notice_h"};
    Window out;
    out.line = line(table);
    for (const auto& [key, value] : table) {
      if (!known.contains(key.str()))
        add_error(line(value), "'" + std::string(key) + "' is not known in a window");
    }
    read_string(table, "id", out.id, true);
    read_string(table, "name", out.name, false);
    read_string(table, "declared_by", out.declared_by, true);
    const bool times = read_time(table, "start", out.start) & read_time(table, "end", out.end);
    if (times && out.start >= out.end) {
      add_error(out.line, "window '" + out.id + "' ends at or before its start; expected a later end");
    }
    if (const auto* node = table.get("changes")) read_change_kinds(*node, out);
    if (const auto* node = table.get("destinations")) read_destinations(*node, out);
    if (const auto* node = table.get("notice_h")) {
      const auto hours = node->value_exact<int64_t>();
      if (!hours || *hours < 0 || *hours > kMaxNoticeHours) {
        add_error(line(*node),
                  "notice_h is wrong; expected whole hours from 0 to " + std::to_string(kMaxNoticeHours));
      } else {
        out.notice_s = *hours * 3600;
      }
    }
    if (!out.id.empty() && !ids_.emplace(out.id, out.line).second) {
      add_error(out.line,
                "window '" + out.id + "' is given twice; first at line " + std::to_string(ids_.at(out.id)));
    }
    out_.windows.push_back(std::move(out));
  }

  void read_change_kinds(const toml::node& node, Window& out) {
    const auto* list = node.as_array();
    if (list == nullptr || list->empty()) {
      return add_error(line(node), "changes is wrong; expected a list of kinds, or no such line for all");
    }
    for (const auto& item : *list) {
      const auto text = item.value_exact<std::string>();
      const auto kind = text ? parse_change_kind(*text) : std::nullopt;
      if (!kind) {
        add_error(line(item), "changes is wrong; expected reload, settings, map, limits or calendar");
      } else {
        out.change_kinds.insert(*kind);
      }
    }
  }

  void read_destinations(const toml::node& node, Window& out) {
    const auto* list = node.as_array();
    if (list == nullptr || list->empty()) {
      return add_error(line(node),
                       "destinations is wrong; expected a list of numbers, or no such line for all");
    }
    for (const auto& item : *list) {
      const auto number = item.value_exact<int64_t>();
      if (!number) {
        add_error(line(item), "destinations is wrong; expected whole numbers");
      } else {
        out.destinations.insert(*number);
      }
    }
  }

  Calendar out_;
  std::map<std::string, int> ids_;
  std::vector<ValidationError> errors_;
};

bool in_scope(const Window& window, const Change& change) {
  if (!window.change_kinds.empty() && !window.change_kinds.contains(change.kind)) return false;
  if (window.destinations.empty() || change.destinations.empty()) return true;
  return std::any_of(change.destinations.begin(), change.destinations.end(),
                     [&](int64_t d) { return window.destinations.contains(d); });
}

// True from the start of its notice until its end: the window may not be reduced then.
bool is_binding(const Window& window, TimeBounds now) {
  return now.latest >= window.start - window.notice_s * kMicrosPerSecond && now.earliest < window.end;
}

// Whether `b` covers everything that `a` covers.
bool covers(const Window& b, const Window& a) {
  const auto within = [](const auto& all, const auto& some) {  // an empty set stands for all
    if (all.empty()) return true;
    return !some.empty() && std::includes(all.begin(), all.end(), some.begin(), some.end());
  };
  return b.start <= a.start && b.end >= a.end && within(b.change_kinds, a.change_kinds) &&
         within(b.destinations, a.destinations) && b.notice_s >= a.notice_s;
}

}  // namespace

const char* name(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kReload:
      return "reload";
    case ChangeKind::kSettings:
      return "settings";
    case ChangeKind::kMap:
      return "map";
    case ChangeKind::kLimits:
      return "limits";
    case ChangeKind::kCalendar:
      return "calendar";
  }
  return "";
}

std::optional<ChangeKind> parse_change_kind(std::string_view text) {
  for (const ChangeKind kind : kChangeKinds) {
    if (text == name(kind)) return kind;
  }
  return std::nullopt;
}

std::variant<Calendar, std::vector<ValidationError>> parse_calendar(std::string_view toml) {
  return Parser().run(toml);
}

std::optional<Instant> parse_instant(std::string_view text) {
  // A line break would begin another line of TOML, and a comment would hide what follows.
  if (text.empty() || text.size() > 40 || text.find_first_of("\r\n#") != text.npos) return std::nullopt;
  try {
    const toml::table table = state::parse_toml("t = " + std::string(text));
    const auto value = table["t"].value_exact<toml::date_time>();
    if (!value || !value->offset || table.size() != 1) return std::nullopt;
    return instant_of(*value);
  } catch (const toml::parse_error&) {
    return std::nullopt;
  }
}

std::string format_instant(Instant instant) {
  using namespace std::chrono;
  const sys_time<microseconds> when{microseconds(instant)};
  const auto day = floor<days>(when);
  const year_month_day date{day};
  const hh_mm_ss time{floor<seconds>(when - day)};
  char raw[64];
  std::snprintf(raw, sizeof raw, "%04d-%02u-%02uT%02d:%02d:%02dZ", static_cast<int>(date.year()),
                static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
                static_cast<int>(time.hours().count()), static_cast<int>(time.minutes().count()),
                static_cast<int>(time.seconds().count()));
  return raw;
}

FreezeDecision evaluate(const Calendar& calendar, const Change& change, TimeBounds now) {
  std::vector<const Window*> scope;
  for (const Window& window : calendar.windows) {
    if (in_scope(window, change)) scope.push_back(&window);
  }
  std::sort(scope.begin(), scope.end(), [](const Window* a, const Window* b) {
    return a->start != b->start ? a->start < b->start : a->id < b->id;
  });
  FreezeDecision out;
  for (const Window* window : scope) {
    if (!out.closed) {
      if (now.latest < window->start || now.earliest >= window->end) continue;
      out = {true, window->id, window->end, ""};
    } else if (window->start <= out.reopens_at) {  // overlaps or adjoins
      out.reopens_at = std::max(out.reopens_at, window->end);
    }
  }
  if (out.closed) {
    out.reason = std::string(name(change.kind)) + " is closed by window '" + out.window_id + "' until " +
                 format_instant(out.reopens_at) +
                 "; wait until then, or have two approvers grant an exception for this change";
  }
  return out;
}

std::vector<std::string> edit_violations(const Calendar& current, const Calendar& next, TimeBounds now) {
  std::vector<std::string> out;
  bool binding = false;
  for (const Window& window : current.windows) {
    if (!is_binding(window, now)) continue;
    binding = true;
    const auto it = std::find_if(next.windows.begin(), next.windows.end(),
                                 [&](const Window& other) { return other.id == window.id; });
    if (it != next.windows.end() && covers(*it, window)) continue;
    out.push_back("window '" + window.id + "' is in force or within its notice until " +
                  format_instant(window.end) + "; it may be extended, but not " +
                  (it == next.windows.end() ? "removed" : "shortened, moved or narrowed") +
                  " without an exception by two approvers");
  }
  if (binding && current.approvers != next.approvers) {
    out.push_back("the approvers may not change while a window is in force or within its notice");
  }
  return out;
}

std::optional<Instant> next_window_start(const Calendar& calendar, const Change& change, Instant from) {
  std::optional<Instant> out;
  for (const Window& window : calendar.windows) {
    if (in_scope(window, change) && window.start > from && (!out || window.start < *out)) out = window.start;
  }
  return out;
}

}  // namespace umberhoist::freeze

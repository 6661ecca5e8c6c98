#include "shards/validate.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>

namespace umberhoist::shards {
namespace {

double part(Key first, Key last, Key last_key) {
  return (static_cast<double>(last - first) + 1) / (static_cast<double>(last_key) + 1);
}

std::string percent(double share) {
  char raw[32];
  std::snprintf(raw, sizeof raw, "%.2f%%", share * 100);
  return raw;
}

std::string bounds(Key first, Key last) { return hex(first) + ".." + hex(last); }

std::string name(const Range& range) {
  return "'" + range.owner + "'" + (range.line > 0 ? " (line " + std::to_string(range.line) + ")" : "");
}

class Validator {
 public:
  Validator(const Map& map, const ValidationContext& against) : map_(map), against_(against) {}

  std::vector<ValidationError> run() {
    head();
    form();
    const bool covers = cover();
    owners();
    if (covers && against_.members != nullptr) {
      if (against_.change_type == MapChangeType::kRebalance) weigh();
      zones();
    }
    if (covers && against_.current != nullptr) moves();
    return std::move(out_);
  }

 private:
  void fault(int line, std::string what) { out_.push_back({line, std::move(what)}); }

  void head() {
    if (map_.hash != kHash) {
      fault(map_.hash_line, "hash is '" + map_.hash + "'; expected '" + std::string(kHash) + "'");
    }
    if (against_.current == nullptr) return;
    if (map_.epoch != against_.current->epoch + 1) {
      fault(map_.epoch_line, "epoch is " + std::to_string(map_.epoch) + "; expected " +
                                 std::to_string(against_.current->epoch + 1) +
                                 ", the next after the present map's");
    }
    if (map_.hash != against_.current->hash) {
      fault(map_.hash_line,
            "hash changes from '" + against_.current->hash + "' to '" + map_.hash + "'; expected the same");
    }
  }

  void form() {
    const Range* before = nullptr;
    for (const Range& range : map_.ranges) {
      if (range.first > range.last) {
        fault(range.line, "range " + bounds(range.first, range.last) + " of " + name(range) +
                              " is empty or wraps; expected first at or before last");
        continue;
      }
      if (range.last > against_.limits.last_key) {
        fault(range.line, "range " + bounds(range.first, range.last) + " of " + name(range) +
                              " ends after the last key " + hex(against_.limits.last_key));
      }
      if (before != nullptr && range.first < before->first) {
        fault(range.line, "range " + bounds(range.first, range.last) + " of " + name(range) +
                              " is out of order; expected it before " + bounds(before->first, before->last));
      }
      before = &range;
    }
  }

  // Gaps by the highest key that is covered so far; overlaps pair by pair, as each names two owners.
  bool cover() {
    const size_t before = out_.size();
    std::vector<const Range*> order;
    for (const Range& range : map_.ranges) {
      if (range.first <= range.last) order.push_back(&range);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const Range* a, const Range* b) { return a->first < b->first; });
    std::vector<const Range*> open;
    Key next = 0;
    bool ended = false;  // the last key is covered: there is no next
    for (const Range* range : order) {
      if (!ended && range->first > next) fault(0, "gap " + bounds(next, range->first - 1) + ": no owner");
      std::erase_if(open, [&](const Range* other) { return other->last < range->first; });
      for (const Range* other : open) {
        fault(range->line, "overlap " + bounds(range->first, std::min(range->last, other->last)) + ": " +
                               name(*other) + " and " + name(*range));
      }
      open.push_back(range);
      if (range->last >= against_.limits.last_key) {
        ended = true;
      } else if (!ended) {
        next = std::max(next, range->last + 1);
      }
    }
    if (!ended) fault(0, "gap " + bounds(next, against_.limits.last_key) + ": no owner");
    return out_.size() == before;
  }

  void owners() {
    if (against_.members == nullptr) return;
    std::map<std::string, const Member*> known;
    for (const Member& member : *against_.members) known[member.name] = &member;
    std::set<std::string> told;  // once for each owner, at its first line
    for (const Range& range : map_.ranges) {
      if (!told.insert(range.owner).second) continue;
      const auto it = known.find(range.owner);
      if (it == known.end()) {
        fault(range.line, "owner '" + range.owner + "' is no member");
      } else if (!it->second->in_current_generation) {
        fault(range.line, "owner '" + range.owner + "' is of an earlier generation");
      } else if (!it->second->live) {
        fault(range.line, "owner '" + range.owner + "' is not live");
      } else if (it->second->leaving && gains(range.owner)) {
        fault(range.line, "owner '" + range.owner + "' is leaving");
      }
    }
  }

  // Whoever leaves may keep for another step what it has, but gets nothing.
  bool gains(const std::string& owner) const {
    if (against_.current == nullptr) return true;
    for (const Range& range : map_.ranges) {
      for (const Range& old : against_.current->ranges) {
        const bool overlap = range.first <= old.last && old.first <= range.last;
        if (range.owner == owner && old.owner != owner && overlap) return true;
      }
    }
    return false;
  }

  static bool can_own(const Member& m) {
    return m.live && !m.leaving && m.in_current_generation && m.weight > 0;
  }

  void weigh() {
    const double factor = against_.limits.share_factor;
    if (factor <= 0) return;
    double total = 0;
    for (const Member& member : *against_.members) total += can_own(member) ? member.weight : 0;
    if (total <= 0) return;
    std::map<std::string, double> held;
    for (const auto& [owner, share] : shares(map_, against_.limits.last_key)) held[owner] = share;
    std::map<std::string, double> before;
    if (against_.current != nullptr) {
      for (const auto& [owner, share] : shares(*against_.current, against_.limits.last_key))
        before[owner] = share;
    }
    std::map<std::string, const Member*> sorted;
    for (const Member& member : *against_.members) sorted[member.name] = &member;
    for (const auto& [owner, member] : sorted) {
      if (!can_own(*member)) continue;
      const double due = member->weight / total;
      const double has = held.contains(owner) ? held.at(owner) : 0;
      // A step on the way may leave a share outside, but not push it further out.
      const bool was = against_.current != nullptr;
      const double had = before.contains(owner) ? before.at(owner) : 0;
      if ((has > due * factor && !(was && has <= had)) || (has < due / factor && !(was && has >= had))) {
        fault(0, "'" + owner + "' has " + percent(has) + " of the keys; expected " + percent(due / factor) +
                     " to " + percent(due * factor) + " by its weight");
      }
    }
  }

  void zones() {
    if (!against_.limits.require_two_zones) return;
    std::map<std::string, std::string> zone_of;
    std::set<std::string> there, used;
    for (const Member& member : *against_.members) {
      zone_of[member.name] = member.zone;
      if (can_own(member)) there.insert(member.zone);
    }
    for (const Range& range : map_.ranges) {
      if (zone_of.contains(range.owner)) used.insert(zone_of.at(range.owner));
    }
    if (there.size() > 1 && used.size() == 1) {
      fault(0,
            "all owners are in zone '" + *used.begin() + "'; expected two zones, as a standby is asked for");
    }
  }

  void moves() {
    const Map& present = *against_.current;
    const Key last_key = against_.limits.last_key;
    if (against_.change_type == MapChangeType::kRebalance) {
      const double share = moved_share(present, map_, last_key);
      if (share > against_.limits.max_moved_share) {
        fault(0, percent(share) + " of the keys move; expected at most " +
                     percent(against_.limits.max_moved_share) + " in one step");
      }
      return;
    }
    // A repair: what moves had an owner that is lost.
    std::set<std::string> sound;
    if (against_.members != nullptr) {
      for (const Member& member : *against_.members) {
        if (member.live && member.in_current_generation) sound.insert(member.name);
      }
    }
    for (const Range& old : present.ranges) {
      if (!sound.contains(old.owner)) continue;
      for (const Range& range : map_.ranges) {
        const Key first = std::max(old.first, range.first);
        const Key last = std::min(old.last, range.last);
        if (first > last || range.owner == old.owner) continue;
        fault(range.line, "repair moves " + bounds(first, last) + " from '" + old.owner +
                              "', who is live, to " + name(range));
      }
    }
  }

  const Map& map_;
  const ValidationContext& against_;
  std::vector<ValidationError> out_;
};

}  // namespace

std::vector<ValidationError> validate(const Map& proposed, const ValidationContext& against) {
  return Validator(proposed, against).run();
}

std::vector<std::pair<std::string, double>> shares(const Map& map, Key last_key) {
  std::map<std::string, double> sum;
  for (const Range& range : map.ranges) sum[range.owner] += part(range.first, range.last, last_key);
  return {sum.begin(), sum.end()};
}

double moved_share(const Map& from, const Map& to, Key last_key) {
  double sum = 0;
  auto a = from.ranges.begin();
  auto b = to.ranges.begin();
  while (a != from.ranges.end() && b != to.ranges.end()) {
    const Key first = std::max(a->first, b->first);
    const Key last = std::min(a->last, b->last);
    if (first <= last && a->owner != b->owner) sum += part(first, last, last_key);
    const bool step_b = b->last <= a->last;
    if (a->last <= b->last) ++a;
    if (step_b) ++b;
  }
  return sum;
}

}  // namespace umberhoist::shards

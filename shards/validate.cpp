#include "shards/validate.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>

namespace umberhoist::shards {
namespace {

double share_of(Key first, Key last, Key last_key) {
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
  Validator(const Map& map, const ValidationContext& context) : map_(map), context_(context) {}

  std::vector<ValidationError> run() {
    check_header();
    check_ranges();
    const bool covers_all_keys = check_coverage();
    check_owners();
    if (covers_all_keys && context_.members != nullptr) {
      if (context_.change_type == MapChangeType::kRebalance) check_shares();
      check_zones();
    }
    if (covers_all_keys && context_.current != nullptr) check_moves();
    return std::move(out_);
  }

 private:
  void add_error(int line, std::string what) { out_.push_back({line, std::move(what)}); }

  void check_header() {
    if (map_.hash != kHash) {
      add_error(map_.hash_line, "hash is '" + map_.hash + "'; expected '" + std::string(kHash) + "'");
    }
    if (context_.current == nullptr) return;
    if (map_.epoch != context_.current->epoch + 1) {
      add_error(map_.epoch_line, "epoch is " + std::to_string(map_.epoch) + "; expected " +
                                     std::to_string(context_.current->epoch + 1) +
                                     ", the next after the present map's");
    }
    if (map_.hash != context_.current->hash) {
      add_error(map_.hash_line, "hash changes from '" + context_.current->hash + "' to '" + map_.hash +
                                    "'; expected the same");
    }
  }

  void check_ranges() {
    const Range* before = nullptr;
    for (const Range& range : map_.ranges) {
      if (range.first > range.last) {
        add_error(range.line, "range " + bounds(range.first, range.last) + " of " + name(range) +
                                  " is empty or wraps; expected first at or before last");
        continue;
      }
      if (range.last > context_.limits.last_key) {
        add_error(range.line, "range " + bounds(range.first, range.last) + " of " + name(range) +
                                  " ends after the last key " + hex(context_.limits.last_key));
      }
      if (before != nullptr && range.first < before->first) {
        add_error(range.line, "range " + bounds(range.first, range.last) + " of " + name(range) +
                                  " is out of order; expected it before " +
                                  bounds(before->first, before->last));
      }
      before = &range;
    }
  }

  // Gaps are found by the highest key covered so far, overlaps pair by pair, as each message names two
  // owners.
  bool check_coverage() {
    const size_t before = out_.size();
    std::vector<const Range*> order;
    for (const Range& range : map_.ranges) {
      if (range.first <= range.last) order.push_back(&range);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const Range* a, const Range* b) { return a->first < b->first; });
    std::vector<const Range*> open;
    Key next = 0;
    bool last_key_covered = false;  // then `next` has no meaning
    for (const Range* range : order) {
      if (!last_key_covered && range->first > next)
        add_error(0, "gap " + bounds(next, range->first - 1) + ": no owner");
      std::erase_if(open, [&](const Range* other) { return other->last < range->first; });
      for (const Range* other : open) {
        add_error(range->line, "overlap " + bounds(range->first, std::min(range->last, other->last)) + ": " +
                                   name(*other) + " and " + name(*range));
      }
      open.push_back(range);
      if (range->last >= context_.limits.last_key) {
        last_key_covered = true;
      } else if (!last_key_covered) {
        next = std::max(next, range->last + 1);
      }
    }
    if (!last_key_covered) add_error(0, "gap " + bounds(next, context_.limits.last_key) + ": no owner");
    return out_.size() == before;
  }

  void check_owners() {
    if (context_.members == nullptr) return;
    std::map<std::string, const Member*> known;
    for (const Member& member : *context_.members) known[member.name] = &member;
    std::set<std::string> reported;  // once for each owner, at its first line
    for (const Range& range : map_.ranges) {
      if (!reported.insert(range.owner).second) continue;
      const auto it = known.find(range.owner);
      if (it == known.end()) {
        add_error(range.line, "owner '" + range.owner + "' is no member");
      } else if (!it->second->in_current_generation) {
        add_error(range.line, "owner '" + range.owner + "' is of an earlier generation");
      } else if (!it->second->live) {
        add_error(range.line, "owner '" + range.owner + "' is not live");
      } else if (it->second->leaving && gains(range.owner)) {
        add_error(range.line, "owner '" + range.owner + "' is leaving");
      }
    }
  }

  // A leaving member may keep its keys until a later step, but gets no more.
  bool gains(const std::string& owner) const {
    if (context_.current == nullptr) return true;
    for (const Range& range : map_.ranges) {
      for (const Range& old : context_.current->ranges) {
        const bool overlap = range.first <= old.last && old.first <= range.last;
        if (range.owner == owner && old.owner != owner && overlap) return true;
      }
    }
    return false;
  }

  static bool can_own(const Member& m) {
    return m.live && !m.leaving && m.in_current_generation && m.weight > 0;
  }

  void check_shares() {
    const double factor = context_.limits.share_factor;
    if (factor <= 0) return;
    double total = 0;
    for (const Member& member : *context_.members) total += can_own(member) ? member.weight : 0;
    if (total <= 0) return;
    std::map<std::string, double> owned_shares;
    for (const auto& [owner, share] : shares(map_, context_.limits.last_key)) owned_shares[owner] = share;
    std::map<std::string, double> before;
    if (context_.current != nullptr) {
      for (const auto& [owner, share] : shares(*context_.current, context_.limits.last_key))
        before[owner] = share;
    }
    std::map<std::string, const Member*> members_by_name;
    for (const Member& member : *context_.members) members_by_name[member.name] = &member;
    for (const auto& [owner, member] : members_by_name) {
      if (!can_own(*member)) continue;
      const double target_share = member->weight / total;
      const double owned_share = owned_shares.contains(owner) ? owned_shares.at(owner) : 0;
      // An intermediate step may leave a share outside the limits, but not move it further out.
      const bool has_current = context_.current != nullptr;
      const double current_share = before.contains(owner) ? before.at(owner) : 0;
      if ((owned_share > target_share * factor && !(has_current && owned_share <= current_share)) ||
          (owned_share < target_share / factor && !(has_current && owned_share >= current_share))) {
        add_error(0, "'" + owner + "' has " + percent(owned_share) + " of the keys; expected " +
                         percent(target_share / factor) + " to " + percent(target_share * factor) +
                         " by its weight");
      }
    }
  }

  void check_zones() {
    if (!context_.limits.require_two_zones) return;
    std::map<std::string, std::string> zone_of;
    std::set<std::string> there, used;
    for (const Member& member : *context_.members) {
      zone_of[member.name] = member.zone;
      if (can_own(member)) there.insert(member.zone);
    }
    for (const Range& range : map_.ranges) {
      if (zone_of.contains(range.owner)) used.insert(zone_of.at(range.owner));
    }
    if (there.size() > 1 && used.size() == 1) {
      add_error(
          0, "all owners are in zone '" + *used.begin() + "'; expected two zones, as a standby is asked for");
    }
  }

  void check_moves() {
    const Map& current = *context_.current;
    const Key last_key = context_.limits.last_key;
    if (context_.change_type == MapChangeType::kRebalance) {
      const double share = moved_share(current, map_, last_key);
      if (share > context_.limits.max_moved_share) {
        add_error(0, percent(share) + " of the keys move; expected at most " +
                         percent(context_.limits.max_moved_share) + " in one step");
      }
      return;
    }
    // A repair may move only the keys of lost owners.
    std::set<std::string> healthy_owners;
    if (context_.members != nullptr) {
      for (const Member& member : *context_.members) {
        if (member.live && member.in_current_generation) healthy_owners.insert(member.name);
      }
    }
    for (const Range& old : current.ranges) {
      if (!healthy_owners.contains(old.owner)) continue;
      for (const Range& range : map_.ranges) {
        const Key first = std::max(old.first, range.first);
        const Key last = std::min(old.last, range.last);
        if (first > last || range.owner == old.owner) continue;
        add_error(range.line, "repair moves " + bounds(first, last) + " from '" + old.owner +
                                  "', who is live, to " + name(range));
      }
    }
  }

  const Map& map_;
  const ValidationContext& context_;
  std::vector<ValidationError> out_;
};

}  // namespace

std::vector<ValidationError> validate(const Map& proposed, const ValidationContext& context) {
  return Validator(proposed, context).run();
}

std::vector<std::pair<std::string, double>> shares(const Map& map, Key last_key) {
  std::map<std::string, double> sum;
  for (const Range& range : map.ranges) sum[range.owner] += share_of(range.first, range.last, last_key);
  return {sum.begin(), sum.end()};
}

double moved_share(const Map& from, const Map& to, Key last_key) {
  double sum = 0;
  auto a = from.ranges.begin();
  auto b = to.ranges.begin();
  while (a != from.ranges.end() && b != to.ranges.end()) {
    const Key first = std::max(a->first, b->first);
    const Key last = std::min(a->last, b->last);
    if (first <= last && a->owner != b->owner) sum += share_of(first, last, last_key);
    const bool step_b = b->last <= a->last;
    if (a->last <= b->last) ++a;
    if (step_b) ++b;
  }
  return sum;
}

}  // namespace umberhoist::shards

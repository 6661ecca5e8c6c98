#include "shards/plan.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace umberhoist::shards {
namespace {

using KeyCount = unsigned __int128;  // 2^64 keys do not fit in 64 bits

const KeyCount kAllKeys = KeyCount{1} << 64;

bool can_own(const Member& m) { return m.live && !m.leaving && m.in_current_generation && m.weight > 0; }

std::map<std::string, double> owner_weights(const std::vector<Member>& members) {
  std::map<std::string, double> out;
  for (const Member& member : members) {
    if (can_own(member)) out[member.name] = member.weight;
  }
  return out;
}

// Number of keys that each member should have. The first one gets the rest that rounding leaves.
std::map<std::string, KeyCount> target_keys(const std::map<std::string, double>& owner_weights) {
  double total = 0;
  for (const auto& [name, weight] : owner_weights) total += weight;
  std::map<std::string, KeyCount> out;
  KeyCount assigned = 0;
  for (const auto& [name, weight] : owner_weights) {
    const auto keys = static_cast<KeyCount>(std::floor(weight / total * 0x1p62)) << 2;
    out[name] = std::min(keys, kAllKeys - assigned);
    assigned += out[name];
  }
  if (!out.empty()) out.begin()->second += kAllKeys - assigned;
  return out;
}

KeyCount size(const Range& range) { return KeyCount{range.last} - range.first + 1; }

Map merge_adjacent(Map map) {
  std::vector<Range> out;
  for (Range& range : map.ranges) {
    if (!out.empty() && out.back().owner == range.owner) {
      out.back().last = range.last;
    } else {
      out.push_back(std::move(range));
    }
  }
  map.ranges = std::move(out);
  return map;
}

// Moves keys from owners with a surplus to the member with the largest shortfall, at most `max_keys` in
// total, in the order of the current ranges. Owners that are not in `surplus` keep all their keys.
Map reassign(const Map& current, std::map<std::string, KeyCount> surplus,
             std::map<std::string, KeyCount> shortfall, KeyCount max_keys) {
  Map out = current;
  out.epoch = current.epoch + 1;
  out.epoch_line = out.hash_line = 0;
  out.ranges.clear();
  const auto largest_shortfall = [&] {
    return std::max_element(shortfall.begin(), shortfall.end(),
                            [](const auto& a, const auto& b) { return a.second < b.second; });
  };
  for (Range range : current.ranges) {
    range.line = 0;
    auto available = surplus.find(range.owner);
    while (available != surplus.end() && available->second > 0 && max_keys > 0) {
      const auto to = largest_shortfall();
      if (to == shortfall.end() || to->second == 0) break;
      const KeyCount keys = std::min({available->second, max_keys, to->second, size(range)});
      available->second -= keys;
      max_keys -= keys;
      to->second -= keys;
      const Key last = range.first + static_cast<Key>(keys - 1);
      out.ranges.push_back({range.first, last, to->first, 0});
      if (last == range.last) {
        range.owner.clear();
        break;
      }
      range.first = last + 1;
    }
    if (!range.owner.empty()) out.ranges.push_back(std::move(range));
  }
  return merge_adjacent(std::move(out));
}

std::map<std::string, KeyCount> owned_keys(const Map& map) {
  std::map<std::string, KeyCount> out;
  for (const Range& range : map.ranges) out[range.owner] += size(range);
  return out;
}

}  // namespace

std::optional<Map> initial_map(const std::vector<Member>& members, uint64_t epoch) {
  const auto shares = target_keys(owner_weights(members));
  if (shares.empty()) return std::nullopt;
  Map out;
  out.epoch = epoch;
  KeyCount next = 0;
  for (const auto& [name, keys] : shares) {
    if (keys == 0) continue;
    out.ranges.push_back({static_cast<Key>(next), static_cast<Key>(next + keys - 1), name, 0});
    next += keys;
  }
  return out;
}

std::optional<Map> repair(const Map& current, const std::vector<Member>& members) {
  std::map<std::string, bool> is_healthy;
  for (const Member& member : members) is_healthy[member.name] = member.live && member.in_current_generation;
  const auto owned = owned_keys(current);
  std::map<std::string, KeyCount> lost;
  KeyCount all = 0;
  for (const auto& [owner, keys] : owned) {
    if (const auto it = is_healthy.find(owner); it != is_healthy.end() && it->second) continue;
    lost[owner] = keys;
    all += keys;
  }
  const auto eligible = owner_weights(members);
  if (lost.empty() || eligible.empty()) return std::nullopt;
  // Fill each member up to its target; if that does not take all lost keys, spread the rest by weight.
  std::map<std::string, KeyCount> shortfall = target_keys(eligible);
  KeyCount room = 0;
  for (auto& [name, keys] : shortfall) {
    const KeyCount now = owned.contains(name) ? owned.at(name) : 0;
    keys = keys > now ? keys - now : 0;
    room += keys;
  }
  if (room < all) {
    double total = 0;
    for (const auto& [name, weight] : eligible) total += weight;
    const double rest = static_cast<double>(all - room);
    for (auto& [name, keys] : shortfall) {
      keys = std::min(kAllKeys,
                      keys + static_cast<KeyCount>(std::ceil(rest * eligible.at(name) / total)) + 4096);
    }
  }
  return reassign(current, lost, shortfall, kAllKeys);
}

std::optional<Map> rebalance(const Map& current, const std::vector<Member>& members,
                             const MapLimits& limits) {
  const auto eligible = owner_weights(members);
  if (eligible.empty()) return std::nullopt;
  const auto shares = target_keys(eligible);
  const auto owned = owned_keys(current);
  bool needed = false;
  std::map<std::string, KeyCount> surplus, shortfall;
  for (const auto& [owner, keys] : owned) {
    const auto it = shares.find(owner);
    if (it == shares.end()) {
      surplus[owner] = keys;
      needed = true;
    } else if (keys > it->second) {
      surplus[owner] = keys - it->second;
    }
  }
  for (const auto& [name, keys] : shares) {
    const KeyCount now = owned.contains(name) ? owned.at(name) : 0;
    const double ratio = static_cast<double>(now) / static_cast<double>(keys);
    // 1 % inside the limit, so that the plan validates in spite of rounding.
    if (ratio < 1 / (limits.share_factor * 0.99) || ratio > limits.share_factor * 0.99) needed = true;
    if (now < keys) shortfall[name] = keys - now;
  }
  if (!needed || shortfall.empty()) return std::nullopt;
  const auto max_keys =
      static_cast<KeyCount>(std::floor(std::clamp(limits.max_moved_share, 0.0, 1.0) * 0x1p62)) << 2;
  if (max_keys == 0) return std::nullopt;
  return reassign(current, surplus, shortfall, max_keys);
}

}  // namespace umberhoist::shards

#include "shards/plan.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace umberhoist::shards {
namespace {

using Wide = unsigned __int128;  // 2^64 keys do not fit in 64 bits

const Wide kAll = Wide{1} << 64;

bool can_own(const Member& m) { return m.live && !m.leaving && m.in_current_generation && m.weight > 0; }

std::map<std::string, double> weights(const std::vector<Member>& members) {
  std::map<std::string, double> out;
  for (const Member& member : members) {
    if (can_own(member)) out[member.name] = member.weight;
  }
  return out;
}

// Whole keys that each should have; what rounding leaves goes to the first ones.
std::map<std::string, Wide> due(const std::map<std::string, double>& weights) {
  double total = 0;
  for (const auto& [name, weight] : weights) total += weight;
  std::map<std::string, Wide> out;
  Wide given = 0;
  for (const auto& [name, weight] : weights) {
    const auto keys = static_cast<Wide>(std::floor(weight / total * 0x1p62)) << 2;
    out[name] = std::min(keys, kAll - given);
    given += out[name];
  }
  if (!out.empty()) out.begin()->second += kAll - given;
  return out;
}

Wide size(const Range& range) { return Wide{range.last} - range.first + 1; }

Map joined(Map map) {
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

// Goes over the present ranges and gives away what may move, to those who lack most, `budget` keys at most.
// `surplus`: how many keys an owner has to give; those that it does not name give nothing.
Map hand_over(const Map& present, std::map<std::string, Wide> surplus, std::map<std::string, Wide> lacking,
              Wide budget) {
  Map out = present;
  out.epoch = present.epoch + 1;
  out.epoch_line = out.hash_line = 0;
  out.ranges.clear();
  const auto neediest = [&] {
    return std::max_element(lacking.begin(), lacking.end(),
                            [](const auto& a, const auto& b) { return a.second < b.second; });
  };
  for (Range range : present.ranges) {
    range.line = 0;
    auto gives = surplus.find(range.owner);
    while (gives != surplus.end() && gives->second > 0 && budget > 0) {
      const auto to = neediest();
      if (to == lacking.end() || to->second == 0) break;
      const Wide keys = std::min({gives->second, budget, to->second, size(range)});
      gives->second -= keys;
      budget -= keys;
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
  return joined(std::move(out));
}

std::map<std::string, Wide> held(const Map& map) {
  std::map<std::string, Wide> out;
  for (const Range& range : map.ranges) out[range.owner] += size(range);
  return out;
}

}  // namespace

std::optional<Map> initial_map(const std::vector<Member>& members, uint64_t epoch) {
  const auto shares = due(weights(members));
  if (shares.empty()) return std::nullopt;
  Map out;
  out.epoch = epoch;
  Wide next = 0;
  for (const auto& [name, keys] : shares) {
    if (keys == 0) continue;
    out.ranges.push_back({static_cast<Key>(next), static_cast<Key>(next + keys - 1), name, 0});
    next += keys;
  }
  return out;
}

std::optional<Map> repair(const Map& present, const std::vector<Member>& members) {
  std::map<std::string, bool> sound;
  for (const Member& member : members) sound[member.name] = member.live && member.in_current_generation;
  const auto has = held(present);
  std::map<std::string, Wide> lost;
  Wide all = 0;
  for (const auto& [owner, keys] : has) {
    if (const auto it = sound.find(owner); it != sound.end() && it->second) continue;
    lost[owner] = keys;
    all += keys;
  }
  const auto can = weights(members);
  if (lost.empty() || can.empty()) return std::nullopt;
  // Up to what each should have; if that is not enough for all of it, the rest by weight too.
  std::map<std::string, Wide> lacking = due(can);
  Wide room = 0;
  for (auto& [name, keys] : lacking) {
    const Wide now = has.contains(name) ? has.at(name) : 0;
    keys = keys > now ? keys - now : 0;
    room += keys;
  }
  if (room < all) {
    double total = 0;
    for (const auto& [name, weight] : can) total += weight;
    const double rest = static_cast<double>(all - room);
    for (auto& [name, keys] : lacking) {
      keys = std::min(kAll, keys + static_cast<Wide>(std::ceil(rest * can.at(name) / total)) + 4096);
    }
  }
  return hand_over(present, lost, lacking, kAll);
}

std::optional<Map> rebalance(const Map& present, const std::vector<Member>& members,
                             const MapLimits& bounds) {
  const auto can = weights(members);
  if (can.empty()) return std::nullopt;
  const auto shares = due(can);
  const auto has = held(present);
  bool wanted = false;
  std::map<std::string, Wide> surplus, lacking;
  for (const auto& [owner, keys] : has) {
    const auto it = shares.find(owner);
    if (it == shares.end()) {
      surplus[owner] = keys;
      wanted = true;
    } else if (keys > it->second) {
      surplus[owner] = keys - it->second;
    }
  }
  for (const auto& [name, keys] : shares) {
    const Wide now = has.contains(name) ? has.at(name) : 0;
    const double ratio = static_cast<double>(now) / static_cast<double>(keys);
    // A little inside the bound, so that what is planned validates in spite of rounding.
    if (ratio < 1 / (bounds.share_factor * 0.99) || ratio > bounds.share_factor * 0.99) wanted = true;
    if (now < keys) lacking[name] = keys - now;
  }
  if (!wanted || lacking.empty()) return std::nullopt;
  const auto budget = static_cast<Wide>(std::floor(std::clamp(bounds.max_moved_share, 0.0, 1.0) * 0x1p62))
                      << 2;
  if (budget == 0) return std::nullopt;
  return hand_over(present, surplus, lacking, budget);
}

}  // namespace umberhoist::shards

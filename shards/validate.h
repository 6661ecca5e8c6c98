// Validates a proposed map: every key has exactly one owner, the owners may own keys, shares and moves are
// within limits. A pure function, so that umberhoistctl, the register's check of a proposal and its check at
// commit give the same messages.
#pragma once

#include "shards/map.h"

namespace umberhoist::shards {

struct Member {
  std::string name;
  double weight = 1;  // share of the keys, relative to the other members
  std::string zone;
  bool live = true;
  bool leaving = false;
  bool in_current_generation = true;  // false: not seen since the last restore
};

struct MapLimits {
  // The share of a member must be within this factor of the share due by its weight. A share that is outside
  // in the current map may stay, but not get further out. 0: shares are not checked.
  double share_factor = 2;
  double max_moved_share = 0.25;   // part of all keys that one rebalance may move; not applied to a repair
  bool require_two_zones = false;  // if members in two zones may own keys, owners must be in two
  Key last_key = UINT64_MAX;       // smaller only in tests, to compare with a brute-force check
};

enum class MapChangeType { kRebalance, kRepair };  // a repair moves only the keys of lost owners

struct ValidationContext {  // checks that need a missing part are skipped
  const Map* current = nullptr;
  const std::vector<Member>* members = nullptr;
  MapLimits limits;
  MapChangeType change_type = MapChangeType::kRebalance;
};

// All errors, in a stable order: first header, ranges and coverage, then owners, then the checks against the
// members and the current map.
std::vector<ValidationError> validate(const Map& proposed, const ValidationContext& context);

// Part of the key space of each owner, sorted by name.
std::vector<std::pair<std::string, double>> shares(const Map& map, Key last_key = UINT64_MAX);
// Part of the keys whose owner differs. Both maps must cover each key once.
double moved_share(const Map& from, const Map& to, Key last_key = UINT64_MAX);

}  // namespace umberhoist::shards

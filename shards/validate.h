// Judges a proposed map: every key exactly once, owners that can own, shares and moves within bounds. A pure
// function, so that the same words are said by the command line, by the register, and once more at commit.
#pragma once

#include "shards/map.h"

namespace umberhoist::shards {

struct Member {
  std::string name;
  double weight = 1;  // share of the keys that it should have, against the others'
  std::string zone;
  bool live = true;
  bool leaving = false;
  bool in_current_generation = true;  // false: known from before the last restore only
};

struct MapLimits {
  // An owner's share is at most this many times what its weight gives it, and a member with weight has a
  // share of at least that divided by it. Where the present map is outside already, no further out. 0: shares
  // are not judged.
  double share_factor = 2;
  double max_moved_share = 0.25;   // of all keys, in one step; not held against a repair
  bool require_two_zones = false;  // owners in at least two zones, while live members are in two
  Key last_key = UINT64_MAX;       // smaller only for a test's brute-force judge
};

enum class MapChangeType { kRebalance, kRepair };  // a repair moves what a lost owner had, and nothing else

struct ValidationContext {  // what is not given is not judged
  const Map* current = nullptr;
  const std::vector<Member>* members = nullptr;
  MapLimits limits;
  MapChangeType change_type = MapChangeType::kRebalance;
};

// All defects: first the form and the cover, in the order of keys, then owners, then what the present map and
// the members say. The same order each time.
std::vector<ValidationError> validate(const Map& proposed, const ValidationContext& against);

// Parts of 2^64 (or of the smaller space), by owner and in order of names.
std::vector<std::pair<std::string, double>> shares(const Map& map, Key last_key = UINT64_MAX);
// Part of the keys whose owner differs. Both maps cover everything once.
double moved_share(const Map& from, const Map& to, Key last_key = UINT64_MAX);

}  // namespace umberhoist::shards

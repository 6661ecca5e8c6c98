// Plans maps that move few keys and always pass validate(): the initial map, the repair after the loss of an
// owner, and a rebalance in steps.
#pragma once

#include <optional>

#include "shards/validate.h"

namespace umberhoist::shards {

// One range for each member that may own keys, in proportion to its weight. nullopt if there is none.
std::optional<Map> initial_map(const std::vector<Member>& members, uint64_t epoch = 1);

// Moves the keys of lost owners (not a member, not live, or of an earlier generation) to the members that
// have least for their weight; nothing else moves. nullopt if no owner is lost, or no member may own keys.
std::optional<Map> repair(const Map& current, const std::vector<Member>& members);

// One step towards shares in proportion to weight, within the limits on moved keys. nullopt if all shares are
// within the limits, no owner is leaving, and each member that may own keys does.
std::optional<Map> rebalance(const Map& current, const std::vector<Member>& members, const MapLimits& limits);

}  // namespace umberhoist::shards

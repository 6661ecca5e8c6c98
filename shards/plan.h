// Maps that need few moves and always validate: the first one, the repair of a lost owner's keys, and a
// rebalance in steps.
#pragma once

#include <optional>

#include "shards/validate.h"

namespace umberhoist::shards {

// By weight, one range for each member that can own. Nothing if none can.
std::optional<Map> initial_map(const std::vector<Member>& members, uint64_t epoch = 1);

// The keys of owners that are lost (no member, not live, or of an earlier generation) go to those who have
// least for their weight; nothing else moves. Nothing if all owners are well, or nobody can own.
std::optional<Map> repair(const Map& present, const std::vector<Member>& members);

// One step towards shares by weight that moves no more than the bounds allow. Nothing if the shares are
// within the bounds, no owner leaves, and each member that can own does so.
std::optional<Map> rebalance(const Map& present, const std::vector<Member>& members, const MapLimits& bounds);

}  // namespace umberhoist::shards

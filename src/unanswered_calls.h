// Which calls wait for the outcome of those that are out. Silence is no sign of health: a destination that
// served nothing lately and leaves a call unanswered may be out, or may come back cold while further calls to
// it are on their way. Pure functions of times and counts.
#pragma once

#include <algorithm>
#include <cmath>

#include "firspool/policy.h"

namespace firspool {

// News older than this may hide an outage.
inline constexpr Time kMaxNewsAge = 5'000'000;

// Calls to a route that have no outcome yet.
struct UnansweredCalls {
  int count = 0;
  bool any_late = false;  // one is out for longer than its destination's calls usually take
};

// Whether a further call waits for an outcome. `news_age`: since the youngest served call was sent.
// `tolerated_share`: this relay's part of the calls that the destination would tolerate in slow start; one is
// always allowed.
inline bool waits_for_outcome(const UnansweredCalls& unanswered, Time news_age, double tolerated_share) {
  if (news_age < kMaxNewsAge || !unanswered.any_late) return false;
  return unanswered.count >= std::max(1.0, std::floor(tolerated_share));
}

}  // namespace firspool

// How many calls all relays together may send to a destination in slow start. Pure functions of counts.
#pragma once

#include <algorithm>
#include <cmath>

namespace firspool {

// An overload is only held against the relays that saw the outage if they sent at least this share of it.
inline constexpr double kInformedLoadShare = 2.0 / 3;

// At this many calls for each one of an uninformed relay, the informed relays' share of an overload stays far
// below kInformedLoadShare.
inline constexpr double kMinorityShare = 0.5;

// Budgets from this many calls on have the tighter tolerance.
inline constexpr double kLargeBudget = 30;

// Calls that a destination with a budget of `budget` calls tolerates in an overload window: random excess is
// allowed for.
inline double tolerated_calls(double budget) {
  const double roots = budget < kLargeBudget ? 3 : 2;
  return budget + roots * std::sqrt(budget) + roots;
}

// Distance of a safe mean from its limit, in standard deviations of the count.
inline constexpr double kSafetyDeviations = 4;

// Largest mean of a nearly Poisson-distributed count that stays under `limit` by kSafetyDeviations: the
// solution of mean + kSafetyDeviations * sqrt(mean) = limit.
inline double largest_safe_mean(double limit) {
  if (limit <= 0) return 0;
  const double half = kSafetyDeviations / 2;
  const double root = std::sqrt(half * half + limit) - half;
  return root * root;
}

// Number of calls that relays which saw an outage may send in a window of `budget` calls. Either they stay
// under their share of the tolerated calls, whatever the other relays send; or the calls of the other relays
// fit in as well, of which `uninformed` are expected.
inline double informed_calls_limit(double budget, double uninformed) {
  const double tolerated = tolerated_calls(budget);
  return std::max(kInformedLoadShare * tolerated, tolerated - uninformed);
}

}  // namespace firspool

// How many calls all relays together may send to a destination in slow start. Pure functions of counts.
#pragma once

#include <algorithm>
#include <cmath>

namespace firspool {

// Part of the tolerated calls that the relays that saw the outage may send whatever the others are expected
// to send: without any, none of them would learn of its end.
inline constexpr double kMinInformedShare = 1.0 / 3;

// Calls of the informed relays for each one of an uninformed relay, where these alone are near the tolerated
// number: at most and at least.
inline constexpr double kMaxMinorityShare = 0.5;
inline constexpr double kMinMinorityShare = 0.1;
// Distance of the mean of all calls from the tolerated number, in standard deviations, from which the share
// falls.
inline constexpr double kMinorityDeviations = 1;

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

// Largest mean of a nearly Poisson-distributed count that stays under `limit` by `deviations`: the solution
// of mean + deviations * sqrt(mean) = limit.
inline double largest_safe_mean(double limit, double deviations = kSafetyDeviations) {
  if (limit <= 0) return 0;
  const double half = deviations / 2;
  const double root = std::sqrt(half * half + limit) - half;
  return root * root;
}

// Number of calls that relays which saw an outage may send in a window of `budget` calls. The calls of the
// other relays, of which `uninformed` are expected, have to fit in as well.
inline double informed_calls_limit(double budget, double uninformed) {
  const double tolerated = tolerated_calls(budget);
  return std::max(kMinInformedShare * tolerated, tolerated - uninformed);
}

// The same where the calls of the other relays leave hardly any room.
inline double minority_calls(double budget, double uninformed) {
  const double all = largest_safe_mean(tolerated_calls(budget), kMinorityDeviations);
  return std::clamp(all - uninformed, kMinMinorityShare * uninformed, kMaxMinorityShare * uninformed);
}

}  // namespace firspool

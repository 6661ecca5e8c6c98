// What the decisions are made of: constants, each with its reason, and small values that are kept of calls,
// destinations and endpoints. Used by src/policy.cpp alone.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>
#include <vector>

#include "firspool/policy.h"

namespace firspool {

// ---- Constants ----

inline constexpr Time kMs = 1000;
inline constexpr Time kSecond = 1000 * kMs;
inline constexpr Time kNever = std::numeric_limits<Time>::max();

// Retry bucket: a served call earns a tenth, so repeats stay under a tenth when failures are common.
inline constexpr int kRetryCost = 10;  // in parts; a served call earns one
inline constexpr int kRetryBucketCapacity =
    10 * kRetryCost;  // full at the start: short troubles are ridden out by N retries
inline constexpr Time kMinRetryBackoff =
    20 * kMs;  // a repeat's random pause: long enough to leave the moment of failure
inline constexpr Time kMaxRetryBackoff = 250 * kMs;

// Slot share: one destination's part of the slots while others wait, and how far long calls narrow it.
inline constexpr double kSlotShare = 0.5;
inline constexpr double kMinSlotShare = 0.15;

// Health.
inline constexpr double kSampleWeight = 0.15;  // weight of a new latency or failure sample
inline constexpr Time kIdleAgeDoubling =
    30 * kSecond;                          // the age at which an idle connection is trusted doubles so fast
inline constexpr int kIdleAgeDivisor = 3;  // that age, in parts of the age at which a call on one was lost
inline constexpr size_t kMaxSuspectCalls = 4;    // lost calls that a destination is remembered for
inline constexpr Time kTableFullSpan = kSecond;  // no connection, and served again within this: not down
inline constexpr double kTableFullShare = 0.05;  // more calls without a connection: idle ones fill the tables
inline constexpr double kIdleLossMargin =
    0.2;  // calls on idle connections fail by so much more than on fresh ones
inline constexpr Time kInitialLatency = 400 * kMs;  // assumed before anything was measured
inline constexpr double kOverdueDeviations =
    6;  // a call older than mean + this many deviations is suspiciously slow
inline constexpr Time kMinOverdueAge = 700 * kMs;  // and at least this old
inline constexpr double kTimeoutFactor =
    2;  // time-out of a repeatable message, in multiples of the suspicious age
inline constexpr double kUnsafeTimeoutFactor =
    2;  // and of an unsafe one, for which a time-out ends all hope, of that
inline constexpr int kMinOverdueCalls = 2;  // so many overdue calls, with nothing served since, make a hang
inline constexpr double kMinLateSuccessShare =
    0.35;  // a smaller share than this is not waited for when slots are short
inline constexpr Time kRateTimeConstant = 10 * kSecond;  // memory of the own served rate
inline constexpr int kOutageStreak =
    3;  // so many failures in a row, over at least kDeadSpan, prove an outage
// And so many, one of them a failure, where the even share makes three take longer than a short outage.
inline constexpr int kRareCallerOutageStreak = 2;
inline constexpr int kRelapseStreak = 2;  // and so many, after a return, that it was none
inline constexpr Time kMinOutageSpan = 800 * kMs;
inline constexpr int kRefusalStreak = 3;
inline constexpr Time kMinRefusalSpan =
    2500 * kMs;  // refusals alone must last longer: spans of a limit are shorter
inline constexpr Time kMinAvoidTime =
    kSecond;  // a failing endpoint is passed over for so long, doubled up to
inline constexpr Time kMaxAvoidTime = 8 * kSecond;

// Guards.
inline constexpr double kSlowStartMargin =
    0.7;  // part of the fail-back budget that is used: counts and clocks differ
inline constexpr double kTrialShare =
    0.5;  // scouts of all relays together, in parts of the rate before the outage
inline constexpr double kMinTrialRate = 1.5;  // scouts a second of all relays together at least
// What the terms of service count as chance beside a budget of so many calls: so many of its roots, and
// calls.
inline constexpr double kOverloadToleranceRoots = 2;
inline constexpr double kOverloadToleranceCalls = 2;
inline constexpr double kMinInformedSeconds =
    5;  // seconds: holders of messages are counted as of an outage at least this old
inline constexpr double kMinBaselineRate =
    1.2;  // calls a second of all relays together, assumed where none was served
inline constexpr double kMinInitialPacingRate =
    0.3;  // calls a second: least pace that the first refusal is held against
inline constexpr double kInitialPacingFactor = 1.5;  // and the own rate so many times
inline constexpr double kPricedInitialPacingFactor =
    0.7;  // or, where refused calls are priced, as much below it: a cut is to slow
inline constexpr double kPacingCut = 0.7;          // pace after the first refusal above a limit
inline constexpr double kRepeatedPacingCut = 0.5;  // and after each further one with nothing served between
inline constexpr double kPacingGain = 0.03;        // regained, as a part of the pace, with each served call
inline constexpr double kQuietPacingGain =
    0.7;  // and below the even part of the told limit, after a span without refusal
inline constexpr double kPacingBurstSeconds = 0.4;  // seconds of the pace that may go at once
inline constexpr Time kKeyWindowMargin =
    50 * kMs;  // a call is under way for a while before its host looks at its key
inline constexpr double kShedThreshold = 0.9;  // part of max_open above which the least worth is given back

inline constexpr Time kMinClientRetryAfter = 300 * kMs;  // what a refused client is told to wait
inline constexpr Time kMaxClientRetryAfter = 1500 * kMs;

// Ordering and choice of endpoint.
inline constexpr double kPreferenceWeight =
    1e-3;  // seconds: a relay's own liking for a host decides among equals only
inline constexpr double kSecondsPerPrice = 5;  // seconds of latency that a price of 1 a call is held against

inline double seconds(Time t) { return static_cast<double>(t) / 1e6; }
inline Time micros(double s) { return static_cast<Time>(std::ceil(std::min(s, 1e9) * 1e6)); }

class Random {  // splitmix64: the same numbers everywhere
 public:
  explicit Random(uint64_t seed) : state_(seed) {}
  Time between(Time low, Time high) {
    uint64_t z = (state_ += 0x9e3779b97f4a7c15u);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return low + static_cast<Time>((z ^ (z >> 31)) % static_cast<uint64_t>(high - low + 1));
  }

 private:
  uint64_t state_;
};

// Mean and mean deviation of the time that served calls take, in seconds.
struct Latency {
  double mean = seconds(kInitialLatency);
  double deviation = seconds(kInitialLatency) / 2;
  int samples = 0;

  void add(double took) {
    const double gain = std::max(kSampleWeight, 1.0 / ++samples);
    deviation += gain * (std::abs(took - mean) - deviation);
    mean += gain * (took - mean);
  }
  Time overdue_age() const { return std::max(kMinOverdueAge, micros(mean + kOverdueDeviations * deviation)); }
};

// A rate that forgets: events a second over about the last kRateMemory.
struct DecayingRate {
  double rate = 0;
  Time at = 0;

  double per_second(Time now) const {
    return rate * std::exp(-seconds(now - at) / seconds(kRateTimeConstant));
  }
  void add(Time now) {
    rate = per_second(now) + 1 / seconds(kRateTimeConstant);
    at = now;
  }
};

// Tokens that refill with time; used to pace sends.
struct TokenBucket {
  double tokens = 0;
  Time at = 0;

  void refill(Time now, double rate, double burst) {
    tokens = std::min(burst, tokens + rate * seconds(now - at));
    at = now;
  }
  Time ready_at(Time now, double rate) const {
    return tokens >= 1 ? now : now + std::max<Time>(1, micros((1 - tokens) / std::max(rate, 1e-6)));
  }
};

struct Attempt {
  Endpoint endpoint;
  Time sent = 0;
  uint64_t call_id = 0;
  bool cancelled = false;
  bool is_trial = false;  // sent to find an outage's end
  Time idle_time = 0;     // how long its connection had been idle; 0: fresh or busy
};

struct Message {
  Arrival arrival;
  Time target = 0;  // until then it earns its full worth
  double worth = 0;
  int attempts = 0;
  bool in_flight = false;
  bool is_retry = false;  // the next send pays a token
  bool withdrawn = false;
  bool maybe_executed = false;   // an attempt may have run
  Time maybe_executed_sent = 0;  // when the first such attempt was sent
  int maybe_executed_zone = 0;
  bool maybe_executed_before_restart = false;  // it may have run before a restart
  Time not_before = 0;
};

struct SuspectCall {  // a call that was lost on a connection that had been idle so long
  Time sent = 0;
  Time idle_time = 0;
};

// What the rules tie to a destination: all its endpoints, or one where routes are apart.
using RouteKey = std::pair<int, Endpoint>;  // a destination; and an endpoint where routes are apart

struct Route {
  RouteKey key;
  Time retry_after_until = 0;
  double rate_limit = 0;   // calls a second from all relays together; 0: unknown or none
  double pacing_rate = 0;  // own sends a second at most; 0: never refused
  double restored_pacing_rate =
      0;                 // pace that a served call restores: one cut below that before the refusals in a row
  Time rate_cut_at = 0;  // when the pace was last cut; calls sent before tell nothing new
  TokenBucket pacing_bucket;
  double remaining_share = 1;   // mean share of the limit that is left, as reported or from refusals
  bool pacing_limited = false;  // a message waited for the pace since the last served call
  int unserved_streak = 0;      // calls in a row that were not served
  int failures_in_streak = 0;   // of these, failures rather than refusals
  Time streak_start = 0;        // when the first of them was sent
  std::set<Endpoint>
      streak_endpoints;  // hosts at which these were, and that the list has not taken away since
  double pacing_rate_before_streak = 0;  // the pace before the streak
  Time outage_start = 0;                 // 0: no outage
  bool suspected = false;                // the outage rests on overdue calls alone
  Time recovery_start = 0;               // first served call after the outage; 0: still out
  double baseline_rate = 0;              // own served rate before it
  TrialAssignment::Duty trial_duty = TrialAssignment::Duty::kShared;
  bool outage_is_shared = false;  // all relays know of the outage
  TokenBucket outage_bucket;
  int trials_in_flight = 0;                                  // out now
  Time last_served_sent = std::numeric_limits<Time>::min();  // when the youngest served call was sent
  bool probe_in_flight = false;
  bool probe_ok = false;
  std::vector<SuspectCall> suspect_calls;  // lost on idle connections, with none served on a fresh one since
  DecayingRate served_rate;
};

struct Host {
  Member member;
  Route* route = nullptr;
  bool ready = false;
  bool removed = false;
  bool probe_in_flight = false;
  int calls_in_flight = 0;
  int connections = 0;
  Time last_used = 0;
  Time first_connect_failure = 0;  // the first connection that failed since something was served; 0: none
  int consecutive_failures = 0;
  Time avoid_until = 0;
  Latency latency;
  double preference = 0;  // of this relay, from 0 to 1: what decides among equals
};

// What is alike among destinations of a kind: the prior for one that this relay seldom calls.
struct KindState {
  Latency latency;
  double connect_failure_share = 0;  // share of calls that got no connection; falls slowly
  Time connections_scarce_until =
      std::numeric_limits<Time>::min();  // a host held all the connections that it takes
};

struct Destination {
  int kind = 0;
  int retry_tokens = kRetryBucketCapacity;  // in parts
  int calls_in_flight = 0;
  DestinationState saved_state{0, kRetryBucketCapacity};
  DecayingRate served_rate;
  Latency typical_latency;  // the pace without outliers, against which the slot share narrows
  Latency latency;
};

}  // namespace firspool

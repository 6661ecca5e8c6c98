// Building blocks of the policy: constants, each with its reason, and the state kept for calls, routes,
// destinations and hosts. Included by src/policy.cpp only.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>
#include <vector>

#include "failure_share.h"
#include "firspool/policy.h"

namespace firspool {

// ---- Constants ----

inline constexpr Time kMs = 1000;
inline constexpr Time kSecond = 1000 * kMs;
inline constexpr Time kNever = std::numeric_limits<Time>::max();

// Retry bucket, counted in tenths of a token. A retry costs one token and a served call earns a tenth of one,
// so retries stay under a tenth of the calls when failures are common.
inline constexpr int kRetryCost = 10;
// The bucket is full at the start, so that short disturbances are covered by this many retries.
inline constexpr int kRetryBucketCapacity = 10 * kRetryCost;
// Random pause before a retry: long enough for the cause of the failure to have passed.
inline constexpr Time kMinRetryBackoff = 20 * kMs;
inline constexpr Time kMaxRetryBackoff = 250 * kMs;

// A destination's share of the slots while messages to other destinations wait, and the minimum to which slow
// calls reduce that share.
inline constexpr double kSlotShare = 0.5;
inline constexpr double kMinSlotShare = 0.15;

// ---- Health ----

// Weight of a new sample in the moving averages of latencies and failure shares.
inline constexpr double kSampleWeight = 0.15;
// The idle age up to which connections are reused doubles within this time.
inline constexpr Time kIdleAgeDoubling = 30 * kSecond;
// When a call is lost on an idle connection, that age is cut to the connection's idle time divided by this.
inline constexpr int kIdleAgeDivisor = 3;
// Number of lost calls on idle connections that are kept per route.
inline constexpr size_t kMaxSuspectCalls = 4;
// A host that failed to accept a connection but served a call sent within this time after it is not down: its
// connection table was full.
inline constexpr Time kTableFullSpan = kSecond;
// If more than this share of calls gets no connection, idle connections fill the hosts' connection tables.
inline constexpr double kTableFullShare = 0.05;
// Idle connections are being dropped if calls on them fail by this much more often than on fresh ones.
inline constexpr double kIdleLossMargin = 0.2;
// A call is late once it is older than the mean latency plus this many mean deviations.
inline constexpr double kLateDeviations = 2;
// Latency assumed before any call was measured.
inline constexpr Time kInitialLatency = 400 * kMs;
// A call is overdue once it is older than the mean latency plus this many mean deviations, and at least
// kMinOverdueAge.
inline constexpr double kOverdueDeviations = 6;
inline constexpr Time kMinOverdueAge = 700 * kMs;
// Timeout of a repeatable message, as a multiple of the overdue age.
inline constexpr double kTimeoutFactor = 2;
// Timeout of an unsafe message, as a multiple of that of a repeatable one: after a timeout it cannot be
// retried.
inline constexpr double kUnsafeTimeoutFactor = 2;
// This many overdue calls, with nothing served since they were sent, count as a hang.
inline constexpr int kMinOverdueCalls = 2;
// If a smaller share of the overdue calls than this is served in the end, they are cancelled when slots run
// out.
inline constexpr double kMinLateSuccessShare = 0.35;
// Time constant of this relay's rates of served calls.
inline constexpr Time kRateTimeConstant = 10 * kSecond;
// This many failures in a row, over at least kMinOutageSpan, count as an outage.
inline constexpr int kOutageStreak = 3;
// The same for a relay that calls the destination so rarely that kOutageStreak calls take longer than a short
// outage. One of the calls has to have failed rather than been refused.
inline constexpr int kRareCallerOutageStreak = 2;
inline constexpr Time kMinOutageSpan = 800 * kMs;
// Refusals alone count as an outage only over a longer time: refusals at a rate limit last less.
inline constexpr int kRefusalStreak = 3;
inline constexpr Time kMinRefusalSpan = 2500 * kMs;
// The first failed call after served ones is logged this often at most.
inline constexpr Time kFailureLogInterval = kSecond;
// A failing host is avoided for this time, doubled with each further failure up to the maximum.
inline constexpr Time kMinAvoidTime = kSecond;
inline constexpr Time kMaxAvoidTime = 8 * kSecond;

// ---- Rate guards ----

// Part of the load allowed during slow start that is used: call counts and clocks differ between relays.
inline constexpr double kSlowStartMargin = 0.7;
// Maximum rate of trial calls of all relays together, as a part of the rate before the outage.
inline constexpr double kTrialShare = 0.9;
// Minimum rate of trial calls of all relays together, in calls a second.
inline constexpr double kMinTrialRate = 1.5;
// Factor by which the traffic of relays that do not know of an outage may have grown during it.
inline constexpr double kUninformedGrowth = 2;
// Seconds. Minimum age of an outage for estimating the share of relays that hold messages for the
// destination.
inline constexpr double kMinInformedSeconds = 5;
// Calls a second of all relays together, assumed where none was served yet.
inline constexpr double kMinBaselineRate = 1.2;
// Rate that the first reduction starts from: at least this many calls a second, and at least this multiple of
// this relay's own rate.
inline constexpr double kMinInitialPacingRate = 0.3;
inline constexpr double kInitialPacingFactor = 1.5;
// Where refused calls are priced, the first reduction starts from this multiple of the own rate, so that it
// slows the relay down.
inline constexpr double kPricedInitialPacingFactor = 0.7;
// Factor on the pacing rate after the first refusal above a limit, and after each further refusal with
// nothing served in between.
inline constexpr double kPacingCut = 0.7;
inline constexpr double kRepeatedPacingCut = 0.5;
// Growth of the pacing rate with each served call, as a part of it.
inline constexpr double kPacingGain = 0.03;
// The same below this relay's even share of the listed limit, once kMinRefusalSpan passed without a refusal.
inline constexpr double kQuietPacingGain = 0.7;
// Burst allowed by pacing, in seconds of the pacing rate.
inline constexpr double kPacingBurstSeconds = 0.4;
// A keyed call starts this long before its key window ends: it is in transit for a while before the host
// checks the key.
inline constexpr Time kKeyWindowMargin = 50 * kMs;
// Above this part of max_open the messages with the least worth are refused.
inline constexpr double kShedThreshold = 0.9;

// Bounds of the retry time given to a client whose message is refused.
inline constexpr Time kMinClientRetryAfter = 300 * kMs;
inline constexpr Time kMaxClientRetryAfter = 1500 * kMs;

// ---- Choice of host ----

// Seconds of latency. Weight of a relay's random preference for a host: decides only among hosts that are
// otherwise equal.
inline constexpr double kPreferenceWeight = 1e-3;
// Seconds of latency that a price of 1 per call is equivalent to.
inline constexpr double kSecondsPerPrice = 5;

inline double seconds(Time t) { return static_cast<double>(t) / 1e6; }
inline Time micros(double s) { return static_cast<Time>(std::ceil(std::min(s, 1e9) * 1e6)); }

// splitmix64: the same sequence on every platform.
class Random {
 public:
  explicit Random(uint64_t seed) : state_(seed) {}
  // Uniform over [low, high].
  Time between(Time low, Time high) {
    uint64_t z = (state_ += 0x9e3779b97f4a7c15u);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return low + static_cast<Time>((z ^ (z >> 31)) % static_cast<uint64_t>(high - low + 1));
  }

 private:
  uint64_t state_;
};

// Moving mean and mean deviation of the durations of served calls, in seconds.
struct Latency {
  double mean = seconds(kInitialLatency);
  double deviation = seconds(kInitialLatency) / 2;
  int samples = 0;

  void add(double took) {
    const double gain = std::max(kSampleWeight, 1.0 / ++samples);
    deviation += gain * (std::abs(took - mean) - deviation);
    mean += gain * (took - mean);
  }
  // Age from which a call counts as late.
  Time late_age() const { return micros(mean + kLateDeviations * deviation); }
  // Age from which a call counts as overdue.
  Time overdue_age() const { return std::max(kMinOverdueAge, micros(mean + kOverdueDeviations * deviation)); }
};

// Exponentially decaying event rate with time constant kRateTimeConstant.
struct DecayingRate {
  double rate = 0;
  Time at = 0;  // time of the last event

  double per_second(Time now) const {
    return rate * std::exp(-seconds(now - at) / seconds(kRateTimeConstant));
  }
  void add(Time now) {
    rate = per_second(now) + 1 / seconds(kRateTimeConstant);
    at = now;
  }
};

// Token bucket. Its rate and burst are passed with each call, because they change with time.
struct TokenBucket {
  double tokens = 0;
  Time at = 0;  // time of the last refill

  void refill(Time now, double rate, double burst) {
    tokens = std::min(burst, tokens + rate * seconds(now - at));
    at = now;
  }
  // When one token will be available.
  Time ready_at(Time now, double rate) const {
    return tokens >= 1 ? now : now + std::max<Time>(1, micros((1 - tokens) / std::max(rate, 1e-6)));
  }
};

struct Attempt {
  Endpoint endpoint;
  Time sent = 0;
  uint64_t call_id = 0;
  bool cancelled = false;
  bool is_trial = false;  // sent during an outage to find out whether it is over
  bool on_probation = false;
  Time idle_time = 0;  // how long its connection had been idle; 0: a new connection or one in use
};

struct Message {
  Arrival arrival;
  Time target = 0;  // point in time until which delivery earns the full worth
  double worth = 0;
  int attempts = 0;
  bool in_flight = false;
  bool is_retry = false;  // the next send costs a retry token
  bool withdrawn = false;
  bool maybe_executed = false;   // an attempt may have been executed
  Time maybe_executed_sent = 0;  // when the first such attempt was sent
  int maybe_executed_zone = 0;
  bool maybe_executed_before_restart = false;
  Time not_before = 0;
};

// A call that was lost on a connection that had been idle.
struct SuspectCall {
  Time sent = 0;
  Time idle_time = 0;
};

// A route is the unit to which rate limits and outages apply: a destination, or one endpoint of a destination
// whose kind has independent endpoints. The key holds the destination, and the endpoint in the second case.
using RouteKey = std::pair<int, Endpoint>;

struct Route {
  RouteKey key;
  Time retry_after_until = 0;       // no call before this time: a host asked for a wait
  double rate_limit = 0;            // calls a second from all relays together; 0: unknown or none
  double pacing_rate = 0;           // upper bound on this relay's sends a second; 0: never refused
  double restored_pacing_rate = 0;  // rate that a served call restores: after the first refusal of a streak
  // When the pacing rate was last reduced. Refusals of calls sent earlier add no information.
  Time rate_cut_at = 0;
  TokenBucket pacing_bucket;
  double remaining_share = 1;   // mean share of the limit that is unused, from load reports and refusals
  bool pacing_limited = false;  // a message waited for the pacing bucket since the last served call
  int unserved_streak = 0;      // calls in a row that were not served
  int failures_in_streak = 0;   // of these, failures rather than refusals
  Time streak_start = 0;        // when the first of them was sent
  Time next_failure_log = std::numeric_limits<Time>::min();
  std::set<Endpoint> streak_endpoints;  // hosts of these calls that the list still has as ready
  double pacing_rate_before_streak = 0;
  Time outage_start = 0;            // 0: no outage
  bool suspected = false;           // the outage is inferred from overdue calls alone
  Time estimated_outage_start = 0;  // also of an outage that the streak of unserved calls may be a sign of
  Time recovery_start = 0;          // first served call after the outage; 0: still out
  double baseline_rate = 0;         // this relay's rate of served calls before the outage
  TrialAssignment::Duty trial_duty = TrialAssignment::Duty::kShared;
  bool outage_is_shared = false;  // all relays know of the outage
  // The time in which an immediate retry may disprove an outage is over: calls on probation wait for a token.
  bool probation_enforced = false;
  TokenBucket outage_bucket;  // paces trial calls, calls on probation, and all calls during slow start
  int trials_in_flight = 0;
  Time last_served_sent = std::numeric_limits<Time>::min();  // send time of the youngest served call
  FailureShare failure_share;
  bool wait_logged = false;  // that messages wait for a late call; since the last call ended
  bool probe_in_flight = false;
  bool probe_ok = false;
  // Calls lost on idle connections, with none served on a new connection since.
  std::vector<SuspectCall> suspect_calls;
  DecayingRate served_rate;
  DestinationState saved_state;  // only of an independent endpoint
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
  Time first_connect_failure = 0;  // first failed connection since a call was served; 0: none
  int consecutive_failures = 0;
  Time avoid_until = 0;
  Latency latency;
  double preference = 0;  // of this relay, random in [0, 1]; decides among otherwise equal hosts
};

// State common to the destinations of a kind: the prior for a destination that this relay rarely calls.
struct KindState {
  Latency latency;
  double connect_failure_share = 0;  // share of calls that got no connection; decays slowly
  // Until then no idle connections are kept: a host had reached its connection limit.
  Time connections_scarce_until = std::numeric_limits<Time>::min();
};

struct Destination {
  int kind = 0;
  int retry_tokens = kRetryBucketCapacity;  // in tenths of a token
  int calls_in_flight = 0;
  DestinationState saved_state{0, kRetryBucketCapacity};
  DecayingRate served_rate;
  Latency typical_latency;  // without outliers; the reference for reducing the slot share
  Latency latency;
};

}  // namespace firspool

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
inline constexpr int kToken = 10;  // in parts; a served call earns one
inline constexpr int kBucketCap =
    10 * kToken;  // full at the start: short troubles are ridden out by N retries
inline constexpr Time kPauseLeast =
    20 * kMs;  // a repeat's random pause: long enough to leave the moment of failure
inline constexpr Time kPauseMost = 250 * kMs;

// Slot share: one destination's part of the slots while others wait, and how far long calls narrow it.
inline constexpr double kSlotShare = 0.5;
inline constexpr double kSlotShareLeast = 0.15;

// Health.
inline constexpr double kGain = 0.15;  // weight of a new latency or failure sample
inline constexpr Time kKeepRegain =
    30 * kSecond;                           // the age at which an idle connection is trusted doubles so fast
inline constexpr int kKeepCut = 3;          // that age, in parts of the age at which a call on one was lost
inline constexpr size_t kDoubts = 4;        // lost calls that a destination is remembered for
inline constexpr Time kFullSpan = kSecond;  // no connection, and served again within this: not down
inline constexpr double kFullTable = 0.05;  // more calls without a connection: idle ones fill the tables
inline constexpr double kStaleAbove =
    0.2;  // calls on idle connections fail by so much more than on fresh ones
inline constexpr Time kFirstLatency = 400 * kMs;  // assumed before anything was measured
inline constexpr double kSlowDevs = 6;  // a call older than mean + this many deviations is suspiciously slow
inline constexpr Time kSlowLeast = 700 * kMs;  // and at least this old
inline constexpr double kTimeoutTimes =
    2;  // time-out of a repeatable message, in multiples of the suspicious age
inline constexpr double kUnsafeTimes =
    2;                              // and of an unsafe one, for which a time-out ends all hope, of that
inline constexpr int kOverdue = 2;  // so many overdue calls, with nothing served since, make a hang
inline constexpr double kHopeLeast =
    0.35;  // a smaller share than this is not waited for when slots are short
inline constexpr Time kRateMemory = 10 * kSecond;  // memory of the own served rate
inline constexpr int kDeadStreak = 3;  // so many failures in a row, over at least kDeadSpan, prove an outage
// And so many, one of them a failure, where the even share makes three take longer than a short outage.
inline constexpr int kRareStreak = 2;
inline constexpr int kAgainStreak = 2;  // and so many, after a return, that it was none
inline constexpr Time kDeadSpan = 800 * kMs;
inline constexpr int kShutStreak = 3;
inline constexpr Time kShutSpan =
    2500 * kMs;                               // refusals alone must last longer: spans of a limit are shorter
inline constexpr Time kAvoidLeast = kSecond;  // a failing endpoint is passed over for so long, doubled up to
inline constexpr Time kAvoidMost = 8 * kSecond;

// Guards.
inline constexpr double kColdMargin =
    0.7;  // part of the fail-back budget that is used: counts and clocks differ
inline constexpr double kScoutPart =
    0.5;  // scouts of all relays together, in parts of the rate before the outage
inline constexpr double kScoutLeast = 1.5;  // scouts a second of all relays together at least
// What the terms of service count as chance beside a budget of so many calls: so many of its roots, and
// calls.
inline constexpr double kChanceRoots = 2;
inline constexpr double kChanceCalls = 2;
inline constexpr double kHolders =
    5;  // seconds: holders of messages are counted as of an outage at least this old
inline constexpr double kBaseLeast =
    1.2;  // calls a second of all relays together, assumed where none was served
inline constexpr double kFirstPace =
    0.3;  // calls a second: least pace that the first refusal is held against
inline constexpr double kFirstRise = 1.5;  // and the own rate so many times
inline constexpr double kFirstPriced =
    0.7;  // or, where refused calls are priced, as much below it: a cut is to slow
inline constexpr double kLimitCut = 0.7;    // pace after the first refusal above a limit
inline constexpr double kAgainCut = 0.5;    // and after each further one with nothing served between
inline constexpr double kLimitGain = 0.03;  // regained, as a part of the pace, with each served call
inline constexpr double kQuietGain =
    0.7;  // and below the even part of the told limit, after a span without refusal
inline constexpr double kLimitBurst = 0.4;  // seconds of the pace that may go at once
inline constexpr Time kWindowMargin =
    50 * kMs;                              // a call is under way for a while before its host looks at its key
inline constexpr double kShedAbove = 0.9;  // part of max_open above which the least worth is given back

inline constexpr Time kRetryLeast = 300 * kMs;  // what a refused client is told to wait
inline constexpr Time kRetryMost = 1500 * kMs;

// Ordering and choice of endpoint.
inline constexpr double kTaste = 1e-3;  // seconds: a relay's own liking for a host decides among equals only
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
  double mean = seconds(kFirstLatency);
  double dev = seconds(kFirstLatency) / 2;
  int seen = 0;

  void add(double took) {
    const double gain = std::max(kGain, 1.0 / ++seen);
    dev += gain * (std::abs(took - mean) - dev);
    mean += gain * (took - mean);
  }
  Time suspicious() const { return std::max(kSlowLeast, micros(mean + kSlowDevs * dev)); }
};

// A rate that forgets: events a second over about the last kRateMemory.
struct Rate {
  double rate = 0;
  Time at = 0;

  double per_second(Time now) const { return rate * std::exp(-seconds(now - at) / seconds(kRateMemory)); }
  void add(Time now) {
    rate = per_second(now) + 1 / seconds(kRateMemory);
    at = now;
  }
};

// Tokens that refill with time; used to pace sends.
struct Pacer {
  double tokens = 0;
  Time at = 0;

  void refill(Time now, double rate, double burst) {
    tokens = std::min(burst, tokens + rate * seconds(now - at));
    at = now;
  }
  Time ready(Time now, double rate) const {
    return tokens >= 1 ? now : now + std::max<Time>(1, micros((1 - tokens) / std::max(rate, 1e-6)));
  }
};

struct Attempt {
  Endpoint endpoint;
  Time sent = 0;
  uint64_t call = 0;
  bool cancelled = false;
  bool scout = false;  // sent to find an outage's end
  Time idle = 0;       // how long its connection had been idle; 0: fresh or busy
};

struct Message {
  Arrival in;
  Time target = 0;  // until then it earns its full worth
  double worth = 0;
  int attempts = 0;
  bool out = false;
  bool repeat = false;  // the next send pays a token
  bool withdrawn = false;
  bool ran = false;   // an attempt may have run
  Time ran_sent = 0;  // when the first such attempt was sent
  int ran_zone = 0;
  bool resumed_ran = false;  // it may have run before a restart
  Time not_before = 0;
};

struct Doubt {  // a call that was lost on a connection that had been idle so long
  Time sent = 0;
  Time idle = 0;
};

// What the rules tie to a destination: all its endpoints, or one where routes are apart.
using LaneKey = std::pair<int, Endpoint>;  // a destination; and an endpoint where routes are apart

struct Lane {
  LaneKey key;
  Time wait_until = 0;
  double limit = 0;  // calls a second from all relays together; 0: unknown or none
  double pace = 0;   // own sends a second at most; 0: never refused
  double paced = 0;  // pace that a served call restores: one cut below that before the refusals in a row
  Time cut_at = 0;   // when the pace was last cut; calls sent before tell nothing new
  Pacer pacer;
  double room = 1;          // mean share of the limit that is left, as reported or from refusals
  bool bound = false;       // a message waited for the pace since the last served call
  int streak = 0;           // calls in a row that were not served
  int hard = 0;             // of these, failures rather than refusals
  Time streak_since = 0;    // when the first of them was sent
  std::set<Endpoint> seen;  // hosts at which these were, and that the list has not taken away since
  double unhindered = 0;    // the pace before the streak
  Time out_since = 0;       // 0: no outage
  bool suspected = false;   // the outage rests on overdue calls alone
  Time back_since = 0;      // first served call after the outage; 0: still out
  double base = 0;          // own served rate before it
  TrialAssignment::Duty scouts_by = TrialAssignment::Duty::kShared;
  bool shared = false;  // all relays know of the outage
  Pacer cold;
  int scouts = 0;                                            // out now
  Time last_served_sent = std::numeric_limits<Time>::min();  // when the youngest served call was sent
  bool probe_out = false;
  bool probe_ok = false;
  std::vector<Doubt> doubted;  // lost on idle connections, with none served on a fresh one since
  Rate served;
};

struct Host {
  Member member;
  Lane* lane = nullptr;
  bool ready = false;
  bool gone = false;
  bool probe_out = false;
  int calls = 0;
  int conns = 0;
  Time last_used = 0;
  Time unconnected_at = 0;  // the first connection that failed since something was served; 0: none
  int fails = 0;
  Time avoid_until = 0;
  Latency latency;
  double taste = 0;  // of this relay, from 0 to 1: what decides among equals
};

// What is alike among destinations of a kind: the prior for one that this relay seldom calls.
struct Kind {
  Latency latency;
  double unconnected = 0;  // share of calls that got no connection; falls slowly
  Time scarce_until = std::numeric_limits<Time>::min();  // a host held all the connections that it takes
};

struct Destination {
  int kind = 0;
  int tokens = kBucketCap;  // in parts
  int calls = 0;
  DestinationState remembered{0, kBucketCap};
  Rate served;
  Latency usual;  // the pace without outliers, against which the slot share narrows
  Latency latency;
};

}  // namespace firspool

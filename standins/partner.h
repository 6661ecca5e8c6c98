// A partner system as a model without I/O: how many calls it serves at once, its limit, how it comes back
// cold after an outage, what it remembers of idempotency keys. The sockets in front of it are endpoints'.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

#include "standins/witness.h"

namespace umberhoist::standins {

struct PartnerSettings {
  int destination = 0;
  Time service = 50 * kMillisecond;  // mean time of a call when warm
  double cv = 0.5;
  int places = 4;            // calls served at once
  Time queue = kSecond / 2;  // a call that would wait longer for a place is turned away
  enum class Limit { kNone, kRate, kWindow } limit = Limit::kNone;
  double limit_rate = 0;               // calls a second
  Time span = kSecond;                 // of a windowed limit
  double tells_wait = 0.5;             // share of the refusals above the limit or while shut
  Time wait_low = 200 * kMillisecond;  // told by a plain rate
  Time wait_high = 700 * kMillisecond;
  double error_rate = 0;
  Time key_window = 15 * kSecond;
  Time cold = 12 * kSecond;  // from an outage's end until it is warm
  double start_capacity = 0.21;
  double fall_multiple = 2;
  Time fall_window = 3 * kSecond;
};

enum class Trouble { kNone, kSilent, kHang, kShut, kRefuse, kFail, kSlow, kReset, kSpoil };

struct Verdict {
  enum class What { kAnswer, kNothing, kReset, kSpoilt } what = What::kAnswer;
  int status = 200;
  Time at = 0;    // when it is answered or broken off
  Time wait = 0;  // told with 429
  bool runs = false;
  Time runs_at = 0;
};

class Partner {
 public:
  using Chance = std::function<double()>;  // evenly over [0, 1)

  Partner(PartnerSettings settings, Chance chance);

  // A call whose last byte has come.
  Verdict call(Time now);
  // It runs: false where its key was remembered when it came, so that the repeat is dropped.
  bool run(Time came, uint64_t key);
  bool probe(Time now);  // true: it says that it is well

  void begin(Trouble trouble, Time now, Time until, double amount, bool tells_wait);
  void end(Time now);
  Trouble trouble() const { return trouble_; }
  bool fallen() const { return fallen_; }
  double capacity() const;        // calls a second when warm
  double warmth(Time now) const;  // share of it that it has now
  const PartnerSettings& settings() const { return settings_; }

 private:
  bool weigh(Time now);  // false: it fell over
  bool take_limit(Time now, Time& free_at);
  Verdict turn_away(Time now, Time wait);
  double lognormal(double cv);

  PartnerSettings settings_;
  Chance chance_;
  Trouble trouble_ = Trouble::kNone;
  Time until_ = 0;
  double amount_ = 0;
  bool tells_wait_ = false;
  bool fallen_ = false;
  Time back_since_ = 0;  // 0: no outage yet
  std::deque<Time> load_;
  double tokens_ = 0;
  Time filled_ = 0;
  int64_t span_ = -1;
  int taken_ = 0;
  std::priority_queue<Time, std::vector<Time>, std::greater<>> free_at_;
  std::unordered_map<uint64_t, Time> keys_;
  std::deque<std::pair<Time, uint64_t>> key_order_;
};

}  // namespace umberhoist::standins

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
  Time mean_service_time = 50 * kMillisecond;  // mean time of a call when warm
  double cv = 0.5;
  int concurrency = 4;                // calls served at once
  Time max_queue_wait = kSecond / 2;  // a call that would wait longer for a place is turned away
  enum class Limit { kNone, kRate, kWindow } limit = Limit::kNone;
  double limit_rate = 0;                      // calls a second
  Time limit_window = kSecond;                // of a windowed limit
  double retry_after_share = 0.5;             // share of the refusals above the limit or while shut
  Time min_retry_after = 200 * kMillisecond;  // told by a plain rate
  Time max_retry_after = 700 * kMillisecond;
  double error_rate = 0;
  Time key_window = 15 * kSecond;
  Time slow_start = 12 * kSecond;  // from an outage's end until it is warm
  double start_capacity = 0.21;
  double overload_factor = 2;
  Time overload_window = 3 * kSecond;
};

enum class Fault {
  kNone,
  kSilent,
  kHang,
  kUnavailable,
  kConnectionRefused,
  kServerError,
  kSlow,
  kReset,
  kMalformed
};

struct PartnerResponse {
  enum class Kind { kResponse, kNone, kReset, kMalformed } kind = Kind::kResponse;
  int status = 200;
  Time at = 0;           // when it is answered or broken off
  Time retry_after = 0;  // told with 429
  bool executes = false;
  Time executes_at = 0;
};

class Partner {
 public:
  using Chance = std::function<double()>;  // evenly over [0, 1)

  Partner(PartnerSettings settings, Chance chance);

  // A call whose last byte has come.
  PartnerResponse handle_call(Time now);
  // It runs: false where its key was remembered when it came, so that the repeat is dropped.
  bool execute(Time came, uint64_t key);
  bool probe(Time now);  // true: it says that it is well

  void begin_fault(Fault trouble, Time now, Time until, double amount, bool tells_wait);
  void end_fault(Time now);
  Fault fault() const { return trouble_; }
  bool overloaded() const { return fallen_; }
  double capacity() const;                // calls a second when warm
  double capacity_share(Time now) const;  // share of it that it has now
  const PartnerSettings& settings() const { return settings_; }

 private:
  bool weigh(Time now);  // false: it fell over
  bool take_limit(Time now, Time& free_at);
  PartnerResponse turn_away(Time now, Time wait);
  double lognormal(double cv);

  PartnerSettings settings_;
  Chance chance_;
  Fault trouble_ = Fault::kNone;
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

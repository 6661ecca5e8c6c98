// Model of a partner system without I/O: its concurrency, rate limit, slow start after an outage, and memory
// of idempotency keys. The sockets in front of it belong to Endpoints.
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
  Time mean_service_time = 50 * kMillisecond;  // mean duration of a call when warm
  double cv = 0.5;
  int concurrency = 4;                // calls served concurrently
  Time max_queue_wait = kSecond / 2;  // a call that would wait longer for a free place is refused
  enum class Limit { kNone, kRate, kWindow } limit = Limit::kNone;
  double limit_rate = 0;        // calls per second
  Time limit_window = kSecond;  // length of a window of a windowed limit
  // Fraction of the refusals above the limit or while unavailable that have a Retry-After.
  double retry_after_share = 0.5;
  Time min_retry_after = 200 * kMillisecond;  // lowest Retry-After of a plain rate limit
  Time max_retry_after = 700 * kMillisecond;
  double error_rate = 0;
  Time key_window = 15 * kSecond;
  Time slow_start = 12 * kSecond;  // duration of the slow start after an outage
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
  Time at = 0;           // when the response is sent or the connection is reset
  Time retry_after = 0;  // the Retry-After of a 429
  bool executes = false;
  Time executes_at = 0;
};

class Partner {
 public:
  using Chance = std::function<double()>;  // uniformly distributed over [0, 1)

  Partner(PartnerSettings settings, Chance random);

  // Decides the outcome of a call whose last byte arrived at `now`.
  PartnerResponse handle_call(Time now);
  // Executes a call whose last byte came at `arrived`. Returns false if its key was already known then, so
  // that it has no effect.
  bool execute(Time arrived, uint64_t key);
  bool probe(Time now);  // true: the partner reports itself healthy

  void begin_fault(Fault fault, Time now, Time fault_end, double fault_amount, bool sends_retry_after);
  void end_fault(Time now);
  Fault fault() const { return fault_; }
  bool overloaded() const { return overloaded_; }
  double capacity() const;                // calls per second when warm
  double capacity_share(Time now) const;  // current fraction of capacity()
  const PartnerSettings& settings() const { return settings_; }

 private:
  // Counts a call or probe during the slow start. Returns false if the partner is overloaded and down.
  bool count_load(Time now);
  bool take_from_limit(Time now, Time& free_at);
  PartnerResponse refuse(Time now, Time retry_after);
  double lognormal(double cv);

  PartnerSettings settings_;
  Chance random_;
  Fault fault_ = Fault::kNone;
  Time fault_end_ = 0;
  double fault_amount_ = 0;
  bool sends_retry_after_ = false;
  bool overloaded_ = false;
  Time recovery_start_ = 0;  // 0: there was no outage yet
  std::deque<Time> recent_load_;
  double tokens_ = 0;
  Time tokens_updated_ = 0;
  int64_t window_index_ = -1;
  int accepted_in_window_ = 0;
  std::priority_queue<Time, std::vector<Time>, std::greater<>> worker_free_at_;
  std::unordered_map<uint64_t, Time> key_arrivals_;
  std::deque<std::pair<Time, uint64_t>> key_order_;
};

}  // namespace umberhoist::standins

// Estimates when there will be capacity for a message that was refused for lack of it. No I/O and no clock.
#pragma once

#include <cstddef>
#include <cstdint>

namespace umberhoist::admission {

using Time = int64_t;  // microseconds

// Capacity is released as messages end. The estimate uses the recent release rate; where hardly any message
// ends, the time at which the first open message is given up.
class CapacityForecast {
 public:
  CapacityForecast(Time min_wait, Time max_wait) : min_wait_(min_wait), max_wait_(max_wait) {}

  void record_release(Time now, size_t bytes);

  // Estimated time until `bytes` and one message slot are free, between min_wait and max_wait. `first_end`:
  // when the first of the open messages is given up.
  Time time_until_available(Time now, size_t bytes, Time first_end) const;

 private:
  double decayed(double rate, Time now) const;

  Time min_wait_, max_wait_;
  Time updated_at_ = 0;
  double bytes_per_second_ = 0;  // exponentially decaying average over about the last kDecayTimeUs
  double messages_per_second_ = 0;
};

}  // namespace umberhoist::admission

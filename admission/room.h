// When there is likely to be room again for what had to be turned away. No I/O, no clock of its own.
#pragma once

#include <cstddef>
#include <cstdint>

namespace umberhoist::admission {

using Time = int64_t;  // microseconds

// Room comes back as messages end. How soon is told by how much ended lately; where hardly anything does, by
// when the first of those held must end at the latest.
class CapacityForecast {
 public:
  CapacityForecast(Time min_wait, Time max_wait) : min_wait_(min_wait), max_wait_(max_wait) {}

  void record_release(Time now, size_t bytes);

  // How long until so many bytes and one place are likely to be free; between the bounds. `first_end`: when
  // the first of the messages held is given up.
  Time time_until_available(Time now, size_t bytes, Time first_end) const;

 private:
  double decayed(double rate, Time now) const;

  Time min_wait_, max_wait_;
  Time updated_at_ = 0;
  double bytes_per_second_ = 0;     // a second, over about the last kMemory
  double messages_per_second_ = 0;  // and messages
};

}  // namespace umberhoist::admission

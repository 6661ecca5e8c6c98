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
  CapacityForecast(Time least, Time most) : least_(least), most_(most) {}

  void record_release(Time now, size_t bytes);

  // How long until so many bytes and one place are likely to be free; between the bounds. `first_end`: when
  // the first of the messages held is given up.
  Time time_until_available(Time now, size_t bytes, Time first_end) const;

 private:
  double faded(double rate, Time now) const;

  Time least_, most_;
  Time at_ = 0;
  double bytes_ = 0;   // a second, over about the last kMemory
  double places_ = 0;  // and messages
};

}  // namespace umberhoist::admission

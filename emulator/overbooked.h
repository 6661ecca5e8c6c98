// A directory service that takes so many asks a second from a whole fleet. What it has begun it finishes,
// also for an asker that has stopped waiting; where an answer would take too long it turns the ask away at
// once.
#pragma once

#include <algorithm>
#include <cstdint>

namespace umberhoist::emulator {

class OverloadedDirectory {
 public:
  using Time = int64_t;  // microseconds

  struct Reply {
    Time at = 0;  // when the asker knows
    bool served = false;
  };

  // `overbook`: an ask is taken on while its answer would come within so many time-outs.
  OverloadedDirectory(double asks_per_s, Time timeout, double overbook)
      : service_time_(static_cast<Time>(1e6 / asks_per_s)),
        timeout_(timeout),
        max_delay_(static_cast<Time>(overbook * static_cast<double>(timeout))) {}

  Reply request(Time now) {
    const Time done = std::max(busy_until_, now) + service_time_;
    if (done - now > max_delay_) return {now, false};
    busy_until_ = done;
    if (done - now > timeout_) return {now + timeout_, false};  // worked on for nobody
    return {done, true};
  }

 private:
  Time service_time_, timeout_, max_delay_;
  Time busy_until_ = 0;
};

}  // namespace umberhoist::emulator

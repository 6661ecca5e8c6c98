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
      : work_(static_cast<Time>(1e6 / asks_per_s)),
        timeout_(timeout),
        most_(static_cast<Time>(overbook * static_cast<double>(timeout))) {}

  Reply request(Time now) {
    const Time done = std::max(free_at_, now) + work_;
    if (done - now > most_) return {now, false};
    free_at_ = done;
    if (done - now > timeout_) return {now + timeout_, false};  // worked on for nobody
    return {done, true};
  }

 private:
  Time work_, timeout_, most_;
  Time free_at_ = 0;
};

}  // namespace umberhoist::emulator

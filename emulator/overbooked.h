// Model of a directory service that serves a limited number of requests a second from a whole fleet. A
// request that was accepted is processed to the end, even if the client has stopped waiting; a request that
// would take too long is refused at once.
#pragma once

#include <algorithm>
#include <cstdint>

namespace umberhoist::emulator {

class OverloadedDirectory {
 public:
  using Time = int64_t;  // microseconds

  struct Reply {
    Time at = 0;  // when the client gets the result
    bool served = false;
  };

  // `overbook`: a request is accepted while its reply would take at most this many timeouts.
  OverloadedDirectory(double asks_per_s, Time timeout, double overbook)
      : service_time_(static_cast<Time>(1e6 / asks_per_s)),
        timeout_(timeout),
        max_delay_(static_cast<Time>(overbook * static_cast<double>(timeout))) {}

  Reply request(Time now) {
    const Time done = std::max(busy_until_, now) + service_time_;
    if (done - now > max_delay_) return {now, false};
    busy_until_ = done;
    if (done - now > timeout_) return {now + timeout_, false};  // processed although the client gave up
    return {done, true};
  }

 private:
  Time service_time_, timeout_, max_delay_;
  Time busy_until_ = 0;
};

}  // namespace umberhoist::emulator

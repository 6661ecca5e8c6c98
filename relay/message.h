// A message as a client submits it, and the notice that may end it.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "firspool/policy.h"

namespace firspool::relay {

struct Submission {
  std::string id;
  std::string message_class;
  std::string key;     // idempotency key; empty if none
  std::string tenant;  // empty if none
  int destination = 0;
  Time lifetime = 0;  // remaining when its last byte arrived
  std::string body;
};

struct Notice {
  std::string id;
  bool returned = false;  // false: failed
  Time retry_after = 0;   // if returned: when to submit it again; 0: unknown
};

// Monotonic clock, in microseconds, for the module and time-outs.
inline Time steady_now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// Wall clock, in microseconds since the epoch, for stored times.
inline Time wall_now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace firspool::relay

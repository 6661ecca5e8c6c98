// A message as a client hands it in, and the notice that may end it.
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
  std::string tenant;  // empty: none named
  int destination = 0;
  Time lifetime = 0;  // how long it may still be delivered, when its last byte came
  std::string body;
};

struct Notice {
  std::string id;
  bool returned = false;  // else failed
  Time retry_after = 0;   // with returned: when to come again; 0: not told
};

// For the module and time-outs.
inline Time steady_now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// For what outlasts the process.
inline Time wall_now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace firspool::relay

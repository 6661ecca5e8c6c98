// What one seed makes of a scenario: the partners with their sizes and paces, every arrival, and the script
// with its targets. Drawn ahead and without I/O, so that a seed gives the same run each time; `digest` tells.
#pragma once

#include <string>
#include <vector>

#include "rehearsal/scenario.h"

namespace umberhoist::rehearsal {

struct PartnerPlan {
  int number = 0;  // its destination
  std::string name;
  int kind = 0;
  double traffic = 0;  // share of all messages
  int endpoints = 1;
  Time mean_service_time = 0;  // mean time of a call
  double cv = 0;
  int concurrency = 1;  // calls served at once, over all endpoints
  double capacity = 0;  // calls a second
  Limit limit = Limit::kNone;
  double limit_rate = 0;       // calls a second, where there is a limit
  Time limit_window = 0;       // of a windowed limit
  double advertised_rate = 0;  // what the list says of it
  Time max_queue_wait = 0;     // a call may wait so long for a place
  uint64_t seed = 0;
};

struct ArrivalPlan {
  Time at = 0;  // from the start of the run
  uint32_t message = 0;
  uint16_t message_class = 0;
  uint16_t partner = 0;
  uint16_t tenant = 0;      // of the scenario's, if it has any
  uint32_t body_bytes = 0;  // bytes
};

struct EventPlan {
  Time at = 0;
  Time duration = 0;
  Action action = Action::kSilent;
  std::vector<int> partners;
  int relay = -1;
  double amount = 0;
  bool sends_retry_after = false;
  bool same_address = true;
  Time linger = 0;
  uint64_t seed = 0;
  std::string description;  // for people
};

struct Plan {
  std::vector<PartnerPlan> partners;  // by falling traffic within the order of their numbers
  std::vector<ArrivalPlan> arrivals;  // by time
  std::vector<EventPlan> events;      // by time
  int slots = 0;                      // of one relay
  int max_open = 0;                   // of one relay
  uint64_t digest = 0;
};

Plan make_plan(const Scenario& scenario, uint64_t seed);

}  // namespace umberhoist::rehearsal

// The concrete run that a scenario and a seed describe: partners with their sizes and speeds, every arrival,
// and the events with their targets. All random choices are made here, in advance and without I/O, so that
// one seed always gives the same run; equal runs have the same `digest`.
#pragma once

#include <string>
#include <vector>

#include "rehearsal/scenario.h"

namespace umberhoist::rehearsal {

struct PartnerPlan {
  int number = 0;  // its destination, and its index in Plan::partners
  std::string name;
  int kind = 0;
  double traffic = 0;  // expected share of all messages
  int endpoints = 1;
  Time mean_service_time = 0;
  double cv = 0;
  int concurrency = 1;  // calls served concurrently over all endpoints
  double capacity = 0;  // calls per second
  Limit limit = Limit::kNone;
  double limit_rate = 0;       // calls per second, if `limit` is set
  Time limit_window = 0;       // for Limit::kWindow
  double advertised_rate = 0;  // calls per second, as published in the host list
  Time max_queue_wait = 0;     // longest time a call may wait to be served
  uint64_t seed = 0;
};

struct ArrivalPlan {
  Time at = 0;  // microseconds from the start of the load
  uint32_t message = 0;
  uint16_t message_class = 0;
  uint16_t partner = 0;
  uint16_t tenant = 0;  // index in Scenario::tenants, if there are any
  uint32_t body_bytes = 0;
};

struct EventPlan {
  Time at = 0;
  Time duration = 0;
  Action action = Action::kSilent;
  std::vector<int> partners;
  int relay = -1;
  double amount = 0;
  Time min_delay = 0;  // kCopy: of the second answer
  Time max_delay = 0;
  double part = 1;  // kCopy: share of its bytes
  bool sends_retry_after = false;
  bool same_address = true;
  Time linger = 0;
  uint64_t seed = 0;
  std::string description;  // for reports
};

struct Plan {
  std::vector<PartnerPlan> partners;  // by number, in the order of their Zipf weights
  std::vector<ArrivalPlan> arrivals;  // ordered by time
  std::vector<EventPlan> events;      // ordered by time
  int slots = 0;                      // concurrent calls of one relay
  int max_open = 0;                   // messages that one relay may hold
  uint64_t digest = 0;
};

// Throws ScenarioError if the scenario cannot be played, such as when a class has no partner to go to.
Plan make_plan(const Scenario& scenario, uint64_t seed);

}  // namespace umberhoist::rehearsal

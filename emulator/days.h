// Named scenarios for tests and benchmarks: what happens to ten destinations, each with 45 messages a second,
// for a fleet of any size. Also bounds on the share of messages that can be delivered in time in each.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "emulator/fleet.h"

namespace umberhoist::emulator {

struct DayScenario {
  std::string name;
  std::string description;        // one line
  Time limit_change_at = 0;       // when the rate limit changes; 0: it does not
  double limit_after_change = 0;  // rate limit of each destination from then on
  void (*configure)(FleetModel&) = nullptr;
};

const std::vector<DayScenario>& day_scenarios();

// Throws std::invalid_argument, naming what was expected, for an unknown name and if `relays` is less than 1.
FleetModel day_model(const std::string& name, int relays, uint64_t seed);

// A random scenario, determined by the seed: one destination has an outage and recovers with a slow start.
// Random are the length of the outage, its capacity and load, the distribution of the traffic, the overload
// budget of the settings, whether probes are allowed, and which relays are killed during the outage and
// restarted around its end. Throws std::invalid_argument if `relays` is less than 1.
FleetModel random_outage_model(int relays, uint64_t seed);

// What distinguishes a random return from the plain one, in which a destination refuses connections from 33
// to 42 s and nothing else happens.
struct ReturnVariant {
  enum class Restart { kNone, kBeforeOutage, kDuringOutage };  // of 30 to 100% of the relays
  bool traffic_grows = false;  // to 1.5 to 3 times from a random moment of the outage
  Restart restart = Restart::kNone;
  bool errors_before = false;  // calls fail for 2 to 12 s before the outage
  OutageKind outage_kind = OutageKind::kConnectionsRefused;
  double outage_retry_after_share = 0;
  firspool::Effect effect = firspool::Effect::kSafe;
  bool before_rates_are_known = false;  // out from 2.5 to 5 s, for 6 to 10 s
  bool rare_calls = false;              // 4 to 10 a second of all relays together
  bool clumps = false;                  // 9 to 29% of the messages come in clumps
  // The smallest budget of the known deployments: a start capacity of 0.15, an overload factor of 2, a window
  // of 3 s. The destination has 2.7 to 18 calls a second at its capacity.
  bool small_budget = false;
  bool hosts_replaced = false;  // between 3 s before the return and 0.5 s after it
};

// A random scenario, determined by the seed: the destination of random_outage_model with an outage of 9 s.
// Throws std::invalid_argument if `relays` is less than 1.
FleetModel random_return_model(int relays, uint64_t seed, const ReturnVariant& variant);

// Bounds on the share of messages delivered in time. Upper bound: the true state of all destinations is known
// at once, all messages are held in one place and sent when their destination has capacity, those that can
// still be in time first; no relay, no refusal and no loss with a relay. Lower bound: each message is tried
// once, when it is submitted, without knowledge of the destination's state.
struct ScoreBounds {
  double upper = 0;
  double lower = 0;
};
ScoreBounds score_bounds(const FleetModel& model);

}  // namespace umberhoist::emulator

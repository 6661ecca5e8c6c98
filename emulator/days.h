// Days by name, for tests and measurements alike: what happens to ten destinations, each asked for 45
// messages a second, through a fleet of any size. And what each could have come to at most and at least.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "emulator/fleet.h"

namespace umberhoist::emulator {

struct DayScenario {
  std::string name;
  std::string description;        // one line
  Time limit_change_at = 0;       // when its limit changes; 0: it does not
  double limit_after_change = 0;  // of each destination from then on
  void (*configure)(FleetModel&) = nullptr;
};

const std::vector<DayScenario>& day_scenarios();

// Throws std::invalid_argument that says what was expected: for an unknown name, and for no relays.
FleetModel day_model(const std::string& name, int relays, uint64_t seed);

// A day on which one destination goes out and comes back cold, drawn from the seed: how long it is out, what
// it can do, what it is asked for, how even the traffic is, the settings' budget, whether probes are allowed,
// and which relays are killed meanwhile and are back around its return. Throws std::invalid_argument for no
// relays.
FleetModel random_outage_model(int relays, uint64_t seed);

// The share of messages in time where the true state of all destinations is seen at once: each message is
// held in one place and sent when its destination has room, those that can still be in time first. No relay,
// no refusal, no message lost with a relay. And where each is tried once, as it comes, by nobody who knows.
struct ScoreBounds {
  double upper = 0;
  double lower = 0;
};
ScoreBounds score_bounds(const FleetModel& model);

}  // namespace umberhoist::emulator

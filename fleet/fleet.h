// Interface between the daemon and the fleet layer. It is optional: without it a relay works by itself, and
// delivery of messages never depends on it. Called on the daemon's thread; no call blocks.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace umberhoist::fleet {

// Which relay sends the trial calls to a destination that is in outage.
enum class TrialDuty {
  kShared,  // each relay sends an equal share, as without a fleet
  kSelf,    // this relay sends them for the whole fleet
  kOther,   // another relay does
};

// One relay's view of a destination's health. Times are in microseconds of the daemon's steady clock.
struct HealthReport {
  int destination = 0;
  int64_t outage_start = 0;    // 0: no outage
  int64_t recovery_start = 0;  // 0: outage not over
  double baseline_rate = 0;
  bool recently_served = false;
  bool can_send_trial = false;
  bool from_owner = false;
};

struct Version {
  uint64_t number = 0;  // 0: the register holds none
  std::string text;
};

class Fleet {
 public:
  virtual ~Fleet() = default;
  // Both are decided at the time of the call, as a lease may expire at any moment.
  virtual TrialDuty trial_duty(int destination) = 0;
  virtual bool owns(int destination) = 0;
  // Whether a leader has confirmed the state recently, so that reports and ownership are current.
  virtual bool is_confirmed() = 0;
  virtual std::vector<HealthReport> health_reports() = 0;
  virtual void report_health(std::vector<HealthReport> reports) = 0;
  // The version to run; and the version that this relay runs now.
  virtual Version version() = 0;
  virtual void report_running_version(uint64_t number) = 0;
  // Proposes a configuration for all relays. `on_done` runs on the daemon's thread; `why` holds the reason of
  // a refusal.
  virtual void propose_version(std::string text,
                               std::function<void(bool done, const std::string& why)> on_done) = 0;
  virtual void announce_leaving() = 0;
};

}  // namespace umberhoist::fleet

// The one place where the daemon meets the fleet. Without it, all is as for a relay by itself; nothing here
// is needed to deliver a message. Called from the daemon's thread; nothing of it waits.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace umberhoist::fleet {

enum class TrialDuty {
  kShared,  // as without the fleet: each relay sends its even part
  kSelf,    // this relay sends them for all
  kOther,   // another does
};

struct HealthReport {  // times are microseconds of the steady clock
  int destination = 0;
  int64_t outage_start = 0;    // 0: no outage
  int64_t recovery_start = 0;  // 0: still out
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
  // Whose the destination is, at this moment: a lease is looked at each time.
  virtual TrialDuty trial_duty(int destination) = 0;
  virtual bool owns(int destination) = 0;
  // Whether others were heard lately, so that what they tell is the fleet's word.
  virtual bool is_confirmed() = 0;
  virtual std::vector<HealthReport> health_reports() = 0;
  virtual void report_health(std::vector<HealthReport> sights) = 0;
  // The version to run, and that it runs.
  virtual Version version() = 0;
  virtual void report_running_version(uint64_t number) = 0;
  // A configuration for all relays; `told` comes on the daemon's thread, with the reason if it was refused.
  virtual void propose_version(std::string text,
                               std::function<void(bool done, const std::string& why)> told) = 0;
  virtual void announce_leaving() = 0;
};

}  // namespace umberhoist::fleet

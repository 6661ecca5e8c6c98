// How one relay comes back with what its folder holds: what is trusted at once, who is asked, and in which
// order and how fast held messages are handed on, stage by stage. Each stage has its entry, its deadline and
// what happens then; none waits without end. Without I/O and clock: facts and time in, numbers out.
//
//   stage             entered                left by                   at the deadline
//   kWaitingForFleet  folder was read        the fleet's word          alone, on even parts
//   kReleasing        from kWaitingForFleet  nothing is held any more  the rest is handed on, as if alone
//   kComplete         from kReleasing
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace umberhoist::recovery {

using Time = int64_t;  // microseconds, steady

enum class Stage { kWaitingForFleet, kReleasing, kComplete };

struct RecoveryLimits {
  Time fleet_timeout = 2'000'000;     // for the fleet's word
  Time release_timeout = 15'000'000;  // in kReleasing
  Time owner_head_start =
      1'000'000;  // the owner's head start at a destination; then each tries with one message
  Time retry_interval = 1'000'000;  // between tries at a destination that was not served yet
  Time end_margin =
      3'000'000;           // a message is handed on so long before its end, whatever else: its end is owed
  size_t max_batch = 256;  // messages handed on in one turn
};

struct HeldMessage {
  uint64_t number = 0;
  int destination = 0;
  double worth = 0;  // if it is delivered now
  Time due = 0;
  bool must_end = false;  // unsafe, and it may have run: it is never sent, its end is due
};

class StagedRecovery {
 public:
  StagedRecovery(RecoveryLimits limits, std::vector<HeldMessage> held, Time now);

  void on_fleet_ready(Time now);  // of the fleet: the calendar, the map and what others see are known
  // Whether this relay may try a destination of which nothing is known: as its owner, or alone. Where it may
  // not, it waits for the owner's word.
  void set_may_try(int destination, bool yes) { gates_[destination].may_try = yes; }
  // A call of this relay was served there, or failed.
  void on_served(int destination, Time now);
  void on_failed(int destination, Time now);
  // Another relay was served there.
  void on_served_elsewhere(int destination) { gates_[destination].open = true; }
  // Ended otherwise, or withdrawn.
  void remove(uint64_t number);

  Stage stage() const { return stage_; }
  bool without_fleet() const { return without_fleet_; }  // nobody's word came in time
  size_t remaining() const { return held_.size(); }
  // To be handed on now, in order: first ends that are due, then by worth and time left.
  std::vector<uint64_t> release(Time now);

 private:
  struct DestinationGate {
    bool may_try = false;
    bool open = false;         // served since the return
    size_t max_in_flight = 1;  // that may be out unanswered
    size_t in_flight = 0;
    Time retry_at = 0;
  };

  RecoveryLimits limits_;
  Stage stage_ = Stage::kWaitingForFleet;
  Time stage_since_ = 0;
  bool without_fleet_ = false;
  std::vector<HeldMessage> held_;  // in the order of service
  std::map<int, DestinationGate> gates_;
};

}  // namespace umberhoist::recovery

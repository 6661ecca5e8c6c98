// Recovery of one relay after a restart with messages in its folder: when it may act, which messages are
// released to the decision module, in which order and how fast. It proceeds in stages, each with a deadline,
// so that none waits for ever. No I/O and no clock: events and times in, message numbers out.
//
//   stage             entered                 left when               at its deadline
//   kWaitingForFleet  folder was read         the fleet is known      goes on alone, with even shares
//   kReleasing        from kWaitingForFleet   no message is held      releases the rest at once
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
  Time fleet_timeout = 2'000'000;     // in kWaitingForFleet
  Time release_timeout = 15'000'000;  // in kReleasing
  // Head start of the owner of a destination; after it any relay may try with one message.
  Time owner_head_start = 1'000'000;
  Time retry_interval = 1'000'000;  // after a failed call to a destination
  // A message is always released this long before it is due, so that its client gets its notice in time.
  Time end_margin = 3'000'000;
  size_t max_batch = 256;  // messages released in one call
};

struct HeldMessage {
  uint64_t number = 0;
  int destination = 0;
  double worth = 0;  // if it were delivered now
  Time due = 0;
  bool must_end = false;  // unsafe and possibly executed: it is not sent again but ended with a notice
};

class StagedRecovery {
 public:
  StagedRecovery(RecoveryLimits limits, std::vector<HeldMessage> held, Time now);

  // The freeze calendar, the shard map and the health reports of the other relays are known.
  void on_fleet_ready(Time now);
  // Whether this relay may try a destination whose state is unknown, as its owner. If not, it waits until the
  // owner reports or the head start is over.
  void set_may_try(int destination, bool yes) { gates_[destination].may_try = yes; }
  // Result of a call of this relay to the destination.
  void on_served(int destination, Time now);
  void on_failed(int destination, Time now);
  // Another relay reports a successful call to the destination.
  void on_served_elsewhere(int destination) { gates_[destination].open = true; }
  // The message has ended or was withdrawn.
  void remove(uint64_t number);

  Stage stage() const { return stage_; }
  bool without_fleet() const { return without_fleet_; }  // the fleet did not answer in time
  size_t remaining() const { return held_.size(); }
  // Removes and returns the messages to release now: those that must end first, then by worth and by due
  // time.
  std::vector<uint64_t> release(Time now);

 private:
  struct DestinationGate {
    bool may_try = false;
    bool open = false;         // a call was served since the restart
    size_t max_in_flight = 1;  // calls that may be in flight
    size_t in_flight = 0;
    Time retry_at = 0;
  };

  RecoveryLimits limits_;
  Stage stage_ = Stage::kWaitingForFleet;
  Time stage_since_ = 0;
  bool without_fleet_ = false;
  std::vector<HeldMessage> held_;  // in the order of release
  std::map<int, DestinationGate> gates_;
};

}  // namespace umberhoist::recovery

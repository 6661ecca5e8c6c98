// Runs one rehearsal: starts the relays, simulates their clients, partners and discovery, and checks the
// outcome. Uses one thread and one event loop.
#pragma once

#include <filesystem>
#include <string>
#include <vector>

#include "limits/judge.h"
#include "rehearsal/checker.h"
#include "rehearsal/ledger.h"
#include "rehearsal/plan.h"

namespace umberhoist::rehearsal {

struct RunOptions {
  std::string relay;             // path of the relay's executable
  std::filesystem::path folder;  // for configurations, logs, state and the report
  bool progress = true;          // show a progress line on standard error
  uint64_t seed = 1;
};

// Highest usage of a relay within one second, over all its processes.
struct RelaySample {
  Time cpu = 0;       // used since the sample before
  size_t memory = 0;  // resident bytes plus files in the temporary folder
  size_t disk = 0;    // bytes in the state folder, each file rounded up to whole 512-byte blocks
  int descriptors = 0;
  int sockets = 0;
  bool running = false;
};

// Usage of a relay over the whole run.
struct RelayUsage {
  limits::ResourceUsage peak;
  size_t peak_memory = 0;  // bytes, as compared with the memory limit
  Time cpu = 0;
  double peak_cpu_share = 0;  // share of a core in its busiest second
  limits::MemoryGrowth growth;
};

// Taken once a second.
struct Sample {
  size_t open = 0;  // messages without a final result, at their clients or accepted by a relay
  size_t held = 0;  // messages accepted by a relay and without a final result
  size_t calls_in_flight = 0;
  size_t connections = 0;
  std::vector<RelaySample> relays;
};

// How far the kit itself ran behind schedule. Timing checks are only as accurate as this.
struct KitTiming {
  Histogram send_delay;    // delay of each message's submission after its planned time
  Time longest_stall = 0;  // longest delay of the event loop
  size_t stall_count = 0;  // delays over kStallThreshold
  Time suspended = 0;      // time that the machine was suspended
  Time cpu = 0;
};

// The values are the exit statuses of umberhoist-rehearse.
enum class RunVerdict { kPassed = 0, kViolated = 1, kInconclusive = 3 };

struct RunReport {
  RunVerdict verdict = RunVerdict::kPassed;
  std::string reason;  // why the run is inconclusive or ended early
  uint64_t digest = 0;
  double seconds = 0;  // from the start of the load to the end
  bool interrupted = false;
  std::vector<Violation> violations;
  std::vector<bool> uncertain;  // by violation: the kit ran late near it
  size_t violation_count = 0;
  std::vector<MessageCounts> class_counts;  // by class
  std::vector<MessageCounts> tenant_counts;
  std::vector<SecondCounts> per_second;
  std::vector<Sample> samples;
  std::vector<RelayUsage> relay_usage;  // by relay
  std::vector<EventPlan> events;
  std::vector<std::string> notes;  // scheduled events that could not be carried out
  uint64_t messages = 0;
  uint64_t submissions = 0;
  uint64_t attempts = 0;
  uint64_t notices = 0;
  uint64_t notices_of_delivered = 0;  // notices of failure for messages that had been delivered
  uint64_t connections_opened = 0;    // client connections
  KitTiming timing;
};

// Throws std::runtime_error if the run cannot start. A relay that does not become ready is reported in the
// result.
RunReport run_rehearsal(const Scenario& scenario, const RunOptions& options);

}  // namespace umberhoist::rehearsal

// One rehearsal: starts the relays, plays everything round them, and judges. One thread, one event loop.
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
  std::string relay;             // the program
  std::filesystem::path folder;  // for configurations, logs, state and the report
  bool progress = true;          // a line on standard error while it runs
  uint64_t seed = 1;
};

struct RelaySample {  // the most of each within the second, over all its processes
  Time cpu = 0;       // since the sample before
  size_t memory = 0;  // resident, and files in its temporary folder
  size_t disk = 0;    // of its state folder, in whole 512 bytes a file
  int descriptors = 0;
  int sockets = 0;
  bool running = false;
};

struct RelayUsage {  // over the whole run
  limits::ResourceUsage peak;
  size_t peak_memory = 0;  // the most, as it is judged
  Time cpu = 0;
  double peak_cpu_share = 0;  // share of a core, in its busiest second
  limits::MemoryGrowth growth;
};

struct Sample {     // one each second
  size_t open = 0;  // messages with their clients or held
  size_t held = 0;  // taken on and not over
  size_t calls_in_flight = 0;
  size_t connections = 0;
  std::vector<RelaySample> relays;
};

// How well the kit kept its own time: what it judges is no truer than that.
struct KitTiming {
  Histogram send_delay;    // of a handing-in, behind its time
  Time longest_stall = 0;  // of the event loop
  size_t stall_count = 0;  // over kStall
  Time suspended = 0;      // the machine slept
  Time cpu = 0;
};

enum class RunVerdict { kPassed = 0, kViolated = 1, kInconclusive = 3 };

struct RunReport {
  RunVerdict verdict = RunVerdict::kPassed;
  std::string reason;  // where it is inconclusive, or was broken off
  uint64_t digest = 0;
  double seconds = 0;  // from the first arrival to the end
  bool interrupted = false;
  std::vector<Violation> violations;
  std::vector<bool> uncertain;  // for each breach: the kit itself ran late round it
  size_t violation_count = 0;
  std::vector<MessageCounts> class_counts;  // by class
  std::vector<MessageCounts> tenant_counts;
  std::vector<SecondCounts> per_second;
  std::vector<Sample> samples;
  std::vector<RelayUsage> relay_usage;  // by relay
  std::vector<EventPlan> events;
  std::vector<std::string> notes;  // what the script could not do
  uint64_t messages = 0;
  uint64_t submissions = 0;
  uint64_t attempts = 0;
  uint64_t notices = 0;
  uint64_t connections_opened = 0;  // client connections
  KitTiming timing;
};

// Throws std::runtime_error if it cannot start; a relay that does not start is an Outcome.
RunReport run_rehearsal(const Scenario& scenario, const RunOptions& options);

}  // namespace umberhoist::rehearsal

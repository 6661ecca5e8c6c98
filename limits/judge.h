// The platform's limits on one relay, judged from samples: memory, the state folder, descriptors, sockets,
// and its share of a core. No I/O and no clock: samples come with their time, which never goes back.
//
// Where the figures come from: the deployment page ("Limits"): a relay over `memory_mb` is killed, files of
// its temporary folder count as memory, the state folder counts each file in whole 512 bytes, a process may
// hold `sockets` descriptors, and its processes together no more sockets than that.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "standins/witness.h"

namespace umberhoist::limits {

struct ResourceLimits {  // 0: not bound
  size_t memory = 0;     // bytes
  size_t disk = 0;       // bytes
  int descriptors = 0;
  int sockets = 0;
};

// What one relay uses at a moment, over all its processes.
struct ResourceUsage {
  Time cpu = 0;              // of all that were seen, since they started
  size_t resident = 0;       // bytes, now; a page that several share counts once
  size_t peak_resident = 0;  // the most that any one process has had resident, as its kernel kept it
  size_t temporary = 0;      // bytes of files in its private temporary folder
  size_t disk = 0;           // bytes in the state folder, each file in whole 512
  size_t files = 0;          // in the state folder
  int descriptors = 0;       // the most in one process
  int sockets = 0;           // over all processes, each counted once
  int processes = 0;

  size_t memory() const { return (resident > peak_resident ? resident : peak_resident) + temporary; }
};

constexpr size_t kDiskBlockBytes = 512;  // a file counts in whole ones
constexpr size_t block_rounded(size_t bytes) {
  return (bytes + kDiskBlockBytes - 1) / kDiskBlockBytes * kDiskBlockBytes;
}

struct LimitViolation {
  std::string limit;                        // "memory", "disk", "descriptors", "sockets"
  std::string description;                  // by how much, in words
  std::vector<std::string> recent_samples;  // what was measured before it, one sample a line
};

// Growth of what a long run's second half keeps. A leak lifts the least that is held in every part of it,
// while waves of traffic, an outage's messages or a heap that grew once do not.
struct MemoryGrowth {
  bool evaluated = false;    // the half was long enough
  double mb_per_minute = 0;  // Theil-Sen slope through the least of each part
  double mb = 0;             // that slope over the half
  int increases = 0;         // parts whose least lies over the one before
  int intervals = 0;
  bool is_leak = false;
};

class LimitMonitor {
 public:
  static constexpr Time kHistoryLength = 2 * kSecond;  // so much of it is shown,
  static constexpr size_t kMaxHistoryLines = 24;       // in so many lines at most
  static constexpr Time kMinHalf = 30 * kSecond;       // a shorter one says nothing of growth
  static constexpr int kGrowthIntervals = 8;           // of the second half
  static constexpr int kMinLeakIncreases = 6;          // of the 7 steps between them
  static constexpr double kMinLeakMb = 4;              // over the half: what a heap's own noise stays under
  static constexpr double kMinLeakShare = 0.05;        // or so much of what it held before

  explicit LimitMonitor(ResourceLimits limits) : limits_(limits) {}

  // One word for each process life: after it has passed a limit nothing more is said until `started`.
  std::optional<LimitViolation> add_sample(Time at, const ResourceUsage& usage);
  // A new process at the same place: its peaks count anew, its folder goes on.
  void on_process_started(Time at);

  // Peaks over all lives, for the report.
  const ResourceUsage& peak_usage() const { return highest_; }
  size_t peak_memory() const { return highest_memory_; }
  // Since the last call: the most of each, for a plot by the second.
  ResourceUsage take_interval_peaks();

  MemoryGrowth growth() const;

 private:
  struct Sample {
    Time at = 0;
    ResourceUsage usage;
  };
  struct Least {  // the least memory of one second
    Time at = 0;
    size_t memory = 0;
  };
  std::vector<std::string> curve(Time until) const;

  ResourceLimits limits_;
  std::deque<Sample> samples_;
  std::deque<Least> seconds_;  // halved when there are too many: memory does not follow a run's length
  Time step_ = kSecond;
  bool told_ = false;
  ResourceUsage highest_, window_;
  size_t highest_memory_ = 0;
};

// A bound on the share of a core, as the platform's scheduler has it: so much in each period, then it stands
// until the next one begins.
class CpuQuota {
 public:
  static constexpr Time kPeriod = 100 * kMillisecond;
  explicit CpuQuota(double cores) : cores_(cores) {}
  bool is_limited() const { return cores_ > 0; }
  // `cpu`: used since the start, never falling. True: it must stand now.
  bool must_pause(Time now, Time cpu);

 private:
  double cores_;
  Time period_ = 0;
  Time at_start_ = 0;
};

}  // namespace umberhoist::limits

// Checks samples of one relay's resource usage against the platform's limits: memory, disk space of the state
// folder, descriptors, sockets and CPU share. Does no I/O and reads no clock: each sample is passed in with
// its time, and times must not decrease. All times are in microseconds.
//
// The rules follow the deployment page ("Limits"): a relay over `memory_mb` is killed, files in its temporary
// folder count as memory, each file in the state folder is rounded up to whole 512-byte blocks, one process
// may hold at most `sockets` descriptors, and all its processes together at most as many sockets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "standins/witness.h"

namespace umberhoist::limits {

struct ResourceLimits {  // 0 means unlimited
  size_t memory = 0;     // bytes
  size_t disk = 0;       // bytes
  int descriptors = 0;
  int sockets = 0;
};

// Resource usage of one relay at one moment, summed over all its processes unless stated otherwise.
struct ResourceUsage {
  Time cpu = 0;              // CPU time of all processes seen so far, including those that have exited
  size_t resident = 0;       // current resident bytes; a page shared by several processes counts once
  size_t peak_resident = 0;  // highest VmHWM of any single process, in bytes
  size_t temporary = 0;      // bytes allocated to files in the private temporary folder
  size_t disk = 0;           // bytes in the state folder, each file rounded up to whole 512-byte blocks
  size_t files = 0;          // number of files in the state folder
  int descriptors = 0;       // highest number of open descriptors in one process
  int sockets = 0;           // distinct sockets over all processes
  int processes = 0;

  size_t memory() const { return (resident > peak_resident ? resident : peak_resident) + temporary; }
};

constexpr size_t kDiskBlockBytes = 512;  // unit in which the platform counts disk usage
constexpr size_t block_rounded(size_t bytes) {
  return (bytes + kDiskBlockBytes - 1) / kDiskBlockBytes * kDiskBlockBytes;
}

struct LimitViolation {
  std::string limit;                        // "memory", "disk", "descriptors", "sockets"
  std::string description;                  // measured value, limit and excess as text
  std::vector<std::string> recent_samples;  // samples up to the violation, one formatted line each
};

// Memory growth during the second half of a process's life. The half is cut into intervals, and the minimum
// of each is compared: a leak raises the minimum in nearly every interval, while traffic waves, messages held
// during an outage, or a heap that grew once do not.
struct MemoryGrowth {
  bool evaluated = false;    // false if the second half was too short to judge
  double mb_per_minute = 0;  // Theil-Sen slope through the minima of the intervals
  double mb = 0;             // growth over the whole half at that slope
  int increases = 0;         // intervals whose minimum exceeds that of the interval before
  int intervals = 0;
  bool is_leak = false;
};

class LimitMonitor {
 public:
  static constexpr Time kHistoryLength = 2 * kSecond;  // period covered by LimitViolation::recent_samples
  static constexpr size_t kMaxHistoryLines = 24;       // upper bound of its size
  static constexpr Time kMinHalf = 30 * kSecond;       // growth is not evaluated over less than this
  static constexpr int kGrowthIntervals = 8;           // intervals that the second half is cut into
  static constexpr int kMinLeakIncreases = 6;          // of the 7 steps between the intervals
  static constexpr double kMinLeakMb = 4;              // growth over the half; heap noise stays below this
  static constexpr double kMinLeakShare = 0.05;        // growth as a share of the first interval's minimum

  explicit LimitMonitor(ResourceLimits limits) : limits_(limits) {}

  // Records a sample and returns the limit it exceeds, if any. Reports at most one violation for each
  // process: after that, nothing more is reported until `on_process_started`.
  std::optional<LimitViolation> add_sample(Time at, const ResourceUsage& usage);
  // A new process runs in the same folder. Limits are reported again and growth is evaluated from here;
  // `peak_usage` and `peak_memory` carry on over all processes.
  void on_process_started(Time at);

  // Highest value of each resource over all processes since construction.
  const ResourceUsage& peak_usage() const { return peak_usage_; }
  size_t peak_memory() const { return peak_memory_; }
  // Returns the highest value of each resource since the previous call, and resets it.
  ResourceUsage take_interval_peaks();

  MemoryGrowth growth() const;

 private:
  struct Sample {
    Time at = 0;
    ResourceUsage usage;
  };
  struct MemoryMinimum {  // lowest memory usage within `minima_interval_`
    Time at = 0;
    size_t memory = 0;
  };
  std::vector<std::string> history(Time until) const;

  ResourceLimits limits_;
  std::deque<Sample> samples_;
  // Merged in pairs, with the interval doubled, when there are too many: this bounds memory on long runs.
  std::deque<MemoryMinimum> memory_minima_;
  Time minima_interval_ = kSecond;
  bool limit_reported_ = false;
  ResourceUsage peak_usage_, interval_peaks_;
  size_t peak_memory_ = 0;
};

// CPU quota as the platform's scheduler applies it: a process group may use a fixed amount of CPU time in
// each period, and is then paused until the next period begins.
class CpuQuota {
 public:
  static constexpr Time kPeriod = 100 * kMillisecond;
  explicit CpuQuota(double cores) : cores_(cores) {}
  bool is_limited() const { return cores_ > 0; }
  // `cpu` is the CPU time used since the start and must not decrease. Returns true while the processes have
  // to be paused.
  bool must_pause(Time now, Time cpu);

 private:
  double cores_;
  Time period_start_ = 0;
  Time cpu_at_period_start_ = 0;
};

}  // namespace umberhoist::limits

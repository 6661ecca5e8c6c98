// Measures a relay for the judge: its processes as /proc shows them, and the files of its two folders.
//
// Its processes are the one that was started, its descendants, whoever shares its session, and what has been
// seen as one of these before (a helper may leave its parent and its session behind). `adopt_orphans` makes
// the caller the parent of those left behind, so that they are not lost to init.
//
// A burst shorter than the time between two samples still shows: the kernel keeps the most that a process has
// had resident (VmHWM). What a helper that lives for less than kLookForProcesses takes is not seen.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <map>
#include <set>
#include <string>

#include "limits/judge.h"

namespace umberhoist::limits {

void adopt_orphans();  // once, for this process

class ResourceMeter {
 public:
  static constexpr Time kProcessScanInterval = 40 * kMillisecond;
  static constexpr Time kDescriptorCountInterval = 50 * kMillisecond;
  static constexpr Time kFolderScanInterval = 20 * kMillisecond;
  static constexpr int kFolderScanIdleFactor =
      20;  // reading folders may take one part in so many of the time

  ResourceMeter(pid_t relay, std::filesystem::path state, std::filesystem::path temporary);

  ResourceUsage sample(Time now);
  Time cpu() const;         // nanosecond clocks of its processes, in microseconds; cheap
  void signal(int number);  // to all its processes
  const std::map<pid_t, Time>& processes() const { return processes_; }

 private:
  void look_for_processes();
  bool is_own(pid_t pid) const;
  void add_memory(ResourceUsage& out) const;
  void add_descriptors();
  void read_folders(Time now);

  pid_t relay_;
  std::filesystem::path state_;
  std::filesystem::path temporary_;
  std::map<pid_t, Time> processes_;  // its own, and the CPU each had when last seen
  std::set<pid_t> foreign_;          // looked at, and not its own
  Time ended_cpu_ = 0;               // of those that have ended
  Time looked_ = 0, counted_ = 0, read_ = 0, read_next_ = 0;
  ResourceUsage last_;
};

}  // namespace umberhoist::limits

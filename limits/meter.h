// Measures the resource usage of a relay: its processes through /proc, and the files in its two folders.
//
// A process belongs to the relay if it is the one that was started, a descendant of it, a member of its
// session, or was recognized as one of these before (a helper may leave both its parent and its session).
// `adopt_orphans` makes the calling process the parent of orphaned helpers, so that they are not re-parented
// to init and lost.
//
// A memory burst shorter than the time between two samples is still seen, because the kernel keeps the
// highest resident size of each process (VmHWM). A helper that lives for less than kProcessScanInterval may
// be missed, and so is a file that exists, or has its name, for less than a listing of its folder takes.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <map>
#include <set>
#include <string>

#include "limits/judge.h"

namespace umberhoist::limits {

// Makes this process a child subreaper. Call once.
void adopt_orphans();

class ResourceMeter {
 public:
  static constexpr Time kProcessScanInterval = 40 * kMillisecond;
  static constexpr Time kDescriptorCountInterval = 50 * kMillisecond;
  static constexpr Time kFolderScanInterval = 20 * kMillisecond;
  static constexpr int kFolderScanIdleFactor = 20;  // pause after a folder scan, in multiples of its duration

  ResourceMeter(pid_t relay, std::filesystem::path state, std::filesystem::path temporary);

  ResourceUsage sample(Time now);
  // CPU time of all its processes from their CPU clocks, in microseconds. Cheaper than `sample`.
  Time cpu() const;
  void signal(int number);  // sends a signal to all its processes
  const std::map<pid_t, Time>& processes() const { return processes_; }

 private:
  void scan_processes();
  bool belongs_to_relay(pid_t pid) const;
  void add_memory(ResourceUsage& out) const;
  void count_descriptors();
  void measure_folders(Time now);

  pid_t relay_;
  std::filesystem::path state_;
  std::filesystem::path temporary_;
  std::map<pid_t, Time> processes_;  // the relay's, with the CPU time of each when last seen
  std::set<pid_t> other_processes_;  // examined and found not to belong to the relay
  Time ended_cpu_ = 0;               // CPU time of processes that have exited
  Time last_process_scan_ = 0, last_descriptor_count_ = 0, last_folder_scan_ = 0, next_folder_scan_ = 0;
  ResourceUsage last_usage_;
};

}  // namespace umberhoist::limits

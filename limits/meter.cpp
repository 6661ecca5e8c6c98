#include "limits/meter.h"

#include <dirent.h>
#include <fcntl.h>
#include <linux/kcmp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <string_view>
#include <vector>

namespace umberhoist::limits {
namespace {

// Uses read(2) directly, because it runs fifty times a second for each relay.
std::string read_file(const std::string& path) {
  std::string out;
  const int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0) return out;
  char bytes[8192];
  for (ssize_t n = 0; (n = ::read(file, bytes, sizeof bytes)) > 0;) out.append(bytes, static_cast<size_t>(n));
  ::close(file);
  return out;
}

std::string proc_path(pid_t pid, const char* name) { return "/proc/" + std::to_string(pid) + "/" + name; }

// Returns the value of a line such as "VmHWM:     1234 kB" in bytes, or 0 if there is no such line.
size_t size_field(std::string_view status, std::string_view name) {
  const size_t at = status.find(name);
  if (at == std::string_view::npos) return 0;
  return static_cast<size_t>(std::strtoull(status.data() + at + name.size(), nullptr, 10)) * 1024;
}

struct ProcessStat {
  pid_t parent = 0;
  pid_t session = 0;
  char state = '?';
};

ProcessStat read_stat(pid_t pid) {
  ProcessStat out;
  const std::string text = read_file(proc_path(pid, "stat"));
  const size_t name = text.rfind(')');
  if (name == std::string::npos) return out;
  int parent = 0, group = 0, session = 0;
  if (std::sscanf(text.c_str() + name + 1, " %c %d %d %d", &out.state, &parent, &group, &session) == 4) {
    out.parent = parent;
    out.session = session;
  }
  return out;
}

Time process_cpu(pid_t pid) {
  clockid_t clock;
  timespec t{};
  if (::clock_getcpuclockid(pid, &clock) != 0 || ::clock_gettime(clock, &t) != 0) return -1;
  return static_cast<Time>(t.tv_sec) * kSecond + t.tv_nsec / 1000;
}

// Between fork and exec a child still has the memory of this process, which must not be counted as the
// relay's.
bool has_not_execed(pid_t pid) {
  char own[4096], other[4096];
  const ssize_t a = ::readlink("/proc/self/exe", own, sizeof own);
  const ssize_t b = ::readlink(proc_path(pid, "exe").c_str(), other, sizeof other);
  return b <= 0 || (a == b && std::memcmp(own, other, static_cast<size_t>(a)) == 0);
}

// Whether both have one address space (CLONE_VM), as the tracer of a leak check has. Its pages are in the
// proportional size of each such process in full.
bool share_address_space(pid_t a, pid_t b) { return ::syscall(SYS_kcmp, a, b, KCMP_VM, 0, 0) == 0; }

struct FileUsage {
  size_t block_bytes = 0;      // size in whole blocks
  size_t allocated_bytes = 0;  // without holes, which take no memory
};

// Every regular file below `path`, by path.
std::map<std::string, FileUsage> list_files(const std::filesystem::path& path) {
  std::map<std::string, FileUsage> out;
  std::error_code error;
  using Iterator = std::filesystem::recursive_directory_iterator;
  for (Iterator it(path, std::filesystem::directory_options::skip_permission_denied, error), end;
       !error && it != end; it.increment(error)) {
    std::error_code removed;  // the file may be removed meanwhile
    if (!it->is_regular_file(removed) || removed) continue;
    const auto size = it->file_size(removed);
    if (removed) continue;
    FileUsage file{block_rounded(size), 0};
    struct stat status {};
    if (::lstat(it->path().c_str(), &status) == 0)
      file.allocated_bytes = static_cast<size_t>(status.st_blocks) * 512;
    out.emplace(it->path().string(), file);
  }
  return out;
}

struct FolderUsage {
  size_t block_bytes = 0;
  size_t allocated_bytes = 0;
  size_t files = 0;
};

// What the folder held at one moment, the one between two listings: files that are in both, each at the
// smaller of its two sizes. A single listing takes time, and would count a file that is removed during it
// beside what is written in its place.
FolderUsage measure_folder(const std::filesystem::path& path) {
  const std::map<std::string, FileUsage> before = list_files(path);
  const std::map<std::string, FileUsage> after = list_files(path);
  FolderUsage out;
  for (const auto& [name, file] : before) {
    const auto still_there = after.find(name);
    if (still_there == after.end()) continue;
    out.block_bytes += std::min(file.block_bytes, still_there->second.block_bytes);
    out.allocated_bytes += std::min(file.allocated_bytes, still_there->second.allocated_bytes);
    ++out.files;
  }
  return out;
}

}  // namespace

void adopt_orphans() { ::prctl(PR_SET_CHILD_SUBREAPER, 1); }

ResourceMeter::ResourceMeter(pid_t relay, std::filesystem::path state, std::filesystem::path temporary)
    : relay_(relay), state_(std::move(state)), temporary_(std::move(temporary)) {
  processes_[relay] = 0;
}

bool ResourceMeter::belongs_to_relay(pid_t pid) const {
  const ProcessStat stat = read_stat(pid);
  if (stat.session == relay_ || processes_.contains(stat.parent)) return true;
  if (stat.parent != ::getpid()) return false;
  // Orphaned before it was first seen: recognized by the environment that the relay was started with.
  return read_file(proc_path(pid, "environ")).find("PROXY_STATE=" + state_.string() + '\0') !=
         std::string::npos;
}

void ResourceMeter::scan_processes() {
  DIR* all = ::opendir("/proc");
  if (all == nullptr) return;
  std::set<pid_t> seen;
  while (const dirent* entry = ::readdir(all)) {
    const pid_t pid = std::atoi(entry->d_name);
    if (pid > 0) seen.insert(pid);
  }
  ::closedir(all);
  std::erase_if(other_processes_, [&](pid_t pid) { return !seen.contains(pid); });
  for (bool found = true; found;) {  // repeat to find children of processes found in this scan
    found = false;
    for (const pid_t pid : seen) {
      if (processes_.contains(pid) || other_processes_.contains(pid)) continue;
      if (belongs_to_relay(pid)) {
        processes_[pid] = 0;
        found = true;
      }
    }
  }
  for (const pid_t pid : seen) {
    if (!processes_.contains(pid)) other_processes_.insert(pid);
  }
  for (auto it = processes_.begin(); it != processes_.end();) {
    if (seen.contains(it->first) || it->first == relay_) {
      // Adopted processes are reaped here; the relay itself is reaped by whoever started it.
      if (it->first != relay_ && read_stat(it->first).state == 'Z') ::waitpid(it->first, nullptr, WNOHANG);
      ++it;
    } else {
      ended_cpu_ += it->second;
      it = processes_.erase(it);
    }
  }
}

Time ResourceMeter::cpu() const {
  Time out = ended_cpu_;
  for (const auto& [pid, before] : processes_) out += std::max(before, process_cpu(pid));
  return out;
}

void ResourceMeter::signal(int number) {
  scan_processes();
  for (const auto& [pid, cpu] : processes_) ::kill(pid, number);
}

void ResourceMeter::add_memory(ResourceUsage& out) const {
  size_t resident_sum = 0;
  std::vector<pid_t> counted;
  for (const auto& [pid, cpu] : processes_) {
    if (has_not_execed(pid)) continue;
    const bool shared = std::any_of(counted.begin(), counted.end(),
                                    [pid = pid](pid_t other) { return share_address_space(pid, other); });
    if (shared) continue;
    const std::string status = read_file(proc_path(pid, "status"));
    const size_t resident = size_field(status, "VmRSS:");
    if (resident == 0) continue;
    counted.push_back(pid);
    resident_sum += resident;
    out.peak_resident = std::max(out.peak_resident, size_field(status, "VmHWM:"));
  }
  out.resident = resident_sum;
  if (counted.size() < 2) return;
  // Shared pages are in the resident size of each process; Pss counts them once but costs more to read.
  size_t proportional_sum = 0;
  for (const pid_t pid : counted)
    proportional_sum += size_field(read_file(proc_path(pid, "smaps_rollup")), "\nPss:");
  if (proportional_sum > 0) out.resident = std::min(resident_sum, proportional_sum);
}

void ResourceMeter::count_descriptors() {
  last_usage_.descriptors = 0;
  last_usage_.sockets = 0;
  std::set<std::string> sockets;
  for (const auto& [pid, cpu] : processes_) {
    if (has_not_execed(pid)) continue;
    const std::string folder = proc_path(pid, "fd");
    DIR* all = ::opendir(folder.c_str());
    if (all == nullptr) continue;
    int count = 0;
    while (const dirent* entry = ::readdir(all)) {
      if (entry->d_name[0] == '.') continue;
      ++count;
      char target[64];
      const ssize_t size = ::readlinkat(::dirfd(all), entry->d_name, target, sizeof target);
      if (size > 7 && std::memcmp(target, "socket:", 7) == 0)
        sockets.emplace(target, static_cast<size_t>(size));
    }
    ::closedir(all);
    last_usage_.descriptors = std::max(last_usage_.descriptors, count);
  }
  last_usage_.sockets = static_cast<int>(sockets.size());
}

void ResourceMeter::measure_folders(Time now) {
  const Time begin = steady_now();
  const FolderUsage state = measure_folder(state_);
  last_usage_.disk = state.block_bytes;
  last_usage_.files = state.files;
  last_usage_.temporary = measure_folder(temporary_).allocated_bytes;
  next_folder_scan_ = now + std::max(kFolderScanInterval, kFolderScanIdleFactor * (steady_now() - begin));
}

ResourceUsage ResourceMeter::sample(Time now) {
  if (now - last_process_scan_ >= kProcessScanInterval) {
    last_process_scan_ = now;
    scan_processes();
  }
  if (now >= next_folder_scan_) measure_folders(now);
  if (now - last_descriptor_count_ >= kDescriptorCountInterval) {
    last_descriptor_count_ = now;
    count_descriptors();
  }
  ResourceUsage out = last_usage_;
  add_memory(out);
  for (auto& [pid, cpu] : processes_) cpu = std::max(cpu, process_cpu(pid));
  out.cpu = cpu();
  out.processes = static_cast<int>(processes_.size());
  return out;
}

}  // namespace umberhoist::limits

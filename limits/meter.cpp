#include "limits/meter.h"

#include <dirent.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string_view>

namespace umberhoist::limits {
namespace {

// /proc files are read whole and by hand: this runs fifty times a second for each relay.
std::string read_whole(const std::string& path) {
  std::string out;
  const int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0) return out;
  char bytes[8192];
  for (ssize_t n = 0; (n = ::read(file, bytes, sizeof bytes)) > 0;) out.append(bytes, static_cast<size_t>(n));
  ::close(file);
  return out;
}

std::string proc(pid_t pid, const char* name) { return "/proc/" + std::to_string(pid) + "/" + name; }

// A line such as "VmHWM:     1234 kB"; 0 if there is none.
size_t kilobytes(std::string_view status, std::string_view name) {
  const size_t at = status.find(name);
  if (at == std::string_view::npos) return 0;
  return static_cast<size_t>(std::strtoull(status.data() + at + name.size(), nullptr, 10)) * 1024;
}

struct Stat {
  pid_t parent = 0;
  pid_t session = 0;
  char state = '?';
};

Stat read_stat(pid_t pid) {
  Stat out;
  const std::string text = read_whole(proc(pid, "stat"));
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

// A process that has forked and not yet become its own program still has the memory of this one.
bool is_still_us(pid_t pid) {
  char own[4096], other[4096];
  const ssize_t a = ::readlink("/proc/self/exe", own, sizeof own);
  const ssize_t b = ::readlink(proc(pid, "exe").c_str(), other, sizeof other);
  return b <= 0 || (a == b && std::memcmp(own, other, static_cast<size_t>(a)) == 0);
}

struct Folder {
  size_t counted = 0;
  size_t bytes = 0;
  size_t files = 0;
};

Folder read_folder(const std::filesystem::path& path) {
  Folder out;
  std::error_code error;
  using It = std::filesystem::recursive_directory_iterator;
  for (It it(path, std::filesystem::directory_options::skip_permission_denied, error), end;
       !error && it != end; it.increment(error)) {
    std::error_code gone;  // it may go while it is looked at
    if (!it->is_regular_file(gone) || gone) continue;
    const auto size = it->file_size(gone);
    if (gone) continue;
    struct stat blocks {};  // what a file occupies: a hole takes no memory
    if (::lstat(it->path().c_str(), &blocks) == 0) out.bytes += static_cast<size_t>(blocks.st_blocks) * 512;
    out.counted += block_rounded(size);
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

bool ResourceMeter::is_own(pid_t pid) const {
  const Stat stat = read_stat(pid);
  if (stat.session == relay_ || processes_.contains(stat.parent)) return true;
  if (stat.parent != ::getpid()) return false;
  // Left behind before it was seen: it still has the environment that its relay was given.
  return read_whole(proc(pid, "environ")).find("PROXY_STATE=" + state_.string() + '\0') != std::string::npos;
}

void ResourceMeter::look_for_processes() {
  DIR* all = ::opendir("/proc");
  if (all == nullptr) return;
  std::set<pid_t> seen;
  while (const dirent* entry = ::readdir(all)) {
    const pid_t pid = std::atoi(entry->d_name);
    if (pid > 0) seen.insert(pid);
  }
  ::closedir(all);
  std::erase_if(foreign_, [&](pid_t pid) { return !seen.contains(pid); });
  for (bool found = true; found;) {  // a child of a child that was found in this very look
    found = false;
    for (const pid_t pid : seen) {
      if (processes_.contains(pid) || foreign_.contains(pid)) continue;
      if (is_own(pid)) {
        processes_[pid] = 0;
        found = true;
      }
    }
  }
  for (const pid_t pid : seen) {
    if (!processes_.contains(pid)) foreign_.insert(pid);
  }
  for (auto it = processes_.begin(); it != processes_.end();) {
    if (seen.contains(it->first) || it->first == relay_) {
      // Those that were adopted are ours to bury; the relay itself is whoever's that started it.
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
  look_for_processes();
  for (const auto& [pid, cpu] : processes_) ::kill(pid, number);
}

void ResourceMeter::add_memory(ResourceUsage& out) const {
  size_t alone = 0;
  int living = 0;
  for (const auto& [pid, cpu] : processes_) {
    if (is_still_us(pid)) continue;
    const std::string status = read_whole(proc(pid, "status"));
    const size_t resident = kilobytes(status, "VmRSS:");
    if (resident == 0) continue;
    ++living;
    alone += resident;
    out.peak_resident = std::max(out.peak_resident, kilobytes(status, "VmHWM:"));
  }
  out.resident = alone;
  if (living < 2) return;
  // Pages that they share stand in each one's count; this costs more and counts them once.
  size_t shared_once = 0;
  for (const auto& [pid, cpu] : processes_)
    shared_once += kilobytes(read_whole(proc(pid, "smaps_rollup")), "\nPss:");
  if (shared_once > 0) out.resident = std::min(alone, shared_once);
}

void ResourceMeter::add_descriptors() {
  last_.descriptors = 0;
  last_.sockets = 0;
  std::set<std::string> sockets;
  for (const auto& [pid, cpu] : processes_) {
    if (is_still_us(pid)) continue;
    const std::string folder = proc(pid, "fd");
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
    last_.descriptors = std::max(last_.descriptors, count);
  }
  last_.sockets = static_cast<int>(sockets.size());
}

void ResourceMeter::read_folders(Time now) {
  const Time begin = steady_now();
  const Folder state = read_folder(state_);
  last_.disk = state.counted;
  last_.files = state.files;
  last_.temporary = read_folder(temporary_).bytes;
  read_next_ = now + std::max(kFolderScanInterval, kFolderScanIdleFactor * (steady_now() - begin));
}

ResourceUsage ResourceMeter::sample(Time now) {
  if (now - looked_ >= kProcessScanInterval) {
    looked_ = now;
    look_for_processes();
  }
  if (now >= read_next_) read_folders(now);
  if (now - counted_ >= kDescriptorCountInterval) {
    counted_ = now;
    add_descriptors();
  }
  ResourceUsage out = last_;
  add_memory(out);
  for (auto& [pid, cpu] : processes_) cpu = std::max(cpu, process_cpu(pid));
  out.cpu = cpu();
  out.processes = static_cast<int>(processes_.size());
  return out;
}

}  // namespace umberhoist::limits

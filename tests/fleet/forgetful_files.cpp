// In place of state/files.cpp in a test-only program: a disk that loses power with the process. What was
// written and not synced is kept in the process's memory, and of it by seed nothing, a part, or blocks out of
// order have reached the file when SIGKILL comes. Which files there are under which names is not delayed.
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>
#include <map>
#include <mutex>
#include <random>
#include <stdexcept>

#include "state/files.h"

namespace umberhoist::state {
namespace {

class ForgetfulFiles : public Files {
 public:
  ForgetfulFiles(std::filesystem::path folder, bool read_only)
      : folder_(std::move(folder)), read_only_(read_only) {
    const char* seed = std::getenv("UMBERHOIST_POWER_SEED");
    random_.seed(seed == nullptr ? 1 : std::strtoull(seed, nullptr, 10));
  }
  std::vector<std::string> list() override {
    std::vector<std::string> out;
    std::error_code error;
    for (std::filesystem::directory_iterator it(folder_, error), end; !error && it != end;
         it.increment(error)) {
      out.push_back(it->path().filename());
    }
    return out;
  }
  int create(const std::string& name) override {
    const int file =
        read_only_ ? -1 : ::open((folder_ / name).c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    const std::lock_guard lock(mutex_);
    if (file >= 0) open_[file] = {};
    return file;
  }
  int open(const std::string& name) override {
    return ::open((folder_ / name).c_str(), O_RDONLY | O_CLOEXEC);
  }
  ssize_t append(int file, std::string_view bytes) override {
    const std::lock_guard lock(mutex_);
    Open& of = open_[file];
    of.pending.append(bytes);
    // The system writes back when it likes: some block of what waits, the others not yet.
    if (random_() % 4 == 0 && !of.pending.empty()) {
      const size_t block = random_() % ((of.pending.size() + kDiskBlockBytes - 1) / kDiskBlockBytes);
      const std::string_view some =
          std::string_view(of.pending).substr(block * kDiskBlockBytes, kDiskBlockBytes);
      if (::pwrite(file, some.data(), some.size(), static_cast<off_t>(of.safe + block * kDiskBlockBytes)) < 0)
        return -1;
    }
    return static_cast<ssize_t>(bytes.size());
  }
  ssize_t read(int file, size_t at, char* to, size_t most) override {
    const std::lock_guard lock(mutex_);
    const auto of = open_.find(file);
    if (of == open_.end() || of->second.pending.empty())
      return ::pread(file, to, most, static_cast<off_t>(at));
    if (at >= of->second.safe) {
      const std::string& pending = of->second.pending;
      if (at - of->second.safe >= pending.size()) return 0;
      return static_cast<ssize_t>(pending.copy(to, most, at - of->second.safe));
    }
    return ::pread(file, to, std::min(most, of->second.safe - at), static_cast<off_t>(at));
  }
  ssize_t size(int file) override {
    const std::lock_guard lock(mutex_);
    const auto of = open_.find(file);
    if (of != open_.end()) return static_cast<ssize_t>(of->second.safe + of->second.pending.size());
    struct stat facts {};
    return ::fstat(file, &facts) == 0 ? static_cast<ssize_t>(facts.st_size) : -1;
  }
  bool truncate(int file, size_t size) override {
    const std::lock_guard lock(mutex_);
    Open& of = open_[file];
    if (size >= of.safe) {
      of.pending.resize(size - of.safe);
      return ::ftruncate(file, static_cast<off_t>(of.safe)) == 0;
    }
    of.pending.clear();
    of.safe = size;
    return ::ftruncate(file, static_cast<off_t>(size)) == 0;
  }
  bool rename(const std::string& from, const std::string& to) override {
    return !read_only_ && ::rename((folder_ / from).c_str(), (folder_ / to).c_str()) == 0;
  }
  bool remove(const std::string& name) override {
    return !read_only_ && ::unlink((folder_ / name).c_str()) == 0;
  }
  bool sync(int file) override {
    const std::lock_guard lock(mutex_);
    Open& of = open_[file];
    if (of.pending.empty()) return true;  // also of a file that is only read
    if (::pwrite(file, of.pending.data(), of.pending.size(), static_cast<off_t>(of.safe)) !=
        static_cast<ssize_t>(of.pending.size())) {
      return false;
    }
    of.safe += of.pending.size();
    of.pending.clear();
    return true;
  }
  bool sync_folder() override { return true; }
  void drop_page_cache(int) override {}
  void close(int file) override {
    sync(file);  // whoever opens it again in this process reads what was written
    const std::lock_guard lock(mutex_);
    open_.erase(file);
    ::close(file);
  }

 private:
  struct Open {
    size_t safe = 0;
    std::string pending;
  };
  std::filesystem::path folder_;
  bool read_only_;
  std::mutex mutex_;
  std::map<int, Open> open_;
  std::mt19937_64 random_;
};

}  // namespace

std::unique_ptr<Files> make_posix_files(const std::filesystem::path& folder, bool read_only) {
  if (!std::filesystem::is_directory(folder)) throw std::runtime_error("state folder " + folder.string());
  return std::make_unique<ForgetfulFiles>(folder, read_only);
}

}  // namespace umberhoist::state

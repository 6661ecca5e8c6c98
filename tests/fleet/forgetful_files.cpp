// Replaces state/files.cpp in a test-only program and simulates a power loss at SIGKILL. Unsynced writes are
// kept in memory; depending on the seed, none, some, or some blocks out of order have reached the file when
// the process is killed. Creation, renaming and removal of files take effect at once.
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
    if (file >= 0) unsynced_[file] = {};
    return file;
  }
  int open(const std::string& name) override {
    return ::open((folder_ / name).c_str(), O_RDONLY | O_CLOEXEC);
  }
  ssize_t append(int file, std::string_view bytes) override {
    const std::lock_guard lock(mutex_);
    UnsyncedFile& file_state = unsynced_[file];
    file_state.pending.append(bytes);
    // Like the kernel, write some pending block back early, before the others.
    if (random_() % 4 == 0 && !file_state.pending.empty()) {
      const size_t block = random_() % ((file_state.pending.size() + kDiskBlockBytes - 1) / kDiskBlockBytes);
      const std::string_view block_bytes =
          std::string_view(file_state.pending).substr(block * kDiskBlockBytes, kDiskBlockBytes);
      if (::pwrite(file, block_bytes.data(), block_bytes.size(),
                   static_cast<off_t>(file_state.synced_bytes + block * kDiskBlockBytes)) < 0)
        return -1;
    }
    return static_cast<ssize_t>(bytes.size());
  }
  ssize_t read(int file, size_t at, char* to, size_t max_bytes) override {
    const std::lock_guard lock(mutex_);
    const auto file_state = unsynced_.find(file);
    if (file_state == unsynced_.end() || file_state->second.pending.empty())
      return ::pread(file, to, max_bytes, static_cast<off_t>(at));
    if (at >= file_state->second.synced_bytes) {
      const std::string& pending = file_state->second.pending;
      if (at - file_state->second.synced_bytes >= pending.size()) return 0;
      return static_cast<ssize_t>(pending.copy(to, max_bytes, at - file_state->second.synced_bytes));
    }
    return ::pread(file, to, std::min(max_bytes, file_state->second.synced_bytes - at),
                   static_cast<off_t>(at));
  }
  ssize_t size(int file) override {
    const std::lock_guard lock(mutex_);
    const auto file_state = unsynced_.find(file);
    if (file_state != unsynced_.end())
      return static_cast<ssize_t>(file_state->second.synced_bytes + file_state->second.pending.size());
    struct stat status {};
    return ::fstat(file, &status) == 0 ? static_cast<ssize_t>(status.st_size) : -1;
  }
  bool truncate(int file, size_t size) override {
    const std::lock_guard lock(mutex_);
    UnsyncedFile& file_state = unsynced_[file];
    if (size >= file_state.synced_bytes) {
      file_state.pending.resize(size - file_state.synced_bytes);
      return ::ftruncate(file, static_cast<off_t>(file_state.synced_bytes)) == 0;
    }
    file_state.pending.clear();
    file_state.synced_bytes = size;
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
    UnsyncedFile& file_state = unsynced_[file];
    if (file_state.pending.empty()) return true;  // also true of files opened for reading
    if (::pwrite(file, file_state.pending.data(), file_state.pending.size(),
                 static_cast<off_t>(file_state.synced_bytes)) !=
        static_cast<ssize_t>(file_state.pending.size())) {
      return false;
    }
    file_state.synced_bytes += file_state.pending.size();
    file_state.pending.clear();
    return true;
  }
  bool sync_folder() override { return true; }
  void drop_page_cache(int) override {}
  void close(int file) override {
    sync(file);  // so that a later open in this process reads what was written
    const std::lock_guard lock(mutex_);
    unsynced_.erase(file);
    ::close(file);
  }

 private:
  struct UnsyncedFile {
    size_t synced_bytes = 0;
    std::string pending;
  };
  std::filesystem::path folder_;
  bool read_only_;
  std::mutex mutex_;
  std::map<int, UnsyncedFile> unsynced_;
  std::mt19937_64 random_;
};

}  // namespace

std::unique_ptr<Files> make_posix_files(const std::filesystem::path& folder, bool read_only) {
  if (!std::filesystem::is_directory(folder)) throw std::runtime_error("state folder " + folder.string());
  return std::make_unique<ForgetfulFiles>(folder, read_only);
}

}  // namespace umberhoist::state

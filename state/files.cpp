#include "state/files.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <stdexcept>

namespace umberhoist::state {
namespace {

class PosixFiles : public Files {
 public:
  PosixFiles(std::filesystem::path folder, bool read_only)
      : folder_(std::move(folder)), read_only_(read_only) {}

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
    if (read_only_) return -1;
    return ::open(path(name).c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
  }
  int open(const std::string& name) override { return ::open(path(name).c_str(), O_RDONLY | O_CLOEXEC); }
  ssize_t append(int file, std::string_view bytes) override {
    ssize_t done = 0;
    do {
      done = ::write(file, bytes.data(), bytes.size());
    } while (done < 0 && errno == EINTR);
    return done;
  }
  ssize_t read(int file, size_t offset, char* buffer, size_t max_bytes) override {
    ssize_t done = 0;
    do {
      done = ::pread(file, buffer, max_bytes, static_cast<off_t>(offset));
    } while (done < 0 && errno == EINTR);
    return done;
  }
  ssize_t size(int file) override {
    struct stat status {};
    return ::fstat(file, &status) == 0 ? static_cast<ssize_t>(status.st_size) : -1;
  }
  bool truncate(int file, size_t size) override { return ::ftruncate(file, static_cast<off_t>(size)) == 0; }
  bool rename(const std::string& from, const std::string& to) override {
    return !read_only_ && ::rename(path(from).c_str(), path(to).c_str()) == 0;
  }
  bool remove(const std::string& name) override { return !read_only_ && ::unlink(path(name).c_str()) == 0; }
  bool sync(int file) override { return ::fdatasync(file) == 0; }
  bool sync_folder() override {
    const int folder = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0) return false;
    const bool ok = ::fsync(folder) == 0;
    ::close(folder);
    return ok;
  }
  void drop_page_cache(int file) override { ::posix_fadvise(file, 0, 0, POSIX_FADV_DONTNEED); }
  void close(int file) override { ::close(file); }

 private:
  std::string path(const std::string& name) const { return folder_ / name; }
  std::filesystem::path folder_;
  bool read_only_;
};

}  // namespace

std::unique_ptr<Files> make_posix_files(const std::filesystem::path& folder, bool read_only) {
  std::error_code error;
  const bool exists = std::filesystem::is_directory(folder, error);
  if (!exists || ::access(folder.c_str(), R_OK | X_OK | (read_only ? 0 : W_OK)) != 0) {
    throw std::runtime_error("state folder " + folder.string() + ": " +
                             (exists ? std::strerror(errno) : "no such folder") +
                             "; expected a folder that can be read" + (read_only ? "" : " and written"));
  }
  return std::make_unique<PosixFiles>(folder, read_only);
}

}  // namespace umberhoist::state

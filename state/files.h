// The file system below the journal: one folder, files that only grow at their end. An interface, so that a
// test can fail, cut or stop every operation in turn.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace umberhoist::state {

constexpr size_t kDiskBlockBytes =
    512;  // the platform counts each file in whole ones (deployment page, "Disk")
constexpr size_t block_rounded(size_t bytes) {
  return (bytes + kDiskBlockBytes - 1) / kDiskBlockBytes * kDiskBlockBytes;
}

// Nothing here throws. A file is a small number, negative where there is none.
class Files {
 public:
  virtual ~Files() = default;
  virtual std::vector<std::string> list() = 0;
  virtual int create(const std::string& name) = 0;               // empty, also if one was there
  virtual int open(const std::string& name) = 0;                 // to be read
  virtual ssize_t append(int file, std::string_view bytes) = 0;  // may write fewer; negative: none
  virtual ssize_t read(int file, size_t at, char* to, size_t most) = 0;
  virtual ssize_t size(int file) = 0;
  virtual bool truncate(int file, size_t size) = 0;
  virtual bool rename(const std::string& from, const std::string& to) = 0;
  virtual bool remove(const std::string& name) = 0;
  // Only then a power loss leaves it: a file's bytes; and which files there are, under which names. The first
  // may be called by another thread than all else, for a file that is not closed meanwhile.
  virtual bool sync(int file) = 0;
  virtual bool sync_folder() = 0;
  // What is read next comes from the disk: after a failed sync of an earlier process it may not be what that
  // one had written, though it can be read.
  virtual void drop_page_cache(int file) = 0;
  virtual void close(int file) = 0;
};

// Throws std::runtime_error if the folder cannot be used. `read_only`: nothing in it is ever changed, and all
// that would change it fails.
std::unique_ptr<Files> make_posix_files(const std::filesystem::path& folder, bool read_only = false);

}  // namespace umberhoist::state

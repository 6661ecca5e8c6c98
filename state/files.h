// File access for the journal and the register's log: one folder of append-only files. It is an interface so
// that tests can make any operation fail, write only a part or stop.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace umberhoist::state {

// The platform rounds each file's size up to this unit (deployment page, "Disk").
constexpr size_t kDiskBlockBytes = 512;
constexpr size_t block_rounded(size_t bytes) {
  return (bytes + kDiskBlockBytes - 1) / kDiskBlockBytes * kDiskBlockBytes;
}

// No method throws. Files are identified by descriptors; a negative descriptor means that the call failed.
class Files {
 public:
  virtual ~Files() = default;
  virtual std::vector<std::string> list() = 0;
  virtual int create(const std::string& name) = 0;               // truncates an existing file
  virtual int open(const std::string& name) = 0;                 // for reading
  virtual ssize_t append(int file, std::string_view bytes) = 0;  // may write fewer bytes; negative: error
  virtual ssize_t read(int file, size_t offset, char* buffer, size_t max_bytes) = 0;
  virtual ssize_t size(int file) = 0;
  virtual bool truncate(int file, size_t size) = 0;
  virtual bool rename(const std::string& from, const std::string& to) = 0;
  virtual bool remove(const std::string& name) = 0;
  // What survives a power loss: sync() covers the bytes of one file, sync_folder() which files exist under
  // which names. Both may run in another thread than all other calls; the file of sync() must not be closed
  // meanwhile.
  virtual bool sync(int file) = 0;
  virtual bool sync_folder() = 0;
  // Makes the next read come from the disk: after a failed sync of an earlier process, the page cache may
  // still hold bytes that never reached the disk.
  virtual void drop_page_cache(int file) = 0;
  virtual void close(int file) = 0;
};

// Throws std::runtime_error if the folder cannot be used. With `read_only`, every operation that would change
// the folder fails.
std::unique_ptr<Files> make_posix_files(const std::filesystem::path& folder, bool read_only = false);

}  // namespace umberhoist::state

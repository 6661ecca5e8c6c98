// In-memory implementation of Files with fault injection. It logs each change, so that a test can reconstruct
// the folder as a kill at any byte would leave it. Operations can be made to fail without effect, after part
// of a write, or after all of it. It tracks what was synced, to produce folders as a power loss could leave
// them.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "state/files.h"

namespace umberhoist::state {

using Contents = std::map<std::string, std::string>;

class MemoryFiles : public Files {
 public:
  struct Change {
    enum class Type { kCreate, kAppend, kTruncate, kRename, kRemove } type = Type::kAppend;
    std::string name;
    std::string bytes;  // the bytes appended, or the new name of a renamed file
    size_t size = 0;    // the size after truncation
  };

  MemoryFiles() = default;
  explicit MemoryFiles(const Contents& contents) {
    for (const auto& [name, bytes] : contents) files_[name] = std::make_shared<File>(File{bytes, bytes, {}});
    synced_folder_ = files_;
  }

  Contents contents() const {
    Contents out;
    for (const auto& [name, file] : files_) out[name] = file->bytes;
    return out;
  }

  // A folder as a power loss could leave it: any subset of the changes to the folder since its last sync,
  // each atomic; of a file's unsynced bytes any subset of its 512-byte blocks, with zeros for the others, and
  // any length.
  Contents after_power_loss(std::mt19937_64& random) const {
    Folder folder = synced_folder_;
    for (const auto& change : unsynced_changes_) {
      if (random() % 2 == 0) continue;
      if (change.type == Change::Type::kCreate) folder[change.name] = change.file;
      if (change.type == Change::Type::kRemove) folder.erase(change.name);
      if (change.type == Change::Type::kRename && folder.contains(change.name)) {
        folder[change.target] = folder.at(change.name);
        folder.erase(change.name);
      }
    }
    Contents out;
    for (const auto& [name, file] : folder) {
      const size_t synced_size = std::min(file->synced.size(), file->bytes.size());
      const size_t max_size = std::max(file->synced.size(), file->bytes.size());
      std::string contents = file->synced.substr(0, synced_size);
      contents.resize(random() % 3 == 0 ? max_size : synced_size + random() % (max_size - synced_size + 1),
                      '\0');
      const std::string current = file->disk_bytes();
      for (size_t offset = synced_size; offset < contents.size();) {
        const size_t end = std::min(contents.size(), (offset / kDiskBlockBytes + 1) * kDiskBlockBytes);
        const bool block_survives = random() % 2 == 0;
        for (; offset < end; ++offset) {
          if (block_survives && offset < current.size()) contents[offset] = current[offset];
        }
      }
      out[name] = std::move(contents);
    }
    return out;
  }
  std::vector<Change> changes;
  size_t max_used_bytes = 0;         // highest disk usage so far, in whole blocks
  size_t capacity = SIZE_MAX;        // writes beyond it fail as with ENOSPC
  size_t disk_full_from = SIZE_MAX;  // after this many changes no further block can be allocated
  int64_t fail_from = INT64_MAX;     // changes with numbers from fail_from to below fail_until fail
  int64_t fail_until = INT64_MAX;
  bool fail_after_partial_write = false;  // part of the bytes is written before the error
  bool fail_after_full_write = false;     // all of the bytes are written before the error
  bool fail_sync = false;                 // and no later sync writes what the failed one should have covered
  bool fail_truncate = false;             // so a failed write cannot be undone

  static void apply(Contents& target, const Change& change, size_t prefix) {
    switch (change.type) {
      case Change::Type::kCreate:
        target[change.name].clear();
        return;
      case Change::Type::kAppend:
        target[change.name].append(change.bytes, 0, prefix);
        return;
      case Change::Type::kTruncate:
        target[change.name].resize(change.size);
        return;
      case Change::Type::kRename:
        target[change.bytes] = std::move(target[change.name]);
        target.erase(change.name);
        return;
      case Change::Type::kRemove:
        target.erase(change.name);
        return;
    }
  }

  std::vector<std::string> list() override {
    std::vector<std::string> out;
    for (const auto& [name, bytes] : files_) out.push_back(name);
    return out;
  }
  int create(const std::string& name) override {
    if (should_fail()) return -1;
    files_[name] = std::make_shared<File>();
    unsynced_changes_.push_back({Change::Type::kCreate, name, "", files_[name]});
    log_change({Change::Type::kCreate, name, "", 0});
    return open_handle(name);
  }
  int open(const std::string& name) override { return files_.contains(name) ? open_handle(name) : -1; }
  ssize_t append(int file, std::string_view bytes) override {
    const auto& [name, file_data] = handles_[static_cast<size_t>(file)];
    std::string* const target = &file_data->bytes;
    size_t writable = bytes.size();
    const size_t limit = changes.size() >= disk_full_from ? 0 : capacity;
    if (const size_t current = total_disk_usage();
        current - block_rounded(target->size()) + block_rounded(target->size() + writable) > limit) {
      writable =
          std::min(writable, block_rounded(target->size()) - target->size());  // to the end of its block
    }
    const bool failing = should_fail();
    if (failing && !fail_after_full_write)
      writable = fail_after_partial_write ? std::min(writable, bytes.size() / 2) : 0;
    if (writable == 0) return -1;
    target->append(bytes.substr(0, writable));
    log_change({Change::Type::kAppend, name, std::string(bytes.substr(0, writable)), 0});
    return failing && fail_after_full_write ? -1 : static_cast<ssize_t>(writable);
  }
  ssize_t read(int file, size_t offset, char* target, size_t max_bytes) override {
    const auto& bytes = handles_[static_cast<size_t>(file)].second->bytes;
    if (offset >= bytes.size()) return 0;
    return static_cast<ssize_t>(bytes.copy(target, max_bytes, offset));
  }
  ssize_t size(int file) override {
    return static_cast<ssize_t>(handles_[static_cast<size_t>(file)].second->bytes.size());
  }
  bool truncate(int file, size_t size) override {
    if (fail_truncate) return false;
    const auto& [name, file_data] = handles_[static_cast<size_t>(file)];
    file_data->bytes.resize(size);
    log_change({Change::Type::kTruncate, name, "", size});
    return true;
  }
  bool rename(const std::string& from, const std::string& target) override {
    if (should_fail()) return false;
    files_[target] = files_[from];
    files_.erase(from);
    unsynced_changes_.push_back({Change::Type::kRename, from, target, nullptr});
    log_change({Change::Type::kRename, from, target, 0});
    return true;
  }
  bool remove(const std::string& name) override {
    if (should_fail()) return false;
    files_.erase(name);
    unsynced_changes_.push_back({Change::Type::kRemove, name, "", nullptr});
    log_change({Change::Type::kRemove, name, "", 0});
    return true;
  }
  bool sync(int file) override {
    File& file_data = *handles_[static_cast<size_t>(file)].second;
    if (!fail_sync) {
      file_data.synced = file_data.disk_bytes();
      return true;
    }
    if (file_data.bytes.size() > file_data.synced.size())
      file_data.lost_ranges.emplace_back(file_data.synced.size(), file_data.bytes.size());
    return false;
  }
  bool sync_folder() override {
    if (fail_sync) return false;
    synced_folder_ = files_;
    unsynced_changes_.clear();
    return true;
  }
  void drop_page_cache(int file) override {
    File& file_data = *handles_[static_cast<size_t>(file)].second;
    file_data.bytes = file_data.disk_bytes();
    file_data.lost_ranges.clear();
  }
  void close(int) override {}

 private:
  struct File {
    std::string bytes;   // as the process sees it
    std::string synced;  // as the disk has it
    std::vector<std::pair<size_t, size_t>> lost_ranges;

    std::string disk_bytes() const {
      std::string out = bytes;
      for (const auto& [begin, end] : lost_ranges) {
        for (size_t i = begin; i < std::min(end, out.size()); ++i) out[i] = '\0';
      }
      return out;
    }
  };
  using Folder = std::map<std::string, std::shared_ptr<File>>;
  struct FolderChange {
    Change::Type type = Change::Type::kCreate;
    std::string name, target;
    std::shared_ptr<File> file;
  };

  int open_handle(const std::string& name) {
    handles_.emplace_back(name, files_.at(name));
    return static_cast<int>(handles_.size()) - 1;
  }
  size_t total_disk_usage() const {
    size_t out = 0;
    for (const auto& [name, file] : files_) out += block_rounded(file->bytes.size());
    return out;
  }
  bool should_fail() {
    const auto number = operation_count_++;
    return number >= fail_from && number < fail_until;
  }
  void log_change(Change change) {
    changes.push_back(std::move(change));
    max_used_bytes = std::max(max_used_bytes, total_disk_usage());
  }

  Folder files_;
  Folder synced_folder_;
  std::vector<FolderChange> unsynced_changes_;
  std::vector<std::pair<std::string, std::shared_ptr<File>>> handles_;
  int64_t operation_count_ = 0;
};

}  // namespace umberhoist::state

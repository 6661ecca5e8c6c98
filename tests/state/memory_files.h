// A folder in memory that remembers each change, so that a test can look at it as a kill at any byte would
// leave it, and that fails on command: nothing, an error, part of a write and then an error, or all of it and
// an error all the same. It knows what was synced, too: a power loss keeps that, and of the rest what it
// likes.
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
    std::string bytes;  // appended, or the new name
    size_t size = 0;    // after truncation
  };

  MemoryFiles() = default;
  explicit MemoryFiles(const Contents& contents) {
    for (const auto& [name, bytes] : contents) files_[name] = std::make_shared<File>(File{bytes, bytes, {}});
    on_disk_ = files_;
  }

  Contents contents() const {
    Contents out;
    for (const auto& [name, file] : files_) out[name] = file->bytes;
    return out;
  }

  // What a power loss may leave: of the changes to the folder since it was synced any, each whole; of a
  // file's unsynced bytes any blocks of 512, zeros in place of the others, and any length.
  Contents after_power_loss(std::mt19937_64& random) const {
    Folder folder = on_disk_;
    for (const auto& change : unsynced_) {
      if (random() % 2 == 0) continue;
      if (change.type == Change::Type::kCreate) folder[change.name] = change.file;
      if (change.type == Change::Type::kRemove) folder.erase(change.name);
      if (change.type == Change::Type::kRename && folder.contains(change.name)) {
        folder[change.to] = folder.at(change.name);
        folder.erase(change.name);
      }
    }
    Contents out;
    for (const auto& [name, file] : folder) {
      const size_t sure = std::min(file->synced.size(), file->bytes.size());
      const size_t longest = std::max(file->synced.size(), file->bytes.size());
      std::string left = file->synced.substr(0, sure);
      left.resize(random() % 3 == 0 ? longest : sure + random() % (longest - sure + 1), '\0');
      const std::string now = file->written();
      for (size_t at = sure; at < left.size();) {
        const size_t end = std::min(left.size(), (at / kDiskBlockBytes + 1) * kDiskBlockBytes);
        const bool kept = random() % 2 == 0;
        for (; at < end; ++at) {
          if (kept && at < now.size()) left[at] = now[at];
        }
      }
      out[name] = std::move(left);
    }
    return out;
  }
  std::vector<Change> changes;
  size_t max_used_bytes = 0;         // counted as the platform does, at any instant
  size_t capacity = SIZE_MAX;        // ENOSPC past it
  size_t disk_full_from = SIZE_MAX;  // so many changes, and then there is no room for another block
  int64_t fail_from = INT64_MAX;     // changes by their number: these fail,
  int64_t fail_until = INT64_MAX;
  bool fail_after_partial_write = false;  // after part of a write
  bool fail_after_full_write = false;     // after all of it
  bool fail_sync = false;                 // and what it should have covered is never written by a later one
  bool fail_truncate = false;             // and it cannot be cut off again

  static void apply(Contents& to, const Change& change, size_t prefix) {
    switch (change.type) {
      case Change::Type::kCreate:
        to[change.name].clear();
        return;
      case Change::Type::kAppend:
        to[change.name].append(change.bytes, 0, prefix);
        return;
      case Change::Type::kTruncate:
        to[change.name].resize(change.size);
        return;
      case Change::Type::kRename:
        to[change.bytes] = std::move(to[change.name]);
        to.erase(change.name);
        return;
      case Change::Type::kRemove:
        to.erase(change.name);
        return;
    }
  }

  std::vector<std::string> list() override {
    std::vector<std::string> out;
    for (const auto& [name, bytes] : files_) out.push_back(name);
    return out;
  }
  int create(const std::string& name) override {
    if (fails()) return -1;
    files_[name] = std::make_shared<File>();
    unsynced_.push_back({Change::Type::kCreate, name, "", files_[name]});
    note({Change::Type::kCreate, name, "", 0});
    return handle(name);
  }
  int open(const std::string& name) override { return files_.contains(name) ? handle(name) : -1; }
  ssize_t append(int file, std::string_view bytes) override {
    const auto& [name, of] = handles_[static_cast<size_t>(file)];
    std::string* const to = &of->bytes;
    size_t room = bytes.size();
    const size_t limit = changes.size() >= disk_full_from ? 0 : capacity;
    if (const size_t now = total();
        now - block_rounded(to->size()) + block_rounded(to->size() + room) > limit) {
      room = std::min(room, block_rounded(to->size()) - to->size());  // to the end of its block
    }
    const bool failing = fails();
    if (failing && !fail_after_full_write)
      room = fail_after_partial_write ? std::min(room, bytes.size() / 2) : 0;
    if (room == 0) return -1;
    to->append(bytes.substr(0, room));
    note({Change::Type::kAppend, name, std::string(bytes.substr(0, room)), 0});
    return failing && fail_after_full_write ? -1 : static_cast<ssize_t>(room);
  }
  ssize_t read(int file, size_t at, char* to, size_t count) override {
    const auto& bytes = handles_[static_cast<size_t>(file)].second->bytes;
    if (at >= bytes.size()) return 0;
    return static_cast<ssize_t>(bytes.copy(to, count, at));
  }
  ssize_t size(int file) override {
    return static_cast<ssize_t>(handles_[static_cast<size_t>(file)].second->bytes.size());
  }
  bool truncate(int file, size_t size) override {
    if (fail_truncate) return false;
    const auto& [name, of] = handles_[static_cast<size_t>(file)];
    of->bytes.resize(size);
    note({Change::Type::kTruncate, name, "", size});
    return true;
  }
  bool rename(const std::string& from, const std::string& to) override {
    if (fails()) return false;
    files_[to] = files_[from];
    files_.erase(from);
    unsynced_.push_back({Change::Type::kRename, from, to, nullptr});
    note({Change::Type::kRename, from, to, 0});
    return true;
  }
  bool remove(const std::string& name) override {
    if (fails()) return false;
    files_.erase(name);
    unsynced_.push_back({Change::Type::kRemove, name, "", nullptr});
    note({Change::Type::kRemove, name, "", 0});
    return true;
  }
  bool sync(int file) override {
    File& of = *handles_[static_cast<size_t>(file)].second;
    if (!fail_sync) {
      of.synced = of.written();
      return true;
    }
    if (of.bytes.size() > of.synced.size()) of.lost.emplace_back(of.synced.size(), of.bytes.size());
    return false;
  }
  bool sync_folder() override {
    if (fail_sync) return false;
    on_disk_ = files_;
    unsynced_.clear();
    return true;
  }
  void drop_page_cache(int file) override {
    File& of = *handles_[static_cast<size_t>(file)].second;
    of.bytes = of.written();
    of.lost.clear();
  }
  void close(int) override {}

 private:
  struct File {
    std::string bytes;   // as the process sees it
    std::string synced;  // as the disk has it
    std::vector<std::pair<size_t, size_t>> lost;

    std::string written() const {
      std::string out = bytes;
      for (const auto& [from, to] : lost) {
        for (size_t i = from; i < std::min(to, out.size()); ++i) out[i] = '\0';
      }
      return out;
    }
  };
  using Folder = std::map<std::string, std::shared_ptr<File>>;
  struct FolderChange {
    Change::Type type = Change::Type::kCreate;
    std::string name, to;
    std::shared_ptr<File> file;
  };

  int handle(const std::string& name) {
    handles_.emplace_back(name, files_.at(name));
    return static_cast<int>(handles_.size()) - 1;
  }
  size_t total() const {
    size_t out = 0;
    for (const auto& [name, file] : files_) out += block_rounded(file->bytes.size());
    return out;
  }
  bool fails() {
    const auto number = tried_++;
    return number >= fail_from && number < fail_until;
  }
  void note(Change change) {
    changes.push_back(std::move(change));
    max_used_bytes = std::max(max_used_bytes, total());
  }

  Folder files_;
  Folder on_disk_;
  std::vector<FolderChange> unsynced_;
  std::vector<std::pair<std::string, std::shared_ptr<File>>> handles_;
  int64_t tried_ = 0;
};

}  // namespace umberhoist::state

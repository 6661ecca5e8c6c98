// Durable state of a voter: its identity, term, vote, log and snapshot, on top of state::Files. What a call
// that returned true has written is never lost silently: missing or damaged data is told apart from a write
// that a crash interrupted (docs/design/register.md, "The folder").
//
// Files:
//   vote-a, vote-b   the vote record, in two copies: a flipped byte or a torn write damages only one of them
//   log-N            log entries, in frames; the vote record holds its durable length
//   snapshot-N       the state at command N, in one frame
//   peers            durable writes seen of each other voter, so that it can be told if its folder is out of
//   date
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "state/files.h"

namespace umberhoist::reg {

struct StoredEntry {
  uint64_t index = 0;
  uint64_t term = 0;
  uint16_t type = 0;
  std::string data;
  bool operator==(const StoredEntry&) const = default;
};

struct StoredSnapshot {
  uint64_t index = 0;
  uint64_t term = 0;
  std::string configuration;
  uint64_t configuration_index = 0;
  std::string data;
  bool operator==(const StoredSnapshot&) const = default;
};

constexpr uint32_t kUnconfirmedIncarnationStep =
    1000;  // skips incarnations that may exist without being known here
constexpr size_t kMaxEntryBytes = 1024 * 1024;
constexpr size_t kMaxSnapshotBytes = 16 * 1024 * 1024;

class Storage {
 public:
  enum class FolderState {
    kEmpty,  // no vote record and no log
    kIntact,
    kDamaged,  // durable data cannot be read any more
    kForeign,  // another relay's folder
  };

  // Reads the folder. Changes it only to complete or undo a write that a crash interrupted.
  Storage(state::Files& files, std::string name);

  FolderState folder_state() const { return folder_state_; }
  const std::string& diagnostic() const { return diagnostic_; }  // one line on what is wrong; empty: nothing

  // Starts with empty state under this identity. Earlier files are renamed to "aside-..."; only the newest
  // such set is kept.
  bool initialize(uint64_t generation, uint64_t identity);

  uint64_t generation() const { return vote_.generation; }
  uint64_t identity() const { return vote_.identity; }
  uint64_t durable_writes() const { return vote_.durable_writes; }  // number of completed durable writes
  // The count as loaded: later writes say nothing about whether the folder was up to date.
  uint64_t loaded_durable_writes() const { return loaded_durable_writes_; }
  uint64_t term() const { return vote_.term; }
  uint64_t voted_for() const { return vote_.voted_for; }
  const std::deque<StoredEntry>& entries() const { return entries_; }
  const std::optional<StoredSnapshot>& snapshot() const { return snapshot_; }
  uint64_t first_index() const { return entries_.empty() ? last_index() + 1 : entries_.front().index; }
  uint64_t last_index() const;

  // Each returns true once its change is durable. False: a disk operation failed, the change may or may not
  // be on disk, and all further calls fail until the folder is read again.
  bool set_term(uint64_t term);
  bool set_vote(uint64_t candidate);
  bool append(const std::vector<StoredEntry>& entries);
  bool truncate(uint64_t from);  // removes this entry and all later ones
  // Removes the entries up to the snapshot, except the last `trailing` ones.
  bool put_snapshot(StoredSnapshot snapshot, uint64_t trailing);
  bool failed() const { return failed_; }

  // Highest count of durable writes seen of another voter. Durable when it returns true.
  bool record_peer(uint64_t identity, uint64_t durable_writes);
  uint64_t peer_durable_writes(uint64_t identity) const;
  // The identity with the highest incarnation seen of a slot; 0: none.
  uint64_t newest_identity(uint32_t slot) const;
  const std::map<uint64_t, uint64_t>& peers() const { return peers_; }

  static constexpr uint64_t make_identity(uint32_t slot, uint32_t incarnation) {
    return (uint64_t{slot} << 24) | incarnation;
  }
  static constexpr uint32_t slot_of(uint64_t identity) { return static_cast<uint32_t>(identity >> 24); }
  static constexpr uint32_t incarnation_of(uint64_t identity) { return identity & 0xffffff; }

 private:
  struct VoteRecord {
    uint64_t durable_writes = 0;
    uint64_t generation = 0;
    uint64_t identity = 0;
    uint64_t term = 0;
    uint64_t voted_for = 0;
    uint64_t log_number = 0;         // number of the log file
    uint64_t durable_log_bytes = 0;  // of the log file
    uint64_t snapshot_index = 0;     // index of the snapshot; 0: none
  };

  void load();
  void load_peers();
  bool load_log();
  bool load_snapshot();
  std::optional<VoteRecord> read_vote_copy(const std::string& name, bool& foreign);
  bool write_vote_record();  // writes the vote record in both copies
  bool write_vote_copy(const std::string& name);
  bool start_log(uint64_t number);  // with the content of entries_
  bool write_file(const std::string& name, const std::string& bytes);
  std::optional<std::string> read_file(const std::string& name, size_t max_bytes);
  bool write(int file, std::string_view bytes);
  bool fail(const char* what);

  state::Files& files_;
  std::string name_;
  FolderState folder_state_ = FolderState::kEmpty;
  std::string diagnostic_;
  VoteRecord vote_;
  std::deque<StoredEntry> entries_;
  std::optional<StoredSnapshot> snapshot_;
  std::map<uint64_t, uint64_t> peers_;
  size_t peers_bytes_ = 0;
  uint64_t loaded_durable_writes_ = 0;
  int log_file_ = -1;
  int peers_file_ = -1;
  bool failed_ = false;
};

// Frame of a file: length, checksum, payload. read_storage_frame advances `at` past it, or returns nullopt if
// it is torn, damaged or larger than `max_bytes`.
std::string encode_storage_frame(std::string_view payload);
std::optional<std::string> read_storage_frame(std::string_view bytes, size_t& at, size_t max_bytes);
std::string encode_entry(const StoredEntry& entry);
std::optional<StoredEntry> decode_entry(std::string_view payload);
std::string encode_snapshot(const StoredSnapshot& snapshot);
std::optional<StoredSnapshot> decode_snapshot(std::string_view payload);

}  // namespace umberhoist::reg

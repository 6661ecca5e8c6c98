// What a voter has promised, on the seam to the file system: its identity, term and vote, its log and its
// snapshot. Nothing that returned true is ever forgotten silently: what is missing or damaged of it is told
// apart from what a crash left unfinished (docs/design/register.md, "The folder").
//
// Files:
//   vote-a, vote-b   the same record in two copies: a flipped byte or a torn write costs one of them
//   log-N            commands from a base on, in frames; its promised length stands in the vote record
//   snapshot-N       the state at command N, in one frame
//   peers            what others were seen to have promised, so that they can be told if they forget
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
    1000;  // to an incarnation well past any that was not heard of
constexpr size_t kMaxEntryBytes = 1024 * 1024;
constexpr size_t kMaxSnapshotBytes = 16 * 1024 * 1024;

class Storage {
 public:
  enum class FolderState {
    kEmpty,  // no voter was here
    kIntact,
    kDamaged,  // something was promised here that cannot be read any more
    kForeign,  // another relay's folder
  };

  // Reads the folder; changes nothing in it but what a crash left unfinished.
  Storage(state::Files& files, std::string name);

  FolderState folder_state() const { return found_; }
  const std::string& diagnostic() const { return finding_; }  // one line, if anything is to be said

  // A clean beginning under this identity: all earlier files are put aside, under names that begin with
  // "aside-", of which the newest set is kept.
  bool initialize(uint64_t generation, uint64_t identity);

  uint64_t generation() const { return vote_.generation; }
  uint64_t identity() const { return vote_.identity; }
  uint64_t durable_writes() const { return vote_.promises; }  // how often something was made to last
  // As they were found. What is promised since says nothing of whether the folder is the newest one.
  uint64_t loaded_durable_writes() const { return loaded_promises_; }
  uint64_t term() const { return vote_.term; }
  uint64_t voted_for() const { return vote_.voted_for; }
  const std::deque<StoredEntry>& entries() const { return entries_; }
  const std::optional<StoredSnapshot>& snapshot() const { return snapshot_; }
  uint64_t first_index() const { return entries_.empty() ? last_index() + 1 : entries_.front().index; }
  uint64_t last_index() const;

  // Each makes it last before it returns true. False: nothing may be taken as promised, and nothing further
  // is tried: the disk did not do what it was told, and what it holds is known only after a new start.
  bool set_term(uint64_t term);
  bool set_vote(uint64_t candidate);
  bool append(const std::vector<StoredEntry>& entries);
  bool truncate(uint64_t from);  // this entry and all that follow
  // All entries up to it go but the last `trailing` ones.
  bool put_snapshot(StoredSnapshot snapshot, uint64_t trailing);
  bool failed() const { return failed_; }

  // What another was seen to have promised; grows. Lasts before true.
  bool record_peer(uint64_t identity, uint64_t promises);
  uint64_t peer_durable_writes(uint64_t identity) const;
  // The highest incarnation seen of a slot, as identity; 0: none.
  uint64_t newest_identity(uint32_t slot) const;
  const std::map<uint64_t, uint64_t>& peers() const { return peers_; }

  static constexpr uint64_t make_identity(uint32_t slot, uint32_t incarnation) {
    return (uint64_t{slot} << 24) | incarnation;
  }
  static constexpr uint32_t slot_of(uint64_t identity) { return static_cast<uint32_t>(identity >> 24); }
  static constexpr uint32_t incarnation_of(uint64_t identity) { return identity & 0xffffff; }

 private:
  struct Vote {
    uint64_t promises = 0;
    uint64_t generation = 0;
    uint64_t identity = 0;
    uint64_t term = 0;
    uint64_t voted_for = 0;
    uint64_t log = 0;        // number of the log file
    uint64_t log_bytes = 0;  // of it that are promised
    uint64_t snapshot = 0;   // index of the snapshot; 0: none
  };

  void load();
  void load_peers();
  bool load_log();
  bool load_snapshot();
  std::optional<Vote> read_vote(const std::string& name, bool& others);
  bool promise();  // the vote record as it is now, in both copies
  bool write_copy(const std::string& name);
  bool start_log(uint64_t number);  // with what entries_ holds
  bool write_whole(const std::string& name, const std::string& bytes);
  std::optional<std::string> read_whole(const std::string& name, size_t most);
  bool write(int file, std::string_view bytes);
  bool fail(const char* what);

  state::Files& files_;
  std::string name_;
  FolderState found_ = FolderState::kEmpty;
  std::string finding_;
  Vote vote_;
  std::deque<StoredEntry> entries_;
  std::optional<StoredSnapshot> snapshot_;
  std::map<uint64_t, uint64_t> peers_;
  size_t peers_bytes_ = 0;
  uint64_t loaded_promises_ = 0;
  int log_file_ = -1;
  int peers_file_ = -1;
  bool failed_ = false;
};

// One frame of a file: length, checksum, payload. Nothing: torn, damaged or over `most`. Advances `at`.
std::string encode_storage_frame(std::string_view payload);
std::optional<std::string> read_storage_frame(std::string_view bytes, size_t& at, size_t most);
std::string encode_entry(const StoredEntry& entry);
std::optional<StoredEntry> decode_entry(std::string_view payload);
std::string encode_snapshot(const StoredSnapshot& snapshot);
std::optional<StoredSnapshot> decode_snapshot(std::string_view payload);

}  // namespace umberhoist::reg

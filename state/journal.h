// Write-ahead log of accepted messages, in segment files that outlast the process (docs/design/journal.md).
//
// Records are never changed in place, and reading the journal at start appends none. Compaction removes the
// oldest segment after it has copied each live message in it to the end of the log, as one record. The
// records of a message may therefore be in several segments, and more than once. Replaying them is
// idempotent: an attempt once recorded as not executed stays so, and a done record takes precedence over all
// others.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/format.h"

namespace umberhoist::state {

using firspool::relay::Notice;
using firspool::relay::Submission;

struct RecoveredMessage {
  Submission message;
  Micros due = 0;  // wall clock, as all times in this file
  int attempts = 0;
  // By attempt number: when it was sent, and to which zone.
  std::map<int, std::pair<Micros, int>> maybe_executed;
  std::optional<Notice> pending_notice;
};

// Which failure a record survives once is_durable() is true for its position: the end of the process (the
// page cache keeps it), or also a power loss (it has been synced to the disk, one sync for a group of
// records).
enum class Durability { kProcess, kGroupCommit };

struct JournalOptions {
  size_t max_disk_bytes = 0;  // bytes for all files of the folder, each rounded up to whole blocks of 512
  std::string owner;          // the relay's name; segments of other relays are not read
  int max_attempts = 6;       // per message; disk space for their records is reserved at acceptance
  uint64_t salt_seed = 0;     // seeds the segments' salts; 0: from std::random_device
  Durability durability = Durability::kProcess;
};

// What reading the journal at start found, apart from the state itself.
struct RecoveryReport {
  size_t segments = 0;
  size_t records = 0;
  size_t torn_bytes = 0;     // at the end of a segment, as left by a process killed during a write
  size_t damaged_bytes = 0;  // not at the end of a segment
  size_t damaged_ranges = 0;
  size_t orphans = 0;  // messages with records, but without a readable acceptance
  // For the log: one for each finding that a killed process does not explain.
  std::vector<std::string> log_lines;
};

class Journal {
 public:
  // Reads the existing journal. Throws std::runtime_error if the folder cannot be read or was written by a
  // newer version; nothing in it has been changed then.
  Journal(Files& files, JournalOptions options);
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  const RecoveryReport& recovery_report() const { return recovery_report_; }
  // Calls `on_message` for every live message in order of acceptance. Bodies are read from disk.
  void recover(const std::function<void(RecoveredMessage)>& on_message);
  // The last value of each name that has one.
  std::map<std::string, std::string> metadata() const;

  // Returns false if there is no room or the write failed; the message must then be refused.
  bool record_accepted(const Submission& message, Micros due);
  // Returns false if the write failed; the call must not start then.
  bool record_attempt(const std::string& id, int number, Micros sent, int zone);
  void record_not_executed(const std::string& id, int number);
  // Returns false if the write failed; the notice must not be sent then. The caller may try again.
  bool record_notice(const Notice& notice);
  // A done record that could not be written is written as soon as any write succeeds.
  void record_done(const std::string& id);
  // Stores a value beside the messages; the last value of a name counts, an empty value removes the name.
  // Returns false if it was not written: metadata may take at most kMaxMetadataFraction of the disk.
  bool put_metadata(const std::string& name, const std::string& value);
  // Drops a name without a record of it: the next start may find its last value again.
  void drop_metadata(const std::string& name);

  // With Durability::kGroupCommit, records up to written_position() survive a power loss once is_durable() is
  // true for that position. A sync has three steps: begin_sync(), execute_sync() (each file, then the folder;
  // it may run in another thread) and end_sync(). Only one sync may be in progress. After a failed one, the
  // records that it should have covered are written again.
  struct SyncRequest {
    uint64_t end_position = 0;
    std::vector<int> files;  // stay open until end_sync()
    // Number of leading `files` that belong to full segments; end_sync() closes these.
    size_t full_segments = 0;
    bool sync_folder = false;
    bool covers_everything = false;  // no record is left unconfirmed by an earlier failed sync
  };
  uint64_t written_position() const { return written_bytes_; }
  bool is_durable(uint64_t position) const {
    return options_.durability == Durability::kProcess || position <= synced_position_;
  }
  bool needs_sync() const;
  SyncRequest begin_sync();
  static bool execute_sync(Files& files, const SyncRequest& sync);
  void end_sync(const SyncRequest& sync, bool ok);

  // No done record and no metadata value waits to be written.
  bool has_no_backlog() const { return unwritten_done_.empty() && unwritten_metadata_.empty(); }

  // Copies up to `bytes` of live records to the end of the log if compaction pays. Returns true if there is
  // more to do.
  bool compact(size_t bytes);

  size_t used_bytes() const;  // disk usage of the folder, each file rounded up to whole blocks
  size_t live_messages() const { return messages_.size(); }
  size_t copied_bytes() const { return copied_bytes_; }
  size_t written_bytes() const { return written_bytes_; }

  static constexpr double kMaxMetadataFraction = 0.25;  // of max_disk_bytes
  // Disk usage, as a fraction of max_disk_bytes, above which segments with live records are compacted. Below
  // it, space is not worth copying for, and many messages end by themselves.
  static constexpr double kCompactionThreshold = 0.75;
  // Of about max_disk_bytes / kTargetSegmentCount bytes each.
  static constexpr size_t kTargetSegmentCount = 32;
  static constexpr size_t kMinSegmentBytes = 4096;
  // Bounded because a whole segment is copied within one append if the disk is full.
  static constexpr size_t kMaxSegmentBytes = 128 * 1024;
  // Files that were set aside may take max_disk_bytes divided by this.
  static constexpr size_t kSetAsideDivisor = 16;

 private:
  struct IndexedMessage {  // memory per live message: about 200 bytes with its id
    uint64_t segment = 0;
    size_t offset = 0;           // of the framed record of its newest copy
    uint32_t payload_bytes = 0;  // size of that copy's payload
    uint32_t copy_bytes = 0;     // size of the framed record that a copy made now would have
    std::string id;
    std::vector<Attempt> attempts;
    std::optional<NoticeRecord> pending_notice;
  };
  struct IndexedMetadata {
    std::string value;
    uint64_t segment = 0;
  };
  struct Segment {
    std::string name;
    size_t size = 0;
    uint64_t salt = 0;
    size_t live_bytes = 0;        // size of the framed copies of all its live records
    std::set<uint64_t> messages;  // live, with their newest copy in this segment
    std::set<std::string> metadata;
    uint64_t emptied_position = 0;  // written_position() when its last live record was copied or ended
  };
  struct SegmentDamage {
    std::string segment;
    size_t offset = 0;
    size_t size = 0;
  };

  void sync_existing_files();
  void read_folder();
  void read_segment(uint64_t number, std::map<uint64_t, IndexedMessage>& orphans);
  void apply_record(const SegmentReader::Item& item, uint64_t segment,
                    std::map<uint64_t, IndexedMessage>& orphans);
  std::optional<AcceptedMessage> read_message(int file, const IndexedMessage& entry, std::string& payload);
  void set_aside(const std::string& name, const std::string& reason);
  void migrate_legacy_journal();
  std::string save_damaged_bytes(const SegmentDamage& damage);
  void add_segment(uint64_t number, Segment segment);
  void set_size(Segment& segment, size_t size);
  void set_live_bytes(Segment& segment, size_t live_bytes);
  bool sync_now();
  void rewrite_unconfirmed();
  void mark_unsynced(uint64_t sequence);

  IndexedMessage* find_message(const std::string& id, uint64_t& sequence);
  void add_to_segment(uint64_t sequence, IndexedMessage& entry, uint64_t segment, size_t offset,
                      size_t payload_bytes);
  void remove_from_segment(uint64_t sequence, const IndexedMessage& entry);
  void grow_copy(IndexedMessage& entry, size_t bytes);
  void erase_message(uint64_t sequence);
  void index_metadata(const std::string& name, const std::string& value, uint64_t segment);
  void unindex_metadata(const std::string& name);
  static size_t metadata_record_size(const std::string& name, const std::string& value);

  bool append(RecordKind kind, std::string_view payload, uint64_t* segment = nullptr,
              size_t* offset = nullptr, bool for_compaction = false);
  bool open_segment();
  void close_segment();
  bool make_room(size_t bytes);
  size_t compaction_reserve(size_t record_bytes = 0) const;
  bool has_room_for(size_t framed_bytes) const;
  bool copy_forward(uint64_t number, size_t max_bytes);
  bool remove_oldest_segment();
  bool write_backlog();

  Files& files_;
  JournalOptions options_;
  size_t segment_bytes_;
  std::map<uint64_t, Segment> segments_;
  uint64_t last_segment_ = 0;
  int open_file_ = -1;  // descriptor of the last segment while it is written to; no other stays open
  uint64_t last_sequence_ = 0;
  uint64_t salt_counter_ = 0;
  std::map<uint64_t, IndexedMessage> messages_;
  std::unordered_map<std::string, uint64_t> sequence_by_id_;  // by id of live messages
  std::map<std::string, IndexedMetadata> metadata_;
  size_t live_message_bytes_ = 0;  // sum of IndexedMessage::copy_bytes
  size_t metadata_bytes_ = 0;
  size_t other_files_bytes_ = 0;                // disk usage of files other than segments
  size_t segment_files_bytes_ = 0;              // disk usage of the segments
  std::multiset<size_t> segment_live_bytes_;    // Segment::live_bytes of all segments, for their maximum
  std::vector<SegmentDamage> segment_damages_;  // found at start
  std::map<std::string, size_t> other_files_;   // other files found at start, with their sizes
  std::deque<uint64_t> unwritten_done_;         // messages whose done record could not be written yet
  std::set<std::string> unwritten_metadata_;    // names whose newest value could not be written yet
  size_t copied_bytes_ = 0;
  size_t written_bytes_ = 0;
  // Used with Durability::kGroupCommit only.
  uint64_t synced_position_ = 0;
  std::vector<int> files_to_close_;       // of full segments; they are closed after the next sync
  std::set<uint64_t> unsynced_messages_;  // messages with records that no sync covers yet
  bool folder_dirty_ = false;  // a segment was created or removed since the last sync of the folder
  // A segment was removed; the next may be removed only after the folder is synced.
  bool removal_unsynced_ = false;
  bool sync_running_ = false;                           // between begin_sync() and end_sync()
  std::set<uint64_t> syncing_messages_;                 // messages whose records the running sync covers
  std::vector<uint64_t> unsynced_done_, syncing_done_;  // the same for finished messages
  std::set<uint64_t> unconfirmed_messages_;  // messages whose records a failed sync should have covered
  std::vector<uint64_t> unconfirmed_done_;
  RecoveryReport recovery_report_;
};

// The journal of format version 1, which had no segments. read_legacy_journal() returns nothing if the file
// cannot be opened.
struct LegacyJournal {
  std::vector<AcceptedMessage> messages;  // in order of acceptance
  std::map<std::string, std::string> metadata;
  size_t damaged_bytes = 0;
};
std::optional<LegacyJournal> read_legacy_journal(Files& files, const std::string& name);

constexpr const char* kLegacyFileName = "journal";

}  // namespace umberhoist::state

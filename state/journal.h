// What was taken on, on disk: a log of segments that outlasts the process (docs/design/journal.md).
//
// What may surprise: nothing is ever changed in place, and a start writes nothing. The oldest segment goes
// first, after what is alive in it was copied forward as one record each; so the records of a message may
// stand in several segments, and twice. They mean the same in any number: an attempt that never ran stays so,
// an end wins over all else.
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
  Micros due = 0;  // wall clock, as all times here
  int attempts = 0;
  std::map<int, std::pair<Micros, int>>
      maybe_executed;  // attempts that may have run: when sent, to which zone
  std::optional<Notice> pending_notice;
};

// What an acceptance, an attempt and a notice are safe from once they are claimed: the end of the process, as
// the platform has it; or power loss too, for which they wait until the disk has them.
enum class Durability { kProcess, kGroupCommit };

struct JournalOptions {
  size_t max_disk_bytes = 0;  // bytes that all files of the folder may take, each counted in whole 512
  std::string owner;          // the relay's name: a segment of another's is not read
  int max_attempts = 6;       // of a message: room for them is kept aside
  uint64_t salt_seed = 0;     // of the salts; 0: from the system
  Durability durability = Durability::kProcess;
};

// What a start found beside whole records.
struct RecoveryReport {
  size_t segments = 0;
  size_t records = 0;
  size_t torn_bytes = 0;     // at an end, as a kill leaves them
  size_t damaged_bytes = 0;  // elsewhere
  size_t damaged_ranges = 0;
  size_t orphans = 0;                  // messages of which attempts are left and no acceptance
  std::vector<std::string> log_lines;  // for the log: one each thing that is not as a kill leaves it
};

class Journal {
 public:
  // Reads what is there. Throws std::runtime_error if the folder cannot be read or is of a newer version;
  // then nothing in it has been changed.
  Journal(Files& files, JournalOptions options);
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  const RecoveryReport& recovery_report() const { return recovery_report_; }
  // Each message that is alive, in the order in which they were taken on, its body read from where it is.
  void recover(const std::function<void(RecoveredMessage)>& each);
  // What was remembered last under each name.
  std::map<std::string, std::string> metadata() const;

  // False: there is no room or it could not be written, and the message must not be taken on.
  bool record_accepted(const Submission& message, Micros due);
  // False: it could not be written, and the call must not start.
  bool record_attempt(const std::string& id, int number, Micros sent, int zone);
  void record_not_executed(const std::string& id, int number);
  // False: it could not be written, and the notice must not be sent: ask again.
  bool record_notice(const Notice& notice);
  // An end that could not be written is written as soon as anything can be.
  void record_done(const std::string& id);
  // A fact beside the messages; the last value of a name counts, an empty one forgets it. False: not kept, as
  // facts take no more than their part of the disk.
  bool put_metadata(const std::string& name, const std::string& value);

  // With kGroup: what was written up to here is safe once `durable` says so. One sync at a time is begun,
  // carried out (each file, then the folder; by another thread, if that suits) and ended; a failed one has
  // what it should have covered written again.
  struct SyncRequest {
    uint64_t end_position = 0;
    std::vector<int> files;    // not closed before the end
    size_t full_segments = 0;  // of them, that take no more
    bool sync_folder = false;
    bool covers_everything = false;  // nothing is left in doubt by an earlier one
  };
  uint64_t written_position() const { return written_bytes_; }
  bool is_durable(uint64_t position) const {
    return options_.durability == Durability::kProcess || position <= synced_position_;
  }
  bool needs_sync() const;
  SyncRequest begin_sync();
  static bool execute_sync(Files& files, const SyncRequest& sync);
  void end_sync(const SyncRequest& sync, bool good);

  // No end and no fact waits to be written.
  bool has_no_backlog() const { return unwritten_done_.empty() && unwritten_metadata_.empty(); }

  // Copies up to so many bytes forward, if there is reason to. True: there is more to do.
  bool compact(size_t bytes);

  size_t used_bytes() const;  // of the disk, as the platform counts
  size_t live_messages() const { return messages_.size(); }
  size_t copied_bytes() const { return copied_bytes_; }
  size_t written_bytes() const { return written_bytes_; }

  static constexpr double kMaxMetadataFraction = 0.25;  // of the disk
  static constexpr double kCompactionThreshold =
      0.75;  // of the disk: below it, space is not worth a copy, and much dies by itself
  static constexpr size_t kTargetSegmentCount = 32;  // about so many make up the disk
  static constexpr size_t kMinSegmentBytes = 4096;
  static constexpr size_t kMaxSegmentBytes =
      128 * 1024;                                 // copied in one turn where an append is short of room
  static constexpr size_t kSetAsideDivisor = 16;  // of the disk: damaged bytes are kept in this part at most

 private:
  struct IndexedMessage {  // all that is held of a live message: about 200 bytes with its id
    uint64_t segment = 0;
    size_t offset = 0;           // of its newest copy's frame
    uint32_t payload_bytes = 0;  // its size
    uint32_t copy_bytes = 0;     // framed size of a copy made now
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
    size_t live_bytes = 0;        // bytes that copies of what is alive in it would take
    std::set<uint64_t> messages;  // alive, with their newest copy here
    std::set<std::string> metadata;
    uint64_t emptied_position = 0;  // the position at which the last of it was copied or ended
  };
  struct SegmentDamage {
    std::string segment;
    size_t offset = 0;
    size_t size = 0;
  };

  void sync_existing_files();
  void read_folder();
  void read_segment(uint64_t number, std::map<uint64_t, IndexedMessage>& orphans);
  void apply(const SegmentReader::Item& item, uint64_t segment, std::map<uint64_t, IndexedMessage>& orphans);
  std::optional<AcceptedMessage> read_message(int file, const IndexedMessage& entry, std::string& payload);
  void set_aside(const std::string& name, const std::string& why);
  void migrate_legacy_journal();
  std::string save_damaged_bytes(const SegmentDamage& damage);
  void add_segment(uint64_t number, Segment segment);
  void set_size(Segment& segment, size_t size);
  void set_live_bytes(Segment& segment, size_t live);
  bool sync_now();
  void rewrite_unconfirmed();
  void mark_unsynced(uint64_t order);

  IndexedMessage* find_message(const std::string& id, uint64_t& order);
  void add_to_segment(uint64_t order, IndexedMessage& entry, uint64_t segment, size_t at, size_t payload);
  void remove_from_segment(uint64_t order, const IndexedMessage& entry);
  void grow_copy(IndexedMessage& entry, size_t bytes);
  void erase_message(uint64_t order);
  void index_metadata(const std::string& name, const std::string& value, uint64_t segment);
  void unindex_metadata(const std::string& name);
  static size_t metadata_record_size(const std::string& name, const std::string& value);

  bool append(RecordKind kind, std::string_view payload, uint64_t* segment = nullptr, size_t* at = nullptr,
              bool copying = false);
  bool open_segment();
  void close_segment();
  bool make_room(size_t bytes);
  size_t compaction_reserve(size_t record = 0) const;
  bool has_room_for(size_t framed) const;
  bool copy_forward(uint64_t number, size_t most);
  bool remove_oldest_segment();
  bool write_backlog();

  Files& files_;
  JournalOptions options_;
  size_t segment_bytes_;
  std::map<uint64_t, Segment> segments_;
  uint64_t last_segment_ = 0;
  int open_file_ = -1;  // of the last segment while it takes more, the only one that stays open
  uint64_t last_sequence_ = 0;
  uint64_t salt_counter_ = 0;
  std::map<uint64_t, IndexedMessage> messages_;
  std::unordered_map<std::string, uint64_t> sequence_by_id_;  // of live messages
  std::map<std::string, IndexedMetadata> metadata_;
  size_t live_message_bytes_ = 0;  // of copies of all messages
  size_t metadata_bytes_ = 0;
  size_t other_files_bytes_ = 0;                // what other files of the folder take
  size_t segment_files_bytes_ = 0;              // what the segments take
  std::multiset<size_t> segment_live_bytes_;    // of all segments
  std::vector<SegmentDamage> segment_damages_;  // found at the start
  std::map<std::string, size_t> other_files_;   // of the folder at the start, and how long they are
  std::deque<uint64_t> unwritten_done_;         // that could not be written yet
  std::set<std::string> unwritten_metadata_;    // whose newest value could not be written yet
  size_t copied_bytes_ = 0;
  size_t written_bytes_ = 0;
  // With kGroup only.
  uint64_t synced_position_ = 0;
  std::vector<int> files_to_close_;       // full segments whose files are to be synced before they are closed
  std::set<uint64_t> unsynced_messages_;  // messages with records that no sync has covered
  bool folder_dirty_ = false;             // a segment was made or removed since the folder was synced
  bool removal_unsynced_ = false;         // one was removed: the next may go only after that
  bool sync_running_ = false;             // one is begun and not ended
  std::set<uint64_t> syncing_messages_;   // messages whose records it covers
  std::vector<uint64_t> unsynced_done_, syncing_done_;  // the same of those that ended
  std::set<uint64_t> unconfirmed_messages_;  // messages whose records a failed one should have covered
  std::vector<uint64_t> unconfirmed_done_;
  RecoveryReport recovery_report_;
};

// The journal as it was before there were segments; nothing if the folder has none.
struct LegacyJournal {
  std::vector<AcceptedMessage> messages;  // in order
  std::map<std::string, std::string> metadata;
  size_t damaged_bytes = 0;  // bytes
};
std::optional<LegacyJournal> read_legacy_journal(Files& files, const std::string& name);

constexpr const char* kLegacyFileName = "journal";

}  // namespace umberhoist::state

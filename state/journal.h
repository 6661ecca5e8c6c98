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

struct Recovered {
  Submission message;
  Time due = 0;  // wall clock, as all times here
  int attempts = 0;
  std::map<int, std::pair<Time, int>> unsettled;  // attempts that may have run: when sent, to which zone
  std::optional<Notice> owed;
};

// What an acceptance, an attempt and a notice are safe from once they are claimed: the end of the process, as
// the platform has it; or power loss too, for which they wait until the disk has them.
enum class Durability { kProcess, kGroup };

struct JournalOptions {
  size_t disk = 0;        // bytes that all files of the folder may take, each counted in whole 512
  std::string owner;      // the relay's name: a segment of another's is not read
  int most_attempts = 6;  // of a message: room for them is kept aside
  uint64_t seed = 0;      // of the salts; 0: from the system
  Durability durability = Durability::kProcess;
};

// What a start found beside whole records.
struct Findings {
  size_t segments = 0;
  size_t records = 0;
  size_t torn_bytes = 0;     // at an end, as a kill leaves them
  size_t damaged_bytes = 0;  // elsewhere
  size_t damages = 0;
  size_t orphans = 0;              // messages of which attempts are left and no acceptance
  std::vector<std::string> lines;  // for the log: one each thing that is not as a kill leaves it
};

class Journal {
 public:
  // Reads what is there. Throws std::runtime_error if the folder cannot be read or is of a newer version;
  // then nothing in it has been changed.
  Journal(Files& files, JournalOptions options);
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  const Findings& findings() const { return findings_; }
  // Each message that is alive, in the order in which they were taken on, its body read from where it is.
  void recover(const std::function<void(Recovered)>& each);
  // What was remembered last under each name.
  std::map<std::string, std::string> remembered() const;

  // False: there is no room or it could not be written, and the message must not be taken on.
  bool accepted(const Submission& message, Time due);
  // False: it could not be written, and the call must not start.
  bool attempt(const std::string& id, int number, Time sent, int zone);
  void never_ran(const std::string& id, int number);
  // False: it could not be written, and the notice must not be sent: ask again.
  bool owed(const Notice& notice);
  // An end that could not be written is written as soon as anything can be.
  void done(const std::string& id);
  // A fact beside the messages; the last value of a name counts, an empty one forgets it. False: not kept, as
  // facts take no more than their part of the disk.
  bool remember(const std::string& name, const std::string& value);

  // With kGroup: what was written up to here is safe once `durable` says so. One sync at a time is begun,
  // carried out (each file, then the folder; by another thread, if that suits) and ended; a failed one has
  // what it should have covered written again.
  struct Sync {
    uint64_t upto = 0;
    std::vector<int> files;  // not closed before the end
    size_t full = 0;         // of them, that take no more
    bool folder = false;
    bool whole = false;  // nothing is left in doubt by an earlier one
  };
  uint64_t position() const { return written_; }
  bool durable(uint64_t position) const {
    return options_.durability == Durability::kProcess || position <= synced_;
  }
  bool sync_wanted() const;
  Sync begin_sync();
  static bool carry_out(Files& files, const Sync& sync);
  void end_sync(const Sync& sync, bool good);

  // No end and no fact waits to be written.
  bool caught_up() const { return ends_.empty() && stale_facts_.empty(); }

  // Copies up to so many bytes forward, if there is reason to. True: there is more to do.
  bool tidy(size_t bytes);

  size_t used() const;  // of the disk, as the platform counts
  size_t live() const { return entries_.size(); }
  size_t copied_bytes() const { return copied_; }
  size_t written_bytes() const { return written_; }

  static constexpr double kFactsPart = 0.25;  // of the disk
  static constexpr double kTidyAbove =
      0.75;  // of the disk: below it, space is not worth a copy, and much dies by itself
  static constexpr size_t kSegments = 32;  // about so many make up the disk
  static constexpr size_t kLeastSegment = 4096;
  static constexpr size_t kMostSegment = 128 * 1024;  // copied in one turn where an append is short of room
  static constexpr size_t kAsidePart = 16;  // of the disk: damaged bytes are kept in this part at most

 private:
  struct Entry {  // all that is held of a live message: about 200 bytes with its id
    uint64_t segment = 0;
    size_t at = 0;         // of its newest copy's frame
    uint32_t payload = 0;  // its size
    uint32_t copy = 0;     // framed size of a copy made now
    std::string id;
    std::vector<Attempt> attempts;
    std::optional<Owed> owed;
  };
  struct FactEntry {
    std::string value;
    uint64_t segment = 0;
  };
  struct Segment {
    std::string name;
    size_t size = 0;
    uint64_t salt = 0;
    size_t live = 0;              // bytes that copies of what is alive in it would take
    std::set<uint64_t> messages;  // alive, with their newest copy here
    std::set<std::string> facts;
    uint64_t emptied = 0;  // the position at which the last of it was copied or ended
  };
  struct Damage {
    std::string segment;
    size_t at = 0;
    size_t bytes = 0;
  };

  void settle_folder();
  void read_all();
  void read_segment(uint64_t number, std::map<uint64_t, Entry>& orphans);
  void apply(const SegmentReader::Item& item, uint64_t segment, std::map<uint64_t, Entry>& orphans);
  std::optional<Accepted> read_message(int file, const Entry& entry, std::string& payload);
  void set_aside(const std::string& name, const std::string& why);
  void carry_over();
  std::string keep_damage(const Damage& damage);
  void add_segment(uint64_t number, Segment segment);
  void resize(Segment& segment, size_t size);
  void relive(Segment& segment, size_t live);
  bool sync_now();
  void rewrite_doubtful();
  void touch(uint64_t order);

  Entry* find(const std::string& id, uint64_t& order);
  void place(uint64_t order, Entry& entry, uint64_t segment, size_t at, size_t payload);
  void unplace(uint64_t order, const Entry& entry);
  void grow(Entry& entry, size_t bytes);
  void erase(uint64_t order);
  void put_fact(const std::string& name, const std::string& value, uint64_t segment);
  void drop_fact(const std::string& name);
  static size_t fact_bytes(const std::string& name, const std::string& value);

  bool append(Kind kind, std::string_view payload, uint64_t* segment = nullptr, size_t* at = nullptr,
              bool copying = false);
  bool open_segment();
  void close_segment();
  bool make_room(size_t bytes);
  size_t headroom(size_t record = 0) const;
  bool room_for(size_t framed) const;
  bool copy_forward(uint64_t number, size_t most);
  bool drop_oldest();
  bool write_pending();

  Files& files_;
  JournalOptions options_;
  size_t segment_bytes_;
  std::map<uint64_t, Segment> segments_;
  uint64_t last_number_ = 0;
  int file_ = -1;  // of the last segment while it takes more, the only one that stays open
  uint64_t last_order_ = 0;
  uint64_t next_salt_ = 0;
  std::map<uint64_t, Entry> entries_;
  std::unordered_map<std::string, uint64_t> orders_;  // of live messages
  std::map<std::string, FactEntry> facts_;
  size_t live_bytes_ = 0;  // of copies of all messages
  size_t fact_bytes_ = 0;
  size_t aside_ = 0;                      // what other files of the folder take
  size_t used_ = 0;                       // what the segments take
  std::multiset<size_t> lives_;           // of all segments
  std::vector<Damage> damages_;           // found at the start
  std::map<std::string, size_t> others_;  // of the folder at the start, and how long they are
  std::deque<uint64_t> ends_;             // that could not be written yet
  std::set<std::string> stale_facts_;     // whose newest value could not be written yet
  size_t copied_ = 0;
  size_t written_ = 0;
  // With kGroup only.
  uint64_t synced_ = 0;
  std::vector<int> closing_;    // full segments whose files are to be synced before they are closed
  std::set<uint64_t> touched_;  // messages with records that no sync has covered
  bool folder_dirty_ = false;   // a segment was made or removed since the folder was synced
  bool removed_ = false;        // one was removed: the next may go only after that
  bool syncing_ = false;        // one is begun and not ended
  std::set<uint64_t> covered_;  // messages whose records it covers
  std::vector<uint64_t> touched_ends_, covered_ends_;  // the same of those that ended
  std::set<uint64_t> doubtful_;  // messages whose records a failed one should have covered
  std::vector<uint64_t> doubtful_ends_;
  Findings findings_;
};

// The journal as it was before there were segments; nothing if the folder has none.
struct Legacy {
  std::vector<Accepted> messages;  // in order
  std::map<std::string, std::string> facts;
  size_t damaged = 0;  // bytes
};
std::optional<Legacy> read_legacy(Files& files, const std::string& name);

constexpr const char* kLegacyName = "journal";

}  // namespace umberhoist::state

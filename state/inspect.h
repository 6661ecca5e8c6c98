// Read-only inspection of a state folder for operators. Apart from the record format it shares no code with
// the journal's own reader, so that tests can compare the two: a difference is a fault in one of them.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "state/format.h"

namespace umberhoist::state {

struct InspectedRecord {
  std::string segment;
  size_t offset = 0;  // of the framed record in the file
  size_t size = 0;    // of the framed record
  RecordKind kind = RecordKind::kDone;
  bool readable = false;  // false: the checksum is right, but the payload does not match the kind
  uint64_t sequence = 0;  // of the message that the record refers to; 0: a metadata record
  // int: number of an attempt that was not executed.
  std::variant<std::monostate, AcceptedMessage, Attempt, int, NoticeRecord, MetadataEntry> content;
};

struct DamagedRange {
  size_t offset = 0;
  size_t size = 0;
  bool is_tail = false;  // at the end of the file, as left by a process killed during a write
};

struct InspectedSegment {
  std::string name;
  size_t size = 0;
  std::optional<SegmentHeader> header;
  std::string reject_reason;  // why the relay would not read the segment; empty: it would
  std::map<RecordKind, size_t> records;
  size_t malformed_records = 0;  // their checksum is right, but the payload does not match the kind
  std::vector<DamagedRange> damaged_ranges;
};

struct InspectedFolder {
  std::vector<InspectedSegment> segments;     // in order of segment numbers
  std::map<std::string, size_t> other_files;  // files that are not segments, with their sizes
  bool has_legacy_journal = false;            // there is a journal of format version 1, which had no segments
  size_t used_bytes = 0;                      // bytes, each file rounded up to whole blocks of 512
  std::map<uint64_t, AcceptedMessage> live_messages;  // by sequence number, with their state from all records
  size_t orphans = 0;  // messages with records, but without a readable acceptance
  std::map<std::string, std::string> metadata;

  bool is_intact() const;  // no segment is rejected or damaged; a torn tail does not count as damage
};

// Calls `on_record` for every record with a right checksum, in the order in which the relay would read them.
InspectedFolder inspect_folder(Files& files, const std::function<void(const InspectedRecord&)>& on_record);

}  // namespace umberhoist::state

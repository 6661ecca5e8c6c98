// A second reader of the state folder, for people: it changes nothing, and shares no code with the journal's
// own beyond the format. Where the two disagree, one of them is wrong.
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
  size_t offset = 0;  // of its frame in the file
  size_t size = 0;    // of the frame
  RecordKind kind = RecordKind::kDone;
  bool readable = false;  // the checksum is right; false: the payload is not what its kind should hold
  uint64_t sequence = 0;  // of the message that it is about; 0: a fact
  std::variant<std::monostate, AcceptedMessage, Attempt, int, NoticeRecord, MetadataEntry>
      content;  // int: of an attempt that never ran
};

struct DamagedRange {
  size_t offset = 0;
  size_t size = 0;
  bool is_tail = false;  // at the end, as a kill leaves them
};

struct InspectedSegment {
  std::string name;
  size_t size = 0;
  std::optional<SegmentHeader> header;
  std::string reject_reason;  // why the relay would not read it; empty: it would
  std::map<RecordKind, size_t> records;
  size_t malformed_records = 0;  // records with a right checksum and a payload that is none
  std::vector<DamagedRange> damaged_ranges;
};

struct InspectedFolder {
  std::vector<InspectedSegment> segments;             // by number
  std::map<std::string, size_t> other_files;          // files that are no segments, with their sizes
  bool has_legacy_journal = false;                    // there is a journal of the version before segments
  size_t used_bytes = 0;                              // bytes, each file in whole 512
  std::map<uint64_t, AcceptedMessage> live_messages;  // by order, with all that is known of each
  size_t orphans = 0;  // messages of which there are records, and no acceptance
  std::map<std::string, std::string> metadata;

  bool is_intact() const;  // nothing is strange or damaged; a torn tail is neither
};

// `each`: every record that can be read, in the order in which the relay would read them.
InspectedFolder inspect_folder(Files& files, const std::function<void(const InspectedRecord&)>& each);

}  // namespace umberhoist::state

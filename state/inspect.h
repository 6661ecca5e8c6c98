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

struct RecordSeen {
  std::string segment;
  size_t at = 0;     // of its frame in the file
  size_t bytes = 0;  // of the frame
  Kind kind = Kind::kDone;
  bool readable = false;  // the checksum is right; false: the payload is not what its kind should hold
  uint64_t order = 0;     // of the message that it is about; 0: a fact
  std::variant<std::monostate, Accepted, Attempt, int, Owed, Fact>
      content;  // int: of an attempt that never ran
};

struct BytesLost {
  size_t at = 0;
  size_t bytes = 0;
  bool tail = false;  // at the end, as a kill leaves them
};

struct SegmentSeen {
  std::string name;
  size_t size = 0;
  std::optional<Header> header;
  std::string strange;  // why the relay would not read it; empty: it would
  std::map<Kind, size_t> records;
  size_t unreadable = 0;  // records with a right checksum and a payload that is none
  std::vector<BytesLost> lost;
};

struct FolderSeen {
  std::vector<SegmentSeen> segments;     // by number
  std::map<std::string, size_t> others;  // files that are no segments, with their sizes
  bool earlier = false;                  // there is a journal of the version before segments
  size_t used = 0;                       // bytes, each file in whole 512
  std::map<uint64_t, Accepted> live;     // by order, with all that is known of each
  size_t orphans = 0;                    // messages of which there are records, and no acceptance
  std::map<std::string, std::string> facts;

  bool whole() const;  // nothing is strange or damaged; a torn tail is neither
};

// `each`: every record that can be read, in the order in which the relay would read them.
FolderSeen inspect(Files& files, const std::function<void(const RecordSeen&)>& each);

}  // namespace umberhoist::state

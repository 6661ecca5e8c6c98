// The journal's bytes, as docs/design/journal.md has them: segment headers, framed records, and a reader that
// finds the next whole record after damage. All numbers are little-endian.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "message.h"
#include "state/files.h"

namespace umberhoist::state {

using Time = int64_t;  // microseconds of the wall clock

constexpr uint32_t kVersion = 3;        // 1 was one file without headers; 2 knew no tenants
constexpr uint32_t kOldestVersion = 2;  // whose segments are read as they are
constexpr size_t kHeaderBytes = 128;    // two copies of 64
constexpr size_t kFrameBytes = 12;
constexpr size_t kMostRecord = 256 * 1024;  // payload: a body of 64 KiB and whatever a client's names hold
constexpr size_t kMostOwner = 16;

struct Header {
  uint32_t version = kVersion;
  uint64_t number = 0;
  uint64_t salt = 0;  // begins each record's checksum: no client can hand in bytes that pass for a record
  std::string owner;  // the relay's name
};

std::string encode(const Header& header);
// From the first 128 bytes or fewer; either copy will do. Nothing: no header.
std::optional<Header> decode_header(std::string_view bytes);

enum class Kind : uint8_t {
  kAccepted = 'A',
  kAttempt = 'T',
  kNeverRan = 'N',
  kOwed = 'O',
  kDone = 'D',
  kFact = 'F'
};

std::string frame(uint64_t salt, Kind kind, std::string_view payload);

// ---- Payloads ----

struct Attempt {
  int number = 0;
  Time sent = 0;
  int zone = 0;
  bool never_ran = false;
};

// A message as it was taken on, and what became of it by the time that this was written: a copy made by
// compaction says all that the records before it said.
struct Accepted {
  uint64_t order = 0;  // of acceptance: what all other records name it by
  Time due = 0;
  std::vector<Attempt> attempts;
  std::optional<firspool::relay::Notice> owed;  // its id is the message's
  firspool::relay::Submission message;
};

std::string encode(const Accepted& accepted);
std::string encode_attempt(uint64_t order, const Attempt& attempt);
std::string encode_never_ran(uint64_t order, int number);
std::string encode_owed(uint64_t order, bool returned, Time after);
std::string encode_done(uint64_t order);
std::string encode_fact(std::string_view name, std::string_view value);
// How many bytes its copy takes, framed, without making it.
size_t framed_bytes(const Accepted& accepted);
constexpr size_t kAttemptInCopy = 13;

struct Owed {
  bool returned = false;
  Time after = 0;
};
struct Fact {
  std::string name;
  std::string value;
};

// Nothing: the payload does not hold what its kind says.
std::optional<Accepted> decode_accepted(std::string_view payload);
std::optional<std::pair<uint64_t, Attempt>> decode_attempt(std::string_view payload);
std::optional<std::pair<uint64_t, int>> decode_never_ran(std::string_view payload);
std::optional<std::pair<uint64_t, Owed>> decode_owed(std::string_view payload);
std::optional<uint64_t> decode_done(std::string_view payload);
std::optional<Fact> decode_fact(std::string_view payload);

// ---- Reading ----

class SegmentReader {
 public:
  SegmentReader(Files& files, int file, uint64_t salt);

  struct Item {
    enum class What { kRecord, kDamage, kEnd } what = What::kEnd;
    Kind kind = Kind::kDone;
    std::string_view payload;  // until the next call
    size_t at = 0;
    size_t bytes = 0;   // of the frame, or of what cannot be read
    bool tail = false;  // damage up to the end: as a process leaves it that was killed while it wrote
  };
  Item next();

 private:
  size_t fill(size_t want);  // how many bytes are there from at_ on, at most `want` of them asked for
  bool whole(size_t at, Item& out);

  Files& files_;
  int file_;
  uint64_t salt_;
  size_t size_;
  size_t at_ = kHeaderBytes;
  size_t from_ = kHeaderBytes;  // where the buffer begins
  std::string buffer_;
  bool ended_ = false;  // the buffer holds the file's end
};

}  // namespace umberhoist::state

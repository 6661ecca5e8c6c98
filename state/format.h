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

using Micros = int64_t;  // microseconds of the wall clock

constexpr uint32_t kFormatVersion = 3;     // 1 was one file without headers; 2 knew no tenants
constexpr uint32_t kMinFormatVersion = 2;  // whose segments are read as they are
constexpr size_t kHeaderBytes = 128;       // two copies of 64
constexpr size_t kFrameHeaderBytes = 12;
constexpr size_t kMaxPayloadBytes =
    256 * 1024;  // payload: a body of 64 KiB and whatever a client's names hold
constexpr size_t kMaxOwnerBytes = 16;

struct SegmentHeader {
  uint32_t version = kFormatVersion;
  uint64_t segment_number = 0;
  uint64_t salt = 0;  // begins each record's checksum: no client can hand in bytes that pass for a record
  std::string owner;  // the relay's name
};

std::string encode(const SegmentHeader& header);
// From the first 128 bytes or fewer; either copy will do. Nothing: no header.
std::optional<SegmentHeader> decode_header(std::string_view bytes);

enum class RecordKind : uint8_t {
  kAccepted = 'A',
  kAttempt = 'T',
  kNotExecuted = 'N',
  kNotice = 'O',
  kDone = 'D',
  kMetadata = 'F'
};

std::string frame_record(uint64_t salt, RecordKind kind, std::string_view payload);

// ---- Payloads ----

struct Attempt {
  int number = 0;
  Micros sent = 0;
  int zone = 0;
  bool not_executed = false;
};

// A message as it was taken on, and what became of it by the time that this was written: a copy made by
// compaction says all that the records before it said.
struct AcceptedMessage {
  uint64_t sequence = 0;  // of acceptance: what all other records name it by
  Micros due = 0;
  std::vector<Attempt> attempts;
  std::optional<firspool::relay::Notice> pending_notice;  // its id is the message's
  firspool::relay::Submission message;
};

std::string encode(const AcceptedMessage& accepted);
std::string encode_attempt(uint64_t order, const Attempt& attempt);
std::string encode_not_executed(uint64_t order, int number);
std::string encode_notice(uint64_t order, bool returned, Micros retry_after);
std::string encode_done(uint64_t order);
std::string encode_metadata(std::string_view name, std::string_view value);
// How many bytes its copy takes, framed, without making it.
size_t framed_size(const AcceptedMessage& accepted);
constexpr size_t kEncodedAttemptBytes = 13;

struct NoticeRecord {
  bool returned = false;
  Micros retry_after = 0;
};
struct MetadataEntry {
  std::string name;
  std::string value;
};

// Nothing: the payload does not hold what its kind says.
std::optional<AcceptedMessage> decode_accepted(std::string_view payload);
std::optional<std::pair<uint64_t, Attempt>> decode_attempt(std::string_view payload);
std::optional<std::pair<uint64_t, int>> decode_not_executed(std::string_view payload);
std::optional<std::pair<uint64_t, NoticeRecord>> decode_notice(std::string_view payload);
std::optional<uint64_t> decode_done(std::string_view payload);
std::optional<MetadataEntry> decode_metadata(std::string_view payload);

// ---- Reading ----

class SegmentReader {
 public:
  SegmentReader(Files& files, int file, uint64_t salt);

  struct Item {
    enum class Type { kRecord, kDamage, kEnd } type = Type::kEnd;
    RecordKind kind = RecordKind::kDone;
    std::string_view payload;  // until the next call
    size_t offset = 0;
    size_t size = 0;       // of the frame, or of what cannot be read
    bool is_tail = false;  // damage up to the end: as a process leaves it that was killed while it wrote
  };
  Item next();

 private:
  size_t fill(size_t want);  // how many bytes are there from at_ on, at most `want` of them asked for
  bool parse_record(size_t at, Item& out);

  Files& files_;
  int file_;
  uint64_t salt_;
  size_t size_;
  size_t offset_ = kHeaderBytes;
  size_t buffer_start_ = kHeaderBytes;  // where the buffer begins
  std::string buffer_;
  bool at_file_end_ = false;  // the buffer holds the file's end
};

}  // namespace umberhoist::state

// The journal's file format, specified in docs/design/journal.md: segment headers, framed records, and a
// reader that continues at the next valid record after damaged bytes. All numbers are little-endian.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "message.h"
#include "state/files.h"

namespace umberhoist::state {

using Micros = int64_t;  // microseconds; points in time are of the wall clock, since the Unix epoch

constexpr uint32_t kFormatVersion = 3;     // 1 was one file without headers; 2 had no tenants
constexpr uint32_t kMinFormatVersion = 2;  // oldest version whose segments can be read
constexpr size_t kHeaderBytes = 128;       // two copies of 64 bytes
constexpr size_t kFrameHeaderBytes = 12;
// Holds a body of 64 KiB and the client's id, class, key and tenant.
constexpr size_t kMaxPayloadBytes = 256 * 1024;
constexpr size_t kMaxOwnerBytes = 16;

struct SegmentHeader {
  uint32_t version = kFormatVersion;
  uint64_t segment_number = 0;
  uint64_t salt = 0;  // first input of each record's checksum, so that no message body can pass for a record
  std::string owner;  // name of the relay
};

std::string encode(const SegmentHeader& header);
// Decodes the first 128 bytes of a segment, or fewer. One intact copy suffices; returns nothing if there is
// none.
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

// An accepted message, and its state at the time of writing: a copy made by compaction carries the state from
// all earlier records of the message.
struct AcceptedMessage {
  uint64_t sequence = 0;  // number in order of acceptance; other records refer to the message by it
  Micros due = 0;
  std::vector<Attempt> attempts;
  std::optional<firspool::relay::Notice> pending_notice;  // its id is that of the message
  firspool::relay::Submission message;
};

std::string encode(const AcceptedMessage& accepted);
std::string encode_attempt(uint64_t sequence, const Attempt& attempt);
std::string encode_not_executed(uint64_t sequence, int number);
std::string encode_notice(uint64_t sequence, bool returned, Micros retry_after);
std::string encode_done(uint64_t sequence);
std::string encode_metadata(std::string_view name, std::string_view value);
// Size of the message's framed record, computed without encoding it.
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

// These return nothing if the payload does not match its record kind.
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
    std::string_view payload;  // valid until the next call of next()
    size_t offset = 0;
    size_t size = 0;       // of the framed record, or of the damaged range
    bool is_tail = false;  // damage up to the end of the file, as left by a process killed during a write
  };
  Item next();

 private:
  // Reads ahead until `wanted` bytes from offset_ on are buffered or the file ends. Returns how many are
  // buffered.
  size_t fill(size_t wanted);
  bool parse_record(size_t offset, Item& out);

  Files& files_;
  int file_;
  uint64_t salt_;
  size_t size_;
  size_t offset_ = kHeaderBytes;
  size_t buffer_start_ = kHeaderBytes;  // file offset of the buffer's first byte
  std::string buffer_;
  bool at_file_end_ = false;  // the buffer reaches the end of the file
};

}  // namespace umberhoist::state

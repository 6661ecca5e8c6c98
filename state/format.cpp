#include "state/format.h"

#include <algorithm>
#include <boost/crc.hpp>
#include <cstring>

#include "state/bytes.h"

namespace umberhoist::state {
namespace {

constexpr std::string_view kMagic = "UMBHJRNL";
constexpr size_t kHeaderCopyBytes = kHeaderBytes / 2;
constexpr char kRecordMarker[2] = {'\xd5', '\x4a'};
constexpr uint8_t kHasTenant = 0x80;  // flag in the notice byte of an accepted message, from version 3 on
constexpr size_t kReadChunkBytes = 512 * 1024;

using Crc32c = boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true>;

template <class Number>
Number number_at(std::string_view bytes, size_t offset) {
  Number value{};
  std::memcpy(&value, bytes.data() + offset, sizeof value);
  return value;
}

uint32_t checksum(uint64_t salt, std::string_view head, std::string_view payload) {
  Crc32c crc;
  crc.process_bytes(&salt, sizeof salt);
  crc.process_bytes(head.data(), head.size());
  crc.process_bytes(payload.data(), payload.size());
  return crc.checksum();
}

}  // namespace

std::string encode(const SegmentHeader& h) {
  std::string owner = h.owner.substr(0, kMaxOwnerBytes);
  owner.resize(kMaxOwnerBytes, '\0');
  ByteWriter out;
  out.write_bytes(kMagic)
      .write_number(h.version)
      .write_number(uint32_t{0})
      .write_number(h.segment_number)
      .write_number(h.salt)
      .write_bytes(owner);
  out.write_bytes(std::string(12, '\0'));
  std::string copy = out.take();
  const uint32_t crc = checksum(0, copy, {});
  copy.append(reinterpret_cast<const char*>(&crc), sizeof crc);
  return copy + copy;
}

std::optional<SegmentHeader> decode_header(std::string_view bytes) {
  for (const size_t offset : {size_t{0}, kHeaderCopyBytes}) {
    if (bytes.size() < offset + kHeaderCopyBytes) return {};
    const auto copy = bytes.substr(offset, kHeaderCopyBytes);
    if (!copy.starts_with(kMagic)) continue;
    if (checksum(0, copy.substr(0, kHeaderCopyBytes - 4), {}) !=
        number_at<uint32_t>(copy, kHeaderCopyBytes - 4))
      continue;
    SegmentHeader out;
    out.version = number_at<uint32_t>(copy, 8);
    out.segment_number = number_at<uint64_t>(copy, 16);
    out.salt = number_at<uint64_t>(copy, 24);
    const auto owner = copy.substr(32, kMaxOwnerBytes);
    out.owner = owner.substr(0, owner.find('\0'));
    return out;
  }
  return {};
}

std::string frame_record(uint64_t salt, RecordKind kind, std::string_view payload) {
  std::string out(kRecordMarker, sizeof kRecordMarker);
  out.push_back(static_cast<char>(kind));
  out.push_back('\0');
  const auto size = static_cast<uint32_t>(payload.size());
  out.append(reinterpret_cast<const char*>(&size), sizeof size);
  const uint32_t crc = checksum(salt, std::string_view(out).substr(2), payload);
  out.append(reinterpret_cast<const char*>(&crc), sizeof crc);
  return out.append(payload);
}

std::string encode(const AcceptedMessage& a) {
  ByteWriter out;
  out.write_number(a.sequence).write_number(a.due).write_number(static_cast<int32_t>(a.message.destination));
  const uint8_t notice_state = !a.pending_notice ? 0 : a.pending_notice->returned ? 2 : 1;
  out.write_number(static_cast<uint8_t>(notice_state | (a.message.tenant.empty() ? 0 : kHasTenant)));
  out.write_number(a.pending_notice ? a.pending_notice->retry_after : Micros{0});
  out.write_number(static_cast<uint16_t>(a.attempts.size()));
  for (const Attempt& t : a.attempts) {
    out.write_number(static_cast<uint16_t>(t.number))
        .write_number(t.sent)
        .write_number(static_cast<int16_t>(t.zone));
    out.write_number(static_cast<uint8_t>(t.not_executed));
  }
  out.write_string(a.message.id).write_string(a.message.message_class).write_string(a.message.key);
  if (!a.message.tenant.empty()) out.write_string(a.message.tenant);
  return out.write_bytes(a.message.body).take();
}

size_t framed_size(const AcceptedMessage& a) {
  return kFrameHeaderBytes + 31 + kEncodedAttemptBytes * a.attempts.size() + 6 + a.message.id.size() +
         a.message.message_class.size() + a.message.key.size() + a.message.body.size() +
         (a.message.tenant.empty() ? 0 : 2 + a.message.tenant.size());
}

std::string encode_attempt(uint64_t sequence, const Attempt& t) {
  return ByteWriter()
      .write_number(sequence)
      .write_number(static_cast<uint16_t>(t.number))
      .write_number(t.sent)
      .write_number(static_cast<int16_t>(t.zone))
      .take();
}
std::string encode_not_executed(uint64_t sequence, int number) {
  return ByteWriter().write_number(sequence).write_number(static_cast<uint16_t>(number)).take();
}
std::string encode_notice(uint64_t sequence, bool returned, Micros retry_after) {
  return ByteWriter()
      .write_number(sequence)
      .write_number(static_cast<uint8_t>(returned))
      .write_number(retry_after)
      .take();
}
std::string encode_done(uint64_t sequence) { return ByteWriter().write_number(sequence).take(); }
std::string encode_metadata(std::string_view name, std::string_view value) {
  return ByteWriter().write_string(name).write_bytes(value).take();
}

std::optional<AcceptedMessage> decode_accepted(std::string_view payload) {
  ByteReader in(payload);
  AcceptedMessage out;
  out.sequence = in.read_number<uint64_t>();
  out.due = in.read_number<Micros>();
  out.message.destination = in.read_number<int32_t>();
  const auto flags = in.read_number<uint8_t>();
  const int notice_state = flags & ~kHasTenant;
  const Micros retry_after = in.read_number<Micros>();
  const auto count = in.read_number<uint16_t>();
  for (size_t i = 0; i < count && in.ok(); ++i) {
    Attempt t;
    t.number = in.read_number<uint16_t>();
    t.sent = in.read_number<Micros>();
    t.zone = in.read_number<int16_t>();
    t.not_executed = in.read_number<uint8_t>() != 0;
    out.attempts.push_back(t);
  }
  out.message.id = in.read_string();
  out.message.message_class = in.read_string();
  out.message.key = in.read_string();
  if ((flags & kHasTenant) != 0) out.message.tenant = in.read_string();
  out.message.body = in.read_rest();
  if (notice_state != 0)
    out.pending_notice = firspool::relay::Notice{out.message.id, notice_state == 2, retry_after};
  return in.at_end() ? std::optional(std::move(out)) : std::nullopt;
}
std::optional<std::pair<uint64_t, Attempt>> decode_attempt(std::string_view payload) {
  ByteReader in(payload);
  const auto sequence = in.read_number<uint64_t>();
  Attempt t;
  t.number = in.read_number<uint16_t>();
  t.sent = in.read_number<Micros>();
  t.zone = in.read_number<int16_t>();
  return in.at_end() ? std::optional(std::pair(sequence, t)) : std::nullopt;
}
std::optional<std::pair<uint64_t, int>> decode_not_executed(std::string_view payload) {
  ByteReader in(payload);
  const auto sequence = in.read_number<uint64_t>();
  const int number = in.read_number<uint16_t>();
  return in.at_end() ? std::optional(std::pair(sequence, number)) : std::nullopt;
}
std::optional<std::pair<uint64_t, NoticeRecord>> decode_notice(std::string_view payload) {
  ByteReader in(payload);
  const auto sequence = in.read_number<uint64_t>();
  NoticeRecord out;
  out.returned = in.read_number<uint8_t>() != 0;
  out.retry_after = in.read_number<Micros>();
  return in.at_end() ? std::optional(std::pair(sequence, out)) : std::nullopt;
}
std::optional<uint64_t> decode_done(std::string_view payload) {
  ByteReader in(payload);
  const auto sequence = in.read_number<uint64_t>();
  return in.at_end() ? std::optional(sequence) : std::nullopt;
}
std::optional<MetadataEntry> decode_metadata(std::string_view payload) {
  ByteReader in(payload);
  MetadataEntry out;
  out.name = in.read_string();
  out.value = in.read_rest();
  return in.at_end() ? std::optional(std::move(out)) : std::nullopt;
}

SegmentReader::SegmentReader(Files& files, int file, uint64_t salt)
    : files_(files),
      file_(file),
      salt_(salt),
      size_(static_cast<size_t>(std::max<ssize_t>(0, files.size(file)))) {}

size_t SegmentReader::fill(size_t wanted) {
  const size_t available = buffer_start_ + buffer_.size() - offset_;
  if (available >= wanted || at_file_end_) return available;
  buffer_.erase(0, offset_ - buffer_start_);
  buffer_start_ = offset_;
  while (buffer_.size() < wanted && !at_file_end_) {
    const size_t before = buffer_.size();
    const size_t chunk = std::min(kReadChunkBytes, size_ - std::min(size_, buffer_start_ + before));
    buffer_.resize(before + chunk);
    const ssize_t bytes_read =
        chunk == 0 ? 0 : files_.read(file_, buffer_start_ + before, buffer_.data() + before, chunk);
    buffer_.resize(before + static_cast<size_t>(std::max<ssize_t>(0, bytes_read)));
    at_file_end_ = bytes_read <= 0;  // a read error counts as the end of the file
  }
  return buffer_.size();
}

// Decodes the record at the given file offset, if the buffer holds a valid one there.
bool SegmentReader::parse_record(size_t offset, Item& out) {
  const auto bytes = std::string_view(buffer_).substr(offset - buffer_start_);
  if (bytes.size() < kFrameHeaderBytes || bytes[0] != kRecordMarker[0] || bytes[1] != kRecordMarker[1])
    return false;
  const size_t size = number_at<uint32_t>(bytes, 4);
  if (size > kMaxPayloadBytes || bytes.size() < kFrameHeaderBytes + size) return false;
  const auto payload = bytes.substr(kFrameHeaderBytes, size);
  if (checksum(salt_, bytes.substr(2, 6), payload) != number_at<uint32_t>(bytes, 8)) return false;
  out.type = Item::Type::kRecord;
  out.kind = static_cast<RecordKind>(bytes[2]);
  out.payload = payload;
  out.offset = offset;
  out.size = kFrameHeaderBytes + size;
  return true;
}

SegmentReader::Item SegmentReader::next() {
  Item out;
  if (fill(kFrameHeaderBytes + kMaxPayloadBytes) == 0) return out;
  if (parse_record(offset_, out)) {
    offset_ += out.size;
    return out;
  }
  // Damaged: skip to the next valid record or to the end of the file.
  out.type = Item::Type::kDamage;
  out.offset = offset_;
  Item found;
  do {
    ++offset_;
    if (fill(kFrameHeaderBytes + kMaxPayloadBytes) == 0) {
      out.is_tail = true;
      break;
    }
  } while (!parse_record(offset_, found));
  out.size = offset_ - out.offset;
  return out;
}

}  // namespace umberhoist::state

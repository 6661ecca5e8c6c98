#include "state/format.h"

#include <algorithm>
#include <boost/crc.hpp>
#include <cstring>

#include "state/bytes.h"

namespace umberhoist::state {
namespace {

constexpr std::string_view kMagic = "UMBHJRNL";
constexpr size_t kCopyBytes = kHeaderBytes / 2;
constexpr char kMark[2] = {'\xd5', '\x4a'};
constexpr uint8_t kNamesTenant = 0x80;  // in the notice's byte of an accepted message, from version 3 on
constexpr size_t kReadAtOnce = 512 * 1024;

using Crc32c = boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true>;

template <class Number>
Number number_at(std::string_view bytes, size_t at) {
  Number value{};
  std::memcpy(&value, bytes.data() + at, sizeof value);
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

std::string encode(const Header& h) {
  std::string owner = h.owner.substr(0, kMostOwner);
  owner.resize(kMostOwner, '\0');
  Writer out;
  out.rest(kMagic).number(h.version).number(uint32_t{0}).number(h.number).number(h.salt).rest(owner);
  out.rest(std::string(12, '\0'));
  std::string copy = out.take();
  const uint32_t sum = checksum(0, copy, {});
  copy.append(reinterpret_cast<const char*>(&sum), sizeof sum);
  return copy + copy;
}

std::optional<Header> decode_header(std::string_view bytes) {
  for (const size_t at : {size_t{0}, kCopyBytes}) {
    if (bytes.size() < at + kCopyBytes) return {};
    const auto copy = bytes.substr(at, kCopyBytes);
    if (!copy.starts_with(kMagic)) continue;
    if (checksum(0, copy.substr(0, kCopyBytes - 4), {}) != number_at<uint32_t>(copy, kCopyBytes - 4))
      continue;
    Header out;
    out.version = number_at<uint32_t>(copy, 8);
    out.number = number_at<uint64_t>(copy, 16);
    out.salt = number_at<uint64_t>(copy, 24);
    const auto owner = copy.substr(32, kMostOwner);
    out.owner = owner.substr(0, owner.find('\0'));
    return out;
  }
  return {};
}

std::string frame(uint64_t salt, Kind kind, std::string_view payload) {
  std::string out(kMark, sizeof kMark);
  out.push_back(static_cast<char>(kind));
  out.push_back('\0');
  const auto size = static_cast<uint32_t>(payload.size());
  out.append(reinterpret_cast<const char*>(&size), sizeof size);
  const uint32_t sum = checksum(salt, std::string_view(out).substr(2), payload);
  out.append(reinterpret_cast<const char*>(&sum), sizeof sum);
  return out.append(payload);
}

std::string encode(const Accepted& a) {
  Writer out;
  out.number(a.order).number(a.due).number(static_cast<int32_t>(a.message.destination));
  const uint8_t notice = !a.owed ? 0 : a.owed->returned ? 2 : 1;
  out.number(static_cast<uint8_t>(notice | (a.message.tenant.empty() ? 0 : kNamesTenant)));
  out.number(a.owed ? a.owed->retry_after : Time{0});
  out.number(static_cast<uint16_t>(a.attempts.size()));
  for (const Attempt& t : a.attempts) {
    out.number(static_cast<uint16_t>(t.number)).number(t.sent).number(static_cast<int16_t>(t.zone));
    out.number(static_cast<uint8_t>(t.never_ran));
  }
  out.text(a.message.id).text(a.message.message_class).text(a.message.key);
  if (!a.message.tenant.empty()) out.text(a.message.tenant);
  return out.rest(a.message.body).take();
}

size_t framed_bytes(const Accepted& a) {
  return kFrameBytes + 31 + kAttemptInCopy * a.attempts.size() + 6 + a.message.id.size() +
         a.message.message_class.size() + a.message.key.size() + a.message.body.size() +
         (a.message.tenant.empty() ? 0 : 2 + a.message.tenant.size());
}

std::string encode_attempt(uint64_t order, const Attempt& t) {
  return Writer()
      .number(order)
      .number(static_cast<uint16_t>(t.number))
      .number(t.sent)
      .number(static_cast<int16_t>(t.zone))
      .take();
}
std::string encode_never_ran(uint64_t order, int number) {
  return Writer().number(order).number(static_cast<uint16_t>(number)).take();
}
std::string encode_owed(uint64_t order, bool returned, Time after) {
  return Writer().number(order).number(static_cast<uint8_t>(returned)).number(after).take();
}
std::string encode_done(uint64_t order) { return Writer().number(order).take(); }
std::string encode_fact(std::string_view name, std::string_view value) {
  return Writer().text(name).rest(value).take();
}

std::optional<Accepted> decode_accepted(std::string_view payload) {
  Reader in(payload);
  Accepted out;
  out.order = in.number<uint64_t>();
  out.due = in.number<Time>();
  out.message.destination = in.number<int32_t>();
  const auto marks = in.number<uint8_t>();
  const int owed = marks & ~kNamesTenant;
  const Time after = in.number<Time>();
  const auto count = in.number<uint16_t>();
  for (size_t i = 0; i < count && in.good(); ++i) {
    Attempt t;
    t.number = in.number<uint16_t>();
    t.sent = in.number<Time>();
    t.zone = in.number<int16_t>();
    t.never_ran = in.number<uint8_t>() != 0;
    out.attempts.push_back(t);
  }
  out.message.id = in.text();
  out.message.message_class = in.text();
  out.message.key = in.text();
  if ((marks & kNamesTenant) != 0) out.message.tenant = in.text();
  out.message.body = in.rest();
  if (owed != 0) out.owed = firspool::relay::Notice{out.message.id, owed == 2, after};
  return in.all() ? std::optional(std::move(out)) : std::nullopt;
}
std::optional<std::pair<uint64_t, Attempt>> decode_attempt(std::string_view payload) {
  Reader in(payload);
  const auto order = in.number<uint64_t>();
  Attempt t;
  t.number = in.number<uint16_t>();
  t.sent = in.number<Time>();
  t.zone = in.number<int16_t>();
  return in.all() ? std::optional(std::pair(order, t)) : std::nullopt;
}
std::optional<std::pair<uint64_t, int>> decode_never_ran(std::string_view payload) {
  Reader in(payload);
  const auto order = in.number<uint64_t>();
  const int number = in.number<uint16_t>();
  return in.all() ? std::optional(std::pair(order, number)) : std::nullopt;
}
std::optional<std::pair<uint64_t, Owed>> decode_owed(std::string_view payload) {
  Reader in(payload);
  const auto order = in.number<uint64_t>();
  Owed out;
  out.returned = in.number<uint8_t>() != 0;
  out.after = in.number<Time>();
  return in.all() ? std::optional(std::pair(order, out)) : std::nullopt;
}
std::optional<uint64_t> decode_done(std::string_view payload) {
  Reader in(payload);
  const auto order = in.number<uint64_t>();
  return in.all() ? std::optional(order) : std::nullopt;
}
std::optional<Fact> decode_fact(std::string_view payload) {
  Reader in(payload);
  Fact out;
  out.name = in.text();
  out.value = in.rest();
  return in.all() ? std::optional(std::move(out)) : std::nullopt;
}

SegmentReader::SegmentReader(Files& files, int file, uint64_t salt)
    : files_(files),
      file_(file),
      salt_(salt),
      size_(static_cast<size_t>(std::max<ssize_t>(0, files.size(file)))) {}

size_t SegmentReader::fill(size_t want) {
  const size_t held = from_ + buffer_.size() - at_;
  if (held >= want || ended_) return held;
  buffer_.erase(0, at_ - from_);
  from_ = at_;
  while (buffer_.size() < want && !ended_) {
    const size_t before = buffer_.size();
    const size_t most = std::min(kReadAtOnce, size_ - std::min(size_, from_ + before));
    buffer_.resize(before + most);
    const ssize_t got = most == 0 ? 0 : files_.read(file_, from_ + before, buffer_.data() + before, most);
    buffer_.resize(before + static_cast<size_t>(std::max<ssize_t>(0, got)));
    ended_ = got <= 0;  // what cannot be read is as good as not there
  }
  return buffer_.size();
}

// A whole record at this place of the buffer.
bool SegmentReader::whole(size_t at, Item& out) {
  const auto bytes = std::string_view(buffer_).substr(at - from_);
  if (bytes.size() < kFrameBytes || bytes[0] != kMark[0] || bytes[1] != kMark[1]) return false;
  const size_t size = number_at<uint32_t>(bytes, 4);
  if (size > kMostRecord || bytes.size() < kFrameBytes + size) return false;
  const auto payload = bytes.substr(kFrameBytes, size);
  if (checksum(salt_, bytes.substr(2, 6), payload) != number_at<uint32_t>(bytes, 8)) return false;
  out.what = Item::What::kRecord;
  out.kind = static_cast<Kind>(bytes[2]);
  out.payload = payload;
  out.at = at;
  out.bytes = kFrameBytes + size;
  return true;
}

SegmentReader::Item SegmentReader::next() {
  Item out;
  if (fill(kFrameBytes + kMostRecord) == 0) return out;
  if (whole(at_, out)) {
    at_ += out.bytes;
    return out;
  }
  // Damage: up to the next whole record, or to the end.
  out.what = Item::What::kDamage;
  out.at = at_;
  Item found;
  do {
    ++at_;
    if (fill(kFrameBytes + kMostRecord) == 0) {
      out.tail = true;
      break;
    }
  } while (!whole(at_, found));
  out.bytes = at_ - out.at;
  return out;
}

}  // namespace umberhoist::state

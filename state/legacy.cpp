// Reads the journal of format version 1 for migration: one file of records, each with its length, CRC-32 and
// payload. Records have no marker; the next one is found by the length.
#include <algorithm>
#include <boost/crc.hpp>
#include <cstring>

#include "state/bytes.h"
#include "state/journal.h"

namespace umberhoist::state {
namespace {

constexpr size_t kRecordHeaderBytes = 8;

uint32_t checksum(std::string_view contents) {
  boost::crc_32_type crc;
  crc.process_bytes(contents.data(), contents.size());
  return crc.checksum();
}

std::optional<std::string_view> read_record(std::string_view contents, size_t offset) {
  if (contents.size() - offset < kRecordHeaderBytes) return {};
  uint32_t head[2];
  std::memcpy(head, contents.data() + offset, kRecordHeaderBytes);
  if (head[0] == 0 || head[0] > contents.size() - offset - kRecordHeaderBytes) return {};
  const auto payload = contents.substr(offset + kRecordHeaderBytes, head[0]);
  return checksum(payload) == head[1] ? std::optional(payload) : std::nullopt;
}

void apply_record(std::string_view payload, LegacyJournal& out, std::map<std::string, size_t>& index_by_id) {
  ByteReader in(payload);
  const char kind = in.read_number<char>();
  const std::string id = in.read_string<int64_t>();
  if (!in.ok()) return;
  if (kind == 'F') {
    std::string value = in.read_string<int64_t>();
    if (value.empty()) {
      out.metadata.erase(id);
    } else {
      out.metadata[id] = std::move(value);
    }
    return;
  }
  if (kind == 'A') {
    AcceptedMessage a;
    a.message.id = id;
    a.message.message_class = in.read_string<int64_t>();
    a.message.key = in.read_string<int64_t>();
    a.message.destination = static_cast<int>(in.read_number<int64_t>());
    a.due = in.read_number<int64_t>();
    a.message.body = in.read_string<int64_t>();
    if (!in.ok()) return;
    index_by_id[id] = out.messages.size();
    out.messages.push_back(std::move(a));
    return;
  }
  const auto position = index_by_id.find(id);
  if (position == index_by_id.end()) return;
  AcceptedMessage& a = out.messages[position->second];
  if (kind == 'T') {
    Attempt t;
    t.number = static_cast<int>(in.read_number<int64_t>());
    t.sent = in.read_number<int64_t>();
    t.zone = static_cast<int>(in.read_number<int64_t>());
    a.attempts.push_back(t);
  } else if (kind == 'N') {
    const auto number = in.read_number<int64_t>();
    for (Attempt& t : a.attempts) t.not_executed |= t.number == number;
  } else if (kind == 'O') {
    const bool returned = in.read_number<int64_t>() != 0;
    a.pending_notice = Notice{id, returned, in.read_number<int64_t>()};
  } else if (kind == 'D') {
    index_by_id.erase(position);
  }
}

}  // namespace

std::optional<LegacyJournal> read_legacy_journal(Files& files, const std::string& name) {
  const int file = files.open(name);
  if (file < 0) return {};
  std::string contents(static_cast<size_t>(std::max<ssize_t>(0, files.size(file))), '\0');
  size_t bytes_read = 0;
  while (bytes_read < contents.size()) {
    const ssize_t count =
        files.read(file, bytes_read, contents.data() + bytes_read, contents.size() - bytes_read);
    if (count <= 0) break;
    bytes_read += static_cast<size_t>(count);
  }
  files.close(file);
  contents.resize(bytes_read);
  LegacyJournal out;
  std::map<std::string, size_t> index_by_id;
  for (size_t offset = 0; offset < contents.size();) {
    if (const auto payload = read_record(contents, offset)) {
      apply_record(*payload, out, index_by_id);
      offset += kRecordHeaderBytes + payload->size();
      continue;
    }
    // Damaged bytes or a torn tail: try each following offset until a valid record is found.
    const size_t damage_start = offset;
    do {
      ++offset;
    } while (offset < contents.size() && !read_record(contents, offset));
    if (offset < contents.size()) out.damaged_bytes += offset - damage_start;
  }
  std::vector<AcceptedMessage> live_messages;
  for (size_t i = 0; i < out.messages.size(); ++i) {
    const auto position = index_by_id.find(out.messages[i].message.id);
    if (position == index_by_id.end() || position->second != i) continue;
    live_messages.push_back(std::move(out.messages[i]));
    live_messages.back().sequence = live_messages.size();
  }
  out.messages = std::move(live_messages);
  return out;
}

}  // namespace umberhoist::state

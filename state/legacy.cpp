// Reads the journal of version 1: one file of records with length, CRC-32 and payload, and no way to find the
// next one but by the lengths. Only read, to be carried over.
#include <algorithm>
#include <boost/crc.hpp>
#include <cstring>

#include "state/bytes.h"
#include "state/journal.h"

namespace umberhoist::state {
namespace {

constexpr size_t kHead = 8;

uint32_t checksum(std::string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

std::optional<std::string_view> whole(std::string_view bytes, size_t at) {
  if (bytes.size() - at < kHead) return {};
  uint32_t head[2];
  std::memcpy(head, bytes.data() + at, kHead);
  if (head[0] == 0 || head[0] > bytes.size() - at - kHead) return {};
  const auto payload = bytes.substr(at + kHead, head[0]);
  return checksum(payload) == head[1] ? std::optional(payload) : std::nullopt;
}

void apply(std::string_view payload, LegacyJournal& out, std::map<std::string, size_t>& places) {
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
    places[id] = out.messages.size();
    out.messages.push_back(std::move(a));
    return;
  }
  const auto place = places.find(id);
  if (place == places.end()) return;
  AcceptedMessage& a = out.messages[place->second];
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
    places.erase(place);
  }
}

}  // namespace

std::optional<LegacyJournal> read_legacy_journal(Files& files, const std::string& name) {
  const int file = files.open(name);
  if (file < 0) return {};
  std::string bytes(static_cast<size_t>(std::max<ssize_t>(0, files.size(file))), '\0');
  size_t got = 0;
  while (got < bytes.size()) {
    const ssize_t n = files.read(file, got, bytes.data() + got, bytes.size() - got);
    if (n <= 0) break;
    got += static_cast<size_t>(n);
  }
  files.close(file);
  bytes.resize(got);
  LegacyJournal out;
  std::map<std::string, size_t> places;
  for (size_t at = 0; at < bytes.size();) {
    if (const auto payload = whole(bytes, at)) {
      apply(*payload, out, places);
      at += kHead + payload->size();
      continue;
    }
    // Damage or a torn tail: the next whole record lies wherever one can be read.
    const size_t from = at;
    do {
      ++at;
    } while (at < bytes.size() && !whole(bytes, at));
    if (at < bytes.size()) out.damaged_bytes += at - from;
  }
  std::vector<AcceptedMessage> left;
  for (size_t i = 0; i < out.messages.size(); ++i) {
    const auto place = places.find(out.messages[i].message.id);
    if (place == places.end() || place->second != i) continue;
    left.push_back(std::move(out.messages[i]));
    left.back().sequence = left.size();
  }
  out.messages = std::move(left);
  return out;
}

}  // namespace umberhoist::state

#include "earlier_journal.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/crc.hpp>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace umberhoist::earlier {
namespace {

constexpr double kFilePart = 0.42;    // of the disk: the old and the new file together stay well under it
constexpr double kAcceptPart = 0.75;  // of the file: the rest is for the records that follow
constexpr size_t kReserve = 512;      // for a message's attempts and its end
constexpr size_t kHeader = 8;         // length and checksum

enum Kind : char { kAccepted = 'A', kAttempt = 'T', kNeverRan = 'N', kOwed = 'O', kDone = 'D', kFact = 'F' };

class Writer {
 public:
  Writer(Kind kind, const std::string& id) {
    out_.push_back(kind);
    text(id);
  }
  Writer& number(int64_t value) {
    char raw[sizeof value];
    std::memcpy(raw, &value, sizeof value);
    out_.append(raw, sizeof raw);
    return *this;
  }
  Writer& text(std::string_view value) {
    number(static_cast<int64_t>(value.size()));
    out_.append(value);
    return *this;
  }
  const std::string& payload() const { return out_; }

 private:
  std::string out_;
};

class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}
  char kind() { return raw(1)[0]; }
  int64_t number() {
    int64_t value = 0;
    std::memcpy(&value, raw(sizeof value).data(), sizeof value);
    return value;
  }
  std::string text() { return std::string(raw(static_cast<size_t>(number()))); }

 private:
  std::string_view raw(size_t count) {
    if (count > bytes_.size()) throw std::runtime_error("journal record is cut short");
    const auto out = bytes_.substr(0, count);
    bytes_.remove_prefix(count);
    return out;
  }
  std::string_view bytes_;
};

uint32_t checksum(std::string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

std::string framed(std::string_view payload) {
  const uint32_t head[2] = {static_cast<uint32_t>(payload.size()), checksum(payload)};
  char raw[kHeader];
  std::memcpy(raw, head, kHeader);
  return std::string(raw, kHeader).append(payload);
}

bool write_all(int file, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t done = ::write(file, bytes.data(), bytes.size());
    if (done < 0 && errno == EINTR) continue;
    if (done <= 0) return false;
    bytes.remove_prefix(static_cast<size_t>(done));
  }
  return true;
}

}  // namespace

Journal::Journal(const std::filesystem::path& folder, size_t disk_bytes)
    : path_(folder / "journal"),
      fresh_path_(folder / "journal.new"),
      max_file_bytes_(static_cast<size_t>(kFilePart * static_cast<double>(disk_bytes))) {
  std::error_code ignored;
  std::filesystem::remove(fresh_path_, ignored);
  file_ = ::open(path_.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (file_ < 0) throw std::runtime_error("cannot open " + path_.string() + ": " + std::strerror(errno));
  replay();
}

Journal::~Journal() { ::close(file_); }

// A process killed while it wrote leaves a torn record at the end: what stands before it is whole.
void Journal::replay() {
  std::ifstream in(path_, std::ios::binary);
  const std::string bytes{std::istreambuf_iterator<char>(in), {}};
  std::map<std::string, size_t> places;
  size_t at = 0;
  while (bytes.size() - at >= kHeader) {
    uint32_t head[2];
    std::memcpy(head, bytes.data() + at, kHeader);
    if (head[0] > bytes.size() - at - kHeader) break;
    const auto payload = std::string_view(bytes).substr(at + kHeader, head[0]);
    if (payload.empty() || checksum(payload) != head[1]) break;
    apply(payload, places);
    at += kHeader + head[0];
  }
  size_ = at;
  if (at < bytes.size() && ::ftruncate(file_, static_cast<off_t>(at)) != 0) {
    throw std::runtime_error("cannot cut the torn tail of " + path_.string() + ": " + std::strerror(errno));
  }
  std::vector<RecoveredMessage> left;
  for (size_t i = 0; i < recovered_.size(); ++i) {
    const auto place = places.find(recovered_[i].message.id);
    if (place != places.end() && place->second == i) left.push_back(std::move(recovered_[i]));
  }
  recovered_ = std::move(left);
}

void Journal::apply(std::string_view record, std::map<std::string, size_t>& places) {
  Reader in(record);
  const char kind = in.kind();
  const std::string id = in.text();
  if (kind == kFact) return store_metadata(id, in.text());
  if (kind == kAccepted) {
    RecoveredMessage entry;
    entry.message.id = id;
    entry.message.message_class = in.text();
    entry.message.key = in.text();
    entry.message.destination = static_cast<int>(in.number());
    entry.due = in.number();
    entry.message.body = in.text();
    places[id] = recovered_.size();
    recovered_.push_back(std::move(entry));
    places_[id] = ++last_sequence_;
  }
  const auto place = places.find(id);
  if (place == places.end()) return;
  RecoveredMessage& entry = recovered_[place->second];
  std::string& kept = live_[places_[id]];
  if (kind == kAttempt) {
    const int number = static_cast<int>(in.number());
    const Time sent = in.number();
    entry.attempts = number + 1;
    entry.maybe_executed[number] = {sent, static_cast<int>(in.number())};
  } else if (kind == kNeverRan) {
    entry.maybe_executed.erase(static_cast<int>(in.number()));
  } else if (kind == kOwed) {
    const bool returned = in.number() != 0;
    entry.pending_notice = Notice{id, returned, in.number()};
  } else if (kind == kDone) {
    live_bytes_ -= kept.size() + kReserve;
    live_.erase(places_[id]);
    places_.erase(id);
    places.erase(place);
    return;
  }
  if (kept.empty()) live_bytes_ += kReserve;
  kept += framed(record);
  live_bytes_ += kHeader + record.size();
}

void Journal::store_metadata(const std::string& name, const std::string& value) {
  const auto old = metadata_.find(name);
  if (old != metadata_.end()) {
    live_bytes_ -= framed(Writer(kFact, name).text(old->second).payload()).size();
    metadata_.erase(old);
  }
  if (value.empty()) return;
  live_bytes_ += framed(Writer(kFact, name).text(value).payload()).size();
  metadata_[name] = value;
}

void Journal::put_metadata(const std::string& name, const std::string& value) {
  const auto old = metadata_.find(name);
  if (value == (old == metadata_.end() ? "" : old->second)) return;
  store_metadata(name, value);
  write(framed(Writer(kFact, name).text(value).payload()));
}

bool Journal::record_accepted(const Submission& m, Time due) {
  Writer out(kAccepted, m.id);
  out.text(m.message_class).text(m.key).number(m.destination).number(due).text(m.body);
  const size_t bytes = kHeader + out.payload().size() + kReserve;
  if (static_cast<double>(live_bytes_ + bytes) > kAcceptPart * static_cast<double>(max_file_bytes_))
    return false;
  places_[m.id] = ++last_sequence_;
  if (append(m.id, out.payload())) {
    live_bytes_ += kReserve;
    return true;
  }
  live_bytes_ -= live_[last_sequence_].size();
  live_.erase(last_sequence_);
  places_.erase(m.id);
  return false;
}

bool Journal::record_attempt(const std::string& id, int number, Time sent, int zone) {
  const auto place = places_.find(id);
  if (place == places_.end()) return false;
  const std::string payload = Writer(kAttempt, id).number(number).number(sent).number(zone).payload();
  if (append(id, payload)) return true;
  std::string& kept = live_[place->second];  // the call does not start: a compaction must not tell of it
  const size_t record = kHeader + payload.size();
  kept.resize(kept.size() - record);
  live_bytes_ -= record;
  return false;
}

void Journal::record_not_executed(const std::string& id, int number) {
  append(id, Writer(kNeverRan, id).number(number).payload());
}

void Journal::record_notice(const Notice& notice) {
  append(notice.id, Writer(kOwed, notice.id).number(notice.returned).number(notice.retry_after).payload());
}

void Journal::record_done(const std::string& id) {
  const auto place = places_.find(id);
  if (place == places_.end()) return;
  live_bytes_ -= live_[place->second].size() + kReserve;
  live_.erase(place->second);
  places_.erase(place);
  write(framed(Writer(kDone, id).payload()));
}

bool Journal::append(const std::string& id, const std::string& payload) {
  const auto place = places_.find(id);
  if (place == places_.end()) return false;
  const std::string bytes = framed(payload);
  live_[place->second] += bytes;
  live_bytes_ += bytes.size();
  return write(bytes);
}

// The live records already hold what is written here, so a compaction writes it too.
bool Journal::write(std::string_view bytes) {
  if (size_ + bytes.size() > max_file_bytes_ && compact()) return true;
  if (size_ + bytes.size() > max_file_bytes_) return false;
  if (write_all(file_, bytes)) {
    size_ += bytes.size();
    return true;
  }
  // Part of a record would hide all that follows it from the next start.
  if (::ftruncate(file_, static_cast<off_t>(size_)) != 0) return compact();
  return false;
}

bool Journal::compact() {
  std::string bytes;
  for (const auto& [name, value] : metadata_) bytes += framed(Writer(kFact, name).text(value).payload());
  for (const auto& [place, records] : live_) bytes += records;
  if (bytes.size() > max_file_bytes_) return false;
  const int fresh = ::open(fresh_path_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
  if (fresh < 0) return false;
  if (!write_all(fresh, bytes) || ::rename(fresh_path_.c_str(), path_.c_str()) != 0) {
    ::close(fresh);
    ::unlink(fresh_path_.c_str());
    return false;
  }
  ::close(file_);
  file_ = fresh;
  size_ = bytes.size();
  return true;
}

}  // namespace umberhoist::earlier

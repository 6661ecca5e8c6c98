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

// Of the disk, so that the old and the new file together stay well under it.
constexpr double kMaxFileFraction = 0.42;
// Of the file; the rest is for the later records of accepted messages.
constexpr double kMaxLiveFraction = 0.75;
constexpr size_t kReserveBytes = 512;  // reserved per message for its attempts and done record
constexpr size_t kHeaderBytes = 8;     // of a record: length and checksum

enum RecordKind : char {
  kAccepted = 'A',
  kAttempt = 'T',
  kNotExecuted = 'N',
  kNotice = 'O',
  kDone = 'D',
  kMetadata = 'F'
};

class RecordWriter {
 public:
  RecordWriter(RecordKind kind, const std::string& id) {
    out_.push_back(kind);
    write_string(id);
  }
  RecordWriter& write_number(int64_t value) {
    char raw[sizeof value];
    std::memcpy(raw, &value, sizeof value);
    out_.append(raw, sizeof raw);
    return *this;
  }
  RecordWriter& write_string(std::string_view value) {
    write_number(static_cast<int64_t>(value.size()));
    out_.append(value);
    return *this;
  }
  const std::string& payload() const { return out_; }

 private:
  std::string out_;
};

class RecordReader {
 public:
  explicit RecordReader(std::string_view bytes) : bytes_(bytes) {}
  char kind() { return consume(1)[0]; }
  int64_t read_number() {
    int64_t value = 0;
    std::memcpy(&value, consume(sizeof value).data(), sizeof value);
    return value;
  }
  std::string read_string() { return std::string(consume(static_cast<size_t>(read_number()))); }

 private:
  std::string_view consume(size_t count) {
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

std::string frame_record(std::string_view payload) {
  const uint32_t header[2] = {static_cast<uint32_t>(payload.size()), checksum(payload)};
  char raw[kHeaderBytes];
  std::memcpy(raw, header, kHeaderBytes);
  return std::string(raw, kHeaderBytes).append(payload);
}

bool write_all(int file, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(file, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return false;
    bytes.remove_prefix(static_cast<size_t>(written));
  }
  return true;
}

}  // namespace

Journal::Journal(const std::filesystem::path& folder, size_t disk_bytes)
    : path_(folder / "journal"),
      compacted_path_(folder / "journal.new"),
      max_file_bytes_(static_cast<size_t>(kMaxFileFraction * static_cast<double>(disk_bytes))) {
  std::error_code ignored;
  std::filesystem::remove(compacted_path_, ignored);
  file_ = ::open(path_.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (file_ < 0) throw std::runtime_error("cannot open " + path_.string() + ": " + std::strerror(errno));
  replay();
}

Journal::~Journal() { ::close(file_); }

// A process killed during a write leaves a torn record at the end; all records before it are intact.
void Journal::replay() {
  std::ifstream in(path_, std::ios::binary);
  const std::string bytes{std::istreambuf_iterator<char>(in), {}};
  std::map<std::string, size_t> index_by_id;
  size_t offset = 0;
  while (bytes.size() - offset >= kHeaderBytes) {
    uint32_t header[2];
    std::memcpy(header, bytes.data() + offset, kHeaderBytes);
    if (header[0] > bytes.size() - offset - kHeaderBytes) break;
    const auto payload = std::string_view(bytes).substr(offset + kHeaderBytes, header[0]);
    if (payload.empty() || checksum(payload) != header[1]) break;
    apply_record(payload, index_by_id);
    offset += kHeaderBytes + header[0];
  }
  size_ = offset;
  if (offset < bytes.size() && ::ftruncate(file_, static_cast<off_t>(offset)) != 0) {
    throw std::runtime_error("cannot cut the torn tail of " + path_.string() + ": " + std::strerror(errno));
  }
  std::vector<RecoveredMessage> live_messages;
  for (size_t i = 0; i < recovered_.size(); ++i) {
    const auto position = index_by_id.find(recovered_[i].message.id);
    if (position != index_by_id.end() && position->second == i)
      live_messages.push_back(std::move(recovered_[i]));
  }
  recovered_ = std::move(live_messages);
}

void Journal::apply_record(std::string_view payload, std::map<std::string, size_t>& index_by_id) {
  RecordReader in(payload);
  const char kind = in.kind();
  const std::string id = in.read_string();
  if (kind == kMetadata) return store_metadata(id, in.read_string());
  if (kind == kAccepted) {
    RecoveredMessage entry;
    entry.message.id = id;
    entry.message.message_class = in.read_string();
    entry.message.key = in.read_string();
    entry.message.destination = static_cast<int>(in.read_number());
    entry.due = in.read_number();
    entry.message.body = in.read_string();
    index_by_id[id] = recovered_.size();
    recovered_.push_back(std::move(entry));
    sequence_by_id_[id] = ++last_sequence_;
  }
  const auto position = index_by_id.find(id);
  if (position == index_by_id.end()) return;
  RecoveredMessage& entry = recovered_[position->second];
  std::string& records = live_records_[sequence_by_id_[id]];
  if (kind == kAttempt) {
    const int number = static_cast<int>(in.read_number());
    const Time sent = in.read_number();
    entry.attempts = number + 1;
    entry.maybe_executed[number] = {sent, static_cast<int>(in.read_number())};
  } else if (kind == kNotExecuted) {
    entry.maybe_executed.erase(static_cast<int>(in.read_number()));
  } else if (kind == kNotice) {
    const bool returned = in.read_number() != 0;
    entry.pending_notice = Notice{id, returned, in.read_number()};
  } else if (kind == kDone) {
    live_bytes_ -= records.size() + kReserveBytes;
    live_records_.erase(sequence_by_id_[id]);
    sequence_by_id_.erase(id);
    index_by_id.erase(position);
    return;
  }
  if (records.empty()) live_bytes_ += kReserveBytes;
  records += frame_record(payload);
  live_bytes_ += kHeaderBytes + payload.size();
}

void Journal::store_metadata(const std::string& name, const std::string& value) {
  const auto old = metadata_.find(name);
  if (old != metadata_.end()) {
    live_bytes_ -= frame_record(RecordWriter(kMetadata, name).write_string(old->second).payload()).size();
    metadata_.erase(old);
  }
  if (value.empty()) return;
  live_bytes_ += frame_record(RecordWriter(kMetadata, name).write_string(value).payload()).size();
  metadata_[name] = value;
}

void Journal::put_metadata(const std::string& name, const std::string& value) {
  const auto old = metadata_.find(name);
  if (value == (old == metadata_.end() ? "" : old->second)) return;
  store_metadata(name, value);
  write(frame_record(RecordWriter(kMetadata, name).write_string(value).payload()));
}

bool Journal::record_accepted(const Submission& m, Time due) {
  RecordWriter out(kAccepted, m.id);
  out.write_string(m.message_class)
      .write_string(m.key)
      .write_number(m.destination)
      .write_number(due)
      .write_string(m.body);
  const size_t bytes = kHeaderBytes + out.payload().size() + kReserveBytes;
  if (static_cast<double>(live_bytes_ + bytes) > kMaxLiveFraction * static_cast<double>(max_file_bytes_))
    return false;
  sequence_by_id_[m.id] = ++last_sequence_;
  if (append(m.id, out.payload())) {
    live_bytes_ += kReserveBytes;
    return true;
  }
  live_bytes_ -= live_records_[last_sequence_].size();
  live_records_.erase(last_sequence_);
  sequence_by_id_.erase(m.id);
  return false;
}

bool Journal::record_attempt(const std::string& id, int number, Time sent, int zone) {
  const auto position = sequence_by_id_.find(id);
  if (position == sequence_by_id_.end()) return false;
  const std::string payload =
      RecordWriter(kAttempt, id).write_number(number).write_number(sent).write_number(zone).payload();
  if (append(id, payload)) return true;
  // The call does not start, so a compaction must not write this attempt.
  std::string& records = live_records_[position->second];
  const size_t record = kHeaderBytes + payload.size();
  records.resize(records.size() - record);
  live_bytes_ -= record;
  return false;
}

void Journal::record_not_executed(const std::string& id, int number) {
  append(id, RecordWriter(kNotExecuted, id).write_number(number).payload());
}

void Journal::record_notice(const Notice& notice) {
  append(notice.id, RecordWriter(kNotice, notice.id)
                        .write_number(notice.returned)
                        .write_number(notice.retry_after)
                        .payload());
}

void Journal::record_done(const std::string& id) {
  const auto position = sequence_by_id_.find(id);
  if (position == sequence_by_id_.end()) return;
  live_bytes_ -= live_records_[position->second].size() + kReserveBytes;
  live_records_.erase(position->second);
  sequence_by_id_.erase(position);
  write(frame_record(RecordWriter(kDone, id).payload()));
}

bool Journal::append(const std::string& id, const std::string& payload) {
  const auto position = sequence_by_id_.find(id);
  if (position == sequence_by_id_.end()) return false;
  const std::string bytes = frame_record(payload);
  live_records_[position->second] += bytes;
  live_bytes_ += bytes.size();
  return write(bytes);
}

// live_records_ already holds the record when this is called, so a compaction in here writes it as well.
bool Journal::write(std::string_view bytes) {
  if (size_ + bytes.size() > max_file_bytes_ && compact()) return true;
  if (size_ + bytes.size() > max_file_bytes_) return false;
  if (write_all(file_, bytes)) {
    size_ += bytes.size();
    return true;
  }
  // A partial record would make the next start lose all records after it.
  if (::ftruncate(file_, static_cast<off_t>(size_)) != 0) return compact();
  return false;
}

bool Journal::compact() {
  std::string bytes;
  for (const auto& [name, value] : metadata_)
    bytes += frame_record(RecordWriter(kMetadata, name).write_string(value).payload());
  for (const auto& [position, records] : live_records_) bytes += records;
  if (bytes.size() > max_file_bytes_) return false;
  const int compacted_file =
      ::open(compacted_path_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
  if (compacted_file < 0) return false;
  if (!write_all(compacted_file, bytes) || ::rename(compacted_path_.c_str(), path_.c_str()) != 0) {
    ::close(compacted_file);
    ::unlink(compacted_path_.c_str());
    return false;
  }
  ::close(file_);
  file_ = compacted_file;
  size_ = bytes.size();
  return true;
}

}  // namespace umberhoist::earlier

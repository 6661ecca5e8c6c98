#include "state/journal.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <random>
#include <stdexcept>
#include <utility>

namespace umberhoist::state {
namespace {

constexpr const char* kSegmentPrefix = "journal-";
constexpr const char* kMigrationFileName = "carry.tmp";
constexpr const char* kSetAsidePrefix = "aside-";

std::string segment_name(uint64_t number) {
  char out[40];
  std::snprintf(out, sizeof out, "%s%010llu", kSegmentPrefix, static_cast<unsigned long long>(number));
  return out;
}

std::optional<uint64_t> parse_segment_number(const std::string& name) {
  const std::string_view prefix = kSegmentPrefix;
  if (!name.starts_with(prefix)) return {};
  uint64_t out = 0;
  const char* end = name.data() + name.size();
  const auto [parsed_end, error] = std::from_chars(name.data() + prefix.size(), end, out);
  return error == std::errc() && parsed_end == end && name == segment_name(out) ? std::optional(out)
                                                                                : std::nullopt;
}

std::string format_text(const char* format, auto... values) {
  char out[300];
  std::snprintf(out, sizeof out, format, values...);
  return out;
}

std::optional<SegmentHeader> read_header(Files& files, int file) {
  char bytes[kHeaderBytes];
  const ssize_t bytes_read = files.read(file, 0, bytes, sizeof bytes);
  return bytes_read <= 0 ? std::nullopt : decode_header({bytes, static_cast<size_t>(bytes_read)});
}

bool append_all(Files& files, int file, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = files.append(file, bytes);
    if (written <= 0) return false;
    bytes.remove_prefix(static_cast<size_t>(written));
  }
  return true;
}

}  // namespace

Journal::Journal(Files& files, JournalOptions options)
    : files_(files),
      options_(std::move(options)),
      segment_bytes_(std::max(kMinSegmentBytes,
                              std::min(kMaxSegmentBytes, options_.max_disk_bytes / kTargetSegmentCount))),
      salt_counter_(options_.salt_seed != 0
                        ? options_.salt_seed
                        : (uint64_t{std::random_device{}()} << 32) | std::random_device{}()) {
  if (options_.durability == Durability::kGroupCommit) sync_existing_files();
  read_folder();
  unsynced_messages_.clear();
  folder_dirty_ = folder_dirty_ || !recovery_report_.log_lines.empty();
}

// Records of a killed process may be in the page cache only; they are synced before new ones build on them.
void Journal::sync_existing_files() {
  for (const std::string& name : files_.list()) {
    if (!parse_segment_number(name)) continue;
    const int file = files_.open(name);
    const bool ok = file >= 0 && files_.sync(file);
    if (ok) files_.drop_page_cache(file);
    if (file >= 0) files_.close(file);
    if (!ok) throw std::runtime_error(name + " of the state folder cannot be synced to the disk");
  }
  if (!files_.sync_folder()) throw std::runtime_error("the state folder cannot be synced to the disk");
}

Journal::~Journal() {
  close_segment();
  for (const int file : files_to_close_) files_.close(file);
}

// ---- Reading at start ----

void Journal::read_folder() {
  std::set<uint64_t> numbers;
  bool has_legacy_journal = false;
  std::vector<std::string> other_names;
  for (const std::string& name : files_.list()) {
    if (const auto number = parse_segment_number(name)) {
      numbers.insert(*number);
    } else if (name == kLegacyFileName) {
      has_legacy_journal = true;
    } else {
      other_names.push_back(name);
    }
  }
  // All headers are checked for a newer version before anything in the folder is changed.
  std::map<uint64_t, std::string> rejected;
  for (const uint64_t number : numbers) {
    Segment segment;
    segment.name = segment_name(number);
    const int file = files_.open(segment.name);
    if (file < 0) throw std::runtime_error("cannot read " + segment.name + " of the state folder");
    segment.size = static_cast<size_t>(std::max<ssize_t>(0, files_.size(file)));
    const auto header = read_header(files_, file);
    files_.close(file);
    if (header && (header->version < kMinFormatVersion || header->version > kFormatVersion)) {
      throw std::runtime_error(segment.name + " is of version " + std::to_string(header->version) +
                               "; expected " + std::to_string(kMinFormatVersion) + " to " +
                               std::to_string(kFormatVersion) + ". Nothing was changed");
    }
    if (!header && segment.size == 0) {
      rejected[number] = number == *numbers.rbegin() ? "" : "it is empty";
    } else if (!header) {
      rejected[number] =
          segment.size < kHeaderBytes && number == *numbers.rbegin() ? "" : "its header cannot be read";
    } else if (header->segment_number != number) {
      rejected[number] = "it is segment " + std::to_string(header->segment_number) + " under another name";
    } else if (header->owner != options_.owner.substr(0, kMaxOwnerBytes)) {
      rejected[number] = "it belongs to relay " + header->owner;
    } else {
      segment.salt = header->salt;
      add_segment(number, std::move(segment));
    }
  }
  last_segment_ = numbers.empty() ? 0 : *numbers.rbegin();
  for (const auto& [number, reason] : rejected) {
    if (reason.empty()) {  // the process was killed before it had written the header
      files_.remove(segment_name(number));
    } else {
      set_aside(segment_name(number), reason);
    }
  }
  for (const std::string& name : other_names) {
    if (name == kMigrationFileName) {
      files_.remove(name);
      continue;
    }
    const int file = files_.open(name);
    if (file < 0) continue;
    other_files_[name] = static_cast<size_t>(std::max<ssize_t>(0, files_.size(file)));
    other_files_bytes_ += block_rounded(other_files_[name]);
    files_.close(file);
  }
  if (has_legacy_journal) migrate_legacy_journal();

  std::map<uint64_t, IndexedMessage> orphans;
  recovery_report_.segments = segments_.size();
  for (const auto& [number, segment] : segments_) read_segment(number, orphans);
  for (const SegmentDamage& damage : segment_damages_) {
    const std::string saved_as = save_damaged_bytes(damage);
    recovery_report_.log_lines.push_back(format_text(
        "%s: %zu bytes at %zu cannot be read; what follows them is read%s", damage.segment.c_str(),
        damage.size, damage.offset, saved_as.empty() ? "" : ("; they are kept as " + saved_as).c_str()));
  }
  recovery_report_.orphans = orphans.size();
  if (!orphans.empty()) {
    recovery_report_.log_lines.push_back(
        format_text("%zu message(s) have records of attempts but no readable record of acceptance; they "
                    "cannot be resumed",
                    orphans.size()));
  }
}

void Journal::set_aside(const std::string& name, const std::string& reason) {
  recovery_report_.log_lines.push_back(name + " was set aside: " + reason);
  const int file = files_.open(name);
  if (file >= 0) {
    other_files_bytes_ += block_rounded(static_cast<size_t>(std::max<ssize_t>(0, files_.size(file))));
    files_.close(file);
  }
  files_.rename(name, kSetAsidePrefix + name);
}

// Copies damaged bytes to a file of their own for inspection, as compaction will remove their segment. Does
// so only while there is spare room, of which these files may take only a part. Returns the file's name, or
// an empty string.
std::string Journal::save_damaged_bytes(const SegmentDamage& damage) {
  const std::string name = format_text("%s%s-%zu", kSetAsidePrefix, damage.segment.c_str(), damage.offset);
  if (const auto existing = other_files_.find(name);
      existing != other_files_.end() && existing->second == damage.size)
    return name;
  const size_t disk_bytes = block_rounded(damage.size);
  if (other_files_.contains(name) ||
      other_files_bytes_ + disk_bytes > options_.max_disk_bytes / kSetAsideDivisor ||
      used_bytes() + disk_bytes + compaction_reserve() + 2 * segment_bytes_ > options_.max_disk_bytes) {
    return "";
  }
  std::string contents(damage.size, '\0');
  const int source = files_.open(damage.segment);
  const ssize_t bytes_read =
      source < 0 ? -1 : files_.read(source, damage.offset, contents.data(), contents.size());
  if (source >= 0) files_.close(source);
  if (bytes_read != static_cast<ssize_t>(contents.size())) return "";
  const int target = files_.create(name);
  const bool ok = target >= 0 && append_all(files_, target, contents);
  if (target >= 0) files_.close(target);
  if (!ok) {
    files_.remove(name);
    return "";
  }
  other_files_bytes_ += disk_bytes;
  return name;
}

void Journal::read_segment(uint64_t number, std::map<uint64_t, IndexedMessage>& orphans) {
  const Segment& segment = segments_.at(number);
  const int file = files_.open(segment.name);
  SegmentReader reader(files_, file, segment.salt);
  for (;;) {
    const auto item = reader.next();
    if (item.type == SegmentReader::Item::Type::kEnd) break;
    if (item.type == SegmentReader::Item::Type::kRecord) {
      ++recovery_report_.records;
      apply_record(item, number, orphans);
    } else if (item.is_tail) {
      recovery_report_.torn_bytes += item.size;
    } else {
      ++recovery_report_.damaged_ranges;
      recovery_report_.damaged_bytes += item.size;
      segment_damages_.push_back({segment.name, item.offset, item.size});
    }
  }
  files_.close(file);
}

// A message's done record follows all its other records and copies: they are written in this order, and
// segments are removed in this order.
void Journal::apply_record(const SegmentReader::Item& item, uint64_t segment,
                           std::map<uint64_t, IndexedMessage>& orphans) {
  const auto message_of = [&](uint64_t sequence) -> IndexedMessage& {
    last_sequence_ = std::max(last_sequence_, sequence);
    const auto it = messages_.find(sequence);
    return it != messages_.end() ? it->second : orphans[sequence];
  };
  const auto merge_attempt = [&](uint64_t sequence, IndexedMessage& entry, const Attempt& attempt) {
    for (Attempt& t : entry.attempts) {
      if (t.number != attempt.number) continue;
      t.not_executed = t.not_executed || attempt.not_executed;
      if (attempt.sent != 0) std::tie(t.sent, t.zone) = std::pair(attempt.sent, attempt.zone);
      return;
    }
    entry.attempts.push_back(attempt);
    if (messages_.contains(sequence)) grow_copy(entry, kEncodedAttemptBytes);
  };
  switch (item.kind) {
    case RecordKind::kAccepted: {
      auto accepted = decode_accepted(item.payload);
      if (!accepted) return;
      last_sequence_ = std::max(last_sequence_, accepted->sequence);
      IndexedMessage entry;
      if (const auto it = messages_.find(accepted->sequence); it != messages_.end()) {
        entry = it->second;
        remove_from_segment(accepted->sequence, entry);
      } else {
        entry = std::move(orphans[accepted->sequence]);
        orphans.erase(accepted->sequence);
        entry.id = accepted->message.id;
        // The id was accepted again and the done record of its first message cannot be read: the newer
        // message counts, and inherits the older one's attempts, as they may have been executed.
        if (const auto older = sequence_by_id_.find(entry.id); older != sequence_by_id_.end()) {
          for (const Attempt& t : messages_.at(older->second).attempts)
            merge_attempt(accepted->sequence, entry, t);
          erase_message(older->second);
        }
        sequence_by_id_[entry.id] = accepted->sequence;
      }
      for (const Attempt& t : accepted->attempts) merge_attempt(0, entry, t);
      if (accepted->pending_notice)
        entry.pending_notice =
            NoticeRecord{accepted->pending_notice->returned, accepted->pending_notice->retry_after};
      accepted->attempts = entry.attempts;
      entry.copy_bytes = static_cast<uint32_t>(framed_size(*accepted));
      IndexedMessage& stored = messages_[accepted->sequence] = std::move(entry);
      add_to_segment(accepted->sequence, stored, segment, item.offset, item.payload.size());
      return;
    }
    case RecordKind::kAttempt:
      if (const auto t = decode_attempt(item.payload)) {
        merge_attempt(t->first, message_of(t->first), t->second);
      }
      return;
    case RecordKind::kNotExecuted:
      if (const auto t = decode_not_executed(item.payload)) {
        merge_attempt(t->first, message_of(t->first), {t->second, 0, 0, true});
      }
      return;
    case RecordKind::kNotice:
      if (const auto notice = decode_notice(item.payload)) {
        message_of(notice->first).pending_notice = notice->second;
      }
      return;
    case RecordKind::kDone:
      if (const auto sequence = decode_done(item.payload)) {
        last_sequence_ = std::max(last_sequence_, *sequence);
        orphans.erase(*sequence);
        if (messages_.contains(*sequence)) erase_message(*sequence);
      }
      return;
    case RecordKind::kMetadata:
      if (const auto entry = decode_metadata(item.payload))
        index_metadata(entry->name, entry->value, segment);
      return;
  }
}

// If the process is killed at any point, either only the old file is left or also complete segments. Segments
// are written last and take precedence.
void Journal::migrate_legacy_journal() {
  if (!segments_.empty()) {
    files_.remove(kLegacyFileName);
    return;
  }
  const auto legacy = read_legacy_journal(files_, kLegacyFileName);
  if (!legacy)
    throw std::runtime_error("cannot open the file 'journal' (format version 1) of the state folder");
  if (legacy->damaged_bytes > 0) {
    recovery_report_.log_lines.push_back(
        format_text("journal of format version 1: %zu damaged bytes were skipped", legacy->damaged_bytes));
  }
  SegmentHeader header;
  header.segment_number = ++last_segment_;
  header.salt = ++salt_counter_ * 0x9e3779b97f4a7c15;
  header.owner = options_.owner;
  std::string bytes = encode(header);
  for (const auto& [name, value] : legacy->metadata)
    bytes += frame_record(header.salt, RecordKind::kMetadata, encode_metadata(name, value));
  for (const AcceptedMessage& a : legacy->messages)
    bytes += frame_record(header.salt, RecordKind::kAccepted, encode(a));
  const bool group = options_.durability == Durability::kGroupCommit;
  const int file = files_.create(kMigrationFileName);
  bool ok = file >= 0 && append_all(files_, file, bytes) && (!group || files_.sync(file));
  if (file >= 0) files_.close(file);
  ok = ok && (!group || files_.sync_folder());
  Segment segment;
  segment.name = segment_name(header.segment_number);
  segment.salt = header.salt;
  segment.size = bytes.size();
  if (!ok || !files_.rename(kMigrationFileName, segment.name)) {
    files_.remove(kMigrationFileName);
    throw std::runtime_error(
        "cannot migrate the journal of format version 1: writing the new segment to the state folder failed");
  }
  if (!group || files_.sync_folder()) files_.remove(kLegacyFileName);
  recovery_report_.log_lines.push_back(
      format_text("journal of format version 1 was migrated: %zu message(s), %zu metadata value(s)",
                  legacy->messages.size(), legacy->metadata.size()));
  add_segment(header.segment_number, std::move(segment));
}

std::optional<AcceptedMessage> Journal::read_message(int file, const IndexedMessage& entry,
                                                     std::string& payload) {
  payload.resize(entry.payload_bytes);
  const ssize_t bytes_read =
      files_.read(file, entry.offset + kFrameHeaderBytes, payload.data(), payload.size());
  if (bytes_read != static_cast<ssize_t>(payload.size())) return {};
  auto out = decode_accepted(payload);
  if (!out || out->message.id != entry.id) return {};
  out->attempts = entry.attempts;
  out->pending_notice.reset();
  if (entry.pending_notice)
    out->pending_notice = Notice{entry.id, entry.pending_notice->returned, entry.pending_notice->retry_after};
  return out;
}

void Journal::recover(const std::function<void(RecoveredMessage)>& on_message) {
  std::string payload;
  uint64_t current_segment = 0;
  int file = -1;
  for (const auto& [sequence, entry] : messages_) {
    if (entry.segment != current_segment) {
      if (file >= 0) files_.close(file);
      file = files_.open(segments_.at(current_segment = entry.segment).name);
    }
    auto accepted = file >= 0 ? read_message(file, entry, payload) : std::nullopt;
    if (!accepted) {
      recovery_report_.log_lines.push_back(
          "message " + entry.id + " was read once at start, but a second read failed; it cannot be resumed");
      continue;
    }
    RecoveredMessage out;
    out.message = std::move(accepted->message);
    out.due = accepted->due;
    for (const Attempt& t : entry.attempts) {
      out.attempts = std::max(out.attempts, t.number + 1);
      if (!t.not_executed) out.maybe_executed[t.number] = {t.sent, t.zone};
    }
    out.pending_notice = accepted->pending_notice;
    on_message(std::move(out));
  }
  if (file >= 0) files_.close(file);
}

std::map<std::string, std::string> Journal::metadata() const {
  std::map<std::string, std::string> out;
  for (const auto& [name, entry] : metadata_) {
    if (!entry.value.empty()) out[name] = entry.value;
  }
  return out;
}

// ---- In-memory index ----

Journal::IndexedMessage* Journal::find_message(const std::string& id, uint64_t& sequence) {
  const auto it = sequence_by_id_.find(id);
  if (it == sequence_by_id_.end()) return nullptr;
  sequence = it->second;
  return &messages_.at(sequence);
}

void Journal::add_to_segment(uint64_t sequence, IndexedMessage& entry, uint64_t segment, size_t offset,
                             size_t payload_bytes) {
  entry.segment = segment;
  entry.offset = offset;
  entry.payload_bytes = static_cast<uint32_t>(payload_bytes);
  Segment& s = segments_.at(segment);
  s.messages.insert(sequence);
  set_live_bytes(s, s.live_bytes + entry.copy_bytes);
  live_message_bytes_ += entry.copy_bytes;
  mark_unsynced(sequence);
}

void Journal::remove_from_segment(uint64_t sequence, const IndexedMessage& entry) {
  Segment& s = segments_.at(entry.segment);
  s.messages.erase(sequence);
  s.emptied_position = written_bytes_;
  set_live_bytes(s, s.live_bytes - entry.copy_bytes);
  live_message_bytes_ -= entry.copy_bytes;
}

void Journal::grow_copy(IndexedMessage& entry, size_t bytes) {
  entry.copy_bytes += static_cast<uint32_t>(bytes);
  Segment& s = segments_.at(entry.segment);
  set_live_bytes(s, s.live_bytes + bytes);
  live_message_bytes_ += bytes;
}

void Journal::mark_unsynced(uint64_t sequence) {
  if (options_.durability == Durability::kGroupCommit) unsynced_messages_.insert(sequence);
}

void Journal::erase_message(uint64_t sequence) {
  const auto it = messages_.find(sequence);
  for (auto* set : {&unsynced_messages_, &syncing_messages_, &unconfirmed_messages_}) set->erase(sequence);
  remove_from_segment(sequence, it->second);
  if (const auto id = sequence_by_id_.find(it->second.id);
      id != sequence_by_id_.end() && id->second == sequence)
    sequence_by_id_.erase(id);
  messages_.erase(it);
}

size_t Journal::metadata_record_size(const std::string& name, const std::string& value) {
  return value.empty() ? 0 : kFrameHeaderBytes + 2 + name.size() + value.size();
}

void Journal::unindex_metadata(const std::string& name) {
  const auto it = metadata_.find(name);
  if (it == metadata_.end()) return;
  const size_t bytes = metadata_record_size(name, it->second.value);
  if (const auto s = segments_.find(it->second.segment); s != segments_.end()) {
    s->second.metadata.erase(name);
    s->second.emptied_position = written_bytes_;
    set_live_bytes(s->second, s->second.live_bytes - bytes);
  }
  metadata_bytes_ -= bytes;
  metadata_.erase(it);
}

void Journal::index_metadata(const std::string& name, const std::string& value, uint64_t segment) {
  unindex_metadata(name);
  // The record of the empty value comes after all earlier values and is removed after them.
  if (value.empty()) return;
  metadata_[name] = {value, segment};
  const size_t bytes = metadata_record_size(name, value);
  Segment& s = segments_.at(segment);
  s.metadata.insert(name);
  set_live_bytes(s, s.live_bytes + bytes);
  metadata_bytes_ += bytes;
}

// ---- Disk space ----

size_t Journal::used_bytes() const { return other_files_bytes_ + segment_files_bytes_; }

void Journal::add_segment(uint64_t number, Segment segment) {
  segment_files_bytes_ += block_rounded(segment.size);
  segment_live_bytes_.insert(segment.live_bytes);
  segments_[number] = std::move(segment);
}

void Journal::set_size(Segment& segment, size_t size) {
  segment_files_bytes_ += block_rounded(size) - block_rounded(segment.size);
  segment.size = size;
}

void Journal::set_live_bytes(Segment& segment, size_t live_bytes) {
  segment_live_bytes_.erase(segment_live_bytes_.find(segment.live_bytes));
  segment_live_bytes_.insert(segment.live_bytes = live_bytes);
}

// Disk space that stays free at all times, so that any segment can be compacted: room for its copied records
// (at most one segment, unless a single record is larger) and for the headers and partial blocks of the files
// that take them.
size_t Journal::compaction_reserve(size_t record_bytes) const {
  const size_t live_bytes = segment_live_bytes_.empty() ? 0 : *segment_live_bytes_.rbegin();
  return std::max({live_bytes, record_bytes, segment_bytes_}) + 3 * (kHeaderBytes + kDiskBlockBytes);
}

// A message is accepted if, with all dead records removed, it fits beside the records that it and all live
// messages may still need.
bool Journal::has_room_for(size_t framed_bytes) const {
  const size_t later_bytes_per_message =
      kEncodedAttemptBytes * static_cast<size_t>(options_.max_attempts) + 16;
  const size_t live_bytes =
      live_message_bytes_ + metadata_bytes_ + framed_bytes + later_bytes_per_message * (messages_.size() + 1);
  const size_t segment_count = 2 * live_bytes / segment_bytes_ + 2;
  const size_t copies = std::max(compaction_reserve(framed_bytes), segment_bytes_ + framed_bytes);
  return other_files_bytes_ + live_bytes + segment_count * (kHeaderBytes + kDiskBlockBytes) + copies +
             segment_bytes_ <=
         options_.max_disk_bytes;
}

void Journal::close_segment() {
  if (open_file_ >= 0 && options_.durability == Durability::kGroupCommit) {
    files_to_close_.push_back(open_file_);
  } else if (open_file_ >= 0) {
    files_.close(open_file_);
  }
  open_file_ = -1;
}

bool Journal::open_segment() {
  Segment segment;
  SegmentHeader header;
  header.segment_number = last_segment_ + 1;
  header.salt = segment.salt = ++salt_counter_ * 0x9e3779b97f4a7c15;
  header.owner = options_.owner;
  segment.name = segment_name(header.segment_number);
  open_file_ = files_.create(segment.name);
  if (open_file_ < 0) return false;
  folder_dirty_ = true;
  if (!append_all(files_, open_file_, encode(header))) {
    files_.close(std::exchange(open_file_, -1));
    files_.remove(segment.name);
    return false;
  }
  segment.size = kHeaderBytes;
  add_segment(++last_segment_, std::move(segment));
  return true;
}

// Compacts until `bytes` can be appended within the disk limit with the compaction reserve still free.
// Returns false if that cannot be reached.
bool Journal::make_room(size_t bytes) {
  const size_t needed = bytes + kHeaderBytes + 2 * kDiskBlockBytes;
  for (size_t turns = 2 * segments_.size() + 2;
       used_bytes() + needed + compaction_reserve(bytes) > options_.max_disk_bytes; --turns) {
    if (turns == 0 || !remove_oldest_segment()) return false;
  }
  return true;
}

bool Journal::append(RecordKind kind, std::string_view payload, uint64_t* segment, size_t* offset,
                     bool for_compaction) {
  const size_t bytes = kFrameHeaderBytes + payload.size();
  if (!for_compaction && !make_room(bytes)) return false;
  if (open_file_ >= 0) {
    const Segment& last = segments_.at(last_segment_);
    if (last.size > kHeaderBytes && last.size + bytes > segment_bytes_) close_segment();
  }
  // Final check: the folder never exceeds its limit, whatever the estimates above say.
  const size_t before = open_file_ >= 0 ? segments_.at(last_segment_).size : 0;
  const size_t after = std::max(before, kHeaderBytes) + bytes;
  if (used_bytes() - block_rounded(before) + block_rounded(after) > options_.max_disk_bytes) return false;
  if (open_file_ < 0 && !open_segment()) return false;
  Segment& last = segments_.at(last_segment_);
  if (!append_all(files_, open_file_, frame_record(last.salt, kind, payload))) {
    // A partial record would make the next start scan for a valid one, and a complete one would be taken as
    // valid although the caller is told that it failed. So the write is undone.
    if (!files_.truncate(open_file_, last.size)) {
      set_size(last, static_cast<size_t>(std::max<ssize_t>(0, files_.size(open_file_))));
      close_segment();
    }
    return false;
  }
  if (segment != nullptr) *segment = last_segment_;
  if (offset != nullptr) *offset = last.size;
  set_size(last, last.size + bytes);
  written_bytes_ += bytes;
  return true;
}

// Copies up to `max_bytes` of a segment's live records to the end of the log. Returns false if a read or
// write failed.
bool Journal::copy_forward(uint64_t number, size_t max_bytes) {
  Segment& from = segments_.at(number);
  size_t copied = 0;
  std::string payload;
  const int file = from.messages.empty() ? -1 : files_.open(from.name);
  while (copied < max_bytes && !from.messages.empty()) {
    const uint64_t sequence = *from.messages.begin();
    IndexedMessage& entry = messages_.at(sequence);
    const auto accepted = file >= 0 ? read_message(file, entry, payload) : std::nullopt;
    const std::string copy = accepted ? encode(*accepted) : "";
    uint64_t segment = 0;
    size_t offset = 0;
    // A record that cannot be read now stays in its segment; a later read may succeed.
    if (!accepted || !append(RecordKind::kAccepted, copy, &segment, &offset, true)) break;
    remove_from_segment(sequence, entry);
    add_to_segment(sequence, entry, segment, offset, copy.size());
    copied += copy.size();
  }
  if (file >= 0) files_.close(file);
  if (!from.messages.empty() && copied < max_bytes) return false;
  while (copied < max_bytes && !from.metadata.empty()) {
    const std::string name = *from.metadata.begin();
    const std::string value = metadata_.at(name).value;
    uint64_t segment = 0;
    if (!append(RecordKind::kMetadata, encode_metadata(name, value), &segment, nullptr, true)) return false;
    index_metadata(name, value, segment);
    copied += name.size() + value.size();
  }
  copied_bytes_ += copied;
  return true;
}

// Copies all live records of the oldest segment, then removes it.
bool Journal::remove_oldest_segment() {
  if (segments_.empty()) return false;
  const uint64_t oldest = segments_.begin()->first;
  if (oldest == last_segment_) close_segment();  // copies go into a new segment
  if (!copy_forward(oldest, static_cast<size_t>(-1))) return false;
  Segment& segment = segments_.at(oldest);
  if (!segment.messages.empty() || !segment.metadata.empty()) return false;
  // Its copies must be synced before it is removed. The removal of the segment before it must be synced, too:
  // otherwise a power loss could bring that one back without the done records in this one.
  if (options_.durability == Durability::kGroupCommit &&
      (removal_unsynced_ || !is_durable(segment.emptied_position)) && !sync_now()) {
    return false;
  }
  if (!files_.remove(segment.name)) return false;
  folder_dirty_ = removal_unsynced_ = true;
  segment_files_bytes_ -= block_rounded(segment.size);
  segment_live_bytes_.erase(segment_live_bytes_.find(segment.live_bytes));
  segments_.erase(oldest);
  return true;
}

bool Journal::compact(size_t bytes) {
  if (!unwritten_done_.empty() || !unwritten_metadata_.empty()) write_backlog();
  if (segments_.size() < 2) return false;
  const auto& [number, oldest] = *segments_.begin();
  const double share =
      static_cast<double>(used_bytes()) / static_cast<double>(std::max<size_t>(1, options_.max_disk_bytes));
  const bool all_dead = oldest.messages.empty() && oldest.metadata.empty();
  const bool low_on_space =
      used_bytes() + compaction_reserve() + 2 * segment_bytes_ > options_.max_disk_bytes;
  const bool worth_copying =
      share > kCompactionThreshold &&
      (2 * oldest.live_bytes < oldest.size || (low_on_space && 10 * oldest.live_bytes < 9 * oldest.size));
  if (!all_dead && !worth_copying) return false;
  // With kGroupCommit it is removed once its copies are synced, possibly in a later call.
  if (all_dead && (!is_durable(oldest.emptied_position) ||
                   (removal_unsynced_ && options_.durability == Durability::kGroupCommit)))
    return false;
  if (!all_dead) {
    if (used_bytes() + oldest.live_bytes + compaction_reserve() > options_.max_disk_bytes)
      return false;  // the next append makes the room that it needs
    if (!copy_forward(number, bytes)) return false;
  }
  const Segment& first = segments_.begin()->second;
  if (!first.messages.empty() || !first.metadata.empty()) return true;
  return options_.durability == Durability::kGroupCommit && !all_dead ? true : remove_oldest_segment();
}

// ---- Power loss ----

bool Journal::needs_sync() const {
  return options_.durability == Durability::kGroupCommit && !sync_running_ &&
         (synced_position_ < written_bytes_ || removal_unsynced_ || !unconfirmed_messages_.empty());
}

Journal::SyncRequest Journal::begin_sync() {
  rewrite_unconfirmed();
  SyncRequest out;
  out.end_position = written_bytes_;
  out.files = files_to_close_;
  out.full_segments = files_to_close_.size();
  if (open_file_ >= 0) out.files.push_back(open_file_);
  out.sync_folder = std::exchange(folder_dirty_, false);
  out.covers_everything = unconfirmed_messages_.empty() && unconfirmed_done_.empty();
  sync_running_ = true;
  syncing_messages_.swap(unsynced_messages_);
  syncing_done_.swap(unsynced_done_);
  return out;
}

bool Journal::execute_sync(Files& files, const SyncRequest& sync) {
  bool ok = true;
  for (const int file : sync.files) ok = files.sync(file) && ok;
  return (!sync.sync_folder || files.sync_folder()) && ok;
}

void Journal::end_sync(const SyncRequest& sync, bool ok) {
  sync_running_ = false;
  for (size_t i = 0; i < sync.full_segments; ++i) files_.close(sync.files[i]);
  files_to_close_.erase(files_to_close_.begin(),
                        files_to_close_.begin() + static_cast<std::ptrdiff_t>(sync.full_segments));
  if (ok) {
    if (sync.covers_everything) synced_position_ = sync.end_position;
    if (sync.sync_folder && !folder_dirty_) removal_unsynced_ = false;
    syncing_messages_.clear();
    syncing_done_.clear();
    return;
  }
  // After a failed sync the contents of the files are unknown, and a second sync may report success without
  // having written them. All affected records are written again to another segment before any record counts
  // as durable.
  folder_dirty_ = true;
  if (open_file_ >= 0) files_.close(std::exchange(open_file_, -1));
  unconfirmed_messages_.insert(syncing_messages_.begin(), syncing_messages_.end());
  unconfirmed_messages_.insert(unsynced_messages_.begin(), unsynced_messages_.end());
  syncing_messages_.clear();
  unsynced_messages_.clear();
  for (auto* ends : {&syncing_done_, &unsynced_done_})
    unconfirmed_done_.insert(unconfirmed_done_.end(), ends->begin(), ends->end()), ends->clear();
}

void Journal::rewrite_unconfirmed() {
  // May be called from within an append, so nothing here may compact to make room.
  const auto room_for_copy = [&](size_t bytes) {
    return used_bytes() + 2 * bytes + compaction_reserve() <= options_.max_disk_bytes;
  };
  while (!unconfirmed_done_.empty()) {
    const uint64_t sequence = unconfirmed_done_.back();
    if (!room_for_copy(kDiskBlockBytes) ||
        !append(RecordKind::kDone, encode_done(sequence), nullptr, nullptr, true))
      return;
    unsynced_done_.push_back(sequence);
    unconfirmed_done_.pop_back();
  }
  std::string payload;
  while (!unconfirmed_messages_.empty()) {
    const uint64_t sequence = *unconfirmed_messages_.begin();
    IndexedMessage& entry = messages_.at(sequence);
    const int file = files_.open(segments_.at(entry.segment).name);
    const auto accepted = file >= 0 ? read_message(file, entry, payload) : std::nullopt;
    if (file >= 0) files_.close(file);
    const std::string copy = accepted ? encode(*accepted) : "";
    uint64_t segment = 0;
    size_t offset = 0;
    if (!accepted || !room_for_copy(copy.size()) ||
        !append(RecordKind::kAccepted, copy, &segment, &offset, true)) {
      return;  // retried by the next sync; until then no record becomes durable
    }
    remove_from_segment(sequence, entry);
    add_to_segment(sequence, entry, segment, offset, copy.size());
    unconfirmed_messages_.erase(sequence);
  }
}

// Syncs synchronously when compaction needs it to make room. Refused while another sync is in progress, whose
// result is not known yet.
bool Journal::sync_now() {
  if (sync_running_) return false;
  const SyncRequest sync = begin_sync();
  const bool ok = execute_sync(files_, sync);
  end_sync(sync, ok);
  return ok && sync.covers_everything;
}

bool Journal::write_backlog() {
  while (!unwritten_done_.empty()) {
    const uint64_t sequence = unwritten_done_.front();
    unwritten_done_.pop_front();
    if (!append(RecordKind::kDone, encode_done(sequence))) {
      unwritten_done_.push_front(sequence);
      return false;
    }
    if (options_.durability == Durability::kGroupCommit) unsynced_done_.push_back(sequence);
  }
  while (!unwritten_metadata_.empty()) {
    const std::string name = *unwritten_metadata_.begin();
    const auto it = metadata_.find(name);
    uint64_t segment = 0;
    if (!append(RecordKind::kMetadata, encode_metadata(name, it == metadata_.end() ? "" : it->second.value),
                &segment))
      return false;
    if (it != metadata_.end()) index_metadata(name, std::string(it->second.value), segment);
    unwritten_metadata_.erase(unwritten_metadata_.begin());
  }
  return true;
}

// ---- Records ----

bool Journal::record_accepted(const Submission& message, Micros due) {
  if (!unwritten_done_.empty() && !write_backlog()) return false;
  if (sequence_by_id_.contains(message.id)) return false;
  AcceptedMessage record;
  record.sequence = last_sequence_ + 1;
  record.due = due;
  record.message = message;
  const std::string payload = encode(record);
  if (payload.size() > kMaxPayloadBytes || !has_room_for(kFrameHeaderBytes + payload.size())) return false;
  IndexedMessage entry;
  size_t offset = 0;
  uint64_t segment = 0;
  ++last_sequence_;
  if (!append(RecordKind::kAccepted, payload, &segment, &offset)) {
    // The write could not be undone: a complete record may be on disk for a refused message, so it needs a
    // done record.
    if (open_file_ < 0) unwritten_done_.push_back(record.sequence);
    return false;
  }
  entry.id = message.id;
  entry.copy_bytes = static_cast<uint32_t>(kFrameHeaderBytes + payload.size());
  sequence_by_id_[message.id] = record.sequence;
  IndexedMessage& stored = messages_[record.sequence] = std::move(entry);
  add_to_segment(record.sequence, stored, segment, offset, payload.size());
  return true;
}

bool Journal::record_attempt(const std::string& id, int number, Micros sent, int zone) {
  uint64_t sequence = 0;
  IndexedMessage* entry = find_message(id, sequence);
  if (entry == nullptr ||
      !append(RecordKind::kAttempt, encode_attempt(sequence, {number, sent, zone, false})))
    return false;
  entry->attempts.push_back({number, sent, zone, false});
  grow_copy(*entry, kEncodedAttemptBytes);
  mark_unsynced(sequence);
  return true;
}

void Journal::record_not_executed(const std::string& id, int number) {
  uint64_t sequence = 0;
  IndexedMessage* entry = find_message(id, sequence);
  if (entry == nullptr) return;
  for (Attempt& t : entry->attempts) {
    // Copies carry this even if the record itself is not written.
    if (t.number == number) t.not_executed = true;
  }
  append(RecordKind::kNotExecuted, encode_not_executed(sequence, number));
  mark_unsynced(sequence);
}

bool Journal::record_notice(const Notice& notice) {
  uint64_t sequence = 0;
  IndexedMessage* entry = find_message(notice.id, sequence);
  if (entry == nullptr) return true;  // the message is already finished
  if (!append(RecordKind::kNotice, encode_notice(sequence, notice.returned, notice.retry_after)))
    return false;
  entry->pending_notice = NoticeRecord{notice.returned, notice.retry_after};
  mark_unsynced(sequence);
  return true;
}

void Journal::record_done(const std::string& id) {
  uint64_t sequence = 0;
  if (find_message(id, sequence) == nullptr) return;
  // To write the done record may take a sync that makes room. What that sync covers is durable only if the
  // done record is: without it the message is recovered, with none of its unconfirmed records.
  if (unconfirmed_messages_.contains(sequence)) unconfirmed_done_.push_back(sequence);
  erase_message(sequence);
  unwritten_done_.push_back(sequence);
  if (write_backlog()) std::erase(unconfirmed_done_, sequence);
}

bool Journal::put_metadata(const std::string& name, const std::string& value) {
  const auto old = metadata_.find(name);
  if (value == (old == metadata_.end() ? "" : old->second.value)) return true;
  const size_t before = old == metadata_.end() ? 0 : metadata_record_size(name, old->second.value);
  const size_t bytes = metadata_record_size(name, value);
  if (bytes > before && static_cast<double>(metadata_bytes_ - before + bytes) >
                            kMaxMetadataFraction * static_cast<double>(options_.max_disk_bytes)) {
    return false;
  }
  uint64_t segment = 0;
  if (append(RecordKind::kMetadata, encode_metadata(name, value), &segment)) {
    index_metadata(name, value, segment);
    unwritten_metadata_.erase(name);
    return true;
  }
  // The newest value stays in memory and is written later. Without a segment there is no place in the index
  // for it.
  if (!segments_.empty()) {
    index_metadata(name, value, segments_.rbegin()->first);
    unwritten_metadata_.insert(name);
  }
  return false;
}

void Journal::drop_metadata(const std::string& name) {
  unwritten_metadata_.erase(name);
  unindex_metadata(name);
}

}  // namespace umberhoist::state

#include "state/journal.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <random>
#include <stdexcept>
#include <utility>

namespace umberhoist::state {
namespace {

constexpr const char* kPrefix = "journal-";
constexpr const char* kCarryName = "carry.tmp";
constexpr const char* kAside = "aside-";

std::string name_of(uint64_t number) {
  char out[40];
  std::snprintf(out, sizeof out, "%s%010llu", kPrefix, static_cast<unsigned long long>(number));
  return out;
}

std::optional<uint64_t> number_of(const std::string& name) {
  const std::string_view prefix = kPrefix;
  if (!name.starts_with(prefix)) return {};
  uint64_t out = 0;
  const char* end = name.data() + name.size();
  const auto [at, error] = std::from_chars(name.data() + prefix.size(), end, out);
  return error == std::errc() && at == end && name == name_of(out) ? std::optional(out) : std::nullopt;
}

std::string text(const char* form, auto... values) {
  char out[300];
  std::snprintf(out, sizeof out, form, values...);
  return out;
}

std::optional<SegmentHeader> read_header(Files& files, int file) {
  char bytes[kHeaderBytes];
  const ssize_t got = files.read(file, 0, bytes, sizeof bytes);
  return got <= 0 ? std::nullopt : decode_header({bytes, static_cast<size_t>(got)});
}

bool append_all(Files& files, int file, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t done = files.append(file, bytes);
    if (done <= 0) return false;
    bytes.remove_prefix(static_cast<size_t>(done));
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

// What a killed process wrote may not be on the disk yet, and is about to be built on.
void Journal::sync_existing_files() {
  for (const std::string& name : files_.list()) {
    if (!number_of(name)) continue;
    const int file = files_.open(name);
    const bool good = file >= 0 && files_.sync(file);
    if (good) files_.drop_page_cache(file);
    if (file >= 0) files_.close(file);
    if (!good) throw std::runtime_error(name + " of the state folder cannot be synced to the disk");
  }
  if (!files_.sync_folder()) throw std::runtime_error("the state folder cannot be synced to the disk");
}

Journal::~Journal() {
  close_segment();
  for (const int file : files_to_close_) files_.close(file);
}

// ---- Reading ----

void Journal::read_folder() {
  std::set<uint64_t> numbers;
  bool legacy = false;
  std::vector<std::string> others;
  for (const std::string& name : files_.list()) {
    if (const auto number = number_of(name)) {
      numbers.insert(*number);
    } else if (name == kLegacyFileName) {
      legacy = true;
    } else {
      others.push_back(name);
    }
  }
  // A newer version is looked for first: until then nothing is touched.
  std::map<uint64_t, std::string> strange;
  for (const uint64_t number : numbers) {
    Segment segment;
    segment.name = name_of(number);
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
      strange[number] = number == *numbers.rbegin() ? "" : "it is empty";
    } else if (!header) {
      strange[number] =
          segment.size < kHeaderBytes && number == *numbers.rbegin() ? "" : "its header cannot be read";
    } else if (header->segment_number != number) {
      strange[number] = "it is segment " + std::to_string(header->segment_number) + " under another name";
    } else if (header->owner != options_.owner.substr(0, kMaxOwnerBytes)) {
      strange[number] = "it belongs to relay " + header->owner;
    } else {
      segment.salt = header->salt;
      add_segment(number, std::move(segment));
    }
  }
  last_segment_ = numbers.empty() ? 0 : *numbers.rbegin();
  for (const auto& [number, why] : strange) {
    if (why.empty()) {  // begun, and its process killed before there was anything in it
      files_.remove(name_of(number));
    } else {
      set_aside(name_of(number), why);
    }
  }
  for (const std::string& name : others) {
    if (name == kCarryName) {
      files_.remove(name);
      continue;
    }
    const int file = files_.open(name);
    if (file < 0) continue;
    other_files_[name] = static_cast<size_t>(std::max<ssize_t>(0, files_.size(file)));
    other_files_bytes_ += block_rounded(other_files_[name]);
    files_.close(file);
  }
  if (legacy) migrate_legacy_journal();

  std::map<uint64_t, IndexedMessage> orphans;
  recovery_report_.segments = segments_.size();
  for (const auto& [number, segment] : segments_) read_segment(number, orphans);
  for (const SegmentDamage& damage : segment_damages_) {
    const std::string kept = save_damaged_bytes(damage);
    recovery_report_.log_lines.push_back(
        text("%s: %zu bytes at %zu cannot be read; what follows them is read%s", damage.segment.c_str(),
             damage.size, damage.offset, kept.empty() ? "" : ("; they are kept as " + kept).c_str()));
  }
  recovery_report_.orphans = orphans.size();
  if (!orphans.empty()) {
    recovery_report_.log_lines.push_back(
        text("%zu message(s) of which attempts are recorded and no acceptance can be read: they "
             "cannot be resumed",
             orphans.size()));
  }
}

void Journal::set_aside(const std::string& name, const std::string& why) {
  recovery_report_.log_lines.push_back(name + " was set aside: " + why);
  const int file = files_.open(name);
  if (file >= 0) {
    other_files_bytes_ += block_rounded(static_cast<size_t>(std::max<ssize_t>(0, files_.size(file))));
    files_.close(file);
  }
  files_.rename(name, kAside + name);
}

// For a person to look at: its segment goes in time. Only where there is room to spare, and only a part of
// it.
std::string Journal::save_damaged_bytes(const SegmentDamage& damage) {
  const std::string name = text("%s%s-%zu", kAside, damage.segment.c_str(), damage.offset);
  if (const auto there = other_files_.find(name); there != other_files_.end() && there->second == damage.size)
    return name;
  const size_t bytes = block_rounded(damage.size);
  if (other_files_.contains(name) ||
      other_files_bytes_ + bytes > options_.max_disk_bytes / kSetAsideDivisor ||
      used_bytes() + bytes + compaction_reserve() + 2 * segment_bytes_ > options_.max_disk_bytes) {
    return "";
  }
  std::string read(damage.size, '\0');
  const int from = files_.open(damage.segment);
  const ssize_t got = from < 0 ? -1 : files_.read(from, damage.offset, read.data(), read.size());
  if (from >= 0) files_.close(from);
  if (got != static_cast<ssize_t>(read.size())) return "";
  const int to = files_.create(name);
  const bool good = to >= 0 && append_all(files_, to, read);
  if (to >= 0) files_.close(to);
  if (!good) {
    files_.remove(name);
    return "";
  }
  other_files_bytes_ += bytes;
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
      apply(item, number, orphans);
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

// No record of a message comes after its end, and no copy of it: they are written in that order, and go in
// it.
void Journal::apply(const SegmentReader::Item& item, uint64_t segment,
                    std::map<uint64_t, IndexedMessage>& orphans) {
  const auto known = [&](uint64_t order) -> IndexedMessage& {
    last_sequence_ = std::max(last_sequence_, order);
    const auto it = messages_.find(order);
    return it != messages_.end() ? it->second : orphans[order];
  };
  const auto add = [&](uint64_t order, IndexedMessage& entry, const Attempt& attempt) {
    for (Attempt& t : entry.attempts) {
      if (t.number != attempt.number) continue;
      t.not_executed = t.not_executed || attempt.not_executed;
      if (attempt.sent != 0) std::tie(t.sent, t.zone) = std::pair(attempt.sent, attempt.zone);
      return;
    }
    entry.attempts.push_back(attempt);
    if (messages_.contains(order)) grow_copy(entry, kEncodedAttemptBytes);
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
        // Accepted again while an end of its first time is not to be read: the newer one counts, and what the
        // older may have done is held against it.
        if (const auto older = sequence_by_id_.find(entry.id); older != sequence_by_id_.end()) {
          for (const Attempt& t : messages_.at(older->second).attempts) add(accepted->sequence, entry, t);
          erase_message(older->second);
        }
        sequence_by_id_[entry.id] = accepted->sequence;
      }
      for (const Attempt& t : accepted->attempts) add(0, entry, t);
      if (accepted->pending_notice)
        entry.pending_notice =
            NoticeRecord{accepted->pending_notice->returned, accepted->pending_notice->retry_after};
      accepted->attempts = entry.attempts;
      entry.copy_bytes = static_cast<uint32_t>(framed_size(*accepted));
      IndexedMessage& kept = messages_[accepted->sequence] = std::move(entry);
      add_to_segment(accepted->sequence, kept, segment, item.offset, item.payload.size());
      return;
    }
    case RecordKind::kAttempt:
      if (const auto t = decode_attempt(item.payload)) {
        add(t->first, known(t->first), t->second);
      }
      return;
    case RecordKind::kNotExecuted:
      if (const auto t = decode_not_executed(item.payload)) {
        add(t->first, known(t->first), {t->second, 0, 0, true});
      }
      return;
    case RecordKind::kNotice:
      if (const auto owed = decode_notice(item.payload)) {
        known(owed->first).pending_notice = owed->second;
      }
      return;
    case RecordKind::kDone:
      if (const auto order = decode_done(item.payload)) {
        last_sequence_ = std::max(last_sequence_, *order);
        orphans.erase(*order);
        if (messages_.contains(*order)) erase_message(*order);
      }
      return;
    case RecordKind::kMetadata:
      if (const auto fact = decode_metadata(item.payload)) index_metadata(fact->name, fact->value, segment);
      return;
  }
}

// A kill at any byte leaves either the old file alone, or whole segments beside it: these came last, and
// count.
void Journal::migrate_legacy_journal() {
  if (!segments_.empty()) {
    files_.remove(kLegacyFileName);
    return;
  }
  const auto legacy = read_legacy_journal(files_, kLegacyFileName);
  if (!legacy) throw std::runtime_error("cannot read the journal of the state folder");
  if (legacy->damaged_bytes > 0) {
    recovery_report_.log_lines.push_back(
        text("the journal of an earlier version: %zu bytes cannot be read", legacy->damaged_bytes));
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
  const int file = files_.create(kCarryName);
  bool good = file >= 0 && append_all(files_, file, bytes) && (!group || files_.sync(file));
  if (file >= 0) files_.close(file);
  good = good && (!group || files_.sync_folder());
  Segment segment;
  segment.name = name_of(header.segment_number);
  segment.salt = header.salt;
  segment.size = bytes.size();
  if (!good || !files_.rename(kCarryName, segment.name)) {
    files_.remove(kCarryName);
    throw std::runtime_error("no room in the state folder to carry the journal of an earlier version over");
  }
  if (!group || files_.sync_folder()) files_.remove(kLegacyFileName);
  recovery_report_.log_lines.push_back(
      text("the journal of an earlier version was carried over: %zu message(s), %zu fact(s)",
           legacy->messages.size(), legacy->metadata.size()));
  add_segment(header.segment_number, std::move(segment));
}

std::optional<AcceptedMessage> Journal::read_message(int file, const IndexedMessage& entry,
                                                     std::string& payload) {
  payload.resize(entry.payload_bytes);
  const ssize_t got = files_.read(file, entry.offset + kFrameHeaderBytes, payload.data(), payload.size());
  if (got != static_cast<ssize_t>(payload.size())) return {};
  auto out = decode_accepted(payload);
  if (!out || out->message.id != entry.id) return {};
  out->attempts = entry.attempts;
  out->pending_notice.reset();
  if (entry.pending_notice)
    out->pending_notice = Notice{entry.id, entry.pending_notice->returned, entry.pending_notice->retry_after};
  return out;
}

void Journal::recover(const std::function<void(RecoveredMessage)>& each) {
  std::string payload;
  uint64_t open = 0;
  int file = -1;
  for (const auto& [order, entry] : messages_) {
    if (entry.segment != open) {
      if (file >= 0) files_.close(file);
      file = files_.open(segments_.at(open = entry.segment).name);
    }
    auto accepted = file >= 0 ? read_message(file, entry, payload) : std::nullopt;
    if (!accepted) {
      recovery_report_.log_lines.push_back("message " + entry.id +
                                           " could be read at first and not again: it cannot be resumed");
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
    each(std::move(out));
  }
  if (file >= 0) files_.close(file);
}

std::map<std::string, std::string> Journal::metadata() const {
  std::map<std::string, std::string> out;
  for (const auto& [name, fact] : metadata_) {
    if (!fact.value.empty()) out[name] = fact.value;
  }
  return out;
}

// ---- The index ----

Journal::IndexedMessage* Journal::find_message(const std::string& id, uint64_t& order) {
  const auto it = sequence_by_id_.find(id);
  if (it == sequence_by_id_.end()) return nullptr;
  order = it->second;
  return &messages_.at(order);
}

void Journal::add_to_segment(uint64_t order, IndexedMessage& entry, uint64_t segment, size_t at,
                             size_t payload) {
  entry.segment = segment;
  entry.offset = at;
  entry.payload_bytes = static_cast<uint32_t>(payload);
  Segment& s = segments_.at(segment);
  s.messages.insert(order);
  set_live_bytes(s, s.live_bytes + entry.copy_bytes);
  live_message_bytes_ += entry.copy_bytes;
  mark_unsynced(order);
}

void Journal::remove_from_segment(uint64_t order, const IndexedMessage& entry) {
  Segment& s = segments_.at(entry.segment);
  s.messages.erase(order);
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

void Journal::mark_unsynced(uint64_t order) {
  if (options_.durability == Durability::kGroupCommit) unsynced_messages_.insert(order);
}

void Journal::erase_message(uint64_t order) {
  const auto it = messages_.find(order);
  for (auto* set : {&unsynced_messages_, &syncing_messages_, &unconfirmed_messages_}) set->erase(order);
  remove_from_segment(order, it->second);
  if (const auto id = sequence_by_id_.find(it->second.id); id != sequence_by_id_.end() && id->second == order)
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
  if (value.empty())
    return;  // the record that says so stands behind all that say otherwise, and goes after them
  metadata_[name] = {value, segment};
  const size_t bytes = metadata_record_size(name, value);
  Segment& s = segments_.at(segment);
  s.metadata.insert(name);
  set_live_bytes(s, s.live_bytes + bytes);
  metadata_bytes_ += bytes;
}

// ---- Room ----

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

void Journal::set_live_bytes(Segment& segment, size_t live) {
  segment_live_bytes_.erase(segment_live_bytes_.find(segment.live_bytes));
  segment_live_bytes_.insert(segment.live_bytes = live);
}

// What any segment's copies may take before it goes, kept free at all times: its records, which fit one
// segment unless it is one record alone, and the ends of the files that they come to stand in.
size_t Journal::compaction_reserve(size_t record) const {
  const size_t live = segment_live_bytes_.empty() ? 0 : *segment_live_bytes_.rbegin();
  return std::max({live, record, segment_bytes_}) + 3 * (kHeaderBytes + kDiskBlockBytes);
}

// A message is taken on if, once all that is dead has gone, it and whatever may follow for every live one
// fit.
bool Journal::has_room_for(size_t framed) const {
  const size_t each = kEncodedAttemptBytes * static_cast<size_t>(options_.max_attempts) + 16;
  const size_t alive = live_message_bytes_ + metadata_bytes_ + framed + each * (messages_.size() + 1);
  const size_t segments = 2 * alive / segment_bytes_ + 2;
  const size_t copies = std::max(compaction_reserve(framed), segment_bytes_ + framed);
  return other_files_bytes_ + alive + segments * (kHeaderBytes + kDiskBlockBytes) + copies + segment_bytes_ <=
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
  segment.name = name_of(header.segment_number);
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

// Makes sure that this many bytes can be appended without the folder passing its limit, and that what
// compaction needs stays free behind them.
bool Journal::make_room(size_t bytes) {
  const size_t needed = bytes + kHeaderBytes + 2 * kDiskBlockBytes;
  for (size_t turns = 2 * segments_.size() + 2;
       used_bytes() + needed + compaction_reserve(bytes) > options_.max_disk_bytes; --turns) {
    if (turns == 0 || !remove_oldest_segment()) return false;
  }
  return true;
}

bool Journal::append(RecordKind kind, std::string_view payload, uint64_t* segment, size_t* at, bool copying) {
  const size_t bytes = kFrameHeaderBytes + payload.size();
  if (!copying && !make_room(bytes)) return false;
  if (open_file_ >= 0) {
    const Segment& last = segments_.at(last_segment_);
    if (last.size > kHeaderBytes && last.size + bytes > segment_bytes_) close_segment();
  }
  // Whatever was reckoned: not a byte over the limit.
  const size_t held = open_file_ >= 0 ? segments_.at(last_segment_).size : 0;
  const size_t after = std::max(held, kHeaderBytes) + bytes;
  if (used_bytes() - block_rounded(held) + block_rounded(after) > options_.max_disk_bytes) return false;
  if (open_file_ < 0 && !open_segment()) return false;
  Segment& last = segments_.at(last_segment_);
  if (!append_all(files_, open_file_, frame_record(last.salt, kind, payload))) {
    // Part of a record costs the next start a scan, and a whole one would be believed: what was not claimed
    // goes.
    if (!files_.truncate(open_file_, last.size)) {
      set_size(last, static_cast<size_t>(std::max<ssize_t>(0, files_.size(open_file_))));
      close_segment();
    }
    return false;
  }
  if (segment != nullptr) *segment = last_segment_;
  if (at != nullptr) *at = last.size;
  set_size(last, last.size + bytes);
  written_bytes_ += bytes;
  return true;
}

// Up to so many bytes of what is alive in a segment, to the end of the log. False: it could not be written.
bool Journal::copy_forward(uint64_t number, size_t most) {
  Segment& from = segments_.at(number);
  size_t copied = 0;
  std::string payload;
  const int file = from.messages.empty() ? -1 : files_.open(from.name);
  while (copied < most && !from.messages.empty()) {
    const uint64_t order = *from.messages.begin();
    IndexedMessage& entry = messages_.at(order);
    const auto accepted = file >= 0 ? read_message(file, entry, payload) : std::nullopt;
    const std::string copy = accepted ? encode(*accepted) : "";
    uint64_t segment = 0;
    size_t at = 0;
    // What cannot be read now stays where it is, and may be another time.
    if (!accepted || !append(RecordKind::kAccepted, copy, &segment, &at, true)) break;
    remove_from_segment(order, entry);
    add_to_segment(order, entry, segment, at, copy.size());
    copied += copy.size();
  }
  if (file >= 0) files_.close(file);
  if (!from.messages.empty() && copied < most) return false;
  while (copied < most && !from.metadata.empty()) {
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

// Whole: what is alive is copied, then the segment goes.
bool Journal::remove_oldest_segment() {
  if (segments_.empty()) return false;
  const uint64_t oldest = segments_.begin()->first;
  if (oldest == last_segment_) close_segment();  // its copies belong behind it
  if (!copy_forward(oldest, static_cast<size_t>(-1))) return false;
  Segment& segment = segments_.at(oldest);
  if (!segment.messages.empty() || !segment.metadata.empty()) return false;
  // Its copies must be on the disk before it goes; and the one before it must have gone for good, or it might
  // come back without the ends that stood in this one.
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
  const bool dead = oldest.messages.empty() && oldest.metadata.empty();
  const bool pressed = used_bytes() + compaction_reserve() + 2 * segment_bytes_ > options_.max_disk_bytes;
  const bool worth = share > kCompactionThreshold && (2 * oldest.live_bytes < oldest.size ||
                                                      (pressed && 10 * oldest.live_bytes < 9 * oldest.size));
  if (!dead && !worth) return false;
  // With power loss in mind it goes once its copies are safe: a later turn may find that they are.
  if (dead && (!is_durable(oldest.emptied_position) ||
               (removal_unsynced_ && options_.durability == Durability::kGroupCommit)))
    return false;
  if (!dead) {
    if (used_bytes() + oldest.live_bytes + compaction_reserve() > options_.max_disk_bytes)
      return false;  // the next append does what it must
    if (!copy_forward(number, bytes)) return false;
  }
  const Segment& first = segments_.begin()->second;
  if (!first.messages.empty() || !first.metadata.empty()) return true;
  return options_.durability == Durability::kGroupCommit && !dead ? true : remove_oldest_segment();
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
  bool good = true;
  for (const int file : sync.files) good = files.sync(file) && good;
  return (!sync.sync_folder || files.sync_folder()) && good;
}

void Journal::end_sync(const SyncRequest& sync, bool good) {
  sync_running_ = false;
  for (size_t i = 0; i < sync.full_segments; ++i) files_.close(sync.files[i]);
  files_to_close_.erase(files_to_close_.begin(),
                        files_to_close_.begin() + static_cast<std::ptrdiff_t>(sync.full_segments));
  if (good) {
    if (sync.covers_everything) synced_position_ = sync.end_position;
    if (sync.sync_folder && !folder_dirty_) removal_unsynced_ = false;
    syncing_messages_.clear();
    syncing_done_.clear();
    return;
  }
  // What a failed sync leaves in the files is not known, and another on them may succeed without having
  // written it: all that is in doubt is written anew, to another segment, before anything more is claimed.
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
  // Within an append, perhaps: nothing here may make room.
  const auto room_for_copy = [&](size_t bytes) {
    return used_bytes() + 2 * bytes + compaction_reserve() <= options_.max_disk_bytes;
  };
  while (!unconfirmed_done_.empty()) {
    const uint64_t order = unconfirmed_done_.back();
    if (!room_for_copy(kDiskBlockBytes) ||
        !append(RecordKind::kDone, encode_done(order), nullptr, nullptr, true))
      return;
    unsynced_done_.push_back(order);
    unconfirmed_done_.pop_back();
  }
  std::string payload;
  while (!unconfirmed_messages_.empty()) {
    const uint64_t order = *unconfirmed_messages_.begin();
    IndexedMessage& entry = messages_.at(order);
    const int file = files_.open(segments_.at(entry.segment).name);
    const auto accepted = file >= 0 ? read_message(file, entry, payload) : std::nullopt;
    if (file >= 0) files_.close(file);
    const std::string copy = accepted ? encode(*accepted) : "";
    uint64_t segment = 0;
    size_t at = 0;
    if (!accepted || !room_for_copy(copy.size()) ||
        !append(RecordKind::kAccepted, copy, &segment, &at, true)) {
      return;  // another time: until then nothing is claimed
    }
    remove_from_segment(order, entry);
    add_to_segment(order, entry, segment, at, copy.size());
    unconfirmed_messages_.erase(order);
  }
}

// In this very turn, for want of room. Not beside another: whether that one failed would not be known.
bool Journal::sync_now() {
  if (sync_running_) return false;
  const SyncRequest sync = begin_sync();
  const bool good = execute_sync(files_, sync);
  end_sync(sync, good);
  return good && sync.covers_everything;
}

bool Journal::write_backlog() {
  while (!unwritten_done_.empty()) {
    const uint64_t order = unwritten_done_.front();
    unwritten_done_.pop_front();
    if (!append(RecordKind::kDone, encode_done(order))) {
      unwritten_done_.push_front(order);
      return false;
    }
    if (options_.durability == Durability::kGroupCommit) unsynced_done_.push_back(order);
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

// ---- What happens to messages ----

bool Journal::record_accepted(const Submission& m, Micros due) {
  if (!unwritten_done_.empty() && !write_backlog()) return false;
  if (sequence_by_id_.contains(m.id)) return false;
  AcceptedMessage out;
  out.sequence = last_sequence_ + 1;
  out.due = due;
  out.message = m;
  const std::string payload = encode(out);
  if (payload.size() > kMaxPayloadBytes || !has_room_for(kFrameHeaderBytes + payload.size())) return false;
  IndexedMessage entry;
  size_t at = 0;
  uint64_t segment = 0;
  ++last_sequence_;
  if (!append(RecordKind::kAccepted, payload, &segment, &at)) {
    if (open_file_ < 0)
      unwritten_done_.push_back(
          out.sequence);  // it could not be cut off: it may be there, whole, and is not ours
    return false;
  }
  entry.id = m.id;
  entry.copy_bytes = static_cast<uint32_t>(kFrameHeaderBytes + payload.size());
  sequence_by_id_[m.id] = out.sequence;
  IndexedMessage& kept = messages_[out.sequence] = std::move(entry);
  add_to_segment(out.sequence, kept, segment, at, payload.size());
  return true;
}

bool Journal::record_attempt(const std::string& id, int number, Micros sent, int zone) {
  uint64_t order = 0;
  IndexedMessage* entry = find_message(id, order);
  if (entry == nullptr || !append(RecordKind::kAttempt, encode_attempt(order, {number, sent, zone, false})))
    return false;
  entry->attempts.push_back({number, sent, zone, false});
  grow_copy(*entry, kEncodedAttemptBytes);
  mark_unsynced(order);
  return true;
}

void Journal::record_not_executed(const std::string& id, int number) {
  uint64_t order = 0;
  IndexedMessage* entry = find_message(id, order);
  if (entry == nullptr) return;
  for (Attempt& t : entry->attempts) {
    if (t.number == number) t.not_executed = true;  // a copy says so, also if the record is not written
  }
  append(RecordKind::kNotExecuted, encode_not_executed(order, number));
  mark_unsynced(order);
}

bool Journal::record_notice(const Notice& notice) {
  uint64_t order = 0;
  IndexedMessage* entry = find_message(notice.id, order);
  if (entry == nullptr) return true;  // it was over before
  if (!append(RecordKind::kNotice, encode_notice(order, notice.returned, notice.retry_after))) return false;
  entry->pending_notice = NoticeRecord{notice.returned, notice.retry_after};
  mark_unsynced(order);
  return true;
}

void Journal::record_done(const std::string& id) {
  uint64_t order = 0;
  if (find_message(id, order) == nullptr) return;
  erase_message(order);
  unwritten_done_.push_back(order);
  write_backlog();
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
  // The newest value is kept in mind and written when it can be. Without a segment there is nowhere to count
  // it.
  if (!segments_.empty()) {
    index_metadata(name, value, segments_.rbegin()->first);
    unwritten_metadata_.insert(name);
  }
  return false;
}

}  // namespace umberhoist::state

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

std::optional<Header> read_header(Files& files, int file) {
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
      segment_bytes_(std::max(kLeastSegment, std::min(kMostSegment, options_.disk / kSegments))),
      next_salt_(options_.seed != 0 ? options_.seed
                                    : (uint64_t{std::random_device{}()} << 32) | std::random_device{}()) {
  if (options_.durability == Durability::kGroup) settle_folder();
  read_all();
  touched_.clear();
  folder_dirty_ = folder_dirty_ || !findings_.lines.empty();
}

// What a killed process wrote may not be on the disk yet, and is about to be built on.
void Journal::settle_folder() {
  for (const std::string& name : files_.list()) {
    if (!number_of(name)) continue;
    const int file = files_.open(name);
    const bool good = file >= 0 && files_.sync(file);
    if (good) files_.forget(file);
    if (file >= 0) files_.close(file);
    if (!good) throw std::runtime_error(name + " of the state folder cannot be synced to the disk");
  }
  if (!files_.sync_folder()) throw std::runtime_error("the state folder cannot be synced to the disk");
}

Journal::~Journal() {
  close_segment();
  for (const int file : closing_) files_.close(file);
}

// ---- Reading ----

void Journal::read_all() {
  std::set<uint64_t> numbers;
  bool legacy = false;
  std::vector<std::string> others;
  for (const std::string& name : files_.list()) {
    if (const auto number = number_of(name)) {
      numbers.insert(*number);
    } else if (name == kLegacyName) {
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
    if (header && (header->version < kOldestVersion || header->version > kVersion)) {
      throw std::runtime_error(segment.name + " is of version " + std::to_string(header->version) +
                               "; expected " + std::to_string(kOldestVersion) + " to " +
                               std::to_string(kVersion) + ". Nothing was changed");
    }
    if (!header && segment.size == 0) {
      strange[number] = number == *numbers.rbegin() ? "" : "it is empty";
    } else if (!header) {
      strange[number] =
          segment.size < kHeaderBytes && number == *numbers.rbegin() ? "" : "its header cannot be read";
    } else if (header->number != number) {
      strange[number] = "it is segment " + std::to_string(header->number) + " under another name";
    } else if (header->owner != options_.owner.substr(0, kMostOwner)) {
      strange[number] = "it belongs to relay " + header->owner;
    } else {
      segment.salt = header->salt;
      add_segment(number, std::move(segment));
    }
  }
  last_number_ = numbers.empty() ? 0 : *numbers.rbegin();
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
    others_[name] = static_cast<size_t>(std::max<ssize_t>(0, files_.size(file)));
    aside_ += counted(others_[name]);
    files_.close(file);
  }
  if (legacy) carry_over();

  std::map<uint64_t, Entry> orphans;
  findings_.segments = segments_.size();
  for (const auto& [number, segment] : segments_) read_segment(number, orphans);
  for (const Damage& damage : damages_) {
    const std::string kept = keep_damage(damage);
    findings_.lines.push_back(text("%s: %zu bytes at %zu cannot be read; what follows them is read%s",
                                   damage.segment.c_str(), damage.bytes, damage.at,
                                   kept.empty() ? "" : ("; they are kept as " + kept).c_str()));
  }
  findings_.orphans = orphans.size();
  if (!orphans.empty()) {
    findings_.lines.push_back(
        text("%zu message(s) of which attempts are recorded and no acceptance can be read: they "
             "cannot be resumed",
             orphans.size()));
  }
}

void Journal::set_aside(const std::string& name, const std::string& why) {
  findings_.lines.push_back(name + " was set aside: " + why);
  const int file = files_.open(name);
  if (file >= 0) {
    aside_ += counted(static_cast<size_t>(std::max<ssize_t>(0, files_.size(file))));
    files_.close(file);
  }
  files_.rename(name, kAside + name);
}

// For a person to look at: its segment goes in time. Only where there is room to spare, and only a part of
// it.
std::string Journal::keep_damage(const Damage& damage) {
  const std::string name = text("%s%s-%zu", kAside, damage.segment.c_str(), damage.at);
  if (const auto there = others_.find(name); there != others_.end() && there->second == damage.bytes)
    return name;
  const size_t bytes = counted(damage.bytes);
  if (others_.contains(name) || aside_ + bytes > options_.disk / kAsidePart ||
      used() + bytes + headroom() + 2 * segment_bytes_ > options_.disk) {
    return "";
  }
  std::string read(damage.bytes, '\0');
  const int from = files_.open(damage.segment);
  const ssize_t got = from < 0 ? -1 : files_.read(from, damage.at, read.data(), read.size());
  if (from >= 0) files_.close(from);
  if (got != static_cast<ssize_t>(read.size())) return "";
  const int to = files_.create(name);
  const bool good = to >= 0 && append_all(files_, to, read);
  if (to >= 0) files_.close(to);
  if (!good) {
    files_.remove(name);
    return "";
  }
  aside_ += bytes;
  return name;
}

void Journal::read_segment(uint64_t number, std::map<uint64_t, Entry>& orphans) {
  const Segment& segment = segments_.at(number);
  const int file = files_.open(segment.name);
  SegmentReader reader(files_, file, segment.salt);
  for (;;) {
    const auto item = reader.next();
    if (item.what == SegmentReader::Item::What::kEnd) break;
    if (item.what == SegmentReader::Item::What::kRecord) {
      ++findings_.records;
      apply(item, number, orphans);
    } else if (item.tail) {
      findings_.torn_bytes += item.bytes;
    } else {
      ++findings_.damages;
      findings_.damaged_bytes += item.bytes;
      damages_.push_back({segment.name, item.at, item.bytes});
    }
  }
  files_.close(file);
}

// No record of a message comes after its end, and no copy of it: they are written in that order, and go in
// it.
void Journal::apply(const SegmentReader::Item& item, uint64_t segment, std::map<uint64_t, Entry>& orphans) {
  const auto known = [&](uint64_t order) -> Entry& {
    last_order_ = std::max(last_order_, order);
    const auto it = entries_.find(order);
    return it != entries_.end() ? it->second : orphans[order];
  };
  const auto add = [&](uint64_t order, Entry& entry, const Attempt& attempt) {
    for (Attempt& t : entry.attempts) {
      if (t.number != attempt.number) continue;
      t.never_ran = t.never_ran || attempt.never_ran;
      if (attempt.sent != 0) std::tie(t.sent, t.zone) = std::pair(attempt.sent, attempt.zone);
      return;
    }
    entry.attempts.push_back(attempt);
    if (entries_.contains(order)) grow(entry, kAttemptInCopy);
  };
  switch (item.kind) {
    case Kind::kAccepted: {
      auto accepted = decode_accepted(item.payload);
      if (!accepted) return;
      last_order_ = std::max(last_order_, accepted->order);
      Entry entry;
      if (const auto it = entries_.find(accepted->order); it != entries_.end()) {
        entry = it->second;
        unplace(accepted->order, entry);
      } else {
        entry = std::move(orphans[accepted->order]);
        orphans.erase(accepted->order);
        entry.id = accepted->message.id;
        // Accepted again while an end of its first time is not to be read: the newer one counts, and what the
        // older may have done is held against it.
        if (const auto older = orders_.find(entry.id); older != orders_.end()) {
          for (const Attempt& t : entries_.at(older->second).attempts) add(accepted->order, entry, t);
          erase(older->second);
        }
        orders_[entry.id] = accepted->order;
      }
      for (const Attempt& t : accepted->attempts) add(0, entry, t);
      if (accepted->owed) entry.owed = Owed{accepted->owed->returned, accepted->owed->retry_after};
      accepted->attempts = entry.attempts;
      entry.copy = static_cast<uint32_t>(framed_bytes(*accepted));
      Entry& kept = entries_[accepted->order] = std::move(entry);
      place(accepted->order, kept, segment, item.at, item.payload.size());
      return;
    }
    case Kind::kAttempt:
      if (const auto t = decode_attempt(item.payload)) {
        add(t->first, known(t->first), t->second);
      }
      return;
    case Kind::kNeverRan:
      if (const auto t = decode_never_ran(item.payload)) {
        add(t->first, known(t->first), {t->second, 0, 0, true});
      }
      return;
    case Kind::kOwed:
      if (const auto owed = decode_owed(item.payload)) {
        known(owed->first).owed = owed->second;
      }
      return;
    case Kind::kDone:
      if (const auto order = decode_done(item.payload)) {
        last_order_ = std::max(last_order_, *order);
        orphans.erase(*order);
        if (entries_.contains(*order)) erase(*order);
      }
      return;
    case Kind::kFact:
      if (const auto fact = decode_fact(item.payload)) put_fact(fact->name, fact->value, segment);
      return;
  }
}

// A kill at any byte leaves either the old file alone, or whole segments beside it: these came last, and
// count.
void Journal::carry_over() {
  if (!segments_.empty()) {
    files_.remove(kLegacyName);
    return;
  }
  const auto legacy = read_legacy(files_, kLegacyName);
  if (!legacy) throw std::runtime_error("cannot read the journal of the state folder");
  if (legacy->damaged > 0) {
    findings_.lines.push_back(
        text("the journal of an earlier version: %zu bytes cannot be read", legacy->damaged));
  }
  Header header;
  header.number = ++last_number_;
  header.salt = ++next_salt_ * 0x9e3779b97f4a7c15;
  header.owner = options_.owner;
  std::string bytes = encode(header);
  for (const auto& [name, value] : legacy->facts)
    bytes += frame(header.salt, Kind::kFact, encode_fact(name, value));
  for (const Accepted& a : legacy->messages) bytes += frame(header.salt, Kind::kAccepted, encode(a));
  const bool group = options_.durability == Durability::kGroup;
  const int file = files_.create(kCarryName);
  bool good = file >= 0 && append_all(files_, file, bytes) && (!group || files_.sync(file));
  if (file >= 0) files_.close(file);
  good = good && (!group || files_.sync_folder());
  Segment segment;
  segment.name = name_of(header.number);
  segment.salt = header.salt;
  segment.size = bytes.size();
  if (!good || !files_.rename(kCarryName, segment.name)) {
    files_.remove(kCarryName);
    throw std::runtime_error("no room in the state folder to carry the journal of an earlier version over");
  }
  if (!group || files_.sync_folder()) files_.remove(kLegacyName);
  findings_.lines.push_back(
      text("the journal of an earlier version was carried over: %zu message(s), %zu fact(s)",
           legacy->messages.size(), legacy->facts.size()));
  add_segment(header.number, std::move(segment));
}

std::optional<Accepted> Journal::read_message(int file, const Entry& entry, std::string& payload) {
  payload.resize(entry.payload);
  const ssize_t got = files_.read(file, entry.at + kFrameBytes, payload.data(), payload.size());
  if (got != static_cast<ssize_t>(payload.size())) return {};
  auto out = decode_accepted(payload);
  if (!out || out->message.id != entry.id) return {};
  out->attempts = entry.attempts;
  out->owed.reset();
  if (entry.owed) out->owed = Notice{entry.id, entry.owed->returned, entry.owed->after};
  return out;
}

void Journal::recover(const std::function<void(Recovered)>& each) {
  std::string payload;
  uint64_t open = 0;
  int file = -1;
  for (const auto& [order, entry] : entries_) {
    if (entry.segment != open) {
      if (file >= 0) files_.close(file);
      file = files_.open(segments_.at(open = entry.segment).name);
    }
    auto accepted = file >= 0 ? read_message(file, entry, payload) : std::nullopt;
    if (!accepted) {
      findings_.lines.push_back("message " + entry.id +
                                " could be read at first and not again: it cannot be resumed");
      continue;
    }
    Recovered out;
    out.message = std::move(accepted->message);
    out.due = accepted->due;
    for (const Attempt& t : entry.attempts) {
      out.attempts = std::max(out.attempts, t.number + 1);
      if (!t.never_ran) out.unsettled[t.number] = {t.sent, t.zone};
    }
    out.owed = accepted->owed;
    each(std::move(out));
  }
  if (file >= 0) files_.close(file);
}

std::map<std::string, std::string> Journal::remembered() const {
  std::map<std::string, std::string> out;
  for (const auto& [name, fact] : facts_) {
    if (!fact.value.empty()) out[name] = fact.value;
  }
  return out;
}

// ---- The index ----

Journal::Entry* Journal::find(const std::string& id, uint64_t& order) {
  const auto it = orders_.find(id);
  if (it == orders_.end()) return nullptr;
  order = it->second;
  return &entries_.at(order);
}

void Journal::place(uint64_t order, Entry& entry, uint64_t segment, size_t at, size_t payload) {
  entry.segment = segment;
  entry.at = at;
  entry.payload = static_cast<uint32_t>(payload);
  Segment& s = segments_.at(segment);
  s.messages.insert(order);
  relive(s, s.live + entry.copy);
  live_bytes_ += entry.copy;
  touch(order);
}

void Journal::unplace(uint64_t order, const Entry& entry) {
  Segment& s = segments_.at(entry.segment);
  s.messages.erase(order);
  s.emptied = written_;
  relive(s, s.live - entry.copy);
  live_bytes_ -= entry.copy;
}

void Journal::grow(Entry& entry, size_t bytes) {
  entry.copy += static_cast<uint32_t>(bytes);
  Segment& s = segments_.at(entry.segment);
  relive(s, s.live + bytes);
  live_bytes_ += bytes;
}

void Journal::touch(uint64_t order) {
  if (options_.durability == Durability::kGroup) touched_.insert(order);
}

void Journal::erase(uint64_t order) {
  const auto it = entries_.find(order);
  for (auto* set : {&touched_, &covered_, &doubtful_}) set->erase(order);
  unplace(order, it->second);
  if (const auto id = orders_.find(it->second.id); id != orders_.end() && id->second == order)
    orders_.erase(id);
  entries_.erase(it);
}

size_t Journal::fact_bytes(const std::string& name, const std::string& value) {
  return value.empty() ? 0 : kFrameBytes + 2 + name.size() + value.size();
}

void Journal::drop_fact(const std::string& name) {
  const auto it = facts_.find(name);
  if (it == facts_.end()) return;
  const size_t bytes = fact_bytes(name, it->second.value);
  if (const auto s = segments_.find(it->second.segment); s != segments_.end()) {
    s->second.facts.erase(name);
    s->second.emptied = written_;
    relive(s->second, s->second.live - bytes);
  }
  fact_bytes_ -= bytes;
  facts_.erase(it);
}

void Journal::put_fact(const std::string& name, const std::string& value, uint64_t segment) {
  drop_fact(name);
  if (value.empty())
    return;  // the record that says so stands behind all that say otherwise, and goes after them
  facts_[name] = {value, segment};
  const size_t bytes = fact_bytes(name, value);
  Segment& s = segments_.at(segment);
  s.facts.insert(name);
  relive(s, s.live + bytes);
  fact_bytes_ += bytes;
}

// ---- Room ----

size_t Journal::used() const { return aside_ + used_; }

void Journal::add_segment(uint64_t number, Segment segment) {
  used_ += counted(segment.size);
  lives_.insert(segment.live);
  segments_[number] = std::move(segment);
}

void Journal::resize(Segment& segment, size_t size) {
  used_ += counted(size) - counted(segment.size);
  segment.size = size;
}

void Journal::relive(Segment& segment, size_t live) {
  lives_.erase(lives_.find(segment.live));
  lives_.insert(segment.live = live);
}

// What any segment's copies may take before it goes, kept free at all times: its records, which fit one
// segment unless it is one record alone, and the ends of the files that they come to stand in.
size_t Journal::headroom(size_t record) const {
  const size_t live = lives_.empty() ? 0 : *lives_.rbegin();
  return std::max({live, record, segment_bytes_}) + 3 * (kHeaderBytes + kBlock);
}

// A message is taken on if, once all that is dead has gone, it and whatever may follow for every live one
// fit.
bool Journal::room_for(size_t framed) const {
  const size_t each = kAttemptInCopy * static_cast<size_t>(options_.most_attempts) + 16;
  const size_t alive = live_bytes_ + fact_bytes_ + framed + each * (entries_.size() + 1);
  const size_t segments = 2 * alive / segment_bytes_ + 2;
  const size_t copies = std::max(headroom(framed), segment_bytes_ + framed);
  return aside_ + alive + segments * (kHeaderBytes + kBlock) + copies + segment_bytes_ <= options_.disk;
}

void Journal::close_segment() {
  if (file_ >= 0 && options_.durability == Durability::kGroup) {
    closing_.push_back(file_);
  } else if (file_ >= 0) {
    files_.close(file_);
  }
  file_ = -1;
}

bool Journal::open_segment() {
  Segment segment;
  Header header;
  header.number = last_number_ + 1;
  header.salt = segment.salt = ++next_salt_ * 0x9e3779b97f4a7c15;
  header.owner = options_.owner;
  segment.name = name_of(header.number);
  file_ = files_.create(segment.name);
  if (file_ < 0) return false;
  folder_dirty_ = true;
  if (!append_all(files_, file_, encode(header))) {
    files_.close(std::exchange(file_, -1));
    files_.remove(segment.name);
    return false;
  }
  segment.size = kHeaderBytes;
  add_segment(++last_number_, std::move(segment));
  return true;
}

// Makes sure that this many bytes can be appended without the folder passing its limit, and that what
// compaction needs stays free behind them.
bool Journal::make_room(size_t bytes) {
  const size_t needed = bytes + kHeaderBytes + 2 * kBlock;
  for (size_t turns = 2 * segments_.size() + 2; used() + needed + headroom(bytes) > options_.disk; --turns) {
    if (turns == 0 || !drop_oldest()) return false;
  }
  return true;
}

bool Journal::append(Kind kind, std::string_view payload, uint64_t* segment, size_t* at, bool copying) {
  const size_t bytes = kFrameBytes + payload.size();
  if (!copying && !make_room(bytes)) return false;
  if (file_ >= 0) {
    const Segment& last = segments_.at(last_number_);
    if (last.size > kHeaderBytes && last.size + bytes > segment_bytes_) close_segment();
  }
  // Whatever was reckoned: not a byte over the limit.
  const size_t held = file_ >= 0 ? segments_.at(last_number_).size : 0;
  const size_t after = std::max(held, kHeaderBytes) + bytes;
  if (used() - counted(held) + counted(after) > options_.disk) return false;
  if (file_ < 0 && !open_segment()) return false;
  Segment& last = segments_.at(last_number_);
  if (!append_all(files_, file_, frame(last.salt, kind, payload))) {
    // Part of a record costs the next start a scan, and a whole one would be believed: what was not claimed
    // goes.
    if (!files_.truncate(file_, last.size)) {
      resize(last, static_cast<size_t>(std::max<ssize_t>(0, files_.size(file_))));
      close_segment();
    }
    return false;
  }
  if (segment != nullptr) *segment = last_number_;
  if (at != nullptr) *at = last.size;
  resize(last, last.size + bytes);
  written_ += bytes;
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
    Entry& entry = entries_.at(order);
    const auto accepted = file >= 0 ? read_message(file, entry, payload) : std::nullopt;
    const std::string copy = accepted ? encode(*accepted) : "";
    uint64_t segment = 0;
    size_t at = 0;
    // What cannot be read now stays where it is, and may be another time.
    if (!accepted || !append(Kind::kAccepted, copy, &segment, &at, true)) break;
    unplace(order, entry);
    place(order, entry, segment, at, copy.size());
    copied += copy.size();
  }
  if (file >= 0) files_.close(file);
  if (!from.messages.empty() && copied < most) return false;
  while (copied < most && !from.facts.empty()) {
    const std::string name = *from.facts.begin();
    const std::string value = facts_.at(name).value;
    uint64_t segment = 0;
    if (!append(Kind::kFact, encode_fact(name, value), &segment, nullptr, true)) return false;
    put_fact(name, value, segment);
    copied += name.size() + value.size();
  }
  copied_ += copied;
  return true;
}

// Whole: what is alive is copied, then the segment goes.
bool Journal::drop_oldest() {
  if (segments_.empty()) return false;
  const uint64_t oldest = segments_.begin()->first;
  if (oldest == last_number_) close_segment();  // its copies belong behind it
  if (!copy_forward(oldest, static_cast<size_t>(-1))) return false;
  Segment& segment = segments_.at(oldest);
  if (!segment.messages.empty() || !segment.facts.empty()) return false;
  // Its copies must be on the disk before it goes; and the one before it must have gone for good, or it might
  // come back without the ends that stood in this one.
  if (options_.durability == Durability::kGroup && (removed_ || !durable(segment.emptied)) && !sync_now()) {
    return false;
  }
  if (!files_.remove(segment.name)) return false;
  folder_dirty_ = removed_ = true;
  used_ -= counted(segment.size);
  lives_.erase(lives_.find(segment.live));
  segments_.erase(oldest);
  return true;
}

bool Journal::tidy(size_t bytes) {
  if (!ends_.empty() || !stale_facts_.empty()) write_pending();
  if (segments_.size() < 2) return false;
  const auto& [number, oldest] = *segments_.begin();
  const double share = static_cast<double>(used()) / static_cast<double>(std::max<size_t>(1, options_.disk));
  const bool dead = oldest.messages.empty() && oldest.facts.empty();
  const bool pressed = used() + headroom() + 2 * segment_bytes_ > options_.disk;
  const bool worth = share > kTidyAbove &&
                     (2 * oldest.live < oldest.size || (pressed && 10 * oldest.live < 9 * oldest.size));
  if (!dead && !worth) return false;
  // With power loss in mind it goes once its copies are safe: a later turn may find that they are.
  if (dead && (!durable(oldest.emptied) || (removed_ && options_.durability == Durability::kGroup)))
    return false;
  if (!dead) {
    if (used() + oldest.live + headroom() > options_.disk) return false;  // the next append does what it must
    if (!copy_forward(number, bytes)) return false;
  }
  const Segment& first = segments_.begin()->second;
  if (!first.messages.empty() || !first.facts.empty()) return true;
  return options_.durability == Durability::kGroup && !dead ? true : drop_oldest();
}

// ---- Power loss ----

bool Journal::sync_wanted() const {
  return options_.durability == Durability::kGroup && !syncing_ &&
         (synced_ < written_ || removed_ || !doubtful_.empty());
}

Journal::Sync Journal::begin_sync() {
  rewrite_doubtful();
  Sync out;
  out.upto = written_;
  out.files = closing_;
  out.full = closing_.size();
  if (file_ >= 0) out.files.push_back(file_);
  out.folder = std::exchange(folder_dirty_, false);
  out.whole = doubtful_.empty() && doubtful_ends_.empty();
  syncing_ = true;
  covered_.swap(touched_);
  covered_ends_.swap(touched_ends_);
  return out;
}

bool Journal::carry_out(Files& files, const Sync& sync) {
  bool good = true;
  for (const int file : sync.files) good = files.sync(file) && good;
  return (!sync.folder || files.sync_folder()) && good;
}

void Journal::end_sync(const Sync& sync, bool good) {
  syncing_ = false;
  for (size_t i = 0; i < sync.full; ++i) files_.close(sync.files[i]);
  closing_.erase(closing_.begin(), closing_.begin() + static_cast<std::ptrdiff_t>(sync.full));
  if (good) {
    if (sync.whole) synced_ = sync.upto;
    if (sync.folder && !folder_dirty_) removed_ = false;
    covered_.clear();
    covered_ends_.clear();
    return;
  }
  // What a failed sync leaves in the files is not known, and another on them may succeed without having
  // written it: all that is in doubt is written anew, to another segment, before anything more is claimed.
  folder_dirty_ = true;
  if (file_ >= 0) files_.close(std::exchange(file_, -1));
  doubtful_.insert(covered_.begin(), covered_.end());
  doubtful_.insert(touched_.begin(), touched_.end());
  covered_.clear();
  touched_.clear();
  for (auto* ends : {&covered_ends_, &touched_ends_})
    doubtful_ends_.insert(doubtful_ends_.end(), ends->begin(), ends->end()), ends->clear();
}

void Journal::rewrite_doubtful() {
  // Within an append, perhaps: nothing here may make room.
  const auto room_for_copy = [&](size_t bytes) { return used() + 2 * bytes + headroom() <= options_.disk; };
  while (!doubtful_ends_.empty()) {
    const uint64_t order = doubtful_ends_.back();
    if (!room_for_copy(kBlock) || !append(Kind::kDone, encode_done(order), nullptr, nullptr, true)) return;
    touched_ends_.push_back(order);
    doubtful_ends_.pop_back();
  }
  std::string payload;
  while (!doubtful_.empty()) {
    const uint64_t order = *doubtful_.begin();
    Entry& entry = entries_.at(order);
    const int file = files_.open(segments_.at(entry.segment).name);
    const auto accepted = file >= 0 ? read_message(file, entry, payload) : std::nullopt;
    if (file >= 0) files_.close(file);
    const std::string copy = accepted ? encode(*accepted) : "";
    uint64_t segment = 0;
    size_t at = 0;
    if (!accepted || !room_for_copy(copy.size()) || !append(Kind::kAccepted, copy, &segment, &at, true)) {
      return;  // another time: until then nothing is claimed
    }
    unplace(order, entry);
    place(order, entry, segment, at, copy.size());
    doubtful_.erase(order);
  }
}

// In this very turn, for want of room. Not beside another: whether that one failed would not be known.
bool Journal::sync_now() {
  if (syncing_) return false;
  const Sync sync = begin_sync();
  const bool good = carry_out(files_, sync);
  end_sync(sync, good);
  return good && sync.whole;
}

bool Journal::write_pending() {
  while (!ends_.empty()) {
    const uint64_t order = ends_.front();
    ends_.pop_front();
    if (!append(Kind::kDone, encode_done(order))) {
      ends_.push_front(order);
      return false;
    }
    if (options_.durability == Durability::kGroup) touched_ends_.push_back(order);
  }
  while (!stale_facts_.empty()) {
    const std::string name = *stale_facts_.begin();
    const auto it = facts_.find(name);
    uint64_t segment = 0;
    if (!append(Kind::kFact, encode_fact(name, it == facts_.end() ? "" : it->second.value), &segment))
      return false;
    if (it != facts_.end()) put_fact(name, std::string(it->second.value), segment);
    stale_facts_.erase(stale_facts_.begin());
  }
  return true;
}

// ---- What happens to messages ----

bool Journal::accepted(const Submission& m, Time due) {
  if (!ends_.empty() && !write_pending()) return false;
  if (orders_.contains(m.id)) return false;
  Accepted out;
  out.order = last_order_ + 1;
  out.due = due;
  out.message = m;
  const std::string payload = encode(out);
  if (payload.size() > kMostRecord || !room_for(kFrameBytes + payload.size())) return false;
  Entry entry;
  size_t at = 0;
  uint64_t segment = 0;
  ++last_order_;
  if (!append(Kind::kAccepted, payload, &segment, &at)) {
    if (file_ < 0)
      ends_.push_back(out.order);  // it could not be cut off: it may be there, whole, and is not ours
    return false;
  }
  entry.id = m.id;
  entry.copy = static_cast<uint32_t>(kFrameBytes + payload.size());
  orders_[m.id] = out.order;
  Entry& kept = entries_[out.order] = std::move(entry);
  place(out.order, kept, segment, at, payload.size());
  return true;
}

bool Journal::attempt(const std::string& id, int number, Time sent, int zone) {
  uint64_t order = 0;
  Entry* entry = find(id, order);
  if (entry == nullptr || !append(Kind::kAttempt, encode_attempt(order, {number, sent, zone, false})))
    return false;
  entry->attempts.push_back({number, sent, zone, false});
  grow(*entry, kAttemptInCopy);
  touch(order);
  return true;
}

void Journal::never_ran(const std::string& id, int number) {
  uint64_t order = 0;
  Entry* entry = find(id, order);
  if (entry == nullptr) return;
  for (Attempt& t : entry->attempts) {
    if (t.number == number) t.never_ran = true;  // a copy says so, also if the record is not written
  }
  append(Kind::kNeverRan, encode_never_ran(order, number));
  touch(order);
}

bool Journal::owed(const Notice& notice) {
  uint64_t order = 0;
  Entry* entry = find(notice.id, order);
  if (entry == nullptr) return true;  // it was over before
  if (!append(Kind::kOwed, encode_owed(order, notice.returned, notice.retry_after))) return false;
  entry->owed = Owed{notice.returned, notice.retry_after};
  touch(order);
  return true;
}

void Journal::done(const std::string& id) {
  uint64_t order = 0;
  if (find(id, order) == nullptr) return;
  erase(order);
  ends_.push_back(order);
  write_pending();
}

bool Journal::remember(const std::string& name, const std::string& value) {
  const auto old = facts_.find(name);
  if (value == (old == facts_.end() ? "" : old->second.value)) return true;
  const size_t before = old == facts_.end() ? 0 : fact_bytes(name, old->second.value);
  const size_t bytes = fact_bytes(name, value);
  if (bytes > before &&
      static_cast<double>(fact_bytes_ - before + bytes) > kFactsPart * static_cast<double>(options_.disk)) {
    return false;
  }
  uint64_t segment = 0;
  if (append(Kind::kFact, encode_fact(name, value), &segment)) {
    put_fact(name, value, segment);
    stale_facts_.erase(name);
    return true;
  }
  // The newest value is kept in mind and written when it can be. Without a segment there is nowhere to count
  // it.
  if (!segments_.empty()) {
    put_fact(name, value, segments_.rbegin()->first);
    stale_facts_.insert(name);
  }
  return false;
}

}  // namespace umberhoist::state

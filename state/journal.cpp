#include "state/journal.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <random>
#include <stdexcept>

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
      segment_bytes_(std::max(kLeastSegment, options_.disk / kSegments)),
      next_salt_(options_.seed != 0 ? options_.seed
                                    : (uint64_t{std::random_device{}()} << 32) | std::random_device{}()) {
  read_all();
}

Journal::~Journal() { close_segment(); }

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
      segments_[number] = std::move(segment);
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
    aside_ += counted(static_cast<size_t>(std::max<ssize_t>(0, files_.size(file))));
    files_.close(file);
  }
  if (legacy) carry_over();

  std::map<uint64_t, Entry> orphans;
  findings_.segments = segments_.size();
  for (const auto& [number, segment] : segments_) read_segment(number, orphans);
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
      findings_.lines.push_back(text("%s: %zu bytes at %zu cannot be read; what follows them is read",
                                     segment.name.c_str(), item.bytes, item.at));
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
      if (accepted->owed) entry.owed = Owed{accepted->owed->returned, accepted->owed->after};
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
  const int file = files_.create(kCarryName);
  const bool good = file >= 0 && append_all(files_, file, bytes);
  if (file >= 0) files_.close(file);
  Segment segment;
  segment.name = name_of(header.number);
  segment.salt = header.salt;
  segment.size = bytes.size();
  if (!good || !files_.rename(kCarryName, segment.name)) {
    files_.remove(kCarryName);
    throw std::runtime_error("no room in the state folder to carry the journal of an earlier version over");
  }
  files_.remove(kLegacyName);
  findings_.lines.push_back(
      text("the journal of an earlier version was carried over: %zu message(s), %zu fact(s)",
           legacy->messages.size(), legacy->facts.size()));
  segments_[header.number] = std::move(segment);
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
  s.live += entry.copy;
  live_bytes_ += entry.copy;
}

void Journal::unplace(uint64_t order, const Entry& entry) {
  Segment& s = segments_.at(entry.segment);
  s.messages.erase(order);
  s.live -= entry.copy;
  live_bytes_ -= entry.copy;
}

void Journal::grow(Entry& entry, size_t bytes) {
  entry.copy += static_cast<uint32_t>(bytes);
  segments_.at(entry.segment).live += bytes;
  live_bytes_ += bytes;
}

void Journal::erase(uint64_t order) {
  const auto it = entries_.find(order);
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
    s->second.live -= bytes;
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
  segments_.at(segment).facts.insert(name);
  segments_.at(segment).live += bytes;
  fact_bytes_ += bytes;
}

// ---- Room ----

size_t Journal::used() const {
  size_t out = aside_;
  for (const auto& [number, segment] : segments_) out += counted(segment.size);
  return out;
}

// What the oldest segment's copies may take before it goes: kept free at all times.
size_t Journal::headroom() const {
  size_t most = 0;
  for (const auto& [number, segment] : segments_) most = std::max(most, segment.live);
  return most + 3 * (kHeaderBytes + kBlock);
}

// A message is taken on if, once all that is dead has gone, it and whatever may follow for every live one
// fit.
bool Journal::room_for(size_t framed) const {
  const size_t each = kAttemptInCopy * static_cast<size_t>(options_.most_attempts) + 16;
  const size_t alive = live_bytes_ + fact_bytes_ + framed + each * (entries_.size() + 1);
  const size_t segments = 2 * alive / segment_bytes_ + 2;
  const size_t copies = std::max(headroom(), segment_bytes_ + framed);
  return aside_ + alive + segments * (kHeaderBytes + kBlock) + copies + segment_bytes_ <= options_.disk;
}

void Journal::close_segment() {
  if (file_ >= 0) files_.close(file_);
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
  if (!append_all(files_, file_, encode(header))) {
    close_segment();
    files_.remove(segment.name);
    return false;
  }
  segment.size = kHeaderBytes;
  segments_[++last_number_] = std::move(segment);
  return true;
}

// Makes sure that this many bytes can be appended without the folder passing its limit, and that what
// compaction needs stays free behind them.
bool Journal::make_room(size_t bytes) {
  const size_t needed = bytes + kHeaderBytes + 2 * kBlock;
  for (size_t turns = 2 * segments_.size() + 2; used() + needed + headroom() > options_.disk; --turns) {
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
  if (file_ < 0 && !open_segment()) return false;
  Segment& last = segments_.at(last_number_);
  if (!append_all(files_, file_, frame(last.salt, kind, payload))) {
    // Part of a record costs the next start a scan, and a whole one would be believed: what was not claimed
    // goes.
    if (!files_.truncate(file_, last.size)) {
      last.size = static_cast<size_t>(std::max<ssize_t>(0, files_.size(file_)));
      close_segment();
    }
    return false;
  }
  if (segment != nullptr) *segment = last_number_;
  if (at != nullptr) *at = last.size;
  last.size += bytes;
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
  if (!files_.remove(segment.name)) return false;
  segments_.erase(oldest);
  return true;
}

bool Journal::tidy(size_t bytes) {
  if (!ends_.empty() || !stale_facts_.empty()) write_pending();
  if (segments_.size() < 2) return false;
  const auto& [number, oldest] = *segments_.begin();
  const double share = static_cast<double>(used()) / static_cast<double>(std::max<size_t>(1, options_.disk));
  const bool dead = oldest.messages.empty() && oldest.facts.empty();
  const bool worth = share > kTidyAbove && 2 * oldest.live < oldest.size;
  if (!dead && !worth) return false;
  if (!dead) {
    if (used() + oldest.live + headroom() > options_.disk) return false;  // the next append does what it must
    if (!copy_forward(number, bytes)) return false;
  }
  if (segments_.begin()->second.messages.empty() && segments_.begin()->second.facts.empty())
    return drop_oldest();
  return true;
}

bool Journal::write_pending() {
  while (!ends_.empty()) {
    if (!append(Kind::kDone, encode_done(ends_.front()))) return false;
    ends_.pop_front();
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

bool Journal::accepted(const Handed& m, Time due) {
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
}

bool Journal::owed(const Notice& notice) {
  uint64_t order = 0;
  Entry* entry = find(notice.id, order);
  if (entry == nullptr) return true;  // it was over before
  if (!append(Kind::kOwed, encode_owed(order, notice.returned, notice.after))) return false;
  entry->owed = Owed{notice.returned, notice.after};
  return true;
}

void Journal::done(const std::string& id) {
  uint64_t order = 0;
  if (find(id, order) == nullptr) return;
  erase(order);
  if ((!ends_.empty() && !write_pending()) || !append(Kind::kDone, encode_done(order)))
    ends_.push_back(order);
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

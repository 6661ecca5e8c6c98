#include "register/storage.h"

#include <xxhash.h>

#include <algorithm>

#include "state/bytes.h"

namespace umberhoist::reg {
namespace {

using state::ByteReader;
using state::ByteWriter;

constexpr uint32_t kVersion = 1;
constexpr size_t kMostVoteBytes = 4096;
constexpr size_t kMostLogBytes = 256 * 1024 * 1024;
constexpr size_t kMostPeersBytes = 64 * 1024;  // then it is written anew
const std::string kVoteA = "vote-a";
const std::string kVoteB = "vote-b";
const std::string kPeers = "peers";
const std::string kAside = "aside-";

std::string log_name(uint64_t number) { return "log-" + std::to_string(number); }
std::string snapshot_name(uint64_t index) { return "snapshot-" + std::to_string(index); }

bool ours(const std::string& name) {
  return name == kVoteA || name == kVoteB || name == kPeers || name.starts_with("log-") ||
         name.starts_with("snapshot-");
}

}  // namespace

std::string encode_storage_frame(std::string_view payload) {
  ByteWriter out;
  out.write_number(static_cast<uint32_t>(payload.size()));
  out.write_number(XXH64(payload.data(), payload.size(), payload.size()));
  return out.write_bytes(payload).take();
}

std::optional<std::string> read_storage_frame(std::string_view bytes, size_t& at, size_t most) {
  if (at > bytes.size()) return std::nullopt;
  ByteReader in(bytes.substr(at));
  const auto size = in.read_number<uint32_t>();
  const auto sum = in.read_number<uint64_t>();
  constexpr size_t kHead = sizeof size + sizeof sum;
  if (!in.ok() || size > most || bytes.size() - at - kHead < size) return std::nullopt;
  const std::string_view payload = bytes.substr(at + kHead, size);
  if (XXH64(payload.data(), payload.size(), payload.size()) != sum) return std::nullopt;
  at += kHead + size;
  return std::string(payload);
}

std::string encode_entry(const StoredEntry& entry) {
  return ByteWriter()
      .write_number(entry.index)
      .write_number(entry.term)
      .write_number(entry.type)
      .write_bytes(entry.data)
      .take();
}

std::optional<StoredEntry> decode_entry(std::string_view payload) {
  ByteReader in(payload);
  StoredEntry out;
  out.index = in.read_number<uint64_t>();
  out.term = in.read_number<uint64_t>();
  out.type = in.read_number<uint16_t>();
  out.data = in.read_rest();
  if (!in.ok() || out.index == 0 || out.type == 0) return std::nullopt;
  return out;
}

std::string encode_snapshot(const StoredSnapshot& s) {
  return ByteWriter()
      .write_number(s.index)
      .write_number(s.term)
      .write_number(s.configuration_index)
      .write_string(s.configuration)
      .write_bytes(s.data)
      .take();
}

std::optional<StoredSnapshot> decode_snapshot(std::string_view payload) {
  ByteReader in(payload);
  StoredSnapshot out;
  out.index = in.read_number<uint64_t>();
  out.term = in.read_number<uint64_t>();
  out.configuration_index = in.read_number<uint64_t>();
  out.configuration = in.read_string();
  out.data = in.read_rest();
  if (!in.ok() || out.index == 0) return std::nullopt;
  return out;
}

Storage::Storage(state::Files& files, std::string name) : files_(files), name_(std::move(name)) {
  load_peers();
  load();
}

uint64_t Storage::last_index() const {
  if (!entries_.empty()) return entries_.back().index;
  return snapshot_ ? snapshot_->index : 0;
}

bool Storage::fail(const char* what) {
  failed_ = true;
  finding_ = std::string("the disk did not take ") + what + ": nothing is promised until the next start";
  return false;
}

bool Storage::write(int file, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t done = files_.append(file, bytes);
    if (done <= 0) return false;
    bytes.remove_prefix(static_cast<size_t>(done));
  }
  return true;
}

std::optional<std::string> Storage::read_whole(const std::string& name, size_t most) {
  const int file = files_.open(name);
  if (file < 0) return std::nullopt;
  files_.drop_page_cache(file);
  const ssize_t size = files_.size(file);
  std::string out;
  if (size >= 0) {
    out.resize(std::min(static_cast<size_t>(size), most));
    size_t at = 0;
    while (at < out.size()) {
      const ssize_t got = files_.read(file, at, out.data() + at, out.size() - at);
      if (got <= 0) break;
      at += static_cast<size_t>(got);
    }
    out.resize(at);
  }
  files_.close(file);
  return out;
}

std::optional<Storage::Vote> Storage::read_vote(const std::string& name, bool& others) {
  const auto bytes = read_whole(name, kMostVoteBytes);
  if (!bytes) return std::nullopt;
  size_t at = 0;
  const auto payload = read_storage_frame(*bytes, at, kMostVoteBytes);
  if (!payload) return std::nullopt;
  ByteReader in(*payload);
  if (in.read_number<uint32_t>() != kVersion) return std::nullopt;
  Vote out;
  for (uint64_t* field : {&out.promises, &out.generation, &out.identity, &out.term, &out.voted_for, &out.log,
                          &out.log_bytes, &out.snapshot}) {
    *field = in.read_number<uint64_t>();
  }
  const std::string owner = in.read_string();
  if (!in.at_end()) return std::nullopt;
  others = others || owner != name_;
  return out;
}

// Both copies are written at each promise, one after the other: a copy that cannot be read was being written,
// or was damaged since; either way the other one holds all that was promised.
void Storage::load() {
  const auto names = files_.list();
  const bool any =
      std::any_of(names.begin(), names.end(), [](const auto& n) { return ours(n) && n != kPeers; });
  if (!any) return;
  bool others = false;
  const auto a = read_vote(kVoteA, others);
  const auto b = read_vote(kVoteB, others);
  if (others) {
    found_ = FolderState::kForeign;
    finding_ = "the folder is another relay's; expected that of '" + name_ + "'";
    return;
  }
  if (!a && !b) {
    // A beginning that was cut short promised nothing, but that cannot be told from a loss.
    found_ = FolderState::kDamaged;
    finding_ = "neither copy of the vote can be read";
    return;
  }
  vote_ = !b || (a && a->promises >= b->promises) ? *a : *b;
  loaded_promises_ = vote_.promises;
  if (!load_snapshot() || !load_log()) {
    found_ = FolderState::kDamaged;
    snapshot_.reset();
    entries_.clear();
    return;
  }
  found_ = FolderState::kIntact;
  if (!a || !b || a->promises != b->promises) promise();  // both copies alike again
}

bool Storage::load_snapshot() {
  if (vote_.snapshot == 0) return true;
  const auto bytes = read_whole(snapshot_name(vote_.snapshot), kMaxSnapshotBytes + 64);
  size_t at = 0;
  const auto payload = bytes ? read_storage_frame(*bytes, at, kMaxSnapshotBytes) : std::nullopt;
  snapshot_ = payload ? decode_snapshot(*payload) : std::nullopt;
  if (snapshot_ && snapshot_->index == vote_.snapshot) return true;
  finding_ = "the snapshot of command " + std::to_string(vote_.snapshot) + " is missing or damaged";
  return false;
}

bool Storage::load_log() {
  const std::string name = log_name(vote_.log);
  const auto bytes = read_whole(name, kMostLogBytes);
  if (!bytes || bytes->size() < vote_.log_bytes) {
    finding_ = "the log " + name + " ends after " + std::to_string(bytes ? bytes->size() : 0) + " of " +
               std::to_string(vote_.log_bytes) + " bytes that were promised";
    return false;
  }
  const std::string_view promised(bytes->data(), vote_.log_bytes);
  size_t at = 0;
  while (at < promised.size()) {
    const size_t from = at;
    const auto payload = read_storage_frame(promised, at, kMaxEntryBytes + 64);
    const auto entry = payload ? decode_entry(*payload) : std::nullopt;
    if (!entry || (!entries_.empty() && entry->index != entries_.back().index + 1)) {
      finding_ = "the log " + name + " is damaged at byte " + std::to_string(from) + " of " +
                 std::to_string(vote_.log_bytes) + " that were promised";
      return false;
    }
    entries_.push_back(*entry);
  }
  // What lies behind was never promised: written anew without it.
  if (bytes->size() > promised.size()) return start_log(vote_.log + 1) && promise();
  return true;
}

bool Storage::initialize(uint64_t generation, uint64_t identity) {
  std::vector<std::string> old, aside;
  for (const std::string& file : files_.list()) {
    if (ours(file) && file != kPeers) old.push_back(file);
    if (file.starts_with(kAside)) aside.push_back(file);
  }
  // The votes go first: a crash in between leaves a folder without them, not one with half a log.
  std::sort(old.begin(), old.end(), [](const auto& a, const auto& b) { return b < a; });
  if (!old.empty()) {
    for (const std::string& file : aside) files_.remove(file);
  }
  for (const std::string& file : old) {
    if (!files_.rename(file, kAside + file)) return fail("a folder put aside");
  }
  if (log_file_ >= 0) files_.close(log_file_);
  log_file_ = -1;
  failed_ = false;
  finding_.clear();
  entries_.clear();
  snapshot_.reset();
  vote_ = {};
  loaded_promises_ = 0;
  vote_.generation = generation;
  vote_.identity = identity;
  if (!files_.sync_folder() || !start_log(1) || !promise()) return fail("a new beginning");
  found_ = FolderState::kIntact;
  return true;
}

bool Storage::write_whole(const std::string& name, const std::string& bytes) {
  const int file = files_.create(name);
  if (file < 0) return false;
  const bool good = write(file, bytes) && files_.sync(file);
  files_.close(file);
  return good;
}

bool Storage::write_copy(const std::string& name) {
  ByteWriter out;
  out.write_number(kVersion);
  for (const uint64_t field : {vote_.promises, vote_.generation, vote_.identity, vote_.term, vote_.voted_for,
                               vote_.log, vote_.log_bytes, vote_.snapshot}) {
    out.write_number(field);
  }
  out.write_string(name_);
  // Under its own name, not by a new one: what is lost of it is lost of one copy only.
  return write_whole(name, encode_storage_frame(out.take())) && files_.sync_folder();
}

bool Storage::promise() {
  ++vote_.promises;
  return write_copy(kVoteA) && write_copy(kVoteB) ? true : fail("a vote");
}

bool Storage::set_term(uint64_t term) {
  if (failed_) return false;
  vote_.term = term;
  vote_.voted_for = 0;
  return promise();
}

bool Storage::set_vote(uint64_t candidate) {
  if (failed_) return false;
  vote_.voted_for = candidate;
  return promise();
}

bool Storage::start_log(uint64_t number) {
  std::string all;
  for (const StoredEntry& entry : entries_) all += encode_storage_frame(encode_entry(entry));
  const int file = files_.create(log_name(number));
  if (file < 0) return fail("a log");
  if (!write(file, all) || !files_.sync(file) || !files_.sync_folder()) {
    files_.close(file);
    return fail("a log");
  }
  if (log_file_ >= 0) files_.close(log_file_);
  log_file_ = file;
  vote_.log = number;
  vote_.log_bytes = all.size();
  return true;
}

bool Storage::append(const std::vector<StoredEntry>& entries) {
  if (failed_) return false;
  if (entries.empty()) return true;
  // After a start the file is only read: it grows again under a new number.
  if (log_file_ < 0 && !start_log(vote_.log + 1)) return false;
  std::string bytes;
  for (const StoredEntry& entry : entries) {
    if (entry.data.size() > kMaxEntryBytes) return fail("a command that is too large");
    bytes += encode_storage_frame(encode_entry(entry));
    entries_.push_back(entry);
  }
  if (!write(log_file_, bytes) || !files_.sync(log_file_)) return fail("commands");
  vote_.log_bytes += bytes.size();
  const uint64_t old = vote_.log;
  if (!promise()) return false;
  for (const std::string& file : files_.list()) {
    if (file.starts_with("log-") && file != log_name(old)) files_.remove(file);
  }
  return true;
}

bool Storage::truncate(uint64_t from) {
  if (failed_) return false;
  if (entries_.empty() || entries_.back().index < from) return true;
  while (!entries_.empty() && entries_.back().index >= from) entries_.pop_back();
  const uint64_t old = vote_.log;
  if (!start_log(vote_.log + 1) || !promise()) return false;
  files_.remove(log_name(old));
  return true;
}

bool Storage::put_snapshot(StoredSnapshot snapshot, uint64_t trailing) {
  if (failed_) return false;
  if (snapshot.data.size() > kMaxSnapshotBytes) return fail("a snapshot that is too large");
  const uint64_t index = snapshot.index;
  if (!write_whole(snapshot_name(index), encode_storage_frame(encode_snapshot(snapshot))) ||
      !files_.sync_folder()) {
    return fail("a snapshot");
  }
  snapshot_ = std::move(snapshot);
  if (trailing == 0) {
    entries_.clear();
  } else {
    while (!entries_.empty() && entries_.front().index + trailing <= index) entries_.pop_front();
  }
  const uint64_t old_log = vote_.log;
  const uint64_t old_snapshot = vote_.snapshot;
  if (!start_log(vote_.log + 1)) return false;
  vote_.snapshot = index;
  if (!promise()) return false;
  files_.remove(log_name(old_log));
  if (old_snapshot != 0 && old_snapshot != index) files_.remove(snapshot_name(old_snapshot));
  return true;
}

// Whatever cannot be read of it is forgotten, and heard again.
void Storage::load_peers() {
  const auto bytes = read_whole(kPeers, 4 * kMostPeersBytes);
  if (!bytes) return;
  size_t at = 0;
  while (const auto payload = read_storage_frame(*bytes, at, 64)) {
    ByteReader in(*payload);
    const auto identity = in.read_number<uint64_t>();
    const auto promises = in.read_number<uint64_t>();
    if (!in.at_end()) break;
    uint64_t& known = peers_[identity];
    known = std::max(known, promises);
  }
}

bool Storage::record_peer(uint64_t identity, uint64_t promises) {
  uint64_t& known = peers_[identity];
  if (promises <= known) return true;
  known = promises;
  if (peers_file_ < 0 || peers_bytes_ > kMostPeersBytes) {
    if (peers_file_ >= 0) files_.close(peers_file_);
    const std::string fresh = "peers-new";
    peers_file_ = files_.create(fresh);
    std::string all;
    for (const auto& [who, what] : peers_)
      all += encode_storage_frame(ByteWriter().write_number(who).write_number(what).take());
    peers_bytes_ = all.size();
    if (peers_file_ < 0 || !write(peers_file_, all) || !files_.sync(peers_file_) ||
        !files_.rename(fresh, kPeers) || !files_.sync_folder()) {
      return fail("what others promised");
    }
    return true;
  }
  const std::string frame =
      encode_storage_frame(ByteWriter().write_number(identity).write_number(promises).take());
  peers_bytes_ += frame.size();
  if (!write(peers_file_, frame) || !files_.sync(peers_file_)) return fail("what others promised");
  return true;
}

uint64_t Storage::peer_durable_writes(uint64_t identity) const {
  const auto it = peers_.find(identity);
  return it == peers_.end() ? 0 : it->second;
}

uint64_t Storage::newest_identity(uint32_t slot) const {
  const auto it = peers_.upper_bound(make_identity(slot, 0xffffff));
  if (it == peers_.begin() || slot_of(std::prev(it)->first) != slot) return 0;
  return std::prev(it)->first;
}

}  // namespace umberhoist::reg

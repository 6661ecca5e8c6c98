#include "register/storage.h"

#include <xxhash.h>

#include <algorithm>

#include "state/bytes.h"

namespace umberhoist::reg {
namespace {

using state::ByteReader;
using state::ByteWriter;

constexpr uint32_t kVersion = 1;
constexpr size_t kMaxVoteRecordBytes = 4096;
constexpr size_t kMaxLogBytes = 256 * 1024 * 1024;
constexpr size_t kMaxPeersFileBytes = 64 * 1024;  // the file is rewritten above this size
const std::string kVoteA = "vote-a";
const std::string kVoteB = "vote-b";
const std::string kPeersFile = "peers";
const std::string kAsidePrefix = "aside-";

std::string log_name(uint64_t number) { return "log-" + std::to_string(number); }
std::string snapshot_name(uint64_t index) { return "snapshot-" + std::to_string(index); }

bool is_storage_file(const std::string& name) {
  return name == kVoteA || name == kVoteB || name == kPeersFile || name.starts_with("log-") ||
         name.starts_with("snapshot-");
}

}  // namespace

std::string encode_storage_frame(std::string_view payload) {
  ByteWriter out;
  out.write_number(static_cast<uint32_t>(payload.size()));
  out.write_number(XXH64(payload.data(), payload.size(), payload.size()));
  return out.write_bytes(payload).take();
}

std::optional<std::string> read_storage_frame(std::string_view bytes, size_t& at, size_t max_bytes) {
  if (at > bytes.size()) return std::nullopt;
  ByteReader in(bytes.substr(at));
  const auto size = in.read_number<uint32_t>();
  const auto sum = in.read_number<uint64_t>();
  constexpr size_t kHead = sizeof size + sizeof sum;
  if (!in.ok() || size > max_bytes || bytes.size() - at - kHead < size) return std::nullopt;
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
  diagnostic_ = std::string("the disk did not take ") + what + ": nothing is promised until the next start";
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

std::optional<std::string> Storage::read_file(const std::string& name, size_t max_bytes) {
  const int file = files_.open(name);
  if (file < 0) return std::nullopt;
  files_.drop_page_cache(file);
  const ssize_t size = files_.size(file);
  std::string out;
  if (size >= 0) {
    out.resize(std::min(static_cast<size_t>(size), max_bytes));
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

std::optional<Storage::VoteRecord> Storage::read_vote_copy(const std::string& name, bool& foreign) {
  const auto bytes = read_file(name, kMaxVoteRecordBytes);
  if (!bytes) return std::nullopt;
  size_t at = 0;
  const auto payload = read_storage_frame(*bytes, at, kMaxVoteRecordBytes);
  if (!payload) return std::nullopt;
  ByteReader in(*payload);
  if (in.read_number<uint32_t>() != kVersion) return std::nullopt;
  VoteRecord out;
  for (uint64_t* field : {&out.durable_writes, &out.generation, &out.identity, &out.term, &out.voted_for,
                          &out.log_number, &out.durable_log_bytes, &out.snapshot_index}) {
    *field = in.read_number<uint64_t>();
  }
  const std::string owner = in.read_string();
  if (!in.at_end()) return std::nullopt;
  foreign = foreign || owner != name_;
  return out;
}

// Each durable write updates both copies of the vote record, one after the other. A copy that cannot be read
// was being written or has been damaged since; either way the other copy is complete.
void Storage::load() {
  const auto names = files_.list();
  const bool any = std::any_of(names.begin(), names.end(),
                               [](const auto& n) { return is_storage_file(n) && n != kPeersFile; });
  if (!any) return;
  bool foreign = false;
  const auto a = read_vote_copy(kVoteA, foreign);
  const auto b = read_vote_copy(kVoteB, foreign);
  if (foreign) {
    folder_state_ = FolderState::kForeign;
    diagnostic_ = "the folder is another relay's; expected that of '" + name_ + "'";
    return;
  }
  if (!a && !b) {
    // An interrupted initialize() leaves no promises, but it cannot be told apart from the loss of both
    // copies.
    folder_state_ = FolderState::kDamaged;
    diagnostic_ = "neither copy of the vote record (vote-a, vote-b) can be read";
    return;
  }
  vote_ = !b || (a && a->durable_writes >= b->durable_writes) ? *a : *b;
  loaded_durable_writes_ = vote_.durable_writes;
  if (!load_snapshot() || !load_log()) {
    folder_state_ = FolderState::kDamaged;
    snapshot_.reset();
    entries_.clear();
    return;
  }
  folder_state_ = FolderState::kIntact;
  if (!a || !b || a->durable_writes != b->durable_writes)
    write_vote_record();  // makes both copies equal again
}

bool Storage::load_snapshot() {
  if (vote_.snapshot_index == 0) return true;
  const auto bytes = read_file(snapshot_name(vote_.snapshot_index), kMaxSnapshotBytes + 64);
  size_t at = 0;
  const auto payload = bytes ? read_storage_frame(*bytes, at, kMaxSnapshotBytes) : std::nullopt;
  snapshot_ = payload ? decode_snapshot(*payload) : std::nullopt;
  if (snapshot_ && snapshot_->index == vote_.snapshot_index) return true;
  diagnostic_ = "the snapshot of command " + std::to_string(vote_.snapshot_index) + " is missing or damaged";
  return false;
}

bool Storage::load_log() {
  const std::string name = log_name(vote_.log_number);
  const auto bytes = read_file(name, kMaxLogBytes);
  if (!bytes || bytes->size() < vote_.durable_log_bytes) {
    diagnostic_ = "the log " + name + " ends after " + std::to_string(bytes ? bytes->size() : 0) + " of " +
                  std::to_string(vote_.durable_log_bytes) + " durable bytes";
    return false;
  }
  const std::string_view durable(bytes->data(), vote_.durable_log_bytes);
  size_t at = 0;
  while (at < durable.size()) {
    const size_t from = at;
    const auto payload = read_storage_frame(durable, at, kMaxEntryBytes + 64);
    const auto entry = payload ? decode_entry(*payload) : std::nullopt;
    if (!entry || (!entries_.empty() && entry->index != entries_.back().index + 1)) {
      diagnostic_ = "the log " + name + " is damaged at byte " + std::to_string(from) + " of " +
                    std::to_string(vote_.durable_log_bytes) + " durable bytes";
      return false;
    }
    entries_.push_back(*entry);
  }
  // Bytes after that were never acknowledged: rewrite the log without them.
  if (bytes->size() > durable.size()) return start_log(vote_.log_number + 1) && write_vote_record();
  return true;
}

bool Storage::initialize(uint64_t generation, uint64_t identity) {
  std::vector<std::string> old, set_aside;
  for (const std::string& file : files_.list()) {
    if (is_storage_file(file) && file != kPeersFile) old.push_back(file);
    if (file.starts_with(kAsidePrefix)) set_aside.push_back(file);
  }
  // The vote records go first: a crash in between leaves a folder without them rather than with half a log.
  std::sort(old.begin(), old.end(), [](const auto& a, const auto& b) { return b < a; });
  if (!old.empty()) {
    for (const std::string& file : set_aside) files_.remove(file);
  }
  for (const std::string& file : old) {
    if (!files_.rename(file, kAsidePrefix + file)) return fail("a folder put aside");
  }
  if (log_file_ >= 0) files_.close(log_file_);
  log_file_ = -1;
  failed_ = false;
  diagnostic_.clear();
  entries_.clear();
  snapshot_.reset();
  vote_ = {};
  loaded_durable_writes_ = 0;
  vote_.generation = generation;
  vote_.identity = identity;
  if (!files_.sync_folder() || !start_log(1) || !write_vote_record()) return fail("a new beginning");
  folder_state_ = FolderState::kIntact;
  return true;
}

bool Storage::write_file(const std::string& name, const std::string& bytes) {
  const int file = files_.create(name);
  if (file < 0) return false;
  const bool good = write(file, bytes) && files_.sync(file);
  files_.close(file);
  return good;
}

bool Storage::write_vote_copy(const std::string& name) {
  ByteWriter out;
  out.write_number(kVersion);
  for (const uint64_t field :
       {vote_.durable_writes, vote_.generation, vote_.identity, vote_.term, vote_.voted_for, vote_.log_number,
        vote_.durable_log_bytes, vote_.snapshot_index}) {
    out.write_number(field);
  }
  out.write_string(name_);
  // Overwritten in place, without a rename: a write that fails damages only this copy.
  return write_file(name, encode_storage_frame(out.take())) && files_.sync_folder();
}

bool Storage::write_vote_record() {
  ++vote_.durable_writes;
  return write_vote_copy(kVoteA) && write_vote_copy(kVoteB) ? true : fail("a vote");
}

bool Storage::set_term(uint64_t term) {
  if (failed_) return false;
  vote_.term = term;
  vote_.voted_for = 0;
  return write_vote_record();
}

bool Storage::set_vote(uint64_t candidate) {
  if (failed_) return false;
  vote_.voted_for = candidate;
  return write_vote_record();
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
  vote_.log_number = number;
  vote_.durable_log_bytes = all.size();
  return true;
}

bool Storage::append(const std::vector<StoredEntry>& entries) {
  if (failed_) return false;
  if (entries.empty()) return true;
  // An existing log file is only read; appending continues in a new file under the next number.
  if (log_file_ < 0 && !start_log(vote_.log_number + 1)) return false;
  std::string bytes;
  for (const StoredEntry& entry : entries) {
    if (entry.data.size() > kMaxEntryBytes) return fail("a command that is too large");
    bytes += encode_storage_frame(encode_entry(entry));
    entries_.push_back(entry);
  }
  if (!write(log_file_, bytes) || !files_.sync(log_file_)) return fail("commands");
  vote_.durable_log_bytes += bytes.size();
  const uint64_t old = vote_.log_number;
  if (!write_vote_record()) return false;
  for (const std::string& file : files_.list()) {
    if (file.starts_with("log-") && file != log_name(old)) files_.remove(file);
  }
  return true;
}

bool Storage::truncate(uint64_t from) {
  if (failed_) return false;
  if (entries_.empty() || entries_.back().index < from) return true;
  while (!entries_.empty() && entries_.back().index >= from) entries_.pop_back();
  const uint64_t old = vote_.log_number;
  if (!start_log(vote_.log_number + 1) || !write_vote_record()) return false;
  files_.remove(log_name(old));
  return true;
}

bool Storage::put_snapshot(StoredSnapshot snapshot, uint64_t trailing) {
  if (failed_) return false;
  if (snapshot.data.size() > kMaxSnapshotBytes) return fail("a snapshot that is too large");
  const uint64_t index = snapshot.index;
  if (!write_file(snapshot_name(index), encode_storage_frame(encode_snapshot(snapshot))) ||
      !files_.sync_folder()) {
    return fail("a snapshot");
  }
  snapshot_ = std::move(snapshot);
  if (trailing == 0) {
    entries_.clear();
  } else {
    while (!entries_.empty() && entries_.front().index + trailing <= index) entries_.pop_front();
  }
  const uint64_t old_log = vote_.log_number;
  const uint64_t old_snapshot = vote_.snapshot_index;
  if (!start_log(vote_.log_number + 1)) return false;
  vote_.snapshot_index = index;
  if (!write_vote_record()) return false;
  files_.remove(log_name(old_log));
  if (old_snapshot != 0 && old_snapshot != index) files_.remove(snapshot_name(old_snapshot));
  return true;
}

// Records that cannot be read are dropped; the peers report them again.
void Storage::load_peers() {
  const auto bytes = read_file(kPeersFile, 4 * kMaxPeersFileBytes);
  if (!bytes) return;
  size_t at = 0;
  while (const auto payload = read_storage_frame(*bytes, at, 64)) {
    ByteReader in(*payload);
    const auto identity = in.read_number<uint64_t>();
    const auto durable_writes = in.read_number<uint64_t>();
    if (!in.at_end()) break;
    uint64_t& recorded = peers_[identity];
    recorded = std::max(recorded, durable_writes);
  }
}

bool Storage::record_peer(uint64_t identity, uint64_t durable_writes) {
  uint64_t& recorded = peers_[identity];
  if (durable_writes <= recorded) return true;
  recorded = durable_writes;
  if (peers_file_ < 0 || peers_bytes_ > kMaxPeersFileBytes) {
    if (peers_file_ >= 0) files_.close(peers_file_);
    const std::string fresh = "peers-new";
    peers_file_ = files_.create(fresh);
    std::string all;
    for (const auto& [who, what] : peers_)
      all += encode_storage_frame(ByteWriter().write_number(who).write_number(what).take());
    peers_bytes_ = all.size();
    if (peers_file_ < 0 || !write(peers_file_, all) || !files_.sync(peers_file_) ||
        !files_.rename(fresh, kPeersFile) || !files_.sync_folder()) {
      return fail("what others promised");
    }
    return true;
  }
  const std::string frame =
      encode_storage_frame(ByteWriter().write_number(identity).write_number(durable_writes).take());
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

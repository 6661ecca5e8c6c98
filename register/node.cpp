#include "register/node.h"

#include <algorithm>
#include <limits>

namespace umberhoist::reg {
namespace {

constexpr int64_t kMs = 1000;
constexpr size_t kMostRecent = 1024;       // commands kept for copies
constexpr size_t kMostDelta = 256 * 1024;  // bytes of them in one answer
constexpr size_t kMostBeatsOut = 512;
constexpr size_t kMostSights = 256;
constexpr int64_t kSightAge = 30'000 * kMs;  // what nobody said again for so long is no news
constexpr int64_t kKeepCopy = 1000 * kMs;
constexpr int64_t kBrokenPause = 5000 * kMs;

template <class Deque>
const typename Deque::value_type::second_type* find_index(const Deque& all, uint64_t index) {
  if (all.empty() || index < all.front().first || index > all.back().first) return nullptr;
  return &all[static_cast<size_t>(index - all.front().first)].second;
}

}  // namespace

Node::Node(NodeOptions options, state::Files& files, uint64_t seed, Now now, SendCallback send,
           LogCallback say)
    : options_(std::move(options)),
      files_(files),
      random_(seed),
      send_(std::move(send)),
      say_(std::move(say)),
      now_(now),
      machine_(options_.rules),
      opened_at_(now.steady_us) {
  self_votes_ = voter(options_.name) != nullptr;
  boot_ = random_() | 1;
  next_beat_ = now.steady_us +
               static_cast<int64_t>(random_() % static_cast<uint64_t>(options_.relay_heartbeat_ms * kMs));
  open();
}

// The library answers what is still out as it is closed: all that the answers touch has to be there.
Node::~Node() { raft_.reset(); }

// Reads the folder. What it says is not yet trusted as the newest.
void Node::open() {
  raft_.reset();
  leading_ = false;
  storage_ = std::make_unique<Storage>(files_, options_.name);
  if (!storage_->diagnostic().empty()) say_("register: " + storage_->diagnostic());
  opened_at_ = now_.steady_us;
  for (auto& [name, heard] : heard_) heard.remembers = false;
  const bool whole = storage_->folder_state() == Storage::FolderState::kIntact;
  if (whole && storage_->snapshot()) {
    pb::State state;
    if (state.ParseFromString(storage_->snapshot()->data)) machine_.restore(std::move(state));
  }
  if (!self_votes()) {
    phase_ = Phase::kCopy;
  } else {
    phase_ = whole && storage_->identity() != 0 ? Phase::kConfirming : Phase::kAsking;
  }
}

uint64_t Node::generation() const {
  if (phase_ == Phase::kAsking) return 0;
  return phase_ == Phase::kCopy ? (machine_.state().index() == 0 ? 0 : machine_.state().generation())
                                : storage_->generation();
}

const Voter* Node::voter(const std::string& name) const {
  for (const Voter& peer : options_.voters) {
    if (peer.name == name) return &peer;
  }
  return nullptr;
}

std::string Node::voter_of(uint64_t identity) const {
  for (const Voter& peer : options_.voters) {
    if (identity != 0 && peer.slot == Storage::slot_of(identity)) return peer.name;
  }
  return "";
}

// The disk did not do what it was told. What it holds is known only once it is read again; until then this
// voter neither votes nor leads.
void Node::break_off() {
  if (!storage_->diagnostic().empty()) say_("register: " + storage_->diagnostic());
  raft_.reset();
  leading_ = false;
  phase_ = Phase::kBroken;
  broken_at_ = now_.steady_us;
}

void Node::fill(pb::Frame& frame, const std::string& to) const {
  frame.set_from(options_.name);
  frame.set_generation(generation());
  if (phase_ == Phase::kConfirming || phase_ == Phase::kVoting) {
    frame.set_identity(storage_->identity());
    // Until the folder is confirmed, what was found in it: to mend a torn copy is no promise to anybody.
    frame.set_promises(phase_ == Phase::kVoting ? storage_->durable_writes()
                                                : storage_->loaded_durable_writes());
  }
  if (const Voter* peer = voter(to); peer != nullptr && self_votes() && !storage_->failed()) {
    const uint64_t newest = storage_->newest_identity(peer->slot);
    frame.set_remembers_as(newest);
    frame.set_remembers(storage_->peer_durable_writes(newest));
    frame.set_remembered(true);
  }
}

void Node::send(const std::string& to, pb::Frame frame) {
  fill(frame, to);
  send_(to, frame);
}

// ---- Who this voter is ----

void Node::remembered_by(const pb::Frame& frame, Heard& heard) {
  heard.identity = frame.identity();
  heard.generation = frame.generation();
  if (frame.remembered()) {
    heard.remembers = true;
    heard.remembers_as = frame.remembers_as();
    heard.remembered = frame.remembers();
  }
}

// This relay's generation is over: nothing that it holds counts any more.
void Node::fence(uint64_t generation) {
  say_("register: generation " + std::to_string(generation) + " has begun; what was held of " +
       std::to_string(this->generation()) + " is put aside");
  lease_until_ = 0;
  leading_ = false;
  raft_.reset();
  machine_ = StateMachine(options_.rules);
  recent_.clear();
  digests_.clear();
  if (!self_votes()) return;
  phase_ = Phase::kAsking;
  opened_at_ = now_.steady_us;
  for (auto& [name, heard] : heard_) heard.remembers = false;
}

// A voter that cannot know what it once promised comes back under an identity that never promised anything.
void Node::begin_anew(uint64_t generation) {
  uint64_t newest = std::max(storage_->newest_identity(options_.slot), storage_->identity());
  bool all = true;
  for (const Voter& peer : options_.voters) {
    if (peer.name == options_.name) continue;
    const Heard& heard = heard_[peer.name];
    all = all && heard.remembers;
    newest = std::max(newest, heard.remembers_as);
  }
  const uint32_t incarnation = Storage::incarnation_of(newest) + (all ? 1 : kUnconfirmedIncarnationStep);
  if (!storage_->initialize(generation, Storage::make_identity(options_.slot, incarnation))) {
    return break_off();
  }
  machine_ = StateMachine(options_.rules);
  say_("register: comes back as a newcomer, incarnation " + std::to_string(incarnation));
  start_raft(false);
}

void Node::try_begin() {
  bool all = true, none_remembers = true;
  size_t answered = 1;
  uint64_t generation = seen_generation_;
  bool any_identity = false;
  for (const Voter& peer : options_.voters) {
    if (peer.name == options_.name) continue;
    const Heard& heard = heard_[peer.name];
    all = all && heard.remembers;
    if (!heard.remembers) continue;
    ++answered;
    generation = std::max(generation, heard.generation);
    any_identity = any_identity || heard.identity != 0;
    none_remembers = none_remembers && heard.remembers_as == 0;
  }
  if (all && none_remembers && generation <= 1 && storage_->identity() == 0 &&
      (any_identity ||
       (generation == 0 && now_.steady_us - opened_at_ >= options_.bootstrap_delay_ms * kMs))) {
    // Not at once: a copy that knows of a fleet has time to say so. All voters say that this one never
    // promised anything: it belongs to those that a new fleet begins with.
    if (!storage_->initialize(1, Storage::make_identity(options_.slot, 1))) {
      return break_off();
    }
    return start_raft(true);
  }
  // Something is known of a fleet: a newcomer of it, once all have said what they remember, or most and time
  // has passed.
  const bool most = 2 * answered > options_.voters.size();
  const bool patient = now_.steady_us - opened_at_ >= options_.confirm_timeout_ms * kMs;
  if (generation > 0 && any_identity && (all || (most && patient))) begin_anew(generation);
}

// A folder may be whole and yet of last week. Whoever had a promise from this relay kept it in mind.
void Node::try_confirm() {
  bool all = true;
  size_t confirmed = 1;
  for (const Voter& peer : options_.voters) {
    if (peer.name == options_.name) continue;
    const Heard& heard = heard_[peer.name];
    if (!heard.remembers) {
      all = false;
      continue;
    }
    const bool newer = heard.remembers_as > storage_->identity();
    const bool more =
        heard.remembers_as == storage_->identity() && heard.remembered > storage_->loaded_durable_writes();
    if (newer || more) {
      say_("register: the folder is older than what it promised to " + peer.name + " (" +
           std::to_string(storage_->loaded_durable_writes()) + " of " + std::to_string(heard.remembered) +
           " promises)");
      return begin_anew(std::max(storage_->generation(), seen_generation_));
    }
    ++confirmed;
  }
  const bool most = 2 * confirmed > options_.voters.size();
  const bool patient = now_.steady_us - opened_at_ >= options_.confirm_timeout_ms * kMs;
  if (all || (most && patient)) start_raft(false);
}

void Node::start_raft(bool bootstrap) {
  RaftOptions raft = options_.raft;
  raft.seed = random_();
  RaftServer::Hooks hooks;
  hooks.send = [this](pb::RaftMessage message) {
    pb::Frame frame;
    const std::string to = voter_of(message.to());
    *frame.mutable_raft() = std::move(message);
    if (!to.empty()) send(to, std::move(frame));
  };
  hooks.apply = [this](const std::string& bytes) { apply(bytes); };
  hooks.snapshot = [this] { return machine_.serialize(); };
  hooks.restore = [this](const std::string& bytes) {
    pb::State state;
    if (!state.ParseFromString(bytes)) return;
    machine_.restore(std::move(state));
    recent_.clear();
    digests_.clear();
    note_digest();
  };
  machine_ = StateMachine(options_.rules);
  raft_ = std::make_unique<RaftServer>(*storage_, raft, std::move(hooks), now_.steady_us / kMs);
  std::vector<uint64_t> first;
  for (const Voter& peer : options_.voters) first.push_back(Storage::make_identity(peer.slot, 1));
  std::sort(first.begin(), first.end());
  if ((bootstrap && !raft_->bootstrap(first)) || !raft_->start()) {
    say_("register: the log cannot be started");
    return break_off();
  }
  phase_ = Phase::kVoting;
}

// All that the folder holds, whether or not it was agreed on: what an operator may begin a generation with.
pb::State Node::folder_state() const {
  StateMachine machine(options_.rules);
  if (storage_->snapshot()) {
    pb::State state;
    if (state.ParseFromString(storage_->snapshot()->data)) machine.restore(std::move(state));
  }
  for (const StoredEntry& entry : storage_->entries()) {
    if (entry.type != kCommandEntryType ||
        (storage_->snapshot() && entry.index <= storage_->snapshot()->index))
      continue;
    pb::Command command;
    if (!command.ParseFromString(entry.data)) command.Clear();
    machine.apply(machine.state().index() + 1, command);
  }
  return machine.state();
}

// ---- Frames ----

void Node::receive(const pb::Frame& frame, Now now) {
  now_ = now;
  if (frame.from() == options_.name || frame.from().empty()) return;
  // Names come from whoever connects: no more of them are kept than the fleet may have members.
  if (!heard_.contains(frame.from()) && voter(frame.from()) == nullptr &&
      heard_.size() >= options_.rules.max_members + options_.voters.size()) {
    return;
  }
  Heard& heard = heard_[frame.from()];
  if (frame.generation() > generation()) {
    seen_generation_ = std::max(seen_generation_, frame.generation());
    if (generation() != 0) fence(frame.generation());
  }
  heard.at = now.steady_us;
  remembered_by(frame, heard);
  // Kept before anything that rests on it: then the sender can be told, should it forget.
  if (self_votes() && frame.identity() != 0 && phase_ != Phase::kBroken && voter(frame.from()) != nullptr &&
      !storage_->record_peer(frame.identity(), frame.promises())) {
    return break_off();
  }
  // Of an earlier generation, or of none yet: told which one it is, and no more.
  const bool same = frame.generation() == generation();
  switch (frame.what_case()) {
    case pb::Frame::kRaft:
      if (same && phase_ == Phase::kVoting && frame.identity() == frame.raft().from()) {
        raft_->receive(frame.raft(), now.steady_us / kMs);
      }
      break;
    case pb::Frame::kBeat:
      take(frame.beat(), frame);
      break;
    case pb::Frame::kBeatAnswer:
      take(frame.beat_answer(), frame);
      break;
    case pb::Frame::kPropose:
      if (same) take(frame.propose(), frame);
      break;
    case pb::Frame::kProposeAnswer: {
      const auto it = pending_.find(frame.propose_answer().number());
      if (it == pending_.end() || it->second.out) break;
      if (frame.propose_answer().try_elsewhere()) break;  // tried again, until its time is over
      if (frame.propose_answer().done() && machine_.state().index() < frame.propose_answer().index()) {
        it->second.index = frame.propose_answer().index();
        break;
      }
      const ReplyCallback done = std::move(it->second.done);
      pending_.erase(it);
      done(frame.propose_answer().done(), frame.propose_answer().reason());
      break;
    }
    default:
      break;
  }
  if (raft_ && storage_->failed()) {
    break_off();
  }
}

void Node::beat() {
  const uint64_t number = ++beat_number_;
  sent_[number] = now_.steady_us;
  while (sent_.size() > kMostBeatsOut) sent_.erase(sent_.begin());
  pb::Frame frame;
  pb::Beat* beat = frame.mutable_beat();
  beat->set_number(number);
  beat->set_wall(now_.wall_us);
  beat->set_index(machine_.state().index());
  const uint64_t* digest = find_index(digests_, machine_.state().index());
  beat->set_digest(digest != nullptr ? *digest : machine_.digest());  // taken once for each command
  beat->set_map_index(machine_.state().map_index());
  pb::Member* self = beat->mutable_self();
  self->set_name(options_.name);
  self->set_slot(options_.slot);
  self->set_boot(boot_);
  self->set_weight(options_.weight);
  self->set_zone(options_.zone);
  self->set_leaving(leaving_);
  beat->set_version(version_);
  beat->set_diverged(diverged_);
  for (const HealthReport& sight : own_sights_) {
    pb::Seen* seen = beat->add_seen();
    seen->set_destination(sight.destination);
    if (sight.outage_start != 0) seen->set_out_for(std::max<int64_t>(1, now_.steady_us - sight.outage_start));
    if (sight.recovery_start != 0)
      seen->set_back_for(std::max<int64_t>(1, now_.steady_us - sight.recovery_start));
    seen->set_base(sight.baseline_rate);
    seen->set_served(sight.recently_served);
    seen->set_scouting(sight.can_send_trial);
  }
  if (self_votes()) {
    Beaten& own = beats_[options_.name];
    own = {now_.steady_us, *self, beat->map_index(), version_, diverged_};
    for (const pb::Seen& seen : beat->seen()) {
      hear(seen, options_.name,
           ownership(shards::key_of(seen.destination()), now_.steady_us) == Ownership::kOwner);
    }
  }
  for (const Voter& peer : options_.voters) {
    if (peer.name != options_.name) send(peer.name, frame);
  }
}

void Node::take(const pb::Beat& beat, const pb::Frame& frame) {
  if (!self_votes()) return;
  pb::Frame out;
  pb::BeatAnswer* answer = out.mutable_beat_answer();
  answer->set_number(beat.number());
  answer->set_wall(now_.wall_us);
  const bool same = frame.generation() == generation() || frame.generation() == 0;
  if (phase_ == Phase::kVoting && same) {
    Beaten& beaten = beats_[frame.from()];
    beaten.at = now_.steady_us;
    beaten.member = beat.self();
    beaten.map_index = std::max(beaten.map_index, beat.map_index());
    beaten.version = beat.version();
    beaten.diverged = beat.diverged();
    const shards::Map map = beat.seen_size() > 0 ? machine_.map() : shards::Map();
    for (const pb::Seen& seen : beat.seen()) {
      const shards::Range* range = shards::find_range(map, shards::key_of(seen.destination()));
      hear(seen, frame.from(), range != nullptr && range->owner == frame.from());
    }
    answer->set_term(raft_->term());
    const int64_t known = leading_ ? quorum_heard() : lead_heard_;
    if (known >= 0) {
      answer->set_lead(leading_ ? options_.name : lead_);
      answer->set_lead_age(now_.steady_us - known);
    }
    const pb::State& state = machine_.state();
    answer->set_index(state.index());
    const uint64_t* digest = find_index(digests_, beat.index());
    answer->set_digest_index(digest != nullptr ? beat.index() : 0);
    answer->set_digest(digest != nullptr ? *digest : 0);
    const bool copies = voter(frame.from()) == nullptr;
    if (copies && beat.index() < state.index()) {
      if (frame.generation() != 0 && find_index(recent_, beat.index() + 1) != nullptr) {
        size_t bytes = 0;
        for (uint64_t i = beat.index() + 1; i <= state.index() && bytes < kMostDelta; ++i) {
          pb::LogEntry* entry = answer->add_command();
          entry->set_index(i);
          entry->set_data(*find_index(recent_, i));
          bytes += entry->data().size();
        }
      } else {
        answer->set_state(machine_.serialize());
      }
    }
    // A lease only for whoever keeps to the newest word on the map, and only by whoever surely leads.
    if (may_grant() && beat.map_index() == state.map_index() && !beat.diverged() && !beat.self().leaving()) {
      answer->set_lease(true);
      answer->set_lease_map_index(state.map_index());
      grants_[frame.from()] = {now_.steady_us, state.map_index()};
    }
    std::erase_if(told_, [&](const auto& told) { return now_.steady_us - told.second.at > kSightAge; });
    for (const auto& [destination, told] : told_) {
      pb::Seen* seen = answer->add_seen();
      *seen = told.seen;
      const int64_t age = now_.steady_us - told.at;
      if (age > options_.member_timeout_ms * kMs) {  // no longer a moment ago
        seen->set_served(false);
        seen->set_scouting(false);
      }
      if (seen->out_for() != 0) seen->set_out_for(seen->out_for() + age);
      if (seen->back_for() != 0) seen->set_back_for(seen->back_for() + age);
    }
  }
  send(frame.from(), std::move(out));
}

void Node::take(const pb::BeatAnswer& answer, const pb::Frame& frame) {
  const auto sent = sent_.find(answer.number());
  if (sent == sent_.end() || voter(frame.from()) == nullptr) return;
  // Against the own steady clock: the own wall clock may jump at any moment, and is one among the others.
  const int64_t apart = answer.wall() - now_.steady_us;
  clocks_[frame.from()] = {apart, apart + (now_.steady_us - sent->second), now_.steady_us};
  // A copy without anything takes the state of whoever has one; all else must be of one generation.
  const bool fresh_copy =
      phase_ == Phase::kCopy && generation() == 0 && frame.generation() >= seen_generation_;
  if (frame.generation() != generation() && !fresh_copy) return;
  if (phase_ == Phase::kCopy) {
    if (!answer.state().empty()) {
      pb::State state;
      if (state.ParseFromString(answer.state()) && state.index() > machine_.state().index()) {
        machine_.restore(std::move(state));
        digests_.clear();
        note_digest();
      }
    }
    for (const pb::LogEntry& entry : answer.command()) {
      if (entry.index() == machine_.state().index() + 1) apply(entry.data());
    }
    keep_copy();
  }
  if (phase_ == Phase::kAsking || phase_ == Phase::kConfirming) return;
  if (answer.digest_index() != 0) compare(frame.from(), answer.digest_index(), answer.digest());
  if (phase_ == Phase::kVoting && answer.term() == raft_->term()) {
    int64_t& echo = echoes_[frame.from()];
    echo = std::max(echo, sent->second);
  }
  // What a voter tells that lags behind its leader is no news of what was agreed on, and what was told to a
  // relay that lags itself is not yet known to it.
  if (!answer.lead().empty() && machine_.state().index() >= answer.index()) {
    lead_heard_ = std::max(lead_heard_, sent->second - answer.lead_age());
    lead_ = answer.lead();
  }
  // From when it was asked for: however long the answer was on its way, it lasts no longer than the leader
  // thinks.
  if (answer.lease() && answer.lease_map_index() <= machine_.state().map_index() && !diverged_) {
    lease_until_ = std::max(lease_until_, sent->second + options_.lease_ms * kMs);
  }
  if (!self_votes()) {
    for (const pb::Seen& seen : answer.seen()) hear(seen, seen.by(), seen.by_owner());
  }
}

void Node::take(const pb::Propose& propose, const pb::Frame& frame) {
  const std::string to = frame.from();
  const uint64_t number = propose.number();
  log_command(propose.command(), [this, to, number](bool done, const std::string& reason) {
    pb::Frame out;
    pb::ProposeAnswer* answer = out.mutable_propose_answer();
    answer->set_number(number);
    answer->set_done(done);
    answer->set_reason(reason);
    answer->set_index(machine_.state().index());
    answer->set_try_elsewhere(!done && reason.empty());
    send(to, std::move(out));
  });
}

// ---- The state ----

void Node::apply(const std::string& bytes) {
  pb::Command command;
  const uint64_t index = machine_.state().index() + 1;
  if (!command.ParseFromString(bytes)) command.Clear();  // refused alike at each relay
  last_result_ = machine_.apply(index, command);
  recent_.emplace_back(index, bytes);
  while (recent_.size() > kMostRecent) recent_.pop_front();
  note_digest();
}

void Node::note_digest() {
  digests_.emplace_back(machine_.state().index(), machine_.digest());
  while (digests_.size() > kMostRecent) digests_.pop_front();
}

// Whoever differs from most voters at the same command is the one that is wrong.
void Node::compare(const std::string& from, uint64_t index, uint64_t digest) {
  const uint64_t* own = find_index(digests_, index);
  if (own == nullptr) return;
  differs_[from] = {index, *own != digest};
  size_t differ = 0;
  for (const auto& [name, what] : differs_) differ += what.second;
  if (diverged_ || 2 * differ <= options_.voters.size()) return;
  diverged_ = true;
  lease_until_ = 0;
  leading_ = false;
  say_("register: the state after command " + std::to_string(index) + " differs from that of " +
       std::to_string(differ) + " voters; this relay stops using the register");
}

void Node::keep_copy() {
  const pb::State& state = machine_.state();
  if (state.index() == copy_kept_index_ && state.generation() == copy_kept_generation_) return;
  if (state.generation() == copy_kept_generation_ && now_.steady_us - copy_kept_at_ < kKeepCopy) return;
  copy_kept_at_ = now_.steady_us;
  if (storage_->failed()) storage_ = std::make_unique<Storage>(files_, options_.name);
  if (storage_->folder_state() != Storage::FolderState::kIntact ||
      storage_->generation() != state.generation()) {
    if (!storage_->initialize(state.generation(), 0)) return;
  }
  StoredSnapshot snapshot;
  snapshot.index = state.index();
  snapshot.data = machine_.serialize();
  if (!storage_->put_snapshot(std::move(snapshot), 0)) return;
  copy_kept_index_ = state.index();
  copy_kept_generation_ = state.generation();
}

freeze::TimeBounds Node::bounds() const {
  int64_t low = now_.wall_us, high = now_.wall_us;
  size_t known = self_votes() ? 1 : 0;
  for (const auto& [name, clock] : clocks_) {
    if (now_.steady_us - clock.at > 10 * options_.relay_heartbeat_ms * kMs) continue;
    ++known;
    low = std::min(low, now_.steady_us + clock.low);
    high = std::max(high, now_.steady_us + clock.high);
  }
  // Without a majority's clocks the time is not known: every window may be in force.
  if (2 * known <= options_.voters.size()) return {0, std::numeric_limits<int64_t>::max() / 2};
  return {low - options_.clock_slack_us, high + options_.clock_slack_us};
}

// Each relay takes a roll-out back at its time by itself, with or without a quorum: the register's word on it
// may come too late.
const pb::Version& Node::version() const {
  const pb::State& state = machine_.state();
  const bool rolls = state.rolling().number() != 0 && bounds().latest < state.rolling_by();
  return rolls ? state.rolling() : state.version();
}

std::vector<HealthReport> Node::health_reports(int64_t steady_us) const {
  std::vector<HealthReport> out;
  for (const auto& [destination, told] : told_) {
    if (steady_us - told.at > kSightAge || told.seen.by() == options_.name) continue;
    HealthReport sight;
    sight.destination = destination;
    sight.outage_start = told.seen.out_for() == 0 ? 0 : told.at - told.seen.out_for();
    sight.recovery_start = told.seen.back_for() == 0 ? 0 : told.at - told.seen.back_for();
    sight.baseline_rate = told.seen.base();
    const bool lately = steady_us - told.at <= options_.member_timeout_ms * kMs;
    sight.recently_served = told.seen.served() && lately;
    sight.can_send_trial = told.seen.scouting() && lately;
    sight.from_owner = told.seen.by_owner();
    out.push_back(sight);
  }
  return out;
}

// For each destination one word: its owner's, or another's while its owner says nothing.
void Node::hear(const pb::Seen& seen, const std::string& by, bool by_owner) {
  const auto known = told_.find(seen.destination());
  if (known == told_.end() && told_.size() >= kMostSights) return;
  if (!by_owner && known != told_.end() && known->second.seen.by_owner() &&
      now_.steady_us - known->second.at < options_.member_timeout_ms * kMs) {
    return;
  }
  Told& told = told_[seen.destination()];
  told = {seen, now_.steady_us};
  told.seen.set_by_owner(by_owner);
  told.seen.set_by(by);
}

OwnershipView Node::view() const {
  const pb::State& state = machine_.state();
  const std::pair of{state.generation(), state.map_index()};
  if (map_ == nullptr || map_of_ != of) {
    map_ = std::make_shared<pb::Map>(state.map());
    proposed_ = state.proposed().epoch() == 0 ? map_ : std::make_shared<pb::Map>(state.proposed());
    map_of_ = of;
  }
  OwnershipView out;
  out.self = options_.name;
  out.map = map_;
  out.proposed = proposed_;
  out.lease_until = lease_until_;
  out.diverged = diverged_;
  out.generation = generation();
  const int64_t heard = leading_ ? quorum_heard() : lead_heard_;
  if (state.index() != 0 && heard >= 0) out.confirmed_until = heard + options_.lease_ms * kMs;
  return out;
}

Ownership OwnershipView::ownership(shards::Key key, int64_t steady_us) const {
  if (diverged || map == nullptr || map->epoch() == 0) return Ownership::kUncoordinated;
  const auto owner = [&](const pb::Map& of) -> const std::string* {
    const auto after =
        std::upper_bound(of.range().begin(), of.range().end(), key,
                         [](shards::Key k, const pb::Range& range) { return k < range.first(); });
    return after == of.range().begin() ? nullptr : &std::prev(after)->owner();
  };
  const std::string* own = owner(*map);
  const std::string* next = owner(*proposed);
  if (own != nullptr && next != nullptr && *own == self && *next == self && steady_us < lease_until) {
    return Ownership::kOwner;
  }
  return confirmed(steady_us) ? Ownership::kOther : Ownership::kUncoordinated;
}

void Node::tick(Now now) {
  now_ = now;
  if (phase_ == Phase::kBroken && now.steady_us - broken_at_ >= kBrokenPause) open();
  if (phase_ == Phase::kAsking) try_begin();
  if (phase_ == Phase::kConfirming) try_confirm();
  if (phase_ == Phase::kVoting) raft_->tick(now.steady_us / kMs);
  if (raft_ && storage_->failed()) {
    break_off();
  }
  if (now.steady_us >= next_beat_) {
    next_beat_ = std::max(next_beat_ + options_.relay_heartbeat_ms * kMs, now.steady_us);
    beat();
    if (phase_ == Phase::kVoting) duties();
  }
  expire();
}

}  // namespace umberhoist::reg

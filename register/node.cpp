#include "register/node.h"

#include <algorithm>
#include <limits>

namespace umberhoist::reg {
namespace {

constexpr int64_t kUsPerMs = 1000;
constexpr size_t kMaxRecentCommands = 1024;    // kept for learners that lag behind
constexpr size_t kMaxDeltaBytes = 256 * 1024;  // of commands in one heartbeat answer
constexpr size_t kMaxUnansweredHeartbeats = 512;
constexpr size_t kMaxReports = 256;
constexpr int64_t kReportLifetimeUs = 30'000 * kUsPerMs;  // a report not repeated within this time is dropped
constexpr int64_t kLearnerSaveIntervalUs = 1000 * kUsPerMs;
constexpr int64_t kDiskRetryIntervalUs = 5000 * kUsPerMs;

template <class Deque>
const typename Deque::value_type::second_type* find_index(const Deque& all, uint64_t index) {
  if (all.empty() || index < all.front().first || index > all.back().first) return nullptr;
  return &all[static_cast<size_t>(index - all.front().first)].second;
}

}  // namespace

Node::Node(NodeOptions options, state::Files& files, uint64_t seed, Now now, SendCallback send,
           LogCallback log)
    : options_(std::move(options)),
      files_(files),
      random_(seed),
      send_(std::move(send)),
      log_(std::move(log)),
      now_(now),
      machine_(options_.rules),
      opened_at_(now.steady_us) {
  is_voter_ = find_voter(options_.name) != nullptr;
  boot_id_ = random_() | 1;
  // Numbers of requests differ from those of earlier processes of this relay, as late answers to them may
  // come.
  heartbeat_number_ = last_command_number_ = boot_id_ >> 1;
  next_heartbeat_at_ =
      now.steady_us +
      static_cast<int64_t>(random_() % static_cast<uint64_t>(options_.relay_heartbeat_ms * kUsPerMs));
  open_folder();
}

// Closing the Raft library completes the outstanding requests, whose callbacks use the other members. So it
// goes first.
Node::~Node() { raft_.reset(); }

// Reads the folder. Its content may be out of date until the other voters have confirmed it.
void Node::open_folder() {
  raft_.reset();
  leading_ = false;
  storage_ = std::make_unique<Storage>(files_, options_.name);
  if (!storage_->diagnostic().empty()) log_("register: " + storage_->diagnostic());
  opened_at_ = now_.steady_us;
  for (auto& [name, peer_info] : peers_) peer_info.has_reported = false;
  const bool intact = storage_->folder_state() == Storage::FolderState::kIntact;
  if (intact && storage_->snapshot()) {
    pb::State state;
    if (state.ParseFromString(storage_->snapshot()->data)) machine_.restore(std::move(state));
  }
  if (!is_voter()) {
    phase_ = Phase::kLearner;
  } else {
    phase_ = intact && storage_->identity() != 0 ? Phase::kConfirming : Phase::kQueryingPeers;
  }
}

uint64_t Node::generation() const {
  if (phase_ == Phase::kQueryingPeers) return 0;
  return phase_ == Phase::kLearner ? (machine_.state().index() == 0 ? 0 : machine_.state().generation())
                                   : storage_->generation();
}

const Voter* Node::find_voter(const std::string& name) const {
  for (const Voter& peer : options_.voters) {
    if (peer.name == name) return &peer;
  }
  return nullptr;
}

std::string Node::voter_name(uint64_t identity) const {
  for (const Voter& peer : options_.voters) {
    if (identity != 0 && peer.slot == Storage::slot_of(identity)) return peer.name;
  }
  return "";
}

// Called after a failed disk operation. What the disk holds is unknown until the folder is read again; until
// then this voter neither votes nor leads.
void Node::suspend_voter() {
  if (!storage_->diagnostic().empty()) log_("register: " + storage_->diagnostic());
  raft_.reset();
  leading_ = false;
  phase_ = Phase::kFailed;
  failed_at_ = now_.steady_us;
}

void Node::fill_header(pb::Frame& frame, const std::string& to) const {
  frame.set_from(options_.name);
  frame.set_generation(generation());
  if (phase_ == Phase::kConfirming || phase_ == Phase::kVoting) {
    frame.set_identity(storage_->identity());
    // Until the folder is confirmed, the count that was loaded: repairing a torn copy of the vote record is
    // a write that no other voter relies on.
    frame.set_promises(phase_ == Phase::kVoting ? storage_->durable_writes()
                                                : storage_->loaded_durable_writes());
  }
  if (const Voter* peer = find_voter(to); peer != nullptr && is_voter() && !storage_->failed()) {
    const uint64_t newest = storage_->newest_identity(peer->slot);
    frame.set_remembers_as(newest);
    frame.set_remembers(storage_->peer_durable_writes(newest));
    frame.set_remembered(true);
  }
}

void Node::send(const std::string& to, pb::Frame frame) {
  fill_header(frame, to);
  send_(to, frame);
}

// ---- Identity of this voter ----

void Node::update_peer_info(const pb::Frame& frame, PeerInfo& peer_info) {
  peer_info.identity = frame.identity();
  peer_info.generation = frame.generation();
  if (frame.remembered()) {
    peer_info.has_reported = true;
    peer_info.reported_identity = frame.remembers_as();
    peer_info.reported_writes = frame.remembers();
  }
}

// A newer generation exists: this relay drops the state that it holds of its own one.
void Node::abandon_generation(uint64_t generation) {
  log_("register: generation " + std::to_string(generation) +
       " has begun; dropping the state of generation " + std::to_string(this->generation()));
  lease_until_ = 0;
  leading_ = false;
  raft_.reset();
  machine_ = StateMachine(options_.rules);
  recent_commands_.clear();
  digests_.clear();
  if (!is_voter()) return;
  phase_ = Phase::kQueryingPeers;
  opened_at_ = now_.steady_us;
  for (auto& [name, peer_info] : peers_) peer_info.has_reported = false;
}

// A voter that has lost durable state, such as its vote, joins under a new identity: nothing was ever written
// or promised under that one.
void Node::rejoin_as_newcomer(uint64_t generation) {
  uint64_t newest = std::max(storage_->newest_identity(options_.slot), storage_->identity());
  bool all_reported = true;
  for (const Voter& peer : options_.voters) {
    if (peer.name == options_.name) continue;
    const PeerInfo& peer_info = peers_[peer.name];
    all_reported = all_reported && peer_info.has_reported;
    newest = std::max(newest, peer_info.reported_identity);
  }
  const uint32_t incarnation =
      Storage::incarnation_of(newest) + (all_reported ? 1 : kUnconfirmedIncarnationStep);
  if (!storage_->initialize(generation, Storage::make_identity(options_.slot, incarnation))) {
    return suspend_voter();
  }
  machine_ = StateMachine(options_.rules);
  log_("register: joining the voters as a newcomer, incarnation " + std::to_string(incarnation));
  start_raft(false);
}

void Node::try_join() {
  bool all_reported = true, unknown_to_all = true;
  size_t answered = 1;
  uint64_t generation = highest_seen_generation_;
  bool any_identity = false;
  for (const Voter& peer : options_.voters) {
    if (peer.name == options_.name) continue;
    const PeerInfo& peer_info = peers_[peer.name];
    all_reported = all_reported && peer_info.has_reported;
    if (!peer_info.has_reported) continue;
    ++answered;
    generation = std::max(generation, peer_info.generation);
    any_identity = any_identity || peer_info.identity != 0;
    unknown_to_all = unknown_to_all && peer_info.reported_identity == 0;
  }
  if (all_reported && unknown_to_all && generation <= 1 && storage_->identity() == 0 &&
      (any_identity ||
       (generation == 0 && now_.steady_us - opened_at_ >= options_.bootstrap_delay_ms * kUsPerMs))) {
    // All voters report that this one has never written anything, so it belongs to the initial set of a new
    // fleet. bootstrap_delay_ms leaves time for a learner to report that a fleet exists already.
    if (!storage_->initialize(1, Storage::make_identity(options_.slot, 1))) {
      return suspend_voter();
    }
    return start_raft(true);
  }
  // A fleet exists already. Join it under a new identity once all voters have reported, or a majority has and
  // the time-out is over.
  const bool majority = 2 * answered > options_.voters.size();
  const bool timed_out = now_.steady_us - opened_at_ >= options_.confirm_timeout_ms * kUsPerMs;
  if (generation > 0 && any_identity && (all_reported || (majority && timed_out)))
    rejoin_as_newcomer(generation);
}

// An intact folder may still be an old copy, as one restored from a backup. The other voters have recorded
// how many durable writes they have seen of this identity; a higher count than the folder's shows that.
void Node::try_confirm_folder() {
  bool all_reported = true;
  size_t confirmed = 1;
  for (const Voter& peer : options_.voters) {
    if (peer.name == options_.name) continue;
    const PeerInfo& peer_info = peers_[peer.name];
    if (!peer_info.has_reported) {
      all_reported = false;
      continue;
    }
    const bool newer = peer_info.reported_identity > storage_->identity();
    const bool more = peer_info.reported_identity == storage_->identity() &&
                      peer_info.reported_writes > storage_->loaded_durable_writes();
    if (newer || more) {
      log_("register: the folder is older than what it promised to " + peer.name + ": it holds " +
           std::to_string(storage_->loaded_durable_writes()) + " of " +
           std::to_string(peer_info.reported_writes) + " durable writes");
      return rejoin_as_newcomer(std::max(storage_->generation(), highest_seen_generation_));
    }
    ++confirmed;
  }
  const bool majority = 2 * confirmed > options_.voters.size();
  const bool timed_out = now_.steady_us - opened_at_ >= options_.confirm_timeout_ms * kUsPerMs;
  if (all_reported || (majority && timed_out)) start_raft(false);
}

void Node::start_raft(bool bootstrap) {
  RaftOptions raft = options_.raft;
  raft.seed = random_();
  RaftServer::Hooks hooks;
  hooks.send = [this](pb::RaftMessage message) {
    pb::Frame frame;
    const std::string to = voter_name(message.to());
    *frame.mutable_raft() = std::move(message);
    if (!to.empty()) send(to, std::move(frame));
  };
  hooks.apply = [this](const std::string& bytes) { apply(bytes); };
  hooks.snapshot = [this] { return machine_.serialize(); };
  hooks.restore = [this](const std::string& bytes) {
    pb::State state;
    if (!state.ParseFromString(bytes)) return;
    machine_.restore(std::move(state));
    recent_commands_.clear();
    digests_.clear();
    record_digest();
  };
  machine_ = StateMachine(options_.rules);
  raft_ = std::make_unique<RaftServer>(*storage_, raft, std::move(hooks), now_.steady_us / kUsPerMs);
  std::vector<uint64_t> first;
  for (const Voter& peer : options_.voters) first.push_back(Storage::make_identity(peer.slot, 1));
  std::sort(first.begin(), first.end());
  if ((bootstrap && !raft_->bootstrap(first)) || !raft_->start()) {
    log_("register: the Raft server cannot be started on this folder");
    return suspend_voter();
  }
  phase_ = Phase::kVoting;
}

// The state with every stored entry applied, committed or not. An operator may start a new generation from
// it.
pb::State Node::state_from_folder() const {
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
  // Anyone who connects can send any name: keep no more of them than the fleet may have members.
  if (!peers_.contains(frame.from()) && find_voter(frame.from()) == nullptr &&
      peers_.size() >= options_.rules.max_members + options_.voters.size()) {
    return;
  }
  PeerInfo& peer_info = peers_[frame.from()];
  if (frame.generation() > generation()) {
    highest_seen_generation_ = std::max(highest_seen_generation_, frame.generation());
    if (generation() != 0) abandon_generation(frame.generation());
  }
  peer_info.at = now.steady_us;
  update_peer_info(frame, peer_info);
  // Recorded before the frame is acted on, so that the sender can be told its count if its folder is replaced
  // by an older one.
  if (is_voter() && frame.identity() != 0 && phase_ != Phase::kFailed &&
      find_voter(frame.from()) != nullptr && !storage_->record_peer(frame.identity(), frame.promises())) {
    return suspend_voter();
  }
  // A sender of an earlier generation, or of none yet, only learns the current generation.
  const bool same_generation = frame.generation() == generation();
  switch (frame.what_case()) {
    case pb::Frame::kRaft:
      if (same_generation && phase_ == Phase::kVoting && frame.identity() == frame.raft().from()) {
        raft_->receive(frame.raft(), now.steady_us / kUsPerMs);
      }
      break;
    case pb::Frame::kBeat:
      handle(frame.beat(), frame);
      break;
    case pb::Frame::kBeatAnswer:
      handle(frame.beat_answer(), frame);
      break;
    case pb::Frame::kPropose:
      if (same_generation) handle(frame.propose(), frame);
      break;
    case pb::Frame::kProposeAnswer: {
      const auto it = pending_commands_.find(frame.propose_answer().number());
      if (it == pending_commands_.end() || it->second.proposed) break;
      if (frame.propose_answer().try_elsewhere()) break;  // retried until the deadline
      if (frame.propose_answer().done() && machine_.state().index() < frame.propose_answer().index()) {
        it->second.index = frame.propose_answer().index();
        break;
      }
      const ReplyCallback done = std::move(it->second.reply);
      pending_commands_.erase(it);
      done(frame.propose_answer().done(), frame.propose_answer().reason());
      break;
    }
    default:
      break;
  }
  if (raft_ && storage_->failed()) {
    suspend_voter();
  }
}

void Node::send_heartbeat() {
  const uint64_t number = ++heartbeat_number_;
  heartbeat_sent_at_[number] = now_.steady_us;
  while (heartbeat_sent_at_.size() > kMaxUnansweredHeartbeats)
    heartbeat_sent_at_.erase(heartbeat_sent_at_.begin());
  pb::Frame frame;
  pb::Beat* heartbeat = frame.mutable_beat();
  heartbeat->set_number(number);
  heartbeat->set_wall(now_.wall_us);
  heartbeat->set_index(machine_.state().index());
  const uint64_t* digest = find_index(digests_, machine_.state().index());
  heartbeat->set_digest(digest != nullptr ? *digest : machine_.digest());  // computed once per command
  heartbeat->set_map_index(machine_.state().map_index());
  pb::Member* self = heartbeat->mutable_self();
  self->set_name(options_.name);
  self->set_slot(options_.slot);
  self->set_boot(boot_id_);
  self->set_weight(options_.weight);
  self->set_zone(options_.zone);
  self->set_leaving(leaving_);
  heartbeat->set_version(running_version_);
  heartbeat->set_diverged(diverged_);
  for (const HealthReport& report : own_reports_) {
    pb::Seen* seen = heartbeat->add_seen();
    seen->set_destination(report.destination);
    if (report.outage_start != 0)
      seen->set_out_for(std::max<int64_t>(1, now_.steady_us - report.outage_start));
    if (report.recovery_start != 0)
      seen->set_back_for(std::max<int64_t>(1, now_.steady_us - report.recovery_start));
    seen->set_base(report.baseline_rate);
    seen->set_served(report.recently_served);
    seen->set_scouting(report.can_send_trial);
  }
  if (is_voter()) {
    HeartbeatRecord& own = heartbeats_[options_.name];
    own = {now_.steady_us, *self, heartbeat->map_index(), running_version_, diverged_};
    for (const pb::Seen& seen : heartbeat->seen()) {
      merge_report(seen, options_.name,
                   ownership(shards::key_of(seen.destination()), now_.steady_us) == Ownership::kOwner);
    }
  }
  for (const Voter& peer : options_.voters) {
    if (peer.name != options_.name) send(peer.name, frame);
  }
}

void Node::handle(const pb::Beat& heartbeat, const pb::Frame& frame) {
  if (!is_voter()) return;
  pb::Frame out;
  pb::BeatAnswer* answer = out.mutable_beat_answer();
  answer->set_number(heartbeat.number());
  answer->set_wall(now_.wall_us);
  const bool same_generation = frame.generation() == generation() || frame.generation() == 0;
  if (phase_ == Phase::kVoting && same_generation) {
    HeartbeatRecord& record = heartbeats_[frame.from()];
    record.at = now_.steady_us;
    record.member = heartbeat.self();
    record.map_index = std::max(record.map_index, heartbeat.map_index());
    record.version = heartbeat.version();
    record.diverged = heartbeat.diverged();
    const shards::Map map = heartbeat.seen_size() > 0 ? machine_.map() : shards::Map();
    for (const pb::Seen& seen : heartbeat.seen()) {
      const shards::Range* range = shards::find_range(map, shards::key_of(seen.destination()));
      merge_report(seen, frame.from(), range != nullptr && range->owner == frame.from());
    }
    answer->set_term(raft_->term());
    const int64_t known = leading_ ? quorum_contact_time() : leader_contact_at_;
    if (known >= 0) {
      answer->set_lead(leading_ ? options_.name : leader_name_);
      answer->set_lead_age(now_.steady_us - known);
    }
    const pb::State& state = machine_.state();
    answer->set_index(state.index());
    const uint64_t* digest = find_index(digests_, heartbeat.index());
    answer->set_digest_index(digest != nullptr ? heartbeat.index() : 0);
    answer->set_digest(digest != nullptr ? *digest : 0);
    const bool to_learner = find_voter(frame.from()) == nullptr;
    if (to_learner && heartbeat.index() < state.index()) {
      if (frame.generation() != 0 && find_index(recent_commands_, heartbeat.index() + 1) != nullptr) {
        size_t bytes = 0;
        for (uint64_t i = heartbeat.index() + 1; i <= state.index() && bytes < kMaxDeltaBytes; ++i) {
          pb::LogEntry* entry = answer->add_command();
          entry->set_index(i);
          entry->set_data(*find_index(recent_commands_, i));
          bytes += entry->data().size();
        }
      } else {
        answer->set_state(machine_.serialize());
      }
    }
    // Grant a lease only to a relay that has adopted the newest map change, and only as the confirmed leader.
    if (may_grant_leases() && heartbeat.map_index() == state.map_index() && !heartbeat.diverged() &&
        !heartbeat.self().leaving()) {
      answer->set_lease(true);
      answer->set_lease_map_index(state.map_index());
      lease_grants_[frame.from()] = {now_.steady_us, state.map_index()};
    }
    std::erase_if(received_reports_,
                  [&](const auto& entry) { return now_.steady_us - entry.second.at > kReportLifetimeUs; });
    for (const auto& [destination, received] : received_reports_) {
      pb::Seen* seen = answer->add_seen();
      *seen = received.seen;
      const int64_t age = now_.steady_us - received.at;
      if (age > options_.member_timeout_ms * kUsPerMs) {  // too old to count as recent
        seen->set_served(false);
        seen->set_scouting(false);
      }
      if (seen->out_for() != 0) seen->set_out_for(seen->out_for() + age);
      if (seen->back_for() != 0) seen->set_back_for(seen->back_for() + age);
    }
  }
  send(frame.from(), std::move(out));
}

void Node::handle(const pb::BeatAnswer& answer, const pb::Frame& frame) {
  const auto sent = heartbeat_sent_at_.find(answer.number());
  if (sent == heartbeat_sent_at_.end() || find_voter(frame.from()) == nullptr) return;
  // Relative to the own steady clock: the own wall clock may jump, and counts only as one of the voters'.
  const int64_t offset = answer.wall() - now_.steady_us;
  clock_offsets_[frame.from()] = {offset, offset + (now_.steady_us - sent->second), now_.steady_us};
  // An empty learner takes the state from any voter that has one; otherwise the generations must match.
  const bool empty_learner =
      phase_ == Phase::kLearner && generation() == 0 && frame.generation() >= highest_seen_generation_;
  if (frame.generation() != generation() && !empty_learner) return;
  if (phase_ == Phase::kLearner) {
    if (!answer.state().empty()) {
      pb::State state;
      if (state.ParseFromString(answer.state()) && state.index() > machine_.state().index()) {
        machine_.restore(std::move(state));
        digests_.clear();
        record_digest();
      }
    }
    for (const pb::LogEntry& entry : answer.command()) {
      if (entry.index() == machine_.state().index() + 1) apply(entry.data());
    }
    save_learner_snapshot();
  }
  if (phase_ == Phase::kQueryingPeers || phase_ == Phase::kConfirming) return;
  if (answer.digest_index() != 0) compare_digest(frame.from(), answer.digest_index(), answer.digest());
  if (phase_ == Phase::kVoting && answer.term() == raft_->term()) {
    int64_t& latest = acknowledged_sent_at_[frame.from()];
    latest = std::max(latest, sent->second);
  }
  // An answer counts as contact with the leader only if this relay has applied everything that it covers;
  // lead_age accounts for the voter's own lag behind the leader.
  if (!answer.lead().empty() && machine_.state().index() >= answer.index()) {
    leader_contact_at_ = std::max(leader_contact_at_, sent->second - answer.lead_age());
    leader_name_ = answer.lead();
  }
  // The lease runs from the time the heartbeat was sent: however long the answer took, the lease ends no
  // later than the leader assumes.
  if (answer.lease() && answer.lease_map_index() <= machine_.state().map_index() && !diverged_) {
    lease_until_ = std::max(lease_until_, sent->second + options_.lease_ms * kUsPerMs);
  }
  if (!is_voter()) {
    for (const pb::Seen& seen : answer.seen()) merge_report(seen, seen.by(), seen.by_owner());
  }
}

void Node::handle(const pb::Propose& propose, const pb::Frame& frame) {
  const std::string to = frame.from();
  const uint64_t number = propose.number();
  propose_command(propose.command(), [this, to, number](bool done, const std::string& reason) {
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
  if (!command.ParseFromString(bytes))
    command.Clear();  // an empty command is refused in the same way at each relay
  last_result_ = machine_.apply(index, command);
  recent_commands_.emplace_back(index, bytes);
  while (recent_commands_.size() > kMaxRecentCommands) recent_commands_.pop_front();
  record_digest();
}

void Node::record_digest() {
  digests_.emplace_back(machine_.state().index(), machine_.digest());
  while (digests_.size() > kMaxRecentCommands) digests_.pop_front();
}

// A relay whose state differs from that of a majority of voters after the same command is taken to be wrong.
void Node::compare_digest(const std::string& from, uint64_t index, uint64_t digest) {
  const uint64_t* own = find_index(digests_, index);
  if (own == nullptr) return;
  digest_mismatches_[from] = {index, *own != digest};
  size_t mismatches = 0;
  for (const auto& [name, mismatch] : digest_mismatches_) mismatches += mismatch.second;
  if (diverged_ || 2 * mismatches <= options_.voters.size()) return;
  diverged_ = true;
  lease_until_ = 0;
  leading_ = false;
  log_("register: the state after command " + std::to_string(index) + " differs from that of " +
       std::to_string(mismatches) + " voters; this relay no longer uses the register");
}

void Node::save_learner_snapshot() {
  const pb::State& state = machine_.state();
  if (state.index() == learner_saved_index_ && state.generation() == learner_saved_generation_) return;
  if (state.generation() == learner_saved_generation_ &&
      now_.steady_us - learner_saved_at_ < kLearnerSaveIntervalUs)
    return;
  learner_saved_at_ = now_.steady_us;
  if (storage_->failed()) storage_ = std::make_unique<Storage>(files_, options_.name);
  if (storage_->folder_state() != Storage::FolderState::kIntact ||
      storage_->generation() != state.generation()) {
    if (!storage_->initialize(state.generation(), 0)) return;
  }
  StoredSnapshot snapshot;
  snapshot.index = state.index();
  snapshot.data = machine_.serialize();
  if (!storage_->put_snapshot(std::move(snapshot), 0)) return;
  learner_saved_index_ = state.index();
  learner_saved_generation_ = state.generation();
}

freeze::TimeBounds Node::time_bounds() const {
  int64_t low = now_.wall_us, high = now_.wall_us;
  size_t known = is_voter() ? 1 : 0;
  for (const auto& [name, clock] : clock_offsets_) {
    if (now_.steady_us - clock.at > 10 * options_.relay_heartbeat_ms * kUsPerMs) continue;
    ++known;
    low = std::min(low, now_.steady_us + clock.low);
    high = std::max(high, now_.steady_us + clock.high);
  }
  // Without the clocks of a majority the time is unknown, and any window may be in force.
  if (2 * known <= options_.voters.size()) return {0, std::numeric_limits<int64_t>::max() / 2};
  return {low - options_.clock_slack_us, high + options_.clock_slack_us};
}

// Each relay ends a roll-out at its deadline by itself, with or without a quorum: the register's decision may
// arrive too late.
const pb::Version& Node::version() const {
  const pb::State& state = machine_.state();
  const bool rolls = state.rolling().number() != 0 && time_bounds().latest < state.rolling_by();
  return rolls ? state.rolling() : state.version();
}

std::vector<HealthReport> Node::health_reports(int64_t steady_us) const {
  std::vector<HealthReport> out;
  for (const auto& [destination, received] : received_reports_) {
    if (steady_us - received.at > kReportLifetimeUs || received.seen.by() == options_.name) continue;
    HealthReport report;
    report.destination = destination;
    report.outage_start = received.seen.out_for() == 0 ? 0 : received.at - received.seen.out_for();
    report.recovery_start = received.seen.back_for() == 0 ? 0 : received.at - received.seen.back_for();
    report.baseline_rate = received.seen.base();
    const bool is_recent = steady_us - received.at <= options_.member_timeout_ms * kUsPerMs;
    report.recently_served = received.seen.served() && is_recent;
    report.can_send_trial = received.seen.scouting() && is_recent;
    report.from_owner = received.seen.by_owner();
    out.push_back(report);
  }
  return out;
}

// Keeps one report per destination: the owner's, or another relay's while the owner's is missing or too old.
void Node::merge_report(const pb::Seen& seen, const std::string& by, bool by_owner) {
  const auto known = received_reports_.find(seen.destination());
  if (known == received_reports_.end() && received_reports_.size() >= kMaxReports) return;
  if (!by_owner && known != received_reports_.end() && known->second.seen.by_owner() &&
      now_.steady_us - known->second.at < options_.member_timeout_ms * kUsPerMs) {
    return;
  }
  ReceivedReport& received = received_reports_[seen.destination()];
  received = {seen, now_.steady_us};
  received.seen.set_by_owner(by_owner);
  received.seen.set_by(by);
}

OwnershipView Node::view() const {
  const pb::State& state = machine_.state();
  const std::pair of{state.generation(), state.map_index()};
  if (view_map_ == nullptr || view_map_of_ != of) {
    view_map_ = std::make_shared<pb::Map>(state.map());
    view_proposed_ = state.proposed().epoch() == 0 ? view_map_ : std::make_shared<pb::Map>(state.proposed());
    view_map_of_ = of;
  }
  OwnershipView out;
  out.self = options_.name;
  out.map = view_map_;
  out.proposed = view_proposed_;
  out.lease_until = lease_until_;
  out.diverged = diverged_;
  out.generation = generation();
  const int64_t confirmed_at = leading_ ? quorum_contact_time() : leader_contact_at_;
  if (state.index() != 0 && confirmed_at >= 0)
    out.confirmed_until = confirmed_at + options_.lease_ms * kUsPerMs;
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
  if (phase_ == Phase::kFailed && now.steady_us - failed_at_ >= kDiskRetryIntervalUs) open_folder();
  if (phase_ == Phase::kQueryingPeers) try_join();
  if (phase_ == Phase::kConfirming) try_confirm_folder();
  if (phase_ == Phase::kVoting) raft_->tick(now.steady_us / kUsPerMs);
  if (raft_ && storage_->failed()) {
    suspend_voter();
  }
  if (now.steady_us >= next_heartbeat_at_) {
    next_heartbeat_at_ = std::max(next_heartbeat_at_ + options_.relay_heartbeat_ms * kUsPerMs, now.steady_us);
    send_heartbeat();
    if (phase_ == Phase::kVoting) run_leader_duties();
  }
  process_pending_commands();
}

}  // namespace umberhoist::reg

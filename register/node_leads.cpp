// What a node does while it leads: leases, members, maps and versions.
#include <algorithm>
#include <limits>

#include "register/node.h"

namespace umberhoist::reg {
namespace {

constexpr int64_t kMs = 1000;

// A lease of one clock is waited out on another: no two steady clocks part by more than this share.
int64_t with_drift(int64_t us) { return us + us / 10; }

}  // namespace

std::string Node::name_of_leader() const { return raft_ ? voter_of(raft_->leader_identity()) : ""; }

int64_t Node::quorum_heard() const {
  std::vector<int64_t> times;
  for (const auto& [name, at] : echoes_) times.push_back(at);
  std::sort(times.rbegin(), times.rend());
  const size_t others = options_.voters.size() / 2;  // with this one a majority
  if (others == 0) return now_.steady_us;
  return times.size() < others ? std::numeric_limits<int64_t>::min() / 2 : times[others - 1];
}

// A voter that answered had no later term then; one of any later majority is among those who answered. So a
// later leader was elected after these answers, and waits out the election time on top of the lease.
bool Node::may_grant() const {
  return leading_ && raft_->is_leader() && raft_->term() == lead_term_ && !diverged_ &&
         now_.steady_us - quorum_heard() <= options_.raft.election_timeout_ms * kMs;
}

void Node::duties() {
  if (!raft_->is_leader() || diverged_) {
    leading_ = false;
    return;
  }
  if (!leading_ || lead_term_ != raft_->term()) {
    if (lead_asked_ && lead_term_ == raft_->term()) return;
    leading_ = false;
    lead_asked_ = true;
    lead_term_ = raft_->term();
    echoes_.clear();
    grants_.clear();
    duties_out_.clear();
    pb::Command command;
    command.mutable_lead()->set_name(options_.name);
    const uint64_t term = lead_term_;
    // Only once this is applied does this relay know all that was agreed on before.
    return log_command(std::move(command), [this, term](bool done, const std::string&) {
      lead_asked_ = false;
      if (!done || !raft_ || raft_->term() != term) return;
      leading_ = true;
      leading_since_ = now_.steady_us;
    });
  }
  lead_ = options_.name;
  if (may_grant()) {
    // Its own lease rests on the same answers as those that it grants.
    lease_until_ = std::max(lease_until_, quorum_heard() + options_.lease_ms * kMs);
    grants_[options_.name] = {now_.steady_us, machine_.state().map_index()};
  }
  for (const Voter& peer : options_.voters) {
    const auto heard = heard_.find(peer.name);
    if (heard == heard_.end() || heard->second.identity == 0) continue;
    if (heard->second.generation != generation()) continue;
    if (now_.steady_us - heard->second.at > options_.member_timeout_ms * kMs) continue;
    raft_->reconcile_voter(heard->second.identity);
  }
  watch_members();
  watch_map();
  watch_version();
}

// Not heard for long, or not to be counted on: its state differs from the others'.
bool Node::silent(const std::string& name) const {
  const auto beaten = beats_.find(name);
  return beaten == beats_.end() || beaten->second.diverged ||
         now_.steady_us - beaten->second.at > options_.member_timeout_ms * kMs;
}

void Node::watch_members() {
  if (duties_out_.contains("members")) return;
  pb::Command command;
  pb::Members* members = command.mutable_members();
  for (const auto& [name, beaten] : beats_) {
    if (silent(name)) continue;
    const pb::Member* known = machine_.member(name);
    const pb::Member& seen = beaten.member;
    if (known != nullptr && known->live() && known->boot() == seen.boot() &&
        known->weight() == seen.weight() && known->zone() == seen.zone() && known->slot() == seen.slot() &&
        known->leaving() == seen.leaving() && known->generation() == machine_.state().generation()) {
      continue;
    }
    *members->add_seen() = seen;
  }
  if (now_.steady_us - leading_since_ > options_.member_timeout_ms * kMs) {
    for (const pb::Member& member : machine_.state().member()) {
      const auto beaten = beats_.find(member.name());
      const bool silent =
          beaten == beats_.end() || now_.steady_us - beaten->second.at > options_.member_timeout_ms * kMs;
      if (member.live() && silent) members->add_lost(member.name());
    }
  }
  if (members->seen_size() == 0 && members->lost_size() == 0) return;
  duties_out_.insert("members");
  log_command(std::move(command), [this](bool, const std::string&) { duties_out_.erase("members"); });
}

// Every member has said that it keeps to the proposal. Whoever is silent is found lost first, so that the
// commit is judged by that; and whatever lease it had has to be over.
bool Node::kept_by_all() const {
  const uint64_t proposal = machine_.state().map_index();
  const int64_t lease = with_drift(options_.lease_ms * kMs);
  // What the leader before may have granted, up to its election time after this one's election.
  const bool before =
      now_.steady_us - leading_since_ <= lease + with_drift(options_.raft.election_timeout_ms * kMs);
  for (const pb::Member& member : machine_.state().member()) {
    const auto beaten = beats_.find(member.name());
    if (beaten != beats_.end() && beaten->second.map_index >= proposal) continue;
    if (before || member.live()) return false;
    const auto grant = grants_.find(member.name());
    if (grant != grants_.end() && now_.steady_us - grant->second.at <= lease) return false;
  }
  return true;
}

void Node::watch_map() {
  if (duties_out_.contains("map")) return;
  const pb::State& state = machine_.state();
  pb::Command command;
  if (state.proposed().epoch() != 0) {
    if (!kept_by_all()) return;
    command.mutable_commit_map()->set_map_index(state.map_index());
  } else {
    const bool first = state.map().epoch() == 0;
    const int64_t wait = (first ? options_.bootstrap_delay_ms : options_.member_timeout_ms) * kMs;
    if (now_.steady_us - leading_since_ < wait) return;
    const auto members = machine_.members();
    const auto map = first ? shards::initial_map(members) : shards::repair(machine_.map(), members);
    if (!map) return;
    *command.mutable_propose_map()->mutable_map() = to_pb(*map);
    command.mutable_propose_map()->set_repair(!first);
  }
  duties_out_.insert("map");
  log_command(std::move(command), [this](bool done, const std::string& reason) {
    duties_out_.erase("map");
    if (!done && !reason.empty()) say_("register: the map was not taken: " + reason);
  });
}

void Node::watch_version() {
  const pb::State& state = machine_.state();
  if (state.rolling().number() == 0 || duties_out_.contains("version")) return;
  bool reached = true;
  for (const pb::Member& member : state.member()) {
    if (!member.live()) continue;
    const auto beaten = beats_.find(member.name());
    reached = reached && beaten != beats_.end() && beaten->second.version == state.rolling().number();
  }
  const bool late =
      bounds().latest + options_.rules.commit_margin_us > state.rolling_by() - options_.rules.guard_us / 2;
  if (!reached && !late) return;
  pb::Command command;
  if (late) {
    command.mutable_take_back()->set_number(state.rolling().number());
  } else {
    command.mutable_finish_version()->set_number(state.rolling().number());
  }
  duties_out_.insert("version");
  log_command(std::move(command), [this](bool, const std::string&) { duties_out_.erase("version"); });
}

}  // namespace umberhoist::reg

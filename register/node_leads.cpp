// The duties of the leader: leases, members, maps and versions.
#include <algorithm>
#include <limits>

#include "register/node.h"

namespace umberhoist::reg {
namespace {

constexpr int64_t kUsPerMs = 1000;

// A lease that runs on one clock is waited out on another: the rates of two steady clocks are assumed to
// differ by at most 10 %.
int64_t with_drift(int64_t us) { return us + us / 10; }

}  // namespace

std::string Node::raft_leader_name() const { return raft_ ? voter_name(raft_->leader_identity()) : ""; }

int64_t Node::quorum_contact_time() const {
  std::vector<int64_t> times;
  for (const auto& [name, at] : acknowledged_sent_at_) times.push_back(at);
  std::sort(times.rbegin(), times.rend());
  const size_t others = options_.voters.size() / 2;  // together with this relay a majority
  if (others == 0) return now_.steady_us;
  return times.size() < others ? std::numeric_limits<int64_t>::min() / 2 : times[others - 1];
}

// The voters that answered had no later term at that time, and every later majority includes one of them. So
// any later leader was elected after these answers, and it waits for the lease plus the election time-out.
bool Node::may_grant_leases() const {
  return leading_ && raft_->is_leader() && raft_->term() == leader_term_ && !diverged_ &&
         now_.steady_us - quorum_contact_time() <= options_.raft.election_timeout_ms * kUsPerMs;
}

void Node::run_leader_duties() {
  if (!raft_->is_leader() || diverged_) {
    leading_ = false;
    return;
  }
  if (!leading_ || leader_term_ != raft_->term()) {
    if (lead_command_pending_ && leader_term_ == raft_->term()) return;
    leading_ = false;
    lead_command_pending_ = true;
    leader_term_ = raft_->term();
    acknowledged_sent_at_.clear();
    lease_grants_.clear();
    pending_duties_.clear();
    pb::Command command;
    command.mutable_lead()->set_name(options_.name);
    const uint64_t term = leader_term_;
    // Once this command is applied, the state includes everything that was committed in earlier terms.
    return propose_command(std::move(command), [this, term](bool done, const std::string&) {
      lead_command_pending_ = false;
      if (!done || !raft_ || raft_->term() != term) return;
      leading_ = true;
      leading_since_ = now_.steady_us;
    });
  }
  leader_name_ = options_.name;
  if (may_grant_leases()) {
    // The leader's own lease rests on the same answers as those that it grants.
    lease_until_ = std::max(lease_until_, quorum_contact_time() + options_.lease_ms * kUsPerMs);
    lease_grants_[options_.name] = {now_.steady_us, machine_.state().map_index()};
  }
  for (const Voter& peer : options_.voters) {
    const auto peer_info = peers_.find(peer.name);
    if (peer_info == peers_.end() || peer_info->second.identity == 0) continue;
    if (peer_info->second.generation != generation()) continue;
    if (now_.steady_us - peer_info->second.at > options_.member_timeout_ms * kUsPerMs) continue;
    raft_->reconcile_voter(peer_info->second.identity);
  }
  update_members();
  advance_map();
  advance_version();
}

// No heartbeat within member_timeout_ms, or a state that differs from the majority's.
bool Node::is_silent(const std::string& name) const {
  const auto heartbeat = heartbeats_.find(name);
  return heartbeat == heartbeats_.end() || heartbeat->second.diverged ||
         now_.steady_us - heartbeat->second.at > options_.member_timeout_ms * kUsPerMs;
}

void Node::update_members() {
  if (pending_duties_.contains("members")) return;
  pb::Command command;
  pb::Members* members = command.mutable_members();
  for (const auto& [name, heartbeat] : heartbeats_) {
    if (is_silent(name)) continue;
    const pb::Member* known = machine_.member(name);
    const pb::Member& seen = heartbeat.member;
    if (known != nullptr && known->live() && known->boot() == seen.boot() &&
        known->weight() == seen.weight() && known->zone() == seen.zone() && known->slot() == seen.slot() &&
        known->leaving() == seen.leaving() && known->generation() == machine_.state().generation()) {
      continue;
    }
    *members->add_seen() = seen;
  }
  if (now_.steady_us - leading_since_ > options_.member_timeout_ms * kUsPerMs) {
    for (const pb::Member& member : machine_.state().member()) {
      const auto heartbeat = heartbeats_.find(member.name());
      const bool silent = heartbeat == heartbeats_.end() ||
                          now_.steady_us - heartbeat->second.at > options_.member_timeout_ms * kUsPerMs;
      if (member.live() && silent) members->add_lost(member.name());
    }
  }
  if (members->seen_size() == 0 && members->lost_size() == 0) return;
  pending_duties_.insert("members");
  propose_command(std::move(command), [this](bool, const std::string&) { pending_duties_.erase("members"); });
}

// True if each member has adopted the proposed map, or is marked as lost and can no longer hold a lease. A
// silent member is marked as lost first, so that the commit is validated with that.
bool Node::adopted_by_all() const {
  const uint64_t proposal = machine_.state().map_index();
  const int64_t lease = with_drift(options_.lease_ms * kUsPerMs);
  // The previous leader may have granted leases until one election time-out after this one was elected.
  const bool predecessor_may_have_granted =
      now_.steady_us - leading_since_ <= lease + with_drift(options_.raft.election_timeout_ms * kUsPerMs);
  for (const pb::Member& member : machine_.state().member()) {
    const auto heartbeat = heartbeats_.find(member.name());
    if (heartbeat != heartbeats_.end() && heartbeat->second.map_index >= proposal) continue;
    if (predecessor_may_have_granted || member.live()) return false;
    const auto grant = lease_grants_.find(member.name());
    if (grant != lease_grants_.end() && now_.steady_us - grant->second.at <= lease) return false;
  }
  return true;
}

void Node::advance_map() {
  if (pending_duties_.contains("map")) return;
  const pb::State& state = machine_.state();
  pb::Command command;
  if (state.proposed().epoch() != 0) {
    if (!adopted_by_all()) return;
    command.mutable_commit_map()->set_map_index(state.map_index());
  } else {
    const bool first = state.map().epoch() == 0;
    const int64_t wait = (first ? options_.bootstrap_delay_ms : options_.member_timeout_ms) * kUsPerMs;
    if (now_.steady_us - leading_since_ < wait) return;
    const auto members = machine_.members();
    const auto map = first ? shards::initial_map(members) : shards::repair(machine_.map(), members);
    if (!map) return;
    *command.mutable_propose_map()->mutable_map() = to_pb(*map);
    command.mutable_propose_map()->set_repair(!first);
  }
  pending_duties_.insert("map");
  propose_command(std::move(command), [this](bool done, const std::string& reason) {
    pending_duties_.erase("map");
    if (!done && !reason.empty()) log_("register: map refused: " + reason);
  });
}

void Node::advance_version() {
  const pb::State& state = machine_.state();
  if (state.rolling().number() == 0 || pending_duties_.contains("version")) return;
  bool reached = true;
  for (const pb::Member& member : state.member()) {
    if (!member.live()) continue;
    const auto heartbeat = heartbeats_.find(member.name());
    reached =
        reached && heartbeat != heartbeats_.end() && heartbeat->second.version == state.rolling().number();
  }
  const bool late = time_bounds().latest + options_.rules.commit_margin_us >
                    state.rolling_by() - options_.rules.guard_us / 2;
  if (!reached && !late) return;
  pb::Command command;
  if (late) {
    command.mutable_take_back()->set_number(state.rolling().number());
  } else {
    command.mutable_finish_version()->set_number(state.rolling().number());
  }
  pending_duties_.insert("version");
  propose_command(std::move(command), [this](bool, const std::string&) { pending_duties_.erase("version"); });
}

}  // namespace umberhoist::reg

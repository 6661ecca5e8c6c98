// Changes on their way to the leader, and an operator's requests to a node.
#include <algorithm>
#include <sstream>

#include "register/node.h"

namespace umberhoist::reg {
namespace {

constexpr int64_t kUsPerMs = 1000;
constexpr size_t kMaxPendingCommands = 64;

}  // namespace

// Appends the command to the own log. (false, "") in the callback: this relay is not the leader, or no
// longer.
void Node::propose_command(pb::Command command, ReplyCallback done) {
  const bool leads = raft_ && raft_->is_leader() && !diverged_;
  const bool first = command.has_lead();
  if (!leads || (!first && (!leading_ || raft_->term() != leader_term_))) return done(false, "");
  const freeze::TimeBounds now = time_bounds();
  command.set_earliest(now.earliest);
  command.set_latest(now.latest);
  raft_->propose(command.SerializeAsString(), [this, done = std::move(done)](int status) {
    if (status != 0) return done(false, "");
    done(last_result_.applied, last_result_.reason);
  });
}

void Node::submit_command(pb::Command command, ReplyCallback done) {
  if (pending_commands_.size() >= kMaxPendingCommands)
    return done(false, "too many changes are waiting here; try again");
  const uint64_t number = ++last_command_number_;
  pending_commands_[number] = {std::move(command), std::move(done),
                               now_.steady_us + options_.propose_timeout_ms * kUsPerMs, 0, false};
  try_command(number);
}

void Node::try_command(uint64_t number) {
  PendingCommand& pending = pending_commands_.at(number);
  pending.last_attempt = now_.steady_us;
  if (leading_) {
    pending.proposed = true;
    return propose_command(pending.command, [this, number](bool done, const std::string& reason) {
      const auto it = pending_commands_.find(number);
      if (it == pending_commands_.end()) return;
      it->second.proposed = false;
      if (!done && reason.empty()) return;  // retried by process_pending_commands()
      const ReplyCallback reply = std::move(it->second.reply);
      pending_commands_.erase(it);
      reply(done, reason);
    });
  }
  if (leader_name_.empty() || leader_name_ == options_.name || !confirmed(now_.steady_us)) return;
  pb::Frame frame;
  frame.mutable_propose()->set_number(number);
  *frame.mutable_propose()->mutable_command() = pending.command;
  send(leader_name_, std::move(frame));
}

void Node::process_pending_commands() {
  std::vector<uint64_t> again;
  std::vector<ReplyCallback> over, made;
  for (auto it = pending_commands_.begin(); it != pending_commands_.end();) {
    const bool shown = it->second.index != 0 && machine_.state().index() >= it->second.index;
    if (shown || now_.steady_us >= it->second.deadline) {
      (it->second.index != 0 ? made : over).push_back(std::move(it->second.reply));
      it = pending_commands_.erase(it);
      continue;
    }
    if (!it->second.proposed && it->second.index == 0 &&
        now_.steady_us - it->second.last_attempt >= options_.raft.election_timeout_ms * kUsPerMs) {
      again.push_back(it->first);
    }
    ++it;
  }
  for (const uint64_t number : again) {
    if (pending_commands_.contains(number)) try_command(number);
  }
  for (const ReplyCallback& done : made) done(true, "");
  for (const ReplyCallback& done : over) {
    done(false,
         "no leader took it on in time: without a majority of the voters changes are closed, and messages "
         "served; look at the status, as it may have been made all the same");
  }
}

void Node::propose_version(const std::string& text, Now now, ReplyCallback done) {
  now_ = now;
  pb::Command command;
  command.mutable_propose_version()->set_text(text);
  command.mutable_propose_version()->set_digest(digest_of(text));
  submit_command(std::move(command), std::move(done));
}

CommandResult Node::restore_from_folder() {
  if (!is_voter()) return {false, "this relay is no voter; expected the name of a voter that survived"};
  pb::State state = state_from_folder();
  if (phase_ == Phase::kQueryingPeers || state.index() == 0)
    return {false, "this relay's folder holds no register"};
  if (confirmed(now_.steady_us) ||
      (raft_ && raft_->leader_identity() != 0 && raft_->leader_identity() != storage_->identity())) {
    return {false, "a leader is heard: nothing is to be restored"};
  }
  if (leading_ && now_.steady_us - quorum_contact_time() <= options_.member_timeout_ms * kUsPerMs) {
    return {false, "a majority of voters answers: nothing is to be restored"};
  }
  state.set_generation(std::max(state.generation(), highest_seen_generation_) + 1);
  state.clear_proposed();
  state.clear_proposed_repair();
  state.clear_proposed_excepted();
  for (pb::Member& member : *state.mutable_member()) member.set_live(false);
  const uint64_t term = storage_->term();
  const uint64_t identity = Storage::make_identity(
      options_.slot, Storage::incarnation_of(storage_->identity()) + kUnconfirmedIncarnationStep);
  raft_.reset();
  leading_ = false;
  lease_until_ = 0;
  if (!storage_->initialize(state.generation(), identity)) {
    suspend_voter();
    return {false, storage_->diagnostic()};
  }
  StoredSnapshot snapshot;
  snapshot.index = 1;
  snapshot.term = std::max<uint64_t>(term, 1);
  snapshot.configuration =
      RaftServer::encode_configuration({identity});  // this voter alone; the others join as newcomers
  snapshot.configuration_index = 1;
  snapshot.data = state.SerializeAsString();
  if (!storage_->put_snapshot(std::move(snapshot), 0) ||
      !storage_->set_term(std::max<uint64_t>(term, 1) + 1)) {
    suspend_voter();
    return {false, storage_->diagnostic()};
  }
  recent_commands_.clear();
  digests_.clear();
  heartbeats_.clear();
  acknowledged_sent_at_.clear();
  start_raft(false);
  log_("register: generation " + std::to_string(state.generation()) +
       " starts here, as an operator requested");
  return {true, ""};
}

void Node::handle_request(const pb::Ask& request, Now now, ReplyCallback done) {
  now_ = now;
  const auto reply = [done](bool succeeded, const std::string& reason) {
    done(succeeded, succeeded ? "done" : reason);
  };
  pb::Command command;
  switch (request.verb()) {
    case pb::Ask::kStatus:
      return done(true, status(now));
    case pb::Ask::kMap:
      if (machine_.state().map().epoch() == 0) return done(false, "there is no map yet");
      return done(true, shards::to_toml(machine_.map()));
    case pb::Ask::kPlan: {
      const auto plan = shards::rebalance(machine_.map(), machine_.members(), options_.rules.map_limits);
      if (!plan) return done(false, "nothing is to be moved");
      return done(true, shards::to_toml(*plan));
    }
    case pb::Ask::kCalendar: {
      std::ostringstream out;
      const freeze::TimeBounds time = machine_.time_bounds(time_bounds().earliest, time_bounds().latest);
      for (const freeze::Window& w : machine_.calendar().windows) {
        const bool over = time.earliest >= w.end;
        const bool on = time.latest >= w.start && !over;
        out << w.id << " " << freeze::format_instant(w.start) << " " << freeze::format_instant(w.end) << " "
            << (on     ? "in force"
                : over ? "over"
                       : "to come")
            << ", by " << w.declared_by << "\n";
      }
      if (!confirmed(now.steady_us)) out << "not confirmed: no leader is heard, and all changes are closed\n";
      return done(true, out.str());
    }
    case pb::Ask::kProposeMap: {
      const auto parsed = shards::parse_map(request.text());
      const auto* map = std::get_if<shards::Map>(&parsed);
      if (map == nullptr) return done(false, "the map cannot be read");
      *command.mutable_propose_map()->mutable_map() = to_pb(*map);
      return submit_command(std::move(command), reply);
    }
    case pb::Ask::kDeclare: {
      const auto parsed = freeze::parse_calendar(request.text());
      const auto* calendar = std::get_if<freeze::Calendar>(&parsed);
      if (calendar == nullptr) return done(false, "the calendar cannot be read");
      *command.mutable_set_calendar()->mutable_calendar() = to_pb(*calendar);
      return submit_command(std::move(command), reply);
    }
    case pb::Ask::kExcept:
      command.mutable_approve()->set_digest(request.digest());
      command.mutable_approve()->set_approver(request.by());
      command.mutable_approve()->set_minutes(request.minutes());
      return submit_command(std::move(command), reply);
    case pb::Ask::kRestore: {
      if (request.text() != options_.name) {
        return done(false, "this is '" + options_.name + "', not '" + request.text() + "'");
      }
      const CommandResult result = restore_from_folder();
      return done(result.applied,
                  result.applied ? "generation " + std::to_string(generation()) : result.reason);
    }
    default:
      return done(false, "a question that this program does not know");
  }
}

std::string Node::status(Now now) const {
  const pb::State& state = machine_.state();
  std::ostringstream out;
  const char* phase = phase_ == Phase::kLearner         ? "copy"
                      : phase_ == Phase::kQueryingPeers ? "voter, asks who it was"
                      : phase_ == Phase::kConfirming    ? "voter, waits for the others' word on its folder"
                      : phase_ == Phase::kVoting        ? "voter"
                                                        : "voter, its disk failed";
  out << "name " << options_.name << "\nrole " << phase << "\ngeneration " << generation() << "\nleader "
      << (leading_                   ? options_.name
          : confirmed(now.steady_us) ? leader_name_
                                     : "none")
      << "\nindex " << state.index() << "\ndigest " << shards::hex(machine_.digest()) << "\nepoch "
      << state.map().epoch() << "\n";
  if (state.proposed().epoch() != 0) out << "proposed " << state.proposed().epoch() << "\n";
  out << "version " << state.version().number();
  if (state.rolling().number() != 0) out << ", rolling out " << state.rolling().number();
  out << "\nlease " << (now.steady_us < lease_until_ ? "held" : "none") << "\n";
  // The ranges that it acts for at this moment: tests compare them to find two owners of one key.
  out << "at " << now.steady_us << "\n";
  const pb::Map& next = state.proposed().epoch() == 0 ? state.map() : state.proposed();
  for (const pb::Range& range : state.map().range()) {
    for (const pb::Range& after : next.range()) {
      const shards::Key first = std::max(range.first(), after.first());
      const shards::Key last = std::min(range.last(), after.last());
      if (first <= last && ownership(first, now.steady_us) == Ownership::kOwner) {
        out << "owns " << shards::hex(first) << " " << shards::hex(last) << "\n";
      }
    }
  }
  out << "runs " << running_version_ << "\n";
  if (diverged_) out << "diverged\n";
  for (const pb::Member& member : state.member()) {
    out << "member " << member.name() << (member.live() ? " live" : " lost")
        << (member.leaving() ? ", leaving" : "") << "\n";
  }
  return out.str();
}

}  // namespace umberhoist::reg

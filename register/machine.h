// The register's state machine: command in, new state or a refusal with its reason. Deterministic: the same
// commands make the same bytes at each relay. No I/O, no clock: time comes in the command, as bounds.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "freeze/calendar.h"
#include "register/register.pb.h"
#include "shards/plan.h"

namespace umberhoist::reg {

namespace pb = register_pb;

struct StateMachineRules {  // the same at all relays of a fleet: they are part of what a command does
  shards::MapLimits map_limits;
  int64_t guard_us = 60'000'000;             // a roll-out has reached everyone so long before a window
  int64_t rollout_timeout_us = 600'000'000;  // or so long after it began, if no window comes
  // What is agreed on takes effect a little later than the leader's clock said: changes close so long before
  // a window, and a roll-out ends half of its guard before the time at which each relay by itself takes it
  // back.
  int64_t commit_margin_us = 2'000'000;
  size_t max_version_bytes = 64 * 1024;
  size_t max_members = 1024;
  size_t max_approvals = 256;
  uint32_t max_exception_minutes = 24 * 60;  // of an exception
};

struct CommandResult {
  bool applied = false;
  std::string reason;  // why not
};

class StateMachine {
 public:
  explicit StateMachine(StateMachineRules rules) : rules_(rules) { state_.set_generation(1); }

  // `index`: the command's place in the log; grows. A command that is refused changes nothing but the index
  // and the floor of time.
  CommandResult apply(uint64_t index, const pb::Command& command);

  const pb::State& state() const { return state_; }
  void restore(pb::State state);
  std::string serialize() const;  // that a digest is taken of
  uint64_t digest() const;

  shards::Map map() const;
  std::optional<shards::Map> proposed() const;
  const freeze::Calendar& calendar() const { return calendar_; }
  std::vector<shards::Member> members() const;
  const pb::Member* member(const std::string& name) const;

  // Whether a change might be made within these bounds; the floor counts.
  freeze::FreezeDecision evaluate(const freeze::Change& change, freeze::TimeBounds now) const;
  freeze::TimeBounds time_bounds(int64_t earliest, int64_t latest) const;

 private:
  CommandResult members(const pb::Members& command);
  CommandResult propose_map(const pb::ProposeMap& command, freeze::TimeBounds now, uint64_t index);
  CommandResult commit_map(const pb::CommitMap& command, freeze::TimeBounds now, uint64_t index);
  CommandResult set_calendar(const pb::SetCalendar& command, freeze::TimeBounds now);
  CommandResult approve(const pb::Approve& command, freeze::TimeBounds now);
  CommandResult propose_version(const pb::ProposeVersion& command, freeze::TimeBounds now);
  CommandResult finish_version(const pb::FinishVersion& command, freeze::TimeBounds now);
  CommandResult take_back(const pb::TakeBack& command);
  void end_proposal(uint64_t index);
  // True once for a digest that two approvers stand for; uses them up.
  bool excepted(uint64_t digest, freeze::TimeBounds now);

  StateMachineRules rules_;
  pb::State state_;
  freeze::Calendar calendar_;  // as in the state
};

// What an exception names: the change itself, not the file's spaces and comments.
uint64_t digest_of(const shards::Map& map);
uint64_t digest_of(const freeze::Calendar& calendar);
uint64_t digest_of(std::string_view bytes);

pb::Map to_pb(const shards::Map& map);
shards::Map from_pb(const pb::Map& map);
pb::Calendar to_pb(const freeze::Calendar& calendar);
freeze::Calendar from_pb(const pb::Calendar& calendar);

}  // namespace umberhoist::reg

// The register's state machine: applies a command, or refuses it with a reason. Deterministic: the same
// commands give the same serialized state at each relay. No I/O and no clock: a command carries bounds of its
// time.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "freeze/calendar.h"
#include "register/register.pb.h"
#include "shards/plan.h"

namespace umberhoist::reg {

namespace pb = register_pb;

struct StateMachineRules {  // must be equal at all relays of a fleet: the effect of a command depends on them
  shards::MapLimits map_limits;
  int64_t guard_us = 60'000'000;             // a roll-out must have ended this long before a window starts
  int64_t rollout_timeout_us = 600'000'000;  // or this long after its start if no window comes first
  // A command takes effect a little later than its time bounds say. So changes close this long before a
  // window, and a roll-out can be finished only until guard_us / 2 before the time at which each relay ends
  // it by itself.
  int64_t commit_margin_us = 2'000'000;
  size_t max_version_bytes = 64 * 1024;
  size_t max_members = 1024;
  size_t max_approvals = 256;
  uint32_t max_exception_minutes = 24 * 60;  // how long an approval may last
};

struct CommandResult {
  bool applied = false;
  std::string reason;  // of a refusal; empty if applied
};

class StateMachine {
 public:
  explicit StateMachine(StateMachineRules rules) : rules_(rules) { state_.set_generation(1); }

  // `index`: command index, larger than that of the last command. A refused command changes only the index
  // and the floor, a time that has certainly passed.
  CommandResult apply(uint64_t index, const pb::Command& command);

  const pb::State& state() const { return state_; }
  void restore(pb::State state);
  std::string serialize() const;  // input of digest()
  uint64_t digest() const;

  shards::Map map() const;
  std::optional<shards::Map> proposed() const;
  const freeze::Calendar& calendar() const { return calendar_; }
  std::vector<shards::Member> members() const;
  const pb::Member* member(const std::string& name) const;

  // Whether a change is allowed at a time within these bounds, with the floor taken into account.
  freeze::FreezeDecision evaluate(const freeze::Change& change, freeze::TimeBounds now) const;
  freeze::TimeBounds time_bounds(int64_t earliest, int64_t latest) const;

 private:
  CommandResult update_members(const pb::Members& command);
  CommandResult propose_map(const pb::ProposeMap& command, freeze::TimeBounds now, uint64_t index);
  CommandResult commit_map(const pb::CommitMap& command, freeze::TimeBounds now, uint64_t index);
  CommandResult set_calendar(const pb::SetCalendar& command, freeze::TimeBounds now);
  CommandResult approve(const pb::Approve& command, freeze::TimeBounds now);
  CommandResult propose_version(const pb::ProposeVersion& command, freeze::TimeBounds now);
  CommandResult finish_version(const pb::FinishVersion& command, freeze::TimeBounds now);
  CommandResult end_rollout(const pb::TakeBack& command);
  void clear_proposal(uint64_t index);
  // True if two valid approvals exist for the digest. Marks them as used, so that they count only once.
  bool consume_exception(uint64_t digest, freeze::TimeBounds now);

  StateMachineRules rules_;
  pb::State state_;
  freeze::Calendar calendar_;  // decoded from state_
};

// Digest that an exception refers to: of the change itself, without the spaces and comments of its file.
uint64_t digest_of(const shards::Map& map);
uint64_t digest_of(const freeze::Calendar& calendar);
uint64_t digest_of(std::string_view bytes);

pb::Map to_pb(const shards::Map& map);
shards::Map from_pb(const pb::Map& map);
pb::Calendar to_pb(const freeze::Calendar& calendar);
freeze::Calendar from_pb(const pb::Calendar& calendar);

}  // namespace umberhoist::reg

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

struct Rules {  // the same at all relays of a fleet: they are part of what a command does
  shards::Bounds map;
  int64_t guard_us = 60'000'000;     // a roll-out has reached everyone so long before a window
  int64_t rollout_us = 600'000'000;  // or so long after it began, if no window comes
  // What is agreed on takes effect a little later than the leader's clock said: changes close so long before
  // a window, and a roll-out ends half of its guard before the time at which each relay by itself takes it
  // back.
  int64_t late_us = 2'000'000;
  size_t most_version_bytes = 64 * 1024;
  size_t most_members = 1024;
  size_t most_approvals = 256;
  uint32_t most_minutes = 24 * 60;  // of an exception
};

struct Result {
  bool done = false;
  std::string reason;  // why not
};

class Machine {
 public:
  explicit Machine(Rules rules) : rules_(rules) { state_.set_generation(1); }

  // `index`: the command's place in the log; grows. A command that is refused changes nothing but the index
  // and the floor of time.
  Result apply(uint64_t index, const pb::Command& command);

  const pb::State& state() const { return state_; }
  void restore(pb::State state);
  std::string bytes() const;  // that a digest is taken of
  uint64_t digest() const;

  shards::Map map() const;
  std::optional<shards::Map> proposed() const;
  const freeze::Calendar& calendar() const { return calendar_; }
  std::vector<shards::Member> members() const;
  const pb::Member* member(const std::string& name) const;

  // Whether a change might be made within these bounds; the floor counts.
  freeze::Verdict judge(const freeze::Change& change, freeze::Bounds now) const;
  freeze::Bounds bounds(int64_t earliest, int64_t latest) const;

 private:
  Result members(const pb::Members& command);
  Result propose_map(const pb::ProposeMap& command, freeze::Bounds now, uint64_t index);
  Result commit_map(const pb::CommitMap& command, freeze::Bounds now, uint64_t index);
  Result set_calendar(const pb::SetCalendar& command, freeze::Bounds now);
  Result approve(const pb::Approve& command, freeze::Bounds now);
  Result propose_version(const pb::ProposeVersion& command, freeze::Bounds now);
  Result finish_version(const pb::FinishVersion& command, freeze::Bounds now);
  Result take_back(const pb::TakeBack& command);
  void end_proposal(uint64_t index);
  // True once for a digest that two approvers stand for; uses them up.
  bool excepted(uint64_t digest, freeze::Bounds now);

  Rules rules_;
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

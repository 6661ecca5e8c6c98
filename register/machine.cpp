#include "register/machine.h"

#include <xxhash.h>

#include <algorithm>

namespace umberhoist::reg {
namespace {

CommandResult refuse(std::string reason) { return {false, std::move(reason)}; }
const CommandResult kApplied{true, ""};

constexpr size_t kMaxMemberNameBytes = 64;

// Index of the item with this name in a list sorted by name, or the index where it would be inserted.
template <class Items, class Name>
int sorted_position(const Items& items, const Name& name) {
  return static_cast<int>(std::lower_bound(items.begin(), items.end(), name,
                                           [](const auto& a, const auto& b) { return a.name() < b; }) -
                          items.begin());
}

template <class Items, class Item>
void insert_at(Items* items, int at, Item item) {
  items->Add(std::move(item));
  for (int i = items->size() - 1; i > at; --i) items->SwapElements(i, i - 1);
}

}  // namespace

uint64_t digest_of(std::string_view bytes) { return XXH64(bytes.data(), bytes.size(), 0); }
uint64_t digest_of(const shards::Map& map) { return digest_of(to_pb(map).SerializeAsString()); }
uint64_t digest_of(const freeze::Calendar& calendar) {
  return digest_of(to_pb(calendar).SerializeAsString());
}

pb::Map to_pb(const shards::Map& map) {
  pb::Map out;
  out.set_epoch(map.epoch);
  out.set_hash(map.hash);
  for (const shards::Range& range : map.ranges) {
    pb::Range* to = out.add_range();
    to->set_first(range.first);
    to->set_last(range.last);
    to->set_owner(range.owner);
  }
  return out;
}

shards::Map from_pb(const pb::Map& map) {
  shards::Map out;
  out.epoch = map.epoch();
  out.hash = map.hash();
  for (const pb::Range& range : map.range())
    out.ranges.push_back({range.first(), range.last(), range.owner(), 0});
  return out;
}

pb::Calendar to_pb(const freeze::Calendar& calendar) {
  pb::Calendar out;
  for (const freeze::Window& window : calendar.windows) {
    pb::Window* to = out.add_window();
    to->set_id(window.id);
    to->set_name(window.name);
    to->set_start(window.start);
    to->set_end(window.end);
    for (const freeze::ChangeKind kind : window.change_kinds) to->add_change(freeze::name(kind));
    for (const int64_t destination : window.destinations) to->add_destination(destination);
    to->set_declared_by(window.declared_by);
    to->set_notice_s(window.notice_s);
  }
  for (const std::string& approver : calendar.approvers) out.add_approver(approver);
  return out;
}

freeze::Calendar from_pb(const pb::Calendar& calendar) {
  freeze::Calendar out;
  for (const pb::Window& window : calendar.window()) {
    freeze::Window to;
    to.id = window.id();
    to.name = window.name();
    to.start = window.start();
    to.end = window.end();
    for (const std::string& kind : window.change()) {
      if (const auto known = freeze::parse_change_kind(kind)) to.change_kinds.insert(*known);
    }
    to.destinations.insert(window.destination().begin(), window.destination().end());
    to.declared_by = window.declared_by();
    to.notice_s = window.notice_s();
    out.windows.push_back(std::move(to));
  }
  std::sort(out.windows.begin(), out.windows.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
  out.approvers.insert(calendar.approver().begin(), calendar.approver().end());
  return out;
}

void StateMachine::restore(pb::State state) {
  state_ = std::move(state);
  calendar_ = from_pb(state_.calendar());
}

std::string StateMachine::serialize() const { return state_.SerializeAsString(); }
uint64_t StateMachine::digest() const { return digest_of(serialize()); }

shards::Map StateMachine::map() const { return from_pb(state_.map()); }

std::optional<shards::Map> StateMachine::proposed() const {
  if (state_.proposed().epoch() == 0) return std::nullopt;
  return from_pb(state_.proposed());
}

std::vector<shards::Member> StateMachine::members() const {
  std::vector<shards::Member> out;
  for (const pb::Member& m : state_.member()) {
    out.push_back(
        {m.name(), m.weight(), m.zone(), m.live(), m.leaving(), m.generation() == state_.generation()});
  }
  return out;
}

const pb::Member* StateMachine::member(const std::string& name) const {
  const int at = sorted_position(state_.member(), name);
  return at < state_.member_size() && state_.member(at).name() == name ? &state_.member(at) : nullptr;
}

// state_.floor is a time that has certainly passed. A clock that was set back therefore cannot reopen changes
// that a window had closed.
freeze::TimeBounds StateMachine::time_bounds(int64_t earliest, int64_t latest) const {
  return {earliest, std::max(latest, state_.floor())};
}

freeze::FreezeDecision StateMachine::evaluate(const freeze::Change& change, freeze::TimeBounds now) const {
  return freeze::evaluate(calendar_, change, time_bounds(now.earliest, now.latest));
}

CommandResult StateMachine::apply(uint64_t index, const pb::Command& command) {
  if (index <= state_.index()) return refuse("command " + std::to_string(index) + " was applied before");
  state_.set_index(index);
  if (command.earliest() > command.latest()) return refuse("its time ends before it begins");
  freeze::TimeBounds now = time_bounds(command.earliest(), command.latest());
  now.latest += rules_.commit_margin_us;
  state_.set_floor(std::max(state_.floor(), command.earliest()));
  switch (command.what_case()) {
    case pb::Command::kMembers:
      return update_members(command.members());
    case pb::Command::kProposeMap:
      return propose_map(command.propose_map(), now, index);
    case pb::Command::kCommitMap:
      return commit_map(command.commit_map(), now, index);
    case pb::Command::kSetCalendar:
      return set_calendar(command.set_calendar(), now);
    case pb::Command::kApprove:
      return approve(command.approve(), now);
    case pb::Command::kProposeVersion:
      return propose_version(command.propose_version(), now);
    case pb::Command::kFinishVersion:
      return finish_version(command.finish_version(), now);
    case pb::Command::kTakeBack:
      return end_rollout(command.take_back());
    case pb::Command::kLead:
      state_.set_lead(command.lead().name());
      state_.set_lead_index(index);
      return kApplied;
    case pb::Command::WHAT_NOT_SET:
      break;
  }
  return refuse("a command that this program does not know");
}

CommandResult StateMachine::update_members(const pb::Members& command) {
  for (const pb::Member& seen : command.seen()) {
    if (seen.name().empty() || seen.name().size() > kMaxMemberNameBytes || !(seen.weight() >= 0)) continue;
    const int at = sorted_position(state_.member(), seen.name());
    pb::Member* member = nullptr;
    if (at < state_.member_size() && state_.member(at).name() == seen.name()) {
      member = state_.mutable_member(at);
    } else {
      if (state_.member_size() >= static_cast<int>(rules_.max_members))
        return refuse("no room for another member");
      insert_at(state_.mutable_member(), at, pb::Member());
      member = state_.mutable_member(at);
    }
    *member = seen;
    member->set_live(true);
    member->set_generation(state_.generation());
  }
  for (const std::string& name : command.lost()) {
    const int at = sorted_position(state_.member(), name);
    if (at < state_.member_size() && state_.member(at).name() == name)
      state_.mutable_member(at)->set_live(false);
  }
  return kApplied;
}

bool StateMachine::consume_exception(uint64_t digest, freeze::TimeBounds now) {
  std::vector<pb::Approval*> valid;
  for (pb::Approval& approval : *state_.mutable_approval()) {
    if (approval.digest() == digest && !approval.used() && now.latest < approval.until() &&
        calendar_.approvers.contains(approval.approver())) {
      valid.push_back(&approval);
    }
  }
  if (valid.size() < 2) return false;
  for (pb::Approval* approval : valid) approval->set_used(true);
  return true;
}

CommandResult StateMachine::propose_map(const pb::ProposeMap& command, freeze::TimeBounds now,
                                        uint64_t index) {
  // A repeated proposal, as after a lost answer, succeeds.
  if (from_pb(command.map()) == from_pb(state_.proposed()) || from_pb(command.map()) == map())
    return kApplied;
  if (state_.proposed().epoch() != 0) {
    return refuse("a map of epoch " + std::to_string(state_.proposed().epoch()) +
                  " is being prepared; propose again on what comes of it");
  }
  const shards::Map current = map();
  const shards::Map next = from_pb(command.map());
  const auto all = members();
  const shards::ValidationContext context{
      current.epoch == 0 ? nullptr : &current, &all, rules_.map_limits,
      command.repair() ? shards::MapChangeType::kRepair : shards::MapChangeType::kRebalance};
  const auto errors = shards::validate(next, context);
  if (!errors.empty()) {
    std::string reasons;
    for (const auto& error : errors) reasons += (reasons.empty() ? "" : "; ") + error.message;
    return refuse(reasons);
  }
  // The first map moves no keys, and a repair must not wait: windows apply to neither.
  bool exception = false;
  if (!command.repair() && current.epoch != 0) {
    const auto decision = freeze::evaluate(calendar_, {freeze::ChangeKind::kMap, {}}, now);
    if (decision.closed && !(exception = consume_exception(digest_of(next), now)))
      return refuse(decision.reason);
  }
  state_.set_proposed_excepted(exception);
  *state_.mutable_proposed() = command.map();
  state_.set_proposed_repair(command.repair());
  state_.set_map_index(index);
  return kApplied;
}

// The map is validated again: an owner may have been lost since it was proposed.
CommandResult StateMachine::commit_map(const pb::CommitMap& command, freeze::TimeBounds now, uint64_t index) {
  if (state_.proposed().epoch() == 0 || command.map_index() != state_.map_index()) {
    return refuse("it is not the map that is being prepared");
  }
  const shards::Map current = map();
  const shards::Map next = from_pb(state_.proposed());
  const auto all = members();
  shards::ValidationContext context{
      current.epoch == 0 ? nullptr : &current, &all, rules_.map_limits,
      state_.proposed_repair() ? shards::MapChangeType::kRepair : shards::MapChangeType::kRebalance};
  // Shares were validated when the map was proposed. A member that has joined since is not in it, which would
  // count as a share that is too small.
  context.limits.share_factor = 0;
  // An owner that was lost when the repair was proposed may be back. Moving its keys was right at that time.
  if (state_.proposed_repair()) context.current = nullptr;
  std::string reason;
  for (const auto& error : shards::validate(next, context)) {
    if (reason.empty()) reason = error.message;
  }
  if (reason.empty() && next.epoch != current.epoch + 1) reason = "its epoch is not the next";
  // A window may have started since the proposal.
  if (reason.empty() && !state_.proposed_repair() && !state_.proposed_excepted() && current.epoch != 0) {
    reason = freeze::evaluate(calendar_, {freeze::ChangeKind::kMap, {}}, now).reason;
  }
  if (reason.empty()) state_.mutable_map()->Swap(state_.mutable_proposed());
  clear_proposal(index);
  return reason.empty() ? kApplied : refuse(reason);
}

void StateMachine::clear_proposal(uint64_t index) {
  state_.clear_proposed();
  state_.clear_proposed_repair();
  state_.clear_proposed_excepted();
  state_.set_map_index(index);
}

CommandResult StateMachine::set_calendar(const pb::SetCalendar& command, freeze::TimeBounds now) {
  const freeze::Calendar next = from_pb(command.calendar());
  for (size_t i = 0; i < next.windows.size(); ++i) {
    const auto& window = next.windows[i];
    if (window.start >= window.end || window.id.empty())
      return refuse("window '" + window.id + "' has no time");
    if (i > 0 && next.windows[i - 1].id == window.id)
      return refuse("window '" + window.id + "' is given twice");
  }
  if (next.windows.size() > freeze::kMaxWindows) return refuse("too many windows");
  const auto violations = freeze::edit_violations(calendar_, next, now);
  if (!violations.empty() && !consume_exception(digest_of(next), now)) {
    std::string all;
    for (const std::string& line : violations) all += (all.empty() ? "" : "; ") + line;
    return refuse(all);
  }
  calendar_ = next;
  *state_.mutable_calendar() = to_pb(next);
  if (state_.rolling().number() != 0 && !state_.rolling_excepted()) {
    // A newly declared window also applies to a roll-out in progress.
    const freeze::Change change{freeze::ChangeKind::kReload, {}};
    int64_t by = state_.rolling_by();
    if (freeze::evaluate(calendar_, change, now).closed) by = std::min(by, now.earliest);
    if (const auto start = freeze::next_window_start(calendar_, change, now.latest)) {
      by = std::min(by, *start - rules_.guard_us);
    }
    state_.set_rolling_by(by);
  }
  return kApplied;
}

CommandResult StateMachine::approve(const pb::Approve& command, freeze::TimeBounds now) {
  if (!calendar_.approvers.contains(command.approver())) {
    return refuse("'" + command.approver() + "' is not among the approvers of the calendar");
  }
  if (command.minutes() == 0 || command.minutes() > rules_.max_exception_minutes) {
    return refuse("minutes are out of range; expected 1 to " + std::to_string(rules_.max_exception_minutes));
  }
  auto* all = state_.mutable_approval();
  // Drops expired approvals, by the earliest possible time, so that none is dropped too soon.
  for (int i = all->size() - 1; i >= 0; --i) {
    if (now.earliest >= all->Get(i).until()) all->DeleteSubrange(i, 1);
  }
  const int64_t until = now.earliest + int64_t{command.minutes()} * 60'000'000;
  const auto before = [](const pb::Approval& a, const pb::Approve& b) {
    return a.digest() != b.digest() ? a.digest() < b.digest() : a.approver() < b.approver();
  };
  const int at = static_cast<int>(std::lower_bound(all->begin(), all->end(), command, before) - all->begin());
  if (at < all->size() && all->Get(at).digest() == command.digest() &&
      all->Get(at).approver() == command.approver()) {
    if (all->Get(at).used())
      return refuse("its exception was used; a change takes a new one once that is over");
    return kApplied;  // a repeated approval does not extend the first one
  }
  if (all->size() >= static_cast<int>(rules_.max_approvals)) return refuse("no room for another approval");
  pb::Approval approval;
  approval.set_digest(command.digest());
  approval.set_approver(command.approver());
  approval.set_until(until);
  insert_at(all, at, std::move(approval));
  return kApplied;
}

CommandResult StateMachine::propose_version(const pb::ProposeVersion& command, freeze::TimeBounds now) {
  if (command.text().size() > rules_.max_version_bytes) return refuse("the configuration is too large");
  if (command.digest() != digest_of(command.text()))
    return refuse("the configuration is not what its digest says");
  if (state_.rolling().number() != 0) {
    if (state_.rolling().digest() == command.digest()) return kApplied;
    return refuse("version " + std::to_string(state_.rolling().number()) +
                  " is on its way; wait for its end");
  }
  const freeze::Change change{freeze::ChangeKind::kReload, {}};
  const auto decision = freeze::evaluate(calendar_, change, now);
  bool exception = false;
  if (decision.closed) {
    exception = consume_exception(command.digest(), now);
    if (!exception) return refuse(decision.reason);
  }
  if (state_.version().number() != 0 && state_.version().digest() == command.digest()) return kApplied;
  int64_t by = now.latest + rules_.rollout_timeout_us;
  // A window whose start lies within the time bounds counts as in force in the decision above.
  if (const auto start = freeze::next_window_start(calendar_, change, now.latest)) {
    if (*start - rules_.guard_us <= now.latest && !exception) {
      return refuse("a window starts at " + freeze::format_instant(*start) +
                    "; a roll-out has to be over before it: wait until the window's end");
    }
    if (!exception) by = std::min(by, *start - rules_.guard_us);
  }
  pb::Version* rolling = state_.mutable_rolling();
  rolling->set_number(state_.last_number() + 1);
  rolling->set_digest(command.digest());
  rolling->set_text(command.text());
  state_.set_rolling_by(by);
  state_.set_rolling_excepted(exception);
  state_.set_last_number(rolling->number());
  return kApplied;
}

// Compares the latest possible time: a roll-out that may have missed its deadline counts as late.
CommandResult StateMachine::finish_version(const pb::FinishVersion& command, freeze::TimeBounds now) {
  if (state_.rolling().number() == 0 || state_.rolling().number() != command.number()) {
    return refuse("it is not the version on its way");
  }
  if (now.latest > state_.rolling_by() - rules_.guard_us / 2)
    return refuse("its time is over: it is to be taken back");
  state_.mutable_version()->Swap(state_.mutable_rolling());
  state_.clear_rolling();
  state_.clear_rolling_by();
  state_.clear_rolling_excepted();
  return kApplied;
}

CommandResult StateMachine::end_rollout(const pb::TakeBack& command) {
  if (state_.rolling().number() == 0 || state_.rolling().number() != command.number()) {
    return refuse("it is not the version on its way");
  }
  state_.clear_rolling();
  state_.clear_rolling_by();
  state_.clear_rolling_excepted();
  return kApplied;
}

}  // namespace umberhoist::reg

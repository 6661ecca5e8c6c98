#include "rules_checker.h"

#include <algorithm>

namespace firspool::testing {

void RulesChecker::fault(uint64_t id, const std::string& what) {
  faults_.push_back("message " + std::to_string(id) + ": " + what);
}

std::pair<int, Endpoint> RulesChecker::limit_group(const Member& member) const {
  const bool apart =
      member.kind < static_cast<int>(set_.kinds.size()) && set_.kinds[member.kind].independent_endpoints;
  return {member.destination, apart ? member.endpoint : Endpoint{}};
}

void RulesChecker::before(Time now, std::span<const Event> events) {
  for (const Event& event : events) {
    if (const auto* list = std::get_if<MembersChanged>(&event); list && list->members) {
      if (list->form == MembersChanged::Form::kFull) {
        for (const auto& [endpoint, member] : members_) drained_at_.try_emplace(endpoint, now);
      }
      for (const Member& member : *list->members) {
        members_[member.endpoint] = member;
        if (member.state == HostState::kReady) {
          drained_at_.erase(member.endpoint);
        } else {
          drained_at_.try_emplace(member.endpoint, now);
        }
      }
    } else if (const auto* arrival = std::get_if<Arrival>(&event)) {
      Held& held = held_[arrival->id];
      held.in = *arrival;
      held.order = ++arrivals_;
    } else if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
      const auto it = held_.find(ended->id);
      if (it == held_.end() || ended->attempt >= static_cast<int>(it->second.sent.size())) continue;
      Sent& sent = it->second.sent[ended->attempt];
      sent.out = false;
      if (--calls_[sent.call] == 0) calls_.erase(sent.call);
      const Outcome o = ended->outcome;
      sent.ran = o != Outcome::kRefused && o != Outcome::kConnectFailed && o != Outcome::kNotStarted;
      if (ended->final) it->second.ended = true;
      if (o == Outcome::kRefused && ended->retry_after > 0) {
        Time& wait = waits_[limit_group(members_[sent.endpoint])];
        wait = std::max(wait, now + ended->retry_after);
      }
      if (o == Outcome::kTimeout || o == Outcome::kReset || o == Outcome::kCancelled) {
        rests_[it->second.in.key] = {now + set_.in_order_pause, ended->id};
      }
    } else if (const auto* gone = std::get_if<Withdrawn>(&event)) {
      const auto it = held_.find(gone->id);
      if (it != held_.end()) it->second.ended = true;
    }
  }
}

void RulesChecker::after(Time now, std::span<const Action> actions) {
  round_.clear();
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<Send>(&action)) check_send(now, *send);
    if (const auto* refuse = std::get_if<Refuse>(&action)) check_refuse(refuse->id);
    if (const auto* fail = std::get_if<Fail>(&action)) {
      Held& held = held_[fail->id];
      if (held.ended) fault(fail->id, "answered twice");
      held.ended = true;
    }
    if (std::holds_alternative<Probe>(action) && !set_.may_probe) fault(0, "probe where none is allowed");
  }
  for (const auto& [id, held] : held_) {
    if (!held.ended && now > held.in.due + set_.reply_slack) fault(id, "lost");
  }
}

void RulesChecker::check_send(Time now, const Send& send) {
  const auto it = held_.find(send.id);
  if (it == held_.end()) return fault(send.id, "sent but never taken");
  Held& held = it->second;
  const ClassSettings& c = set_.classes[held.in.message_class];
  if (held.ended) fault(send.id, "sent after its end");
  const auto member = members_.find(send.endpoint);
  if (member == members_.end()) return fault(send.id, "sent to an endpoint that was never listed");
  if (member->second.destination != held.in.destination) fault(send.id, "sent to another destination");
  for (const Sent& earlier : held.sent) {
    if (earlier.out) fault(send.id, "two attempts at once");
    if (!earlier.ran) continue;
    if (c.effect == Effect::kUnsafe) fault(send.id, "unsafe message repeated");
    if (c.effect != Effect::kKeyed) continue;
    if (now > earlier.at + c.key_window) fault(send.id, "repeated after its window");
    const Member& first = members_[earlier.endpoint];
    if (c.key_scope == KeyScope::kZone && first.zone != member->second.zone) fault(send.id, "left its group");
  }
  if (static_cast<int>(held.sent.size()) >= set_.max_attempts) fault(send.id, "too many attempts");
  const auto drained = drained_at_.find(send.endpoint);
  if (drained != drained_at_.end() && now > drained->second + set_.drain_grace)
    fault(send.id, "drain broken");
  const auto wait = waits_.find(limit_group(member->second));
  if (wait != waits_.end() && now < wait->second) fault(send.id, "sent inside a told wait");
  if (c.in_order && held.in.key != 0) check_order(now, send.id, held);
  held.sent.push_back({send.endpoint, now, join_call(member->second)});
  if (static_cast<int>(calls_.size()) > set_.slots) fault(send.id, "no slot was free");
}

// Sends of one round to one endpoint share a call, as far as its kind allows.
uint64_t RulesChecker::join_call(const Member& member) {
  const auto open = round_.find(member.endpoint);
  if (open == round_.end() || calls_[open->second] >= set_.kinds[member.kind].max_batch) {
    round_[member.endpoint] = ++last_call_;
  }
  ++calls_[round_[member.endpoint]];
  return round_[member.endpoint];
}

void RulesChecker::check_order(Time now, uint64_t id, const Held& held) {
  for (const auto& [other_id, other] : held_) {
    const bool same = set_.classes[other.in.message_class].in_order && other.in.key == held.in.key;
    if (!same || other.order >= held.order) continue;
    const bool out = std::any_of(other.sent.begin(), other.sent.end(), [](const Sent& s) { return s.out; });
    if (!other.ended || out) fault(id, "out of turn");
  }
  const auto rest = rests_.find(held.in.key);
  if (rest != rests_.end() && rest->second.second != id && now < rest->second.first) {
    fault(id, "key had no rest");
  }
}

void RulesChecker::check_refuse(uint64_t id) {
  const auto it = held_.find(id);
  if (it == held_.end()) return fault(id, "refused but never taken");
  Held& held = it->second;
  if (held.ended) fault(id, "answered twice");
  held.ended = true;
  const ClassSettings& c = set_.classes[held.in.message_class];
  for (const Sent& sent : held.sent) {
    if (!sent.out && !sent.ran) continue;
    const bool harmless =
        c.effect == Effect::kSafe || (c.effect == Effect::kKeyed && c.key_scope == KeyScope::kAll);
    if (harmless) continue;
    fault(id, "refused though it may have run");
    return;
  }
}

size_t RulesChecker::owed() const {
  return std::count_if(held_.begin(), held_.end(), [](const auto& item) { return !item.second.ended; });
}

}  // namespace firspool::testing

#include "rules_checker.h"

#include <algorithm>

namespace firspool::testing {

void RulesChecker::add_violation(uint64_t id, const std::string& what) {
  violations_.push_back("message " + std::to_string(id) + ": " + what);
}

std::pair<int, Endpoint> RulesChecker::route_of(const Member& member) const {
  const bool independent = member.kind < static_cast<int>(settings_.kinds.size()) &&
                           settings_.kinds[member.kind].independent_endpoints;
  return {member.destination, independent ? member.endpoint : Endpoint{}};
}

void RulesChecker::before(Time now, std::span<const Event> events) {
  for (const Event& event : events) {
    if (const auto* list = std::get_if<MembersChanged>(&event); list && list->members) {
      if (list->form == MembersChanged::Form::kFull) {
        for (const auto& [endpoint, member] : members_) not_ready_since_.try_emplace(endpoint, now);
      }
      for (const Member& member : *list->members) {
        members_[member.endpoint] = member;
        if (member.state == HostState::kReady) {
          not_ready_since_.erase(member.endpoint);
        } else {
          not_ready_since_.try_emplace(member.endpoint, now);
        }
      }
    } else if (const auto* arrival = std::get_if<Arrival>(&event)) {
      TrackedMessage& message = messages_[arrival->id];
      message.arrival = *arrival;
      message.arrival_number = ++arrivals_;
    } else if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
      const auto it = messages_.find(ended->id);
      if (it == messages_.end() || ended->attempt >= static_cast<int>(it->second.attempts.size())) continue;
      SentAttempt& sent = it->second.attempts[ended->attempt];
      sent.in_flight = false;
      if (--calls_in_flight_[sent.call_id] == 0) calls_in_flight_.erase(sent.call_id);
      const Outcome outcome = ended->outcome;
      sent.maybe_executed = outcome != Outcome::kRefused && outcome != Outcome::kConnectFailed &&
                            outcome != Outcome::kNotStarted;
      if (ended->final) it->second.finished = true;
      if (outcome == Outcome::kRefused && ended->retry_after > 0) {
        Time& wait = retry_after_until_[route_of(members_[sent.endpoint])];
        wait = std::max(wait, now + ended->retry_after);
      }
      if (outcome == Outcome::kTimeout || outcome == Outcome::kReset || outcome == Outcome::kCancelled) {
        key_pauses_[it->second.arrival.key] = {now + settings_.in_order_pause, ended->id};
      }
    } else if (const auto* withdrawn = std::get_if<Withdrawn>(&event)) {
      const auto it = messages_.find(withdrawn->id);
      if (it != messages_.end()) it->second.finished = true;
    }
  }
}

void RulesChecker::after(Time now, std::span<const Action> actions) {
  open_calls_.clear();
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<Send>(&action)) check_send(now, *send);
    if (const auto* refuse = std::get_if<Refuse>(&action)) check_refuse(refuse->id);
    if (const auto* fail = std::get_if<Fail>(&action)) {
      TrackedMessage& message = messages_[fail->id];
      if (message.finished) add_violation(fail->id, "ended twice");
      message.finished = true;
    }
    if (std::holds_alternative<Probe>(action) && !settings_.may_probe)
      add_violation(0, "probe although probes are not allowed");
  }
  for (const auto& [id, message] : messages_) {
    if (!message.finished && now > message.arrival.due + settings_.reply_slack)
      add_violation(id, "no final answer by its due time");
  }
}

void RulesChecker::check_send(Time now, const Send& send) {
  const auto it = messages_.find(send.id);
  if (it == messages_.end()) return add_violation(send.id, "sent without an arrival");
  TrackedMessage& message = it->second;
  const ClassSettings& c = settings_.classes[message.arrival.message_class];
  if (message.finished) add_violation(send.id, "sent after its end");
  const auto member = members_.find(send.endpoint);
  if (member == members_.end()) return add_violation(send.id, "sent to an endpoint that was never listed");
  if (member->second.destination != message.arrival.destination)
    add_violation(send.id, "sent to another destination");
  for (const SentAttempt& earlier : message.attempts) {
    if (earlier.in_flight) add_violation(send.id, "two attempts at once");
    if (!earlier.maybe_executed) continue;
    if (c.effect == Effect::kUnsafe) add_violation(send.id, "unsafe message repeated");
    if (c.effect != Effect::kKeyed) continue;
    if (now > earlier.sent + c.key_window) add_violation(send.id, "repeated after its key window");
    const Member& first = members_[earlier.endpoint];
    if (c.key_scope == KeyScope::kZone && first.zone != member->second.zone)
      add_violation(send.id, "repeated outside its key scope");
  }
  if (static_cast<int>(message.attempts.size()) >= settings_.max_attempts)
    add_violation(send.id, "too many attempts");
  const auto drained = not_ready_since_.find(send.endpoint);
  if (drained != not_ready_since_.end() && now > drained->second + settings_.drain_grace)
    add_violation(send.id, "sent to a host that is not ready, after the drain grace");
  const auto wait = retry_after_until_.find(route_of(member->second));
  if (wait != retry_after_until_.end() && now < wait->second)
    add_violation(send.id, "sent during a requested wait");
  if (c.in_order && message.arrival.key != 0) check_order(now, send.id, message);
  message.attempts.push_back({send.endpoint, now, join_call(member->second)});
  if (static_cast<int>(calls_in_flight_.size()) > settings_.slots)
    add_violation(send.id, "more calls in flight than slots");
}

// Sends to one endpoint in the same step share a call, up to the batch size of its kind.
uint64_t RulesChecker::join_call(const Member& member) {
  const auto open_call = open_calls_.find(member.endpoint);
  if (open_call == open_calls_.end() ||
      calls_in_flight_[open_call->second] >= settings_.kinds[member.kind].max_batch) {
    open_calls_[member.endpoint] = ++last_call_id_;
  }
  ++calls_in_flight_[open_calls_[member.endpoint]];
  return open_calls_[member.endpoint];
}

void RulesChecker::check_order(Time now, uint64_t id, const TrackedMessage& message) {
  for (const auto& [other_id, other] : messages_) {
    const bool same =
        settings_.classes[other.arrival.message_class].in_order && other.arrival.key == message.arrival.key;
    if (!same || other.arrival_number >= message.arrival_number) continue;
    const bool in_flight = std::any_of(other.attempts.begin(), other.attempts.end(),
                                       [](const SentAttempt& s) { return s.in_flight; });
    if (!other.finished || in_flight) add_violation(id, "sent out of order");
  }
  const auto pause = key_pauses_.find(message.arrival.key);
  if (pause != key_pauses_.end() && pause->second.second != id && now < pause->second.first) {
    add_violation(id, "sent during the pause of its key");
  }
}

void RulesChecker::check_refuse(uint64_t id) {
  const auto it = messages_.find(id);
  if (it == messages_.end()) return add_violation(id, "refused without an arrival");
  TrackedMessage& message = it->second;
  if (message.finished) add_violation(id, "ended twice");
  message.finished = true;
  const ClassSettings& c = settings_.classes[message.arrival.message_class];
  for (const SentAttempt& sent : message.attempts) {
    if (!sent.in_flight && !sent.maybe_executed) continue;
    const bool harmless =
        c.effect == Effect::kSafe || (c.effect == Effect::kKeyed && c.key_scope == KeyScope::kAll);
    if (harmless) continue;
    add_violation(id, "refused although it may have been executed");
    return;
  }
}

size_t RulesChecker::unanswered_count() const {
  return std::count_if(messages_.begin(), messages_.end(),
                       [](const auto& item) { return !item.second.finished; });
}

}  // namespace firspool::testing

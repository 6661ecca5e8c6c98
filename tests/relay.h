// A policy under test together with the rules checker.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <utility>
#include <vector>

#include "firspool/policy.h"
#include "rules_checker.h"

namespace firspool::testing {

constexpr Time kSecond = 1'000'000;

class Relay {
 public:
  explicit Relay(const Settings& settings, uint64_t seed = 1)
      : settings_(settings), policy_(settings, seed), checker_(settings) {}
  ~Relay() {
    for (const std::string& violation : checker_.violations()) ADD_FAILURE() << violation;
  }

  std::vector<Action> step(Time now, const std::vector<Event>& events) {
    checker_.before(now, events);
    std::vector<Action> actions;
    policy_.step(now, events, actions);
    checker_.after(now, actions);
    return actions;
  }

  // Runs empty steps up to a time, as timers would; returns all actions.
  std::vector<Action> run_idle(Time from, Time to, Time every = 50'000) {
    std::vector<Action> all;
    for (Time t = from; t <= to; t += every) {
      for (Action& action : step(t, {})) all.push_back(std::move(action));
    }
    return all;
  }

  Arrival message(uint64_t id, Time now, int message_class = 0, int destination = 1) const {
    Arrival out;
    out.id = id;
    out.message_class = message_class;
    out.destination = destination;
    out.due = now + settings_.classes[message_class].give_up;
    return out;
  }

  size_t unanswered_count() const { return checker_.unanswered_count(); }

 private:
  Settings settings_;
  Policy policy_;
  RulesChecker checker_;
};

// Two classes (0 safe, 1 unsafe) and two kinds (0 with a shared limit, 1 with independent endpoints).
inline Settings basic_settings() {
  Settings s;
  s.classes.resize(2);
  s.classes[0].effect = Effect::kSafe;
  s.classes[1].effect = Effect::kUnsafe;
  for (ClassSettings& c : s.classes) {
    c.target = 2 * kSecond;
    c.give_up = 20 * kSecond;
    c.late_worth = 0.3;
  }
  s.kinds.resize(2);
  s.kinds[1].independent_endpoints = true;
  s.slots = 8;
  s.max_open = 200;
  s.max_attempts = 6;
  s.tick = 5000;
  s.reply_slack = 20'000;
  s.drain_grace = kSecond;
  s.slow_start = 10 * kSecond;
  s.overload_window = 3 * kSecond;
  s.overload_factor = 2;
  s.start_capacity = 0.25;
  s.conn_idle_timeout = 10 * kSecond;
  return s;
}

inline Member member(uint32_t address, int destination = 1, int kind = 0,
                     HostState listing = HostState::kReady) {
  Member m;
  m.endpoint = {address, 80};
  m.destination = destination;
  m.kind = kind;
  m.state = listing;
  return m;
}

inline MembersChanged members(std::vector<Member> list,
                              MembersChanged::Form form = MembersChanged::Form::kFull) {
  MembersChanged out;
  out.form = form;
  out.members = std::make_shared<std::vector<Member>>(std::move(list));
  return out;
}

inline AttemptEnded ended(const Send& send, int attempt, Outcome outcome, Time took = 100'000,
                          Time wait = 0) {
  AttemptEnded out;
  out.id = send.id;
  out.attempt = attempt;
  out.endpoint = send.endpoint;
  out.outcome = outcome;
  out.final = outcome == Outcome::kOk;
  out.duration = took;
  out.retry_after = wait;
  return out;
}

template <typename T>
std::vector<T> all_of(const std::vector<Action>& actions) {
  std::vector<T> out;
  for (const Action& action : actions) {
    if (const T* item = std::get_if<T>(&action)) out.push_back(*item);
  }
  return out;
}

}  // namespace firspool::testing

// Observes the events and actions of a Policy and reports each broken rule. Knows nothing of the
// implementation.
#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "firspool/policy.h"

namespace firspool::testing {

class RulesChecker {
 public:
  explicit RulesChecker(Settings settings) : settings_(std::move(settings)) {}

  // Call with the events before each step, and with the actions after it.
  void before(Time now, std::span<const Event> events);
  void after(Time now, std::span<const Action> actions);

  // Number of messages without a final answer.
  size_t unanswered_count() const;
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct SentAttempt {
    Endpoint endpoint;
    Time sent = 0;
    uint64_t call_id = 0;
    bool in_flight = true;
    bool maybe_executed = false;
  };
  struct TrackedMessage {
    Arrival arrival;
    std::vector<SentAttempt> attempts;
    bool finished = false;
    uint64_t arrival_number = 0;
  };

  void add_violation(uint64_t id, const std::string& what);
  void check_send(Time now, const Send& send);
  uint64_t join_call(const Member& member);
  void check_order(Time now, uint64_t id, const TrackedMessage& message);
  void check_refuse(uint64_t id);
  std::pair<int, Endpoint> route_of(const Member& member) const;

  Settings settings_;
  std::map<uint64_t, TrackedMessage> messages_;
  std::map<Endpoint, Member> members_;
  std::map<Endpoint, Time> not_ready_since_;
  std::map<std::pair<int, Endpoint>, Time> retry_after_until_;
  std::map<uint64_t, std::pair<Time, uint64_t>> key_pauses_;
  uint64_t arrivals_ = 0;
  std::map<uint64_t, int> calls_in_flight_;  // calls in flight, with the number of their messages
  std::map<Endpoint, uint64_t> open_calls_;  // calls of the current step that further messages may join
  uint64_t last_call_id_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace firspool::testing

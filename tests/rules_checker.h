// Watches what goes into and comes out of a Policy, and reports each broken promise. Knows nothing of the
// module.
#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "firspool/policy.h"

namespace firspool::testing {

class RulesChecker {
 public:
  explicit RulesChecker(Settings settings) : set_(std::move(settings)) {}

  // Call with the events before, and with the actions after each step.
  void before(Time now, std::span<const Event> events);
  void after(Time now, std::span<const Action> actions);

  // Messages that are still owed an answer.
  size_t owed() const;
  const std::vector<std::string>& faults() const { return faults_; }

 private:
  struct Sent {
    Endpoint endpoint;
    Time at = 0;
    uint64_t call = 0;
    bool out = true;
    bool ran = false;
  };
  struct Held {
    Arrival in;
    std::vector<Sent> sent;
    bool ended = false;
    uint64_t order = 0;
  };

  void fault(uint64_t id, const std::string& what);
  void check_send(Time now, const Send& send);
  uint64_t join_call(const Member& member);
  void check_order(Time now, uint64_t id, const Held& held);
  void check_refuse(uint64_t id);
  std::pair<int, Endpoint> limit_group(const Member& member) const;

  Settings set_;
  std::map<uint64_t, Held> held_;
  std::map<Endpoint, Member> members_;
  std::map<Endpoint, Time> drained_at_;
  std::map<std::pair<int, Endpoint>, Time> waits_;
  std::map<uint64_t, std::pair<Time, uint64_t>> rests_;
  uint64_t arrivals_ = 0;
  std::map<uint64_t, int> calls_;       // calls out, with their messages
  std::map<Endpoint, uint64_t> round_;  // this round's open call to each endpoint
  uint64_t last_call_ = 0;
  std::vector<std::string> faults_;
};

}  // namespace firspool::testing

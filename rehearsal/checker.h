// Checks a rehearsal against the six rules, and that each message gets exactly one final answer, using only
// what the stand-ins observe on their sockets.
//
// It knows nothing of the relay's internals: it does no I/O, reads no clock and no log. Events are passed in
// with non-decreasing times, and `advance` is called as time passes. Memory is bounded by the number of open
// messages: a message is dropped once it is closed and so long past its time that no rule can refer to it.
//
// The default values come from the protocol's pages on sockets: a tolerance of 50 ms on each limit, 300 ms
// for the notice, 1.5 s after a restart, 6 s until a relay counts as notified of a change and 4 s after
// SIGHUP, and 100 ms for calls that cross a refusal with a wait.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "standins/witness.h"

namespace umberhoist::rehearsal {

enum class Effect { kSafe, kKeyed, kUnsafe };

struct ClassRule {
  std::string name;
  Effect effect = Effect::kUnsafe;
  Time key_window = 0;  // for keyed classes: how long an endpoint remembers a key
};

struct RuleParameters {
  std::vector<ClassRule> classes;
  int max_attempts = 6;
  Time drain_grace = kSecond;                // calls to a draining endpoint are allowed for this long
  double overload_factor = 2;                // budget as a multiple of the current capacity
  Time overload_window = 3 * kSecond;        // window over which the budget is counted
  Time slow_start = 12 * kSecond;            // from the end of an outage to full capacity
  double start_capacity = 0.21;              // share of the capacity at the end of an outage
  Time tolerance = 50 * kMillisecond;        // added to each limit
  Time notice_slack = 300 * kMillisecond;    // a notice may come this long after the message's time
  Time restart_slack = 1500 * kMillisecond;  // no notice is overdue for this long after a restart
  Time max_notify_delay = 6 * kSecond;       // from the agent's update until the relay counts as notified
  Time max_notify_delay_after_move =
      4 * kSecond;                              // from SIGHUP until it counts as notified of earlier updates
  Time retry_after_grace = 100 * kMillisecond;  // for calls that cross a refusal with a wait
};

enum class Rule {
  kLost,               // rule 1: accepted, and neither delivered nor closed by a notice
  kNoticeLate,         // rule 1: the notice came after the message's time
  kTwoFinalAnswers,    // rule 1: two final answers to one message
  kUnsafeRepeated,     // rule 2: repeated, refused or returned although an attempt may have been executed
  kKeyWindow,          // rule 2: a keyed message repeated after its key window
  kTwoAttemptsAtOnce,  // rule 2: two attempts in flight at once
  kTwoEffects,         // rule 2: the message took effect twice
  kDrain,              // rule 3: a call to an endpoint after the drain grace
  kPushedOver,         // rule 4: a recovering destination got more calls than its budget
  kWait,               // rule 6: a call during a wait that the destination asked for
  kAttempts,           // more attempts than a message may have
  kWrongEndpoint,      // a call to an endpoint of another destination, or with an unknown message id
  kContent,            // body or idempotency key changed
  kCrash,              // a process exited by itself, or was killed for exceeding a resource limit
  kMemoryGrowth,       // memory leak
  kExpectation         // an [[expect]] of the scenario, such as a share of messages delivered
};

// Number of the rule, 1 to 6; 0 for checks that are not among the six rules.
int rule_number(Rule rule);
// Name of the rule in reports.
const char* rule_name(Rule rule);

struct Violation {
  Rule rule = Rule::kLost;
  Time at = 0;
  uint64_t message = 0;  // 0: not about one message
  uint64_t id = 0;
  int relay = -1;        // -1: none
  int destination = -1;  // -1: none
  std::string description;
  std::vector<std::string> history;  // events of the message, one line each, timed from `set_start`
};

class Checker : public Observer {
 public:
  Checker(RuleParameters parameters, Time start);
  ~Checker() override;

  void on_submitted(Time at, const Submission& submission, uint64_t body_hash) override;
  void on_accepted(Time at, uint64_t id) override;
  void on_refused(Time at, uint64_t id, Time retry_after) override;
  void on_failed(Time at, uint64_t id, const std::string& line) override;
  void on_no_reply(Time at, uint64_t id, NoReplyReason reason) override;
  void on_call(Time at, const Call& call) override;
  void on_executed(Time at, uint64_t call, bool effect) override;
  void on_call_ended(Time at, uint64_t call, CallEnd end, ToldWait wait) override;
  void on_probe(Time at, int relay, int endpoint, bool ok) override;
  void on_notice(Time at, int relay, uint64_t id, bool returned, Time retry_after) override;
  void on_notice_abandoned(Time at, int relay, uint64_t id) override;
  void on_list_changed(Time at, int endpoint, int destination, HostState state) override;
  void on_agent_updated(Time at, int relay, int endpoint, HostState state) override;
  void on_relay_notified(Time at, int relay, int endpoint, HostState state) override;
  void on_outage_started(Time at, int destination) override;
  void on_outage_ended(Time at, int destination, double capacity) override;
  void on_relay_event(Time at, int relay, RelayEvent event) override;
  void on_limit_exceeded(Time at, int relay, const std::string& description,
                         const std::vector<std::string>& recent_samples) override;
  // Adds a violation found by the caller over the whole run: memory growth or a missed expectation.
  void add_violation(Rule rule, Time at, int relay, std::string description);

  // Origin of the times in Violation::history.
  void set_start(Time start) { start_ = start; }
  // Runs the checks that are due at `now` and drops messages that are no longer needed.
  void advance(Time now);
  // Ends the run: accepted messages that are still unresolved and overdue at `now` are reported as lost.
  void finish(Time now);

  const std::vector<Violation>& violations() const { return violations_; }
  // Counts all violations; `violations` holds at most the first kMaxViolations.
  size_t violation_count() const { return violation_count_; }
  size_t tracked_count() const { return messages_.size(); }
  // Notices of failure for messages that had been delivered, as their relay could not prove it.
  size_t notices_of_delivered() const { return notices_of_delivered_; }
  // Accepted messages that are neither delivered nor closed by a notice.
  size_t unresolved_count() const { return unresolved_count_; }

  static constexpr size_t kMaxViolations = 200;    // stored with their history
  static constexpr size_t kMaxHistoryEvents = 60;  // events of one message

 private:
  struct CallAttempt;
  struct TrackedMessage;
  struct Outage;

  TrackedMessage* find(uint64_t id);
  void report(Rule rule, Time at, const TrackedMessage* m, int relay, int destination,
              std::string description);
  void close_message(TrackedMessage& m, Time at);
  void check_repeat(Time at, TrackedMessage& m, const Call& call);
  void check_target(Time at, const Call& call, const TrackedMessage* m);
  void check_load(Time at, int relay, int destination);
  void check_unresolved(Time now, uint64_t id);
  static bool is_delivery_in_doubt(const TrackedMessage& m);
  Time drain_notified_at(int relay, int endpoint, Time at) const;

  struct WaitInForce {
    ToldWait told;
    Time noted_at = 0;  // when its reply had been written; calls until shortly after may have crossed it
    Time end() const { return told.starts_from + told.length; }
  };
  struct Relay {
    bool known_dead = false;
    bool ended_over_limit = false;  // already reported: its exit is no second violation
    bool restarting = false;        // from the signal until it is ready
    Time notices_excused_until = 0;
    Time moved_at = 0;                     // last SIGHUP; 0: none
    int incarnation = 0;                   // number of processes started so far
    std::map<int, WaitInForce> waits;      // by destination: the one that ends last
    std::map<int, Time> notified_at;       // by endpoint: drain or removal written to the relay
    std::map<int, Time> agent_updated_at;  // by endpoint: drain or removal known to its agent
  };
  struct Endpoint {
    int destination = -1;
  };
  struct Deadline {
    Time at = 0;
    uint64_t id = 0;
    bool operator>(const Deadline& other) const { return at > other.at; }
  };

  RuleParameters parameters_;
  Time start_;
  std::unordered_map<uint64_t, std::unique_ptr<TrackedMessage>> messages_;  // by id
  std::unordered_map<uint64_t, uint64_t> calls_;                            // message id by call number
  // By message: the id under which it last took effect.
  std::unordered_map<uint64_t, uint64_t> effects_;
  std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>> deadlines_;
  std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>> forget_queue_;
  // Calls made while another call of the message was in flight. Deadline::id is the number of the later call.
  std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>> overlap_checks_;
  // By number of the later call: message id, number of the earlier call.
  std::map<uint64_t, std::pair<uint64_t, uint64_t>> overlapping_calls_;
  std::map<int, Relay> relays_;
  std::map<int, Endpoint> endpoints_;
  std::map<int, Outage> outages_;
  std::vector<Violation> violations_;
  size_t violation_count_ = 0;
  size_t unresolved_count_ = 0;
  size_t notices_of_delivered_ = 0;
};

}  // namespace umberhoist::rehearsal

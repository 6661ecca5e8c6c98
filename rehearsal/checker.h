// The judge of a rehearsal: the six rules and one final answer for each message, from what the stand-ins saw.
//
// It knows the rules and not the relay: no I/O, no clock of its own, no look into a log. It is told events
// with their time, never going back, and `advance` as time passes. What it keeps is bounded by what is open:
// a message is forgotten once it is over and too long past its time for anything to be judged by it.
//
// Where the figures come from: the protocol's pages on sockets (tolerance of 50 ms on each limit, 300 ms to
// the notice, 1.5 s after a restart, 6 s until a change counts as told and 4 s after SIGHUP, 100 ms for calls
// that cross a told wait).
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
  Time key_window = 0;  // keyed: how long an endpoint remembers a key
};

struct RuleParameters {
  std::vector<ClassRule> classes;
  int max_attempts = 6;
  Time drain_grace = kSecond;
  double overload_factor = 2;
  Time overload_window = 3 * kSecond;
  Time slow_start = 12 * kSecond;
  double start_capacity = 0.21;
  Time tolerance = 50 * kMillisecond;
  Time notice_slack = 300 * kMillisecond;
  Time restart_slack = 1500 * kMillisecond;
  Time max_notify_delay = 6 * kSecond;
  Time max_notify_delay_after_move = 4 * kSecond;
  Time retry_after_grace = 100 * kMillisecond;
};

enum class Rule {
  kLost,               // 1: taken on, and neither delivered nor ended by a notice
  kNoticeLate,         // 1: its notice came after its time
  kTwoFinalAnswers,    // 1: two final answers
  kUnsafeRepeated,     // 2: sent again, or refused, though it may have run
  kKeyWindow,          // 2: a keyed message sent again after its window
  kTwoAttemptsAtOnce,  // 2: two attempts out together
  kTwoEffects,         // 2: it took effect twice
  kDrain,              // 3
  kPushedOver,         // 4
  kWait,               // 6
  kAttempts,           // more than a message may have
  kWrongEndpoint,      // a call to an endpoint of another destination, or for a message that is none
  kContent,            // body or key changed on the way
  kCrash,              // a process ended by itself, or was ended over a limit
  kMemoryGrowth,       // its memory goes on growing
  kExpectation         // of the scenario's own, such as a share that is delivered
};

int rule_number(Rule rule);  // of the six, 0 for the others
const char* rule_name(Rule rule);

struct Violation {
  Rule rule = Rule::kLost;
  Time at = 0;
  uint64_t message = 0;  // 0: of no message
  uint64_t id = 0;
  int relay = -1;
  int destination = -1;
  std::string description;
  std::vector<std::string> history;  // of the message, one event a line, milliseconds since the run began
};

class Checker : public Observer {
 public:
  Checker(RuleParameters figures, Time start);
  ~Checker() override;

  void on_submitted(Time at, const Submission& handing, uint64_t body) override;
  void on_accepted(Time at, uint64_t id) override;
  void on_refused(Time at, uint64_t id, Time after) override;
  void on_failed(Time at, uint64_t id, const std::string& line) override;
  void on_no_reply(Time at, uint64_t id, NoReplyReason how) override;
  void on_call(Time at, const Call& call) override;
  void on_executed(Time at, uint64_t call, bool effect) override;
  void on_call_ended(Time at, uint64_t call, CallEnd end, Time wait) override;
  void on_probe(Time at, int relay, int endpoint, bool ok) override;
  void on_notice(Time at, int relay, uint64_t id, bool returned, Time after) override;
  void on_list_changed(Time at, int endpoint, int destination, HostState phase) override;
  void on_agent_updated(Time at, int relay, int endpoint, HostState phase) override;
  void on_relay_notified(Time at, int relay, int endpoint, HostState phase) override;
  void on_outage_started(Time at, int destination) override;
  void on_outage_ended(Time at, int destination, double capacity) override;
  void on_relay_event(Time at, int relay, RelayEvent event) override;
  void on_limit_exceeded(Time at, int relay, const std::string& what,
                         const std::vector<std::string>& curve) override;
  // What is judged of a whole run, by others: growth and expectations.
  void add_violation(Rule rule, Time at, int relay, std::string what);

  // The zero of the times in a breach's history.
  void set_start(Time start) { start_ = start; }
  // Judges what is due by now, and forgets what is over.
  void advance(Time now);
  // Nothing more will come: what is still owed and overdue by then is lost.
  void finish(Time now);

  const std::vector<Violation>& violations() const { return breaches_; }
  size_t violation_count() const { return breach_count_; }  // past the ones kept in full
  size_t tracked_count() const { return messages_.size(); }
  size_t unresolved_count() const { return owed_; }  // taken on and not over

  static constexpr size_t kMaxViolations = 200;    // kept with their history
  static constexpr size_t kMaxHistoryEvents = 60;  // events of one message

 private:
  struct Attempt;
  struct Tracked;
  struct Cold;

  Tracked* find(uint64_t id);
  void breach(Rule rule, Time at, const Tracked* m, int relay, int destination, std::string what);
  void over(Tracked& m, Time at);
  void judge_again(Time at, Tracked& m, const Call& call);
  void judge_place(Time at, const Call& call, const Tracked* m);
  void judge_load(Time at, int relay, int destination);
  void judge_owed(Time now, uint64_t id);
  Time drained_since(int relay, int endpoint, Time at) const;

  struct Relay {
    bool known_dead = false;
    bool over_limit = false;  // it was ended for that: its end is no second breach
    bool restarting = false;  // from the signal until it is ready
    Time excused_until = 0;
    Time moved = 0;                                  // SIGHUP
    int life = 0;                                    // counts processes
    std::map<int, Time> waits;                       // destination: until when
    std::map<int, std::pair<Time, Time>> wait_from;  // destination: when the answer was written, its wait
    std::map<int, Time> drained;                     // endpoint: when it was told
    std::map<int, Time> learned;                     // endpoint: when its agent had that to tell
  };
  struct Endpoint {
    int destination = -1;
  };
  struct Due {
    Time at = 0;
    uint64_t id = 0;
    bool operator>(const Due& other) const { return at > other.at; }
  };

  RuleParameters figures_;
  Time start_;
  std::unordered_map<uint64_t, std::unique_ptr<Tracked>> messages_;  // by id
  std::unordered_map<uint64_t, uint64_t> calls_;                     // by number: the id
  std::unordered_map<uint64_t, uint64_t> effects_;  // by message: the id under which it last took effect
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> forget_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> crossing_;  // second attempts: by call number
  std::map<uint64_t, std::pair<uint64_t, uint64_t>> crossed_;  // second call: the id, the first call
  std::map<int, Relay> relays_;
  std::map<int, Endpoint> endpoints_;
  std::map<int, Cold> outages_;
  std::vector<Violation> breaches_;
  size_t breach_count_ = 0;
  size_t owed_ = 0;
};

}  // namespace umberhoist::rehearsal

// What becomes of each message, as its client has it: handed in, again after a refusal or a death, delivered
// at last or not. Counts by the second, and says when to hand a message in again; it does no I/O.
#pragma once

#include <array>
#include <functional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "rehearsal/plan.h"
#include "rehearsal/random.h"

namespace umberhoist::rehearsal {

// Latencies in buckets of about 9% each, 0.1 ms to 100 s.
class Histogram {
 public:
  void add(Time value);
  void add(const Histogram& other);
  double quantile(double share) const;  // milliseconds; 0 if empty
  uint64_t count() const { return count_; }

 private:
  std::array<uint32_t, 160> counts_{};
  uint64_t count_ = 0;
};

struct SecondCounts {
  std::vector<uint32_t> delivered;  // by class
  uint32_t arrivals = 0;
  uint32_t submitted = 0;
  uint32_t refusals = 0;  // each, also those that the client came again after
  uint32_t refused = 0;   // for good
  uint32_t failed = 0;
  uint32_t attempts = 0;
  Histogram latency;
};

struct MessageCounts {  // of a class, or of a tenant
  std::string name;
  uint64_t requested = 0;
  uint64_t in_time = 0;
  uint64_t late = 0;
  uint64_t refused = 0;
  uint64_t failed = 0;
  uint64_t lost = 0;        // with a machine, and may have taken effect
  uint64_t unanswered = 0;  // its client ran out of time or tries
  double worth = 0;         // earned, of `asked` times the class's worth
  Histogram latency;
};

class MessageTracker : public Observer {
 public:
  struct Resubmission {  // hand it in again, under a new id
    ArrivalPlan arrival;
    Time due = 0;
    bool after_relay_exit = false;  // again=1
    int excluded_relay = -1;        // this relay, if another is in use
  };
  using ScheduleResubmission = std::function<void(Time at, const Resubmission&)>;

  MessageTracker(const Scenario& scenario, uint64_t seed, ScheduleResubmission schedule);
  ~MessageTracker() override;

  void set_start(Time start) { start_ = start; }
  // A message's first time; then each handing-in under its id.
  void on_arrival(Time at, const ArrivalPlan& arrival, Time due);
  void bind_id(uint64_t id, uint32_t message, int relay);

  void on_submitted(Time at, const Submission& handing, uint64_t body) override;
  void on_connect_failed(Time at, const Submission& handing) override;
  void on_accepted(Time at, uint64_t id) override;
  void on_refused(Time at, uint64_t id, Time after) override;
  void on_failed(Time at, uint64_t id, const std::string& line) override;
  void on_no_reply(Time at, uint64_t id, NoReplyReason how) override;
  void on_call(Time at, const Call& call) override;
  void on_call_ended(Time at, uint64_t call, CallEnd end, Time wait) override;
  void on_notice(Time at, int relay, uint64_t id, bool returned, Time after) override;
  void on_relay_event(Time at, int relay, RelayEvent event) override;

  // For the endpoints' gate: the message of this id is over, or its client has given that id up.
  bool is_finished(uint64_t id) const;
  int attempt_count(uint64_t id) const;

  size_t open_count() const { return open_.size(); }
  size_t held_count() const { return held_; }
  // Ends what is open past its time: its client has no more use for it.
  void expire(Time now);

  const std::vector<MessageCounts>& class_counts() const { return tallies_; }  // by class
  const std::vector<MessageCounts>& tenant_counts() const { return tenants_; }
  const std::vector<SecondCounts>& per_second() const { return seconds_; }
  uint64_t message_count() const { return messages_; }
  uint64_t submission_count() const { return handings_; }
  uint64_t total_attempts() const { return attempts_; }

 private:
  struct Open;
  enum class How { kDelivered, kRefused, kFailed, kLost, kUnanswered };

  SecondCounts& second(Time at);
  Open* find(uint64_t id);
  std::vector<MessageCounts*> tallies_of(
      const ArrivalPlan& arrival);  // its class, and its tenant if there is one
  double worth_of(const ClassSpec& spec, Time took) const;
  void finish(Time at, uint32_t message, How how);
  void come_again(Time at, Open& open, Time after, bool after_death);
  void release(Open& open);

  const Scenario& scenario_;
  Random random_;
  ScheduleResubmission schedule_;
  Time start_ = 0;
  std::unordered_map<uint32_t, Open> open_;
  std::unordered_map<uint64_t, uint32_t> ids_;  // the present one of each open message
  std::unordered_map<uint64_t, uint64_t> calls_;
  std::vector<MessageCounts> tallies_;
  std::vector<MessageCounts> tenants_;
  std::vector<SecondCounts> seconds_;
  size_t held_ = 0;
  uint64_t messages_ = 0;
  uint64_t handings_ = 0;
  uint64_t attempts_ = 0;
};

}  // namespace umberhoist::rehearsal

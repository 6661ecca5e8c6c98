// Tracks each message from its client's point of view: submitted, resubmitted after a refusal or the end of a
// relay, and finally delivered or not. Counts results per second, per class and per tenant, and decides when
// a message is to be resubmitted. Does no I/O.
#pragma once

#include <array>
#include <functional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "rehearsal/plan.h"
#include "rehearsal/random.h"

namespace umberhoist::rehearsal {

// Latency histogram with buckets that grow by about 9%, from 0.1 ms to 100 s.
class Histogram {
 public:
  void add(Time value);
  void add(const Histogram& other);
  double quantile(double share) const;  // in milliseconds; 0 if the histogram is empty
  uint64_t count() const { return count_; }

 private:
  std::array<uint32_t, 160> counts_{};
  uint64_t count_ = 0;
};

struct SecondCounts {
  std::vector<uint32_t> delivered;  // by class
  uint32_t arrivals = 0;
  uint32_t submitted = 0;
  uint32_t refusals = 0;  // all refusals, including those followed by a resubmission
  uint32_t refused = 0;   // messages given up after a refusal
  uint32_t failed = 0;
  uint32_t attempts = 0;
  Histogram latency;
};

// Results of all messages of a class or of a tenant.
struct MessageCounts {
  std::string name;
  uint64_t requested = 0;
  uint64_t in_time = 0;
  uint64_t late = 0;
  uint64_t refused = 0;
  uint64_t failed = 0;
  uint64_t lost = 0;        // lost with a machine, not resubmitted because they may have taken effect
  uint64_t unanswered = 0;  // their clients ran out of time or retries
  double worth = 0;         // total worth of the deliveries; at most `requested` times the class's worth
  Histogram latency;
};

class MessageTracker : public Observer {
 public:
  // A message to be submitted again under a new id.
  struct Resubmission {
    ArrivalPlan arrival;
    Time due = 0;
    bool after_relay_exit = false;  // to be sent with again=1
    int excluded_relay = -1;        // avoid this relay if another one is in use
  };
  using ScheduleResubmission = std::function<void(Time at, const Resubmission&)>;

  MessageTracker(const Scenario& scenario, uint64_t seed, ScheduleResubmission schedule);
  ~MessageTracker() override;

  void set_start(Time start) { start_ = start; }
  // A message becomes known; called once for each.
  void on_arrival(Time at, const ArrivalPlan& arrival, Time due);
  // The message is about to be submitted to `relay` under `id`; called for each submission.
  void bind_id(uint64_t id, uint32_t message, int relay);

  void on_submitted(Time at, const Submission& submission, uint64_t body_hash) override;
  void on_connect_failed(Time at, const Submission& submission) override;
  void on_accepted(Time at, uint64_t id) override;
  void on_refused(Time at, uint64_t id, Time retry_after) override;
  void on_failed(Time at, uint64_t id, const std::string& line) override;
  void on_no_reply(Time at, uint64_t id, NoReplyReason reason) override;
  void on_call(Time at, const Call& call) override;
  void on_call_ended(Time at, uint64_t call, CallEnd end, ToldWait wait) override;
  void on_notice(Time at, int relay, uint64_t id, bool returned, Time retry_after) override;
  void on_relay_event(Time at, int relay, RelayEvent event) override;

  // True if no open message uses this id: the message has its result, or its client has abandoned the id.
  bool is_finished(uint64_t id) const;
  int attempt_count(uint64_t id) const;

  size_t open_count() const { return open_.size(); }
  // Messages accepted by a relay and without a final result.
  size_t held_count() const { return held_count_; }
  // Ends open messages past their time as unanswered, unless a call is in flight.
  void expire(Time now);

  const std::vector<MessageCounts>& class_counts() const { return class_counts_; }  // by class
  const std::vector<MessageCounts>& tenant_counts() const { return tenant_counts_; }
  const std::vector<SecondCounts>& per_second() const { return per_second_; }
  uint64_t message_count() const { return message_count_; }
  uint64_t submission_count() const { return submission_count_; }
  uint64_t total_attempts() const { return total_attempts_; }

 private:
  struct OpenMessage;
  enum class EndReason { kDelivered, kRefused, kFailed, kLost, kUnanswered };

  SecondCounts& counts_at(Time at);
  OpenMessage* find(uint64_t id);
  // Counts of the message's class and, if there are tenants, of its tenant.
  std::vector<MessageCounts*> counts_for(const ArrivalPlan& arrival);
  double worth_after(const ClassSpec& spec, Time took) const;
  void finish(Time at, uint32_t message, EndReason reason);
  void resubmit(Time at, OpenMessage& open, Time delay, bool after_relay_exit);
  void unbind(OpenMessage& open);

  const Scenario& scenario_;
  Random random_;
  ScheduleResubmission schedule_;
  Time start_ = 0;
  std::unordered_map<uint32_t, OpenMessage> open_;
  std::unordered_map<uint64_t, uint32_t> ids_;    // message by its current id
  std::unordered_map<uint64_t, uint64_t> calls_;  // message id by call number
  std::vector<MessageCounts> class_counts_;
  std::vector<MessageCounts> tenant_counts_;
  std::vector<SecondCounts> per_second_;
  size_t held_count_ = 0;
  uint64_t message_count_ = 0;
  uint64_t submission_count_ = 0;
  uint64_t total_attempts_ = 0;
};

}  // namespace umberhoist::rehearsal

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

struct Second {
  std::vector<uint32_t> delivered;  // by class
  uint32_t arrivals = 0;
  uint32_t handed_in = 0;
  uint32_t refusals = 0;  // each, also those that the client came again after
  uint32_t refused = 0;   // for good
  uint32_t failed = 0;
  uint32_t attempts = 0;
  Histogram latency;
};

struct Tally {  // of a class, or of a tenant
  std::string name;
  uint64_t asked = 0;
  uint64_t in_time = 0;
  uint64_t late = 0;
  uint64_t refused = 0;
  uint64_t failed = 0;
  uint64_t lost = 0;        // with a machine, and may have taken effect
  uint64_t unanswered = 0;  // its client ran out of time or tries
  double worth = 0;         // earned, of `asked` times the class's worth
  Histogram latency;
};

class Ledger : public Witness {
 public:
  struct Again {  // hand it in again, under a new id
    ArrivalPlan arrival;
    Time due = 0;
    bool after_death = false;  // again=1
    int not_to = -1;           // this relay, if another is in use
  };
  using Schedule = std::function<void(Time at, const Again&)>;

  Ledger(const Scenario& scenario, uint64_t seed, Schedule schedule);
  ~Ledger() override;

  void begin(Time start) { start_ = start; }
  // A message's first time; then each handing-in under its id.
  void arrived(Time at, const ArrivalPlan& arrival, Time due);
  void bind(uint64_t id, uint32_t message, int relay);

  void handed_in(Time at, const Handing& handing, uint64_t body) override;
  void not_reached(Time at, const Handing& handing) override;
  void taken_on(Time at, uint64_t id) override;
  void turned_away(Time at, uint64_t id, Time after) override;
  void answered_failed(Time at, uint64_t id, const std::string& line) override;
  void unanswered(Time at, uint64_t id, Unanswered how) override;
  void called(Time at, const Call& call) override;
  void call_ended(Time at, uint64_t call, CallEnd end, Time wait) override;
  void notice(Time at, int relay, uint64_t id, bool returned, Time after) override;
  void relay_event(Time at, int relay, RelayEvent event) override;

  // For the endpoints' gate: the message of this id is over, or its client has given that id up.
  bool is_over(uint64_t id) const;
  int attempts_of(uint64_t id) const;

  size_t open() const { return open_.size(); }
  size_t held() const { return held_; }
  // Ends what is open past its time: its client has no more use for it.
  void expire(Time now);

  const std::vector<Tally>& tallies() const { return tallies_; }  // by class
  const std::vector<Tally>& tenants() const { return tenants_; }
  const std::vector<Second>& seconds() const { return seconds_; }
  uint64_t messages() const { return messages_; }
  uint64_t handings() const { return handings_; }
  uint64_t attempts() const { return attempts_; }

 private:
  struct Open;
  enum class How { kDelivered, kRefused, kFailed, kLost, kUnanswered };

  Second& second(Time at);
  Open* find(uint64_t id);
  std::vector<Tally*> tallies_of(const ArrivalPlan& arrival);  // its class, and its tenant if there is one
  double worth_of(const ClassSpec& spec, Time took) const;
  void finish(Time at, uint32_t message, How how);
  void come_again(Time at, Open& open, Time after, bool after_death);
  void release(Open& open);

  const Scenario& scenario_;
  Random random_;
  Schedule schedule_;
  Time start_ = 0;
  std::unordered_map<uint32_t, Open> open_;
  std::unordered_map<uint64_t, uint32_t> ids_;  // the present one of each open message
  std::unordered_map<uint64_t, uint64_t> calls_;
  std::vector<Tally> tallies_;
  std::vector<Tally> tenants_;
  std::vector<Second> seconds_;
  size_t held_ = 0;
  uint64_t messages_ = 0;
  uint64_t handings_ = 0;
  uint64_t attempts_ = 0;
};

}  // namespace umberhoist::rehearsal

#include "rehearsal/ledger.h"

#include <algorithm>
#include <cmath>

namespace umberhoist::rehearsal {
namespace {

constexpr double kFirst = 100;      // microseconds, the first bucket's end
constexpr double kGrowth = 1.0905;  // 160 buckets reach 100 s
constexpr Time kTooSoon = 50 * kMillisecond;
constexpr Time kReachAgain = 200 * kMillisecond;  // after a relay that could not be reached
constexpr int kMostAgain = 5;                     // after deaths and silence

}  // namespace

void Histogram::add(Time value) {
  const double at = std::log(std::max(1.0, static_cast<double>(value) / kFirst)) / std::log(kGrowth);
  ++counts_[std::min(counts_.size() - 1, static_cast<size_t>(at))];
  ++count_;
}

void Histogram::add(const Histogram& other) {
  for (size_t i = 0; i < counts_.size(); ++i) counts_[i] += other.counts_[i];
  count_ += other.count_;
}

double Histogram::quantile(double share) const {
  if (count_ == 0) return 0;
  auto left = static_cast<uint64_t>(std::ceil(share * static_cast<double>(count_)));
  for (size_t i = 0; i < counts_.size(); ++i) {
    if (left <= counts_[i]) return kFirst * std::pow(kGrowth, static_cast<double>(i) + 0.5) / 1e3;
    left -= counts_[i];
  }
  return 0;
}

struct MessageTracker::Open {
  ArrivalPlan arrival;
  Time at = 0;
  Time due = 0;
  uint64_t id = 0;  // the present one; 0: it is with its client
  int relay = -1;
  int refusals = 0;
  int again = 0;
  int attempts = 0;  // under the present id
  bool may_have_run = false;
  Time called = 0;     // the last call
  Time key_since = 0;  // when a call that may have run was made, under any id; 0: none
  bool held = false;
  int out = 0;
  bool honours = true;
};

MessageTracker::MessageTracker(const Scenario& scenario, uint64_t seed, ScheduleResubmission schedule)
    : scenario_(scenario), random_(seed), schedule_(std::move(schedule)) {
  for (const ClassSpec& c : scenario.classes) tallies_.emplace_back().name = c.name;
  for (const TenantSpec& t : scenario.tenants) tenants_.emplace_back().name = t.name;
}

MessageTracker::~MessageTracker() = default;

SecondCounts& MessageTracker::second(Time at) {
  const auto index = static_cast<size_t>(std::max<Time>(0, at - start_) / kSecond);
  while (seconds_.size() <= index) {
    seconds_.emplace_back();
    seconds_.back().delivered.resize(scenario_.classes.size());
  }
  return seconds_[index];
}

std::vector<MessageCounts*> MessageTracker::tallies_of(const ArrivalPlan& arrival) {
  std::vector<MessageCounts*> out{&tallies_[arrival.message_class]};
  if (!tenants_.empty()) out.push_back(&tenants_[arrival.tenant]);
  return out;
}

MessageTracker::Open* MessageTracker::find(uint64_t id) {
  const auto it = ids_.find(id);
  if (it == ids_.end()) return nullptr;
  return &open_.at(it->second);
}

void MessageTracker::on_arrival(Time at, const ArrivalPlan& arrival, Time due) {
  Open open;
  open.arrival = arrival;
  open.at = at;
  open.due = due;
  open.honours = random_.chance(scenario_.honour);
  open_.emplace(arrival.message, open);
  ++messages_;
  ++second(at).arrivals;
  for (MessageCounts* tally : tallies_of(arrival)) ++tally->requested;
}

void MessageTracker::bind_id(uint64_t id, uint32_t message, int relay) {
  const auto it = open_.find(message);
  if (it == open_.end()) return;
  it->second.id = id;
  it->second.relay = relay;
  it->second.attempts = 0;
  it->second.may_have_run = false;
  it->second.out = 0;
  ids_[id] = message;
}

void MessageTracker::on_submitted(Time at, const Submission&, uint64_t) {
  ++handings_;
  ++second(at).submitted;
}

void MessageTracker::on_connect_failed(Time at, const Submission& handing) {
  Open* open = find(handing.id);
  if (open != nullptr) come_again(at, *open, kReachAgain, false);
}

void MessageTracker::on_accepted(Time, uint64_t id) {
  Open* open = find(id);
  if (open == nullptr || open->held) return;
  open->held = true;
  ++held_;
}

// The present id is done with; the message stays its client's.
void MessageTracker::release(Open& open) {
  if (open.held) --held_;
  open.held = false;
  ids_.erase(open.id);
  open.id = 0;
}

void MessageTracker::come_again(Time at, Open& open, Time after, bool after_death) {
  Resubmission again;
  again.arrival = open.arrival;
  again.due = open.due;
  again.after_relay_exit = after_death;
  again.excluded_relay = open.relay;
  release(open);
  if (at + after + kTooSoon >= open.due) return finish(at, again.arrival.message, How::kUnanswered);
  schedule_(at + after, again);
}

void MessageTracker::on_refused(Time at, uint64_t id, Time after) {
  Open* open = find(id);
  if (open == nullptr) return;
  ++second(at).refusals;
  if (++open->refusals > scenario_.retries) return finish(at, open->arrival.message, How::kRefused);
  const Time own =
      static_cast<Time>(random_.between(scenario_.backoff_ms.low, scenario_.backoff_ms.high) * 1e3);
  const Time wait = open->honours && after > 0 ? after + static_cast<Time>(random_.unit() * 2e4)
                                               : own << (open->refusals - 1);
  // What may have taken effect comes again only while its key is remembered.
  const ClassSpec& spec = scenario_.classes[open->arrival.message_class];
  const bool forgotten = spec.effect == Effect::kKeyed && open->key_since != 0 &&
                         at + wait + kTooSoon >= open->key_since + static_cast<Time>(spec.key_window_s * 1e6);
  if (forgotten || at + wait + kTooSoon >= open->due) return finish(at, open->arrival.message, How::kRefused);
  come_again(at, *open, wait, false);
}

void MessageTracker::on_failed(Time at, uint64_t id, const std::string&) {
  const Open* open = find(id);
  if (open != nullptr) finish(at, open->arrival.message, How::kFailed);
}

void MessageTracker::on_no_reply(Time at, uint64_t id, NoReplyReason how) {
  Open* open = find(id);
  if (open == nullptr) return;
  if (++open->again > kMostAgain) return finish(at, open->arrival.message, How::kUnanswered);
  const Time wait =
      how == NoReplyReason::kTimeout
          ? kTooSoon
          : static_cast<Time>(random_.between(scenario_.again_s.low, scenario_.again_s.high) * 1e6);
  come_again(at, *open, wait, true);
}

void MessageTracker::on_call(Time at, const Call& call) {
  ++attempts_;
  ++second(at).attempts;
  Open* open = find(call.id);
  if (open == nullptr) return;
  ++open->attempts;
  ++open->out;
  open->called = call.first_byte;
  calls_[call.number] = call.id;
}

void MessageTracker::on_call_ended(Time at, uint64_t number, CallEnd end, Time) {
  const auto call = calls_.find(number);
  if (call == calls_.end()) return;
  Open* open = find(call->second);
  calls_.erase(call);
  if (open == nullptr) return;
  --open->out;
  if (end == CallEnd::kDelivered) return finish(at, open->arrival.message, How::kDelivered);
  if (end == CallEnd::kRefused || end == CallEnd::kMessageOver) return;
  open->may_have_run = true;
  if (open->key_since == 0) open->key_since = open->called;
}

void MessageTracker::on_notice(Time at, int, uint64_t id, bool returned, Time after) {
  const Open* open = find(id);
  if (open == nullptr) return;
  if (returned) return on_refused(at, id, after);
  finish(at, open->arrival.message, How::kFailed);
}

// What was lost with its machine comes again, unless it may have taken effect and may not be repeated.
void MessageTracker::on_relay_event(Time at, int relay, RelayEvent event) {
  if (event != RelayEvent::kMachineLost) return;
  std::vector<uint32_t> lost;
  for (const auto& [message, open] : open_) {
    if (open.relay == relay && open.id != 0 && open.held) lost.push_back(message);
  }
  std::sort(lost.begin(), lost.end());
  for (const uint32_t message : lost) {
    Open& open = open_.at(message);
    const bool unsafe = scenario_.classes[open.arrival.message_class].effect == Effect::kUnsafe;
    if (unsafe && (open.may_have_run || open.out > 0)) {
      finish(at, message, How::kLost);
    } else {
      come_again(at, open,
                 static_cast<Time>(random_.between(scenario_.again_s.low, scenario_.again_s.high) * 1e6),
                 true);
    }
  }
}

double MessageTracker::worth_of(const ClassSpec& spec, Time took) const {
  const double aims = static_cast<double>(took) / 1e6 / spec.aim_s;
  if (aims <= 1) return spec.worth;
  if (scenario_.late == LateWorthDecay::kHalving)
    return spec.worth * std::max(spec.late_worth, std::pow(0.5, aims - 1));
  const double late = (aims - 1) * spec.aim_s / std::max(1e-6, spec.give_up_s - spec.aim_s);
  return spec.worth * std::max(spec.late_worth, 1 - (1 - spec.late_worth) * late);
}

void MessageTracker::finish(Time at, uint32_t message, How how) {
  const auto it = open_.find(message);
  if (it == open_.end()) return;
  Open& open = it->second;
  const ClassSpec& spec = scenario_.classes[open.arrival.message_class];
  const auto tallies = tallies_of(open.arrival);
  SecondCounts& now = second(at);
  uint64_t MessageCounts::*count = nullptr;
  switch (how) {
    case How::kDelivered: {
      const Time took = at - open.at;
      count = static_cast<double>(took) <= spec.aim_s * 1e6 ? &MessageCounts::in_time : &MessageCounts::late;
      for (MessageCounts* tally : tallies) {
        tally->worth += worth_of(spec, took);
        tally->latency.add(took);
      }
      now.latency.add(took);
      ++now.delivered[open.arrival.message_class];
      break;
    }
    case How::kRefused:
      count = &MessageCounts::refused;
      break;
    case How::kFailed:
      count = &MessageCounts::failed;
      break;
    case How::kLost:
      count = &MessageCounts::lost;
      break;
    case How::kUnanswered:
      count = &MessageCounts::unanswered;
      break;
  }
  for (MessageCounts* tally : tallies) ++(tally->*count);
  if (how != How::kDelivered) ++(how == How::kRefused ? now.refused : now.failed);
  release(open);
  open_.erase(it);
}

bool MessageTracker::is_finished(uint64_t id) const { return !ids_.contains(id); }

int MessageTracker::attempt_count(uint64_t id) const {
  const auto it = ids_.find(id);
  return it == ids_.end() ? 0 : open_.at(it->second).attempts;
}

void MessageTracker::expire(Time now) {
  std::vector<uint32_t> past;
  for (const auto& [message, open] : open_) {
    if (open.due < now && open.out == 0) past.push_back(message);
  }
  for (const uint32_t message : past) finish(now, message, How::kUnanswered);
}

}  // namespace umberhoist::rehearsal

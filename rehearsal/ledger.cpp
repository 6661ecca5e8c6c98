#include "rehearsal/ledger.h"

#include <algorithm>
#include <cmath>

namespace umberhoist::rehearsal {
namespace {

constexpr double kFirstBucketUs = 100;   // upper bound of the first bucket
constexpr double kBucketRatio = 1.0905;  // 160 buckets reach 100 s
// A message with less time left is not resubmitted. Also the delay of a resubmission after a time-out.
constexpr Time kMinTimeLeft = 50 * kMillisecond;
constexpr Time kReconnectDelay = 200 * kMillisecond;  // before resubmitting when a connection failed
constexpr int kMaxUnansweredRetries = 5;              // resubmissions after a relay's end or a time-out

}  // namespace

void Histogram::add(Time value) {
  const double at =
      std::log(std::max(1.0, static_cast<double>(value) / kFirstBucketUs)) / std::log(kBucketRatio);
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
    if (left <= counts_[i])
      return kFirstBucketUs * std::pow(kBucketRatio, static_cast<double>(i) + 0.5) / 1e3;
    left -= counts_[i];
  }
  return 0;
}

struct MessageTracker::OpenMessage {
  ArrivalPlan arrival;
  Time arrived_at = 0;
  Time due = 0;
  uint64_t id = 0;  // current id; 0: not submitted to any relay
  int relay = -1;
  int refusals = 0;
  int unanswered_retries = 0;
  int attempts = 0;  // calls under the current id
  bool maybe_executed = false;
  Time last_call_at = 0;
  Time key_used_at = 0;  // first call that may have been executed, under any id; 0: none
  bool held = false;
  int calls_in_flight = 0;
  bool honours_retry_after = true;
};

MessageTracker::MessageTracker(const Scenario& scenario, uint64_t seed, ScheduleResubmission schedule)
    : scenario_(scenario), random_(seed), schedule_(std::move(schedule)) {
  for (const ClassSpec& c : scenario.classes) class_counts_.emplace_back().name = c.name;
  for (const TenantSpec& t : scenario.tenants) tenant_counts_.emplace_back().name = t.name;
}

MessageTracker::~MessageTracker() = default;

SecondCounts& MessageTracker::counts_at(Time at) {
  const auto index = static_cast<size_t>(std::max<Time>(0, at - start_) / kSecond);
  while (per_second_.size() <= index) {
    per_second_.emplace_back();
    per_second_.back().delivered.resize(scenario_.classes.size());
  }
  return per_second_[index];
}

std::vector<MessageCounts*> MessageTracker::counts_for(const ArrivalPlan& arrival) {
  std::vector<MessageCounts*> out{&class_counts_[arrival.message_class]};
  if (!tenant_counts_.empty()) out.push_back(&tenant_counts_[arrival.tenant]);
  return out;
}

MessageTracker::OpenMessage* MessageTracker::find(uint64_t id) {
  const auto it = ids_.find(id);
  if (it == ids_.end()) return nullptr;
  return &open_.at(it->second);
}

void MessageTracker::on_arrival(Time at, const ArrivalPlan& arrival, Time due) {
  OpenMessage open;
  open.arrival = arrival;
  open.arrived_at = at;
  open.due = due;
  open.honours_retry_after = random_.chance(scenario_.honour);
  open_.emplace(arrival.message, open);
  ++message_count_;
  ++counts_at(at).arrivals;
  for (MessageCounts* counts : counts_for(arrival)) ++counts->requested;
}

void MessageTracker::bind_id(uint64_t id, uint32_t message, int relay) {
  const auto it = open_.find(message);
  if (it == open_.end()) return;
  it->second.id = id;
  it->second.relay = relay;
  it->second.attempts = 0;
  it->second.maybe_executed = false;
  it->second.calls_in_flight = 0;
  ids_[id] = message;
}

void MessageTracker::on_submitted(Time at, const Submission&, uint64_t) {
  ++submission_count_;
  ++counts_at(at).submitted;
}

void MessageTracker::on_connect_failed(Time at, const Submission& submission) {
  OpenMessage* open = find(submission.id);
  if (open != nullptr) resubmit(at, *open, kReconnectDelay, false);
}

void MessageTracker::on_accepted(Time, uint64_t id) {
  OpenMessage* open = find(id);
  if (open == nullptr || open->held) return;
  open->held = true;
  ++held_count_;
}

// Abandons the current id; the message stays open.
void MessageTracker::unbind(OpenMessage& open) {
  if (open.held) --held_count_;
  open.held = false;
  ids_.erase(open.id);
  open.id = 0;
}

void MessageTracker::resubmit(Time at, OpenMessage& open, Time delay, bool after_relay_exit) {
  Resubmission resubmission;
  resubmission.arrival = open.arrival;
  resubmission.due = open.due;
  resubmission.after_relay_exit = after_relay_exit;
  resubmission.excluded_relay = open.relay;
  unbind(open);
  if (at + delay + kMinTimeLeft >= open.due)
    return finish(at, resubmission.arrival.message, EndReason::kUnanswered);
  schedule_(at + delay, resubmission);
}

void MessageTracker::on_refused(Time at, uint64_t id, Time retry_after) {
  OpenMessage* open = find(id);
  if (open == nullptr) return;
  ++counts_at(at).refusals;
  if (++open->refusals > scenario_.retries) return finish(at, open->arrival.message, EndReason::kRefused);
  const Time backoff =
      static_cast<Time>(random_.between(scenario_.backoff_ms.low, scenario_.backoff_ms.high) * 1e3);
  const Time wait = open->honours_retry_after && retry_after > 0
                        ? retry_after + static_cast<Time>(random_.unit() * 2e4)
                        : backoff << (open->refusals - 1);
  // A message that may have taken effect is resubmitted only while its key is remembered.
  const ClassSpec& spec = scenario_.classes[open->arrival.message_class];
  const bool key_expired =
      spec.effect == Effect::kKeyed && open->key_used_at != 0 &&
      at + wait + kMinTimeLeft >= open->key_used_at + static_cast<Time>(spec.key_window_s * 1e6);
  if (key_expired || at + wait + kMinTimeLeft >= open->due)
    return finish(at, open->arrival.message, EndReason::kRefused);
  resubmit(at, *open, wait, false);
}

void MessageTracker::on_failed(Time at, uint64_t id, const std::string&) {
  const OpenMessage* open = find(id);
  if (open != nullptr) finish(at, open->arrival.message, EndReason::kFailed);
}

void MessageTracker::on_no_reply(Time at, uint64_t id, NoReplyReason reason) {
  OpenMessage* open = find(id);
  if (open == nullptr) return;
  if (++open->unanswered_retries > kMaxUnansweredRetries)
    return finish(at, open->arrival.message, EndReason::kUnanswered);
  const Time wait =
      reason == NoReplyReason::kTimeout
          ? kMinTimeLeft
          : static_cast<Time>(random_.between(scenario_.again_s.low, scenario_.again_s.high) * 1e6);
  resubmit(at, *open, wait, true);
}

void MessageTracker::on_call(Time at, const Call& call) {
  ++total_attempts_;
  ++counts_at(at).attempts;
  OpenMessage* open = find(call.id);
  if (open == nullptr) return;
  ++open->attempts;
  ++open->calls_in_flight;
  open->last_call_at = call.first_byte;
  calls_[call.number] = call.id;
}

void MessageTracker::on_call_ended(Time at, uint64_t number, CallEnd end, ToldWait) {
  const auto call = calls_.find(number);
  if (call == calls_.end()) return;
  OpenMessage* open = find(call->second);
  calls_.erase(call);
  if (open == nullptr) return;
  --open->calls_in_flight;
  if (end == CallEnd::kDelivered) return finish(at, open->arrival.message, EndReason::kDelivered);
  if (end == CallEnd::kRefused || end == CallEnd::kMessageOver) return;
  open->maybe_executed = true;
  if (open->key_used_at == 0) open->key_used_at = open->last_call_at;
}

void MessageTracker::on_notice(Time at, int, uint64_t id, bool returned, Time retry_after) {
  const OpenMessage* open = find(id);
  if (open == nullptr) return;
  if (returned) return on_refused(at, id, retry_after);
  finish(at, open->arrival.message, EndReason::kFailed);
}

// Messages lost with a machine are resubmitted, except unsafe ones that may have taken effect.
void MessageTracker::on_relay_event(Time at, int relay, RelayEvent event) {
  if (event != RelayEvent::kMachineLost) return;
  std::vector<uint32_t> lost;
  for (const auto& [message, open] : open_) {
    if (open.relay == relay && open.id != 0 && open.held) lost.push_back(message);
  }
  std::sort(lost.begin(), lost.end());
  for (const uint32_t message : lost) {
    OpenMessage& open = open_.at(message);
    const bool unsafe = scenario_.classes[open.arrival.message_class].effect == Effect::kUnsafe;
    if (unsafe && (open.maybe_executed || open.calls_in_flight > 0)) {
      finish(at, message, EndReason::kLost);
    } else {
      resubmit(at, open,
               static_cast<Time>(random_.between(scenario_.again_s.low, scenario_.again_s.high) * 1e6), true);
    }
  }
}

double MessageTracker::worth_after(const ClassSpec& spec, Time took) const {
  const double aims_taken = static_cast<double>(took) / 1e6 / spec.aim_s;
  if (aims_taken <= 1) return spec.worth;
  if (scenario_.late == LateWorthDecay::kHalving)
    return spec.worth * std::max(spec.late_worth, std::pow(0.5, aims_taken - 1));
  const double late = (aims_taken - 1) * spec.aim_s / std::max(1e-6, spec.give_up_s - spec.aim_s);
  return spec.worth * std::max(spec.late_worth, 1 - (1 - spec.late_worth) * late);
}

void MessageTracker::finish(Time at, uint32_t message, EndReason reason) {
  const auto it = open_.find(message);
  if (it == open_.end()) return;
  OpenMessage& open = it->second;
  const ClassSpec& spec = scenario_.classes[open.arrival.message_class];
  const auto all_counts = counts_for(open.arrival);
  SecondCounts& now = counts_at(at);
  uint64_t MessageCounts::*count = nullptr;
  switch (reason) {
    case EndReason::kDelivered: {
      const Time took = at - open.arrived_at;
      count = static_cast<double>(took) <= spec.aim_s * 1e6 ? &MessageCounts::in_time : &MessageCounts::late;
      for (MessageCounts* counts : all_counts) {
        counts->worth += worth_after(spec, took);
        counts->latency.add(took);
      }
      now.latency.add(took);
      ++now.delivered[open.arrival.message_class];
      break;
    }
    case EndReason::kRefused:
      count = &MessageCounts::refused;
      break;
    case EndReason::kFailed:
      count = &MessageCounts::failed;
      break;
    case EndReason::kLost:
      count = &MessageCounts::lost;
      break;
    case EndReason::kUnanswered:
      count = &MessageCounts::unanswered;
      break;
  }
  for (MessageCounts* counts : all_counts) ++(counts->*count);
  if (reason != EndReason::kDelivered) ++(reason == EndReason::kRefused ? now.refused : now.failed);
  unbind(open);
  open_.erase(it);
}

bool MessageTracker::is_finished(uint64_t id) const { return !ids_.contains(id); }

int MessageTracker::attempt_count(uint64_t id) const {
  const auto it = ids_.find(id);
  return it == ids_.end() ? 0 : open_.at(it->second).attempts;
}

void MessageTracker::expire(Time now) {
  std::vector<uint32_t> expired;
  for (const auto& [message, open] : open_) {
    if (open.due < now && open.calls_in_flight == 0) expired.push_back(message);
  }
  for (const uint32_t message : expired) finish(now, message, EndReason::kUnanswered);
}

}  // namespace umberhoist::rehearsal

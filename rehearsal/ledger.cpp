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

struct Ledger::Open {
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

Ledger::Ledger(const Scenario& scenario, uint64_t seed, Schedule schedule)
    : scenario_(scenario), random_(seed), schedule_(std::move(schedule)) {
  for (const ClassSpec& c : scenario.classes) tallies_.emplace_back().name = c.name;
  for (const TenantSpec& t : scenario.tenants) tenants_.emplace_back().name = t.name;
}

Ledger::~Ledger() = default;

Second& Ledger::second(Time at) {
  const auto index = static_cast<size_t>(std::max<Time>(0, at - start_) / kSecond);
  while (seconds_.size() <= index) {
    seconds_.emplace_back();
    seconds_.back().delivered.resize(scenario_.classes.size());
  }
  return seconds_[index];
}

std::vector<Tally*> Ledger::tallies_of(const ArrivalPlan& arrival) {
  std::vector<Tally*> out{&tallies_[arrival.message_class]};
  if (!tenants_.empty()) out.push_back(&tenants_[arrival.tenant]);
  return out;
}

Ledger::Open* Ledger::find(uint64_t id) {
  const auto it = ids_.find(id);
  if (it == ids_.end()) return nullptr;
  return &open_.at(it->second);
}

void Ledger::arrived(Time at, const ArrivalPlan& arrival, Time due) {
  Open open;
  open.arrival = arrival;
  open.at = at;
  open.due = due;
  open.honours = random_.chance(scenario_.honour);
  open_.emplace(arrival.message, open);
  ++messages_;
  ++second(at).arrivals;
  for (Tally* tally : tallies_of(arrival)) ++tally->asked;
}

void Ledger::bind(uint64_t id, uint32_t message, int relay) {
  const auto it = open_.find(message);
  if (it == open_.end()) return;
  it->second.id = id;
  it->second.relay = relay;
  it->second.attempts = 0;
  it->second.may_have_run = false;
  it->second.out = 0;
  ids_[id] = message;
}

void Ledger::handed_in(Time at, const Handing&, uint64_t) {
  ++handings_;
  ++second(at).handed_in;
}

void Ledger::not_reached(Time at, const Handing& handing) {
  Open* open = find(handing.id);
  if (open != nullptr) come_again(at, *open, kReachAgain, false);
}

void Ledger::taken_on(Time, uint64_t id) {
  Open* open = find(id);
  if (open == nullptr || open->held) return;
  open->held = true;
  ++held_;
}

// The present id is done with; the message stays its client's.
void Ledger::release(Open& open) {
  if (open.held) --held_;
  open.held = false;
  ids_.erase(open.id);
  open.id = 0;
}

void Ledger::come_again(Time at, Open& open, Time after, bool after_death) {
  Again again;
  again.arrival = open.arrival;
  again.due = open.due;
  again.after_death = after_death;
  again.not_to = open.relay;
  release(open);
  if (at + after + kTooSoon >= open.due) return finish(at, again.arrival.message, How::kUnanswered);
  schedule_(at + after, again);
}

void Ledger::turned_away(Time at, uint64_t id, Time after) {
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

void Ledger::answered_failed(Time at, uint64_t id, const std::string&) {
  const Open* open = find(id);
  if (open != nullptr) finish(at, open->arrival.message, How::kFailed);
}

void Ledger::unanswered(Time at, uint64_t id, Unanswered how) {
  Open* open = find(id);
  if (open == nullptr) return;
  if (++open->again > kMostAgain) return finish(at, open->arrival.message, How::kUnanswered);
  const Time wait =
      how == Unanswered::kGaveUp
          ? kTooSoon
          : static_cast<Time>(random_.between(scenario_.again_s.low, scenario_.again_s.high) * 1e6);
  come_again(at, *open, wait, true);
}

void Ledger::called(Time at, const Call& call) {
  ++attempts_;
  ++second(at).attempts;
  Open* open = find(call.id);
  if (open == nullptr) return;
  ++open->attempts;
  ++open->out;
  open->called = call.first_byte;
  calls_[call.number] = call.id;
}

void Ledger::call_ended(Time at, uint64_t number, CallEnd end, Time) {
  const auto call = calls_.find(number);
  if (call == calls_.end()) return;
  Open* open = find(call->second);
  calls_.erase(call);
  if (open == nullptr) return;
  --open->out;
  if (end == CallEnd::kDelivered) return finish(at, open->arrival.message, How::kDelivered);
  if (end == CallEnd::kTurnedAway || end == CallEnd::kOver) return;
  open->may_have_run = true;
  if (open->key_since == 0) open->key_since = open->called;
}

void Ledger::notice(Time at, int, uint64_t id, bool returned, Time after) {
  const Open* open = find(id);
  if (open == nullptr) return;
  if (returned) return turned_away(at, id, after);
  finish(at, open->arrival.message, How::kFailed);
}

// What was lost with its machine comes again, unless it may have taken effect and may not be repeated.
void Ledger::relay_event(Time at, int relay, RelayEvent event) {
  if (event != RelayEvent::kLost) return;
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

double Ledger::worth_of(const ClassSpec& spec, Time took) const {
  const double aims = static_cast<double>(took) / 1e6 / spec.aim_s;
  if (aims <= 1) return spec.worth;
  if (scenario_.late == Late::kHalves) return spec.worth * std::max(spec.late_worth, std::pow(0.5, aims - 1));
  const double late = (aims - 1) * spec.aim_s / std::max(1e-6, spec.give_up_s - spec.aim_s);
  return spec.worth * std::max(spec.late_worth, 1 - (1 - spec.late_worth) * late);
}

void Ledger::finish(Time at, uint32_t message, How how) {
  const auto it = open_.find(message);
  if (it == open_.end()) return;
  Open& open = it->second;
  const ClassSpec& spec = scenario_.classes[open.arrival.message_class];
  const auto tallies = tallies_of(open.arrival);
  Second& now = second(at);
  uint64_t Tally::*count = nullptr;
  switch (how) {
    case How::kDelivered: {
      const Time took = at - open.at;
      count = static_cast<double>(took) <= spec.aim_s * 1e6 ? &Tally::in_time : &Tally::late;
      for (Tally* tally : tallies) {
        tally->worth += worth_of(spec, took);
        tally->latency.add(took);
      }
      now.latency.add(took);
      ++now.delivered[open.arrival.message_class];
      break;
    }
    case How::kRefused:
      count = &Tally::refused;
      break;
    case How::kFailed:
      count = &Tally::failed;
      break;
    case How::kLost:
      count = &Tally::lost;
      break;
    case How::kUnanswered:
      count = &Tally::unanswered;
      break;
  }
  for (Tally* tally : tallies) ++(tally->*count);
  if (how != How::kDelivered) ++(how == How::kRefused ? now.refused : now.failed);
  release(open);
  open_.erase(it);
}

bool Ledger::is_over(uint64_t id) const { return !ids_.contains(id); }

int Ledger::attempts_of(uint64_t id) const {
  const auto it = ids_.find(id);
  return it == ids_.end() ? 0 : open_.at(it->second).attempts;
}

void Ledger::expire(Time now) {
  std::vector<uint32_t> past;
  for (const auto& [message, open] : open_) {
    if (open.due < now && open.out == 0) past.push_back(message);
  }
  for (const uint32_t message : past) finish(now, message, How::kUnanswered);
}

}  // namespace umberhoist::rehearsal

#include "recovery/return.h"

#include <algorithm>

namespace umberhoist::recovery {

StagedRecovery::StagedRecovery(RecoveryLimits limits, std::vector<HeldMessage> held, Time now)
    : limits_(limits), stage_since_(now), held_(std::move(held)) {
  std::stable_sort(held_.begin(), held_.end(), [](const HeldMessage& a, const HeldMessage& b) {
    if (a.must_end != b.must_end) return a.must_end;
    if (a.worth != b.worth) return a.worth > b.worth;
    return a.due != b.due ? a.due < b.due : a.number < b.number;
  });
}

void StagedRecovery::on_fleet_ready(Time now) {
  if (stage_ != Stage::kWaitingForFleet) return;
  stage_ = Stage::kReleasing;
  stage_since_ = now;
}

// Slow start: each served call allows two more, so that the load grows only as fast as the destination proves
// to bear it.
void StagedRecovery::on_served(int destination, Time) {
  DestinationGate& gate = gates_[destination];
  gate.open = true;
  if (gate.in_flight > 0) --gate.in_flight;
  gate.max_in_flight = std::min<size_t>(2 * gate.max_in_flight, 1 << 20);
  gate.retry_at = 0;
}

void StagedRecovery::on_failed(int destination, Time now) {
  DestinationGate& gate = gates_[destination];
  if (gate.in_flight > 0) --gate.in_flight;
  gate.max_in_flight = 1;
  gate.retry_at = now + limits_.retry_interval;
}

void StagedRecovery::remove(uint64_t number) {
  std::erase_if(held_, [&](const HeldMessage& held) { return held.number == number; });
}

std::vector<uint64_t> StagedRecovery::release(Time now) {
  if (stage_ == Stage::kWaitingForFleet && now - stage_since_ >= limits_.fleet_timeout) {
    without_fleet_ = true;
    on_fleet_ready(now);
  }
  const bool overdue = stage_ == Stage::kReleasing && now - stage_since_ >= limits_.release_timeout;
  std::vector<uint64_t> out;
  std::erase_if(held_, [&](const HeldMessage& held) {
    if (out.size() >= limits_.max_batch) return false;
    DestinationGate& gate = gates_[held.destination];
    bool release_now = held.must_end || overdue || held.due - now <= limits_.end_margin;
    if (!release_now && stage_ == Stage::kReleasing) {
      release_now =
          (gate.open || gate.may_try || without_fleet_ || now - stage_since_ >= limits_.owner_head_start) &&
          gate.in_flight < gate.max_in_flight && now >= gate.retry_at;
      if (release_now) ++gate.in_flight;
    }
    if (release_now) out.push_back(held.number);
    return release_now;
  });
  if (stage_ == Stage::kReleasing && held_.empty()) stage_ = Stage::kComplete;
  return out;
}

}  // namespace umberhoist::recovery

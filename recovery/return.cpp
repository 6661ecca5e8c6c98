#include "recovery/return.h"

#include <algorithm>

namespace umberhoist::recovery {

StagedRecovery::StagedRecovery(RecoveryLimits limits, std::vector<HeldMessage> held, Time now)
    : limits_(limits), since_(now), held_(std::move(held)) {
  std::stable_sort(held_.begin(), held_.end(), [](const HeldMessage& a, const HeldMessage& b) {
    if (a.must_end != b.must_end) return a.must_end;
    if (a.worth != b.worth) return a.worth > b.worth;
    return a.due != b.due ? a.due < b.due : a.number < b.number;
  });
}

void StagedRecovery::on_fleet_ready(Time now) {
  if (stage_ != Stage::kWaitingForFleet) return;
  stage_ = Stage::kReleasing;
  since_ = now;
}

// Each served call allows two more: what a destination can bear shows soon, and nothing is pushed before.
void StagedRecovery::on_served(int destination, Time) {
  DestinationGate& gate = gates_[destination];
  gate.open = true;
  if (gate.out > 0) --gate.out;
  gate.window = std::min<size_t>(2 * gate.window, 1 << 20);
  gate.not_before = 0;
}

void StagedRecovery::on_failed(int destination, Time now) {
  DestinationGate& gate = gates_[destination];
  if (gate.out > 0) --gate.out;
  gate.window = 1;
  gate.not_before = now + limits_.retry_interval;
}

void StagedRecovery::remove(uint64_t number) {
  std::erase_if(held_, [&](const HeldMessage& held) { return held.number == number; });
}

std::vector<uint64_t> StagedRecovery::release(Time now) {
  if (stage_ == Stage::kWaitingForFleet && now - since_ >= limits_.fleet_timeout) {
    without_fleet_ = true;
    on_fleet_ready(now);
  }
  const bool late = stage_ == Stage::kReleasing && now - since_ >= limits_.release_timeout;
  std::vector<uint64_t> out;
  std::erase_if(held_, [&](const HeldMessage& held) {
    if (out.size() >= limits_.max_batch) return false;
    DestinationGate& gate = gates_[held.destination];
    bool go = held.must_end || late || held.due - now <= limits_.end_margin;
    if (!go && stage_ == Stage::kReleasing) {
      go = (gate.open || gate.may_try || without_fleet_ || now - since_ >= limits_.owner_head_start) &&
           gate.out < gate.window && now >= gate.not_before;
      if (go) ++gate.out;
    }
    if (go) out.push_back(held.number);
    return go;
  });
  if (stage_ == Stage::kReleasing && held_.empty()) stage_ = Stage::kComplete;
  return out;
}

}  // namespace umberhoist::recovery

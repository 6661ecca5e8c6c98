#include "recovery/return.h"

#include <algorithm>

namespace umberhoist::recovery {

Return::Return(Limits limits, std::vector<Held> held, Time now)
    : limits_(limits), since_(now), held_(std::move(held)) {
  std::stable_sort(held_.begin(), held_.end(), [](const Held& a, const Held& b) {
    if (a.ends_now != b.ends_now) return a.ends_now;
    if (a.worth != b.worth) return a.worth > b.worth;
    return a.due != b.due ? a.due < b.due : a.number < b.number;
  });
}

void Return::word(Time now) {
  if (stage_ != Stage::kAsking) return;
  stage_ = Stage::kHeld;
  since_ = now;
}

// Each served call allows two more: what a destination can bear shows soon, and nothing is pushed before.
void Return::served(int destination, Time) {
  Gate& gate = gates_[destination];
  gate.open = true;
  if (gate.out > 0) --gate.out;
  gate.window = std::min<size_t>(2 * gate.window, 1 << 20);
  gate.not_before = 0;
}

void Return::failed(int destination, Time now) {
  Gate& gate = gates_[destination];
  if (gate.out > 0) --gate.out;
  gate.window = 1;
  gate.not_before = now + limits_.again;
}

void Return::drop(uint64_t number) {
  std::erase_if(held_, [&](const Held& held) { return held.number == number; });
}

std::vector<uint64_t> Return::next(Time now) {
  if (stage_ == Stage::kAsking && now - since_ >= limits_.ask) {
    alone_ = true;
    word(now);
  }
  const bool late = stage_ == Stage::kHeld && now - since_ >= limits_.held;
  std::vector<uint64_t> out;
  std::erase_if(held_, [&](const Held& held) {
    if (out.size() >= limits_.at_once) return false;
    Gate& gate = gates_[held.destination];
    bool go = held.ends_now || late || held.due - now <= limits_.in_time;
    if (!go && stage_ == Stage::kHeld) {
      go = (gate.open || gate.may_try || alone_ || now - since_ >= limits_.first) && gate.out < gate.window &&
           now >= gate.not_before;
      if (go) ++gate.out;
    }
    if (go) out.push_back(held.number);
    return go;
  });
  if (stage_ == Stage::kHeld && held_.empty()) stage_ = Stage::kServing;
  return out;
}

}  // namespace umberhoist::recovery

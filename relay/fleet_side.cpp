#include "fleet_side.h"

#include <algorithm>
#include <chrono>
#include <cstdio>

#include "message.h"

namespace firspool::relay {
namespace {

using umberhoist::fleet::HealthReport;
using umberhoist::fleet::TrialDuty;

constexpr std::chrono::milliseconds kTick{100};
constexpr Time kLately = 2'000'000;  // a call that was served so long ago tells that its destination is up

TrialAssignment::Duty by(TrialDuty scouts) {
  return scouts == TrialDuty::kSelf    ? TrialAssignment::Duty::kSelf
         : scouts == TrialDuty::kOther ? TrialAssignment::Duty::kOther
                                       : TrialAssignment::Duty::kShared;
}

}  // namespace

FleetAdapter::FleetAdapter(boost::asio::io_context& io, std::unique_ptr<umberhoist::fleet::Fleet> fleet,
                           const Settings& settings, uint64_t seed, Hooks hooks)
    : settings_(settings), seed_(seed), fleet_(std::move(fleet)), hooks_(std::move(hooks)), timer_(io) {
  tick();
}

void FleetAdapter::add_recovered(const Arrival& in) { waiting_[in.id] = in; }

void FleetAdapter::start_recovery(Time now) {
  std::vector<umberhoist::recovery::HeldMessage> held;
  for (const auto& [number, in] : waiting_) {
    const ClassSettings& c = settings_.classes[in.message_class];
    const bool late = now > in.due - c.give_up + c.target;
    held.push_back({number, in.destination, late ? c.worth * c.late_worth : c.worth, in.due,
                    in.maybe_executed && c.effect == Effect::kUnsafe});
  }
  const size_t count = held.size();
  umberhoist::recovery::RecoveryLimits limits;
  // The fleet's relays come one after the other: each at a moment of its own within two more seconds.
  limits.owner_head_start += static_cast<Time>(seed_ % 2'000'000);
  return_.emplace(limits, std::move(held), now);
  if (count > 0) std::fprintf(stderr, "recovery: %zu messages held, waiting for the fleet's word\n", count);
  hand_over(now);
}

void FleetAdapter::on_message_ended(uint64_t number) {
  if (return_) return_->remove(number);
  waiting_.erase(number);
}

void FleetAdapter::on_attempt_ended(int destination, Outcome outcome, Time now) {
  const bool served = outcome == Outcome::kOk || outcome == Outcome::kMalformed;
  if (served) served_[destination] = now;
  if (!return_) return;
  served ? return_->on_served(destination, now) : return_->on_failed(destination, now);
  hand_over(now);
}

void FleetAdapter::on_destination_state(const DestinationState& memory) {
  if (memory.outage_start == 0) {
    outages_.erase(memory.destination);
  } else {
    outages_[memory.destination] = memory;
  }
}

void FleetAdapter::tick() {
  timer_.expires_after(kTick);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    const Time now = steady_now();
    follow_version();
    tell_fleet(now);
    tell_module();
    hand_over(now);
    tick();
  });
}

// What the register holds is run, also by a relay that was away, whatever its own file says.
void FleetAdapter::follow_version() {
  const auto version = fleet_->version();
  if (version.number == running_) return;
  if (!hooks_.apply_version(version.text)) {
    if (text_ != version.text) {
      std::fprintf(stderr, "version %llu cannot be run here\n",
                   static_cast<unsigned long long>(version.number));
    }
    text_ = version.text;
    return;
  }
  running_ = version.number;
  text_ = version.text;
  fleet_->report_running_version(running_);
  std::fprintf(stderr, "runs version %llu\n", static_cast<unsigned long long>(running_));
}

void FleetAdapter::tell_fleet(Time now) {
  const std::vector<int> held = outages_.empty() ? std::vector<int>{} : hooks_.open_destinations();
  std::erase_if(served_, [&](const auto& entry) { return now - entry.second > kLately; });
  std::map<int, HealthReport> sights;
  for (const auto& [destination, memory] : outages_) {
    HealthReport& sight = sights[destination];
    sight.outage_start = memory.outage_start;
    sight.recovery_start = memory.recovery_start;
    sight.baseline_rate = memory.baseline_rate;
    sight.can_send_trial =
        memory.recovery_start == 0 && std::find(held.begin(), held.end(), destination) != held.end();
  }
  for (const auto& [destination, at] : served_) sights[destination].recently_served = true;
  std::vector<HealthReport> out;
  for (auto& [destination, sight] : sights) {
    sight.destination = destination;
    out.push_back(sight);
  }
  fleet_->report_health(std::move(out));
}

void FleetAdapter::tell_module() {
  for (const auto& [destination, memory] : outages_) {
    const TrialAssignment::Duty next =
        memory.recovery_start == 0 ? by(fleet_->trial_duty(destination)) : TrialAssignment::Duty::kShared;
    TrialAssignment::Duty& last = scouting_[destination];
    if (next != last) hooks_.post_event(TrialAssignment{destination, next});
    last = next;
  }
  std::erase_if(scouting_, [&](const auto& entry) {
    if (outages_.contains(entry.first)) return false;
    if (entry.second != TrialAssignment::Duty::kShared)
      hooks_.post_event(TrialAssignment{entry.first, TrialAssignment::Duty::kShared});
    return true;
  });
  for (const HealthReport& sight : fleet_->health_reports()) {
    if (sight.recently_served && return_) return_->on_served_elsewhere(sight.destination);
    auto& last = told_[sight.destination];
    // Times that were told by way of ages shake a little; what matters is an outage or a return that is new.
    const bool news = (sight.outage_start != 0 && std::abs(sight.outage_start - last.first) > kLately) ||
                      (sight.recovery_start != 0) != (last.second != 0);
    if (!news) continue;
    last = {sight.outage_start, sight.recovery_start};
    if (sight.outage_start != 0) {
      hooks_.post_event(
          PeerHealthReport{sight.destination, sight.outage_start, sight.recovery_start, sight.baseline_rate});
    }
  }
}

void FleetAdapter::hand_over(Time now) {
  if (!return_) return;
  if (fleet_->is_confirmed()) return_->on_fleet_ready(now);
  for (const int destination : hooks_.known_destinations())
    return_->set_may_try(destination, fleet_->owns(destination));
  const auto stage = return_->stage();
  for (const uint64_t number : return_->release(now)) {
    const auto it = waiting_.find(number);
    if (it == waiting_.end()) continue;
    hooks_.post_event(it->second);
    waiting_.erase(it);
  }
  if (stage == return_->stage()) return;
  std::fprintf(stderr, "recovery: %s, %zu messages held\n",
               return_->stage() == umberhoist::recovery::Stage::kComplete ? "over"
               : return_->without_fleet()                                 ? "alone, on even parts"
                                                                          : "with the fleet's word",
               return_->remaining());
  if (return_->stage() == umberhoist::recovery::Stage::kComplete) return_.reset();
}

}  // namespace firspool::relay

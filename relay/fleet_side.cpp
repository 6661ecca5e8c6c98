#include "fleet_side.h"

#include <algorithm>
#include <chrono>
#include <cstdio>

#include "message.h"

namespace firspool::relay {
namespace {

using umberhoist::fleet::HealthReport;
using umberhoist::fleet::TrialDuty;

constexpr std::chrono::milliseconds kTickInterval{100};
constexpr Time kRecent = 2'000'000;  // a call served within this time shows that its destination is up

TrialAssignment::Duty to_module_duty(TrialDuty duty) {
  return duty == TrialDuty::kSelf    ? TrialAssignment::Duty::kSelf
         : duty == TrialDuty::kOther ? TrialAssignment::Duty::kOther
                                     : TrialAssignment::Duty::kShared;
}

}  // namespace

FleetAdapter::FleetAdapter(boost::asio::io_context& io, std::unique_ptr<umberhoist::fleet::Fleet> fleet,
                           const Settings& settings, uint64_t seed, Hooks hooks)
    : settings_(settings), seed_(seed), fleet_(std::move(fleet)), hooks_(std::move(hooks)), timer_(io) {
  schedule_tick();
}

void FleetAdapter::add_recovered(const Arrival& arrival) { recovered_[arrival.id] = arrival; }

void FleetAdapter::start_recovery(Time now) {
  std::vector<umberhoist::recovery::HeldMessage> held;
  for (const auto& [number, arrival] : recovered_) {
    const ClassSettings& settings = settings_.classes[arrival.message_class];
    const bool overdue = now > arrival.due - settings.give_up + settings.target;
    held.push_back({number, arrival.destination,
                    overdue ? settings.worth * settings.late_worth : settings.worth, arrival.due,
                    arrival.maybe_executed && settings.effect == Effect::kUnsafe});
  }
  const size_t count = held.size();
  umberhoist::recovery::RecoveryLimits limits;
  // Spreads the relays of the fleet over two more seconds.
  limits.owner_head_start += static_cast<Time>(seed_ % 2'000'000);
  recovery_.emplace(limits, std::move(held), now);
  if (count > 0)
    std::fprintf(stderr, "recovery: %zu messages held, waiting for the state of the fleet\n", count);
  release_messages(now);
}

void FleetAdapter::on_message_ended(uint64_t number) {
  if (recovery_) recovery_->remove(number);
  recovered_.erase(number);
}

void FleetAdapter::on_attempt_ended(int destination, Outcome outcome, Time now) {
  const bool served = outcome == Outcome::kOk || outcome == Outcome::kMalformed;
  if (served) last_served_[destination] = now;
  if (!recovery_) return;
  served ? recovery_->on_served(destination, now) : recovery_->on_failed(destination, now);
  release_messages(now);
}

void FleetAdapter::on_destination_state(const DestinationState& state) {
  if (state.outage_start == 0) {
    outages_.erase(state.destination);
  } else {
    outages_[state.destination] = state;
  }
}

void FleetAdapter::schedule_tick() {
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    const Time now = steady_now();
    apply_current_version();
    report_health(now);
    notify_module();
    release_messages(now);
    schedule_tick();
  });
}

// The version in the register applies, whatever the own file says, and also to a relay that was away when it
// was committed.
void FleetAdapter::apply_current_version() {
  const auto version = fleet_->version();
  if (version.number == running_version_) return;
  if (!hooks_.apply_version(version.text)) {
    if (version_text_ != version.text) {
      std::fprintf(stderr, "configuration version %llu cannot be applied by this relay\n",
                   static_cast<unsigned long long>(version.number));
    }
    version_text_ = version.text;
    return;
  }
  running_version_ = version.number;
  version_text_ = version.text;
  fleet_->report_running_version(running_version_);
  std::fprintf(stderr, "runs version %llu\n", static_cast<unsigned long long>(running_version_));
}

void FleetAdapter::report_health(Time now) {
  const std::vector<int> held = outages_.empty() ? std::vector<int>{} : hooks_.open_destinations();
  std::erase_if(last_served_, [&](const auto& entry) { return now - entry.second > kRecent; });
  std::map<int, HealthReport> reports;
  for (const auto& [destination, state] : outages_) {
    HealthReport& report = reports[destination];
    report.outage_start = state.outage_start;
    report.recovery_start = state.recovery_start;
    report.baseline_rate = state.baseline_rate;
    report.can_send_trial =
        state.recovery_start == 0 && std::find(held.begin(), held.end(), destination) != held.end();
  }
  for (const auto& [destination, at] : last_served_) reports[destination].recently_served = true;
  std::vector<HealthReport> out;
  for (auto& [destination, report] : reports) {
    report.destination = destination;
    out.push_back(report);
  }
  fleet_->report_health(std::move(out));
}

void FleetAdapter::notify_module() {
  for (const auto& [destination, state] : outages_) {
    const TrialAssignment::Duty next = state.recovery_start == 0
                                           ? to_module_duty(fleet_->trial_duty(destination))
                                           : TrialAssignment::Duty::kShared;
    TrialAssignment::Duty& last = trial_duties_[destination];
    if (next != last) hooks_.post_event(TrialAssignment{destination, next});
    last = next;
  }
  std::erase_if(trial_duties_, [&](const auto& entry) {
    if (outages_.contains(entry.first)) return false;
    if (entry.second != TrialAssignment::Duty::kShared)
      hooks_.post_event(TrialAssignment{entry.first, TrialAssignment::Duty::kShared});
    return true;
  });
  for (const HealthReport& report : fleet_->health_reports()) {
    if (report.recently_served && recovery_) recovery_->on_served_elsewhere(report.destination);
    auto& last = reported_outages_[report.destination];
    // Reported times are derived from ages and vary slightly; only a new outage or a new recovery counts.
    const bool is_new = (report.outage_start != 0 && std::abs(report.outage_start - last.first) > kRecent) ||
                        (report.recovery_start != 0) != (last.second != 0);
    if (!is_new) continue;
    last = {report.outage_start, report.recovery_start};
    if (report.outage_start != 0) {
      hooks_.post_event(PeerHealthReport{report.destination, report.outage_start, report.recovery_start,
                                         report.baseline_rate});
    }
  }
}

void FleetAdapter::release_messages(Time now) {
  if (!recovery_) return;
  if (fleet_->is_confirmed()) recovery_->on_fleet_ready(now);
  for (const int destination : hooks_.known_destinations())
    recovery_->set_may_try(destination, fleet_->owns(destination));
  const auto stage = recovery_->stage();
  for (const uint64_t number : recovery_->release(now)) {
    const auto it = recovered_.find(number);
    if (it == recovered_.end()) continue;
    hooks_.post_event(it->second);
    recovered_.erase(it);
  }
  if (stage == recovery_->stage()) return;
  std::fprintf(stderr, "recovery: %s, %zu messages held\n",
               recovery_->stage() == umberhoist::recovery::Stage::kComplete ? "over"
               : recovery_->without_fleet() ? "no state of the fleet in time, going on alone with even shares"
                                            : "state of the fleet received",
               recovery_->remaining());
  if (recovery_->stage() == umberhoist::recovery::Stage::kComplete) recovery_.reset();
}

}  // namespace firspool::relay

// Connects the relay to the fleet layer: which relay sends trial calls, health reports of other relays,
// versions of the common configuration, and the staged recovery of messages after a restart. A relay without
// a fleet has no adapter.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "firspool/policy.h"
#include "fleet/fleet.h"
#include "recovery/return.h"

namespace firspool::relay {

class FleetAdapter {
 public:
  struct Hooks {
    std::function<void(Event)> post_event;
    std::function<std::vector<int>()> known_destinations;   // all known destinations
    std::function<std::vector<int>()> open_destinations;    // of the open messages, one entry for each
    std::function<bool(const std::string&)> apply_version;  // text of a version; empty: the relay's own file
  };

  FleetAdapter(boost::asio::io_context& io, std::unique_ptr<umberhoist::fleet::Fleet> fleet,
               const Settings& settings, uint64_t seed, Hooks hooks);

  // Adds a message from before the restart; it is posted to the module when recovery releases it.
  void add_recovered(const Arrival& in);
  void start_recovery(Time now);  // call once after the last add_recovered
  void on_attempt_ended(int destination, Outcome outcome, Time now);
  void on_destination_state(const DestinationState& memory);
  void on_message_ended(uint64_t number);
  void propose(std::string text, std::function<void(bool, const std::string&)> told) {
    fleet_->propose_version(std::move(text), std::move(told));
  }
  void announce_shutdown() { fleet_->announce_leaving(); }

 private:
  void schedule_tick();
  void apply_current_version();
  void notify_module();
  void report_health(Time now);
  void release_messages(Time now);

  const Settings& settings_;
  uint64_t seed_;
  std::unique_ptr<umberhoist::fleet::Fleet> fleet_;
  Hooks hooks_;
  boost::asio::steady_timer timer_;
  std::map<int, TrialAssignment::Duty> trial_duties_;  // as last posted to the module
  std::map<int, DestinationState> outages_;            // as reported by the module
  std::map<int, Time> last_served_;                    // time of the last served call
  // Start of outage and of recovery that other relays saw, as last posted to the module.
  std::map<int, std::pair<Time, Time>> reported_outages_;
  std::map<uint64_t, Arrival> recovered_;  // not released yet
  std::optional<umberhoist::recovery::StagedRecovery> recovery_;
  uint64_t running_version_ = 0;
  std::string version_text_;
};

}  // namespace firspool::relay

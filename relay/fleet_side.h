// Where the daemon meets the fleet: whose scouts go where, what others saw, which configuration is run, and
// how what the folder held comes back. A relay without a fleet has none of it.
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
    std::function<std::vector<int>()> known_destinations;   // all that are known
    std::function<std::vector<int>()> open_destinations;    // destinations of what is held
    std::function<bool(const std::string&)> apply_version;  // a version's text; empty: the own file's
  };

  FleetAdapter(boost::asio::io_context& io, std::unique_ptr<umberhoist::fleet::Fleet> fleet,
               const Settings& settings, uint64_t seed, Hooks hooks);

  // A message from before the restart: handed to the module when its turn has come.
  void add_recovered(const Arrival& in);
  void start_recovery(Time now);  // no more of them come
  void on_attempt_ended(int destination, Outcome outcome, Time now);
  void on_destination_state(const DestinationState& memory);
  void on_message_ended(uint64_t number);
  void propose(std::string text, std::function<void(bool, const std::string&)> told) {
    fleet_->propose_version(std::move(text), std::move(told));
  }
  void announce_shutdown() { fleet_->announce_leaving(); }

 private:
  void tick();
  void apply_current_version();
  void notify_module();
  void report_health(Time now);
  void release_messages(Time now);

  const Settings& settings_;
  uint64_t seed_;
  std::unique_ptr<umberhoist::fleet::Fleet> fleet_;
  Hooks hooks_;
  boost::asio::steady_timer timer_;
  std::map<int, TrialAssignment::Duty> trial_duties_;  // as the module was told
  std::map<int, DestinationState> outages_;            // as the module told
  std::map<int, Time> last_served_;                    // when a call was last served
  std::map<int, std::pair<Time, Time>>
      reported_outages_;  // what others saw, as the module was told: out, back
  std::map<uint64_t, Arrival> recovered_;
  std::optional<umberhoist::recovery::StagedRecovery> recovery_;
  uint64_t running_version_ = 0;
  std::string version_text_;
};

}  // namespace firspool::relay

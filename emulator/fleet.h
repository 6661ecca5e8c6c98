// A fleet in virtual time: one real decision module for each relay, against a few modelled destinations. What
// is harmless in one relay and harmful in three hundred shows here, in one process, on a made-up clock.
//
// A relay is modelled as the daemon's shell is: it keeps idle connections, and starts a call on a fresh one
// where it has none. A host holds so many connections, serves so many calls at once, and queues a few. A run
// is deterministic for a seed: events at one time happen in the order in which they were planned.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <span>
#include <vector>

#include "firspool/policy.h"

namespace umberhoist::emulator {

using firspool::Endpoint;
using firspool::Time;

constexpr Time kSecond = 1'000'000;

struct DestinationModel {
  int number = 0;
  int kind = 0;
  std::vector<Endpoint> hosts;
  double weight = 1;  // as the list tells it: calls a second that it takes from all relays together
  // Each host of it:
  Time service_time = 100'000;
  int concurrency = 4;      // calls served at once
  int max_queued = 8;       // calls that wait for a place
  int max_connections = 0;  // that it holds at most, idle ones counted; 0: any number
  // The whole of it:
  double rate_limit = 0;             // calls a second above which it turns away; 0: none
  bool refused_calls_count = false;  // whether calls that it turns away use the rate up too
  double retry_after_share = 0;      // of these refusals, those that tell to wait
  Time retry_after = 0;              // and for how long
  Time down_from = 0;                // from then on it refuses connections
  Time down_to = 0;                  // and is back, cold, from here on
  Time unresponsive_from =
      0;  // from then on nothing comes back: what came before runs on, its answer is lost
  Time unresponsive_to = 0;
  double reset_share = 0;  // of the calls that it serves, those whose connection is reset before the answer
  double load = 0;         // messages a second handed in for it, over all relays
  int message_class = 0;   // of these
};

struct Change {  // of destinations, on the way
  Time at = 0;
  double DestinationModel::*field = nullptr;
  double value = 0;
};

struct MassRestart {  // relays that are killed at once, and come back within a second of each other
  Time killed_at = 0;
  double share = 0;   // of all; 0: none
  Time downtime = 0;  // until the first of them is back
};

struct FleetModel {
  firspool::Settings settings;  // `relays` says how many
  std::vector<DestinationModel> destinations;
  std::vector<Change> changes;  // each of all destinations
  MassRestart mass_restart;
  std::vector<double> traffic_shares;  // of the traffic, for each relay; empty: alike
  Time one_way_latency = 20'000;       // to a host
  int handshake_round_trips = 2;       // round trips that a new connection takes
  Time duration = 30 * kSecond;        // messages are handed in for so long
  uint64_t seed = 1;
  // Sees each step of each relay's module.
  std::function<void(size_t relay, Time, std::span<const firspool::Event>, std::span<const firspool::Action>)>
      on_step;
};

struct DestinationCounts {  // of one destination
  int64_t offered = 0;
  int64_t delivered = 0;
  int64_t in_time = 0;
  int64_t refused = 0;
  int64_t refused_late = 0;  // of these, in the last second of their time
  int64_t failed = 0;
  int64_t forbidden_repeats =
      0;  // calls that its class forbids, as an earlier one may have run, also before a restart
  int64_t calls_after_drain =
      0;              // calls sent to a host a grace after its relay was told that it drains or is gone
  int64_t calls = 0;  // that reached a host which was up
  int64_t new_connections = 0;            // of these, on a new connection
  int64_t connection_limit_refusals = 0;  // turned away for want of a place among its connections
  int64_t other_refusals = 0;             // turned away for another reason
  int64_t connect_failures = 0;           // that found it down
  int64_t probes = 0;
  // The most that was sent in a fall window after its return, in parts of what it could do then.
  double max_slow_start_load = 0;
  double max_slow_start_load_informed = 0;  // and where relays that saw it fail sent two thirds of this
  // Returns after which more came within a fall window than a budget of N calls and what chance adds to it,
  // twice the root of N and two more; and of these, those on which it were relays that saw it fail.
  int64_t overloads = 0;
  int64_t overloads_informed = 0;
  double max_overload_excess = 0;  // the most that came over N from those, in roots of N

  DestinationCounts& operator+=(const DestinationCounts& other);  // of the worst, the worse
};

// Settings as a deployment of so many relays is usually given them: one class, safe to repeat.
firspool::Settings typical_settings(int relays);

class FleetEmulator {
 public:
  explicit FleetEmulator(FleetModel model);
  ~FleetEmulator();

  void schedule(Time when, std::function<void()> action);  // something that the test does on the way
  // Killed now, or told to end and killed a while later; back at a time with what its folder would hold.
  void kill(size_t relay, Time back);
  void shut_down(size_t relay, Time killed, Time back);
  // Tells all relays of members, each by itself within a time.
  void update_members(std::vector<firspool::Member> members, Time within);
  void run();

  DestinationModel& destination(int number);  // may be changed on the way
  const DestinationCounts& counts(int destination) const { return counts_.at(destination); }
  DestinationCounts total() const;

 private:
  struct Relay;
  struct Host;
  struct Event {
    Time at = 0;
    uint64_t sequence = 0;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  void submit(const DestinationModel& destination);
  Relay* choose_relay();
  void start(Relay& relay, bool first);
  bool may_repeat(const Relay& relay, uint64_t id) const;
  void post_event(Relay& relay, firspool::Event event);
  void step(Relay& relay);
  void execute(Relay& relay, const firspool::Action& action);
  void start_call(Relay& relay, const firspool::Send& send);
  void receive_call(uint64_t call);
  void start_service(Host& host, uint64_t call);
  void end_call(uint64_t call, firspool::Outcome outcome, Time wait, bool connection_limit_reached,
                bool keep_connection);
  void close_idle_connections(Relay& relay, const Endpoint& endpoint);
  void evaluate_slow_start(const DestinationModel& destination);

  FleetModel model_;
  std::mt19937_64 random_;
  Time now_ = 0;
  uint64_t next_sequence_ = 0;
  uint64_t last_message_ = 0;
  uint64_t last_call_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::unique_ptr<Relay>> relays_;
  std::map<Endpoint, Host> hosts_;
  std::vector<firspool::Member> host_list_;  // as the last told
  std::map<int, DestinationCounts> counts_;
  struct Call;
  std::map<uint64_t, Call> calls_;
  std::discrete_distribution<size_t> load_balancer_;
};

}  // namespace umberhoist::emulator

// Simulates a fleet in virtual time: one real policy per relay, against a few modelled destinations. It
// shows, in one process, effects that are harmless with one relay and harmful with three hundred.
//
// A relay is modelled as the daemon behaves: it keeps idle connections and opens a new one if none is idle. A
// host holds a limited number of connections, serves a limited number of calls at once and queues a few. A
// run is deterministic for a seed: events at the same time happen in the order in which they were scheduled.
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

// What happens to calls during an outage.
enum class OutageKind {
  kConnectionsRefused,
  kCallsRefused,   // each call is refused without being executed
  kHang,           // calls are received and never answered
  kMostCallsFail,  // a share of the calls is answered with an error at once; the others are served
};

struct DestinationModel {
  int number = 0;
  int kind = 0;
  std::vector<Endpoint> hosts;
  double weight = 1;  // in the host list: calls a second that it accepts from all relays together
  // Per host:
  Time service_time = 100'000;
  int concurrency = 4;      // calls served at once
  int max_queued = 8;       // calls that wait to be served
  int max_connections = 0;  // including idle ones; 0: unlimited
  // Per destination:
  double rate_limit = 0;             // calls a second above which it refuses; 0: none
  bool refused_calls_count = false;  // whether refused calls use up the limit too
  double retry_after_share = 0;      // share of these refusals that ask for a wait
  Time retry_after = 0;              // the wait that they ask for
  Time down_from = 0;                // the outage begins
  Time down_to = 0;                  // it serves again from this time, in slow start
  OutageKind outage_kind = OutageKind::kConnectionsRefused;
  // From this time the host list has as many new hosts in place of `hosts`; 0: never. The old ones behave
  // like the new ones, for relays that do not know the list yet.
  Time hosts_replaced_at = 0;
  double outage_retry_after_share = 0;  // kCallsRefused: share of the refusals that tell when the outage ends
  double outage_failing_share = 0;      // kMostCallsFail: share of the calls that end with an error
  Time failing_from = 0;                // in this interval some calls are answered with an error
  Time failing_to = 0;
  double failing_share = 0;  // share of the calls that end so
  // In this interval nothing is answered: calls received before it are executed, but their answers are lost.
  Time unresponsive_from = 0;
  Time unresponsive_to = 0;
  double reset_share = 0;  // share of the served calls whose connection is reset before the answer
  double load = 0;         // messages a second submitted for it, over all relays
  // Share of these messages that come in clumps, all of a clump at once. A clump holds as many as the weight
  // admits in `clump_seconds`.
  double clump_share = 0;
  double clump_seconds = 0;
  int message_class = 0;  // class of these messages
};

// Sets a field of all destinations at a given time.
struct Change {
  Time at = 0;
  double DestinationModel::*field = nullptr;
  double value = 0;
};

// A share of the relays is killed at once; they are restarted within a second of each other.
struct MassRestart {
  Time killed_at = 0;
  double share = 0;   // of all relays; 0: none
  Time downtime = 0;  // until the first of them is restarted
};

struct FleetModel {
  firspool::Settings settings;  // `relays` is the size of the fleet
  std::vector<DestinationModel> destinations;
  std::vector<Change> changes;
  MassRestart mass_restart;
  std::vector<double> traffic_shares;  // share of the traffic per relay; empty: even
  Time one_way_latency = 20'000;       // to a host
  int handshake_round_trips = 2;       // to open a connection
  Time duration = 30 * kSecond;        // messages are submitted for this long
  uint64_t seed = 1;
  // Called after each step of each relay's policy.
  std::function<void(size_t relay, Time, std::span<const firspool::Event>, std::span<const firspool::Action>)>
      on_step;
};

// What the sender of a call or probe had learned of the destination since its process was started.
enum class SenderKnowledge {
  kNone,         // no call of it had ended there
  kServed,       // the last one was served
  kFailed,       // the last one failed or was refused
  kServedAfter,  // a call failed or was refused, and the last one was served
};

// A call or probe that reached a destination while it was up.
struct ReceivedCall {
  Time at = 0;
  size_t relay = 0;
  bool is_probe = false;
  Time sent = 0;
  SenderKnowledge knowledge = SenderKnowledge::kNone;
  Time knowledge_age = 0;  // since the last call of the sender ended there
  bool informed = false;   // the sender had seen a call or probe fail during the outage
};

// The first overload window of a recovery that got more calls than the terms of service tolerate.
struct OverloadWindow {
  Time begins = 0;
  double budget = 0;
  std::vector<ReceivedCall> calls;
};

// Counts for one destination.
struct DestinationCounts {
  int64_t offered = 0;
  int64_t delivered = 0;
  int64_t in_time = 0;
  int64_t refused = 0;
  int64_t refused_late = 0;  // of these, in the last second of their lifetime
  int64_t failed = 0;
  // Calls that the class forbids because an earlier one may have been executed, also before a restart.
  int64_t forbidden_repeats = 0;
  // Calls sent to a host more than the drain grace after the relay was notified that it is draining or
  // removed.
  int64_t calls_after_drain = 0;
  int64_t calls = 0;                      // received by a host that was up
  int64_t new_connections = 0;            // of these, on a new connection
  int64_t connection_limit_refusals = 0;  // refused because the host's connection limit was reached
  int64_t other_refusals = 0;             // refused for another reason
  int64_t connect_failures = 0;           // calls to a host that was down
  int64_t unanswered = 0;                 // calls to a host that hung
  int64_t probes = 0;
  // Maximum load within an overload window of a recovering destination, as a multiple of its capacity at that
  // time.
  double max_slow_start_load = 0;
  // The same, only for windows in which relays that had seen it fail sent at least two thirds of the load.
  double max_slow_start_load_informed = 0;
  // Recoveries with an overload window that got more than N + 2 * sqrt(N) + 2 calls, where N is the window's
  // budget: the settings' overload factor times the capacity. And of these, those with such a window in which
  // relays that had seen it fail sent at least two thirds of the load.
  int64_t overloads = 0;
  int64_t overloads_informed = 0;
  // Recoveries that violate the terms of service: the same as overloads_informed, with a tolerance of
  // 3 * sqrt(N) + 3 calls where N is less than 30.
  int64_t slow_start_violations = 0;
  // Recoveries with a window over that tolerance, whichever relays sent its load.
  int64_t slow_start_violations_by_all = 0;
  // Maximum of (load - N) / sqrt(N) over the windows in which those relays sent two thirds of the load.
  double max_overload_excess = 0;

  // Adds the counts and keeps the larger of the maxima.
  DestinationCounts& operator+=(const DestinationCounts& other);
};

// Typical settings of a deployment with this many relays: one class, safe to repeat.
firspool::Settings typical_settings(int relays);

class FleetEmulator {
 public:
  explicit FleetEmulator(FleetModel model);
  ~FleetEmulator();

  // Runs an action of the caller at a given time.
  void schedule(Time when, std::function<void()> action);
  // Kills a relay now, or tells it the time at which it will be killed; restarts it at `restart_at` with the
  // state that its folder would hold.
  void kill(size_t relay, Time restart_at);
  void shut_down(size_t relay, Time kill_at, Time restart_at);
  // Notifies all relays of changed hosts, each at a random time within `within`.
  void update_members(std::vector<firspool::Member> members, Time within);
  // Runs until the lifetime of the last submitted message has passed.
  void run();

  DestinationModel& destination(int number);  // may be changed during the run
  const DestinationCounts& counts(int destination) const { return counts_.at(destination); }
  DestinationCounts total() const;
  // The first window of the destination's recovery over the tolerance; no calls: there was none.
  const OverloadWindow& overload_window(int destination) const { return overload_windows_.at(destination); }

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
  void submit_clumps(const DestinationModel& destination);
  void submit_message(const DestinationModel& destination);
  void replace_hosts(const DestinationModel& destination);
  Relay* choose_relay();
  void start(Relay& relay, bool first);
  bool may_repeat(const Relay& relay, uint64_t id) const;
  void post_event(Relay& relay, firspool::Event event);
  void step(Relay& relay);
  void execute(Relay& relay, const firspool::Action& action);
  void start_call(Relay& relay, const firspool::Send& send);
  void receive_call(uint64_t call);
  void receive_call_during_outage(uint64_t call, const DestinationModel& destination);
  void start_service(Host& host, uint64_t call);
  void end_call(uint64_t call, firspool::Outcome outcome, Time wait, bool connection_limit_reached,
                bool keep_connection);
  void close_idle_connections(Relay& relay, const Endpoint& endpoint);
  static bool is_out(const DestinationModel& destination, Time at);
  bool serves_during_outage(const DestinationModel& destination);
  ReceivedCall received_call(const Relay& relay, int destination, Time sent) const;
  void evaluate_slow_start(const DestinationModel& destination);

  FleetModel model_;
  std::mt19937_64 random_;
  Time now_ = 0;
  uint64_t next_sequence_ = 0;
  uint64_t last_message_id_ = 0;
  uint64_t last_call_number_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::unique_ptr<Relay>> relays_;
  std::map<Endpoint, Host> hosts_;
  std::vector<firspool::Member> host_list_;  // host list after the last update
  std::map<int, DestinationCounts> counts_;
  std::map<int, OverloadWindow> overload_windows_;
  struct Call;
  std::map<uint64_t, Call> calls_;
  std::discrete_distribution<size_t> load_balancer_;
};

}  // namespace umberhoist::emulator

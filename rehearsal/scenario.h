// A scenario describes the relays, partners and clients of a rehearsal, the load, and the scheduled events
// such as outages. It is read from TOML. A syntax error, a value out of range or an unknown key raises a
// ScenarioError that names file, line and column. Fields are named after their keys; a suffix gives the unit.
#pragma once

#include <filesystem>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "rehearsal/checker.h"

namespace umberhoist::rehearsal {

class ScenarioError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;  // "file:line:column: what is wrong, and what was expected"
};

struct ValueRange {  // values are drawn uniformly from it
  double low = 0;
  double high = 0;
};

enum class Limit { kNone, kRate, kWindow };

struct KindSpec {
  std::string name;
  double share = 1;  // relative share of the partners
  double lean = 0;   // -1 to 1: above 0, partners of this kind tend to get more traffic
  ValueRange endpoints{1, 2};
  ValueRange service_ms{40, 80};
  double cv = 0.6;
  double spare = 1.4;     // capacity as a multiple of the calls at full load
  double least_rate = 3;  // lower bound of capacity and limit, calls per second
  Limit limit = Limit::kNone;
  double headroom = 1.6;         // limit as a multiple of the calls at full load
  ValueRange span_s{1, 2};       // window length for Limit::kWindow
  double tells_wait = 0.5;       // share of refusals that carry a wait
  ValueRange wait_ms{200, 700};  // wait in the refusals for Limit::kRate
  double queue_s = 0.5;          // longest time a call may be queued
  int connections = 0;           // connections an endpoint accepts; 0: unlimited
  double error_rate = 0;
};

struct ClassSpec {
  std::string name;
  double share = 1;
  Effect effect = Effect::kUnsafe;
  double key_window_s = 15;
  double aim_s = 2;
  double give_up_s = 16;
  double worth = 1;
  double late_worth = 0.3;
  std::vector<std::string> kinds;  // kinds of partners it is sent to; empty: all
};

struct TenantSpec {
  std::string name;
  double share = 1;        // relative share of the messages
  double quota_per_s = 0;  // messages that all relays together accept at full worth; 0: no quota
};

// How the worth of a delivery falls after `aim_s`: it halves with each further `aim_s`, or falls linearly
// until `give_up_s`. It never falls below the class's `late_worth`.
enum class LateWorthDecay { kHalving, kLinear };

struct BurstSpec {
  double at_s = 0;
  double for_s = 1;
  double factor = 2;
};

struct LoadSpec {
  double rate = 69;   // messages per second
  double full = 1.3;  // full load as a multiple of `rate`; partners are sized for it
  double swing = 0;   // relative amplitude of a sine wave; 0: constant rate
  double period_s = 20;
  double clump_share = 0.1;  // share of messages that arrive in clumps to one partner
  ValueRange clump_s{1.2, 3.3};
  ValueRange body_bytes{64, 512};
  std::vector<BurstSpec> bursts;
};

enum class Action {
  // Up to kWithdraw: actions with partners as targets.
  kSilent,     // partner: no replies and no resets; new connections are never established
  kHang,       // partner: connections and calls are accepted, but never answered
  kShut,       // partner: all calls are refused
  kRefuse,     // partner: connections are refused
  kFail,       // partner: a share of the calls is answered with 500
  kSlow,       // partner: service times grow by a factor
  kReset,      // partner: a share of the calls is reset after being read
  kSpoil,      // partner: a share of the responses is malformed
  kCopy,       // partner: a share of the answers is written a second time
  kHold,       // partner: new connections are established late; open ones continue
  kWithdraw,   // partner: all endpoints leave the list; new ones are listed when the event ends
  kReplace,    // a share of all endpoints is drained and replaced by new ones
  kLag,        // the discovery lag grows
  kBlackout,   // discovery agents do not answer
  kCrowd,      // idle clients connect to a relay
  kKill,       // relay: SIGKILL and restart
  kTerminate,  // relay: SIGTERM, SIGKILL after a time-out, and restart
  kRolling,    // all relays are terminated and restarted one after the other
  kMove,       // relay: its discovery agent moves to another port, SIGHUP
  kNotices,    // notices are read, but acknowledged only when the event ends
  kLose        // relay: SIGKILL, loss of its folder, and restart
};

struct EventSpec {
  double at_s = 0;
  double for_s = 0;
  int times = 1;       // number of occurrences,
  double every_s = 0;  // and the time between their starts
  Action action = Action::kSilent;
  std::string kind;     // target partners: those of this kind,
  std::string partner;  // the one with this name,
  int largest = 0;      // this many with the most traffic,
  double share = 0;     // or a random set with this share of the traffic
  int relay = -1;       // target relay; -1: drawn at random
  double amount = 0;    // share, factor, rate or seconds, as the action needs
  bool wait_told = false;
  ValueRange late_ms{0, 0};  // kCopy: delay of the second answer
  double part = 1;           // kCopy: share of its bytes that are written
  double linger_s = 0;       // kReplace: how long an endpoint stays reachable after it left the list
  bool same_address = true;  // kReplace: some new endpoints take the address of a removed one
  std::string where;         // file:line:column
};

// Requirements on the outcome beside the rules, for faults that cost worth but break no rule.
struct ExpectSpec {
  std::string of_class;   // empty: all classes
  std::string of_tenant;  // instead of a class
  double delivered = 0;   // minimum share of the messages delivered
  double in_time = 0;     // minimum share of the messages delivered in time
  double failed = 1;      // maximum share that failed
  double refused = 1;     // maximum share given up after refusals
  double attempts = 0;    // maximum attempts per message over all classes; 0: not checked
  std::string where;
};

struct Scenario {
  std::string name;
  std::string title;
  double seconds = 30;
  uint64_t seed = 1;
  // relays
  int relays = 2;
  int sockets = 1024;
  bool group_durability = false;
  bool fleet = false;  // run a fleet; the first three relays are voters, or five if there are nine or more
  int memory_mb = 192;
  double disk_mb = 3;
  double cores = 0;         // CPU quota of a relay in cores; 0: unlimited
  double slots_room = 2.2;  // concurrent calls as a multiple of those at full load
  int least_slots = 4;      // lower bound of Plan::slots
  double hold_s = 8;        // messages that a relay may hold, in seconds of full load
  int least_open = 16;      // lower bound of Plan::max_open
  double restart_s = 0.6;   // from the exit of a process to the start of the next
  // partners
  int partners = 16;
  double zipf = 0.8;  // exponent of the traffic distribution
  int zones = 2;
  ValueRange lag_s{1.4, 4.9};   // lag of discovery
  bool known_at_first = false;  // relays restart with the list of their first start, not the current one
  double idle_s = 10;           // an endpoint closes a connection idle for this long
  double connect_timeout_s = 1;
  // clients
  int retries = 2;
  double honour = 0.7;  // share of clients that wait as long as a refusal asks
  ValueRange backoff_ms{360, 1400};
  ValueRange notice_s{1.2, 3.8};  // until clients stop using a relay that has exited
  ValueRange again_s{0.35, 2};    // until messages of an exited relay are resubmitted
  LateWorthDecay late = LateWorthDecay::kHalving;
  double over_share_worth = 1;  // relative worth of a tenant's messages beyond its quota
  int max_attempts = 6;
  bool probes = true;
  RuleParameters rule_parameters;  // `classes` is filled in from the [[class]] tables
  LoadSpec load;
  std::vector<KindSpec> kinds;
  std::vector<ClassSpec> classes;
  std::vector<TenantSpec> tenants;  // empty: messages carry no tenant
  std::vector<EventSpec> events;
  std::vector<ExpectSpec> expects;
};

// `sets` holds key=value pairs that override values of the text, such as "load.rate=200". Throws
// ScenarioError.
Scenario parse_scenario(const std::string& text, const std::string& name,
                        const std::vector<std::string>& sets);
// Loads a bundled scenario by its name, or a file. Throws ScenarioError.
Scenario load_scenario(const std::string& file_or_name, const std::vector<std::string>& sets);

struct BundledScenario {
  std::string name;
  std::string title;
  std::string text;
};
const std::vector<BundledScenario>& bundled_scenarios();

std::string describe(const Scenario& scenario);  // the text printed by `check`
const char* action_name(Action action);

}  // namespace umberhoist::rehearsal

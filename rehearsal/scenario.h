// A scenario: the world that a rehearsal plays, the load on it, and the script of what goes wrong. Read from
// TOML; what cannot be read, is out of range or is not known is one error with file, line and column.
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
  using std::runtime_error::runtime_error;  // "file:line:column: what, and what was expected"
};

struct ValueRange {  // a range to draw from, evenly
  double low = 0;
  double high = 0;
};

enum class Limit { kNone, kRate, kWindow };

struct KindSpec {
  std::string name;
  double share = 1;  // of the partners
  double lean = 0;   // of the traffic: partners of this kind come earlier (1) or later (-1) by size
  ValueRange endpoints{1, 2};
  ValueRange service_ms{40, 80};
  double cv = 0.6;
  double spare = 1.4;     // capacity over the calls at full load
  double least_rate = 3;  // calls a second that any of them takes
  Limit limit = Limit::kNone;
  double headroom = 1.6;    // a limit over the calls at full load
  ValueRange span_s{1, 2};  // of a windowed limit
  double tells_wait = 0.5;
  ValueRange wait_ms{200, 700};  // told by a plain rate
  double queue_s = 0.5;          // what may wait, in time
  int connections = 0;           // an endpoint takes; 0: no limit
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
  std::vector<std::string> kinds;  // that it goes to; empty: all
};

struct TenantSpec {
  std::string name;
  double share = 1;        // of the messages
  double quota_per_s = 0;  // that all relays together take at full worth; 0: none
};

// What a delivery after its aim is still worth: half as much with each further aim, or less and less up to
// the end; never under the class's late_worth.
enum class LateWorthDecay { kHalving, kLinear };

struct BurstSpec {
  double at_s = 0;
  double for_s = 1;
  double factor = 2;
};

struct LoadSpec {
  double rate = 69;   // messages a second
  double full = 1.3;  // full load over it: partners are sized for that
  double swing = 0;   // of a wave; 0: steady
  double period_s = 20;
  double clump_share = 0.1;
  ValueRange clump_s{1.2, 3.3};
  ValueRange body_bytes{64, 512};
  std::vector<BurstSpec> bursts;
};

enum class Action {
  kSilent,     // no answer, no reset; new connections never come up
  kHang,       // connections come up, calls are read, nothing is answered
  kShut,       // turns all away
  kRefuse,     // connections are refused
  kFail,       // a share of the calls ends with 500
  kSlow,       // by a factor
  kReset,      // a share of the calls is broken off after they were read
  kSpoil,      // a share of the answers is unreadable
  kHold,       // new connections come up late; open ones go on
  kWithdraw,   // none of a partner's endpoints is in the list; new ones when it ends
  kReplace,    // a share of all endpoints is drained and replaced by new ones
  kLag,        // discovery runs further behind
  kBlackout,   // discovery is silent
  kCrowd,      // clients that connect and say nothing
  kKill,       // relay: SIGKILL and a start
  kTerminate,  // relay: SIGTERM, and SIGKILL if it takes too long, and a start
  kRolling,    // all relays, one after the other, by SIGTERM
  kMove,       // discovery moves, SIGHUP
  kNotices,    // notices are read, and answered only when this ends
  kLose        // relay: SIGKILL, its folder is gone, and a start
};

struct EventSpec {
  double at_s = 0;
  double for_s = 0;
  int times = 1;       // it happens so often,
  double every_s = 0;  // so long apart
  Action action = Action::kSilent;
  std::string kind;     // targets: partners of this kind,
  std::string partner;  // this one,
  int largest = 0;      // so many of the largest,
  double share = 0;     // or as many as get this share of the traffic
  int relay = -1;       // -1: drawn
  double amount = 0;    // the share or factor of the action
  bool wait_told = false;
  double linger_s = 0;       // replacing: one that has left the list is still reachable for so long
  bool same_address = true;  // replacing: some newcomers come up where one has gone
  std::string where;         // file:line:column
};

// What a scenario asks of the outcome beside the rules, for what is lost in worth and not in a rule.
struct ExpectSpec {
  std::string of_class;   // empty: all
  std::string of_tenant;  // in place of a class
  double delivered = 0;   // at least this share of what was asked
  double in_time = 0;     // and of these, at least
  double failed = 1;      // at most
  double refused = 1;     // for good, at most
  double attempts = 0;    // for each message at most, over all classes; 0: any
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
  bool fleet = false;  // the relays agree among themselves; the first three, or five of nine and more, vote
  int memory_mb = 192;
  double disk_mb = 3;
  double cores = 0;         // of a core that it gets; 0: as much as there is
  double slots_room = 2.2;  // calls out at once, over what full load keeps busy
  int least_slots = 4;
  double hold_s = 8;  // of full load that a relay may hold
  int least_open = 16;
  double restart_s = 0.6;  // from the end of a process to the next
  // partners
  int partners = 16;
  double zipf = 0.8;
  int zones = 2;
  ValueRange lag_s{1.4, 4.9};  // of discovery
  bool known_at_first =
      false;           // each start is given the list as it was at the first; else as its agent has it
  double idle_s = 10;  // an endpoint closes an idle connection
  double connect_timeout_s = 1;
  // clients
  int retries = 2;
  double honour = 0.7;  // share of clients that heed the told time
  ValueRange backoff_ms{360, 1400};
  ValueRange notice_s{1.2, 3.8};  // until the front notices a dead relay
  ValueRange again_s{0.35, 2};    // until what a dead relay held comes again
  LateWorthDecay late = LateWorthDecay::kHalving;
  double over_share_worth = 1;  // what a tenant's message beyond its quota is worth
  int max_attempts = 6;
  bool probes = true;
  RuleParameters rule_parameters;  // classes are filled in from below
  LoadSpec load;
  std::vector<KindSpec> kinds;
  std::vector<ClassSpec> classes;
  std::vector<TenantSpec> tenants;  // empty: messages name none
  std::vector<EventSpec> events;
  std::vector<ExpectSpec> expects;
};

// `sets` are key=value pairs that replace a value of the text, such as "load.rate=200".
Scenario parse_scenario(const std::string& text, const std::string& name,
                        const std::vector<std::string>& sets);
Scenario load_scenario(const std::string& file_or_name, const std::vector<std::string>& sets);

struct BundledScenario {
  std::string name;
  std::string title;
  std::string text;
};
const std::vector<BundledScenario>& bundled_scenarios();

std::string describe(const Scenario& scenario);  // for `check`: what will be played, in words
const char* action_name(Action action);

}  // namespace umberhoist::rehearsal

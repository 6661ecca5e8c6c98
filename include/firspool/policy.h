// The interface of firspool: settings, events in, actions out, and the class that decides.
//
// Contract of Policy::step: call it once for each batch of events, with a clock that never goes back. All
// events of the batch are folded into the state first, then decisions are taken once. Actions are appended to
// the vector, which belongs to the caller. Each message that arrived gets one final answer: an Outcome with
// `final` set, a Refuse or a Fail. A Policy keeps no thread and no lock: use each object from one thread at a
// time. Wrong use (time going back, a message id given twice, an unknown class) throws std::invalid_argument
// and leaves the event unread.
#pragma once

#include <compare>
#include <cstdint>
#include <limits>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace firspool {

using Time = int64_t;  // microseconds; as a point in time its origin is arbitrary

struct Endpoint {  // one address of a destination; returned as it was given
  uint32_t address = 0;
  uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
};

// ---- Settings: told once, at the start ----

enum class Effect { kSafe, kKeyed, kUnsafe };       // what a second run of a message would do
enum class KeyScope { kAll, kZone, kDestination };  // which endpoints of a destination drop repeats

struct ClassSettings {
  std::string name;
  Effect effect = Effect::kUnsafe;
  KeyScope key_scope = KeyScope::kAll;
  Time key_window =
      0;  // keyed: how long a destination remembers a key, from the first send that may have run
  bool in_order = false;  // messages of one key go one at a time
  Time target = 0;        // delivered within this time, a message earns its full worth
  Time give_up = 0;       // how long it may be delivered, from when it was first handed in
  double worth = 1;
  double late_worth = 0;  // share of the worth that is left at the end
};

struct KindSettings {
  std::string name;
  bool independent_endpoints =
      false;          // the endpoints of a destination are routes apart, each with its own limit and outages
  int max_batch = 1;  // messages that may travel as one call
};

struct TenantSettings {
  std::string name;
  double quota_per_s = 0;  // rate of all relays together that earns its full worth; 0: no quota
};

enum class Weights {
  kNone,
  kNominal,
  kRough
};  // what an endpoint's weight holds: the destination's limit, or nothing

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;
  int self = 0;
  int relays = 1;
  int zone = 0;
  int slots = 1;     // calls out at once
  int max_open = 1;  // messages held at once, sent or not
  int max_attempts = 1;
  int streams_per_conn = 1;
  bool may_probe = false;
  bool may_notify_peers = false;
  bool may_cancel = false;
  bool list_requires_watch = false;      // the list comes only to those who watch
  bool clients_get_retry_after = false;  // clients are told the wait of a Refuse
  bool exponential_late_worth =
      false;  // worth falls by half with each further target; else evenly to the end
  Weights weights = Weights::kNone;
  int report_remaining_index =
      -1;                       // index of the share of a limit that is left, in a report; -1: not reported
  int report_limit_index = -1;  // index of the limit in calls a second; -1: not reported
  double over_quota_worth = 1;
  Time tick = 0;
  Time conn_idle_timeout = 0;
  Time connect_timeout = 0;
  Time max_retry_after = 0;
  Time reply_slack = 0;
  Time drain_grace = 0;
  Time list_request_interval = 0;
  Time in_order_pause = 0;
  Time slow_start = 0;         // after an outage a destination is warm within this time
  Time overload_window = 0;    // sent too much for this long while cold, it falls over
  double overload_factor = 1;  // too much: more than this many times its capacity at that moment
  double start_capacity = 1;   // share of its capacity that it returns with
  double price_cross_zone = 0;
  double price_handshake = 0;
  double price_waste = 0;
  double price_late_fail = 0;
  double price_probe = 0;
  double price_refused = 0;
  double price_peer = 0;
  std::vector<double> zone_fee;  // for each zone: price of a message taken on by a route apart
};

// Reads settings from path=value lines. Unknown keys are skipped; a needed key that is missing or unreadable
// throws std::invalid_argument naming it.
Settings parse_settings(std::string_view facts);

// ---- Events ----

enum class HostState { kReady, kDraining, kRemoved };

struct Member {
  Endpoint endpoint;
  HostState state = HostState::kReady;
  int zone = 0;
  int kind = 0;
  int destination = 0;
  double weight = 1;
};

struct MembersChanged {
  enum class Form { kDelta, kFull, kFailed };
  Form form = Form::kFull;
  std::shared_ptr<const std::vector<Member>> members;  // may be null when the form is kFailed
};

struct Arrival {
  uint64_t id = 0;
  int message_class = 0;
  int tenant = 0;    // index in the settings; -1: none, and no quota
  uint64_t key = 0;  // for classes in order: what the message is about; 0: nothing
  Time due = 0;
  int destination = 0;
  // Of a message that is resumed after a restart: what became of it before. Attempts are counted on.
  int attempts = 0;
  bool maybe_executed = false;   // an attempt may have run
  Time maybe_executed_sent = 0;  // when the first such attempt was sent
  int maybe_executed_zone = 0;
};

enum class Outcome {
  kOk,
  kError,
  kRefused,
  kTimeout,
  kConnectFailed,
  kReset,
  kCancelled,
  kNotStarted,
  kMalformed  // an answer that cannot be read: it may have run, and the host is well
};

struct AttemptEnded {
  uint64_t id = 0;
  int attempt = 0;  // counted from 0 in the order of the message's Sends
  Endpoint endpoint;
  Outcome outcome = Outcome::kError;
  bool final = false;  // the message is finished
  Time duration = 0;
  Time retry_after = 0;  // with kRefused or kMalformed: the wait that was told, 0 if none
  bool connection_limit_reached =
      false;  // with kRefused: the host ended the new connection on which it turned the call away
  std::vector<float> report;
};

struct ProbeEnded {
  Endpoint endpoint;
  bool ok = false;
  Time duration = 0;
  std::vector<float> report;
};

struct Withdrawn {
  uint64_t id = 0;
};

struct TimerFired {
  uint64_t token = 0;
};

struct PeerMessage {
  int from = 0;
  std::string bytes;
};

// What a fresh module would not know of a destination: it is told by SaveDestinationState, and given back
// after a restart by the caller, before any message is. Outages of routes apart are not told.
struct DestinationState {
  int destination = 0;
  int retry_tokens = 0;      // of the retry bucket, in its parts
  Time outage_start = 0;     // 0: no outage
  Time recovery_start = 0;   // 0: still out
  double baseline_rate = 0;  // own served rate before it
  double pacing_rate = 0;    // own calls a second at most, in steps; 0: it was never refused
  bool operator==(const DestinationState&) const = default;
};

// Who finds out when an outage of a destination ends. Of routes apart each relay does so itself.
struct TrialAssignment {
  enum class Duty { kShared, kSelf, kOther };  // each relay its even part; this one for all; another one
  int destination = 0;
  Duty duty = Duty::kShared;
};

// What another relay saw of a destination; of no weight against what this one saw itself.
struct PeerHealthReport {
  int destination = 0;
  Time outage_start = 0;
  Time recovery_start = 0;   // 0: still out
  double baseline_rate = 0;  // served a second before, as that relay knew
};

struct ShutdownScheduled {  // this process ends soon: a call that may not be over by then is not started
  Time at = 0;
};

using Event =
    std::variant<MembersChanged, Arrival, AttemptEnded, ProbeEnded, Withdrawn, TimerFired, PeerMessage,
                 ShutdownScheduled, DestinationState, TrialAssignment, PeerHealthReport>;

// ---- Actions ----

struct Send {  // answered by one AttemptEnded, kTimeout at the latest after `timeout`
  uint64_t id = 0;
  Endpoint endpoint;
  Time timeout = 0;
  Time start_by = std::numeric_limits<Time>::max();  // no byte of it may be written later
};

struct Refuse {  // ends the message; a retry by the client is harmless
  uint64_t id = 0;
  Time retry_after = 0;
};

struct Fail {  // ends the message; nothing is promised
  uint64_t id = 0;
};

struct Cancel {
  uint64_t id = 0;
  int attempt = 0;
};

struct Probe {  // answered by one ProbeEnded
  Endpoint endpoint;
};

struct CloseIdleConnections {
  Endpoint endpoint;
};

struct SetTimer {
  uint64_t token = 0;
  Time at = 0;
};

struct WatchList {};

struct NotifyPeers {
  std::string bytes;
};

struct Log {
  std::string text;
};

struct SaveDestinationState {  // the newest word on a destination
  DestinationState state;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, Probe, CloseIdleConnections, SetTimer, WatchList,
                            NotifyPeers, Log, SaveDestinationState>;

class Policy {
 public:
  Policy(Settings settings, uint64_t seed);
  ~Policy();
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;

  void step(Time now, std::span<const Event> events, std::vector<Action>& actions);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace firspool

// Public interface of firspool: settings, input events, output actions, and the class that turns events into
// actions.
//
// Contract of Policy::step: call it once per batch of events, with a clock that never goes back. All events
// of the batch are applied to the state first; decisions are then taken once. Actions are appended to the
// vector, which the caller owns. Each message that arrived ends in exactly one of: an AttemptEnded event with
// `final` set, a Refuse action or a Fail action. A Policy has no thread and no lock: use each object from one
// thread at a time. Wrong use (time going back, a repeated message id, an unknown class) throws
// std::invalid_argument; the event that caused it is not applied.
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

using Time = int64_t;  // microseconds; the origin of points in time is arbitrary

// Address of one host of a destination. Opaque to the policy: it is returned as it was given.
struct Endpoint {
  uint32_t address = 0;
  uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
};

// ---- Settings: fixed at construction ----

enum class Effect { kSafe, kKeyed, kUnsafe };       // what a second execution of a message would do
enum class KeyScope { kAll, kZone, kDestination };  // which endpoints discard repeats of the same key

struct ClassSettings {
  std::string name;
  Effect effect = Effect::kUnsafe;
  KeyScope key_scope = KeyScope::kAll;
  // kKeyed only: how long a destination remembers a key, counted from the first attempt that may have been
  // executed.
  Time key_window = 0;
  bool in_order = false;  // messages with the same key are sent one at a time
  Time target = 0;        // a message delivered within this time earns its full worth
  Time give_up = 0;       // lifetime of a message, counted from its first submission
  double worth = 1;
  double late_worth = 0;  // share of the worth left at the end of the lifetime
};

struct KindSettings {
  std::string name;
  bool independent_endpoints = false;  // each endpoint of a destination has its own rate limit and outages
  int max_batch = 1;                   // messages that may be sent as one call
};

struct TenantSettings {
  std::string name;
  double quota_per_s = 0;  // messages a second over all relays that earn their full worth; 0: no quota
};

// Meaning of an endpoint's weight in the host list. Any value but kNone: the destination's rate limit in
// calls a second over all relays.
enum class Weights { kNone, kNominal, kRough };

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;
  int self = 0;      // index of this relay
  int relays = 1;    // number of relays in the fleet
  int zone = 0;      // zone of this relay
  int slots = 1;     // maximum number of calls in flight
  int max_open = 1;  // maximum number of messages held, sent or not
  int max_attempts = 1;
  int streams_per_conn = 1;  // calls in flight on one connection
  bool may_probe = false;    // Probe actions are allowed
  bool may_notify_peers = false;
  bool may_cancel = false;               // Cancel actions are allowed
  bool list_requires_watch = false;      // the host list is sent only after a WatchList action
  bool clients_get_retry_after = false;  // Refuse::retry_after is passed on to clients
  // true: the worth of a late message halves with each further target time; false: it falls linearly until
  // the message is due.
  bool exponential_late_worth = false;
  Weights weights = Weights::kNone;
  int report_remaining_index = -1;  // index, in a load report, of the unused share of the limit; -1: absent
  int report_limit_index = -1;      // index, in a load report, of the limit in calls a second; -1: absent
  double over_quota_worth = 1;      // factor on the worth of messages beyond a tenant's quota
  Time tick = 0;                    // resolution of the clock and the timers
  Time conn_idle_timeout = 0;       // an idle connection is closed after this time
  Time connect_timeout = 0;
  Time max_retry_after = 0;  // upper bound of Refuse::retry_after; 0: none
  Time reply_slack = 0;      // how long after its due time a message may get its final answer
  Time drain_grace = 0;      // calls to a host must stop within this time after it is listed as draining
  Time list_request_interval = 0;  // bounds the backoff between attempts to open the discovery watch
  Time in_order_pause = 0;      // pause of an ordered key after a call that timed out, was reset or cancelled
  Time slow_start = 0;          // after an outage a destination is back at full capacity after this time
  Time overload_window = 0;     // a destination in slow start that is overloaded for this long fails again
  double overload_factor = 1;   // overloaded: more than this multiple of its capacity at that moment
  double start_capacity = 1;    // share of its capacity that a destination has when it recovers
  double price_cross_zone = 0;  // per call to a host in another zone
  double price_handshake = 0;   // per new connection
  double price_waste = 0;
  double price_late_fail = 0;
  double price_probe = 0;
  double price_refused = 0;  // per refused call
  double price_peer = 0;
  std::vector<double> zone_fee;  // per zone: price of a message accepted by an independent endpoint there
};

// Reads settings from lines of the form path=value. Unknown keys are ignored; a required key that is missing,
// or a value that cannot be read, throws std::invalid_argument with the key in its text.
Settings parse_settings(std::string_view text);

// ---- Events ----

enum class HostState { kReady, kDraining, kRemoved };

// One host in the host list.
struct Member {
  Endpoint endpoint;
  HostState state = HostState::kReady;
  int zone = 0;
  int kind = 0;
  int destination = 0;
  double weight = 1;
};

struct MembersChanged {
  enum class Form { kDelta, kFull, kFailed };  // kFailed: the watch failed, there is no list
  Form form = Form::kFull;
  std::shared_ptr<const std::vector<Member>> members;  // may be null if the form is kFailed
};

struct Arrival {
  uint64_t id = 0;
  int message_class = 0;
  int tenant = 0;    // index in the settings; -1: no tenant, no quota
  uint64_t key = 0;  // for classes in order: messages with the same key are sent in turn; 0: no key
  Time due = 0;      // end of the message's lifetime
  int destination = 0;
  // For a message that is resumed after a restart: its history. Attempts are numbered on from `attempts`.
  int attempts = 0;
  bool maybe_executed = false;   // an earlier attempt may have been executed
  Time maybe_executed_sent = 0;  // when the first such attempt was sent
  int maybe_executed_zone = 0;   // zone of the endpoint that it was sent to
};

enum class Outcome {
  kOk,
  kError,
  kRefused,  // the host refused the call without executing it
  kTimeout,
  kConnectFailed,
  kReset,
  kCancelled,
  kNotStarted,  // the call was no longer allowed to start; nothing was sent
  kMalformed    // unreadable answer: the call may have been executed; says nothing about the host's health
};

struct AttemptEnded {
  uint64_t id = 0;
  int attempt = 0;  // counted from 0, in the order of the message's Send actions
  Endpoint endpoint;
  Outcome outcome = Outcome::kError;
  bool final = false;  // the message is finished
  // The reply may answer an earlier call on the same connection: this one may have been executed, whatever
  // the outcome.
  bool reply_unverified = false;
  Time duration = 0;
  Time retry_after = 0;  // with kRefused or kMalformed: the wait that the host asked for; 0: none
  bool connection_limit_reached =
      false;                  // with kRefused: the host closed the new connection with its refusal
  std::vector<float> report;  // load report of the host; empty: none
};

struct ProbeEnded {
  Endpoint endpoint;
  bool ok = false;
  Time duration = 0;
  std::vector<float> report;
};

// The client no longer wants the message.
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

// What has to be known about a destination, or about one of its independent endpoints, across a restart:
// emitted by SaveDestinationState and given back by the caller after a restart, after the host list and
// before the first Arrival. The state of an endpoint that is in no list any more is not needed.
struct DestinationState {
  int destination = 0;
  int retry_tokens = 0;      // of the retry bucket, in tenths of a token
  Time outage_start = 0;     // 0: no outage
  Time recovery_start = 0;   // 0: not yet recovering
  double baseline_rate = 0;  // calls a second of this relay that were served before the outage
  double pacing_rate = 0;    // upper bound on this relay's calls a second, rounded down; 0: never refused
  Time failing_since = 0;    // no outage yet, but since then calls failed and none was served; 0: none
  Endpoint endpoint = {};    // the independent endpoint, which has no retry tokens; {}: the destination
  bool operator==(const DestinationState&) const = default;
};

// Which relay sends the trial calls that find out whether an outage of a destination is over. Does not apply
// to independent endpoints: there each relay sends its own.
struct TrialAssignment {
  enum class Duty { kShared, kSelf, kOther };  // each relay its even share; this relay for all; another relay
  int destination = 0;
  Duty duty = Duty::kShared;
};

// What another relay observed of a destination. This relay's own observations take precedence.
struct PeerHealthReport {
  int destination = 0;
  Time outage_start = 0;
  Time recovery_start = 0;   // 0: not yet recovering
  double baseline_rate = 0;  // calls a second that were served before, as that relay estimated
};

// A host asked to wait in a reply that belongs to no known attempt.
struct RetryAfterReceived {
  Endpoint endpoint;
  Time retry_after = 0;
};

// This process stops at a known time: calls that may not be over by then are not started.
struct ShutdownScheduled {
  Time at = 0;
};

// The caller no longer knows these destinations: they have no host and no open message. What was learned of
// them is dropped.
struct DestinationsForgotten {
  std::vector<int> destinations;
};

using Event = std::variant<MembersChanged, Arrival, AttemptEnded, ProbeEnded, Withdrawn, TimerFired,
                           PeerMessage, ShutdownScheduled, DestinationState, TrialAssignment,
                           PeerHealthReport, RetryAfterReceived, DestinationsForgotten>;

// ---- Actions ----

// Start an attempt. Answered by exactly one AttemptEnded; kTimeout after `timeout` at the latest.
struct Send {
  uint64_t id = 0;
  Endpoint endpoint;
  Time timeout = 0;
  Time start_by = std::numeric_limits<Time>::max();  // no byte of the call may be written later than this
};

// Ends the message. The client may safely submit it again.
struct Refuse {
  uint64_t id = 0;
  Time retry_after = 0;
};

// Ends the message. It may or may not have been executed.
struct Fail {
  uint64_t id = 0;
};

struct Cancel {
  uint64_t id = 0;
  int attempt = 0;
};

// Send a health check. Answered by exactly one ProbeEnded.
struct Probe {
  Endpoint endpoint;
};

struct CloseIdleConnections {
  Endpoint endpoint;
};

struct SetTimer {
  uint64_t token = 0;
  Time at = 0;
};

// Open the discovery watch. Answered by MembersChanged events.
struct WatchList {};

struct NotifyPeers {
  std::string bytes;
};

struct Log {
  std::string text;
};

// Replaces the saved state of the destination.
struct SaveDestinationState {
  DestinationState state;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, Probe, CloseIdleConnections, SetTimer, WatchList,
                            NotifyPeers, Log, SaveDestinationState>;

class Policy {
 public:
  // `seed` determines all random choices: the same seed and events give the same actions.
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

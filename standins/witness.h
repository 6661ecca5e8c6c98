// Events that the stand-ins observe on their own sockets, and the interface through which the checker and the
// counters receive them. Nothing here comes from the relay's log or its files. All times are microseconds of
// the kit's steady clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace umberhoist {

using Time = int64_t;  // microseconds

constexpr Time kMillisecond = 1000;
constexpr Time kSecond = 1'000'000;

inline Time steady_now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline std::chrono::steady_clock::time_point at_time(Time t) {
  return std::chrono::steady_clock::time_point(std::chrono::microseconds(t));
}

// One submission of a message. A client that submits the message again uses a new id; `message` stays the
// same.
struct Submission {
  uint64_t id = 0;
  uint64_t message = 0;
  int relay = 0;
  int message_class = 0;
  int destination = 0;
  uint64_t key = 0;
  Time due = 0;  // latest time of delivery
};

struct Call {
  uint64_t number = 0;  // counts calls over all endpoints
  uint64_t id = 0;      // 0: no readable id
  int relay = 0;
  int endpoint = 0;
  uint64_t key = 0;     // 0: none
  uint64_t body = 0;    // hash of the body's bytes
  Time first_byte = 0;  // the call is reported when its last byte has arrived
  int request = 1;      // number of the request on its connection, probes counted
};

enum class CallEnd {
  kDelivered,    // 200
  kError,        // 500
  kRefused,      // 429, 503 or 504: not executed
  kMessageOver,  // 410: the message is over
  kReset,        // the endpoint reset the connection
  kMalformed,    // the endpoint wrote a malformed response
  kAbandoned     // the relay closed its connection, or its process ended
};

enum class HostState { kActive, kDraining, kRemoved };

enum class RelayEvent {
  kStarted,
  kReady,        // it replied to PING
  kSigterm,      // for a planned restart
  kSighup,       // the address of discovery has changed
  kKilled,       // SIGKILL, as the scenario's script demands
  kMachineLost,  // the machine is lost with its state folder
  kEnded,        // exited after SIGTERM
  kCrashed       // exited without being asked to
};

enum class NoReplyReason {
  kTimeout,           // the client's time-out passed
  kConnectionClosed,  // the relay closed the connection after the request was written
  kRelayExited        // the relay's process ended
};

uint64_t hash_bytes(std::string_view bytes);  // FNV-1a
std::string hex(uint64_t value);              // 16 digits

// The wait that a reply asks for.
struct ToldWait {
  Time length = 0;       // 0: none
  Time starts_from = 0;  // just before the reply was written: the relay cannot have read it earlier
};

class Observer {
 public:
  virtual ~Observer() = default;
  virtual void on_submitted(Time /*at*/, const Submission&, uint64_t /*body*/) {}
  // No connection to the relay was established, so nothing was submitted.
  virtual void on_connect_failed(Time /*at*/, const Submission&) {}
  virtual void on_accepted(Time /*at*/, uint64_t /*id*/) {}
  virtual void on_refused(Time /*at*/, uint64_t /*id*/, Time /*retry_after*/) {}
  virtual void on_failed(Time /*at*/, uint64_t /*id*/, const std::string& /*line*/) {}
  virtual void on_no_reply(Time /*at*/, uint64_t /*id*/, NoReplyReason) {}
  virtual void on_call(Time /*at*/, const Call&) {}
  virtual void on_executed(Time /*at*/, uint64_t /*call*/, bool /*effect*/) {}
  virtual void on_call_ended(Time /*at*/, uint64_t /*call*/, CallEnd, ToldWait) {}
  // An answer, or a part of it, was written a second time.
  virtual void on_second_answer(Time /*at*/, int /*relay*/, int /*endpoint*/) {}
  virtual void on_probe(Time /*at*/, int /*relay*/, int /*endpoint*/, bool /*ok*/) {}
  virtual void on_notice(Time /*at*/, int /*relay*/, uint64_t /*id*/, bool /*returned*/,
                         Time /*retry_after*/) {}
  // The relay had given up waiting for the reply to the post of this notice before the agent read it, and the
  // agent was late: the post had waited for kMinReplyWait or longer.
  virtual void on_notice_abandoned(Time /*at*/, int /*relay*/, uint64_t /*id*/) {}
  // Three stages of a change to the list of endpoints: the list has changed; the agent of one relay has
  // received the change; the agent has written it to its relay.
  virtual void on_list_changed(Time /*at*/, int /*endpoint*/, int /*destination*/, HostState) {}
  virtual void on_agent_updated(Time /*at*/, int /*relay*/, int /*endpoint*/, HostState) {}
  virtual void on_relay_notified(Time /*at*/, int /*relay*/, int /*endpoint*/, HostState) {}
  // An outage of a whole destination. `capacity` is in calls per second once the destination is warm.
  virtual void on_outage_started(Time /*at*/, int /*destination*/) {}
  virtual void on_outage_ended(Time /*at*/, int /*destination*/, double /*capacity*/) {}
  virtual void on_relay_event(Time /*at*/, int /*relay*/, RelayEvent) {}
  // The relay was stopped because it exceeded a limit of the platform. `curve` has the measurements before
  // that, for the report.
  virtual void on_limit_exceeded(Time /*at*/, int /*relay*/, const std::string& /*what*/,
                                 const std::vector<std::string>& /*curve*/) {}
};

// Forwards each event to all added observers, which must outlive it.
class ObserverList : public Observer {
 public:
  void add(Observer& observer) { observers_.push_back(&observer); }
  void on_submitted(Time at, const Submission& submission, uint64_t body) override {
    for (Observer* observer : observers_) observer->on_submitted(at, submission, body);
  }
  void on_connect_failed(Time at, const Submission& submission) override {
    for (Observer* observer : observers_) observer->on_connect_failed(at, submission);
  }
  void on_accepted(Time at, uint64_t id) override {
    for (Observer* observer : observers_) observer->on_accepted(at, id);
  }
  void on_refused(Time at, uint64_t id, Time retry_after) override {
    for (Observer* observer : observers_) observer->on_refused(at, id, retry_after);
  }
  void on_failed(Time at, uint64_t id, const std::string& line) override {
    for (Observer* observer : observers_) observer->on_failed(at, id, line);
  }
  void on_no_reply(Time at, uint64_t id, NoReplyReason reason) override {
    for (Observer* observer : observers_) observer->on_no_reply(at, id, reason);
  }
  void on_call(Time at, const Call& call) override {
    for (Observer* observer : observers_) observer->on_call(at, call);
  }
  void on_executed(Time at, uint64_t call, bool effect) override {
    for (Observer* observer : observers_) observer->on_executed(at, call, effect);
  }
  void on_call_ended(Time at, uint64_t call, CallEnd end, ToldWait wait) override {
    for (Observer* observer : observers_) observer->on_call_ended(at, call, end, wait);
  }
  void on_second_answer(Time at, int relay, int endpoint) override {
    for (Observer* observer : observers_) observer->on_second_answer(at, relay, endpoint);
  }
  void on_probe(Time at, int relay, int endpoint, bool ok) override {
    for (Observer* observer : observers_) observer->on_probe(at, relay, endpoint, ok);
  }
  void on_notice(Time at, int relay, uint64_t id, bool returned, Time retry_after) override {
    for (Observer* observer : observers_) observer->on_notice(at, relay, id, returned, retry_after);
  }
  void on_notice_abandoned(Time at, int relay, uint64_t id) override {
    for (Observer* observer : observers_) observer->on_notice_abandoned(at, relay, id);
  }
  void on_list_changed(Time at, int endpoint, int destination, HostState state) override {
    for (Observer* observer : observers_) observer->on_list_changed(at, endpoint, destination, state);
  }
  void on_agent_updated(Time at, int relay, int endpoint, HostState state) override {
    for (Observer* observer : observers_) observer->on_agent_updated(at, relay, endpoint, state);
  }
  void on_relay_notified(Time at, int relay, int endpoint, HostState state) override {
    for (Observer* observer : observers_) observer->on_relay_notified(at, relay, endpoint, state);
  }
  void on_outage_started(Time at, int destination) override {
    for (Observer* observer : observers_) observer->on_outage_started(at, destination);
  }
  void on_outage_ended(Time at, int destination, double capacity) override {
    for (Observer* observer : observers_) observer->on_outage_ended(at, destination, capacity);
  }
  void on_relay_event(Time at, int relay, RelayEvent event) override {
    for (Observer* observer : observers_) observer->on_relay_event(at, relay, event);
  }
  void on_limit_exceeded(Time at, int relay, const std::string& what,
                         const std::vector<std::string>& curve) override {
    for (Observer* observer : observers_) observer->on_limit_exceeded(at, relay, what, curve);
  }

 private:
  std::vector<Observer*> observers_;
};

}  // namespace umberhoist

// What the stand-ins see on their own sockets, told to whoever judges or counts it. Nothing here comes from
// the relay's log or its files. All times are microseconds on the one steady clock of the kit.
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

// One handing-in of a message. A client that comes again uses a new id; `message` stays the same.
struct Submission {
  uint64_t id = 0;
  uint64_t message = 0;
  int relay = 0;
  int message_class = 0;
  int destination = 0;
  uint64_t key = 0;
  Time due = 0;  // it may be delivered until then
};

struct Call {
  uint64_t number = 0;  // of this call, counted over all endpoints
  uint64_t id = 0;      // 0: no id that could be read
  int relay = 0;
  int endpoint = 0;
  uint64_t key = 0;     // 0: none
  uint64_t body = 0;    // hash of its bytes
  Time first_byte = 0;  // the call itself is told when its last byte has come
};

enum class CallEnd {
  kDelivered,    // 200
  kError,        // 500
  kRefused,      // 429, 503 and 504: it never ran
  kMessageOver,  // 410: the message is over
  kReset,        // the endpoint broke the connection
  kMalformed,    // what was written is no answer
  kAbandoned     // the relay closed its connection, or its process ended
};

enum class HostState { kActive, kDraining, kRemoved };

enum class RelayEvent {
  kStarted,
  kReady,        // it answered PING
  kSigterm,      // of a planned restart
  kSighup,       // discovery has moved
  kKilled,       // SIGKILL by the script
  kMachineLost,  // the machine with its folder
  kEnded,        // after SIGTERM, by itself
  kCrashed       // by itself, not asked to
};

enum class NoReplyReason {
  kTimeout,           // the client waited long enough
  kConnectionClosed,  // the relay closed the connection on a request that it had been written
  kRelayExited        // the relay's process ended
};

uint64_t hash_bytes(std::string_view bytes);  // FNV-1a
std::string hex(uint64_t value);              // 16 digits

class Observer {
 public:
  virtual ~Observer() = default;
  virtual void on_submitted(Time /*at*/, const Submission&, uint64_t /*body*/) {}
  // No connection to its relay came up: nothing was handed in.
  virtual void on_connect_failed(Time /*at*/, const Submission&) {}
  virtual void on_accepted(Time /*at*/, uint64_t /*id*/) {}
  virtual void on_refused(Time /*at*/, uint64_t /*id*/, Time /*after*/) {}
  virtual void on_failed(Time /*at*/, uint64_t /*id*/, const std::string& /*line*/) {}
  virtual void on_no_reply(Time /*at*/, uint64_t /*id*/, NoReplyReason) {}
  virtual void on_call(Time /*at*/, const Call&) {}
  virtual void on_executed(Time /*at*/, uint64_t /*call*/, bool /*effect*/) {}
  virtual void on_call_ended(Time /*at*/, uint64_t /*call*/, CallEnd, Time /*wait*/) {}
  virtual void on_probe(Time /*at*/, int /*relay*/, int /*endpoint*/, bool /*ok*/) {}
  virtual void on_notice(Time /*at*/, int /*relay*/, uint64_t /*id*/, bool /*returned*/, Time /*after*/) {}
  // The list changed; the agent of one relay has been sent the change; it has written it to that relay.
  virtual void on_list_changed(Time /*at*/, int /*endpoint*/, int /*destination*/, HostState) {}
  virtual void on_agent_updated(Time /*at*/, int /*relay*/, int /*endpoint*/, HostState) {}
  virtual void on_relay_notified(Time /*at*/, int /*relay*/, int /*endpoint*/, HostState) {}
  // Of a whole destination: calls a second that it takes when warm. `fails` while it lasts.
  virtual void on_outage_started(Time /*at*/, int /*destination*/) {}
  virtual void on_outage_ended(Time /*at*/, int /*destination*/, double /*capacity*/) {}
  virtual void on_relay_event(Time /*at*/, int /*relay*/, RelayEvent) {}
  // It was ended over a limit of the platform's; `curve` is what was measured before, for people.
  virtual void on_limit_exceeded(Time /*at*/, int /*relay*/, const std::string& /*what*/,
                                 const std::vector<std::string>& /*curve*/) {}
};

// Tells each of several.
class ObserverList : public Observer {
 public:
  void add(Observer& witness) { all_.push_back(&witness); }
  void on_submitted(Time at, const Submission& h, uint64_t body) override {
    for (Observer* w : all_) w->on_submitted(at, h, body);
  }
  void on_connect_failed(Time at, const Submission& h) override {
    for (Observer* w : all_) w->on_connect_failed(at, h);
  }
  void on_accepted(Time at, uint64_t id) override {
    for (Observer* w : all_) w->on_accepted(at, id);
  }
  void on_refused(Time at, uint64_t id, Time after) override {
    for (Observer* w : all_) w->on_refused(at, id, after);
  }
  void on_failed(Time at, uint64_t id, const std::string& line) override {
    for (Observer* w : all_) w->on_failed(at, id, line);
  }
  void on_no_reply(Time at, uint64_t id, NoReplyReason how) override {
    for (Observer* w : all_) w->on_no_reply(at, id, how);
  }
  void on_call(Time at, const Call& call) override {
    for (Observer* w : all_) w->on_call(at, call);
  }
  void on_executed(Time at, uint64_t call, bool effect) override {
    for (Observer* w : all_) w->on_executed(at, call, effect);
  }
  void on_call_ended(Time at, uint64_t call, CallEnd end, Time wait) override {
    for (Observer* w : all_) w->on_call_ended(at, call, end, wait);
  }
  void on_probe(Time at, int relay, int endpoint, bool ok) override {
    for (Observer* w : all_) w->on_probe(at, relay, endpoint, ok);
  }
  void on_notice(Time at, int relay, uint64_t id, bool returned, Time after) override {
    for (Observer* w : all_) w->on_notice(at, relay, id, returned, after);
  }
  void on_list_changed(Time at, int endpoint, int destination, HostState phase) override {
    for (Observer* w : all_) w->on_list_changed(at, endpoint, destination, phase);
  }
  void on_agent_updated(Time at, int relay, int endpoint, HostState phase) override {
    for (Observer* w : all_) w->on_agent_updated(at, relay, endpoint, phase);
  }
  void on_relay_notified(Time at, int relay, int endpoint, HostState phase) override {
    for (Observer* w : all_) w->on_relay_notified(at, relay, endpoint, phase);
  }
  void on_outage_started(Time at, int destination) override {
    for (Observer* w : all_) w->on_outage_started(at, destination);
  }
  void on_outage_ended(Time at, int destination, double capacity) override {
    for (Observer* w : all_) w->on_outage_ended(at, destination, capacity);
  }
  void on_relay_event(Time at, int relay, RelayEvent event) override {
    for (Observer* w : all_) w->on_relay_event(at, relay, event);
  }
  void on_limit_exceeded(Time at, int relay, const std::string& what,
                         const std::vector<std::string>& curve) override {
    for (Observer* w : all_) w->on_limit_exceeded(at, relay, what, curve);
  }

 private:
  std::vector<Observer*> all_;
};

}  // namespace umberhoist

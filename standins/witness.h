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
struct Handing {
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
  kDelivered,   // 200
  kError,       // 500
  kTurnedAway,  // 429, 503 and 504: it never ran
  kOver,        // 410: the message is over
  kReset,       // the endpoint broke the connection
  kSpoilt,      // what was written is no answer
  kLeft         // the relay closed its connection, or its process ended
};

enum class Phase { kActive, kLeaving, kLeft };

enum class RelayEvent {
  kStarted,
  kReady,    // it answered PING
  kSigterm,  // of a planned restart
  kSighup,   // discovery has moved
  kKilled,   // SIGKILL by the script
  kLost,     // the machine with its folder
  kEnded,    // after SIGTERM, by itself
  kCrashed   // by itself, not asked to
};

enum class Unanswered {
  kGaveUp,  // the client waited long enough
  kClosed,  // the relay closed the connection on a request that it had been written
  kDied     // the relay's process ended
};

uint64_t hash_bytes(std::string_view bytes);  // FNV-1a
std::string hex(uint64_t value);              // 16 digits

class Witness {
 public:
  virtual ~Witness() = default;
  virtual void handed_in(Time /*at*/, const Handing&, uint64_t /*body*/) {}
  // No connection to its relay came up: nothing was handed in.
  virtual void not_reached(Time /*at*/, const Handing&) {}
  virtual void taken_on(Time /*at*/, uint64_t /*id*/) {}
  virtual void turned_away(Time /*at*/, uint64_t /*id*/, Time /*after*/) {}
  virtual void answered_failed(Time /*at*/, uint64_t /*id*/, const std::string& /*line*/) {}
  virtual void unanswered(Time /*at*/, uint64_t /*id*/, Unanswered) {}
  virtual void called(Time /*at*/, const Call&) {}
  virtual void ran(Time /*at*/, uint64_t /*call*/, bool /*effect*/) {}
  virtual void call_ended(Time /*at*/, uint64_t /*call*/, CallEnd, Time /*wait*/) {}
  virtual void probed(Time /*at*/, int /*relay*/, int /*endpoint*/, bool /*ok*/) {}
  virtual void notice(Time /*at*/, int /*relay*/, uint64_t /*id*/, bool /*returned*/, Time /*after*/) {}
  // The list changed; the agent of one relay has been sent the change; it has written it to that relay.
  virtual void listed(Time /*at*/, int /*endpoint*/, int /*destination*/, Phase) {}
  virtual void agent_learned(Time /*at*/, int /*relay*/, int /*endpoint*/, Phase) {}
  virtual void told(Time /*at*/, int /*relay*/, int /*endpoint*/, Phase) {}
  // Of a whole destination: calls a second that it takes when warm. `fails` while it lasts.
  virtual void outage_began(Time /*at*/, int /*destination*/) {}
  virtual void outage_ended(Time /*at*/, int /*destination*/, double /*capacity*/) {}
  virtual void relay_event(Time /*at*/, int /*relay*/, RelayEvent) {}
  // It was ended over a limit of the platform's; `curve` is what was measured before, for people.
  virtual void over_limit(Time /*at*/, int /*relay*/, const std::string& /*what*/,
                          const std::vector<std::string>& /*curve*/) {}
};

// Tells each of several.
class Witnesses : public Witness {
 public:
  void add(Witness& witness) { all_.push_back(&witness); }
  void handed_in(Time at, const Handing& h, uint64_t body) override {
    for (Witness* w : all_) w->handed_in(at, h, body);
  }
  void not_reached(Time at, const Handing& h) override {
    for (Witness* w : all_) w->not_reached(at, h);
  }
  void taken_on(Time at, uint64_t id) override {
    for (Witness* w : all_) w->taken_on(at, id);
  }
  void turned_away(Time at, uint64_t id, Time after) override {
    for (Witness* w : all_) w->turned_away(at, id, after);
  }
  void answered_failed(Time at, uint64_t id, const std::string& line) override {
    for (Witness* w : all_) w->answered_failed(at, id, line);
  }
  void unanswered(Time at, uint64_t id, Unanswered how) override {
    for (Witness* w : all_) w->unanswered(at, id, how);
  }
  void called(Time at, const Call& call) override {
    for (Witness* w : all_) w->called(at, call);
  }
  void ran(Time at, uint64_t call, bool effect) override {
    for (Witness* w : all_) w->ran(at, call, effect);
  }
  void call_ended(Time at, uint64_t call, CallEnd end, Time wait) override {
    for (Witness* w : all_) w->call_ended(at, call, end, wait);
  }
  void probed(Time at, int relay, int endpoint, bool ok) override {
    for (Witness* w : all_) w->probed(at, relay, endpoint, ok);
  }
  void notice(Time at, int relay, uint64_t id, bool returned, Time after) override {
    for (Witness* w : all_) w->notice(at, relay, id, returned, after);
  }
  void listed(Time at, int endpoint, int destination, Phase phase) override {
    for (Witness* w : all_) w->listed(at, endpoint, destination, phase);
  }
  void agent_learned(Time at, int relay, int endpoint, Phase phase) override {
    for (Witness* w : all_) w->agent_learned(at, relay, endpoint, phase);
  }
  void told(Time at, int relay, int endpoint, Phase phase) override {
    for (Witness* w : all_) w->told(at, relay, endpoint, phase);
  }
  void outage_began(Time at, int destination) override {
    for (Witness* w : all_) w->outage_began(at, destination);
  }
  void outage_ended(Time at, int destination, double capacity) override {
    for (Witness* w : all_) w->outage_ended(at, destination, capacity);
  }
  void relay_event(Time at, int relay, RelayEvent event) override {
    for (Witness* w : all_) w->relay_event(at, relay, event);
  }
  void over_limit(Time at, int relay, const std::string& what,
                  const std::vector<std::string>& curve) override {
    for (Witness* w : all_) w->over_limit(at, relay, what, curve);
  }

 private:
  std::vector<Witness*> all_;
};

}  // namespace umberhoist

// When a relay opens its watch on the host list of discovery, how long it waits for input on it, and when it
// opens it again. No I/O and no clock.
//
// A change has to reach the relay within kMaxNotificationDelay of discovery having it and being reachable. So
// a silent watch is not kept: a watch brings an empty line every 2 s, and one that does not is broken,
// whatever the state of its connection. The times below add up to less than that; `docs/design/acceptance.md`
// has the calculation.
//
// Where changes are pushed, a request costs nothing and is made at once. Where each request costs discovery
// work, all relays share its capacity: if a fleet sends its requests at the same time, discovery's queue
// fills, and what it serves comes after it has given up the request. So requests are then spread at random
// ("paced"), but over no more time than a change may take, unless discovery shows that it is overloaded.
#pragma once

#include <cstdint>
#include <random>

namespace umberhoist::members {

using Time = int64_t;  // microseconds

struct WatchScheduleOptions {
  Time request_interval = 0;  // each relay is expected to request once in this time; 0: requests cost nothing
  int relays = 1;             // number of relays that use the same discovery
};

// How a watch ended.
enum class WatchEnd {
  kBroken,      // it had brought input, then ended or fell silent
  kNoResponse,  // no connection, or no input on it
  kRefused,     // discovery rejected the request
};

class WatchScheduler {
 public:
  static constexpr Time kMaxNotificationDelay = 6'000'000;
  static constexpr Time kSilenceTimeout = 2'750'000;  // without a line, which is due every 2 s

  WatchScheduler(WatchScheduleOptions options, uint64_t seed) : options_(options), random_(seed) {}

  // Delay before the first request to an address. With a known host list it is spread, as the whole fleet may
  // have started, or got the address, at once.
  Time initial_delay(bool list_known);

  // Time-out for the first item of a watch. An agent on this machine replies at once; a discovery that works
  // for each request may keep it in its queue for 2 s, and the list that it then sends is current.
  Time first_item_timeout() const { return is_paced() ? kPacedFirstItemTimeout : kFirstItemTimeout; }

  // Delay before the next request. `waited`: time from the last request to its end.
  Time retry_delay(WatchEnd end, Time waited);

  // What was learned of the former discovery does not hold for the one at a new address.
  void on_address_changed();

  // An item has arrived: resets the backoff.
  void on_item() { retry_delay_ = kMinRetryDelay; }

 private:
  static constexpr Time kMinRetryDelay = 50'000;
  static constexpr Time kMaxRetryDelay = 500'000;
  static constexpr Time kFirstItemTimeout = 1'000'000;
  static constexpr Time kPacedFirstItemTimeout = 2'500'000;
  static constexpr Time kReplyTime = 1'500'000;  // that discovery may take for its reply
  // Longest time to the first request, and from one to the next.
  static constexpr Time kMaxRequestGap = kMaxNotificationDelay - kReplyTime;
  // Spans over which the requests of a fleet are spread after a broken watch, whose silence time-out has
  // passed already, and after a request without a reply.
  static constexpr Time kBrokenWatchSpan = kMaxRequestGap - kSilenceTimeout;
  static constexpr Time kNoResponseSpan = kMaxRequestGap - kPacedFirstItemTimeout;
  // Shortest time from a request that was rejected once more to the next.
  static constexpr Time kMinRefusedGap = kMaxRequestGap * 4 / 5;
  // The same after the first rejection: it leaves what was kept for the reply.
  static constexpr Time kMinFirstRefusedGap = kReplyTime * 2 / 3;
  // A request that is rejected at once cost discovery nothing. One that is rejected after this time was in
  // its queue and did: if relays repeat such requests within seconds, the queue stays too long to serve any.
  static constexpr Time kOverloadRefusalTime = 1'750'000;

  bool is_paced() const { return options_.request_interval > 0 && options_.relays > 1; }
  Time paced_delay(WatchEnd end, Time waited);
  Time refused_delay(Time waited);
  Time overloaded_delay();
  // Uniform at random between these, less the part of this relay: a single relay competes with no other.
  Time random_delay(Time min, Time max);

  WatchScheduleOptions options_;
  std::mt19937_64 random_;
  Time retry_delay_ = kMinRetryDelay;
  // Since a watch was established, or the scheduler is new.
  int refusals_ = 0;
  int overload_refusals_ = 0;  // of these, the first that showed an overload and those after it
};

}  // namespace umberhoist::members

// When a relay asks discovery for its list, how long it waits for a sign of life, and when it asks again. No
// I/O, no clock of its own.
//
// A change counts as told kMaxNotificationDelay after discovery had it and could be reached. So silence is
// not waited out: a watch brings an empty line every 2 s, and one that brings none is broken,
// whatever its connection says. The times below add up to less than that; `docs/design/acceptance.md` has the
// sums.
//
// Where changes are pushed, an ask costs nothing and comes at once. Where each ask costs discovery work, that
// work is shared by all relays: a fleet that asks in step fills discovery's queue, what is served comes after
// its asker stopped waiting, and as long as each asks again within seconds no ask ever succeeds.
#pragma once

#include <cstdint>
#include <random>

namespace umberhoist::members {

using Time = int64_t;  // microseconds

struct WatchScheduleOptions {
  Time request_interval = 0;  // within which each relay is expected to ask; 0: an ask costs nothing
  int relays = 1;             // that ask the same discovery
};

// How a watch ended.
enum class WatchEnd {
  kBroken,      // it had told something, then ended or fell silent
  kNoResponse,  // no connection, or nothing on it
  kRefused,     // discovery was there and turned the ask away
};

class WatchScheduler {
 public:
  static constexpr Time kMaxNotificationDelay = 6'000'000;
  static constexpr Time kSilenceTimeout = 2'750'000;  // without a line: the next was due after 2 s

  WatchScheduler(WatchScheduleOptions options, uint64_t seed) : options_(options), random_(seed) {}

  // Pause before the first ask. With a list to start on there is no haste: the fleet may have started as one.
  Time initial_delay(bool list_known);

  // How long an ask may go without a word. An agent on this machine answers at once; a discovery that is
  // asked may keep the ask in its queue for 2 s, and what it says then is news.
  Time first_item_timeout() const { return is_paced() ? kPacedFirstItemTimeout : kFirstItemTimeout; }

  // Pause before the next ask.
  Time retry_delay(WatchEnd end);

  // Discovery said something: what costs nothing may be asked again soon.
  void on_item() { retry_delay_ = kMinRetryDelay; }

 private:
  static constexpr Time kMinRetryDelay = 50'000;
  static constexpr Time kMaxRetryDelay = 500'000;
  static constexpr Time kFirstItemTimeout = 1'000'000;
  static constexpr Time kPacedFirstItemTimeout = 2'500'000;
  // Over which the asks of a fleet are spread: after a watch broke, for which its silence was waited out
  // before, and otherwise.
  static constexpr Time kBrokenWatchSpan = 2'000'000;
  static constexpr Time kReplyMargin = 600'000;  // left for the answer
  static constexpr Time kMaxSpan = kMaxNotificationDelay - kPacedFirstItemTimeout - kReplyMargin;
  // Turned away, each spreads its asks over twice `request_interval` and then twice as long, up to so many
  // times: more ask than discovery can bear, and none would be told otherwise.
  static constexpr int kMaxRefusedSpans = 4;

  bool is_paced() const { return options_.request_interval > 0 && options_.relays > 1; }
  Time random_delay(Time span);  // at random; of one relay alone there is nobody to keep out of step with

  WatchScheduleOptions options_;
  std::mt19937_64 random_;
  Time retry_delay_ = kMinRetryDelay;
  Time refused_span_ =
      0;  // over which the last ask was spread that was turned away; 0: none since a watch stood
};

}  // namespace umberhoist::members

#include "members/watch_scheduler.h"

#include <algorithm>

namespace umberhoist::members {

Time WatchScheduler::random_delay(Time min, Time max) {
  const auto without_own_part = [&](Time span) { return span / options_.relays * (options_.relays - 1); };
  return std::uniform_int_distribution<Time>(without_own_part(min), without_own_part(max))(random_);
}

Time WatchScheduler::initial_delay(bool list_known) {
  return is_paced() && list_known ? random_delay(0, std::min(options_.request_interval, kMaxRequestGap)) : 0;
}

void WatchScheduler::on_address_changed() {
  on_item();
  refusals_ = overload_refusals_ = 0;
}

Time WatchScheduler::retry_delay(WatchEnd end, Time waited) {
  const Time min_delay = retry_delay_;
  retry_delay_ = std::min(2 * retry_delay_, kMaxRetryDelay);
  return is_paced() ? std::max(min_delay, paced_delay(end, waited)) : min_delay;
}

Time WatchScheduler::paced_delay(WatchEnd end, Time waited) {
  switch (end) {
    case WatchEnd::kBroken:
      refusals_ = overload_refusals_ = 0;
      return random_delay(0, std::min(options_.request_interval, kBrokenWatchSpan));
    case WatchEnd::kNoResponse:
      return random_delay(0, std::min(options_.request_interval, kNoResponseSpan));
    case WatchEnd::kRefused:
      return refused_delay(waited);
  }
  return 0;
}

// The next request is made within the time that a change may take, unless discovery is overloaded.
Time WatchScheduler::refused_delay(Time waited) {
  const bool is_first = refusals_++ == 0;
  if (waited >= kOverloadRefusalTime || overload_refusals_ > 0) return overloaded_delay();
  const Time interval = options_.request_interval;
  const Time min_gap = std::min(is_first ? kMinFirstRefusedGap : kMinRefusedGap, interval);
  const Time max_gap = std::min(is_first ? kReplyTime : kMaxRequestGap, interval);
  return random_delay(min_gap, max_gap) - waited;
}

// Requests are spread over one request interval, once discovery's queue has had time to empty, and later over
// two.
Time WatchScheduler::overloaded_delay() {
  const Time interval = options_.request_interval;
  const bool is_first = overload_refusals_++ == 0;
  return is_first ? random_delay(std::min(kMaxRequestGap, interval), interval)
                  : random_delay(2 * interval, 4 * interval);
}

}  // namespace umberhoist::members

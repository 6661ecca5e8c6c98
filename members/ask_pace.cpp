#include "members/ask_pace.h"

#include <algorithm>

namespace umberhoist::members {

Time WatchScheduler::random_delay(Time span) {
  const Time others = span / options_.relays * (options_.relays - 1);
  return std::uniform_int_distribution<Time>(0, others)(random_);
}

Time WatchScheduler::initial_delay(bool list_known) {
  return is_paced() && list_known ? random_delay(options_.request_interval) : 0;
}

Time WatchScheduler::retry_delay(WatchEnd end) {
  const Time min_delay = retry_delay_;
  retry_delay_ = std::min(2 * retry_delay_, kMaxRetryDelay);
  if (!is_paced()) return min_delay;
  Time span = std::min(options_.request_interval, kMaxSpan);
  if (end == WatchEnd::kBroken) {
    refused_span_ = 0;
    span = std::min(options_.request_interval, kBrokenWatchSpan);
  } else if (end == WatchEnd::kRefused) {
    span = refused_span_ = std::min(2 * std::max(refused_span_, options_.request_interval),
                                    kMaxRefusedSpans * options_.request_interval);
  }
  return std::max(min_delay, random_delay(span));
}

}  // namespace umberhoist::members

#include "members/ask_pace.h"

#include <algorithm>

namespace umberhoist::members {

Time WatchScheduler::within(Time span) {
  const Time others = span / set_.relays * (set_.relays - 1);
  return std::uniform_int_distribution<Time>(0, others)(random_);
}

Time WatchScheduler::initial_delay(bool list_known) {
  return shared() && list_known ? within(set_.request_interval) : 0;
}

Time WatchScheduler::retry_delay(WatchEnd end) {
  const Time pause = pause_;
  pause_ = std::min(2 * pause_, kLongestPause);
  if (!shared()) return pause;
  Time span = std::min(set_.request_interval, kSpan);
  if (end == WatchEnd::kBroken) {
    span_ = 0;
    span = std::min(set_.request_interval, kBrokenSpan);
  } else if (end == WatchEnd::kRefused) {
    span = span_ = std::min(2 * std::max(span_, set_.request_interval), kMostSpans * set_.request_interval);
  }
  return std::max(pause, within(span));
}

}  // namespace umberhoist::members

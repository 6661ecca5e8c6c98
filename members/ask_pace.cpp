#include "members/ask_pace.h"

#include <algorithm>

namespace umberhoist::members {

Time AskPace::within(Time span) {
  const Time others = span / set_.relays * (set_.relays - 1);
  return std::uniform_int_distribution<Time>(0, others)(random_);
}

Time AskPace::first(bool list_known) { return shared() && list_known ? within(set_.every) : 0; }

Time AskPace::again(WatchEnd end) {
  const Time pause = pause_;
  pause_ = std::min(2 * pause_, kLongestPause);
  if (!shared()) return pause;
  Time span = std::min(set_.every, kSpan);
  if (end == WatchEnd::kBroken) {
    span_ = 0;
    span = std::min(set_.every, kBrokenSpan);
  } else if (end == WatchEnd::kRefused) {
    span = span_ = std::min(2 * std::max(span_, set_.every), kMostSpans * set_.every);
  }
  return std::max(pause, within(span));
}

}  // namespace umberhoist::members

// When relays send requests to discovery, against a model of one that a whole fleet shares.
#include "members/watch_scheduler.h"

#include <gtest/gtest.h>

#include <queue>
#include <vector>

#include "emulator/overbooked.h"

namespace umberhoist::members {
namespace {

using emulator::OverloadedDirectory;

constexpr Time kSecond = 1'000'000;
constexpr Time kRequestInterval = 10 * kSecond;

struct StartResult {
  int served_by_20_s = 0;  // relays that have a watch
  int served_by_60_s = 0;
  int requests = 0;
};

// Starts that many relays of a fleet at the same moment, each with a known host list.
StartResult start_at_once(int starting, WatchScheduleOptions options, double capacity_per_s, uint64_t seed) {
  OverloadedDirectory directory(capacity_per_s, 2 * kSecond, 2);
  std::vector<WatchScheduler> schedulers;
  std::priority_queue<std::pair<Time, int>, std::vector<std::pair<Time, int>>, std::greater<>> due;
  for (int i = 0; i < starting; ++i) {
    schedulers.emplace_back(options, seed * 1000 + static_cast<uint64_t>(i));
    due.push({schedulers.back().initial_delay(true), i});
  }
  StartResult out;
  while (!due.empty() && due.top().first < 60 * kSecond) {
    const auto [now, relay] = due.top();
    due.pop();
    ++out.requests;
    const OverloadedDirectory::Reply answer = directory.request(now);
    if (answer.served) {
      out.served_by_20_s += answer.at <= 20 * kSecond;
      ++out.served_by_60_s;
    } else {
      const Time waited = answer.at - now;
      auto& scheduler = schedulers[static_cast<size_t>(relay)];
      due.push({answer.at + scheduler.retry_delay(WatchEnd::kRefused, waited), relay});
    }
  }
  return out;
}

TEST(WatchScheduler, SevenInTenRelaysKilledInOneSecondWithListsOverbooked) {
  for (const uint64_t seed : {1, 2, 3}) {
    // Scheduled as if requests cost nothing: all relays request at once, and again within seconds.
    const StartResult unpaced = start_at_once(70, {0, 100}, 7, seed);
    EXPECT_LT(unpaced.served_by_60_s, 20) << "the model no longer shows why requests are paced";
    const StartResult paced = start_at_once(70, {kRequestInterval, 100}, 7, seed);
    EXPECT_GE(paced.served_by_20_s, 60) << "seed " << seed;
    EXPECT_EQ(paced.served_by_60_s, 70) << "seed " << seed;
    EXPECT_LT(paced.requests, 2 * 70) << "seed " << seed;
  }
}

// One request from each relay takes twice the request interval to serve: rejected relays have to back off.
TEST(WatchScheduler, AFleetThatAsksForMoreThanDiscoveryHasBacksOffUntilAllAreTold) {
  for (const int relays : {100, 300}) {
    const double capacity_per_s = relays / 20.0;
    EXPECT_LT(start_at_once(relays, {0, relays}, capacity_per_s, 1).served_by_60_s, relays / 2);
    EXPECT_GE(start_at_once(relays, {kRequestInterval, relays}, capacity_per_s, 1).served_by_60_s,
              relays * 9 / 10);
  }
}

// No delay is longer than half a second: discovery may be back at any time.
TEST(WatchScheduler, WhereAskingCostsNothingItIsDoneAtOnceAndAgainSoon) {
  WatchScheduler scheduler({0, 100}, 1);
  EXPECT_EQ(scheduler.initial_delay(true), 0);
  for (const Time expected : {50'000, 100'000, 200'000, 400'000, 500'000, 500'000}) {
    EXPECT_EQ(scheduler.retry_delay(WatchEnd::kNoResponse, scheduler.first_item_timeout()), expected);
  }
  scheduler.on_item();
  EXPECT_EQ(scheduler.retry_delay(WatchEnd::kBroken, 0), 50'000);
}

TEST(WatchScheduler, OneRelayAloneHasNobodyToWaitFor) {
  WatchScheduler scheduler({kRequestInterval, 1}, 1);
  EXPECT_EQ(scheduler.initial_delay(true), 0);
  EXPECT_EQ(scheduler.retry_delay(WatchEnd::kRefused, 0), 50'000);
}

// Fails if a relay that starts, or is told of another address of discovery, misses a change that discovery
// could tell it. (It waited for up to the request interval.)
TEST(WatchScheduler, TheFirstRequestIsMadeWithinTheTimeThatAChangeMayTake) {
  constexpr Time kReplyTime = kSecond * 3 / 2;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    for (const int relays : {2, 12, 300}) {
      WatchScheduler scheduler({kRequestInterval, relays}, seed);
      EXPECT_LE(scheduler.initial_delay(true) + kReplyTime, WatchScheduler::kMaxNotificationDelay);
    }
  }
}

TEST(WatchScheduler, ARelayWithoutAListAsksAtOnce) {
  EXPECT_EQ(WatchScheduler({kRequestInterval, 100}, 1).initial_delay(false), 0);
}

// The delays of a watch that falls silent, and of requests without a reply: whatever falls silent, a request
// that is answered within 1.5 s ends at most 6 s after discovery had the change and could be
// reached.
TEST(WatchScheduler, SilenceIsNeverWaitedOutForLongerThanAChangeMayTake) {
  constexpr Time kReplyTime = kSecond * 3 / 2;
  for (const Time interval : {Time{0}, kRequestInterval}) {
    for (uint64_t seed = 1; seed <= 200; ++seed) {
      WatchScheduler scheduler({interval, 100}, seed);
      scheduler.on_item();
      // The watch: its last line, then the silence time-out, then the delay.
      EXPECT_LE(WatchScheduler::kSilenceTimeout + scheduler.retry_delay(WatchEnd::kBroken, 0) + kReplyTime,
                WatchScheduler::kMaxNotificationDelay);
      for (int i = 0; i < 20; ++i) {
        // Discovery is back the moment after a request was sent that gets no reply.
        const Time waited = scheduler.first_item_timeout();
        EXPECT_LE(waited + scheduler.retry_delay(WatchEnd::kNoResponse, waited) + kReplyTime,
                  WatchScheduler::kMaxNotificationDelay);
      }
    }
  }
}

// Where requests cost nothing, there is time for three of them even if only the last one gets a reply.
TEST(WatchScheduler, AWatchThatFallsSilentAgainWhileItIsReplacedIsReplacedInTime) {
  WatchScheduler scheduler({0, 300}, 1);
  scheduler.on_item();
  Time passed = WatchScheduler::kSilenceTimeout;
  for (int silent = 0; silent < 2; ++silent) {
    passed += scheduler.retry_delay(silent == 0 ? WatchEnd::kBroken : WatchEnd::kNoResponse, passed) +
              scheduler.first_item_timeout();
  }
  EXPECT_LT(passed + scheduler.retry_delay(WatchEnd::kNoResponse, passed) + kSecond / 2,
            WatchScheduler::kMaxNotificationDelay);
}

// Fails if a relay that discovery rejected misses a change that discovery could tell it soon after. (It
// waited for up to 20 s, later 40 s.)
TEST(WatchScheduler, ARequestThatWasRefusedIsRepeatedWithinTheTimeThatAChangeMayTake) {
  constexpr Time kReplyTime = kSecond * 3 / 2;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    WatchScheduler scheduler({kRequestInterval, 100}, seed);
    for (const Time waited : {Time{0}, kSecond / 2, kSecond, kSecond * 3 / 2}) {
      for (int i = 0; i < 5; ++i) {
        EXPECT_LE(waited + scheduler.retry_delay(WatchEnd::kRefused, waited) + kReplyTime,
                  WatchScheduler::kMaxNotificationDelay);
      }
    }
  }
}

// Fails if one rejection makes a relay late: a first request that is rejected at once, or one that replaces a
// broken watch, leaves time for another. (It was followed by one 3.6 to 4.5 s later.)
TEST(WatchScheduler, OneRefusalDoesNotMakeARelayLate) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    WatchScheduler starting({kRequestInterval, 100}, seed);
    EXPECT_LE(starting.initial_delay(true) + starting.retry_delay(WatchEnd::kRefused, 0),
              WatchScheduler::kMaxNotificationDelay);
    WatchScheduler following({kRequestInterval, 100}, seed);
    following.on_item();
    EXPECT_LE(WatchScheduler::kSilenceTimeout + following.retry_delay(WatchEnd::kBroken, 0) +
                  following.retry_delay(WatchEnd::kRefused, 0),
              WatchScheduler::kMaxNotificationDelay);
  }
}

// A request that is rejected only after it was in discovery's queue for long shows an overload. After
// repeated rejections of that kind requests are spread over longer and longer spans, up to four request
// intervals.
TEST(WatchScheduler, NoPauseIsLongerThanFourSpansAndAWatchThatStoodStartsAnew) {
  constexpr Time kQueueTimeout = 2 * kSecond;
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    WatchScheduler scheduler({kRequestInterval, 100}, seed);
    EXPECT_LE(scheduler.initial_delay(true), kRequestInterval);
    EXPECT_LE(scheduler.retry_delay(WatchEnd::kRefused, kQueueTimeout), 2 * kRequestInterval);
    for (int i = 0; i < 20; ++i) {
      EXPECT_LE(scheduler.retry_delay(WatchEnd::kRefused, i % 2 * kQueueTimeout), 4 * kRequestInterval);
      scheduler.on_item();  // an item alone does not show that discovery accepted the request
    }
    EXPECT_LE(scheduler.retry_delay(WatchEnd::kBroken, 0), 2 * kSecond);
    EXPECT_LE(scheduler.retry_delay(WatchEnd::kRefused, 0), kRequestInterval / 2);
  }
}

}  // namespace
}  // namespace umberhoist::members

// The judge alone, in made-up time: each rule on both sides of each of its limits.
#include "rehearsal/checker.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace umberhoist::rehearsal {
namespace {

enum : int { kSafe, kKeyed, kUnsafe };

RuleParameters figures() {
  RuleParameters out;
  out.classes = {
      {"safe", Effect::kSafe, 0}, {"keyed", Effect::kKeyed, 15 * kSecond}, {"unsafe", Effect::kUnsafe, 0}};
  return out;
}

constexpr Time kLife = 60 * kSecond;
constexpr Time kMs = kMillisecond;

// A world of two relays, and of destinations 7 (endpoints 1 and 2) and 8 (endpoint 3).
struct Judged {
  Checker checker{figures(), 0};
  Time now = 100 * kSecond;
  uint64_t last_call = 0;

  Judged() {
    for (const int relay : {0, 1}) {
      checker.on_relay_event(0, relay, RelayEvent::kStarted);
      checker.on_relay_event(0, relay, RelayEvent::kReady);
    }
    checker.on_list_changed(0, 1, 7, HostState::kActive);
    checker.on_list_changed(0, 2, 7, HostState::kActive);
    checker.on_list_changed(0, 3, 8, HostState::kActive);
  }

  void pass(Time time) {
    now += time;
    checker.advance(now);
  }
  void hand(uint64_t id, int message_class, int relay = 0, Time life = kLife, uint64_t message = 0,
            int destination = 7) {
    Submission h;
    h.id = id;
    h.message = message != 0 ? message : id;
    h.relay = relay;
    h.message_class = message_class;
    h.destination = destination;
    h.key = message_class == kKeyed ? 77 : 0;
    h.due = now + life;
    checker.on_submitted(now, h, 42);
  }
  void take(uint64_t id, int message_class, int relay = 0, Time life = kLife) {
    hand(id, message_class, relay, life);
    checker.on_accepted(now, id);
  }
  uint64_t call(uint64_t id, int endpoint = 1, int relay = 0, uint64_t key = 0, uint64_t body = 42) {
    Call c;
    c.number = ++last_call;
    c.id = id;
    c.relay = relay;
    c.endpoint = endpoint;
    c.key = key;
    c.body = body;
    c.first_byte = now;
    checker.on_call(now, c);
    return c.number;
  }
  void end(uint64_t call, CallEnd how, Time wait = 0) { checker.on_call_ended(now, call, how, wait); }
  size_t count(Rule rule) const {
    return std::count_if(checker.violations().begin(), checker.violations().end(),
                         [&](const Violation& b) { return b.rule == rule; });
  }
  bool only(Rule rule, size_t times = 1) const {
    return count(rule) == times && checker.violation_count() == times;
  }
  bool none() const { return checker.violation_count() == 0; }
};

// ---- 1: no message lost, one final answer ----

TEST(Checker, ADeliveredMessageIsOverAndForgotten) {
  Judged j;
  j.take(1, kUnsafe);
  j.end(j.call(1), CallEnd::kDelivered);
  EXPECT_EQ(j.checker.unresolved_count(), 0u);
  j.pass(kLife + 6 * kSecond);
  EXPECT_TRUE(j.none());
  EXPECT_EQ(j.checker.tracked_count(), 0u);
}

TEST(Checker, ANoticeMayComeUntil350MsAfterItsTime) {
  Judged j;
  j.take(1, kUnsafe, 0, kSecond);
  j.pass(kSecond + 349 * kMs);
  j.checker.on_notice(j.now, 0, 1, false, 0);
  j.pass(10 * kSecond);
  EXPECT_TRUE(j.none());
}

TEST(Checker, ANoticeThatComesLaterIsLate) {
  Judged j;
  j.take(1, kUnsafe, 0, kSecond);
  j.pass(kSecond + 351 * kMs);
  j.checker.on_notice(j.now, 0, 1, false, 0);
  EXPECT_TRUE(j.only(Rule::kNoticeLate));
}

TEST(Checker, NoNoticeAtAllIsALostMessage) {
  Judged j;
  j.take(1, kUnsafe, 0, kSecond);
  j.pass(kSecond + 400 * kMs);
  j.pass(4 * kSecond);
  ASSERT_TRUE(j.only(Rule::kLost));
  const Violation& breach = j.checker.violations().front();
  EXPECT_EQ(breach.id, 1u);
  EXPECT_EQ(breach.history.size(), 2u);  // handed in, taken on
}

TEST(Checker, NothingIsOwedForAMessageThatWasNotTakenOn) {
  Judged j;
  j.hand(1, kUnsafe, 0, kSecond);
  j.checker.on_refused(j.now, 1, 500 * kMs);
  j.hand(2, kUnsafe, 0, kSecond);
  j.checker.on_no_reply(j.now, 2, NoReplyReason::kTimeout);
  j.hand(3, kUnsafe, 0, kSecond);
  j.checker.on_no_reply(j.now, 3, NoReplyReason::kRelayExited);
  j.pass(20 * kSecond);
  EXPECT_TRUE(j.none());
}

TEST(Checker, AConnectionClosedOnARequestIsALostMessage) {
  Judged j;
  j.hand(1, kSafe);
  j.checker.on_no_reply(j.now, 1, NoReplyReason::kConnectionClosed);
  EXPECT_TRUE(j.only(Rule::kLost));
}

TEST(Checker, NoNoticeIsOverdueFromAKillUntilOneAndAHalfSecondsAfterTheRelayIsReady) {
  for (const bool in_time : {true, false}) {
    Judged j;
    j.take(1, kUnsafe, 0, kSecond);
    j.checker.on_relay_event(j.now, 0, RelayEvent::kKilled);
    j.pass(5 * kSecond);
    j.checker.on_relay_event(j.now, 0, RelayEvent::kStarted);
    j.pass(kSecond);
    j.checker.on_relay_event(j.now, 0, RelayEvent::kReady);
    j.pass(in_time ? 1400 * kMs : 1700 * kMs);
    j.checker.on_notice(j.now, 0, 1, false, 0);
    EXPECT_EQ(j.none(), in_time);
    EXPECT_EQ(j.count(Rule::kNoticeLate), in_time ? 0u : 1u);
  }
}

TEST(Checker, AnAcceptedMessageThatARestartForgotIsLost) {
  Judged j;
  j.take(1, kKeyed, 0, 10 * kSecond);
  j.checker.on_relay_event(j.now, 0, RelayEvent::kKilled);
  j.checker.on_relay_event(j.now, 0, RelayEvent::kStarted);
  j.checker.on_relay_event(j.now, 0, RelayEvent::kReady);
  j.pass(10 * kSecond + 400 * kMs);
  j.pass(5 * kSecond);
  EXPECT_TRUE(j.only(Rule::kLost));
}

// What is lost with the machine, and what is not: another relay's messages still are.
TEST(Checker, WhatIsLostWithTheMachineIsNotOwed) {
  Judged j;
  j.take(1, kUnsafe, 0, kSecond);
  j.take(2, kUnsafe, 1, kSecond);
  j.checker.on_relay_event(j.now, 0, RelayEvent::kMachineLost);
  EXPECT_EQ(j.checker.unresolved_count(), 1u);
  j.pass(2 * kSecond);
  j.pass(5 * kSecond);
  ASSERT_TRUE(j.only(Rule::kLost));
  EXPECT_EQ(j.checker.violations().front().id, 2u);
}

TEST(Checker, TwoNoticesThatDifferAreTwoAnswers) {
  Judged j;
  j.take(1, kSafe);
  j.checker.on_notice(j.now, 0, 1, true, 0);
  j.checker.on_notice(j.now, 0, 1, false, 0);
  EXPECT_TRUE(j.only(Rule::kTwoFinalAnswers));
}

TEST(Checker, TheSameNoticeTwiceIsTwoAnswersUnlessTheProcessIsAnother) {
  for (const bool restarted : {false, true}) {
    Judged j;
    j.take(1, kSafe);
    j.checker.on_notice(j.now, 0, 1, false, 0);
    if (restarted) {
      j.checker.on_relay_event(j.now, 0, RelayEvent::kKilled);
      j.checker.on_relay_event(j.now, 0, RelayEvent::kStarted);
      j.checker.on_relay_event(j.now, 0, RelayEvent::kReady);
    }
    j.checker.on_notice(j.now, 0, 1, false, 0);
    EXPECT_EQ(j.count(Rule::kTwoFinalAnswers), restarted ? 0u : 1u);
  }
}

TEST(Checker, ANoticeLongAfterTheDeliveryIsTwoAnswersOneThatCrossesItIsNot) {
  for (const Time later : {990 * kMs, 1010 * kMs}) {
    Judged j;
    j.take(1, kUnsafe);
    j.end(j.call(1), CallEnd::kDelivered);
    j.pass(later);
    j.checker.on_notice(j.now, 0, 1, false, 0);
    EXPECT_EQ(j.count(Rule::kTwoFinalAnswers), later > kSecond ? 1u : 0u);
  }
}

// An answer that crosses a kill: the new process cannot know of it.
TEST(Checker, AnAnswerThatCrossesAKillMayBeFollowedByANotice) {
  Judged j;
  j.take(1, kUnsafe);
  j.end(j.call(1), CallEnd::kDelivered);
  j.checker.on_relay_event(j.now, 0, RelayEvent::kKilled);
  j.pass(2 * kSecond);
  j.checker.on_relay_event(j.now, 0, RelayEvent::kStarted);
  j.checker.on_relay_event(j.now, 0, RelayEvent::kReady);
  j.checker.on_notice(j.now, 0, 1, false, 0);
  EXPECT_TRUE(j.none());
}

// ---- 2: no effect twice ----

TEST(Checker, AnUnsafeMessageMayBeSentAgainOnlyIfItNeverRan) {
  for (const CallEnd end :
       {CallEnd::kRefused, CallEnd::kError, CallEnd::kReset, CallEnd::kMalformed, CallEnd::kAbandoned}) {
    Judged j;
    j.take(1, kUnsafe);
    j.end(j.call(1), end);
    j.pass(kSecond);
    j.end(j.call(1, 2), CallEnd::kDelivered);
    EXPECT_EQ(j.count(Rule::kUnsafeRepeated), end == CallEnd::kRefused ? 0u : 1u) << static_cast<int>(end);
  }
}

TEST(Checker, SafeMessagesMayBeSentAgain) {
  Judged j;
  j.take(1, kSafe);
  for (int i = 0; i < 5; ++i) {
    j.end(j.call(1), CallEnd::kAbandoned);
    j.pass(5 * kSecond);
  }
  EXPECT_TRUE(j.none());
}

// A keyed message whose window ends during the outage.
TEST(Checker, AKeyedMessageMayBeSentAgainWithinItsWindowOnly) {
  for (const Time age : {15 * kSecond + 49 * kMs, 15 * kSecond + 51 * kMs}) {
    Judged j;
    j.take(1, kKeyed);
    j.end(j.call(1, 1, 0, 77), CallEnd::kAbandoned);
    j.pass(age);
    j.call(1, 2, 0, 77);
    EXPECT_EQ(j.count(Rule::kKeyWindow), age > 15 * kSecond + 50 * kMs ? 1u : 0u);
  }
}

TEST(Checker, TheWindowRunsFromTheFirstSendThatMayHaveRun) {
  Judged j;
  j.take(1, kKeyed);
  j.end(j.call(1, 1, 0, 77), CallEnd::kRefused);  // it never ran: the window has not begun
  j.pass(10 * kSecond);
  j.end(j.call(1, 1, 0, 77), CallEnd::kAbandoned);
  j.pass(10 * kSecond);
  j.end(j.call(1, 1, 0, 77), CallEnd::kAbandoned);
  EXPECT_TRUE(j.none());
  j.pass(6 * kSecond);
  j.call(1, 1, 0, 77);
  EXPECT_TRUE(j.only(Rule::kKeyWindow));
}

TEST(Checker, TwoAttemptsAtOnceUnlessTheFirstOnesEndIsOnItsWay) {
  for (const Time crossing : {40 * kMs, 60 * kMs}) {
    Judged j;
    j.take(1, kSafe);
    const uint64_t first = j.call(1);
    j.call(1, 2);
    j.pass(crossing);
    j.end(first, CallEnd::kAbandoned);
    j.pass(kSecond);
    EXPECT_EQ(j.count(Rule::kTwoAttemptsAtOnce), crossing > 50 * kMs ? 1u : 0u);
  }
}

TEST(Checker, AnUnsafeMessageThatMayHaveRunMayNotBeReturned) {
  for (const bool ran : {false, true}) {
    Judged j;
    j.take(1, kUnsafe);
    j.end(j.call(1), ran ? CallEnd::kAbandoned : CallEnd::kRefused);
    j.checker.on_notice(j.now, 0, 1, true, 500 * kMs);
    EXPECT_EQ(j.count(Rule::kUnsafeRepeated), ran ? 1u : 0u);
  }
}

TEST(Checker, AnUnsafeMessageThatMayHaveRunMayFail) {
  Judged j;
  j.take(1, kUnsafe);
  j.end(j.call(1), CallEnd::kReset);
  j.checker.on_notice(j.now, 0, 1, false, 0);
  EXPECT_TRUE(j.none());
}

TEST(Checker, NothingIsSentAfterANotice) {
  for (const Time later : {40 * kMs, 60 * kMs}) {
    Judged j;
    j.take(1, kSafe);
    j.checker.on_notice(j.now, 0, 1, true, 0);
    j.pass(later);
    j.call(1);
    EXPECT_EQ(j.count(Rule::kUnsafeRepeated), later > 50 * kMs ? 1u : 0u);
  }
}

TEST(Checker, TheSameEffectTwiceUnderOneIdOrUnderTwo) {
  Judged j;
  j.take(1, kKeyed);
  const uint64_t first = j.call(1, 1, 0, 77);
  j.checker.on_executed(j.now, first, true);
  j.end(first, CallEnd::kAbandoned);
  const uint64_t second = j.call(1, 2, 0, 77);
  j.checker.on_executed(j.now, second, false);  // dropped as a repeat
  EXPECT_TRUE(j.none());
  j.end(second, CallEnd::kAbandoned);
  j.checker.on_executed(j.now, j.call(1, 2, 0, 77), true);
  EXPECT_TRUE(j.only(Rule::kTwoEffects));
}

// Handed in again after a refusal: a new id, the same key and message.
TEST(Checker, AMessageHandedInAgainAfterARefusalMustNotTakeEffectTwice) {
  Judged j;
  j.take(1, kUnsafe);
  j.checker.on_notice(j.now, 0, 1, true, 0);
  j.hand(2, kUnsafe, 1, kLife, 1);
  j.checker.on_accepted(j.now, 2);
  const uint64_t call = j.call(2, 1, 1);
  j.checker.on_executed(j.now, call, true);
  j.end(call, CallEnd::kDelivered);
  EXPECT_TRUE(j.none());
  j.checker.on_executed(j.now, j.call(1), true);
  EXPECT_EQ(j.count(Rule::kTwoEffects), 1u);
}

TEST(Checker, AKeyedOneThatComesAgainAfterItsWindowIsNobodysBreach) {
  Judged j;
  j.take(1, kKeyed);
  j.checker.on_executed(j.now, j.call(1, 1, 0, 77), true);
  j.checker.on_notice(j.now, 0, 1, true, 0);
  j.hand(2, kKeyed, 1, kLife, 1);
  j.checker.on_accepted(j.now, 2);
  j.pass(20 * kSecond);
  j.checker.on_executed(j.now, j.call(2, 1, 1, 77), true);
  EXPECT_EQ(j.count(Rule::kTwoEffects), 0u);
}

TEST(Checker, WhatRunsUnderAnIdThatItsClientGaveUpCountsForNothing) {
  Judged j;
  j.hand(1, kUnsafe);
  j.checker.on_no_reply(j.now, 1, NoReplyReason::kTimeout);
  j.checker.on_executed(j.now, j.call(1), true);
  j.hand(2, kUnsafe, 1, kLife, 1);
  j.checker.on_accepted(j.now, 2);
  j.checker.on_executed(j.now, j.call(2, 1, 1), true);
  EXPECT_TRUE(j.none());
}

// A message handed in twice under one id, as after a connection that closed on it, is one message.
TEST(Checker, AMessageHandedInTwiceUnderOneIdIsOne) {
  Judged j;
  j.hand(1, kUnsafe);
  j.hand(1, kUnsafe);
  j.checker.on_accepted(j.now, 1);
  j.checker.on_accepted(j.now, 1);
  EXPECT_EQ(j.checker.unresolved_count(), 1u);
  j.end(j.call(1), CallEnd::kDelivered);
  EXPECT_EQ(j.checker.unresolved_count(), 0u);
  EXPECT_TRUE(j.none());
}

TEST(Checker, SixAttemptsAndNoMore) {
  Judged j;
  j.take(1, kSafe);
  for (int i = 0; i < 6; ++i) j.end(j.call(1), CallEnd::kRefused);
  EXPECT_TRUE(j.none());
  j.call(1);
  EXPECT_TRUE(j.only(Rule::kAttempts));
}

TEST(Checker, ACallToAnotherDestinationOrForNoMessage) {
  Judged j;
  j.take(1, kSafe);
  j.call(1, 3);
  EXPECT_TRUE(j.only(Rule::kWrongEndpoint));
  j.call(999);
  EXPECT_TRUE(j.only(Rule::kWrongEndpoint, 2));
}

TEST(Checker, BodyAndKeyGoOnUnchanged) {
  Judged j;
  j.take(1, kKeyed);
  j.end(j.call(1, 1, 0, 77, 42), CallEnd::kRefused);
  EXPECT_TRUE(j.none());
  j.end(j.call(1, 1, 0, 77, 43), CallEnd::kRefused);
  EXPECT_TRUE(j.only(Rule::kContent));
  j.call(1, 1, 0, 78, 42);
  EXPECT_TRUE(j.only(Rule::kContent, 2));
}

// ---- 3: drains ----

TEST(Checker, AfterTheGraceNothingGoesToAnEndpointThatDrains) {
  for (const Time age : {1049 * kMs, 1051 * kMs}) {
    Judged j;
    j.take(1, kSafe);
    j.checker.on_list_changed(j.now, 1, 7, HostState::kDraining);
    j.checker.on_relay_notified(j.now, 0, 1, HostState::kDraining);
    j.pass(age);
    j.call(1);
    EXPECT_EQ(j.count(Rule::kDrain), age > 1050 * kMs ? 1u : 0u);
  }
}

TEST(Checker, AChangeCountsAsToldAfterSixSecondsWhetherOrNotItArrived) {
  for (const Time age : {7049 * kMs, 7051 * kMs}) {
    Judged j;
    j.take(1, kSafe);
    j.checker.on_list_changed(j.now, 1, 7, HostState::kDraining);
    j.checker.on_agent_updated(j.now, 0, 1, HostState::kDraining);
    j.pass(age);
    j.call(1);
    EXPECT_EQ(j.count(Rule::kDrain), age > 7050 * kMs ? 1u : 0u);
  }
}

// While the directory lags the relay's agent has nothing to tell.
TEST(Checker, WhatTheAgentWasNotSentYetCountsForNothing) {
  Judged j;
  j.take(1, kSafe);
  j.checker.on_list_changed(j.now, 1, 7, HostState::kDraining);
  j.pass(20 * kSecond);
  j.call(1);
  EXPECT_TRUE(j.none());
}

TEST(Checker, AfterSighupAChangeCountsAsToldFourSecondsLater) {
  Judged j;
  j.take(1, kSafe);
  j.take(2, kSafe);
  j.checker.on_list_changed(j.now, 1, 7, HostState::kDraining);
  j.checker.on_agent_updated(j.now, 0, 1, HostState::kDraining);
  j.checker.on_relay_event(j.now, 0, RelayEvent::kSighup);
  j.pass(5049 * kMs);
  j.end(j.call(1), CallEnd::kRefused);
  EXPECT_TRUE(j.none());
  j.pass(2 * kMs);
  j.call(2);
  EXPECT_TRUE(j.only(Rule::kDrain));
}

TEST(Checker, ToldToOneRelayIsNotToldToAnother) {
  Judged j;
  j.take(1, kSafe, 1);
  j.checker.on_list_changed(j.now, 1, 7, HostState::kDraining);
  j.checker.on_relay_notified(j.now, 0, 1, HostState::kDraining);
  j.pass(3 * kSecond);
  j.call(1, 1, 1);
  EXPECT_TRUE(j.none());
}

TEST(Checker, ARestartWithItsFolderForgetsNoDrain) {
  Judged j;
  j.take(1, kSafe);
  j.checker.on_list_changed(j.now, 1, 7, HostState::kDraining);
  j.checker.on_relay_notified(j.now, 0, 1, HostState::kDraining);
  j.checker.on_relay_event(j.now, 0, RelayEvent::kKilled);
  j.checker.on_relay_event(j.now, 0, RelayEvent::kStarted);
  j.checker.on_relay_event(j.now, 0, RelayEvent::kReady);
  j.pass(2 * kSecond);
  j.call(1);
  EXPECT_TRUE(j.only(Rule::kDrain));
}

// ---- 4: a returning destination ----

// Sends to destination 8 at so many a second for four seconds after its outage.
size_t pushed(double per_second, bool knew, double capacity) {
  Judged j;
  j.checker.on_outage_started(j.now, 8);
  if (knew) {
    j.hand(1, kSafe, 0, kLife, 0, 8);
    j.checker.on_accepted(j.now, 1);
    j.end(j.call(1, 3), CallEnd::kAbandoned);
  }
  j.pass(10 * kSecond);
  j.checker.on_outage_ended(j.now, 8, capacity);
  for (uint64_t i = 0; i < static_cast<uint64_t>(per_second * 4); ++i) {
    j.hand(100 + i, kSafe, 0, kLife, 0, 8);
    j.checker.on_accepted(j.now, 100 + i);
    j.end(j.call(100 + i, 3), CallEnd::kDelivered);
    j.pass(static_cast<Time>(1e6 / per_second));
  }
  return j.count(Rule::kPushedOver);
}

TEST(Checker, AReturningDestinationIsNotPushedOverByRelaysThatKnew) {
  // At capacity 50 its budget after 3 s is 2 * (0.21 + 0.79 * 3 / 12) * 50 * 3 = 122, and some for chance.
  EXPECT_EQ(pushed(35, true, 50), 0u);
  EXPECT_EQ(pushed(80, true, 50), 1u);
  EXPECT_EQ(pushed(80, false, 50), 0u);  // it had seen nothing there fail
}

TEST(Checker, ProbesWeighToo) {
  Judged j;
  j.checker.on_outage_started(j.now, 8);
  j.checker.on_probe(j.now, 0, 3, false);
  j.checker.on_outage_ended(j.now, 8, 10);
  for (int i = 0; i < 60; ++i) j.checker.on_probe(j.now, 0, 3, true);
  EXPECT_TRUE(j.only(Rule::kPushedOver));
}

TEST(Checker, OnceWarmItTakesAnything) {
  Judged j;
  j.checker.on_outage_started(j.now, 8);
  j.checker.on_probe(j.now, 0, 3, false);
  j.checker.on_outage_ended(j.now, 8, 10);
  j.pass(12 * kSecond + kMs);
  for (int i = 0; i < 500; ++i) j.checker.on_probe(j.now, 0, 3, true);
  EXPECT_TRUE(j.none());
}

// ---- 6: waits ----

struct Wait {
  Time after;
  bool breach;
};

TEST(Checker, NothingGoesToADestinationInsideAToldWait) {
  // Calls that land within 100 ms of it cross it (50 ms more are the tolerance); at its end it is over.
  for (const auto& [after, breach] :
       {Wait{149 * kMs, false}, Wait{151 * kMs, true}, Wait{1999 * kMs, true}, Wait{2000 * kMs, false}}) {
    Judged j;
    j.take(1, kSafe);
    j.take(2, kSafe);
    j.end(j.call(1), CallEnd::kRefused, 2 * kSecond);
    j.pass(after);
    j.call(2, 2);  // another endpoint of the same destination
    EXPECT_EQ(j.count(Rule::kWait), breach ? 1u : 0u) << after;
  }
}

TEST(Checker, AWaitIsOneRelaysAndOneDestinations) {
  Judged j;
  j.take(1, kSafe);
  j.take(2, kSafe, 1);
  j.hand(3, kSafe, 0, kLife, 0, 8);
  j.end(j.call(1), CallEnd::kRefused, 2 * kSecond);
  j.pass(kSecond);
  j.call(2, 1, 1);
  j.call(3, 3);
  EXPECT_TRUE(j.none());
}

TEST(Checker, ARestartEndsAWait) {
  Judged j;
  j.take(1, kSafe);
  j.end(j.call(1), CallEnd::kRefused, 10 * kSecond);
  j.checker.on_relay_event(j.now, 0, RelayEvent::kKilled);
  j.checker.on_relay_event(j.now, 0, RelayEvent::kStarted);
  j.checker.on_relay_event(j.now, 0, RelayEvent::kReady);
  j.pass(kSecond);
  j.call(1);
  EXPECT_TRUE(j.none());
}

TEST(Checker, ARefusalWithoutAWaitHoldsNothingBack) {
  Judged j;
  j.take(1, kSafe);
  j.end(j.call(1), CallEnd::kRefused, 0);
  j.pass(200 * kMs);
  j.call(1);
  EXPECT_TRUE(j.none());
}

// ---- And the rest ----

TEST(Checker, AProcessThatEndsByItselfHasCrashed) {
  Judged j;
  j.checker.on_relay_event(j.now, 0, RelayEvent::kCrashed);
  EXPECT_TRUE(j.only(Rule::kCrash));
}

// Memory follows what is open, not how long the run lasts.
TEST(Checker, KeepsOnlyWhatIsOpenOrJustOver) {
  Judged j;
  size_t most = 0;
  for (uint64_t id = 1; id <= 20'000; ++id) {
    j.take(id, kSafe, 0, kSecond);
    j.end(j.call(id), CallEnd::kDelivered);
    j.pass(10 * kMs);
    most = std::max(most, j.checker.tracked_count());
  }
  EXPECT_LT(most, 1000u);  // 6 s of them
  EXPECT_TRUE(j.none());
}

TEST(Checker, KeepsABoundedNumberOfBreachesAndCountsTheRest) {
  Judged j;
  for (uint64_t id = 1; id <= 1000; ++id) j.call(id);
  EXPECT_EQ(j.checker.violation_count(), 1000u);
  EXPECT_EQ(j.checker.violations().size(), Checker::kMaxViolations);
}

}  // namespace
}  // namespace umberhoist::rehearsal

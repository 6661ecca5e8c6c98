// Unit tests of Checker with simulated time: each rule on both sides of each of its limits.
#include "rehearsal/checker.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace umberhoist::rehearsal {
namespace {

enum : int { kSafe, kKeyed, kUnsafe };

RuleParameters parameters() {
  RuleParameters out;
  out.classes = {
      {"safe", Effect::kSafe, 0}, {"keyed", Effect::kKeyed, 15 * kSecond}, {"unsafe", Effect::kUnsafe, 0}};
  return out;
}

constexpr Time kTimeToLive = 60 * kSecond;
constexpr Time kMs = kMillisecond;

// A checker that knows two ready relays and the destinations 7 (endpoints 1 and 2) and 8 (endpoint 3).
struct CheckerFixture {
  Checker checker{parameters(), 0};
  Time now = 100 * kSecond;
  uint64_t last_call = 0;
  int request = 1;  // number of the next calls on their connection

  CheckerFixture() {
    for (const int relay : {0, 1}) {
      checker.on_relay_event(0, relay, RelayEvent::kStarted);
      checker.on_relay_event(0, relay, RelayEvent::kReady);
    }
    checker.on_list_changed(0, 1, 7, HostState::kActive);
    checker.on_list_changed(0, 2, 7, HostState::kActive);
    checker.on_list_changed(0, 3, 8, HostState::kActive);
  }

  void advance(Time time) {
    now += time;
    checker.advance(now);
  }
  void submit(uint64_t id, int message_class, int relay = 0, Time life = kTimeToLive, uint64_t message = 0,
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
  void accept(uint64_t id, int message_class, int relay = 0, Time life = kTimeToLive) {
    submit(id, message_class, relay, life);
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
    c.request = request;
    checker.on_call(now, c);
    return c.number;
  }
  void end_call(uint64_t call, CallEnd end, Time wait = 0) {
    checker.on_call_ended(now, call, end, {wait, now});
  }
  size_t count(Rule rule) const {
    return std::count_if(checker.violations().begin(), checker.violations().end(),
                         [&](const Violation& b) { return b.rule == rule; });
  }
  bool only(Rule rule, size_t times = 1) const {
    return count(rule) == times && checker.violation_count() == times;
  }
  bool none() const { return checker.violation_count() == 0; }
};

// ---- Rule 1: no message is lost, one final answer ----

TEST(Checker, ADeliveredMessageIsOverAndForgotten) {
  CheckerFixture f;
  f.accept(1, kUnsafe);
  f.end_call(f.call(1), CallEnd::kDelivered);
  EXPECT_EQ(f.checker.unresolved_count(), 0u);
  f.advance(kTimeToLive + 6 * kSecond);
  EXPECT_TRUE(f.none());
  EXPECT_EQ(f.checker.tracked_count(), 0u);
}

TEST(Checker, ANoticeMayComeUntil350MsAfterItsTime) {
  CheckerFixture f;
  f.accept(1, kUnsafe, 0, kSecond);
  f.advance(kSecond + 349 * kMs);
  f.checker.on_notice(f.now, 0, 1, false, 0);
  f.advance(10 * kSecond);
  EXPECT_TRUE(f.none());
}

TEST(Checker, ANoticeThatComesLaterIsLate) {
  CheckerFixture f;
  f.accept(1, kUnsafe, 0, kSecond);
  f.advance(kSecond + 351 * kMs);
  f.checker.on_notice(f.now, 0, 1, false, 0);
  EXPECT_TRUE(f.only(Rule::kNoticeLate));
}

TEST(Checker, NoNoticeAtAllIsALostMessage) {
  CheckerFixture f;
  f.accept(1, kUnsafe, 0, kSecond);
  f.advance(kSecond + 400 * kMs);
  f.advance(4 * kSecond);
  ASSERT_TRUE(f.only(Rule::kLost));
  const Violation& violation = f.checker.violations().front();
  EXPECT_EQ(violation.id, 1u);
  EXPECT_EQ(violation.history.size(), 2u);  // submitted, accepted
}

TEST(Checker, NothingIsOwedForAMessageThatWasNotTakenOn) {
  CheckerFixture f;
  f.submit(1, kUnsafe, 0, kSecond);
  f.checker.on_refused(f.now, 1, 500 * kMs);
  f.submit(2, kUnsafe, 0, kSecond);
  f.checker.on_no_reply(f.now, 2, NoReplyReason::kTimeout);
  f.submit(3, kUnsafe, 0, kSecond);
  f.checker.on_no_reply(f.now, 3, NoReplyReason::kRelayExited);
  f.advance(20 * kSecond);
  EXPECT_TRUE(f.none());
}

TEST(Checker, AConnectionClosedOnARequestIsALostMessage) {
  CheckerFixture f;
  f.submit(1, kSafe);
  f.checker.on_no_reply(f.now, 1, NoReplyReason::kConnectionClosed);
  EXPECT_TRUE(f.only(Rule::kLost));
}

TEST(Checker, NoNoticeIsOverdueFromAKillUntilOneAndAHalfSecondsAfterTheRelayIsReady) {
  for (const bool in_time : {true, false}) {
    CheckerFixture f;
    f.accept(1, kUnsafe, 0, kSecond);
    f.checker.on_relay_event(f.now, 0, RelayEvent::kKilled);
    f.advance(5 * kSecond);
    f.checker.on_relay_event(f.now, 0, RelayEvent::kStarted);
    f.advance(kSecond);
    f.checker.on_relay_event(f.now, 0, RelayEvent::kReady);
    f.advance(in_time ? 1400 * kMs : 1700 * kMs);
    f.checker.on_notice(f.now, 0, 1, false, 0);
    EXPECT_EQ(f.none(), in_time);
    EXPECT_EQ(f.count(Rule::kNoticeLate), in_time ? 0u : 1u);
  }
}

TEST(Checker, AnAcceptedMessageThatARestartForgotIsLost) {
  CheckerFixture f;
  f.accept(1, kKeyed, 0, 10 * kSecond);
  f.checker.on_relay_event(f.now, 0, RelayEvent::kKilled);
  f.checker.on_relay_event(f.now, 0, RelayEvent::kStarted);
  f.checker.on_relay_event(f.now, 0, RelayEvent::kReady);
  f.advance(10 * kSecond + 400 * kMs);
  f.advance(5 * kSecond);
  EXPECT_TRUE(f.only(Rule::kLost));
}

// Messages of the lost machine's relay are excluded; those of the other relay are still checked.
TEST(Checker, WhatIsLostWithTheMachineIsNotOwed) {
  CheckerFixture f;
  f.accept(1, kUnsafe, 0, kSecond);
  f.accept(2, kUnsafe, 1, kSecond);
  f.checker.on_relay_event(f.now, 0, RelayEvent::kMachineLost);
  EXPECT_EQ(f.checker.unresolved_count(), 1u);
  f.advance(2 * kSecond);
  f.advance(5 * kSecond);
  ASSERT_TRUE(f.only(Rule::kLost));
  EXPECT_EQ(f.checker.violations().front().id, 2u);
}

TEST(Checker, TwoNoticesThatDifferAreTwoAnswers) {
  CheckerFixture f;
  f.accept(1, kSafe);
  f.checker.on_notice(f.now, 0, 1, true, 0);
  f.checker.on_notice(f.now, 0, 1, false, 0);
  EXPECT_TRUE(f.only(Rule::kTwoFinalAnswers));
}

TEST(Checker, TheSameNoticeTwiceIsTwoAnswersUnlessTheProcessIsAnother) {
  for (const bool restarted : {false, true}) {
    CheckerFixture f;
    f.accept(1, kSafe);
    f.checker.on_notice(f.now, 0, 1, false, 0);
    if (restarted) {
      f.checker.on_relay_event(f.now, 0, RelayEvent::kKilled);
      f.checker.on_relay_event(f.now, 0, RelayEvent::kStarted);
      f.checker.on_relay_event(f.now, 0, RelayEvent::kReady);
    }
    f.checker.on_notice(f.now, 0, 1, false, 0);
    EXPECT_EQ(f.count(Rule::kTwoFinalAnswers), restarted ? 0u : 1u);
  }
}

TEST(Checker, ANoticeThatTheAgentDidNotReplyToInTimeMayBeRepeatedOnce) {
  for (const bool returned : {false, true}) {
    CheckerFixture f;
    f.accept(1, kSafe);
    f.checker.on_notice(f.now, 0, 1, false, 0);
    f.checker.on_notice_abandoned(f.now, 0, 1);
    f.checker.on_notice(f.now, 0, 1, returned, 0);
    EXPECT_EQ(f.count(Rule::kTwoFinalAnswers), returned ? 1u : 0u);  // another notice never
    f.checker.on_notice(f.now, 0, 1, returned, 0);
    EXPECT_EQ(f.count(Rule::kTwoFinalAnswers), returned ? 2u : 1u);
  }
}

TEST(Checker, ANoticeOfFailureAfterADeliveryOnAUsedConnectionIsAllowedAndNoOther) {
  for (const int request : {1, 2}) {
    for (const bool returned : {false, true}) {
      CheckerFixture f;
      f.accept(1, kSafe);
      f.request = request;
      f.end_call(f.call(1), CallEnd::kDelivered);
      f.advance(1010 * kMs);
      f.checker.on_notice(f.now, 0, 1, returned, 0);
      EXPECT_EQ(f.count(Rule::kTwoFinalAnswers), request == 2 && !returned ? 0u : 1u);
      EXPECT_EQ(f.checker.notices_of_delivered(), returned ? 0u : 1u);
    }
  }
}

TEST(Checker, TheFirstReplyOnAConnectionIsCertainBesideSecondAnswersAndFailedCalls) {
  CheckerFixture f;
  f.accept(1, kSafe);
  f.end_call(f.call(1), CallEnd::kDelivered);
  f.accept(2, kSafe);
  f.advance(1010 * kMs);
  f.checker.on_second_answer(f.now, 0, 1);
  f.end_call(f.call(2), CallEnd::kError);
  f.checker.on_notice(f.now, 0, 1, false, 0);
  EXPECT_EQ(f.count(Rule::kTwoFinalAnswers), 1u);
}

TEST(Checker, ANoticeLongAfterTheDeliveryIsTwoAnswersOneThatCrossesItIsNot) {
  for (const Time later : {990 * kMs, 1010 * kMs}) {
    CheckerFixture f;
    f.accept(1, kUnsafe);
    f.end_call(f.call(1), CallEnd::kDelivered);
    f.advance(later);
    f.checker.on_notice(f.now, 0, 1, false, 0);
    EXPECT_EQ(f.count(Rule::kTwoFinalAnswers), later > kSecond ? 1u : 0u);
  }
}

// A delivery that the relay has not read before it is killed is unknown to its new process.
TEST(Checker, AnAnswerThatCrossesAKillMayBeFollowedByANotice) {
  CheckerFixture f;
  f.accept(1, kUnsafe);
  f.end_call(f.call(1), CallEnd::kDelivered);
  f.checker.on_relay_event(f.now, 0, RelayEvent::kKilled);
  f.advance(2 * kSecond);
  f.checker.on_relay_event(f.now, 0, RelayEvent::kStarted);
  f.checker.on_relay_event(f.now, 0, RelayEvent::kReady);
  f.checker.on_notice(f.now, 0, 1, false, 0);
  EXPECT_TRUE(f.none());
}

// ---- Rule 2: no effect takes place twice ----

TEST(Checker, AnUnsafeMessageMayBeSentAgainOnlyIfItNeverRan) {
  for (const CallEnd end :
       {CallEnd::kRefused, CallEnd::kError, CallEnd::kReset, CallEnd::kMalformed, CallEnd::kAbandoned}) {
    CheckerFixture f;
    f.accept(1, kUnsafe);
    f.end_call(f.call(1), end);
    f.advance(kSecond);
    f.end_call(f.call(1, 2), CallEnd::kDelivered);
    EXPECT_EQ(f.count(Rule::kUnsafeRepeated), end == CallEnd::kRefused ? 0u : 1u) << static_cast<int>(end);
  }
}

TEST(Checker, SafeMessagesMayBeSentAgain) {
  CheckerFixture f;
  f.accept(1, kSafe);
  for (int i = 0; i < 5; ++i) {
    f.end_call(f.call(1), CallEnd::kAbandoned);
    f.advance(5 * kSecond);
  }
  EXPECT_TRUE(f.none());
}

// The key window ends while the message waits for its next attempt.
TEST(Checker, AKeyedMessageMayBeSentAgainWithinItsWindowOnly) {
  for (const Time age : {15 * kSecond + 49 * kMs, 15 * kSecond + 51 * kMs}) {
    CheckerFixture f;
    f.accept(1, kKeyed);
    f.end_call(f.call(1, 1, 0, 77), CallEnd::kAbandoned);
    f.advance(age);
    f.call(1, 2, 0, 77);
    EXPECT_EQ(f.count(Rule::kKeyWindow), age > 15 * kSecond + 50 * kMs ? 1u : 0u);
  }
}

TEST(Checker, TheWindowRunsFromTheFirstSendThatMayHaveRun) {
  CheckerFixture f;
  f.accept(1, kKeyed);
  f.end_call(f.call(1, 1, 0, 77), CallEnd::kRefused);  // not executed: the window has not started
  f.advance(10 * kSecond);
  f.end_call(f.call(1, 1, 0, 77), CallEnd::kAbandoned);
  f.advance(10 * kSecond);
  f.end_call(f.call(1, 1, 0, 77), CallEnd::kAbandoned);
  EXPECT_TRUE(f.none());
  f.advance(6 * kSecond);
  f.call(1, 1, 0, 77);
  EXPECT_TRUE(f.only(Rule::kKeyWindow));
}

TEST(Checker, TwoAttemptsAtOnceUnlessTheFirstOnesEndIsOnItsWay) {
  for (const Time crossing : {40 * kMs, 60 * kMs}) {
    CheckerFixture f;
    f.accept(1, kSafe);
    const uint64_t first = f.call(1);
    f.call(1, 2);
    f.advance(crossing);
    f.end_call(first, CallEnd::kAbandoned);
    f.advance(kSecond);
    EXPECT_EQ(f.count(Rule::kTwoAttemptsAtOnce), crossing > 50 * kMs ? 1u : 0u);
  }
}

TEST(Checker, AnUnsafeMessageThatMayHaveRunMayNotBeReturned) {
  for (const bool ran : {false, true}) {
    CheckerFixture f;
    f.accept(1, kUnsafe);
    f.end_call(f.call(1), ran ? CallEnd::kAbandoned : CallEnd::kRefused);
    f.checker.on_notice(f.now, 0, 1, true, 500 * kMs);
    EXPECT_EQ(f.count(Rule::kUnsafeRepeated), ran ? 1u : 0u);
  }
}

TEST(Checker, AnUnsafeMessageThatMayHaveRunMayFail) {
  CheckerFixture f;
  f.accept(1, kUnsafe);
  f.end_call(f.call(1), CallEnd::kReset);
  f.checker.on_notice(f.now, 0, 1, false, 0);
  EXPECT_TRUE(f.none());
}

TEST(Checker, NothingIsSentAfterANotice) {
  for (const Time later : {40 * kMs, 60 * kMs}) {
    CheckerFixture f;
    f.accept(1, kSafe);
    f.checker.on_notice(f.now, 0, 1, true, 0);
    f.advance(later);
    f.call(1);
    EXPECT_EQ(f.count(Rule::kUnsafeRepeated), later > 50 * kMs ? 1u : 0u);
  }
}

TEST(Checker, TheSameEffectTwiceUnderOneIdOrUnderTwo) {
  CheckerFixture f;
  f.accept(1, kKeyed);
  const uint64_t first = f.call(1, 1, 0, 77);
  f.checker.on_executed(f.now, first, true);
  f.end_call(first, CallEnd::kAbandoned);
  const uint64_t second = f.call(1, 2, 0, 77);
  f.checker.on_executed(f.now, second, false);  // dropped as a repeat
  EXPECT_TRUE(f.none());
  f.end_call(second, CallEnd::kAbandoned);
  f.checker.on_executed(f.now, f.call(1, 2, 0, 77), true);
  EXPECT_TRUE(f.only(Rule::kTwoEffects));
}

// A resubmission after a refusal has a new id but the same key and message.
TEST(Checker, AMessageHandedInAgainAfterARefusalMustNotTakeEffectTwice) {
  CheckerFixture f;
  f.accept(1, kUnsafe);
  f.checker.on_notice(f.now, 0, 1, true, 0);
  f.submit(2, kUnsafe, 1, kTimeToLive, 1);
  f.checker.on_accepted(f.now, 2);
  const uint64_t call = f.call(2, 1, 1);
  f.checker.on_executed(f.now, call, true);
  f.end_call(call, CallEnd::kDelivered);
  EXPECT_TRUE(f.none());
  f.checker.on_executed(f.now, f.call(1), true);
  EXPECT_EQ(f.count(Rule::kTwoEffects), 1u);
}

TEST(Checker, AKeyedOneThatComesAgainAfterItsWindowIsNobodysBreach) {
  CheckerFixture f;
  f.accept(1, kKeyed);
  f.checker.on_executed(f.now, f.call(1, 1, 0, 77), true);
  f.checker.on_notice(f.now, 0, 1, true, 0);
  f.submit(2, kKeyed, 1, kTimeToLive, 1);
  f.checker.on_accepted(f.now, 2);
  f.advance(20 * kSecond);
  f.checker.on_executed(f.now, f.call(2, 1, 1, 77), true);
  EXPECT_EQ(f.count(Rule::kTwoEffects), 0u);
}

TEST(Checker, WhatRunsUnderAnIdThatItsClientGaveUpCountsForNothing) {
  CheckerFixture f;
  f.submit(1, kUnsafe);
  f.checker.on_no_reply(f.now, 1, NoReplyReason::kTimeout);
  f.checker.on_executed(f.now, f.call(1), true);
  f.submit(2, kUnsafe, 1, kTimeToLive, 1);
  f.checker.on_accepted(f.now, 2);
  f.checker.on_executed(f.now, f.call(2, 1, 1), true);
  EXPECT_TRUE(f.none());
}

// A message submitted twice under one id, as a client does after its connection closed, is one message.
TEST(Checker, AMessageHandedInTwiceUnderOneIdIsOne) {
  CheckerFixture f;
  f.submit(1, kUnsafe);
  f.submit(1, kUnsafe);
  f.checker.on_accepted(f.now, 1);
  f.checker.on_accepted(f.now, 1);
  EXPECT_EQ(f.checker.unresolved_count(), 1u);
  f.end_call(f.call(1), CallEnd::kDelivered);
  EXPECT_EQ(f.checker.unresolved_count(), 0u);
  EXPECT_TRUE(f.none());
}

TEST(Checker, SixAttemptsAndNoMore) {
  CheckerFixture f;
  f.accept(1, kSafe);
  for (int i = 0; i < 6; ++i) f.end_call(f.call(1), CallEnd::kRefused);
  EXPECT_TRUE(f.none());
  f.call(1);
  EXPECT_TRUE(f.only(Rule::kAttempts));
}

TEST(Checker, ACallToAnotherDestinationOrForNoMessage) {
  CheckerFixture f;
  f.accept(1, kSafe);
  f.call(1, 3);
  EXPECT_TRUE(f.only(Rule::kWrongEndpoint));
  f.call(999);
  EXPECT_TRUE(f.only(Rule::kWrongEndpoint, 2));
}

TEST(Checker, BodyAndKeyGoOnUnchanged) {
  CheckerFixture f;
  f.accept(1, kKeyed);
  f.end_call(f.call(1, 1, 0, 77, 42), CallEnd::kRefused);
  EXPECT_TRUE(f.none());
  f.end_call(f.call(1, 1, 0, 77, 43), CallEnd::kRefused);
  EXPECT_TRUE(f.only(Rule::kContent));
  f.call(1, 1, 0, 78, 42);
  EXPECT_TRUE(f.only(Rule::kContent, 2));
}

// ---- Rule 3: drains ----

TEST(Checker, AfterTheGraceNothingGoesToAnEndpointThatDrains) {
  for (const Time age : {1049 * kMs, 1051 * kMs}) {
    CheckerFixture f;
    f.accept(1, kSafe);
    f.checker.on_list_changed(f.now, 1, 7, HostState::kDraining);
    f.checker.on_relay_notified(f.now, 0, 1, HostState::kDraining);
    f.advance(age);
    f.call(1);
    EXPECT_EQ(f.count(Rule::kDrain), age > 1050 * kMs ? 1u : 0u);
  }
}

TEST(Checker, AChangeCountsAsToldAfterSixSecondsWhetherOrNotItArrived) {
  for (const Time age : {7049 * kMs, 7051 * kMs}) {
    CheckerFixture f;
    f.accept(1, kSafe);
    f.checker.on_list_changed(f.now, 1, 7, HostState::kDraining);
    f.checker.on_agent_updated(f.now, 0, 1, HostState::kDraining);
    f.advance(age);
    f.call(1);
    EXPECT_EQ(f.count(Rule::kDrain), age > 7050 * kMs ? 1u : 0u);
  }
}

// While discovery lags, the relay's agent does not know of the change.
TEST(Checker, WhatTheAgentWasNotSentYetCountsForNothing) {
  CheckerFixture f;
  f.accept(1, kSafe);
  f.checker.on_list_changed(f.now, 1, 7, HostState::kDraining);
  f.advance(20 * kSecond);
  f.call(1);
  EXPECT_TRUE(f.none());
}

TEST(Checker, AfterSighupAChangeCountsAsToldFourSecondsLater) {
  CheckerFixture f;
  f.accept(1, kSafe);
  f.accept(2, kSafe);
  f.checker.on_list_changed(f.now, 1, 7, HostState::kDraining);
  f.checker.on_agent_updated(f.now, 0, 1, HostState::kDraining);
  f.checker.on_relay_event(f.now, 0, RelayEvent::kSighup);
  f.advance(5049 * kMs);
  f.end_call(f.call(1), CallEnd::kRefused);
  EXPECT_TRUE(f.none());
  f.advance(2 * kMs);
  f.call(2);
  EXPECT_TRUE(f.only(Rule::kDrain));
}

TEST(Checker, ToldToOneRelayIsNotToldToAnother) {
  CheckerFixture f;
  f.accept(1, kSafe, 1);
  f.checker.on_list_changed(f.now, 1, 7, HostState::kDraining);
  f.checker.on_relay_notified(f.now, 0, 1, HostState::kDraining);
  f.advance(3 * kSecond);
  f.call(1, 1, 1);
  EXPECT_TRUE(f.none());
}

TEST(Checker, ARestartWithItsFolderForgetsNoDrain) {
  CheckerFixture f;
  f.accept(1, kSafe);
  f.checker.on_list_changed(f.now, 1, 7, HostState::kDraining);
  f.checker.on_relay_notified(f.now, 0, 1, HostState::kDraining);
  f.checker.on_relay_event(f.now, 0, RelayEvent::kKilled);
  f.checker.on_relay_event(f.now, 0, RelayEvent::kStarted);
  f.checker.on_relay_event(f.now, 0, RelayEvent::kReady);
  f.advance(2 * kSecond);
  f.call(1);
  EXPECT_TRUE(f.only(Rule::kDrain));
}

// ---- Rule 4: recovering destinations ----

// Sends to destination 8 at the given rate for four seconds after its outage. Returns the number of
// violations of rule 4.
size_t overloads(double per_second, bool informed, double capacity) {
  CheckerFixture f;
  f.checker.on_outage_started(f.now, 8);
  if (informed) {
    f.submit(1, kSafe, 0, kTimeToLive, 0, 8);
    f.checker.on_accepted(f.now, 1);
    f.end_call(f.call(1, 3), CallEnd::kAbandoned);
  }
  f.advance(10 * kSecond);
  f.checker.on_outage_ended(f.now, 8, capacity);
  for (uint64_t i = 0; i < static_cast<uint64_t>(per_second * 4); ++i) {
    f.submit(100 + i, kSafe, 0, kTimeToLive, 0, 8);
    f.checker.on_accepted(f.now, 100 + i);
    f.end_call(f.call(100 + i, 3), CallEnd::kDelivered);
    f.advance(static_cast<Time>(1e6 / per_second));
  }
  return f.count(Rule::kPushedOver);
}

TEST(Checker, AReturningDestinationIsNotPushedOverByRelaysThatKnew) {
  // At capacity 50 the budget after 3 s is 2 * (0.21 + 0.79 * 3 / 12) * 50 * 3 = 122, plus the allowance for
  // random variation.
  EXPECT_EQ(overloads(35, true, 50), 0u);
  EXPECT_EQ(overloads(80, true, 50), 1u);
  EXPECT_EQ(overloads(80, false, 50), 0u);  // the relay saw no failure there
}

TEST(Checker, ProbesCountTowardsTheBudget) {
  CheckerFixture f;
  f.checker.on_outage_started(f.now, 8);
  f.checker.on_probe(f.now, 0, 3, false);
  f.advance(2 * kSecond);
  f.checker.on_outage_ended(f.now, 8, 10);
  for (int i = 0; i < 60; ++i) f.checker.on_probe(f.now, 0, 3, true);
  EXPECT_TRUE(f.only(Rule::kPushedOver));
  const std::string& description = f.checker.violations().front().description;
  EXPECT_NE(description.find("(relay 0: 21; it was out from +100.0 s to +102.0 s)"), std::string::npos)
      << description;
}

TEST(Checker, OnceWarmItTakesAnything) {
  CheckerFixture f;
  f.checker.on_outage_started(f.now, 8);
  f.checker.on_probe(f.now, 0, 3, false);
  f.checker.on_outage_ended(f.now, 8, 10);
  f.advance(12 * kSecond + kMs);
  for (int i = 0; i < 500; ++i) f.checker.on_probe(f.now, 0, 3, true);
  EXPECT_TRUE(f.none());
}

// ---- Rule 6: waits ----

struct Wait {
  Time after;
  bool violation;
};

TEST(Checker, NothingGoesToADestinationInsideAToldWait) {
  // Calls within 100 ms of the refusal may cross it, and 50 ms are the tolerance. At its end the wait is
  // over.
  for (const auto& [after, violation] :
       {Wait{149 * kMs, false}, Wait{151 * kMs, true}, Wait{1999 * kMs, true}, Wait{2000 * kMs, false}}) {
    CheckerFixture f;
    f.accept(1, kSafe);
    f.accept(2, kSafe);
    f.end_call(f.call(1), CallEnd::kRefused, 2 * kSecond);
    f.advance(after);
    f.call(2, 2);  // another endpoint of the same destination
    EXPECT_EQ(f.count(Rule::kWait), violation ? 1u : 0u) << after;
  }
}

// Guards against a wait that lasts longer than it was told: a relay reads a reply before the stand-in's own
// thread comes to note that it was written.
TEST(Checker, AWaitCountsFromTheWritingOfItsReply) {
  struct CallTime {
    Time after;  // the reply was noted as written
    bool violation;
  };
  constexpr Time kNotedLater = 30 * kMs;
  for (const auto& [after, violation] : {CallTime{149 * kMs, false}, CallTime{151 * kMs, true},
                                         CallTime{1969 * kMs, true}, CallTime{1970 * kMs, false}}) {
    CheckerFixture f;
    f.accept(1, kSafe);
    f.accept(2, kSafe);
    const uint64_t refused = f.call(1);
    const Time written = f.now;
    f.advance(kNotedLater);
    f.checker.on_call_ended(f.now, refused, CallEnd::kRefused, {2 * kSecond, written});
    f.advance(after);
    f.call(2, 2);
    EXPECT_EQ(f.count(Rule::kWait), violation ? 1u : 0u) << after;
  }
}

TEST(Checker, AWaitIsOneRelaysAndOneDestinations) {
  CheckerFixture f;
  f.accept(1, kSafe);
  f.accept(2, kSafe, 1);
  f.submit(3, kSafe, 0, kTimeToLive, 0, 8);
  f.end_call(f.call(1), CallEnd::kRefused, 2 * kSecond);
  f.advance(kSecond);
  f.call(2, 1, 1);
  f.call(3, 3);
  EXPECT_TRUE(f.none());
}

TEST(Checker, ARestartEndsAWait) {
  CheckerFixture f;
  f.accept(1, kSafe);
  f.end_call(f.call(1), CallEnd::kRefused, 10 * kSecond);
  f.checker.on_relay_event(f.now, 0, RelayEvent::kKilled);
  f.checker.on_relay_event(f.now, 0, RelayEvent::kStarted);
  f.checker.on_relay_event(f.now, 0, RelayEvent::kReady);
  f.advance(kSecond);
  f.call(1);
  EXPECT_TRUE(f.none());
}

TEST(Checker, ARefusalWithoutAWaitHoldsNothingBack) {
  CheckerFixture f;
  f.accept(1, kSafe);
  f.end_call(f.call(1), CallEnd::kRefused, 0);
  f.advance(200 * kMs);
  f.call(1);
  EXPECT_TRUE(f.none());
}

// ---- Other checks ----

TEST(Checker, AProcessThatEndsByItselfHasCrashed) {
  CheckerFixture f;
  f.checker.on_relay_event(f.now, 0, RelayEvent::kCrashed);
  EXPECT_TRUE(f.only(Rule::kCrash));
}

// Memory depends on the number of open messages, not on the length of the run.
TEST(Checker, KeepsOnlyWhatIsOpenOrJustOver) {
  CheckerFixture f;
  size_t most = 0;
  for (uint64_t id = 1; id <= 20'000; ++id) {
    f.accept(id, kSafe, 0, kSecond);
    f.end_call(f.call(id), CallEnd::kDelivered);
    f.advance(10 * kMs);
    most = std::max(most, f.checker.tracked_count());
  }
  EXPECT_LT(most, 1000u);  // 6 s of messages
  EXPECT_TRUE(f.none());
}

TEST(Checker, KeepsABoundedNumberOfBreachesAndCountsTheRest) {
  CheckerFixture f;
  for (uint64_t id = 1; id <= 1000; ++id) f.call(id);
  EXPECT_EQ(f.checker.violation_count(), 1000u);
  EXPECT_EQ(f.checker.violations().size(), Checker::kMaxViolations);
}

}  // namespace
}  // namespace umberhoist::rehearsal

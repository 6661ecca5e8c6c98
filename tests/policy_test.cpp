#include <gtest/gtest.h>

#include <stdexcept>

#include "relay.h"

namespace firspool::testing {
namespace {

// Sends one message that is served at once; returns the time after it.
Time serve_one(Relay& relay, uint64_t id, Time now) {
  const auto sends = all_of<Send>(relay.step(now, {relay.message(id, now)}));
  EXPECT_EQ(sends.size(), 1u);
  relay.step(now + 100'000, {ended(sends.at(0), 0, Outcome::kOk)});
  return now + 200'000;
}

// A list whose destination has such a high limit that no rate guard interferes with the retry bucket.
MembersChanged list_without_rate_guards(Settings& s) {
  s.weights = Weights::kNominal;
  Member m = member(1);
  m.weight = 1e6;
  return members({m});
}

// ---- Retry bucket ----

TEST(RetryBucket, ARepeatWaitsARandomPause) {
  Relay relay(basic_settings());
  const auto first = all_of<Send>(relay.step(0, {members({member(1)}), relay.message(7, 0)}));
  ASSERT_EQ(first.size(), 1u);
  const auto at_once = relay.step(100'000, {ended(first[0], 0, Outcome::kError)});
  EXPECT_TRUE(all_of<Send>(at_once).empty());
  EXPECT_EQ(all_of<Send>(relay.run_idle(110'000, kSecond, 10'000)).size(), 1u);
}

// All calls fail: the initial tokens are spent, then retries stop while first attempts go on.
TEST(RetryBucket, RepeatsStopWhenTheBucketIsEmpty) {
  Settings s = basic_settings();
  s.max_attempts = 2;
  const MembersChanged list = list_without_rate_guards(s);
  Relay relay(s);
  relay.step(0, {list});
  int firsts = 0;
  int retries = 0;
  Time now = 0;
  std::map<uint64_t, int> attempts;
  std::vector<Event> events;
  for (uint64_t id = 1; id <= 60; ++id) {
    events.push_back(relay.message(id, now));
    for (int i = 0; i < 10; ++i) {
      const auto sends = all_of<Send>(relay.step(now, events));
      events.clear();
      for (const Send& send : sends) {
        ++(attempts[send.id] == 0 ? firsts : retries);
        events.push_back(ended(send, attempts[send.id]++, Outcome::kError));
      }
      now += 50'000;
    }
  }
  EXPECT_EQ(firsts, 60);
  EXPECT_EQ(retries, 10);
}

TEST(RetryBucket, ServedCallsEarnATenthOfARepeat) {
  Settings s = basic_settings();
  s.classes[0].give_up = 2 * kSecond;
  const MembersChanged list = list_without_rate_guards(s);
  Relay relay(s);
  relay.step(0, {list});
  Time now = 0;
  uint64_t id = 0;
  const auto retries_of_one_failure = [&] {
    const uint64_t mine = ++id;
    auto sends = all_of<Send>(relay.step(now, {relay.message(mine, now)}));
    int attempt = 0;
    int retries = 0;
    while (!sends.empty()) {
      std::vector<Event> events = {ended(sends[0], attempt++, Outcome::kError)};
      sends = all_of<Send>(relay.step(now += 10'000, events));
      for (int i = 0; i < 30 && sends.empty(); ++i) sends = all_of<Send>(relay.step(now += 10'000, {}));
      retries += static_cast<int>(sends.size());
    }
    relay.step(now += 3 * kSecond, {});  // the message's lifetime ends
    return retries;
  };
  int spent = 0;
  for (int i = 0; i < 3; ++i) spent += retries_of_one_failure();
  EXPECT_EQ(spent, 10);  // the initial tokens
  for (int i = 0; i < 10; ++i) now = serve_one(relay, ++id, now);
  EXPECT_EQ(retries_of_one_failure(), 1);
}

// A relay that rarely calls needs minutes to earn a tenth of a token: a message that waits for a token is
// refused while its client can still use another relay. Where calls are served often the message waits, as a
// token is near.
TEST(RetryBucket, ARetryThatEarnsNoTokenInItsTimeIsRefused) {
  for (const auto& [often, outcome] :
       {std::pair(false, Outcome::kRefused), std::pair(true, Outcome::kRefused),
        std::pair(false, Outcome::kError)}) {
    Settings s = basic_settings();
    s.max_attempts = 30;
    const MembersChanged list = list_without_rate_guards(s);
    Relay relay(s);
    relay.step(0, {list});
    Time now = 0;
    uint64_t id = 0;
    if (often) {
      for (int i = 0; i < 100; ++i) now = serve_one(relay, ++id, now);
    }
    const uint64_t mine = ++id;
    auto sends = all_of<Send>(relay.step(now, {relay.message(mine, now)}));
    int attempt = 0;
    std::vector<Refuse> refused;
    for (int i = 0; i < 300 && refused.empty() && attempt < 11; ++i) {
      std::vector<Event> events;
      for (const Send& send : sends) {
        AttemptEnded end = ended(send, attempt++, outcome);
        end.connection_limit_reached = outcome == Outcome::kRefused;
        events.push_back(end);
      }
      const auto actions = relay.step(now += 10'000, events);
      sends = all_of<Send>(actions);
      refused = all_of<Refuse>(actions);
    }
    EXPECT_EQ(attempt, 11);  // the first attempt and ten retries
    EXPECT_EQ(refused.size(), often || outcome == Outcome::kError ? 0u : 1u);
    relay.run_idle(now + 10'000, now + 30 * kSecond);
  }
}

// ---- Rules of a class ----

TEST(Promises, UnsafeIsRetriedOnlyAfterProofThatItWasNotExecuted) {
  Relay relay(basic_settings());
  const auto sends = all_of<Send>(relay.step(0, {members({member(1)}), relay.message(7, 0, 1)}));
  ASSERT_EQ(sends.size(), 1u);
  relay.step(100'000, {ended(sends[0], 0, Outcome::kConnectFailed)});
  const auto again = all_of<Send>(relay.run_idle(110'000, kSecond));
  ASSERT_EQ(again.size(), 1u);
  const auto after = relay.step(kSecond + 100'000, {ended(again[0], 1, Outcome::kReset)});
  EXPECT_EQ(all_of<Fail>(after).size(), 1u);
  EXPECT_TRUE(all_of<Refuse>(after).empty());
}

TEST(Promises, KeyedStaysInItsGroupAndWindow) {
  Settings s = basic_settings();
  s.classes[0].effect = Effect::kKeyed;
  s.classes[0].key_scope = KeyScope::kZone;
  s.classes[0].key_window = 3 * kSecond;
  Relay relay(s);
  Member other = member(2);
  other.zone = 1;
  const auto first = all_of<Send>(relay.step(0, {members({member(1), other}), relay.message(7, 0)}));
  ASSERT_EQ(first.size(), 1u);
  relay.step(kSecond, {ended(first[0], 0, Outcome::kTimeout, kSecond)});
  const auto second = all_of<Send>(relay.run_idle(kSecond, 2 * kSecond));
  ASSERT_EQ(second.size(), 1u);
  EXPECT_EQ(second[0].endpoint, first[0].endpoint);
  const auto after = relay.step(3 * kSecond, {ended(second[0], 1, Outcome::kTimeout, kSecond)});
  EXPECT_EQ(all_of<Fail>(after).size(), 1u);  // the key window is over, and refusing is not allowed
}

TEST(Promises, MessagesOfAKeyGoInTurn) {
  Settings s = basic_settings();
  s.classes[0].in_order = true;
  s.in_order_pause = kSecond;
  Relay relay(s);
  Arrival a = relay.message(1, 0);
  Arrival b = relay.message(2, 0);
  a.key = b.key = 5;
  const auto first = all_of<Send>(relay.step(0, {members({member(1)}), a, b}));
  ASSERT_EQ(first.size(), 1u);
  EXPECT_EQ(first[0].id, 1u);
  const auto next = all_of<Send>(relay.step(100'000, {ended(first[0], 0, Outcome::kOk)}));
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].id, 2u);
}

TEST(Promises, AWithdrawnMessageKeepsItsTurnWhileItsCallIsOut) {
  Settings s = basic_settings();
  s.classes[0].in_order = true;
  Relay relay(s);
  Arrival a = relay.message(1, 0);
  Arrival b = relay.message(2, 0);
  a.key = b.key = 5;
  const auto first = all_of<Send>(relay.step(0, {members({member(1)}), a, b}));
  EXPECT_TRUE(all_of<Send>(relay.step(50'000, {Withdrawn{1}})).empty());
  EXPECT_EQ(all_of<Send>(relay.step(100'000, {ended(first.at(0), 0, Outcome::kError)})).size(), 1u);
}

TEST(Promises, EveryMessageIsAnsweredInTime) {
  Relay relay(basic_settings());
  relay.step(0, {relay.message(1, 0), relay.message(2, 0, 1)});  // no endpoint is ever listed
  relay.run_idle(0, 20 * kSecond);
  EXPECT_EQ(relay.unanswered_count(), 0u);
}

// ---- Waits, drains, slots ----

TEST(Waits, HoldTheWholeDestinationWhereTheLimitIsShared) {
  Relay relay(basic_settings());
  const auto first = all_of<Send>(relay.step(0, {members({member(1), member(2)}), relay.message(1, 0)}));
  relay.step(100'000,
             {ended(first.at(0), 0, Outcome::kRefused, 100'000, 2 * kSecond), relay.message(2, 100'000)});
  EXPECT_TRUE(all_of<Send>(relay.run_idle(110'000, 2'000'000)).empty());
  EXPECT_FALSE(all_of<Send>(relay.run_idle(2'010'000, 4 * kSecond)).empty());
}

TEST(Waits, HoldOneRouteWhereEndpointsAreIndependent) {
  Relay relay(basic_settings());
  const auto first =
      all_of<Send>(relay.step(0, {members({member(1, 1, 1), member(2, 1, 1)}), relay.message(1, 0)}));
  relay.step(100'000, {ended(first.at(0), 0, Outcome::kRefused, 100'000, 5 * kSecond)});
  const auto again = all_of<Send>(relay.run_idle(110'000, kSecond));
  ASSERT_EQ(again.size(), 1u);
  EXPECT_NE(again[0].endpoint, first[0].endpoint);
}

TEST(Drains, NothingNewGoesToADrainingEndpoint) {
  Relay relay(basic_settings());
  relay.step(0, {members({member(1), member(2)})});
  relay.step(10'000, {members({member(1, 1, 0, HostState::kDraining)}, MembersChanged::Form::kDelta)});
  for (uint64_t id = 1; id <= 5; ++id) {
    const Time now = static_cast<Time>(id) * 50'000;
    const auto sends = all_of<Send>(relay.step(now, {relay.message(id, now)}));
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends[0].endpoint.address, 2u);
  }
}

TEST(SlotShare, OneDestinationLeavesSlotsToOthersThatWait) {
  Relay relay(basic_settings());
  std::vector<Event> events = {members({member(1, 1), member(2, 2)})};
  for (uint64_t id = 1; id <= 20; ++id) events.push_back(relay.message(id, 0, 0, 1));
  for (uint64_t id = 21; id <= 24; ++id) events.push_back(relay.message(id, 0, 0, 2));
  int to_second = 0;
  for (const Send& send : all_of<Send>(relay.step(0, events))) to_second += send.endpoint.address == 2;
  EXPECT_EQ(to_second, 4);
}

TEST(SlotShare, BindsOnlyWhileOthersWait) {
  Relay relay(basic_settings());
  std::vector<Event> events = {members({member(1, 1)})};
  for (uint64_t id = 1; id <= 20; ++id) events.push_back(relay.message(id, 0));
  EXPECT_EQ(all_of<Send>(relay.step(0, events)).size(), 8u);
}

TEST(Batches, MessagesToOneEndpointShareACall) {
  Settings s = basic_settings();
  s.kinds[0].max_batch = 5;
  s.slots = 1;
  Relay relay(s);
  std::vector<Event> events = {members({member(1)})};
  for (uint64_t id = 1; id <= 7; ++id) events.push_back(relay.message(id, 0));
  const auto sends = all_of<Send>(relay.step(0, events));
  ASSERT_EQ(sends.size(), 5u);
  std::vector<Event> answers;
  for (const Send& send : sends) answers.push_back(ended(send, 0, Outcome::kOk));
  EXPECT_EQ(all_of<Send>(relay.step(100'000, answers)).size(), 2u);
}

TEST(Shedding, TheLeastWorthIsRefusedWhenCapacityRunsOut) {
  Settings s = basic_settings();
  s.max_open = 10;
  s.classes[1].worth = 5;
  Relay relay(s);
  std::vector<Event> events;
  for (uint64_t id = 1; id <= 10; ++id) events.push_back(relay.message(id, 0, id == 1 ? 1 : 0));
  const auto refused = all_of<Refuse>(relay.step(0, events));
  ASSERT_FALSE(refused.empty());
  for (const Refuse& r : refused) EXPECT_NE(r.id, 1u);
}

// A tenant's quota applies at submission time: messages resumed after a restart arrive all at once.
TEST(Shedding, ARestartLeavesATenantWithinItsQuotaItsWorth) {
  Settings s = basic_settings();
  s.max_open = 20;
  s.slots = 1;
  s.tenants = {{"steady", 2}, {"flood", 1}};
  s.over_quota_worth = 0.2;
  Relay relay(s);
  std::vector<Event> events = {members({member(1)})};
  const Time now = 100 * kSecond;
  const auto submit = [&](uint64_t id, int tenant, Time submitted) {
    Arrival a = relay.message(id, submitted);
    a.tenant = tenant;
    events.push_back(a);
  };
  // Ten messages of `steady` within its quota of 2 a second, ten of `flood` in one second, with a quota of 1.
  for (uint64_t i = 0; i < 10; ++i) {
    submit(1 + i, 0, now - 6 * kSecond + static_cast<Time>(i) * 500'000);
    submit(101 + i, 1, now - kSecond + static_cast<Time>(i) * 100'000);
  }
  const auto refused = all_of<Refuse>(relay.step(now, events));
  ASSERT_EQ(refused.size(), 2u);
  for (const Refuse& r : refused) EXPECT_GT(r.id, 100u);
}

// ---- Outages ----

// Serves a message every 100 ms for some seconds, so that the relay knows the destination's rate and latency.
Time warm_up(Relay& relay, uint64_t& id) {
  relay.step(0, {members({member(1)})});
  Time now = 0;
  while (now < 8 * kSecond) now = serve_one(relay, ++id, now);
  return now;
}

// A hang produces no outcomes, calls only become overdue. After a few of them first attempts are held back.
TEST(Outages, AHangIsSeenByOverdueCalls) {
  Settings s = basic_settings();
  s.slots = 100;
  Relay relay(s);
  uint64_t id = 0;
  const Time start = warm_up(relay, id);
  int sends = 0;
  for (Time t = start; t < start + 2 * kSecond; t += 100'000) {
    sends += static_cast<int>(all_of<Send>(relay.step(t, {relay.message(++id, t)})).size());
  }
  EXPECT_LE(sends, 12);
}

// After an outage the relay's sends stay within its share of the overload budget, however many messages wait.
TEST(Outages, QueuedMessagesAreNotAllSentAtOnceOnRecovery) {
  Settings s = basic_settings();
  s.slots = 100;
  Relay relay(s);
  uint64_t id = 0;
  const Time start = warm_up(relay, id);  // about five calls a second
  std::map<uint64_t, int> attempts;
  std::vector<Event> events;
  std::vector<Time> sent_after_return;
  const Time recovery = start + 8 * kSecond;
  for (Time t = start; t < recovery + 8 * kSecond; t += 100'000) {
    events.push_back(relay.message(++id, t));
    const auto sends = all_of<Send>(relay.step(t, events));
    events.clear();
    for (const Send& send : sends) {
      const bool up = t >= recovery;
      if (up) sent_after_return.push_back(t);
      events.push_back(ended(send, attempts[send.id]++, up ? Outcome::kOk : Outcome::kConnectFailed));
    }
  }
  ASSERT_FALSE(sent_after_return.empty());
  for (const Time from : sent_after_return) {
    const double progress =
        static_cast<double>(from + 3 * kSecond - recovery) / static_cast<double>(s.slow_start);
    // Its share of the budget, at ten calls a second at most.
    const double budget = 2 * (0.25 + 0.75 * std::min(1.0, progress)) * 10 * 3;
    const auto in_window = std::count_if(sent_after_return.begin(), sent_after_return.end(),
                                         [&](Time t) { return t >= from && t < from + 3 * kSecond; });
    EXPECT_LE(static_cast<double>(in_window), budget);
  }
  EXPECT_LE(std::count_if(sent_after_return.begin(), sent_after_return.end(),
                          [&](Time t) { return t < recovery + 3 * kSecond; }),
            10);
}

// Sends ten messages a second to destination 1, all of whose calls end with `outcome`.
struct FailingPeriod {
  Relay& relay;
  uint64_t& last_id;
  std::map<uint64_t, int> attempts = {};
  std::vector<Event> events = {};
  bool outage_seen = false;
  std::set<uint32_t> hosts_called = {};

  void run(Time from, Time to, Outcome outcome, bool new_messages) {
    for (Time now = from; now < to; now += 100'000) {
      if (new_messages) events.push_back(relay.message(++last_id, now));
      const auto actions = relay.step(now, events);
      events.clear();
      for (const Log& line : all_of<Log>(actions))
        outage_seen = outage_seen || line.text.find("outage") != std::string::npos;
      for (const Send& send : all_of<Send>(actions)) {
        hosts_called.insert(send.endpoint.address);
        events.push_back(ended(send, attempts[send.id]++, outcome));
      }
    }
    relay.step(to, events);
    events.clear();
  }
};

TEST(ForgottenDestinations, StartAnewWhenTheyAreListedAgain) {
  using Form = MembersChanged::Form;
  Relay relay(basic_settings());
  uint64_t id = 0;
  const Time start = warm_up(relay, id);
  FailingPeriod failing{relay, id};
  failing.run(start, start + 6 * kSecond, Outcome::kConnectFailed, true);
  ASSERT_TRUE(failing.outage_seen);
  const Time all_ended = start + 40 * kSecond;
  failing.run(start + 6 * kSecond, all_ended, Outcome::kConnectFailed, false);
  relay.step(all_ended,
             {members({member(1, 1, 0, HostState::kRemoved)}, Form::kDelta), DestinationsForgotten{{1}}});
  std::vector<Event> events = {members({member(2)}, Form::kDelta)};
  for (int i = 0; i < 5; ++i) events.push_back(relay.message(++id, all_ended + 1));
  EXPECT_EQ(all_of<Send>(relay.step(all_ended + 1, events)).size(), 5u);
}

TEST(ForgottenDestinations, StayWhileACallIsInFlight) {
  using Form = MembersChanged::Form;
  Relay relay(basic_settings());
  const auto sends = all_of<Send>(relay.step(0, {members({member(1)}), relay.message(1, 0)}));
  ASSERT_EQ(sends.size(), 1u);
  relay.step(1000,
             {members({member(1, 1, 0, HostState::kRemoved)}, Form::kDelta), DestinationsForgotten{{1, 2}}});
  relay.step(2000, {ended(sends[0], 0, Outcome::kTimeout), members({member(3)}, Form::kDelta)});
  EXPECT_EQ(all_of<Send>(relay.run_idle(3000, kSecond, 10'000)).size(), 1u);  // the retry, at the new host
}

// Guards against relays that forget an outage when the list replaces the hosts that failed: a destination may
// be out, be replaced, and come back cold. Of the messages that wait, and twenty more, one is sent as a trial
// call, and the others within the slow start's budget.
TEST(Outages, AnOutageOutlivesTheHostsThatFailed) {
  using Form = MembersChanged::Form;
  const std::vector<MembersChanged> replacements = {
      members({member(1, 1, 0, HostState::kDraining), member(3)}, Form::kDelta),
      members({member(1, 1, 0, HostState::kRemoved), member(3)}, Form::kDelta),
      members({member(1, 1, 0, HostState::kRemoved), member(3), member(4)}, Form::kDelta),
      members({member(3)}, Form::kFull)};
  for (size_t form = 0; form < replacements.size(); ++form) {
    for (const Outcome outcome :
         {Outcome::kRefused, Outcome::kConnectFailed, Outcome::kReset, Outcome::kTimeout, Outcome::kError}) {
      SCOPED_TRACE("form " + std::to_string(form) + ", outcome " + std::to_string(static_cast<int>(outcome)));
      const Settings s = basic_settings();
      Relay relay(s);
      uint64_t id = 0;
      const Time start = warm_up(relay, id);  // about five calls a second, all to host 1
      FailingPeriod failing{relay, id};
      failing.run(start, start + 4 * kSecond, outcome, true);
      failing.run(start + 4 * kSecond, start + 6 * kSecond, outcome, false);
      ASSERT_TRUE(failing.outage_seen);
      const Time replaced = start + 6 * kSecond + 500'000;
      std::vector<Event> events = {replacements[form]};
      for (int i = 0; i < 20; ++i) events.push_back(relay.message(++id, replaced));
      auto sends = all_of<Send>(relay.step(replaced, events));
      EXPECT_LE(sends.size(), 1u);  // a trial call
      size_t sent = sends.size();
      for (Time now = replaced + 100'000; now < replaced + 3 * kSecond; now += 100'000) {
        std::vector<Event> served;
        for (const Send& send : sends) {
          EXPECT_GE(send.endpoint.address, 3u);
          served.push_back(ended(send, failing.attempts[send.id]++, Outcome::kOk));
        }
        sends = all_of<Send>(relay.step(now, served));
        sent += sends.size();
      }
      const double progress = 3.0 * kSecond / static_cast<double>(s.slow_start);
      const double budget =
          s.overload_factor * (s.start_capacity + (1 - s.start_capacity) * progress) * 5 * 3;
      EXPECT_LE(static_cast<double>(sent), budget);
      EXPECT_GE(sent, 4u);
    }
  }
}

// A host that stays in the list failed too, and only one of the two is removed.
TEST(Outages, AnOutageOutlivesOneOfTheHostsThatFailed) {
  Relay relay(basic_settings());
  uint64_t id = 0;
  const Time start = warm_up(relay, id);
  FailingPeriod failing{relay, id};
  failing.events.push_back(members({member(1), member(2)}));
  failing.run(start, start + 4 * kSecond, Outcome::kConnectFailed, true);
  failing.run(start + 4 * kSecond, start + 6 * kSecond, Outcome::kConnectFailed, false);
  ASSERT_TRUE(failing.outage_seen);
  ASSERT_EQ(failing.hosts_called.size(), 2u);
  const std::vector<Member> list = {member(1, 1, 0, HostState::kDraining), member(3)};
  const auto sends = relay.step(start + 6 * kSecond + 500'000, {members(list, MembersChanged::Form::kDelta)});
  EXPECT_LE(all_of<Send>(sends).size(), 1u);
}

// When a host fails while it is being removed, its failures are discounted, but the pacing rate learned
// before them stays.
TEST(Outages, ARemovedHostLeavesThePacingRateLearnedBefore) {
  Settings s = basic_settings();
  s.slots = 100;
  Relay relay(s);
  uint64_t id = 0;
  Time now = warm_up(relay, id);
  std::vector<Event> events;
  std::map<uint64_t, int> attempts;
  const auto run_with_outcome = [&](Time length, Outcome outcome) {
    for (const Time end = now + length; now < end; now += 100'000) {
      events.push_back(relay.message(++id, now));
      const auto sends = all_of<Send>(relay.step(now, events));
      events.clear();
      for (const Send& send : sends) events.push_back(ended(send, attempts[send.id]++, outcome));
    }
  };
  run_with_outcome(kSecond, Outcome::kRefused);  // refusals at a rate limit
  run_with_outcome(3 * kSecond, Outcome::kOk);
  run_with_outcome(kSecond, Outcome::kConnectFailed);  // the host is gone, but still listed
  relay.step(now, events);
  const std::vector<Member> list = {member(1, 1, 0, HostState::kRemoved), member(3)};
  const auto sends = all_of<Send>(relay.step(now + kSecond, {members(list, MembersChanged::Form::kDelta)}));
  EXPECT_GE(sends.size(), 1u);
  EXPECT_LE(sends.size(), 4u);  // of some thirty that wait
}

// A few lost answers among served calls are not an outage: first attempts go on.
TEST(Outages, LostAnswersAmongServedCallsHoldNothingBack) {
  Settings s = basic_settings();
  s.slots = 100;
  Relay relay(s);
  uint64_t id = 0;
  Time now = warm_up(relay, id);
  for (int i = 0; i < 60; ++i, now += 100'000) {
    const auto sends = all_of<Send>(relay.step(now, {relay.message(++id, now, 1)}));
    ASSERT_EQ(sends.size(), 1u) << i;
    if (i % 5 != 0) relay.step(now + 50'000, {ended(sends[0], 0, Outcome::kOk, 50'000)});
  }
}

// Produces overdue calls that end with the given outcome: served late, or timed out. Then one more call that
// is never answered, while calls sent later are served. Returns the id of that call's message.
uint64_t overdue_calls(Relay& relay, uint64_t& id, Time& now, Outcome outcome) {
  for (int i = 0; i < 3; ++i) {
    const auto sends = all_of<Send>(relay.step(now, {relay.message(++id, now)}));
    EXPECT_EQ(sends.size(), 1u);
    for (int k = 0; k < 4; ++k) now = serve_one(relay, ++id, now + 300'000);
    now += kSecond;
    relay.step(now, {ended(sends.at(0), 0, outcome, 3 * kSecond)});
    now += kSecond;
    for (const Send& again : all_of<Send>(relay.step(now, {}))) {
      relay.step(now + 100'000, {ended(again, 1, Outcome::kOk)});
      now += 200'000;
    }
  }
  EXPECT_EQ(all_of<Send>(relay.step(now, {relay.message(++id, now)})).size(), 1u);  // never answered
  const uint64_t open = id;
  for (int i = 0; i < 6; ++i) now = serve_one(relay, ++id, now + 300'000);
  return open;
}

TEST(Outages, LostAnswersFreeTheirSlotsWhenOthersWait) {
  Settings s = basic_settings();
  s.slots = 2;
  s.may_cancel = true;
  Relay relay(s);
  uint64_t id = 0;
  Time now = warm_up(relay, id);
  const uint64_t lost = overdue_calls(relay, id, now, Outcome::kTimeout);
  EXPECT_TRUE(all_of<Cancel>(relay.step(now, {})).empty());  // no other message waits
  const auto freed = all_of<Cancel>(relay.step(now, {relay.message(++id, now), relay.message(++id, now)}));
  ASSERT_EQ(freed.size(), 1u);
  EXPECT_EQ(freed[0].id, lost);
}

TEST(Outages, SlowCallsKeepTheirSlots) {
  Settings s = basic_settings();
  s.slots = 2;
  s.may_cancel = true;
  Relay relay(s);
  uint64_t id = 0;
  Time now = warm_up(relay, id);
  overdue_calls(relay, id, now, Outcome::kOk);
  EXPECT_TRUE(all_of<Cancel>(relay.step(now, {relay.message(++id, now), relay.message(++id, now)})).empty());
}

// Trial calls use up messages whose retries find no token: where probes are allowed one is sent ahead of each
// trial call.
TEST(Outages, AProbePrecedesATrialCall) {
  Settings s = basic_settings();
  s.slots = 100;
  s.may_probe = true;
  Relay relay(s);
  uint64_t id = 0;
  Time now = warm_up(relay, id);
  std::map<uint64_t, int> attempts;
  std::vector<Event> events;
  int late_sends = 0;
  int probes = 0;
  for (int i = 0; i < 70; ++i, now += 100'000) {  // down: the outage is detected within the first two seconds
    events.push_back(relay.message(++id, now));
    const auto actions = relay.step(now, events);
    events.clear();
    for (const Send& send : all_of<Send>(actions)) {
      events.push_back(ended(send, attempts[send.id]++, Outcome::kConnectFailed));
      late_sends += i >= 20;
    }
    for (const Probe& probe : all_of<Probe>(actions)) {
      events.push_back(ProbeEnded{probe.endpoint, false, 50'000, {}});
      ++probes;
    }
  }
  relay.step(now, events);
  EXPECT_EQ(late_sends, 0);
  EXPECT_GE(probes, 4);
  EXPECT_LE(probes, 20);
}

// A slow answer to an overdue call ends a suspected outage, without a slow start.
TEST(Outages, SlowCallsEndASuspectedOutage) {
  Settings s = basic_settings();
  s.slots = 100;
  Relay relay(s);
  uint64_t id = 0;
  Time now = warm_up(relay, id);
  std::vector<Send> slow;
  for (int i = 0; i < 3; ++i) slow.push_back(all_of<Send>(relay.step(now, {relay.message(++id, now)})).at(0));
  const auto logs = all_of<Log>(relay.run_idle(now, now + kSecond));
  ASSERT_FALSE(logs.empty());
  EXPECT_NE(logs[0].text.find("calls overdue"), std::string::npos);
  now += kSecond + 100'000;
  relay.step(now, {ended(slow[0], 0, Outcome::kOk, kSecond)});
  std::vector<Event> events;
  for (int i = 0; i < 10; ++i) events.push_back(relay.message(++id, now));
  EXPECT_EQ(all_of<Send>(relay.step(now, events)).size(), 10u);
}

// A relay that knows the rate of its only destination. Each of its calls ends its message.
class RelayWithoutRetries {
 public:
  RelayWithoutRetries() : relay_(settings()) { now_ = warm_up(relay_, last_id_); }

  // Submits a message every 100 ms until then, and lets all calls end so.
  void run_until(Time end, Outcome outcome) {
    for (; now_ < end; now_ += kInterval) step({relay_.message(++last_id_, now_)}, outcome);
  }
  void wait_until(Time end) {
    for (; now_ < end; now_ += kInterval) step({}, Outcome::kOk);
  }
  void let_one_call_end(Outcome outcome) {
    size_t sent = 0;
    for (; sent == 0; now_ += kInterval) sent = step({relay_.message(++last_id_, now_)}, outcome);
    EXPECT_EQ(sent, 1u);
  }
  // Calls sent at once for 20 messages.
  size_t burst() {
    std::vector<Event> messages;
    for (int i = 0; i < 20; ++i) messages.push_back(relay_.message(++last_id_, now_));
    return step(messages, Outcome::kOk);
  }

 protected:
  static constexpr Time kInterval = 100'000;

  static Settings settings() {
    Settings s = basic_settings();
    s.slots = 100;
    return s;
  }

  Time now_ = 0;
  Time recovery_start_ = 0;

 private:
  size_t step(const std::vector<Event>& messages, Outcome outcome) {
    events_.insert(events_.end(), messages.begin(), messages.end());
    const auto actions = relay_.step(now_, events_);
    events_.clear();
    for (const Log& line : all_of<Log>(actions)) {
      if (line.text.ends_with("back, cold")) recovery_start_ = now_;
    }
    const auto sends = all_of<Send>(actions);
    for (const Send& send : sends) {
      AttemptEnded end = ended(send, 0, outcome, kInterval / 2);
      end.final = true;
      events_.push_back(end);
    }
    return sends.size();
  }

  Relay relay_;
  uint64_t last_id_ = 0;
  std::vector<Event> events_;
};

// The same, whose destination was out from 8 to 12 s and has come back since.
class RelayInSlowStart : public RelayWithoutRetries {
 public:
  RelayInSlowStart() {
    run_until(12 * kSecond, Outcome::kConnectFailed);
    while (recovery_start_ == 0) run_until(now_ + kInterval, Outcome::kOk);
  }
  Time slow_start_end() const { return recovery_start_ + settings().slow_start; }
  void let_a_call_near_the_end_fail() {
    run_until(slow_start_end() - 2 * kSecond, Outcome::kOk);
    let_one_call_end(Outcome::kConnectFailed);
  }
};

TEST(SlowStartEnd, ComesWithTheTimeWhereAllCallsAreServed) {
  RelayInSlowStart relay;
  relay.run_until(relay.slow_start_end() + kSecond, Outcome::kOk);
  EXPECT_EQ(relay.burst(), 20u);
}

// Guards against relays that send all they hold as the time of a slow start is up, although its last call
// failed.
TEST(SlowStartEnd, DoesNotComeWithTheTimeAfterAFailedCall) {
  RelayInSlowStart relay;
  const Time end = relay.slow_start_end();
  relay.let_a_call_near_the_end_fail();
  relay.wait_until(end + 200'000);
  EXPECT_LE(relay.burst(), 1u);
}

// Guards against relays that take a served call after a failed one for the rest of a slow start.
TEST(SlowStartEnd, IsPutOffByAFailedCallThatAServedOneFollows) {
  RelayInSlowStart relay;
  const Time end = relay.slow_start_end();
  relay.let_a_call_near_the_end_fail();
  relay.run_until(end + 200'000, Outcome::kOk);
  EXPECT_LE(relay.burst(), 1u);
}

// Guards against relays that take one served call among failed ones for the end of the trouble.
TEST(MostCallsFail, AndTheNextServedOneBeginsASlowStart) {
  RelayWithoutRetries relay;
  for (int i = 0; i < 10; ++i) {
    for (int failed = 0; failed < 3; ++failed) relay.let_one_call_end(Outcome::kError);
    relay.let_one_call_end(Outcome::kOk);
  }
  EXPECT_LE(relay.burst(), 1u);
}

TEST(MostCallsFail, IsNotSaidOfOneInFour) {
  RelayWithoutRetries relay;
  for (int i = 0; i < 10; ++i) {
    for (int served = 0; served < 3; ++served) relay.let_one_call_end(Outcome::kOk);
    relay.let_one_call_end(Outcome::kError);
  }
  relay.let_one_call_end(Outcome::kOk);
  EXPECT_EQ(relay.burst(), 20u);
}

// Refusals at a limit shared with other relays reduce the pacing rate, and are not taken for an outage.
TEST(Limits, RefusalsReduceThePacingRate) {
  Settings s = basic_settings();
  s.weights = Weights::kNominal;
  s.relays = 2;
  Relay relay(s);
  Member m = member(1);
  m.weight = 10;
  relay.step(0, {members({m})});
  const auto count = [&](Time from, Outcome outcome) {
    int sends = 0;
    std::map<uint64_t, int> attempts;
    static uint64_t id = 0;
    std::vector<Event> events;
    for (Time t = from; t < from + 30 * kSecond; t += 50'000) {
      const bool busy = t < from + 4 * kSecond;
      if (busy) events.push_back(relay.message(++id, t));
      const auto out = all_of<Send>(relay.step(t, events));
      events.clear();
      for (const Send& send : out) events.push_back(ended(send, attempts[send.id]++, outcome, 20'000));
      if (busy) sends += static_cast<int>(out.size());
    }
    return sends;
  };
  const int served = count(kSecond, Outcome::kOk);
  EXPECT_EQ(served, 80);  // nothing is held back before the first refusal
  EXPECT_LT(count(40 * kSecond, Outcome::kRefused), served / 2);
}

// Counts the attempts of a new relay that gets messages for a dead destination at a fixed interval.
int attempts_on_a_dead_destination(Time interval, Time until, int relays = 3) {
  Settings s = basic_settings();
  s.relays = relays;
  s.weights = Weights::kNominal;
  Relay relay(s);
  Member m = member(1);
  m.weight = 4;
  relay.step(0, {members({m})});
  std::map<uint64_t, int> attempts;
  std::vector<Event> events;
  uint64_t id = 0;
  int count = 0;
  for (Time t = 0; t < until; t += 50'000) {
    if (t % interval == 0) events.push_back(relay.message(++id, t));
    const auto sends = all_of<Send>(relay.step(t, events));
    events.clear();
    for (const Send& send : sends)
      events.push_back(ended(send, attempts[send.id]++, Outcome::kConnectFailed));
    count += static_cast<int>(sends.size());
  }
  return count;
}

// A relay that rarely calls earns no tokens at a dead destination: no retries beyond the initial tokens.
TEST(ExpectedTrouble, ARareCallerRetriesNoMoreThanItsInitialTokens) {
  EXPECT_LE(attempts_on_a_dead_destination(2 * kSecond, 60 * kSecond), 30 + 10);
}

// A restarted relay has a full bucket, but detects the outage after three calls and then sends trial calls
// only.
TEST(ExpectedTrouble, ARestartedRelaySoonSendsOnlyTrialCalls) {
  EXPECT_LE(attempts_on_a_dead_destination(100'000, 10 * kSecond), 10 + 10 + 10);  // of a hundred messages
}

// ---- Probation: a call failed, and nothing was served since ----

// Settings of a fleet in which each relay rarely calls a destination.
Settings settings_of_rare_callers() {
  Settings s = basic_settings();
  s.relays = 100;
  s.weights = Weights::kNominal;
  s.overload_window = 3 * kSecond;
  return s;
}

// Lets the first call of a new relay end so; returns the calls sent for ten messages that come at `later`.
size_t calls_after(Outcome outcome, Time later) {
  Relay relay(settings_of_rare_callers());
  Member m = member(1);
  m.weight = 10;
  const auto first = all_of<Send>(relay.step(0, {members({m}), relay.message(1, 0)}));
  EXPECT_EQ(first.size(), 1u);
  AttemptEnded end = ended(first.at(0), 0, outcome);
  end.final = true;
  relay.step(100'000, {end});
  relay.run_idle(150'000, later);
  std::vector<Event> events;
  for (uint64_t id = 10; id < 20; ++id) events.push_back(relay.message(id, later));
  return all_of<Send>(relay.step(later, events)).size();
}

TEST(Probation, AFailedCallAloneSlowsWhatComesAfterIt) {
  EXPECT_LE(calls_after(Outcome::kReset, 2 * kSecond), 1u);
}

TEST(Probation, ARefusedCallSlowsOnlyWhenALimitWouldHaveServedAgain) {
  EXPECT_GT(calls_after(Outcome::kOk, 4 * kSecond), 1u);
  EXPECT_LE(calls_after(Outcome::kRefused, 4 * kSecond), 1u);
}

TEST(Probation, AServedRetryEndsIt) {
  Relay relay(settings_of_rare_callers());
  const auto first = all_of<Send>(relay.step(0, {members({member(1)}), relay.message(1, 0)}));
  ASSERT_EQ(first.size(), 1u);
  relay.step(100'000, {ended(first[0], 0, Outcome::kReset)});
  const auto retry = all_of<Send>(relay.run_idle(110'000, 500'000, 10'000));
  ASSERT_EQ(retry.size(), 1u);
  relay.step(600'000, {ended(retry[0], 1, Outcome::kOk)});
  std::vector<Event> events;
  for (uint64_t id = 10; id < 13; ++id) events.push_back(relay.message(id, 2 * kSecond));
  EXPECT_EQ(all_of<Send>(relay.step(2 * kSecond, events)).size(), 3u);
}

// Lets a relay of a large fleet have old news of a destination, and one call out for `age`; returns the calls
// that it sends at once for ten further messages.
size_t calls_beside_an_unanswered_one(Time age) {
  Relay relay(settings_of_rare_callers());
  relay.step(0, {members({member(1)})});
  Time now = serve_one(relay, 1, 0);
  for (uint64_t id = 2; id < 6; ++id) now = serve_one(relay, id, now);
  now += 6 * kSecond;
  EXPECT_EQ(all_of<Send>(relay.step(now, {relay.message(20, now)})).size(), 1u);
  now += age;
  std::vector<Event> events;
  for (uint64_t id = 30; id < 40; ++id) events.push_back(relay.message(id, now));
  return all_of<Send>(relay.step(now, events)).size();
}

// Guards against relays that take silence for health.
TEST(UnansweredCalls, HoldFurtherOnesBackWhereNewsIsOldAndTheAnswerIsLate) {
  EXPECT_GT(calls_beside_an_unanswered_one(50'000), 1u);
  EXPECT_EQ(calls_beside_an_unanswered_one(kSecond), 0u);
}

TEST(UnansweredCalls, HoldNothingBackWhereACallWasServedLately) {
  Relay relay(settings_of_rare_callers());
  relay.step(0, {members({member(1)})});
  const Time now = serve_one(relay, 1, 0);
  EXPECT_EQ(all_of<Send>(relay.step(now, {relay.message(2, now)})).size(), 1u);
  EXPECT_EQ(all_of<Send>(relay.step(now + kSecond, {relay.message(3, now + kSecond)})).size(), 1u);
}

bool any_line_contains(const std::vector<Action>& actions, const std::string& text) {
  for (const Log& line : all_of<Log>(actions)) {
    if (line.text.find(text) != std::string::npos) return true;
  }
  return false;
}

TEST(UnansweredCalls, AreLoggedOnceWhileMessagesWait) {
  Relay relay(settings_of_rare_callers());
  relay.step(0, {members({member(1)})});
  Time now = serve_one(relay, 1, 0) + 6 * kSecond;
  const auto first = all_of<Send>(relay.step(now, {relay.message(20, now)}));
  now += kSecond;
  EXPECT_TRUE(any_line_contains(relay.step(now, {relay.message(30, now)}), "messages wait for news"));
  EXPECT_TRUE(all_of<Log>(relay.step(now + 10'000, {relay.message(31, now + 10'000)})).empty());
  const auto freed = relay.step(now + 50'000, {ended(first.at(0), 0, Outcome::kOk)});
  std::vector<Event> ends;
  for (const Send& send : all_of<Send>(freed)) ends.push_back(ended(send, 0, Outcome::kOk));
  EXPECT_EQ(ends.size(), 2u);
  relay.step(now + 200'000, ends);
}

// Each late call that messages wait for leaves a line of its own.
TEST(UnansweredCalls, AreLoggedAgainForTheNextLateCall) {
  Relay relay(settings_of_rare_callers());
  relay.step(0, {members({member(1)})});
  Time now = serve_one(relay, 1, 0);
  for (const uint64_t id : {20, 40}) {
    now += 6 * kSecond;
    const auto late = all_of<Send>(relay.step(now, {relay.message(id, now)}));
    ASSERT_EQ(late.size(), 1u);
    now += kSecond;
    Arrival brief = relay.message(id + 1, now);
    brief.due = now + kSecond / 2;
    EXPECT_TRUE(any_line_contains(relay.step(now, {brief}), "messages wait for news")) << id;
    relay.run_idle(now, brief.due);
    now = brief.due + 10'000;
    relay.step(now, {ended(late[0], 0, Outcome::kOk)});
  }
}

TEST(FailureLog, TellsHowACallFailedAndHowOldTheNewsWas) {
  Relay relay(settings_of_rare_callers());
  relay.step(0, {members({member(1)})});
  const Time now = serve_one(relay, 1, 0) + 6 * kSecond;
  const auto sends = all_of<Send>(relay.step(now, {relay.message(20, now)}));
  AttemptEnded end = ended(sends.at(0), 0, Outcome::kReset);
  end.final = true;
  EXPECT_TRUE(
      any_line_contains(relay.step(now + 30'000, {end}),
                        "a call was reset after 30 ms; the last served one was sent 6200 ms before it"));
}

// A message that waits for an answer is given back in its time, and one that the answer frees is sent.
TEST(UnansweredCalls, HoldNoMessageBeyondItsTime) {
  Relay relay(settings_of_rare_callers());
  relay.step(0, {members({member(1)})});
  Time now = serve_one(relay, 1, 0) + 6 * kSecond;
  const auto first = all_of<Send>(relay.step(now, {relay.message(20, now)}));
  ASSERT_EQ(first.size(), 1u);
  now += kSecond;
  EXPECT_TRUE(all_of<Send>(relay.step(now, {relay.message(30, now)})).empty());
  const auto freed = all_of<Send>(relay.step(now + 100'000, {ended(first[0], 0, Outcome::kOk)}));
  ASSERT_EQ(freed.size(), 1u);
  EXPECT_EQ(freed[0].id, 30u);

  Relay silent(settings_of_rare_callers());
  silent.step(0, {members({member(1)})});
  now = serve_one(silent, 1, 0) + 6 * kSecond;
  const auto unanswered = all_of<Send>(silent.step(now, {silent.message(20, now)}));
  ASSERT_EQ(unanswered.size(), 1u);
  now += kSecond;
  Arrival brief = silent.message(30, now);
  brief.due = now + kSecond / 2;
  silent.step(now, {brief});
  const auto returned = all_of<Refuse>(silent.run_idle(now, brief.due));
  ASSERT_EQ(returned.size(), 1u);
  EXPECT_EQ(returned[0].id, 30u);
  silent.step(brief.due + 10'000, {ended(unanswered[0], 0, Outcome::kOk)});
}

// A host that is being removed answers nothing for those that replace it.
TEST(UnansweredCalls, AtARemovedHostHoldNothingBack) {
  Relay relay(settings_of_rare_callers());
  relay.step(0, {members({member(1)})});
  Time now = serve_one(relay, 1, 0) + 6 * kSecond;
  ASSERT_EQ(all_of<Send>(relay.step(now, {relay.message(20, now)})).size(), 1u);
  now += kSecond;
  relay.step(now, {members({member(2)})});
  EXPECT_EQ(all_of<Send>(relay.step(now, {relay.message(30, now)})).size(), 1u);
}

// Guards against a relay that passes over a call which fails only after the list has removed its host.
TEST(Probation, AFailedCallCountsAfterTheListHasRemovedItsHost) {
  for (const Outcome outcome : {Outcome::kTimeout, Outcome::kReset, Outcome::kConnectFailed}) {
    Relay relay(settings_of_rare_callers());
    const auto first = all_of<Send>(relay.step(0, {members({member(1)}), relay.message(1, 0)}));
    ASSERT_EQ(first.size(), 1u);
    relay.step(500'000,
               {members({member(1, 1, 0, HostState::kRemoved), member(3)}, MembersChanged::Form::kDelta)});
    AttemptEnded end = ended(first[0], 0, outcome);
    end.final = true;
    relay.step(2 * kSecond, {end});
    std::vector<Event> events;
    for (uint64_t id = 10; id < 20; ++id) events.push_back(relay.message(id, 4 * kSecond));
    EXPECT_LE(all_of<Send>(relay.step(4 * kSecond, events)).size(), 1u);
  }
}

TEST(Probation, IsSavedAndRestored) {
  for (const Settings& settings : {settings_of_rare_callers(), basic_settings()}) {
    Relay relay(settings);
    const auto first = all_of<Send>(relay.step(kSecond, {members({member(1)}), relay.message(1, kSecond)}));
    ASSERT_EQ(first.size(), 1u);
    AttemptEnded end = ended(first[0], 0, Outcome::kReset);
    end.final = true;
    // At once: the process may be killed before the probation is enforced.
    const auto saved = all_of<SaveDestinationState>(relay.step(kSecond + 100'000, {end}));
    ASSERT_FALSE(saved.empty());
    EXPECT_EQ(saved.back().state.failing_since, kSecond);
    // The second restart comes before the time at which the former process would have enforced it.
    for (const Time restart : {4 * kSecond, kSecond + 500'000}) {
      Relay restarted(settings);
      std::vector<Event> events = {members({member(1)}), saved.back().state};
      for (uint64_t id = 10; id < 20; ++id) events.push_back(restarted.message(id, restart));
      EXPECT_LE(all_of<Send>(restarted.step(restart, events)).size(), 1u);
    }
  }
}

// ---- Fleets of hundreds: a relay rarely calls most destinations ----

// With 300 relays an even share of the limit is a call a minute: nothing is held back before a refusal.
TEST(Fleet, ARareCallerIsServedAtOnce) {
  Settings s = basic_settings();
  s.relays = 300;
  s.weights = Weights::kNominal;
  Relay relay(s);
  Member m = member(1);
  m.weight = 4;
  relay.step(0, {members({m})});
  for (uint64_t id = 1; id <= 10; ++id) serve_one(relay, id, static_cast<Time>(id) * 5 * kSecond);
}

// The rate of trial calls is one for the fleet: one relay of 300 sends far fewer than one of three.
TEST(Fleet, TrialCallsOfManyRelaysAddUpToFew) {
  const int few = attempts_on_a_dead_destination(2 * kSecond, 60 * kSecond, 3);
  const int many = attempts_on_a_dead_destination(2 * kSecond, 60 * kSecond, 300);
  EXPECT_LT(many, few / 2);
  EXPECT_GE(many, 3);
}

// All relays are asked to wait until the same time: the recovery starts then, and waiting messages are not
// all sent at once.
TEST(Fleet, ALongRequestedWaitStartsARecovery) {
  Settings s = basic_settings();
  s.relays = 300;
  Relay relay(s);
  const auto first = all_of<Send>(relay.step(0, {members({member(1)}), relay.message(1, 0)}));
  ASSERT_EQ(first.size(), 1u);
  relay.step(50'000, {ended(first[0], 0, Outcome::kRefused, 50'000, 5000'000), relay.message(2, 50'000)});
  EXPECT_TRUE(all_of<Send>(relay.run_idle(60'000, 6 * kSecond)).empty());
  // The slow start ends before the messages' lifetime.
  EXPECT_FALSE(all_of<Send>(relay.run_idle(6 * kSecond, 19 * kSecond)).empty());
}

// ---- Connections ----

// Calls on connections that were idle for long are lost, calls on new ones are served: the next call opens a
// new connection.
TEST(Connections, IdleOnesThatWereDroppedUnseenAreNotUsedAgain) {
  Relay relay(basic_settings());
  relay.step(0, {members({member(1)})});
  Time now = kSecond;
  uint64_t id = 0;
  bool closed = false;
  for (int i = 0; i < 6 && !closed; ++i) {
    now = serve_one(relay, ++id, now) + 4 * kSecond;
    const auto actions = relay.step(now, {relay.message(++id, now)});
    const auto sends = all_of<Send>(actions);
    ASSERT_EQ(sends.size(), 1u);
    closed = !all_of<CloseIdleConnections>(actions).empty();
    relay.step(now + 500'000, {ended(sends[0], 0, closed ? Outcome::kOk : Outcome::kReset, 500'000)});
    now += kSecond;
    for (const Send& again : all_of<Send>(relay.run_idle(now - 490'000, now, 10'000))) {
      relay.step(now, {ended(again, 1, Outcome::kOk)});
    }
    now += 5 * kSecond;
  }
  EXPECT_TRUE(closed);
}

// Most calls use idle connections, so most calls lost in a hang do too: idle connections to other
// destinations stay in use.
TEST(Connections, IdleOnesOutliveAHangElsewhere) {
  Relay relay(basic_settings());
  std::vector<Member> list;
  for (int d = 1; d <= 5; ++d) {
    list.push_back(member(static_cast<uint32_t>(d)));
    list.back().destination = d;
  }
  uint64_t id = 0;
  std::map<uint64_t, int> attempts;
  // All five are served for a while. Then 1 to 4 hang: calls to them time out.
  std::vector<std::pair<Time, Event>> due;
  std::vector<Event> events = {members(list)};
  int closed = 0;
  for (Time now = 0; now < 12 * kSecond; now += 50'000) {
    const bool hangs = now >= 5 * kSecond;
    if (now % (500'000) == 0) {
      for (int d = 1; d <= 5; ++d) events.push_back(relay.message(++id, now, 0, d));
    }
    std::erase_if(due, [&](const auto& item) {
      if (item.first > now) return false;
      events.push_back(item.second);
      return true;
    });
    for (const Action& action : relay.step(now, events)) {
      if (std::holds_alternative<CloseIdleConnections>(action)) ++closed;
      const auto* send = std::get_if<Send>(&action);
      if (send == nullptr) continue;
      const bool lost = hangs && send->endpoint != list[4].endpoint;
      const Time took = lost ? send->timeout : 100'000;
      due.emplace_back(now + took,
                       ended(*send, attempts[send->id]++, lost ? Outcome::kTimeout : Outcome::kOk, took));
    }
    events.clear();
  }
  EXPECT_EQ(closed, 0);
}

// A crashed destination accepts no connections either and serves calls later: its connection table was not
// full.
TEST(Connections, IdleOnesOutliveACrashElsewhere) {
  Relay relay(basic_settings());
  Member other = member(2);
  other.destination = 2;
  uint64_t id = 0;
  const auto first = all_of<Send>(relay.step(0, {members({member(1), other}), relay.message(++id, 0)}));
  ASSERT_EQ(first.size(), 1u);
  relay.step(100'000, {ended(first[0], 0, Outcome::kOk)});
  int closed = 0;
  int attempt = 0;
  std::vector<Event> events = {relay.message(++id, kSecond)};
  for (Time now = kSecond; now < 8 * kSecond; now += 100'000) {
    const auto actions = relay.step(now, events);
    events.clear();
    closed += static_cast<int>(all_of<CloseIdleConnections>(actions).size());
    for (const Send& send : all_of<Send>(actions)) {
      events.push_back(ended(send, attempt++, now < 4 * kSecond ? Outcome::kConnectFailed : Outcome::kOk));
    }
  }
  ASSERT_GE(attempt, 2);
  const Time now = 9 * kSecond;
  const auto sends = all_of<Send>(relay.step(now, {relay.message(++id, now, 0, 2)}));
  ASSERT_EQ(sends.size(), 1u);
  closed += static_cast<int>(
      all_of<CloseIdleConnections>(relay.step(now + 100'000, {ended(sends[0], 0, Outcome::kOk)})).size());
  EXPECT_EQ(closed, 0);
}

// Hosts accept few connections: if calls get none, idle connections are closed after each call.
TEST(Connections, IdleOnesAreReleasedWhileTablesAreFull) {
  Relay relay(basic_settings());
  uint64_t id = 0;
  const auto sends = all_of<Send>(relay.step(0, {members({member(1)}), relay.message(++id, 0)}));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_TRUE(all_of<CloseIdleConnections>(relay.step(100'000, {ended(sends[0], 0, Outcome::kOk)})).empty());
  const auto failing = all_of<Send>(relay.step(kSecond, {relay.message(++id, kSecond)}));
  ASSERT_EQ(failing.size(), 1u);
  relay.step(kSecond + 10'000, {ended(failing[0], 0, Outcome::kConnectFailed)});
  const auto again = all_of<Send>(relay.step(kSecond + 400'000, {}));
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(
      all_of<CloseIdleConnections>(relay.step(kSecond + 500'000, {ended(again[0], 1, Outcome::kOk)})).size(),
      1u);
}

// An unsafe call does not keep its slot for the whole lifetime of its message: lost answers would fill the
// slots one by one.
TEST(Outages, UnsafeCallsAreBoundedToo) {
  Relay relay(basic_settings());
  uint64_t id = 0;
  const Time now = warm_up(relay, id);
  const auto sends = all_of<Send>(relay.step(now, {relay.message(++id, now, 1)}));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_LT(sends[0].timeout, 10 * kSecond);
}

// ---- Discovery watch ----

TEST(List, TheWatchIsReopenedAfterAFailure) {
  Settings s = basic_settings();
  s.list_requires_watch = true;
  s.list_request_interval = 10 * kSecond;
  Relay relay(s);
  EXPECT_EQ(all_of<WatchList>(relay.step(0, {members({member(1)})})).size(), 1u);
  MembersChanged failed;
  failed.form = MembersChanged::Form::kFailed;
  EXPECT_TRUE(all_of<WatchList>(relay.step(100'000, {failed})).empty());
  EXPECT_EQ(all_of<WatchList>(relay.run_idle(150'000, 6 * kSecond)).size(), 1u);
}

// ---- Restarts ----

// Starts a new policy and resumes one message from before a restart.
std::vector<Action> actions_after_resume(const Settings& s, int message_class, int attempts, bool ran,
                                         Time since) {
  Policy policy(s, 1);
  Arrival in;
  in.id = 1;
  in.message_class = message_class;
  in.destination = 1;
  in.due = 100 * kSecond + s.classes[message_class].give_up / 2;
  in.attempts = attempts;
  in.maybe_executed = ran;
  in.maybe_executed_sent = 100 * kSecond - since;
  std::vector<Action> actions;
  policy.step(100 * kSecond, std::vector<Event>{members({member(1)}), in}, actions);
  return actions;
}

TEST(Restart, ResumedMessagesKeepTheirClassesRules) {
  Settings s = basic_settings();
  s.classes.push_back(s.classes[0]);
  s.classes[2].effect = Effect::kKeyed;
  s.classes[2].key_window = 5 * kSecond;
  EXPECT_EQ(all_of<Send>(actions_after_resume(s, 0, 1, true, kSecond)).size(), 1u);
  EXPECT_EQ(all_of<Fail>(actions_after_resume(s, 1, 1, true, kSecond)).size(), 1u);
  EXPECT_EQ(all_of<Send>(actions_after_resume(s, 1, 1, false, 0)).size(), 1u);
  EXPECT_EQ(all_of<Send>(actions_after_resume(s, 2, 1, true, kSecond)).size(), 1u);
  EXPECT_EQ(all_of<Fail>(actions_after_resume(s, 2, 1, true, 6 * kSecond)).size(), 1u);  // and not refused
  // Attempts are counted on.
  EXPECT_EQ(all_of<Refuse>(actions_after_resume(s, 0, s.max_attempts, false, 0)).size(), 1u);
}

TEST(Restart, AttemptNumbersGoOn) {
  Relay relay(basic_settings());
  Arrival in = relay.message(1, 0);
  in.attempts = 2;
  const auto sends = all_of<Send>(relay.step(0, {members({member(1)}), in}));
  ASSERT_EQ(sends.size(), 1u);
  relay.step(kSecond, {ended(sends[0], 0, Outcome::kError)});  // not the number of its attempt: ignored
  EXPECT_TRUE(all_of<Send>(relay.run_idle(kSecond, 2 * kSecond)).empty());
  relay.step(2 * kSecond, {ended(sends[0], 2, Outcome::kOk)});
}

// Without the saved state a restarted relay would send all resumed messages at once to a destination that is
// down or in slow start.
TEST(Restart, OutagesAndRetryTokensAreSaved) {
  const Settings s = basic_settings();
  DestinationState last;
  Policy before(s, 1);
  std::vector<Action> actions;
  before.step(0, std::vector<Event>{members({member(1)})}, actions);
  Relay messages(s);
  for (int i = 0; i < 12; ++i) {
    const Time now = i * kSecond / 2;
    actions.clear();
    before.step(now, std::vector<Event>{messages.message(i + 1, now)}, actions);
    std::vector<Event> failed;
    for (const Send& send : all_of<Send>(actions)) failed.push_back(ended(send, 0, Outcome::kConnectFailed));
    before.step(now + 1000, failed, actions);
    for (const SaveDestinationState& saved : all_of<SaveDestinationState>(actions)) last = saved.state;
  }
  EXPECT_NE(last.outage_start, 0);
  const auto sends = [&](std::vector<Event> events) {
    Policy after(s, 2);
    events.insert(events.begin(), members({member(1)}));
    for (int i = 0; i < 4; ++i) events.push_back(messages.message(100 + i, 10 * kSecond));
    actions.clear();
    after.step(10 * kSecond, events, actions);
    return all_of<Send>(actions).size();
  };
  EXPECT_EQ(sends({}), 4u);
  EXPECT_LE(sends({last}), 1u);
}

// Guards against relays that keep the outages of whole destinations only.
TEST(Restart, OutagesOfIndependentEndpointsAreSaved) {
  const Settings s = basic_settings();
  constexpr int kIndependentKind = 1;
  const MembersChanged list = members({member(1, 1, kIndependentKind), member(2, 2, kIndependentKind)});
  Relay relay(s);
  std::vector<SaveDestinationState> saved;
  std::vector<Event> events = {list};
  uint64_t id = 0;
  for (Time now = 0; now < 6 * kSecond; now += kSecond / 2) {
    events.push_back(relay.message(++id, now));
    const auto actions = relay.step(now, events);
    events.clear();
    for (const Send& send : all_of<Send>(actions)) {
      AttemptEnded end = ended(send, 0, Outcome::kConnectFailed);
      end.final = true;
      events.push_back(end);
    }
    for (const SaveDestinationState& save : all_of<SaveDestinationState>(actions))
      if (save.state.endpoint != Endpoint{}) saved.push_back(save);
  }
  ASSERT_FALSE(saved.empty());
  EXPECT_NE(saved.back().state.outage_start, 0);
  EXPECT_EQ(saved.back().state.endpoint, member(1).endpoint);

  // A state whose endpoint is in no list any more is passed over.
  for (const bool listed : {true, false}) {
    Relay restarted(s);
    std::vector<Event> resumed = {listed ? list : members({member(2, 2, kIndependentKind)}),
                                  saved.back().state};
    for (int i = 0; i < 10; ++i) resumed.push_back(restarted.message(++id, 10 * kSecond));
    EXPECT_LE(all_of<Send>(restarted.step(10 * kSecond, resumed)).size(), listed ? 1u : 0u);
  }
}

// Guards against relays that are killed while calls hang and forget it: what they hold would be sent at once
// after the restart. A slow answer ends the suspected outage, and what was saved of it.
TEST(Restart, AnOutageSeenByOverdueCallsIsSaved) {
  Settings s = basic_settings();
  s.slots = 100;
  Relay relay(s);
  uint64_t id = 0;
  const Time start = warm_up(relay, id);
  std::vector<Send> sends;
  std::vector<SaveDestinationState> saved;
  for (Time now = start; now < start + 2 * kSecond; now += 100'000) {
    const auto actions = relay.step(now, {relay.message(++id, now)});
    for (const Send& send : all_of<Send>(actions)) sends.push_back(send);
    for (const SaveDestinationState& save : all_of<SaveDestinationState>(actions)) saved.push_back(save);
  }
  ASSERT_FALSE(saved.empty());
  EXPECT_GT(saved.back().state.failing_since, start);
  EXPECT_EQ(saved.back().state.outage_start, 0);  // other relays would be told

  const Time restart = start + 3 * kSecond;
  Relay restarted(s);
  std::vector<Event> events = {members({member(1)}), saved.back().state};
  for (int i = 0; i < 10; ++i) events.push_back(restarted.message(++id, restart));
  EXPECT_LE(all_of<Send>(restarted.step(restart, events)).size(), 1u);

  const auto slow = relay.step(restart, {ended(sends.at(0), 0, Outcome::kOk, restart - start)});
  ASSERT_FALSE(all_of<SaveDestinationState>(slow).empty());
  EXPECT_EQ(all_of<SaveDestinationState>(slow).back().state.failing_since, 0);
}

// Without the saved pacing rate all waiting messages would be sent in the first moment after a restart. In
// the fleet emulator two relays sent twelve calls this way to a destination that was in slow start.
TEST(Restart, ThePacingRateLearnedFromRefusalsIsSaved) {
  const Settings s = basic_settings();
  DestinationState last;
  Policy before(s, 1);
  std::vector<Action> actions;
  before.step(0, std::vector<Event>{members({member(1)})}, actions);
  Relay messages(s);
  for (int i = 0; i < 4; ++i) {
    const Time now = i * 3 * kSecond;
    actions.clear();
    before.step(now, std::vector<Event>{messages.message(i + 1, now)}, actions);
    std::vector<Event> refused;
    for (const Send& send : all_of<Send>(actions)) refused.push_back(ended(send, 0, Outcome::kRefused));
    before.step(now + 1000, refused, actions);
    for (const SaveDestinationState& saved : all_of<SaveDestinationState>(actions)) last = saved.state;
  }
  EXPECT_GT(last.pacing_rate, 0);
  last.outage_start = 0;  // only the pacing rate
  const auto sends = [&](std::vector<Event> events) {
    Policy after(s, 2);
    events.insert(events.begin(), members({member(1)}));
    for (int i = 0; i < 6; ++i) events.push_back(messages.message(100 + i, 20 * kSecond));
    actions.clear();
    after.step(20 * kSecond, events, actions);
    return all_of<Send>(actions).size();
  };
  EXPECT_EQ(sends({}), 6u);
  EXPECT_LE(sends({last}), 1u);
}

// Otherwise a relay that rarely calls and was refused before the restart would not call for a quarter of a
// minute.
TEST(Restart, TheSavedPacingRateIsAtLeastTheEvenShareOfTheListedLimit) {
  Settings s = basic_settings();
  s.weights = Weights::kNominal;
  s.relays = 4;
  Policy policy(s, 1);
  std::vector<Action> actions;
  Member one = member(1);
  one.weight = 4;
  std::vector<Event> events = {members({one}), DestinationState{1, 100, 0, 0, 0, 0.05}};
  Relay messages(s);
  for (int i = 1; i <= 6; ++i) events.push_back(messages.message(i, 0));
  policy.step(0, events, actions);
  size_t sent = 0;
  for (Time now = kSecond / 10; now <= 4 * kSecond; now += kSecond / 10) {
    std::vector<Event> served;
    for (const Send& send : all_of<Send>(actions)) served.push_back(ended(send, 0, Outcome::kOk));
    sent += served.size();
    EXPECT_LE(served.size(), 1u);
    actions.clear();
    policy.step(now, served, actions);
  }
  EXPECT_GE(sent, 3u);  // one a second
  EXPECT_LE(sent, 5u);
}

// The pacing rate changes with each served call: without rounding there would be a record for each message.
TEST(Restart, ThePacingRateIsSavedInSteps) {
  const Settings s = basic_settings();
  Policy policy(s, 1);
  std::vector<Action> actions;
  policy.step(0, std::vector<Event>{members({member(1)}), DestinationState{1, 100, 0, 0, 0, 0.5}}, actions);
  Relay messages(s);
  size_t served = 0;
  size_t records = 0;
  for (int i = 0; i < 1000; ++i) {
    const Time now = (i + 1) * kSecond / 10;
    std::vector<Event> events = {messages.message(i + 1, now)};
    for (const Send& send : all_of<Send>(actions)) events.push_back(ended(send, 0, Outcome::kOk));
    served += events.size() - 1;
    actions.clear();
    policy.step(now, events, actions);
    records += all_of<SaveDestinationState>(actions).size();
  }
  EXPECT_GT(served, 200u);
  EXPECT_LT(records, 30u);
}

TEST(Restart, SpentRetryTokensStaySpent) {
  const Settings s = basic_settings();
  Policy policy(s, 1);
  Arrival in;
  in.id = 1;
  in.destination = 1;
  in.due = 20 * kSecond;
  in.attempts = 1;
  std::vector<Action> actions;
  policy.step(0, std::vector<Event>{members({member(1)}), DestinationState{1, 0}, in}, actions);
  EXPECT_TRUE(all_of<Send>(actions).empty());
}

// A connection that is established late must not carry a retry of a keyed message past its key window.
TEST(Restart, AKeyedRepeatSaysWhenItMustHaveStarted) {
  Settings s = basic_settings();
  s.classes[0].effect = Effect::kKeyed;
  s.classes[0].key_window = 5 * kSecond;
  const auto sends = all_of<Send>(actions_after_resume(s, 0, 1, true, kSecond));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_LT(sends[0].start_by, 104 * kSecond);
}

TEST(Restart, NoCallStartsThatMayNotBeOverBeforeTheEnd) {
  Relay relay(basic_settings());
  relay.step(0, {members({member(1)}), ShutdownScheduled{4 * kSecond}});
  EXPECT_EQ(all_of<Send>(relay.step(kSecond, {relay.message(1, kSecond)})).size(), 1u);
  EXPECT_TRUE(all_of<Send>(relay.step(3'900'000, {relay.message(2, 3'900'000)})).empty());
}

// ---- Wrong use ----

TEST(WrongUse, Throws) {
  const Settings s = basic_settings();
  Policy policy(s, 1);
  std::vector<Action> actions;
  Arrival arrival;
  arrival.id = 3;
  arrival.due = 20 * kSecond;
  policy.step(kSecond, std::vector<Event>{arrival}, actions);
  EXPECT_THROW(policy.step(0, {}, actions), std::invalid_argument);
  EXPECT_THROW(policy.step(kSecond, std::vector<Event>{arrival}, actions), std::invalid_argument);
  arrival.id = 4;
  arrival.message_class = 9;
  EXPECT_THROW(policy.step(kSecond, std::vector<Event>{arrival}, actions), std::invalid_argument);
  EXPECT_THROW(Policy(Settings{}, 1), std::invalid_argument);
}

TEST(WrongUse, UnknownIdsAreIgnored) {
  Relay relay(basic_settings());
  relay.step(0, {members({member(1)}), Withdrawn{99}, TimerFired{5}, PeerMessage{1, "x"},
                 ended(Send{98, {1, 80}, 0}, 0, Outcome::kOk), ProbeEnded{{9, 9}, true, 0, {}}});
}

// ---- Removed hosts ----

// A removed host is erased only once no call to it is in flight: a late outcome still ends its message.
TEST(RemovedHosts, ALateOutcomeOfARemovedHostEndsItsMessage) {
  Relay relay(basic_settings());
  const auto sends = all_of<Send>(relay.step(0, {members({member(1)}), relay.message(7, 0)}));
  ASSERT_EQ(sends.size(), 1u);
  relay.step(10'000,
             {members({member(1, 1, 0, HostState::kRemoved), member(2)}, MembersChanged::Form::kDelta)});
  relay.step(20'000, {members({member(1, 1, 0, HostState::kRemoved)}, MembersChanged::Form::kDelta)});
  relay.step(100'000, {ended(sends[0], 0, Outcome::kOk)});
  EXPECT_EQ(relay.unanswered_count(), 0u);
  const auto next = all_of<Send>(relay.step(200'000, {relay.message(8, 200'000)}));
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].endpoint, (Endpoint{2, 80}));
}

// ---- Malformed answers ----

// Any host may send malformed answers: they rule out a retry of an unsafe message, and say nothing about the
// host.
TEST(MalformedAnswers, MayHaveBeenExecutedAndAreNoSignOfAnOutage) {
  Relay relay(basic_settings());
  relay.step(0, {members({member(1)})});
  Time now = 0;
  for (uint64_t id = 1; id <= 20; ++id) {
    const auto sends = all_of<Send>(relay.step(now, {relay.message(id, now, 1)}));
    ASSERT_EQ(sends.size(), 1u) << id;
    const auto after = relay.step(now + 100'000, {ended(sends[0], 0, Outcome::kMalformed)});
    EXPECT_EQ(all_of<Fail>(after).size(), 1u);
    EXPECT_TRUE(all_of<Log>(after).empty());
    now += kSecond;
  }
}

// The head of the answer asked for a wait, and its body was never received.
TEST(MalformedAnswers, TheirRequestedWaitIsKept) {
  Relay relay(basic_settings());
  const auto sends = all_of<Send>(relay.step(0, {members({member(1)}), relay.message(7, 0)}));
  ASSERT_EQ(sends.size(), 1u);
  relay.step(50'000, {ended(sends[0], 0, Outcome::kMalformed, 50'000, 5 * kSecond)});
  EXPECT_TRUE(all_of<Send>(relay.step(60'000, {relay.message(8, 60'000)})).empty());
  EXPECT_TRUE(all_of<Send>(relay.run_idle(100'000, 5 * kSecond)).empty());
  EXPECT_FALSE(all_of<Send>(relay.run_idle(5 * kSecond, 6 * kSecond)).empty());
}

// ---- Refusals ----

TEST(Refusals, CarryARetryAfterTime) {
  Settings s = basic_settings();
  s.max_retry_after = kSecond;
  Relay relay(s);
  const auto sends = all_of<Send>(relay.step(0, {members({member(1)}), relay.message(7, 0)}));
  ASSERT_EQ(sends.size(), 1u);
  relay.step(50'000, {ended(sends[0], 0, Outcome::kRefused, 50'000, 30 * kSecond)});
  const auto refused = all_of<Refuse>(relay.run_idle(100'000, 21 * kSecond));
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_GT(refused[0].retry_after, 0);
  EXPECT_LE(refused[0].retry_after, kSecond);
}

}  // namespace
}  // namespace firspool::testing

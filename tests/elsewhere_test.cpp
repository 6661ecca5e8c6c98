// How the policy uses what other relays know: who sends trial calls, and reported outages.
#include <gtest/gtest.h>

#include "relay.h"

namespace firspool::testing {
namespace {

// One relay of ten that has just detected an outage of its destination.
struct RelayInOutage {
  Settings s = [] {
    Settings out = basic_settings();
    out.relays = 10;
    return out;
  }();
  Relay relay{s};
  Time now = 0;
  uint64_t next_id = 1;
  std::map<uint64_t, int> attempts;
  std::vector<Event> events;  // for the next step

  RelayInOutage() {
    events = {members({member(1)})};
    bool out = false;
    for (; !out && now < 30 * kSecond; now += 50'000) {
      if (now % (kSecond / 2) == 0) events.push_back(relay.message(next_id++, now));
      for (const Action& action : step()) {
        const Log* log = std::get_if<Log>(&action);
        out = out || (log != nullptr && log->text.find("outage") != log->text.npos);
      }
    }
    EXPECT_TRUE(out);
  }
  // Runs one step in which each call fails at once; the outcomes are events of the next step.
  std::vector<Action> step() {
    const auto actions = relay.step(now, events);
    events.clear();
    for (const Send& send : all_of<Send>(actions)) {
      events.push_back(ended(send, attempts[send.id]++, Outcome::kConnectFailed));
    }
    return actions;
  }
  ~RelayInOutage() {  // ends the messages that are still held
    for (; relay.unanswered_count() > 0 && now < 200 * kSecond; now += kSecond / 2) step();
  }
  // Number of calls sent within this many seconds.
  int count_calls(int for_s) {
    size_t count = 0;
    for (const Time end = now + for_s * kSecond; now < end; now += 50'000) {
      if (now % (kSecond / 2) == 0) events.push_back(relay.message(next_id++, now));
      count += all_of<Send>(step()).size();
    }
    return static_cast<int>(count);
  }
};

TEST(OtherRelays, WhileAnotherRelaySendsTheTrialCallsThisOneSendsNothing) {
  RelayInOutage relay;
  relay.events.push_back(TrialAssignment{1, TrialAssignment::Duty::kOther});
  EXPECT_EQ(relay.count_calls(10), 0);
  relay.events.push_back(TrialAssignment{1, TrialAssignment::Duty::kShared});
  EXPECT_GT(relay.count_calls(10), 0);
}

TEST(OtherRelays, TheRelayWithTheDutySendsTheWholeFleetsMinimum) {
  RelayInOutage alone, owner;
  owner.events.push_back(TrialAssignment{1, TrialAssignment::Duty::kSelf});
  const int shared = alone.count_calls(10), all = owner.count_calls(10);
  EXPECT_GT(all, shared);
  EXPECT_LE(all, 17);  // 1.5 a second, and one saved token
}

TEST(OtherRelays, AnOutageEndsWhenAnotherRelaysTrialCallWasServed) {
  RelayInOutage relay;
  relay.events.push_back(TrialAssignment{1, TrialAssignment::Duty::kOther});
  EXPECT_EQ(relay.count_calls(3), 0);
  relay.events.push_back(PeerHealthReport{1, relay.now - 4 * kSecond, relay.now, 5});
  // The share of a relay that rarely calls a destination in slow start is small.
  EXPECT_GT(relay.count_calls(15), 0);
}

TEST(OtherRelays, ARecoveryFromBeforeThisOutageIsIgnored) {
  RelayInOutage relay;
  relay.events.push_back(TrialAssignment{1, TrialAssignment::Duty::kOther});
  relay.events.push_back(PeerHealthReport{1, 1, 2, 5});
  EXPECT_EQ(relay.count_calls(3), 0);
}

TEST(OtherRelays, AReportedOutageIsTakenOverOnlyByARelayThatWasServedNothingSince) {
  for (const bool served : {false, true}) {
    Settings s = basic_settings();
    s.relays = 10;
    Relay relay(s);
    relay.step(0, {members({member(1)})});
    Time now = 10 * kSecond;
    if (served) {
      const auto sends = all_of<Send>(relay.step(now, {relay.message(1, now)}));
      ASSERT_EQ(sends.size(), 1U);
      relay.step(now + 10'000, {ended(sends[0], 0, Outcome::kOk)});
    }
    now = 11 * kSecond;
    relay.step(now, {PeerHealthReport{1, 9 * kSecond, 0, 5}});
    std::vector<Event> some;
    for (uint64_t id = 10; id < 14; ++id) some.push_back(relay.message(id, now));
    EXPECT_EQ(all_of<Send>(relay.step(now, some)).size(), served ? 4U : 0U);
  }
}

}  // namespace
}  // namespace firspool::testing

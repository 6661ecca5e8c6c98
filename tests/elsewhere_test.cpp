// What the module does with the word of other relays: who scouts, and what they saw.
#include <gtest/gtest.h>

#include "relay.h"

namespace firspool::testing {
namespace {

struct RelayInOutage {  // a relay of ten whose destination has just gone out
  Settings s = [] {
    Settings out = basic_settings();
    out.relays = 10;
    return out;
  }();
  Relay relay{s};
  Time now = 0;
  uint64_t next_id = 1;
  std::map<uint64_t, int> attempts;
  std::vector<Event> events;  // of the next step

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
  // One step, in which each call fails at once: the next one's events.
  std::vector<Action> step() {
    const auto actions = relay.step(now, events);
    events.clear();
    for (const Send& send : all_of<Send>(actions)) {
      events.push_back(ended(send, attempts[send.id]++, Outcome::kConnectFailed));
    }
    return actions;
  }
  ~RelayInOutage() {  // what is still held gets its end
    for (; relay.unanswered_count() > 0 && now < 200 * kSecond; now += kSecond / 2) step();
  }
  // How many calls go out within so many seconds.
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
  RelayInOutage out;
  out.events.push_back(TrialAssignment{1, TrialAssignment::Duty::kOther});
  EXPECT_EQ(out.count_calls(10), 0);
  out.events.push_back(TrialAssignment{1, TrialAssignment::Duty::kShared});
  EXPECT_GT(out.count_calls(10), 0);
}

TEST(OtherRelays, TheRelayWithTheDutySendsTheWholeFleetsMinimum) {
  RelayInOutage alone, owner;
  owner.events.push_back(TrialAssignment{1, TrialAssignment::Duty::kSelf});
  const int shared = alone.count_calls(10), all = owner.count_calls(10);
  EXPECT_GT(all, shared);
  EXPECT_LE(all, 17);  // 1.5 a second, and what was saved up
}

TEST(OtherRelays, AnOutageEndsWhenAnotherRelaysTrialCallWasServed) {
  RelayInOutage out;
  out.events.push_back(TrialAssignment{1, TrialAssignment::Duty::kOther});
  EXPECT_EQ(out.count_calls(3), 0);
  out.events.push_back(PeerHealthReport{1, out.now - 4 * kSecond, out.now, 5});
  EXPECT_GT(out.count_calls(15), 0);  // a rare caller's part of a cold destination is small
}

TEST(OtherRelays, ARecoveryFromBeforeThisOutageIsIgnored) {
  RelayInOutage out;
  out.events.push_back(TrialAssignment{1, TrialAssignment::Duty::kOther});
  out.events.push_back(PeerHealthReport{1, 1, 2, 5});
  EXPECT_EQ(out.count_calls(3), 0);
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

// Effects of three hundred relays together on one destination. Each test runs the real policy.
#include "emulator/fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "rules_checker.h"

namespace umberhoist::emulator {
namespace {

// Ten destinations of one kind, each with one host that accepts few connections.
FleetModel small_tables(int relays, uint64_t seed) {
  FleetModel model;
  model.settings = typical_settings(relays);
  model.seed = seed;
  for (int i = 0; i < 10; ++i) {
    DestinationModel d;
    d.number = i;
    d.hosts = {{static_cast<uint32_t>(1 + i), 80}};
    d.service_time = 100'000;
    d.concurrency = 8;
    d.max_queued = 16;
    d.max_connections = 24;
    d.weight = 80;
    d.load = 45;
    model.destinations.push_back(d);
  }
  return model;
}

double ratio(int64_t some, int64_t all) { return static_cast<double>(some) / static_cast<double>(all); }

// Each message ended once, none was executed again where its class forbids it, and no call was sent to a host
// after its drain grace.
void expect_consistent(const DestinationCounts& t, uint64_t seed) {
  EXPECT_GT(t.offered, 0) << "seed " << seed;
  EXPECT_EQ(t.offered, t.delivered + t.refused + t.failed) << "seed " << seed;
  EXPECT_EQ(t.forbidden_repeats, 0) << "seed " << seed;
  EXPECT_EQ(t.calls_after_drain, 0) << "seed " << seed;
}

// Traffic shares of 300 relays: one in twenty gets five times the mean, and half get almost nothing.
std::vector<double> uneven_shares() {
  std::vector<double> shares;
  for (int i = 0; i < 300; ++i) shares.push_back(i % 20 == 0 ? 5.0 : i % 2 == 0 ? 0.05 : 1.5);
  return shares;
}

// Destinations with a rate limit and no connection limit.
FleetModel rate_limited(double rate, uint64_t seed) {
  FleetModel model = small_tables(300, seed);
  for (DestinationModel& d : model.destinations) {
    d.max_connections = 0;
    d.rate_limit = rate;
    d.retry_after_share = 0.5;
    d.retry_after = kSecond / 2;
  }
  return model;
}

// A host that accepts few connections, and three hundred relays that would each keep an idle one.
TEST(FleetConnections, IdleOnesOfAllRelaysDoNotFillASmallTable) {
  for (const uint64_t seed : {1, 2}) {
    const FleetModel model = small_tables(300, seed);
    FleetEmulator fleet(model);
    fleet.run();
    const DestinationCounts all = fleet.total();
    EXPECT_GT(ratio(all.in_time, all.offered), 0.95) << "seed " << seed;
    EXPECT_LT(ratio(all.connection_limit_refusals, all.calls), 0.25) << "seed " << seed;
  }
}

// For 5 s hosts with few connections get half as much traffic again: all relays open connections at once. The
// effect must not outlast the burst.
TEST(FleetConnections, ABurstOfHandshakesAtSmallTablesIsOverWhenItEnds) {
  for (const uint64_t seed : {1, 2}) {
    const FleetModel model = small_tables(300, seed);
    FleetEmulator fleet(model);
    DestinationCounts before;
    DestinationCounts during;
    for (const auto& [when, factor] : {std::pair(10 * kSecond, 1.5), std::pair(15 * kSecond, 1 / 1.5)}) {
      fleet.schedule(when, [&fleet, factor = factor] {
        for (int i = 0; i < 10; ++i) fleet.destination(i).load *= factor;
      });
    }
    fleet.schedule(10 * kSecond, [&] { before = fleet.total(); });
    fleet.schedule(18 * kSecond, [&] { during = fleet.total(); });
    fleet.run();
    const DestinationCounts all = fleet.total();
    expect_consistent(all, seed);
    EXPECT_GT(ratio(all.in_time, all.offered), 0.9) << "seed " << seed;
    EXPECT_GT(during.connection_limit_refusals - before.connection_limit_refusals, 0) << "seed " << seed;
    // Calls per message after the burst, compared with before it.
    EXPECT_LT(ratio(all.calls - during.calls, all.offered - during.offered),
              1.1 * ratio(before.calls, before.offered))
        << "seed " << seed;
  }
}

// The same hosts with three relays: the few idle connections do no harm and are kept.
TEST(FleetConnections, FewRelaysKeepTheirs) {
  const FleetModel model = small_tables(3, 1);
  FleetEmulator fleet(model);
  fleet.run();
  const DestinationCounts all = fleet.total();
  EXPECT_GT(ratio(all.in_time, all.offered), 0.95);
  EXPECT_LT(ratio(all.new_connections, all.calls), 0.2);
}

// A relay that rarely calls knows nothing of the two hosts: all relays together have to use both.
TEST(FleetChoice, RareCallersSpreadOverTheHostsOfADestination) {
  for (const uint64_t seed : {1, 2}) {
    FleetModel model;
    model.settings = typical_settings(300);
    model.seed = seed;
    DestinationModel d;
    d.number = 1;
    d.hosts = {{1, 80}, {2, 80}};
    d.concurrency = 1;
    d.max_queued = 2;
    d.weight = 20;
    d.load = 10;  // half of the capacity of both hosts
    model.destinations.push_back(d);
    FleetEmulator fleet(model);
    fleet.run();
    const DestinationCounts& t = fleet.counts(1);
    EXPECT_GT(ratio(t.in_time, t.offered), 0.9) << "seed " << seed;
    EXPECT_LT(ratio(t.other_refusals, t.calls), 0.1) << "seed " << seed;
  }
}

// The connection tables are full and the retry buckets empty: messages that cannot earn a token in time are
// refused while their clients can still use another relay, not held until the end of their lifetime.
TEST(FleetTokens, MessagesThatEarnNoTokenAreRefusedWhileTheirTimeLasts) {
  for (const uint64_t seed : {1, 2}) {
    FleetModel model = small_tables(300, seed);
    for (DestinationModel& d : model.destinations) {
      d.max_connections = 8;
      d.load = 90;
    }
    FleetEmulator fleet(model);
    fleet.run();
    const DestinationCounts all = fleet.total();
    EXPECT_GT(all.refused, 0) << "seed " << seed;
    EXPECT_LT(ratio(all.refused_late, all.refused), 0.2) << "seed " << seed;
  }
}

// Checks all events and actions of each relay's policy with a rules checker.
class RulesObserver {
 public:
  explicit RulesObserver(FleetModel& model) {
    model.on_step = [this, settings = model.settings](size_t relay, Time now, auto events, auto actions) {
      auto& checker = checkers_.try_emplace(relay, settings).first->second;
      checker.before(now, events);
      checker.after(now, actions);
    };
  }
  ~RulesObserver() {
    for (const auto& [relay, checker] : checkers_) {
      for (const std::string& violation : checker.violations())
        ADD_FAILURE() << "relay " << relay << ": " << violation;
    }
  }

 private:
  std::map<size_t, firspool::testing::RulesChecker> checkers_;
};

// One destination has an outage of 8 s and recovers with a slow start.
FleetModel outage(double load, uint64_t seed) {
  FleetModel model;
  model.settings = typical_settings(300);
  model.seed = seed;
  model.duration = 60 * kSecond;
  DestinationModel d;
  d.number = 1;
  d.hosts = {{1, 80}, {2, 80}};
  d.concurrency = std::max(1, static_cast<int>(load / 10));  // twice the load
  d.max_queued = 2 * d.concurrency;
  d.weight = 2 * load;
  d.load = load;
  d.down_from = 20 * kSecond;
  d.down_to = 28 * kSecond;
  model.destinations.push_back(d);
  return model;
}

// Each relay calls the destination about once a minute: trial calls, probes and retries of all relays
// together stay few, the destination is not overloaded, and all waiting messages end.
TEST(FleetOutage, ADestinationThatEachRelayCallsOnceAMinuteIsNotOverloaded) {
  for (const uint64_t seed : {1, 2, 3}) {
    const FleetModel model = outage(5, seed);
    FleetEmulator fleet(model);
    fleet.run();
    const DestinationCounts& t = fleet.counts(1);
    EXPECT_LT(t.max_slow_start_load, model.settings.overload_factor) << "seed " << seed;
    expect_consistent(t, seed);
    // 40 messages arrive during the outage, and each may be tried a few times before its relay detects the
    // outage.
    EXPECT_LT(t.connect_failures + t.probes, 40 * 6) << "seed " << seed;
    EXPECT_GT(ratio(t.delivered, t.offered), 0.8) << "seed " << seed;
  }
}

// Each relay calls the destination every few seconds: most of the load comes from relays that know of the
// outage.
TEST(FleetOutage, RelaysThatSawItFailKeepToTheOverloadBudgetTogether) {
  for (const uint64_t seed : {1, 2, 3}) {
    const FleetModel model = outage(100, seed);
    FleetEmulator fleet(model);
    fleet.run();
    const DestinationCounts& t = fleet.counts(1);
    EXPECT_GT(t.max_slow_start_load_informed, 0) << "seed " << seed;
    EXPECT_LT(t.max_slow_start_load_informed, model.settings.overload_factor) << "seed " << seed;
    expect_consistent(t, seed);
  }
}

// Loaded to its capacity before the outage, with very uneven traffic: refusals have slowed every relay down,
// and during the outage each sees only one or two failures. These relays send most of the load at the
// recovery.
TEST(FleetOutage, RareCallersThatSawItFailTwiceDoNotOverloadIt) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    FleetModel model = outage(20, seed);
    DestinationModel& d = model.destinations[0];
    d.concurrency = 1;
    d.max_queued = 2;
    d.weight = 24;
    model.traffic_shares = uneven_shares();
    FleetEmulator fleet(model);
    fleet.run();
    const DestinationCounts& t = fleet.counts(1);
    EXPECT_LT(t.max_slow_start_load_informed, model.settings.overload_factor) << "seed " << seed;
    expect_consistent(t, seed);
  }
}

// Seven in ten relays are killed at once and are all restarted within a second, with their saved state.
TEST(FleetRestart, ManyRelaysRestartedTogetherAreServed) {
  for (const uint64_t seed : {1, 2}) {
    FleetModel model = small_tables(300, seed);
    for (DestinationModel& d : model.destinations) d.max_connections = 0;
    FleetEmulator fleet(model);
    const auto kill_and_restart = [&](Time killed, size_t first, size_t count) {
      for (size_t i = 0; i < count; ++i) {
        const Time restart_at =
            killed + 600'000 + static_cast<Time>(kSecond * static_cast<Time>(i) / static_cast<Time>(count));
        fleet.schedule(killed, [&fleet, i, first, restart_at] { fleet.kill(first + i, restart_at); });
      }
    };
    kill_and_restart(12 * kSecond, 0, 210);
    kill_and_restart(25 * kSecond, 100, 90);
    fleet.run();
    const DestinationCounts all = fleet.total();
    expect_consistent(all, seed);
    EXPECT_GT(ratio(all.in_time, all.offered), 0.95) << "seed " << seed;
  }
}

// Uneven traffic: one relay in twenty gets five times the mean, many get almost nothing.
TEST(FleetShares, UnevenTrafficIsServedAsEvenIs) {
  for (const uint64_t seed : {1, 2}) {
    FleetModel model = rate_limited(50, seed);
    model.traffic_shares = uneven_shares();
    FleetEmulator fleet(model);
    fleet.run();
    const DestinationCounts all = fleet.total();
    EXPECT_GT(ratio(all.in_time, all.offered), 0.9) << "seed " << seed;
  }
}

// A destination lowers its limit under load: refusals and requested waits must not cause a storm of retries.
TEST(FleetLimits, ALoweredLimitIsUsedAndBringsNoStorm) {
  for (const uint64_t seed : {1, 2}) {
    FleetModel model = rate_limited(60, seed);
    const RulesObserver observer(model);  // each relay keeps requested waits
    FleetEmulator fleet(model);
    fleet.schedule(8 * kSecond, [&fleet] {
      for (int i = 0; i < 10; ++i) fleet.destination(i).rate_limit = 30;
    });
    fleet.run();
    const DestinationCounts all = fleet.total();
    // Its capacity: all messages for 8 s, then two thirds of them.
    EXPECT_GT(ratio(all.delivered, all.offered), 0.7) << "seed " << seed;
    EXPECT_LT(ratio(all.calls, all.offered), 1.4) << "seed " << seed;
  }
}

// Half of the destinations get unsafe messages, the others keyed ones.
FleetModel mixed(uint64_t seed) {
  FleetModel model = small_tables(300, seed);
  model.settings.classes.resize(2);
  model.settings.classes[1] = model.settings.classes[0];
  model.settings.classes[0].effect = firspool::Effect::kKeyed;
  model.settings.classes[0].key_window = 15 * kSecond;
  model.settings.classes[1].effect = firspool::Effect::kUnsafe;
  for (DestinationModel& d : model.destinations) {
    d.max_connections = 0;
    d.message_class = d.number % 2;
  }
  return model;
}

// For 6 s the hosts of three destinations are cut off and answers are lost; connections to others are reset
// during calls. Host lists arrive late: a host drains, and relays are notified within 5 s.
TEST(FleetSplit, AZoneCutOffWithLateListsRepeatsNothingForbidden) {
  for (const uint64_t seed : {1, 2}) {
    FleetModel model = mixed(seed);
    for (DestinationModel& d : model.destinations) {
      if (d.number < 3) {
        d.unresponsive_from = 10 * kSecond;
        d.unresponsive_to = 16 * kSecond;
      }
      if (d.number == 4 || d.number == 5) d.reset_share = 0.05;
      if (d.number == 6) d.hosts.push_back({77, 80});
    }
    const RulesObserver observer(model);
    FleetEmulator fleet(model);
    fleet.schedule(11 * kSecond, [&fleet] {
      firspool::Member host;
      host.endpoint = {77, 80};
      host.destination = 6;
      host.state = firspool::HostState::kDraining;
      fleet.update_members({host}, 5 * kSecond);
      host.state = firspool::HostState::kRemoved;
      fleet.schedule(20 * kSecond, [&fleet, host] { fleet.update_members({host}, 5 * kSecond); });
    });
    fleet.run();
    const DestinationCounts all = fleet.total();
    expect_consistent(all, seed);
    EXPECT_GT(all.failed, 0) << "seed " << seed;  // unsafe messages that may have been executed
    for (int i = 6; i < 10; ++i) {                // other destinations are not affected
      const DestinationCounts& t = fleet.counts(i);
      EXPECT_GT(ratio(t.in_time, t.offered), 0.97) << "seed " << seed;
    }
  }
}

// A tenth of the relays at a time is stopped, every second one killed without notice, while hosts are
// replaced.
TEST(FleetRoll, ARollingRestartWhileHostsAreReplacedLosesAndRepeatsNothing) {
  for (const uint64_t seed : {1, 2}) {
    FleetModel model = mixed(seed);
    model.duration = 40 * kSecond;
    FleetEmulator fleet(model);
    for (size_t i = 0; i < 300; ++i) {
      const Time start = 5 * kSecond + static_cast<Time>(i / 30) * 3 * kSecond;
      fleet.schedule(start, [&fleet, i, start] {
        if (i % 2 == 0) {
          fleet.kill(i, start + 600'000);
        } else {
          fleet.shut_down(i, start + 3700'000, start + 4300'000);
        }
      });
    }
    for (int n = 0; n < 10; ++n) {
      fleet.schedule(8 * kSecond + n * 2 * kSecond, [&fleet, n] {
        firspool::Member old;
        old.endpoint = {static_cast<uint32_t>(1 + n), 80};
        old.destination = n;
        old.weight = 80;
        firspool::Member next = old;
        next.endpoint.address += 100;
        fleet.destination(n).hosts.push_back(next.endpoint);
        old.state = firspool::HostState::kDraining;
        fleet.update_members({next, old}, kSecond);
      });
    }
    fleet.run();
    const DestinationCounts all = fleet.total();
    expect_consistent(all, seed);
    EXPECT_GT(ratio(all.in_time, all.offered), 0.95) << "seed " << seed;
  }
}

}  // namespace
}  // namespace umberhoist::emulator

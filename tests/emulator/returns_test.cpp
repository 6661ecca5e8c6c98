// What the model of a return plays, and what it tells of a pushed-over window.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "emulator/days.h"

namespace umberhoist::emulator {
namespace {

// Thirty times the load comes with the return: no relay can know, and all together push the destination over.
FleetModel pushed_over_model(uint64_t seed) {
  FleetModel model = random_return_model(40, seed, {.rare_calls = true});
  model.settings.may_probe = true;
  const DestinationModel& d = model.destinations.front();
  model.changes.push_back({d.down_to, &DestinationModel::load, 30 * d.load});
  return model;
}

TEST(OverloadWindow, IsEmptyWhereNoWindowWasOverTheTolerance) {
  FleetModel model = random_return_model(40, 1, {});
  model.settings.overload_factor = 100;
  FleetEmulator fleet(model);
  fleet.run();
  EXPECT_EQ(fleet.total().slow_start_violations_by_all, 0);
  EXPECT_TRUE(fleet.overload_window(1).calls.empty());
}

TEST(OverloadWindow, TellsWhatTheSenderOfEachCallHadLearned) {
  const FleetModel model = pushed_over_model(1);
  FleetEmulator fleet(model);
  fleet.run();
  ASSERT_EQ(fleet.total().slow_start_violations_by_all, 1);
  const OverloadWindow& window = fleet.overload_window(1);
  EXPECT_GT(static_cast<double>(window.calls.size()), window.budget);
  EXPECT_GE(window.begins, model.destinations.front().down_to);
  for (const ReceivedCall& call : window.calls) {
    EXPECT_GE(call.at, window.begins);
    EXPECT_LE(call.sent, call.at);
    EXPECT_LE(call.knowledge_age, call.at);
    EXPECT_FALSE(call.informed && call.knowledge == SenderKnowledge::kNone);
  }
}

// Guards against a model in which probes cost a cold destination nothing.
TEST(OverloadWindow, CountsProbes) {
  int probes = 0;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    FleetEmulator fleet(pushed_over_model(seed));
    fleet.run();
    for (const ReceivedCall& call : fleet.overload_window(1).calls) probes += call.is_probe;
  }
  EXPECT_GT(probes, 0);
}

// Messages of one step of the fleet, at most.
int largest_burst(FleetModel model) {
  std::map<Time, int> arrivals;
  model.on_step = [&](size_t, Time now, std::span<const firspool::Event> events, auto) {
    for (const firspool::Event& event : events)
      arrivals[now] += std::holds_alternative<firspool::Arrival>(event);
  };
  FleetEmulator fleet(model);
  fleet.run();
  int largest = 0;
  for (const auto& [at, count] : arrivals) largest = std::max(largest, count);
  return largest;
}

TEST(Clumps, BringTheirMessagesInOneMomentAndLeaveTheLoadAsItIs) {
  FleetModel model = random_return_model(40, 3, {});
  DestinationModel& d = model.destinations.front();
  d.load = d.weight = 20;
  EXPECT_EQ(largest_burst(model), 1);
  d.clump_share = 0.25;
  d.clump_seconds = 2;
  EXPECT_EQ(largest_burst(model), 40);
  int64_t offered = 0;
  for (model.seed = 1; model.seed <= 20; ++model.seed) {
    FleetEmulator fleet(model);
    fleet.run();
    offered += fleet.total().offered;
  }
  const double expected = 20 * d.load * static_cast<double>(model.duration) / 1e6;
  EXPECT_NEAR(static_cast<double>(offered), expected, 0.05 * expected);
}

TEST(MostCallsFail, ServesTheOthersAndInformsWhoSawOneFail) {
  FleetModel model = random_return_model(3, 5, {.outage_kind = OutageKind::kMostCallsFail});
  model.destinations.front().outage_failing_share = 0.6;
  int errors = 0;
  int served = 0;
  const DestinationModel& d = model.destinations.front();
  model.on_step = [&](size_t, Time now, std::span<const firspool::Event> events, auto) {
    if (now < d.down_from + kSecond || now >= d.down_to) return;
    for (const firspool::Event& event : events) {
      const auto* end = std::get_if<firspool::AttemptEnded>(&event);
      if (end == nullptr) continue;
      errors += end->outcome == firspool::Outcome::kError;
      served += end->outcome == firspool::Outcome::kOk;
    }
  };
  FleetEmulator fleet(model);
  fleet.run();
  EXPECT_GT(errors, 0);
  EXPECT_GT(served, 0);
}

}  // namespace
}  // namespace umberhoist::emulator

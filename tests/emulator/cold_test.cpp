// What a returning destination is sent by all relays together, held against the budget that the settings
// allow.
#include <gtest/gtest.h>

#include <cstdlib>

#include "emulator/days.h"

namespace umberhoist::emulator {
namespace {

// How many plays of each size: UMBERHOIST_SEEDS=1000 ctest -R ColdBudget plays as many as scripts/soak does.
uint64_t run_count() {
  const char* wanted = std::getenv("UMBERHOIST_SEEDS");
  return wanted == nullptr ? 60 : std::stoull(wanted);
}

class ColdBudget : public ::testing::TestWithParam<int> {};

// Each relay has a bucket of its own, was told of the outage or not, and learns of the return at another
// time; some are killed and come back around it with their folders. What comes over N and twice the root of N
// and two is no chance any more, and counts where those sent two thirds of it that had seen it fail.
TEST_P(ColdBudget, IsKeptByTheRelaysThatSawItFailTogether) {
  DestinationCounts all;
  for (uint64_t seed = 1; seed <= run_count(); ++seed) {
    FleetEmulator fleet(random_outage_model(GetParam(), seed));
    fleet.run();
    const DestinationCounts t = fleet.total();
    EXPECT_EQ(t.overloads_informed, 0)
        << "seed " << seed << ": " << t.max_overload_excess << " roots over the budget";
    EXPECT_EQ(t.offered, t.delivered + t.refused + t.failed) << "seed " << seed;
    all += t;
  }
  EXPECT_GT(all.connect_failures, 0);
  RecordProperty("falls", static_cast<int>(all.overloads));
}

DestinationCounts run_scenario(int relays, uint64_t seed) {
  FleetEmulator fleet(random_outage_model(relays, seed));
  fleet.run();
  return fleet.total();
}

// Of 3,000 days those on which the budget was passed before. Twelve scouts came in 2.3 s, of relays that each
// sent their even part of 1.5 a second, where N for that time was 4.0.
TEST(ColdBudgetOf, AFleetsTrialCallsIsKeptWhereTheDestinationIsSmall) {
  EXPECT_EQ(run_scenario(20, 345).overloads_informed, 0);
}

// Two relays that were killed with six messages each, which their pace had held back, sent all at once. The
// second day fell too, and does not with the pace kept alone.
TEST(ColdBudgetOf, RestartedRelaysWithMessagesHeldByPacingIsKept) {
  EXPECT_EQ(run_scenario(20, 483).overloads_informed, 0);
  EXPECT_EQ(run_scenario(30, 268).overloads_informed, 0);
}

INSTANTIATE_TEST_SUITE_P(Relays, ColdBudget, ::testing::Values(3, 20, 30),
                         [](const auto& parameter) { return std::to_string(parameter.param); });

}  // namespace
}  // namespace umberhoist::emulator

// Unit tests of reading scenarios and of the plans drawn from them.
#include "rehearsal/plan.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace umberhoist::rehearsal {
namespace {

const std::string kMinimalScenario = R"toml(seconds = 20
[load]
rate = 100
[[kind]]
name = "std"
[[class]]
name = "a"
effect = "safe"
)toml";

std::string error_of(const std::string& text, const std::vector<std::string>& sets = {}) {
  try {
    parse_scenario(text, "s.toml", sets);
  } catch (const ScenarioError& error) {
    return error.what();
  }
  return "";
}

TEST(Scenario, ShippedOnesAreReadAndPlanned) {
  std::set<std::string> names;
  for (const BundledScenario& shipped : bundled_scenarios()) {
    const Scenario s = load_scenario(shipped.name, {});
    EXPECT_EQ(s.name, shipped.name);
    EXPECT_FALSE(shipped.title.empty()) << shipped.name;
    EXPECT_FALSE(make_plan(s, s.seed).arrivals.empty());
    names.insert(shipped.name);
  }
  for (const char* name : {"calm", "payday-tuesday", "payday-wednesday", "cold-return", "rolling-restart",
                           "lost-machine", "ten-times"}) {
    EXPECT_TRUE(names.contains(name)) << name;
  }
}

TEST(Scenario, SaysWhereAndWhatWasExpected) {
  struct Case {
    std::string text;
    std::string expected;  // how the error begins
  };
  for (const auto& [text, expected] : std::vector<Case>{
           {"seconds = \"x\"\n" + kMinimalScenario.substr(13),
            "s.toml:1:11: 'seconds' of the scenario: expected a number"},
           {kMinimalScenario + "shares = 2\n", "s.toml:9:1: [class] knows no 'shares'"},
           {kMinimalScenario + "give_up_s = -1\n", "s.toml:9:13: 'give_up_s' of [class]: expected a number"},
           {kMinimalScenario + "kinds = [\"none\"]\n",
            "s.toml:9:9: 'kinds' of [class]: expected names of [[kind]]"},
           {kMinimalScenario + "[[event]]\nat_s = 1\ndo = \"explode\"\n",
            "s.toml:11:6: 'do' of [event]: expected one of blackout"},
           {kMinimalScenario + "[[event]]\nat_s = 1\ndo = \"silent\"\nfor_s = 2\n",
            "s.toml:9:1: [event] 'silent' says nobody"},
           {kMinimalScenario + "[[event]]\nat_s = 1\ndo = \"fail\"\nfor_s = 2\nlargest = 1\n",
            "s.toml:9:1: [event] 'fail': expected amount"},
           {kMinimalScenario + "[[event]]\ndo = \"kill\"\n", "s.toml:9:1: [event] has no 'at_s'"},
           {kMinimalScenario + "[load\n", "s.toml:9:"},
           {"seconds = 20\n", "s.toml:1:1: the scenario has no 'kind'"}}) {
    EXPECT_TRUE(error_of(text).starts_with(expected)) << error_of(text) << "\nnot " << expected;
  }
}

TEST(Scenario, ASetReplacesOneValueAndIsCheckedLikeIt) {
  EXPECT_EQ(parse_scenario(kMinimalScenario, "s.toml", {"load.rate=250", "relays.count=3"}).load.rate, 250);
  EXPECT_NE(error_of(kMinimalScenario, {"load.rate=-1"}), "");
  EXPECT_NE(error_of(kMinimalScenario, {"load.rat=1"}), "");
  EXPECT_NE(error_of(kMinimalScenario, {"rate"}), "");
  EXPECT_NE(error_of(kMinimalScenario, {"seconds.x=1"}), "");
}

TEST(Plan, OneSeedGivesTheSameRunEachTimeAndAnotherSeedAnother) {
  for (const BundledScenario& shipped : bundled_scenarios()) {
    const Scenario s = load_scenario(shipped.name, {});
    EXPECT_EQ(make_plan(s, 5).digest, make_plan(s, 5).digest) << shipped.name;
    EXPECT_NE(make_plan(s, 5).digest, make_plan(s, 6).digest) << shipped.name;
  }
}

TEST(Plan, ArrivalsKeepTheRateTheMixAndTheKinds) {
  const Scenario s = load_scenario("calm", {"seconds=300"});
  const Plan plan = make_plan(s, 3);
  EXPECT_NEAR(static_cast<double>(plan.arrivals.size()), s.load.rate * 300, s.load.rate * 30);
  EXPECT_TRUE(std::is_sorted(plan.arrivals.begin(), plan.arrivals.end(),
                             [](const auto& a, const auto& b) { return a.at < b.at; }));
  size_t payments = 0;
  for (const ArrivalPlan& a : plan.arrivals) {
    payments += a.message_class == 1;
    if (a.message_class == 1) {
      ASSERT_EQ(s.kinds[plan.partners[a.partner].kind].name, "major");
    }
    ASSERT_LE(a.body_bytes, 65'536u);
  }
  EXPECT_NEAR(static_cast<double>(payments) / static_cast<double>(plan.arrivals.size()), 0.3, 0.03);
}

TEST(Plan, TargetsAreThoseOfTheKindTheNameTheSizeOrTheShare) {
  const std::string events = R"toml(
[[event]]
at_s = 1
for_s = 1
do = "silent"
kind = "merchant"
[[event]]
at_s = 2
for_s = 1
do = "hang"
largest = 2
[[event]]
at_s = 3
for_s = 1
do = "shut"
partner = "p5"
[[event]]
at_s = 4
for_s = 1
do = "refuse"
share = 0.2
)toml";
  std::string text;
  for (const BundledScenario& shipped : bundled_scenarios()) {
    if (shipped.name == "calm") text = shipped.text + events;
  }
  const Scenario s = parse_scenario(text, "s.toml", {});
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    const Plan plan = make_plan(s, seed);
    ASSERT_EQ(plan.events.size(), 4u);
    for (const PartnerPlan& p : plan.partners) {
      const bool hit =
          std::count(plan.events[0].partners.begin(), plan.events[0].partners.end(), p.number) == 1;
      EXPECT_EQ(hit, s.kinds[p.kind].name == "merchant");
    }
    EXPECT_EQ(plan.events[1].partners.size(), 2u);
    EXPECT_EQ(plan.events[2].partners, std::vector<int>{5});
    double share = 0;
    for (const int p : plan.events[3].partners) share += plan.partners[p].traffic;
    EXPECT_GT(share, 0);
    EXPECT_TRUE(share <= 0.2 + 1e-9 || plan.events[3].partners.size() == 1) << share;
  }
}

TEST(Plan, RollingIsOneRestartForEachRelayInTurn) {
  const Scenario s = load_scenario("rolling-restart", {});
  const Plan plan = make_plan(s, 1);
  std::vector<int> order;
  for (const EventPlan& e : plan.events) {
    if (e.action == Action::kTerminate) order.push_back(e.relay);
  }
  EXPECT_EQ(order, (std::vector<int>{0, 1, 2}));
}

TEST(Plan, AClassWithNobodyToGoToIsAnError) {
  const std::string text = R"toml(
[partners]
count = 1
[[kind]]
name = "one"
[[kind]]
name = "two"
[[class]]
name = "a"
effect = "safe"
kinds = ["two"]
)toml";
  const Scenario s = parse_scenario(text, "s.toml", {});
  EXPECT_THROW(make_plan(s, 1), ScenarioError);
}

}  // namespace
}  // namespace umberhoist::rehearsal

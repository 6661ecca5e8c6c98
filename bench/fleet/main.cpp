// Benchmark of the effect of the fleet's size on service: the same destinations and messages through few
// relays and through many, side by side in one run, with a lower and an upper bound. Prints ratios and counts
// only, which are reproducible by seed.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "emulator/days.h"

namespace {

using namespace umberhoist::emulator;

constexpr Time kBinWidth = kSecond / 4;

// Seconds from a drop of the limit until all relays together send at most 10% more than it.
double seconds_to_settle(const std::map<Time, int64_t>& sends, const DayScenario& day, Time until,
                         size_t destinations) {
  const double max_sends_per_bin =
      1.1 * day.limit_after_change * static_cast<double>(destinations) * static_cast<double>(kBinWidth) / 1e6;
  for (Time bin = day.limit_change_at / kBinWidth; bin < until / kBinWidth; ++bin) {
    double sum = 0;
    for (Time i = bin; i < bin + 4; ++i) sum += sends.contains(i) ? static_cast<double>(sends.at(i)) : 0;
    if (sum <= 4 * max_sends_per_bin) return static_cast<double>(bin * kBinWidth - day.limit_change_at) / 1e6;
  }
  return static_cast<double>(until - day.limit_change_at) / 1e6;
}

void run_day(const DayScenario& day, int relays, int seeds) {
  DestinationCounts counts;
  ScoreBounds bounds;
  double settle_seconds = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    FleetModel model = day_model(day.name, relays, static_cast<uint64_t>(seed));
    const ScoreBounds seed_bounds = score_bounds(model);
    bounds.upper += seed_bounds.upper / seeds;
    bounds.lower += seed_bounds.lower / seeds;
    std::map<Time, int64_t> sends;
    model.on_step = [&sends](size_t, Time now, auto, std::span<const firspool::Action> actions) {
      for (const auto& action : actions)
        sends[now / kBinWidth] += std::holds_alternative<firspool::Send>(action);
    };
    const size_t destinations = model.destinations.size();
    const Time until = model.changes.empty() ? model.duration : model.changes.back().at;
    FleetEmulator fleet(std::move(model));
    fleet.run();
    counts += fleet.total();
    if (day.limit_change_at > 0) settle_seconds += seconds_to_settle(sends, day, until, destinations) / seeds;
  }
  const auto ratio = [&](int64_t count, int64_t of) {
    return static_cast<double>(count) / static_cast<double>(std::max<int64_t>(1, of));
  };
  std::printf("%-25s %6d  %7.3f  %5.3f %5.3f  %9.3f  %7.3f  %7.3f  %9.3f  %6.2f  %6.2f", day.name.c_str(),
              relays, ratio(counts.in_time, counts.offered), bounds.lower, bounds.upper,
              ratio(counts.delivered, counts.offered), ratio(counts.new_connections, counts.offered),
              ratio(counts.connection_limit_refusals, counts.delivered),
              ratio(counts.other_refusals, counts.delivered), counts.max_slow_start_load,
              counts.max_slow_start_load_informed);
  day.limit_change_at > 0 ? std::printf("  %6.2f\n", settle_seconds) : std::printf("\n");
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("What a fleet's size does to service, on a made-up clock");
  int few = 3;
  int many = 300;
  int seeds = 3;
  std::vector<std::string> names;
  app.add_option("--few", few, "relays of the small fleet")->check(CLI::Range(1, 100000));
  app.add_option("--many", many, "relays of the large fleet")->check(CLI::Range(1, 100000));
  app.add_option("--seeds", seeds, "plays of each")->check(CLI::Range(1, 1000));
  app.add_option("--day", names, "these days alone");
  try {
    app.parse(argc, argv);
    for (const std::string& name : names) day_model(name, few, 1);
  } catch (const CLI::Success& help) {
    return app.exit(help);
  } catch (const std::exception& error) {  // also for command-line errors: one line
    std::fprintf(stderr, "fleet-bench: %s\n", error.what());
    return 2;
  }
  std::printf("%-25s %6s  %7s  %5s %5s  %9s  %7s  %7s  %9s  %6s  %6s  %6s\n", "a message:", "relays",
              "in time", "floor", "top", "delivered", "fresh", "crowded", "refused", "cold", "knew",
              "settle");
  for (const DayScenario& day : day_scenarios()) {
    if (!names.empty() && std::find(names.begin(), names.end(), day.name) == names.end()) continue;
    run_day(day, few, seeds);
    run_day(day, many, seeds);
  }
  std::printf(
      "floor, top: the share in time where each is tried once, and where the true state is seen at once;\n"
      "crowded, refused: calls at a full table, and at a limit or a full queue, for each delivered message;\n"
      "cold: the most that a returning destination was sent, in parts of what it could do in that time;\n"
      "knew: the same where relays that saw it fail sent two thirds of it (over 2 breaks rule four);\n"
      "settle: seconds from a limit's fall until all relays together send at most a tenth above it\n");
  return 0;
}

// What a fleet's size does to service: the same destinations and the same messages, once through few relays
// and once through many, side by side in one run. Ratios and counts only; a seed replays them.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "emulator/fleet.h"

namespace {

using namespace umberhoist::emulator;

struct Case {
  std::string name;
  void (*shape)(DestinationModel&);
};

// Ten destinations, each of which can serve 80 calls a second and is asked for 45.
FleetModel model_of(const Case& shape, int relays, uint64_t seed) {
  FleetModel model;
  model.settings = usual_settings(relays);
  model.seed = seed;
  model.length = 40 * kSecond;
  for (int i = 0; i < 10; ++i) {
    DestinationModel d;
    d.number = i;
    d.hosts = {{static_cast<uint32_t>(1 + 2 * i), 80}, {static_cast<uint32_t>(2 + 2 * i), 80}};
    d.places = 4;
    d.queue = 8;
    d.weight = 80;
    d.load = 45;
    shape.shape(d);
    model.destinations.push_back(d);
  }
  return model;
}

const std::vector<Case> kCases = {
    {"healthy", [](DestinationModel&) {}},
    {"small tables", [](DestinationModel& d) { d.connections = 12; }},
    {"at its capacity", [](DestinationModel& d) { d.load = 78; }},
    {"over its limit",
     [](DestinationModel& d) {
       d.rate = 30;
       d.told_share = 0.5;
       d.wait = kSecond / 2;
     }},
    {"out for 8 s, cold",
     [](DestinationModel& d) {
       d.down_from = 10 * kSecond;
       d.down_to = 18 * kSecond;
     }},
    {"loaded, out, cold",
     [](DestinationModel& d) {
       d.load = 70;
       d.down_from = 10 * kSecond;
       d.down_to = 16 * kSecond;
     }},
};

void play(const Case& shape, int relays, int seeds) {
  Tally all;
  for (int seed = 1; seed <= seeds; ++seed) {
    Fleet fleet(model_of(shape, relays, static_cast<uint64_t>(seed)));
    fleet.run();
    all += fleet.total();
  }
  const auto part = [&](int64_t count) {
    return static_cast<double>(count) / static_cast<double>(std::max<int64_t>(1, all.offered));
  };
  std::printf("%-18s %6d  %8.3f  %9.3f  %7.3f  %7.3f  %7.3f  %6.3f  %6.2f  %6.2f\n", shape.name.c_str(),
              relays, part(all.in_time), part(all.delivered), part(all.calls), part(all.fresh),
              part(all.crowded), part(all.full), all.worst_cold, all.worst_knowing);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("What a fleet's size does to service, on a made-up clock");
  int few = 3;
  int many = 300;
  int seeds = 3;
  app.add_option("--few", few, "relays of the small fleet")->check(CLI::Range(1, 100000));
  app.add_option("--many", many, "relays of the large fleet")->check(CLI::Range(1, 100000));
  app.add_option("--seeds", seeds, "plays of each")->check(CLI::Range(1, 1000));
  CLI11_PARSE(app, argc, argv);
  std::printf("%-18s %6s  %8s  %9s  %7s  %7s  %7s  %6s  %6s  %6s\n", "a message:", "relays", "in time",
              "delivered", "calls", "fresh", "crowded", "full", "cold", "knew");
  for (const Case& shape : kCases) {
    play(shape, few, seeds);
    play(shape, many, seeds);
  }
  std::printf(
      "cold: the most that a returning destination was sent, in parts of what it could do in that time;\n"
      "knew: the same where relays that saw it fail sent two thirds of it (over 2 breaks rule four)\n");
  return 0;
}

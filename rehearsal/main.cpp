// umberhoist-rehearse: runs a scenario against the real daemon on this machine and checks the observed
// behaviour.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <filesystem>

#include "rehearsal/report.h"

namespace {

using namespace umberhoist::rehearsal;

constexpr int kUsageError = 2;

std::filesystem::path executable_folder() {
  std::error_code error;
  const auto self = std::filesystem::read_symlink("/proc/self/exe", error);
  return error ? std::filesystem::path(".") : self.parent_path();
}

int run(const std::string& name, const std::vector<std::string>& sets, RunOptions options, bool seed_given,
        bool temporary) {
  const Scenario scenario = load_scenario(name, sets);
  if (!seed_given) options.seed = scenario.seed;
  make_plan(scenario, options.seed);  // reports an unplayable scenario before starting anything
  if (::access(options.relay.c_str(), X_OK) != 0) {
    throw ScenarioError("--relay " + options.relay +
                        ": expected the program umberhoist, built and executable");
  }
  const RunReport result = run_rehearsal(scenario, options);
  std::fputs(summary(scenario, options, result).c_str(), stdout);
  if (temporary && result.verdict == RunVerdict::kPassed) {
    std::error_code ignored;
    std::filesystem::remove_all(options.folder, ignored);
  } else {
    write_report(scenario, options, result);
    std::printf("report: %s\n", (options.folder / "report.html").c_str());
  }
  return static_cast<int>(result.verdict);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "Rehearses a day against umberhoist: stand-ins on loopback, a script of troubles, and a judge."};
  app.require_subcommand(1);
  std::string scenario, report;
  std::vector<std::string> sets;
  RunOptions options;
  options.relay = executable_folder() / "umberhoist";
  bool quiet = false;
  CLI::App* play = app.add_subcommand("run", "play a scenario: a file, or the name of one that ships");
  play->add_option("scenario", scenario)->required();
  play->add_option("--relay", options.relay, "the daemon; by default the one beside this program");
  CLI::Option* seed = play->add_option("--seed", options.seed, "in place of the scenario's");
  play->add_option("--set", sets, "key=value, in place of the scenario's; may be given again")
      ->allow_extra_args(false);
  play->add_option("--report", report, "a folder for report.json, report.html and the relays' logs");
  play->add_flag("--quiet", quiet, "no progress line");
  CLI::App* check = app.add_subcommand("check", "read a scenario and explain it; starts nothing");
  check->add_option("scenario", scenario)->required();
  check->add_option("--set", sets)->allow_extra_args(false);
  CLI::App* list = app.add_subcommand("list", "the scenarios that ship");
  CLI::App* show = app.add_subcommand("show", "print a scenario that ships, to start one's own from");
  show->add_option("scenario", scenario)->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kUsageError;
  }
  try {
    if (list->parsed()) {
      for (const BundledScenario& s : bundled_scenarios())
        std::printf("%-18s %s\n", s.name.c_str(), s.title.c_str());
      return 0;
    }
    if (show->parsed()) {
      for (const BundledScenario& s : bundled_scenarios()) {
        if (s.name == scenario) return std::fputs(s.text.c_str(), stdout) < 0;
      }
      throw ScenarioError(scenario + ": expected the name of a scenario that ships; see 'list'");
    }
    if (check->parsed()) {
      const Scenario read = load_scenario(scenario, sets);
      const Plan plan = make_plan(read, read.seed);
      std::printf("%s%zu arrivals, %d calls out and %d messages held at most by each relay, digest %s\n",
                  describe(read).c_str(), plan.arrivals.size(), plan.slots, plan.max_open,
                  umberhoist::hex(plan.digest).c_str());
      return 0;
    }
    options.progress = !quiet && ::isatty(2) == 1;
    std::string pattern = std::filesystem::temp_directory_path() / "umberhoist-rehearsal-XXXXXX";
    if (report.empty() && ::mkdtemp(pattern.data()) == nullptr)
      throw std::runtime_error("cannot make a folder at " + pattern);
    options.folder = report.empty() ? pattern : report;
    return run(scenario, sets, options, seed->count() > 0, report.empty());
  } catch (const ScenarioError& error) {
    std::fprintf(stderr, "umberhoist-rehearse: %s\n", error.what());
    return kUsageError;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "umberhoist-rehearse: %s\n", error.what());
    return 1;
  }
}

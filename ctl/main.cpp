// The command line of umberhoistctl.
#include <CLI/CLI.hpp>
#include <iostream>

#include "ctl/journal.h"
#ifdef UMBERHOIST_FLEET
#include "ctl/fleet_verbs.h"
#endif

int main(int argc, char** argv) {
  using namespace umberhoist::ctl;
  CLI::App app{
      "Looks at what a relay keeps, and at what a fleet agrees on. Only propose, declare, except and "
      "restore change anything."};
  app.require_subcommand(1);
  auto* journal = app.add_subcommand("journal", "the state folder");
  journal->require_subcommand(1);
  std::string folder;
  bool as_json = false;
  auto* check =
      journal->add_subcommand("check", "is it whole? Exit status 0: yes, 1: no, 2: it cannot be read");
  check->add_option("folder", folder, "the state folder")->required();
  check->add_flag("--json", as_json, "one JSON object in place of lines");
  DumpOptions dump_options;
  auto* dump =
      journal->add_subcommand("dump", "its records, one JSON object a line, in the order of reading");
  dump->add_option("folder", dump_options.folder, "the state folder")->required();
  dump->add_flag("--live", dump_options.live, "only messages that are alive, as a start would resume them");
  dump->add_flag("--bodies", dump_options.bodies, "with their bodies, in hexadecimal");
  dump->add_option("--segment", dump_options.segment, "only this segment's records, by number");
  dump->add_option("--id", dump_options.id, "only this message's");
#ifdef UMBERHOIST_FLEET
  FleetCommands fleet(app);
#endif
  app.footer(
      "Examples:\n  umberhoistctl journal check /run/state\n  umberhoistctl journal dump --live /run/state");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
#ifdef UMBERHOIST_FLEET
  if (const auto status = fleet.run(std::cout, std::cerr)) return *status;
#endif
  return check->parsed() ? check_journal(folder, as_json, std::cout, std::cerr)
                         : dump_journal(dump_options, std::cout, std::cerr);
}

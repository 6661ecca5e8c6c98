#include "ctl/fleet_verbs.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iterator>
#include <sstream>

#include "config.h"
#include "ctl/fleet.h"
#include "freeze/calendar.h"
#include "register/machine.h"
#include "shards/validate.h"

namespace umberhoist::ctl {
namespace {

using register_pb::Ask;

std::optional<std::string> read_file(const std::string& path, std::ostream& err) {
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    err << path << ": cannot be read\n";
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(in), {});
}

template <class Errors>
int print_errors(const std::string& file, const Errors& errors, std::ostream& err) {
  for (const auto& error : errors) {
    err << file;
    if (error.line > 0) err << ":" << error.line;
    err << ": " << error.message << "\n";
  }
  return 2;
}

}  // namespace

struct FleetCommands::Arguments {
  CLI::App *map_check, *map_plan, *map_propose, *freeze_check, *freeze_declare, *freeze_list, *freeze_except,
      *status, *restore;
  std::string file, current_map_file, relay_address, time, change, approver, survivor, map_file,
      calendar_file, configuration_file;
  std::vector<std::string> members;
  std::optional<int64_t> destination;
  uint32_t minutes = 0;

  int send_and_print(Ask request, std::ostream& out, std::ostream& err) const {
    const FleetReply reply = send_request(relay_address, std::move(request));
    if (!reply.received) {
      err << reply.text << "\n";
      return 2;
    }
    (reply.succeeded ? out : err) << reply.text << (reply.text.ends_with('\n') ? "" : "\n");
    return reply.succeeded ? 0 : 1;
  }

  // Reads and parses a map file. On failure prints the errors and returns nothing.
  std::optional<shards::Map> read_map(const std::string& path, std::ostream& err) const {
    const auto text = read_file(path, err);
    if (!text) return std::nullopt;
    const auto parsed = shards::parse_map(*text);
    if (const auto* errors = std::get_if<std::vector<shards::ValidationError>>(&parsed)) {
      print_errors(path, *errors, err);
      return std::nullopt;
    }
    return std::get<shards::Map>(parsed);
  }

  int check_map(std::ostream& out, std::ostream& err) const {
    const auto proposed = read_map(file, err);
    if (!proposed) return 2;
    shards::ValidationContext context;
    std::optional<shards::Map> current;
    if (!current_map_file.empty()) {
      current = read_map(current_map_file, err);
      if (!current) return 2;
      context.current = &*current;
    }
    std::vector<shards::Member> known_members;
    for (const std::string& name : members) known_members.push_back({name, 1, "", true, false, true});
    if (!known_members.empty()) context.members = &known_members;
    const auto errors = shards::validate(*proposed, context);
    if (!errors.empty()) return print_errors(file, errors, err);
    out << "right: epoch " << proposed->epoch << ", " << proposed->ranges.size() << " ranges\n";
    return 0;
  }

  std::optional<freeze::Calendar> read_calendar(const std::string& path, std::ostream& err) const {
    const auto text = read_file(path, err);
    if (!text) return std::nullopt;
    const auto parsed = freeze::parse_calendar(*text);
    if (const auto* errors = std::get_if<std::vector<freeze::ValidationError>>(&parsed)) {
      print_errors(path, *errors, err);
      return std::nullopt;
    }
    return std::get<freeze::Calendar>(parsed);
  }

  int check_freeze(std::ostream& out, std::ostream& err) const {
    const auto calendar = read_calendar(file, err);
    if (!calendar) return 2;
    const auto instant = freeze::parse_instant(time);
    if (!instant) {
      err << "--at is wrong; expected a time with an offset, as 2027-04-12T00:00:00+07:00\n";
      return 2;
    }
    const auto kind = freeze::parse_change_kind(change);
    if (!kind) {
      err << "--change is wrong; expected reload, settings, map, limits or calendar\n";
      return 2;
    }
    freeze::Change proposed_change{*kind, {}};
    if (destination) proposed_change.destinations.insert(*destination);
    const auto decision = freeze::evaluate(*calendar, proposed_change, {*instant, *instant});
    out << (decision.closed ? decision.reason : std::string(freeze::name(*kind)) + " is open") << "\n";
    return decision.closed ? 1 : 0;
  }

  int except(std::ostream& out, std::ostream& err) const {
    Ask request;
    request.set_verb(Ask::kExcept);
    request.set_by(approver);
    request.set_minutes(minutes);
    if (map_file.empty() + calendar_file.empty() + configuration_file.empty() != 2) {
      err << "expected one of --map, --calendar and --configuration: an exception is for one change\n";
      return 2;
    }
    if (!map_file.empty()) {
      const auto changed = read_map(map_file, err);
      if (!changed) return 2;
      request.set_digest(reg::digest_of(*changed));
    } else if (!calendar_file.empty()) {
      const auto changed = read_calendar(calendar_file, err);
      if (!changed) return 2;
      request.set_digest(reg::digest_of(*changed));
    } else {
      const auto text = read_file(configuration_file, err);
      if (!text) return 2;
      try {
        request.set_digest(reg::digest_of(firspool::relay::common_settings(*text)));
      } catch (const std::exception& error) {
        err << configuration_file << ": " << error.what() << "\n";
        return 2;
      }
    }
    return send_and_print(std::move(request), out, err);
  }

  // The file is checked here first; an invalid one is not sent.
  int send_file(Ask::Verb verb, std::ostream& out, std::ostream& err) const {
    Ask request;
    request.set_verb(verb);
    if (verb == Ask::kProposeMap) {
      const auto map = read_map(file, err);
      if (!map) return 2;
      if (const auto errors = shards::validate(*map, {}); !errors.empty())
        return print_errors(file, errors, err);
      request.set_text(shards::to_toml(*map));
    } else {
      if (!read_calendar(file, err)) return 2;
      request.set_text(*read_file(file, err));
    }
    return send_and_print(std::move(request), out, err);
  }
};

FleetCommands::FleetCommands(CLI::App& app) : arguments_(std::make_unique<Arguments>()) {
  Arguments& arguments = *arguments_;
  const auto add_request_command = [&](CLI::App* command) {
    command->add_option("--to", arguments.relay_address, "a relay's fleet address, as 127.0.0.1:7101")
        ->required();
    return command;
  };
  auto* map = app.add_subcommand("map", "which relay answers for which destination");
  map->require_subcommand(1);
  arguments.map_check =
      map->add_subcommand("check", "is the file a right map? Offline. Exit status 0: yes, 2: defects");
  arguments.map_check->add_option("file", arguments.file, "the map")->required();
  arguments.map_check->add_option("--present", arguments.current_map_file,
                                  "the map in force: then epoch and moves are judged too");
  arguments.map_check->add_option("--members", arguments.members, "who may own, by comma")->delimiter(',');
  arguments.map_plan = add_request_command(
      map->add_subcommand("plan", "prints the next step of a rebalance, to be looked at and proposed"));
  arguments.map_propose = add_request_command(map->add_subcommand("propose", "a map for the next epoch"));
  arguments.map_propose->add_option("file", arguments.file, "the map")->required();

  auto* freeze =
      app.add_subcommand("freeze", "declared trading periods, in which configuration does not change");
  freeze->require_subcommand(1);
  arguments.freeze_check = freeze->add_subcommand(
      "check", "may a change be made at that time? Offline. Exit status 0: open, 1: closed, 2: bad input");
  arguments.freeze_check->add_option("calendar", arguments.file, "the calendar")->required();
  arguments.freeze_check
      ->add_option("--at", arguments.time, "a time with its offset, as 2027-04-12T00:00:00+07:00")
      ->required();
  arguments.freeze_check
      ->add_option("--change", arguments.change, "reload, settings, map, limits or calendar")
      ->required();
  arguments.freeze_check->add_option("--destination", arguments.destination,
                                     "that the change touches; absent: any");
  arguments.freeze_declare =
      add_request_command(freeze->add_subcommand("declare", "makes the file the fleet's calendar"));
  arguments.freeze_declare->add_option("calendar", arguments.file, "the calendar")->required();
  arguments.freeze_list = add_request_command(freeze->add_subcommand("list", "the fleet's windows"));
  arguments.freeze_except = add_request_command(
      freeze->add_subcommand("except", "one approver's word for one change in a window; it takes two"));
  arguments.freeze_except->add_option("--by", arguments.approver, "the approver's name")->required();
  arguments.freeze_except->add_option("--minutes", arguments.minutes, "how long it holds")->required();
  arguments.freeze_except->add_option("--map", arguments.map_file, "the change: a map");
  arguments.freeze_except->add_option("--calendar", arguments.calendar_file, "the change: a calendar");
  arguments.freeze_except->add_option("--configuration", arguments.configuration_file,
                                      "the change: a relay's JSON");

  auto* fleet = app.add_subcommand("fleet", "what the relays agree on");
  fleet->require_subcommand(1);
  arguments.status = add_request_command(fleet->add_subcommand("status", "as one relay knows it"));
  arguments.restore = add_request_command(fleet->add_subcommand(
      "restore", "opens a new generation from one survivor, after most voters' folders were lost"));
  arguments.restore->add_option("--survivor", arguments.survivor, "its name, said once more")->required();
}

FleetCommands::~FleetCommands() = default;

std::optional<int> FleetCommands::run(std::ostream& out, std::ostream& err) {
  const Arguments& arguments = *arguments_;
  const auto send_without_file = [&](Ask::Verb verb, const std::string& text = "") {
    Ask request;
    request.set_verb(verb);
    request.set_text(text);
    return arguments.send_and_print(std::move(request), out, err);
  };
  if (arguments.map_check->parsed()) return arguments.check_map(out, err);
  if (arguments.map_plan->parsed()) return send_without_file(Ask::kPlan);
  if (arguments.map_propose->parsed()) return arguments.send_file(Ask::kProposeMap, out, err);
  if (arguments.freeze_check->parsed()) return arguments.check_freeze(out, err);
  if (arguments.freeze_declare->parsed()) return arguments.send_file(Ask::kDeclare, out, err);
  if (arguments.freeze_list->parsed()) return send_without_file(Ask::kCalendar);
  if (arguments.freeze_except->parsed()) return arguments.except(out, err);
  if (arguments.status->parsed()) return send_without_file(Ask::kStatus);
  if (arguments.restore->parsed()) return send_without_file(Ask::kRestore, arguments.survivor);
  return std::nullopt;
}

}  // namespace umberhoist::ctl

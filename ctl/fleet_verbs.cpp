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

template <class Defects>
int print_errors(const std::string& file, const Defects& defects, std::ostream& err) {
  for (const auto& defect : defects) {
    err << file;
    if (defect.line > 0) err << ":" << defect.line;
    err << ": " << defect.message << "\n";
  }
  return 2;
}

}  // namespace

struct FleetCommands::Arguments {
  CLI::App *map_check, *map_plan, *map_propose, *freeze_check, *freeze_declare, *freeze_list, *freeze_except,
      *status, *restore;
  std::string file, present, to, at, change, by, survivor, map_file, calendar_file, configuration_file;
  std::vector<std::string> members;
  std::optional<int64_t> destination;
  uint32_t minutes = 0;

  int send(Ask question, std::ostream& out, std::ostream& err) const {
    const FleetReply reply = send_request(to, std::move(question));
    if (!reply.received) {
      err << reply.text << "\n";
      return 2;
    }
    (reply.succeeded ? out : err) << reply.text << (reply.text.ends_with('\n') ? "" : "\n");
    return reply.succeeded ? 0 : 1;
  }

  // A map that is right as far as the file goes; nothing: it was said why not.
  std::optional<shards::Map> map(const std::string& path, std::ostream& err) const {
    const auto text = read_file(path, err);
    if (!text) return std::nullopt;
    const auto parsed = shards::parse_map(*text);
    if (const auto* defects = std::get_if<std::vector<shards::ValidationError>>(&parsed)) {
      print_errors(path, *defects, err);
      return std::nullopt;
    }
    return std::get<shards::Map>(parsed);
  }

  int check_map(std::ostream& out, std::ostream& err) const {
    const auto proposed = map(file, err);
    if (!proposed) return 2;
    shards::ValidationContext against;
    std::optional<shards::Map> before;
    if (!present.empty()) {
      before = map(present, err);
      if (!before) return 2;
      against.current = &*before;
    }
    std::vector<shards::Member> known;
    for (const std::string& name : members) known.push_back({name, 1, "", true, false, true});
    if (!known.empty()) against.members = &known;
    const auto defects = shards::validate(*proposed, against);
    if (!defects.empty()) return print_errors(file, defects, err);
    out << "right: epoch " << proposed->epoch << ", " << proposed->ranges.size() << " ranges\n";
    return 0;
  }

  std::optional<freeze::Calendar> calendar(const std::string& path, std::ostream& err) const {
    const auto text = read_file(path, err);
    if (!text) return std::nullopt;
    const auto parsed = freeze::parse_calendar(*text);
    if (const auto* defects = std::get_if<std::vector<freeze::ValidationError>>(&parsed)) {
      print_errors(path, *defects, err);
      return std::nullopt;
    }
    return std::get<freeze::Calendar>(parsed);
  }

  int check_freeze(std::ostream& out, std::ostream& err) const {
    const auto known = calendar(file, err);
    if (!known) return 2;
    const auto when = freeze::parse_instant(at);
    if (!when) {
      err << "--at is wrong; expected a time with an offset, as 2027-04-12T00:00:00+07:00\n";
      return 2;
    }
    const auto kind = freeze::parse_change_kind(change);
    if (!kind) {
      err << "--change is wrong; expected reload, settings, map, limits or calendar\n";
      return 2;
    }
    freeze::Change what{*kind, {}};
    if (destination) what.destinations.insert(*destination);
    const auto verdict = freeze::evaluate(*known, what, {*when, *when});
    out << (verdict.closed ? verdict.reason : std::string(freeze::name(*kind)) + " is open") << "\n";
    return verdict.closed ? 1 : 0;
  }

  int except(std::ostream& out, std::ostream& err) const {
    Ask question;
    question.set_verb(Ask::kExcept);
    question.set_by(by);
    question.set_minutes(minutes);
    if (map_file.empty() + calendar_file.empty() + configuration_file.empty() != 2) {
      err << "expected one of --map, --calendar and --configuration: an exception is for one change\n";
      return 2;
    }
    if (!map_file.empty()) {
      const auto what = map(map_file, err);
      if (!what) return 2;
      question.set_digest(reg::digest_of(*what));
    } else if (!calendar_file.empty()) {
      const auto what = calendar(calendar_file, err);
      if (!what) return 2;
      question.set_digest(reg::digest_of(*what));
    } else {
      const auto text = read_file(configuration_file, err);
      if (!text) return 2;
      try {
        question.set_digest(reg::digest_of(firspool::relay::common_settings(*text)));
      } catch (const std::exception& error) {
        err << configuration_file << ": " << error.what() << "\n";
        return 2;
      }
    }
    return send(std::move(question), out, err);
  }

  // Nothing goes out that is known to be wrong here.
  int send_file(Ask::Verb verb, std::ostream& out, std::ostream& err) const {
    Ask question;
    question.set_verb(verb);
    if (verb == Ask::kProposeMap) {
      const auto what = map(file, err);
      if (!what) return 2;
      if (const auto defects = shards::validate(*what, {}); !defects.empty())
        return print_errors(file, defects, err);
      question.set_text(shards::to_toml(*what));
    } else {
      if (!calendar(file, err)) return 2;
      question.set_text(*read_file(file, err));
    }
    return send(std::move(question), out, err);
  }
};

FleetCommands::FleetCommands(CLI::App& app) : arguments_(std::make_unique<Arguments>()) {
  Arguments& w = *arguments_;
  const auto asks = [&](CLI::App* verb) {
    verb->add_option("--to", w.to, "a relay's fleet address, as 127.0.0.1:7101")->required();
    return verb;
  };
  auto* map = app.add_subcommand("map", "which relay answers for which destination");
  map->require_subcommand(1);
  w.map_check =
      map->add_subcommand("check", "is the file a right map? Offline. Exit status 0: yes, 2: defects");
  w.map_check->add_option("file", w.file, "the map")->required();
  w.map_check->add_option("--present", w.present, "the map in force: then epoch and moves are judged too");
  w.map_check->add_option("--members", w.members, "who may own, by comma")->delimiter(',');
  w.map_plan =
      asks(map->add_subcommand("plan", "prints the next step of a rebalance, to be looked at and proposed"));
  w.map_propose = asks(map->add_subcommand("propose", "a map for the next epoch"));
  w.map_propose->add_option("file", w.file, "the map")->required();

  auto* freeze =
      app.add_subcommand("freeze", "declared trading periods, in which configuration does not change");
  freeze->require_subcommand(1);
  w.freeze_check = freeze->add_subcommand(
      "check", "may a change be made at that time? Offline. Exit status 0: open, 1: closed, 2: bad input");
  w.freeze_check->add_option("calendar", w.file, "the calendar")->required();
  w.freeze_check->add_option("--at", w.at, "a time with its offset, as 2027-04-12T00:00:00+07:00")
      ->required();
  w.freeze_check->add_option("--change", w.change, "reload, settings, map, limits or calendar")->required();
  w.freeze_check->add_option("--destination", w.destination, "that the change touches; absent: any");
  w.freeze_declare = asks(freeze->add_subcommand("declare", "makes the file the fleet's calendar"));
  w.freeze_declare->add_option("calendar", w.file, "the calendar")->required();
  w.freeze_list = asks(freeze->add_subcommand("list", "the fleet's windows"));
  w.freeze_except =
      asks(freeze->add_subcommand("except", "one approver's word for one change in a window; it takes two"));
  w.freeze_except->add_option("--by", w.by, "the approver's name")->required();
  w.freeze_except->add_option("--minutes", w.minutes, "how long it holds")->required();
  w.freeze_except->add_option("--map", w.map_file, "the change: a map");
  w.freeze_except->add_option("--calendar", w.calendar_file, "the change: a calendar");
  w.freeze_except->add_option("--configuration", w.configuration_file, "the change: a relay's JSON");

  auto* fleet = app.add_subcommand("fleet", "what the relays agree on");
  fleet->require_subcommand(1);
  w.status = asks(fleet->add_subcommand("status", "as one relay knows it"));
  w.restore = asks(fleet->add_subcommand(
      "restore", "opens a new generation from one survivor, after most voters' folders were lost"));
  w.restore->add_option("--survivor", w.survivor, "its name, said once more")->required();
}

FleetCommands::~FleetCommands() = default;

std::optional<int> FleetCommands::run(std::ostream& out, std::ostream& err) {
  const Arguments& w = *arguments_;
  const auto plain = [&](Ask::Verb verb, const std::string& text = "") {
    Ask question;
    question.set_verb(verb);
    question.set_text(text);
    return w.send(std::move(question), out, err);
  };
  if (w.map_check->parsed()) return w.check_map(out, err);
  if (w.map_plan->parsed()) return plain(Ask::kPlan);
  if (w.map_propose->parsed()) return w.send_file(Ask::kProposeMap, out, err);
  if (w.freeze_check->parsed()) return w.check_freeze(out, err);
  if (w.freeze_declare->parsed()) return w.send_file(Ask::kDeclare, out, err);
  if (w.freeze_list->parsed()) return plain(Ask::kCalendar);
  if (w.freeze_except->parsed()) return w.except(out, err);
  if (w.status->parsed()) return plain(Ask::kStatus);
  if (w.restore->parsed()) return plain(Ask::kRestore, w.survivor);
  return std::nullopt;
}

}  // namespace umberhoist::ctl

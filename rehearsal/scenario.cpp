#include "rehearsal/scenario.h"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <set>
#include <sstream>

namespace umberhoist::rehearsal {
namespace {

const std::map<std::string, Action, std::less<>>& actions() {
  static const std::map<std::string, Action, std::less<>> all = {
      {"silent", Action::kSilent},   {"hang", Action::kHang},           {"shut", Action::kShut},
      {"refuse", Action::kRefuse},   {"fail", Action::kFail},           {"slow", Action::kSlow},
      {"reset", Action::kReset},     {"spoil", Action::kSpoil},         {"replace", Action::kReplace},
      {"lag", Action::kLag},         {"blackout", Action::kBlackout},   {"crowd", Action::kCrowd},
      {"kill", Action::kKill},       {"terminate", Action::kTerminate}, {"rolling", Action::kRolling},
      {"move", Action::kMove},       {"lose", Action::kLose},           {"hold", Action::kHold},
      {"notices", Action::kNotices}, {"withdraw", Action::kWithdraw},   {"copy", Action::kCopy}};
  return all;
}

template <class Map>
std::string joined_names(const Map& map) {
  std::string out;
  for (const auto& [name, value] : map) out += (out.empty() ? "" : ", ") + std::string(name);
  return out;
}

std::string source_position(const std::string& file, const toml::source_region& source) {
  return file + ":" + std::to_string(source.begin.line) + ":" + std::to_string(source.begin.column);
}

// Reads the keys of one TOML table and checks their types and ranges. `reject_unknown_keys` is called last
// and rejects keys that were never read, so that a misspelt key does not silently leave a default in place.
class TableReader {
 public:
  TableReader(const toml::table& table, std::string file, std::string path)
      : table_(table), file_(std::move(file)), path_(std::move(path)) {}

  void number(const char* key, double& out, double low, double high) {
    const toml::node* node = get(key);
    if (node == nullptr) return;
    const auto value = node->value<double>();
    if (!node->is_number() || !value || !(*value >= low && *value <= high))
      reject_value(*node, key, describe_range(low, high));
    out = *value;
  }

  void integer(const char* key, int& out, int low, int high) {
    const toml::node* node = get(key);
    if (node == nullptr) return;
    const auto value = node->value<int64_t>();
    if (!node->is_integer() || !value || *value < low || *value > high) {
      reject_value(*node, key, "a whole number, " + std::to_string(low) + " to " + std::to_string(high));
    }
    out = static_cast<int>(*value);
  }

  void flag(const char* key, bool& out) {
    const toml::node* node = get(key);
    if (node == nullptr) return;
    if (!node->is_boolean()) reject_value(*node, key, "true or false");
    out = *node->value<bool>();
  }

  void string(const char* key, std::string& out) {
    const toml::node* node = get(key);
    if (node == nullptr) return;
    if (!node->is_string()) reject_value(*node, key, "a string");
    out = *node->value<std::string>();
  }

  void number_range(const char* key, ValueRange& out, double low, double high) {
    const toml::node* node = get(key);
    if (node == nullptr) return;
    const std::string expected =
        "one number or two in an array, the lower first, each " + describe_range(low, high);
    const auto within = [&](const toml::node& item) {
      const auto value = item.value<double>();
      if (!item.is_number() || !value || !(*value >= low && *value <= high))
        reject_value(item, key, expected);
      return *value;
    };
    if (const auto* array = node->as_array()) {
      if (array->size() != 2) reject_value(*node, key, expected);
      out = {within(*array->get(0)), within(*array->get(1))};
      if (out.low > out.high) reject_value(*node, key, expected);
    } else {
      out.low = out.high = within(*node);
    }
  }

  void strings(const char* key, std::vector<std::string>& out) {
    const toml::node* node = get(key);
    if (node == nullptr) return;
    const auto* array = node->as_array();
    if (array == nullptr) reject_value(*node, key, "an array of strings");
    for (const toml::node& item : *array) {
      if (!item.is_string()) reject_value(item, key, "an array of strings");
      out.push_back(*item.value<std::string>());
    }
  }

  template <class Map, class Value>
  void one_of(const char* key, const Map& map, Value& out) {
    const toml::node* node = get(key);
    if (node == nullptr) return;
    const auto value = node->value<std::string>();
    const auto it = node->is_string() && value ? map.find(*value) : map.end();
    if (it == map.end()) reject_value(*node, key, "one of " + joined_names(map));
    out = it->second;
  }

  const toml::table* table(const char* key) {
    const toml::node* node = get(key);
    if (node == nullptr) return nullptr;
    if (!node->is_table()) reject_value(*node, key, "a table");
    return node->as_table();
  }

  std::vector<const toml::table*> tables(const char* key) {
    std::vector<const toml::table*> out;
    const toml::node* node = get(key);
    if (node == nullptr) return out;
    const auto* array = node->as_array();
    if (array == nullptr) reject_value(*node, key, "an array of tables, [[" + std::string(key) + "]]");
    for (const toml::node& item : *array) {
      if (!item.is_table()) reject_value(item, key, "an array of tables, [[" + std::string(key) + "]]");
      out.push_back(item.as_table());
    }
    return out;
  }

  bool has(const char* key) const { return table_.contains(key); }

  void require(const char* key) const {
    if (!table_.contains(key)) {
      throw ScenarioError(where() + ": " + label() + " has no '" + key + "', which was expected");
    }
  }

  void reject_unknown_keys() const {
    for (const auto& [key, node] : table_) {
      if (read_keys_.contains(std::string(key.str()))) continue;
      std::string known;
      for (const std::string& name : read_keys_) known += (known.empty() ? "" : ", ") + name;
      throw ScenarioError(source_position(file_, key.source()) + ": " + label() + " knows no '" +
                          std::string(key.str()) + "'; expected one of " + known);
    }
  }

  [[noreturn]] void reject_value(const char* key, const std::string& expected) const {
    reject_value(*table_.get(key), key, expected);
  }

  std::string where() const { return source_position(file_, table_.source()); }

 private:
  const toml::node* get(const char* key) {
    read_keys_.insert(key);
    return table_.get(key);
  }

  [[noreturn]] void reject_value(const toml::node& node, const char* key, const std::string& expected) const {
    throw ScenarioError(source_position(file_, node.source()) + ": '" + key + "' of " + label() +
                        ": expected " + expected);
  }

  std::string label() const { return path_.empty() ? "the scenario" : "[" + path_ + "]"; }

  static std::string describe_range(double low, double high) {
    std::ostringstream out;
    out << "a number, " << low << " to " << high;
    return out.str();
  }

  const toml::table& table_;
  std::string file_;
  std::string path_;
  std::set<std::string> read_keys_;
};

const std::map<std::string, Effect, std::less<>> kEffects = {
    {"safe", Effect::kSafe}, {"keyed", Effect::kKeyed}, {"unsafe", Effect::kUnsafe}};
const std::map<std::string, Limit, std::less<>> kLimits = {
    {"none", Limit::kNone}, {"rate", Limit::kRate}, {"window", Limit::kWindow}};

const std::map<std::string, LateWorthDecay, std::less<>> kLateWorthDecays = {
    {"halves", LateWorthDecay::kHalving}, {"line", LateWorthDecay::kLinear}};
const std::map<std::string, bool, std::less<>> kDurability = {{"group", true}, {"process", false}};
const std::map<std::string, bool, std::less<>> kKnownLists = {{"first", true}, {"now", false}};

constexpr double kDaySeconds = 86'400;

KindSpec read_kind(const toml::table& table, const std::string& file) {
  TableReader in(table, file, "kind");
  KindSpec out;
  in.require("name");
  in.string("name", out.name);
  in.number("share", out.share, 0.001, 1000);
  in.number("lean", out.lean, -1, 1);
  in.number_range("endpoints", out.endpoints, 1, 64);
  in.number_range("service_ms", out.service_ms, 0.01, 60'000);
  in.number("cv", out.cv, 0, 3);
  in.number("spare", out.spare, 0.1, 1000);
  in.number("least_rate", out.least_rate, 0.1, 1e6);
  in.one_of("limit", kLimits, out.limit);
  in.number("headroom", out.headroom, 0.1, 1000);
  in.number_range("span_s", out.span_s, 0.1, 60);
  in.number("tells_wait", out.tells_wait, 0, 1);
  in.number_range("wait_ms", out.wait_ms, 1, 60'000);
  in.number("queue_s", out.queue_s, 0, 60);
  in.integer("connections", out.connections, 0, 100'000);
  in.number("error_rate", out.error_rate, 0, 1);
  in.reject_unknown_keys();
  return out;
}

ClassSpec read_class(const toml::table& table, const std::string& file, const std::vector<KindSpec>& kinds) {
  TableReader in(table, file, "class");
  ClassSpec out;
  in.require("name");
  in.require("effect");
  in.string("name", out.name);
  in.number("share", out.share, 0.001, 1000);
  in.one_of("effect", kEffects, out.effect);
  in.number("key_window_s", out.key_window_s, 0.1, kDaySeconds);
  in.number("aim_s", out.aim_s, 0.01, kDaySeconds);
  in.number("give_up_s", out.give_up_s, 0.01, kDaySeconds);
  in.number("worth", out.worth, 0, 1e6);
  in.number("late_worth", out.late_worth, 0, 1);
  in.strings("kinds", out.kinds);
  in.reject_unknown_keys();
  for (const std::string& kind : out.kinds) {
    if (std::none_of(kinds.begin(), kinds.end(), [&](const KindSpec& k) { return k.name == kind; })) {
      in.reject_value("kinds", "names of [[kind]] tables; '" + kind + "' is none");
    }
  }
  return out;
}

EventSpec read_event(const toml::table& table, const std::string& file, const Scenario& scenario) {
  TableReader in(table, file, "event");
  EventSpec out;
  out.where = in.where();
  in.require("at_s");
  in.require("do");
  in.number("at_s", out.at_s, 0, scenario.seconds);
  in.number("for_s", out.for_s, 0, kDaySeconds);
  in.integer("times", out.times, 1, 100'000);
  if (out.times > 1) in.require("every_s");
  in.number("every_s", out.every_s, 0.01, kDaySeconds);
  if (out.at_s + (out.times - 1) * out.every_s > scenario.seconds) {
    in.reject_value("times", "no more than fit into the scenario's seconds");
  }
  in.one_of("do", actions(), out.action);
  in.string("kind", out.kind);
  in.string("partner", out.partner);
  in.integer("largest", out.largest, 0, 100'000);
  in.number("share", out.share, 0, 1);
  in.integer("relay", out.relay, 0, scenario.relays - 1);
  in.number("amount", out.amount, 0, 1e6);
  in.flag("wait_told", out.wait_told);
  in.number_range("late_ms", out.late_ms, 0, 600'000);
  in.number("part", out.part, 0.01, 1);
  in.flag("same_address", out.same_address);
  in.number("linger_s", out.linger_s, 0, kDaySeconds);
  in.reject_unknown_keys();
  const auto kind_known = [&](const KindSpec& k) { return k.name == out.kind; };
  if (!out.kind.empty() && std::none_of(scenario.kinds.begin(), scenario.kinds.end(), kind_known)) {
    in.reject_value("kind", "the name of a [[kind]] table");
  }
  const bool of_partners = out.action <= Action::kWithdraw;
  const int targets = !out.kind.empty() + !out.partner.empty() + (out.largest > 0) + (out.share > 0);
  if (of_partners && targets == 0) {
    throw ScenarioError(out.where + ": [event] '" + action_name(out.action) +
                        "' says nobody; expected one of kind, partner, largest or share");
  }
  if (of_partners && out.for_s <= 0) in.require("for_s");
  if (out.action == Action::kReplace && (out.amount <= 0 || out.amount > 1)) {
    throw ScenarioError(out.where +
                        ": [event] 'replace': expected amount, the share of all endpoints, over 0 to 1");
  }
  const bool of_share = out.action == Action::kFail || out.action == Action::kReset ||
                        out.action == Action::kSpoil || out.action == Action::kCopy;
  if (of_share && (out.amount <= 0 || out.amount > 1)) {
    throw ScenarioError(out.where + ": [event] '" + action_name(out.action) +
                        "': expected amount, the share of the calls, over 0 to 1");
  }
  if (out.action == Action::kSlow && out.amount <= 1) {
    throw ScenarioError(out.where + ": [event] 'slow': expected amount, a factor over 1");
  }
  return out;
}

TenantSpec read_tenant(const toml::table& table, const std::string& file) {
  TableReader in(table, file, "tenant");
  TenantSpec out;
  in.require("name");
  in.string("name", out.name);
  in.number("share", out.share, 0.001, 1000);
  in.number("quota_per_s", out.quota_per_s, 0, 1e6);
  in.reject_unknown_keys();
  // The name is sent in the comma-separated key=value list of each request.
  if (out.name.empty() || out.name.find_first_of(",= \t\r\n") != std::string::npos) {
    in.reject_value("name", "a name without blanks, commas and equals signs");
  }
  return out;
}

ExpectSpec read_expect(const toml::table& table, const std::string& file, const Scenario& scenario) {
  TableReader in(table, file, "expect");
  ExpectSpec out;
  out.where = in.where();
  in.string("class", out.of_class);
  in.string("tenant", out.of_tenant);
  in.number("delivered", out.delivered, 0, 1);
  in.number("in_time", out.in_time, 0, 1);
  in.number("failed", out.failed, 0, 1);
  in.number("refused", out.refused, 0, 1);
  in.number("attempts", out.attempts, 0, 1000);
  in.reject_unknown_keys();
  const auto known = [&](const ClassSpec& c) { return c.name == out.of_class; };
  if (!out.of_class.empty() && std::none_of(scenario.classes.begin(), scenario.classes.end(), known)) {
    in.reject_value("class", "the name of a [[class]] table");
  }
  const auto named = [&](const TenantSpec& t) { return t.name == out.of_tenant; };
  if (!out.of_tenant.empty() && std::none_of(scenario.tenants.begin(), scenario.tenants.end(), named)) {
    in.reject_value("tenant", "the name of a [[tenant]] table");
  }
  if (!out.of_class.empty() && !out.of_tenant.empty())
    in.reject_value("tenant", "either a class or a tenant");
  if (!in.has("delivered") && !in.has("in_time") && !in.has("failed") && !in.has("refused") &&
      !in.has("attempts")) {
    throw ScenarioError(
        out.where +
        ": [expect] asks for nothing; expected one of delivered, in_time, failed, refused or attempts");
  }
  return out;
}

// Applies "a.b=value". The value is parsed as TOML, or taken as a string if it is not valid TOML.
void apply_set(toml::table& root, const std::string& set) {
  const size_t equals = set.find('=');
  if (equals == 0 || equals == std::string::npos) {
    throw ScenarioError("--set " + set + ": expected key=value, such as load.rate=200");
  }
  toml::table parsed;
  try {
    parsed = toml::parse("value = " + set.substr(equals + 1));
  } catch (const toml::parse_error&) {
    parsed.insert_or_assign("value", set.substr(equals + 1));
  }
  toml::table* at = &root;
  std::string path = set.substr(0, equals);
  for (size_t dot = 0; (dot = path.find('.')) != std::string::npos; path.erase(0, dot + 1)) {
    const std::string key = path.substr(0, dot);
    if (!at->contains(key)) at->insert(key, toml::table());
    at = at->get(key)->as_table();
    if (at == nullptr)
      throw ScenarioError("--set " + set + ": '" + key + "' is no table; only tables can be set in");
  }
  at->insert_or_assign(path, *parsed.get("value"));
}

Scenario read(const toml::table& root, const std::string& file) {
  Scenario out;
  TableReader in(root, file, "");
  in.string("name", out.name);
  in.string("title", out.title);
  in.number("seconds", out.seconds, 1, kDaySeconds);
  int seed = 1;
  in.integer("seed", seed, 0, 1'000'000'000);
  out.seed = static_cast<uint64_t>(seed);
  if (const auto* table = in.table("relays")) {
    TableReader relays(*table, file, "relays");
    relays.integer("count", out.relays, 1, 100);
    relays.integer("sockets", out.sockets, 64, 1'000'000);
    relays.integer("memory_mb", out.memory_mb, 1, 1'000'000);
    relays.number("disk_mb", out.disk_mb, 0.001, 100'000);
    relays.number("cores", out.cores, 0, 64);
    relays.number("slots_room", out.slots_room, 0.1, 100);
    relays.integer("least_slots", out.least_slots, 1, 100'000);
    relays.number("hold_s", out.hold_s, 0.01, 3600);
    relays.integer("least_open", out.least_open, 1, 10'000'000);
    relays.number("restart_s", out.restart_s, 0, 3600);
    relays.integer("max_attempts", out.max_attempts, 1, 100);
    relays.flag("probes", out.probes);
    relays.one_of("durability", kDurability, out.group_durability);
    relays.flag("fleet", out.fleet);
    if (out.fleet && out.relays < 3) {
      throw ScenarioError(file + ": relays.count is " + std::to_string(out.relays) +
                          "; expected at least 3 for a fleet");
    }
    relays.reject_unknown_keys();
  }
  if (const auto* table = in.table("partners")) {
    TableReader partners(*table, file, "partners");
    partners.integer("count", out.partners, 1, 100'000);
    partners.number("zipf", out.zipf, 0, 3);
    partners.integer("zones", out.zones, 1, 16);
    partners.number("idle_s", out.idle_s, 2, 3600);
    partners.number("connect_timeout_s", out.connect_timeout_s, 0.01, 60);
    partners.reject_unknown_keys();
  }
  if (const auto* table = in.table("discovery")) {
    TableReader discovery(*table, file, "discovery");
    discovery.number_range("lag_s", out.lag_s, 0, 3600);
    discovery.one_of("known", kKnownLists, out.known_at_first);
    discovery.reject_unknown_keys();
  }
  if (const auto* table = in.table("clients")) {
    TableReader clients(*table, file, "clients");
    clients.integer("retries", out.retries, 0, 100);
    clients.number("honour", out.honour, 0, 1);
    clients.number_range("backoff_ms", out.backoff_ms, 1, 600'000);
    clients.number_range("notice_s", out.notice_s, 0, 600);
    clients.number_range("again_s", out.again_s, 0, 600);
    clients.one_of("late", kLateWorthDecays, out.late);
    clients.number("over_share_worth", out.over_share_worth, 0, 1);
    clients.reject_unknown_keys();
  }
  if (const auto* table = in.table("rules")) {
    TableReader rules(*table, file, "rules");
    double grace = 1, window = 3, cold = 12;
    rules.number("drain_grace_s", grace, 0.01, 600);
    rules.number("fall_multiple", out.rule_parameters.overload_factor, 1, 1000);
    rules.number("fall_s", window, 0.1, 600);
    rules.number("cold_s", cold, 0.1, 3600);
    rules.number("start_capacity", out.rule_parameters.start_capacity, 0.01, 1);
    rules.reject_unknown_keys();
    out.rule_parameters.drain_grace = static_cast<Time>(grace * 1e6);
    out.rule_parameters.overload_window = static_cast<Time>(window * 1e6);
    out.rule_parameters.slow_start = static_cast<Time>(cold * 1e6);
  }
  if (const auto* table = in.table("load")) {
    TableReader load(*table, file, "load");
    load.number("rate", out.load.rate, 0.01, 1e6);
    load.number("full", out.load.full, 0.1, 100);
    load.number("swing", out.load.swing, 0, 0.95);
    load.number("period_s", out.load.period_s, 0.5, kDaySeconds);
    load.number("clump_share", out.load.clump_share, 0, 0.9);
    load.number_range("clump_s", out.load.clump_s, 0.01, 600);
    load.number_range("body_bytes", out.load.body_bytes, 0, 65'536);
    for (const toml::table* item : load.tables("burst")) {
      TableReader burst(*item, file, "load.burst");
      BurstSpec spec;
      burst.require("at_s");
      burst.number("at_s", spec.at_s, 0, out.seconds);
      burst.number("for_s", spec.for_s, 0.01, out.seconds);
      burst.number("factor", spec.factor, 0, 1000);
      burst.reject_unknown_keys();
      out.load.bursts.push_back(spec);
    }
    load.reject_unknown_keys();
  }
  in.require("kind");
  in.require("class");
  for (const toml::table* item : in.tables("kind")) out.kinds.push_back(read_kind(*item, file));
  for (const toml::table* item : in.tables("class"))
    out.classes.push_back(read_class(*item, file, out.kinds));
  for (const toml::table* item : in.tables("tenant")) {
    TenantSpec tenant = read_tenant(*item, file);
    const auto same = [&](const TenantSpec& t) { return t.name == tenant.name; };
    if (std::any_of(out.tenants.begin(), out.tenants.end(), same)) {
      TableReader(*item, file, "tenant").reject_value("name", "another name in each [[tenant]]");
    }
    out.tenants.push_back(std::move(tenant));
  }
  if (out.kinds.empty()) in.reject_value("kind", "at least one [[kind]]");
  if (out.classes.empty()) in.reject_value("class", "at least one [[class]]");
  for (const toml::table* item : in.tables("event")) out.events.push_back(read_event(*item, file, out));
  for (const toml::table* item : in.tables("expect")) out.expects.push_back(read_expect(*item, file, out));
  in.reject_unknown_keys();
  std::stable_sort(out.events.begin(), out.events.end(),
                   [](const EventSpec& a, const EventSpec& b) { return a.at_s < b.at_s; });
  out.rule_parameters.max_attempts = out.max_attempts;
  for (const ClassSpec& c : out.classes) {
    out.rule_parameters.classes.push_back({c.name, c.effect, static_cast<Time>(c.key_window_s * 1e6)});
  }
  return out;
}

std::string describe_targets(const EventSpec& event) {
  std::ostringstream out;
  if (!event.kind.empty()) out << " partners of kind " << event.kind;
  if (!event.partner.empty()) out << " partner " << event.partner;
  if (event.largest > 0) out << " the " << event.largest << " largest partner(s)";
  if (event.share > 0) out << " partners with " << event.share * 100 << "% of the traffic";
  if (event.relay >= 0) out << " relay " << event.relay;
  return out.str();
}

}  // namespace

const char* action_name(Action action) {
  for (const auto& [name, value] : actions()) {
    if (value == action) return name.c_str();
  }
  return "";
}

Scenario parse_scenario(const std::string& text, const std::string& name,
                        const std::vector<std::string>& sets) {
  toml::table root;
  try {
    root = toml::parse(text, name);
  } catch (const toml::parse_error& error) {
    throw ScenarioError(source_position(name, error.source()) + ": " + std::string(error.description()));
  }
  for (const std::string& set : sets) apply_set(root, set);
  Scenario out = read(root, name);
  if (out.name.empty()) out.name = std::filesystem::path(name).stem().string();
  return out;
}

Scenario load_scenario(const std::string& file_or_name, const std::vector<std::string>& sets) {
  for (const BundledScenario& shipped : bundled_scenarios()) {
    if (shipped.name == file_or_name) return parse_scenario(shipped.text, shipped.name + ".toml", sets);
  }
  std::ifstream file(file_or_name, std::ios::binary);
  if (!file || !std::filesystem::is_regular_file(file_or_name)) {
    std::string known;
    for (const BundledScenario& shipped : bundled_scenarios())
      known += (known.empty() ? "" : ", ") + shipped.name;
    throw ScenarioError(file_or_name + ": cannot be read; expected a file or one of " + known);
  }
  return parse_scenario({std::istreambuf_iterator<char>(file), {}}, file_or_name, sets);
}

std::string describe(const Scenario& scenario) {
  std::ostringstream out;
  out << scenario.name << ": " << scenario.title << "\n"
      << scenario.relays << " relay(s), " << scenario.partners << " partners, " << scenario.load.rate
      << " messages/s for " << scenario.seconds << " s, seed " << scenario.seed << "\n";
  for (const KindSpec& k : scenario.kinds) {
    out << "  kind " << k.name << ": " << k.share << " share(s), " << k.service_ms.low << " to "
        << k.service_ms.high << " ms, limit "
        << (k.limit == Limit::kNone   ? "none"
            : k.limit == Limit::kRate ? "rate"
                                      : "window")
        << "\n";
  }
  for (const ClassSpec& c : scenario.classes) {
    out << "  class " << c.name << ": " << c.share << " share(s), "
        << (c.effect == Effect::kSafe    ? "safe"
            : c.effect == Effect::kKeyed ? "keyed"
                                         : "unsafe")
        << ", given up at " << c.give_up_s << " s\n";
  }
  for (const TenantSpec& t : scenario.tenants) {
    out << "  tenant " << t.name << ": " << t.share << " share(s), ";
    if (t.quota_per_s > 0) {
      out << t.quota_per_s << " messages/s at full worth, beyond that " << 100 * scenario.over_share_worth
          << "%\n";
    } else {
      out << "no quota\n";
    }
  }
  for (const EventSpec& e : scenario.events) {
    out << "  at " << e.at_s << " s: " << action_name(e.action) << describe_targets(e);
    if (e.for_s > 0) out << " for " << e.for_s << " s";
    if (e.times > 1) out << ", " << e.times << " times, every " << e.every_s << " s";
    if (e.amount > 0) out << ", amount " << e.amount;
    out << "\n";
  }
  for (const ExpectSpec& e : scenario.expects) {
    out << "  expected of "
        << (!e.of_tenant.empty() ? "tenant " + e.of_tenant
            : e.of_class.empty() ? "all classes"
                                 : e.of_class)
        << ":";
    if (e.delivered > 0) out << " delivered " << 100 * e.delivered << "% or more";
    if (e.in_time > 0) out << " in time " << 100 * e.in_time << "% or more";
    if (e.failed < 1) out << " failed " << 100 * e.failed << "% or less";
    if (e.refused < 1) out << " refused " << 100 * e.refused << "% or less";
    if (e.attempts > 0) out << " " << e.attempts << " attempts a message or less";
    out << "\n";
  }
  return out.str();
}

}  // namespace umberhoist::rehearsal

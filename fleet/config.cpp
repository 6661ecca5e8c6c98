#include "fleet/config.h"

#include <fstream>
#include <iterator>
#include <set>
#include <stdexcept>

#include "state/toml.h"

namespace umberhoist::fleet {
namespace {

using boost::asio::ip::tcp;

class Parser {
 public:
  explicit Parser(std::string file) : file_(std::move(file)) {}

  Config parse(const std::string& text) {
    toml::table root;
    try {
      root = state::parse_toml(text);
    } catch (const toml::parse_error& error) {
      fail(static_cast<int>(error.source().begin.line), std::string(error.description()));
    }
    check_keys(root, {"name", "id", "zone", "weight", "listen", "folder", "connections", "queued_bytes",
                      "voter", "timing", "bounds"});
    reg::NodeOptions& node = out_.node;
    node.name = read_name(root);
    node.slot = static_cast<uint32_t>(read_integer(root, "id", 1, 65535));
    node.zone = root.contains("zone") ? read_string(root, "zone") : "";
    if (root.contains("weight")) node.weight = read_real(root, "weight", 0, 1000);
    out_.listen = read_address(root, "listen");
    out_.folder = read_string(root, "folder", 4096);
    if (root.contains("connections"))
      out_.max_connections = static_cast<size_t>(read_integer(root, "connections", 4, 4096));
    if (root.contains("queued_bytes")) {
      out_.max_queued_bytes = static_cast<size_t>(read_integer(root, "queued_bytes", 65'536, 1 << 30));
    }
    read_voters(root);
    if (const auto* timing = find_table(root, "timing")) read_timing(*timing);
    if (const auto* bounds = find_table(root, "bounds")) read_bounds(*bounds);
    check_consistency(root);
    return out_;
  }

 private:
  [[noreturn]] void fail(int line, const std::string& what) const {
    throw std::invalid_argument(file_ + ":" + std::to_string(line) + ": " + what);
  }
  static int line(const toml::node& node) { return std::max(1, static_cast<int>(node.source().begin.line)); }
  const toml::node& require(const toml::table& table, const char* key, const std::string& expected) const {
    const auto* node = table.get(key);
    if (node == nullptr) fail(line(table), std::string(key) + " is missing; expected " + expected);
    return *node;
  }
  void check_keys(const toml::table& table, const std::set<std::string_view>& keys) const {
    for (const auto& [key, value] : table) {
      if (!keys.contains(key.str())) fail(line(value), "'" + std::string(key) + "' is not known here");
    }
  }
  const toml::table* find_table(const toml::table& root, const char* key) const {
    const auto* node = root.get(key);
    if (node != nullptr && !node->is_table())
      fail(line(*node), std::string(key) + " is wrong; expected a table");
    return node == nullptr ? nullptr : node->as_table();
  }
  std::string read_string(const toml::table& table, const char* key, size_t max = 64) const {
    const std::string expected = "1 to " + std::to_string(max) + " bytes in quotes";
    const auto& node = require(table, key, expected);
    const auto text = node.value_exact<std::string>();
    if (!text || text->empty() || text->size() > max)
      fail(line(node), std::string(key) + " is wrong; expected " + expected);
    return *text;
  }
  std::string read_name(const toml::table& table) const {
    const std::string out = read_string(table, "name");
    if (!state::is_printable_ascii(out))
      fail(line(*table.get("name")), "name is wrong; expected plain letters, no blanks");
    return out;
  }
  int64_t read_integer(const toml::table& table, const char* key, int64_t min, int64_t max) const {
    const std::string expected = "a whole number from " + std::to_string(min) + " to " + std::to_string(max);
    const auto& node = require(table, key, expected);
    const auto value = node.value_exact<int64_t>();
    if (!value || *value < min || *value > max)
      fail(line(node), std::string(key) + " is wrong; expected " + expected);
    return *value;
  }
  double read_real(const toml::table& table, const char* key, double min, double max) const {
    const std::string expected = "a number from " + std::to_string(min) + " to " + std::to_string(max);
    const auto& node = require(table, key, expected);
    const auto value = node.value<double>();
    if (!value || !(*value >= min && *value <= max))
      fail(line(node), std::string(key) + " is wrong; expected " + expected);
    return *value;
  }
  tcp::endpoint read_address(const toml::table& table, const char* key) const {
    const std::string expected = "an IPv4 address and a port, as \"127.0.0.1:7101\"";
    const auto& node = require(table, key, expected);
    const auto text = node.value_exact<std::string>();
    const size_t colon = text ? text->rfind(':') : std::string::npos;
    boost::system::error_code error;
    if (colon != std::string::npos && text->size() - colon <= 6 &&
        text->find_first_not_of("0123456789", colon + 1) == std::string::npos && colon + 1 < text->size()) {
      const auto host = boost::asio::ip::make_address_v4(text->substr(0, colon), error);
      const int port = std::stoi(text->substr(colon + 1));
      if (!error && port <= 65535) return {host, static_cast<uint16_t>(port)};
    }
    fail(line(node), std::string(key) + " is wrong; expected " + expected);
  }

  void read_voters(const toml::table& root) {
    const auto& node = require(root, "voter", "three or five tables [[voter]]");
    if (!node.is_array_of_tables() || (node.as_array()->size() != 3 && node.as_array()->size() != 5)) {
      fail(line(node), "voter is wrong; expected three or five tables [[voter]]");
    }
    std::set<std::string> names;
    std::set<uint32_t> ids;
    for (const auto& item : *node.as_array()) {
      const toml::table& table = *item.as_table();
      check_keys(table, {"name", "id", "address"});
      reg::Voter voter;
      voter.name = read_name(table);
      voter.slot = static_cast<uint32_t>(read_integer(table, "id", 1, 65535));
      if (!names.insert(voter.name).second) fail(line(table), "voter '" + voter.name + "' is given twice");
      if (!ids.insert(voter.slot).second)
        fail(line(table), "id " + std::to_string(voter.slot) + " is given twice");
      const bool own_name = voter.name == out_.node.name, own_id = voter.slot == out_.node.slot;
      if (own_name != own_id) {
        fail(line(table), "voter '" + voter.name + "' has id " + std::to_string(voter.slot) +
                              ", and this relay is '" + out_.node.name + "' with id " +
                              std::to_string(out_.node.slot) + "; expected both the same or both unlike");
      }
      out_.voters[voter.name] = read_address(table, "address");
      out_.node.voters.push_back(std::move(voter));
    }
  }

  void read_timing(const toml::table& table) {
    check_keys(table, {"beat_ms", "lease_ms", "dead_ms", "election_ms", "heartbeat_ms", "confirm_ms",
                       "settle_ms", "propose_ms", "clock_slack_ms"});
    reg::NodeOptions& node = out_.node;
    const auto set = [&](const char* key, auto& to, int64_t unit = 1) {
      using Number = std::remove_reference_t<decltype(to)>;
      if (table.contains(key)) to = static_cast<Number>(read_integer(table, key, 10, 600'000) * unit);
    };
    set("beat_ms", node.relay_heartbeat_ms);
    set("lease_ms", node.lease_ms);
    set("dead_ms", node.member_timeout_ms);
    set("election_ms", node.raft.election_timeout_ms);
    set("heartbeat_ms", node.raft.heartbeat_interval_ms);
    set("confirm_ms", node.confirm_timeout_ms);
    set("settle_ms", node.bootstrap_delay_ms);
    set("propose_ms", node.propose_timeout_ms);
    set("clock_slack_ms", node.clock_slack_us, 1000);
  }

  void read_bounds(const toml::table& table) {
    check_keys(table, {"share_factor", "most_moved", "zones_apart", "guard_s", "rollout_s", "members",
                       "snapshot_every"});
    reg::StateMachineRules& rules = out_.node.rules;
    if (table.contains("share_factor"))
      rules.map_limits.share_factor = read_real(table, "share_factor", 1, 1000);
    if (table.contains("most_moved")) rules.map_limits.max_moved_share = read_real(table, "most_moved", 0, 1);
    if (const auto* apart = table.get("zones_apart")) {
      const auto value = apart->value_exact<bool>();
      if (!value) fail(line(*apart), "zones_apart is wrong; expected true or false");
      rules.map_limits.require_two_zones = *value;
    }
    if (table.contains("guard_s")) rules.guard_us = read_integer(table, "guard_s", 0, 86'400) * 1'000'000;
    if (table.contains("rollout_s"))
      rules.rollout_timeout_us = read_integer(table, "rollout_s", 1, 86'400) * 1'000'000;
    if (table.contains("members"))
      rules.max_members = static_cast<size_t>(read_integer(table, "members", 1, 4096));
    if (table.contains("snapshot_every")) {
      out_.node.raft.snapshot_interval =
          static_cast<unsigned>(read_integer(table, "snapshot_every", 4, 1'000'000));
    }
  }

  // Relations between time-outs that the safety of leases, or any progress, depends on.
  void check_consistency(const toml::table& root) const {
    const reg::NodeOptions& node = out_.node;
    const auto* timing = root.get("timing");
    const int at = timing == nullptr ? 1 : line(*timing);
    if (node.lease_ms < 3 * node.relay_heartbeat_ms)
      fail(at, "lease_ms is too short; expected at least three beats");
    if (node.member_timeout_ms * 10 < node.lease_ms * 12)
      fail(at, "dead_ms is too short; expected 1.2 times lease_ms or more");
    if (node.raft.election_timeout_ms < 2 * node.relay_heartbeat_ms)
      fail(at, "election_ms is too short; expected at least two beats");
    if (node.raft.heartbeat_interval_ms * 2 > node.raft.election_timeout_ms) {
      fail(at, "heartbeat_ms is too long; expected at most half of election_ms");
    }
  }

  std::string file_;
  Config out_;
};

}  // namespace

Config parse_config(const std::string& toml, const std::string& file) { return Parser(file).parse(toml); }

Config load_config(const std::filesystem::path& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) throw std::invalid_argument(file.string() + ":1: cannot be read; expected a fleet.toml");
  return parse_config({std::istreambuf_iterator<char>(in), {}}, file.string());
}

}  // namespace umberhoist::fleet

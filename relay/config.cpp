#include "config.h"

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace firspool::relay {
namespace {

using nlohmann::json;

constexpr double kDefaultMemoryMb = 192;  // the least that the platform gives

// Keys that are not shared by the relays of a fleet.
const char* const kOwnKeys[] = {"name", "listen", "discovery", "seed", "known", "fleet"};

std::string scalar_text(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

void flatten_into(const json& value, const std::string& path, std::string& out) {
  const std::string prefix = path.empty() ? "" : path + ".";
  if (value.is_object()) {
    for (const auto& [key, child] : value.items()) flatten_into(child, prefix + key, out);
  } else if (value.is_array() && !value.empty() && value.front().is_structured()) {
    out += prefix + "count=" + std::to_string(value.size()) + "\n";
    for (size_t i = 0; i < value.size(); ++i) flatten_into(value[i], prefix + std::to_string(i), out);
  } else if (value.is_array()) {
    std::string list;
    for (const json& item : value) list += (list.empty() ? "" : ",") + scalar_text(item);
    out += path + "=" + list + "\n";
  } else {
    out += path + "=" + scalar_text(value) + "\n";
  }
}

std::string required_variable(const char* variable) {
  const char* value = std::getenv(variable);
  if (value == nullptr || *value == '\0') {
    throw std::invalid_argument(std::string("environment variable ") + variable + " is not set");
  }
  return value;
}

}  // namespace

std::string flatten(const json& settings) {
  std::string out;
  flatten_into(settings, "", out);
  return out;
}

Config parse_config(const std::string& text, const std::string& state_folder) {
  const json root = json::parse(text);
  Config out;
  out.state_folder = state_folder;
  out.name = root.at("name").get<std::string>();
  out.listen = parse_address(root.at("listen").get<std::string>());
  out.discovery = parse_address(root.at("discovery").get<std::string>());
  out.seed = std::stoull(root.at("seed").get<std::string>(), nullptr, 16);
  const json& limits = root.at("limits");
  out.max_sockets = limits.at("sockets").get<size_t>();
  const double disk_mb = limits.at("disk_mb").get<double>();
  if (out.max_sockets < 64) throw std::invalid_argument("limits.sockets is too small; expected 64 or more");
  if (!(disk_mb > 0 && disk_mb < 1e6))
    throw std::invalid_argument("limits.disk_mb is out of range; expected more than 0 and under 1000000");
  out.max_disk_bytes = static_cast<size_t>(disk_mb * 1e6);
  const double memory_mb = limits.value("memory_mb", kDefaultMemoryMb);
  if (!(memory_mb > 0 && memory_mb < 1e6))
    throw std::invalid_argument("limits.memory_mb is out of range; expected more than 0 and under 1000000");
  out.max_memory_bytes = static_cast<size_t>(memory_mb * 1e6);
  const std::string durability = root.value("durability", "process");
  if (durability != "process" && durability != "group") {
    throw std::invalid_argument("durability is '" + durability + "'; expected process or group");
  }
  if (durability == "group") out.durability = umberhoist::state::Durability::kGroupCommit;
  const json& settings = root.at("settings");
  out.settings = parse_settings(flatten(settings));
  out.list_names.zones = settings.at("azs").get<std::vector<std::string>>();
  out.list_names.kinds = settings.at("kinds").get<std::vector<std::string>>();
  const json report = settings.value("telemetry", json::object());
  out.report_fields = report.value("fields", std::vector<std::string>{});
  out.known_hosts = parse_list(root.at("known"), out.list_names);
  if (root.contains("fleet") && root["fleet"].is_string()) out.fleet_file = root["fleet"].get<std::string>();
  out.source_text = text;
  out.common_settings = common_settings(text);
  return out;
}

std::string common_settings(const std::string& text) {
  json common = json::parse(text);
  for (const char* own : kOwnKeys) common.erase(own);
  return common.dump();
}

Config with_common_settings(const Config& own, const std::string& common) {
  json merged = json::parse(own.source_text);
  if (common.empty()) return parse_config(own.source_text, own.state_folder);
  json own_part = json::object();
  for (const char* key : kOwnKeys) {
    if (merged.contains(key)) own_part[key] = merged[key];
  }
  merged = json::parse(common);
  merged.update(own_part);
  return parse_config(merged.dump(), own.state_folder);
}

Config load_config() {
  const std::string path = required_variable("PROXY_CONFIG");
  const std::string state = required_variable("PROXY_STATE");
  std::ifstream file(path, std::ios::binary);
  if (!file) throw std::invalid_argument("cannot read configuration file " + path);
  return parse_config({std::istreambuf_iterator<char>(file), {}}, state);
}

}  // namespace firspool::relay

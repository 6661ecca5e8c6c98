// What a relay is told at its start: environment and JSON.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "directory.h"
#include "state/journal.h"

namespace firspool::relay {

struct Config {
  std::string name;
  tcp::endpoint listen;
  tcp::endpoint discovery;
  std::string state_folder;  // the folder that lasts
  uint64_t seed = 0;
  size_t max_sockets = 1024;
  size_t max_disk_bytes = 0;
  umberhoist::state::Durability durability = umberhoist::state::Durability::kProcess;
  Settings settings;
  ListNames list_names;
  std::vector<std::string> report_fields;
  HostList known_hosts;
  std::string fleet_file;       // file that tells of the other relays; empty: none
  std::string source_text;      // the whole of it, as it was read
  std::string common_settings;  // what has to be alike at all relays of a fleet
};

// The settings as the path=value lines that parse_settings reads.
std::string flatten(const nlohmann::json& settings);

// Throws std::exception with one line that says what is missing or unreadable.
Config parse_config(const std::string& text, const std::string& state_folder);
Config load_config();

// What has to be alike at all relays of a fleet, of a whole configuration's JSON. Throws std::exception.
std::string common_settings(const std::string& text);

// The own configuration with a fleet's common part in place of its own. Empty: the own one as it was read.
Config with_common_settings(const Config& own, const std::string& common);

}  // namespace firspool::relay

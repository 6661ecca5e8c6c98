// Configuration of a relay: environment variables and a JSON file.
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
  std::string state_folder;  // folder that survives restarts
  uint64_t seed = 0;
  size_t max_sockets = 1024;
  size_t max_disk_bytes = 0;
  size_t max_memory_bytes = 0;
  umberhoist::state::Durability durability = umberhoist::state::Durability::kProcess;
  Settings settings;
  ListNames list_names;
  std::vector<std::string> report_fields;
  HostList known_hosts;
  std::string fleet_file;       // the fleet's configuration file; empty: no fleet
  std::string source_text;      // the JSON text as read
  std::string common_settings;  // JSON of the settings that all relays of a fleet share
};

// Converts settings to the path=value lines that parse_settings reads.
std::string flatten(const nlohmann::json& settings);

// Throws std::exception with one line that names what is missing or malformed.
Config parse_config(const std::string& text, const std::string& state_folder);
Config load_config();

// Returns the part of a configuration that all relays of a fleet share. Throws std::exception if the JSON is
// malformed.
std::string common_settings(const std::string& text);

// Returns a relay's own configuration with the common settings of its fleet. Empty `common`: the own
// configuration as read.
Config with_common_settings(const Config& own, const std::string& common);

}  // namespace firspool::relay

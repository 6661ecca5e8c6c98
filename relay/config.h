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
  std::string state;  // the folder that lasts
  uint64_t seed = 0;
  size_t sockets = 1024;
  size_t disk_bytes = 0;
  umberhoist::state::Durability durability = umberhoist::state::Durability::kProcess;
  Settings settings;
  ListNames names;
  std::vector<std::string> report_fields;
  HostList known;
};

// The settings as the path=value lines that parse_settings reads.
std::string flatten(const nlohmann::json& settings);

// Throws std::exception with one line that says what is missing or unreadable.
Config parse_config(const std::string& text, const std::string& state);
Config load_config();

}  // namespace firspool::relay

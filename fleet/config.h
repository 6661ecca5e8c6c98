// fleet.toml: who this relay is among the others, and every time-out and cap of what they share.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <filesystem>
#include <map>
#include <string>

#include "register/node.h"

namespace umberhoist::fleet {

struct Config {
  reg::NodeOptions node;
  boost::asio::ip::tcp::endpoint listen;
  std::map<std::string, boost::asio::ip::tcp::endpoint> voters;
  std::filesystem::path folder;
  size_t max_connections = 64;  // taken on at once; one for each relay, and for an operator's commands
  size_t max_queued_bytes =
      4'194'304;  // bytes waiting for one relay; beyond it the oldest frames are dropped
};

// Throws std::invalid_argument with one line: file, line, what was expected.
Config parse_config(const std::string& toml, const std::string& file);
Config load_config(const std::filesystem::path& file);

}  // namespace umberhoist::fleet

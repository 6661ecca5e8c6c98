// fleet.toml: this relay's identity in the fleet, the voters, and the time-outs and limits of the register.
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
  size_t max_connections = 64;          // accepted at the same time: from other relays and umberhoistctl
  size_t max_queued_bytes = 4'194'304;  // waiting for one relay; above it the oldest frames are dropped
};

// Throw std::invalid_argument with one line of text: file, line, what was expected.
Config parse_config(const std::string& toml, const std::string& file);
Config load_config(const std::filesystem::path& file);

}  // namespace umberhoist::fleet

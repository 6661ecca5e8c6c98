// The list of hosts as discovery tells it, and the handles under which the module knows them.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "firspool/policy.h"

namespace firspool::relay {

using tcp = boost::asio::ip::tcp;

struct ListedHost {
  std::string id;
  tcp::endpoint address;
  Member member;     // its endpoint is filled in by the Directory
  std::string text;  // the entry as it came
};

struct HostList {
  int64_t revision = 0;
  bool complete = false;
  std::vector<ListedHost> hosts;
};

// The names that a list uses for zones and kinds, in the order of their numbers.
struct ListNames {
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
};

// "127.0.0.1:80"; throws std::invalid_argument.
tcp::endpoint parse_address(const std::string& text);

// Throws std::exception on what is not a list.
HostList parse_list(const nlohmann::json& json, const ListNames& names);

// A machine that takes over another's address has an id of its own, so handles stand for ids, not addresses.
class Directory {
 public:
  // Takes a list over; returns what to tell the module, or nothing where the list is older than what is
  // known.
  std::optional<MembersChanged> apply(const HostList& list);

  const ListedHost* find(const Endpoint& endpoint) const;
  bool active(const Endpoint& endpoint) const;
  int64_t revision() const { return revision_; }
  const std::map<Endpoint, ListedHost>& hosts() const { return hosts_; }

 private:
  int64_t revision_ = -1;
  std::map<std::string, Endpoint> handles_;
  std::map<Endpoint, ListedHost> hosts_;
};

}  // namespace firspool::relay

// The list of hosts as discovery tells it, and the handles under which the module knows them.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "firspool/policy.h"

namespace firspool::relay {

using tcp = boost::asio::ip::tcp;

struct ListedHost {
  std::string id;
  tcp::endpoint address;
  Member member;          // its endpoint is filled in by the Directory
  Time up_since = 0;      // wall clock; 0: long ago
  std::string json_text;  // the entry as it came
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
  // Takes a list over; returns what to tell the module, if it changes anything. An agent may be behind what
  // was told before: its list then only moves hosts on, and brings none back.
  std::optional<MembersChanged> apply(const HostList& list, Time wall);

  const ListedHost* find(const Endpoint& endpoint) const;
  bool is_active(const Endpoint& endpoint) const;
  bool is_known(int destination) const {
    return destinations_.contains(destination);
  }  // had a host at any time
  void add_destination(int destination) { destinations_.insert(destination); }
  int64_t revision() const { return revision_; }
  const std::map<Endpoint, ListedHost>& hosts() const { return hosts_; }
  const std::set<int>& destinations() const { return destinations_; }

  // For a host that is gone and has nothing out on it any more. Its id is kept for a while, against old
  // lists.
  void erase(const Endpoint& endpoint);
  const std::map<std::string, Time>& removed() const { return removed_; }
  void add_removed(const std::string& id, Time wall) { removed_[id] = wall; }
  std::vector<std::string> prune_removed(Time wall);  // the ids that are kept no longer

 private:
  bool is_outdated(const ListedHost& listed) const;
  void update_host(const ListedHost& listed, Time wall, std::vector<Member>& changed);

  int64_t revision_ = -1;
  uint32_t last_handle_ = 0;
  std::map<std::string, Endpoint> handles_by_id_;
  std::map<Endpoint, ListedHost> hosts_;
  std::map<std::string, Time> removed_;  // when that was told
  std::set<int> destinations_;
};

}  // namespace firspool::relay

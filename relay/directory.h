// The host list of discovery, and the handles under which the module knows the hosts.
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
  Member member;           // its endpoint is set by the Directory
  Time up_since = 0;       // wall clock; 0: long ago
  bool restarted = false;  // it was known before its present process started; set by the Directory
  std::string json_text;   // the JSON entry as received
};

struct HostList {
  int64_t revision = 0;
  bool complete = false;
  std::vector<ListedHost> hosts;
};

// Names of zones and kinds in a list; their positions are the numbers that the module uses.
struct ListNames {
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
};

// "127.0.0.1:80"; throws std::invalid_argument.
tcp::endpoint parse_address(const std::string& text);

// Throws std::exception if the JSON is no valid list.
HostList parse_list(const nlohmann::json& json, const ListNames& names);
// The same from text. The entries are parsed one by one, so that the memory taken is little more than that of
// the result.
HostList parse_list_text(const std::string& text, const ListNames& names);

// How many entries a Directory holds.
struct DirectorySize {
  size_t hosts = 0;
  size_t removed = 0;  // ids alone
  size_t destinations = 0;
};

// The known hosts. A handle stands for one host at one place: a host id that is listed with another address,
// destination or kind gets a new handle, and the former one counts as removed. Of two hosts at one address
// the one that started later is there, and the other counts as removed.
class Directory {
 public:
  // Applies a list and returns the change for the module, if there is any. An agent may send a list older
  // than the last one: it then may only advance the state of hosts and never restores one.
  std::optional<MembersChanged> apply(const HostList& list, Time wall);
  DirectorySize size() const { return {hosts_.size(), removed_.size(), destinations_.size()}; }
  // The largest size that it may have once `list` is applied.
  DirectorySize size_after(const HostList& list) const;
  // Destinations that certainly have no host once `list` is applied. Those that have had none for longest
  // come first.
  std::vector<int> unused_destinations_after(const HostList& list) const;
  void forget_destination(int destination) { destinations_.erase(destination); }

  const ListedHost* find(const Endpoint& endpoint) const;
  const ListedHost* find_by_id(const std::string& id) const;
  // Whether the id of the host has a newer handle.
  bool is_superseded(const ListedHost& host) const;
  // Destinations of which each active host was restarted within `warm_up` before `wall`, with the time at
  // which the first of them started. Each is returned once, after the list that told of the last restart.
  std::map<int, Time> take_cold_destinations(Time wall, Time warm_up);
  bool is_active(const Endpoint& endpoint) const;
  // Whether the destination has had a host at some time, and is not forgotten.
  bool is_known(int destination) const { return destinations_.contains(destination); }
  void add_destination(int destination) { destinations_.try_emplace(destination); }
  int64_t revision() const { return revision_; }
  const std::map<Endpoint, ListedHost>& hosts() const { return hosts_; }
  std::vector<int> destinations() const;
  size_t address_count() const { return handles_by_address_.size(); }

  // For a removed host without calls in flight. Its id is kept for a while, as older lists may still contain
  // it.
  void erase(const Endpoint& endpoint);
  const std::map<std::string, Time>& removed() const { return removed_; }
  void add_removed(const std::string& id, Time wall) { removed_[id] = wall; }
  std::vector<std::string> prune_removed(Time wall);  // returns the ids dropped
  // The known hosts are all that there were at `revision`: from now on, a list of an earlier revision adds no
  // unknown host, unless it started later than `wall`.
  void set_complete_at(int64_t revision, Time wall);

 private:
  bool is_outdated(const ListedHost& listed, int64_t list_revision) const;
  bool yields_address(const ListedHost& listed, std::vector<Member>& changed);
  void supersede(const Endpoint& handle, std::vector<Member>& changed);
  void add_removal(const ListedHost& host, Time wall);
  void release_address(const ListedHost& host);
  void update_host(const ListedHost& listed, Time wall, std::vector<Member>& changed);

  int64_t revision_ = -1;
  uint32_t last_handle_ = 0;
  std::map<std::string, Endpoint> handles_by_id_;
  std::map<Endpoint, ListedHost> hosts_;
  std::map<tcp::endpoint, Endpoint> handles_by_address_;  // of the host that started last
  std::map<std::string, Time> removed_;                   // by id: wall-clock time of the removal
  // An unknown host in a list of an earlier revision is one that was removed and is no longer kept in
  // removed_, unless it started later than complete_at_ (wall clock).
  int64_t complete_at_revision_ = -1;
  Time complete_at_ = 0;
  std::map<int, uint64_t> destinations_;  // with the number of the list that last told of a host
  uint64_t lists_applied_ = 0;
  std::set<int> restarted_destinations_;  // a host of them was restarted since take_cold_destinations()
};

}  // namespace firspool::relay

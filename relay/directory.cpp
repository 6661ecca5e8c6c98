#include "directory.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace firspool::relay {
namespace {

constexpr Time kRemovedRetention = 120'000'000;  // no agent is further behind than this

int index_of(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

}  // namespace

tcp::endpoint parse_address(const std::string& text) {
  const size_t colon = text.rfind(':');
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  if (colon == std::string::npos || error || std::from_chars(text.data() + colon + 1, end, port).ptr != end) {
    throw std::invalid_argument("'" + text + "' is not an address with a port");
  }
  return {address, port};
}

namespace {

ListedHost parse_host(const nlohmann::json& entry, const ListNames& names) {
  ListedHost host;
  host.id = entry.at("id").get<std::string>();
  host.address = parse_address(entry.at("host_port").get<std::string>());
  const auto phase = entry.at("phase").get<std::string>();
  host.member.state = phase == "active"    ? HostState::kReady
                      : phase == "leaving" ? HostState::kDraining
                                           : HostState::kRemoved;
  host.member.zone = index_of(names.zones, entry.at("locality").get<std::string>());
  host.member.kind = index_of(names.kinds, entry.at("flavor").get<std::string>());
  host.member.destination = entry.at("cell").get<int>();
  host.member.weight = entry.value("size", 0.0);
  host.up_since = 1000 * entry.value("up_since_ms", Time{0});
  host.json_text = entry.dump();
  return host;
}

}  // namespace

HostList parse_list(const nlohmann::json& json, const ListNames& names) {
  HostList out;
  out.revision = json.at("revision").get<int64_t>();
  out.complete = json.at("complete").get<bool>();
  for (const auto& entry : json.at("members")) out.hosts.push_back(parse_host(entry, names));
  return out;
}

HostList parse_list_text(const std::string& text, const ListNames& names) {
  using Event = nlohmann::json::parse_event_t;
  constexpr int kFieldDepth = 1;  // of the names in the list, as the parser counts
  constexpr int kEntryDepth = 2;  // of the objects in its array of members
  bool in_members = false;
  std::vector<ListedHost> hosts;
  const auto take_entry = [&](int depth, Event event, nlohmann::json& value) {
    if (depth == kFieldDepth && event == Event::key) in_members = value == "members";
    if (depth != kEntryDepth || event != Event::object_end || !in_members) return true;
    hosts.push_back(parse_host(value, names));
    return false;  // the parser drops it
  };
  HostList out = parse_list(nlohmann::json::parse(text, take_entry), names);
  out.hosts = std::move(hosts);
  return out;
}

// Whether an entry of an older list would revert a newer state. A removed id is accepted again only with a
// later start time.
bool Directory::is_outdated(const ListedHost& listed, int64_t list_revision) const {
  const auto removed = removed_.find(listed.id);
  if (removed != removed_.end()) return listed.up_since <= removed->second;
  const auto handle = handles_by_id_.find(listed.id);
  if (handle != handles_by_id_.end()) {
    const ListedHost& known = hosts_.at(handle->second);
    return listed.up_since < known.up_since || known.member.state >= listed.member.state;
  }
  return list_revision < complete_at_revision_ && listed.up_since <= complete_at_;
}

// No host is removed before it starts, whatever the wall clock of this machine says.
void Directory::add_removal(const ListedHost& host, Time wall) {
  if (const auto it = destinations_.find(host.member.destination); it != destinations_.end())
    it->second = lists_applied_;
  removed_.try_emplace(host.id, std::max(wall, host.up_since));
}

void Directory::release_address(const ListedHost& host) {
  const auto handle = handles_by_address_.find(host.address);
  if (handle != handles_by_address_.end() && handle->second == host.member.endpoint)
    handles_by_address_.erase(handle);
}

// The calls in flight at the former place keep their handle until they end.
void Directory::supersede(const Endpoint& handle, std::vector<Member>& changed) {
  ListedHost& host = hosts_.at(handle);
  host.member.state = HostState::kRemoved;
  changed.push_back(host.member);
  destinations_[host.member.destination] = lists_applied_;
  handles_by_id_.erase(host.id);
}

// Whether a host that started later is at the listed address. One that started earlier is removed.
bool Directory::yields_address(const ListedHost& listed, std::vector<Member>& changed) {
  const auto at_address = handles_by_address_.find(listed.address);
  if (at_address == handles_by_address_.end()) return false;
  const auto known = hosts_.find(at_address->second);
  if (known == hosts_.end()) return false;
  ListedHost& other = known->second;
  if (other.id == listed.id || other.member.state == HostState::kRemoved) return false;
  if (other.up_since > listed.up_since) return true;
  if (other.up_since < listed.up_since) {
    other.member.state = HostState::kRemoved;
    add_removal(other, listed.up_since);
    changed.push_back(other.member);
  }
  return false;
}

void Directory::update_host(const ListedHost& listed, Time wall, std::vector<Member>& changed) {
  bool removed = listed.member.state == HostState::kRemoved;
  auto handle = handles_by_id_.find(listed.id);
  if (!removed && yields_address(listed, changed)) {
    if (handle == handles_by_id_.end()) return;
    removed = true;
  }
  bool restarted = false;
  if (handle != handles_by_id_.end()) {
    const ListedHost& known = hosts_.at(handle->second);
    if (known.up_since < listed.up_since) restarted_destinations_.insert(listed.member.destination);
    restarted = known.up_since < listed.up_since || (known.restarted && known.up_since == listed.up_since);
    const bool elsewhere = known.address != listed.address || known.member.kind != listed.member.kind ||
                           known.member.destination != listed.member.destination;
    if (elsewhere && !removed) {
      supersede(handle->second, changed);
      handle = handles_by_id_.end();
    }
  }
  if (handle == handles_by_id_.end()) {
    if (removed) return add_removal(listed, wall);
    handle = handles_by_id_.emplace(listed.id, Endpoint{++last_handle_, 0}).first;
  }
  ListedHost& host = hosts_[handle->second];
  if (host.address != listed.address) release_address(host);
  host = listed;
  host.restarted = restarted;
  host.member.endpoint = handle->second;
  if (removed) host.member.state = HostState::kRemoved;
  if (!removed) handles_by_address_[host.address] = handle->second;
  changed.push_back(host.member);
  destinations_[host.member.destination] = lists_applied_;
  if (removed) {
    add_removal(listed, wall);
  } else {
    removed_.erase(listed.id);
  }
}

std::optional<MembersChanged> Directory::apply(const HostList& list, Time wall) {
  const bool is_older = list.revision < revision_;
  ++lists_applied_;
  revision_ = std::max(revision_, list.revision);
  auto members = std::make_shared<std::vector<Member>>();
  if (list.complete && !is_older) {
    std::set<std::string> listed;
    for (const ListedHost& host : list.hosts) listed.insert(host.id);
    for (auto& [handle, host] : hosts_) {
      if (listed.contains(host.id) || host.member.state == HostState::kRemoved) continue;
      host.member.state = HostState::kRemoved;
      add_removal(host, wall);
      members->push_back(host.member);
    }
  }
  for (const ListedHost& listed : list.hosts) {
    if (!is_older || !is_outdated(listed, list.revision)) update_host(listed, wall, *members);
  }
  if (members->empty()) return {};
  MembersChanged out;
  out.form = MembersChanged::Form::kDelta;
  out.members = std::move(members);
  return out;
}

DirectorySize Directory::size_after(const HostList& list) const {
  const bool replaces_all = list.complete && list.revision >= revision_;
  DirectorySize out = size();
  if (replaces_all) {
    out.removed += out.hosts;
    out.hosts = 0;
  }
  std::set<int> new_destinations;
  for (const ListedHost& host : list.hosts) {
    const bool known = handles_by_id_.contains(host.id);
    const bool may_be_held = known || host.member.state != HostState::kRemoved;
    if (may_be_held && !is_known(host.member.destination)) new_destinations.insert(host.member.destination);
    if (known && !replaces_all) continue;
    if (known && out.removed > 0) --out.removed;  // it stays, or is counted below
    ++(host.member.state == HostState::kRemoved ? out.removed : out.hosts);
  }
  out.destinations += new_destinations.size();
  return out;
}

std::vector<int> Directory::unused_destinations_after(const HostList& list) const {
  const bool replaces_all = list.complete && list.revision >= revision_;
  std::set<int> used;
  for (const ListedHost& host : list.hosts) used.insert(host.member.destination);
  if (!replaces_all) {
    for (const auto& [handle, host] : hosts_) used.insert(host.member.destination);
  }
  std::vector<std::pair<uint64_t, int>> unused;
  for (const auto& [destination, last_listed] : destinations_) {
    if (!used.contains(destination)) unused.emplace_back(last_listed, destination);
  }
  std::sort(unused.begin(), unused.end());
  std::vector<int> out;
  for (const auto& [last_listed, destination] : unused) out.push_back(destination);
  return out;
}

std::vector<int> Directory::destinations() const {
  std::vector<int> out;
  for (const auto& [destination, last_listed] : destinations_) out.push_back(destination);
  return out;
}

void Directory::erase(const Endpoint& endpoint) {
  const auto it = hosts_.find(endpoint);
  if (it == hosts_.end()) return;
  const auto by_id = handles_by_id_.find(it->second.id);
  if (by_id != handles_by_id_.end() && by_id->second == endpoint) handles_by_id_.erase(by_id);
  release_address(it->second);
  hosts_.erase(it);
}

std::vector<std::string> Directory::prune_removed(Time wall) {
  std::vector<std::string> out;
  std::erase_if(removed_, [&](const auto& entry) {
    if (wall - entry.second < kRemovedRetention || handles_by_id_.contains(entry.first)) return false;
    out.push_back(entry.first);
    set_complete_at(revision_, entry.second);
    return true;
  });
  return out;
}

void Directory::set_complete_at(int64_t revision, Time wall) {
  complete_at_revision_ = std::max(complete_at_revision_, revision);
  complete_at_ = std::max(complete_at_, wall);
}

const ListedHost* Directory::find(const Endpoint& endpoint) const {
  const auto it = hosts_.find(endpoint);
  return it == hosts_.end() ? nullptr : &it->second;
}

const ListedHost* Directory::find_by_id(const std::string& id) const {
  const auto it = handles_by_id_.find(id);
  return it == handles_by_id_.end() ? nullptr : find(it->second);
}

bool Directory::is_superseded(const ListedHost& host) const {
  const auto it = handles_by_id_.find(host.id);
  return it != handles_by_id_.end() && it->second != host.member.endpoint;
}

std::map<int, Time> Directory::take_cold_destinations(Time wall, Time warm_up) {
  std::map<int, Time> started;  // 0: a host of it is warm
  const std::set<int> candidates = std::exchange(restarted_destinations_, {});
  if (candidates.empty()) return started;
  for (const auto& [handle, host] : hosts_) {
    if (host.member.state != HostState::kReady || !candidates.contains(host.member.destination)) continue;
    const Time at = host.restarted && wall - host.up_since < warm_up ? host.up_since : 0;
    const auto [it, is_first] = started.try_emplace(host.member.destination, at);
    if (!is_first) it->second = std::min(it->second, at);
  }
  std::erase_if(started, [](const auto& destination) { return destination.second == 0; });
  return started;
}

bool Directory::is_active(const Endpoint& endpoint) const {
  const ListedHost* host = find(endpoint);
  return host != nullptr && host->member.state == HostState::kReady;
}

}  // namespace firspool::relay

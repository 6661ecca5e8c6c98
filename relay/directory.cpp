#include "directory.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace firspool::relay {
namespace {

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

HostList parse_list(const nlohmann::json& json, const ListNames& names) {
  HostList out;
  out.revision = json.at("revision").get<int64_t>();
  out.complete = json.at("complete").get<bool>();
  for (const auto& entry : json.at("members")) {
    ListedHost host;
    host.id = entry.at("id").get<std::string>();
    host.address = parse_address(entry.at("host_port").get<std::string>());
    const auto phase = entry.at("phase").get<std::string>();
    host.member.listing = phase == "active"    ? Listing::kReady
                          : phase == "leaving" ? Listing::kDraining
                                               : Listing::kGone;
    host.member.zone = index_of(names.zones, entry.at("locality").get<std::string>());
    host.member.kind = index_of(names.kinds, entry.at("flavor").get<std::string>());
    host.member.destination = entry.at("cell").get<int>();
    host.member.weight = entry.value("size", 0.0);
    host.text = entry.dump();
    out.hosts.push_back(std::move(host));
  }
  return out;
}

std::optional<MembersChanged> Directory::apply(const HostList& list) {
  if (list.revision < revision_ || (list.revision == revision_ && !list.complete)) return {};
  revision_ = list.revision;
  if (list.complete) {
    for (auto& [handle, host] : hosts_) host.member.listing = Listing::kGone;
  }
  auto members = std::make_shared<std::vector<Member>>();
  for (const ListedHost& listed : list.hosts) {
    const auto next = static_cast<uint32_t>(handles_.size() + 1);
    const Endpoint handle = handles_.try_emplace(listed.id, Endpoint{next, 0}).first->second;
    ListedHost& host = hosts_[handle];
    host = listed;
    host.member.endpoint = handle;
    members->push_back(host.member);
  }
  MembersChanged out;
  out.form = list.complete ? MembersChanged::Form::kFull : MembersChanged::Form::kDelta;
  out.members = std::move(members);
  return out;
}

const ListedHost* Directory::find(const Endpoint& endpoint) const {
  const auto it = hosts_.find(endpoint);
  return it == hosts_.end() ? nullptr : &it->second;
}

bool Directory::active(const Endpoint& endpoint) const {
  const ListedHost* host = find(endpoint);
  return host != nullptr && host->member.listing == Listing::kReady;
}

}  // namespace firspool::relay

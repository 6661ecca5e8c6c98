// Stand-in for the discovery agent on a relay's machine: serves the list of endpoints and the chunked watch,
// and receives notices. It knows only the versions passed to apply_update(), which come as late as the
// scenario says.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "standins/witness.h"

namespace umberhoist::standins {

using tcp = boost::asio::ip::tcp;

struct ListEntry {
  int endpoint = 0;
  std::string id;
  std::string host_port;  // as seen by this relay
  std::string locality;
  std::string flavor;
  int cell = 0;
  HostState phase = HostState::kActive;
  double size = 1;
  int64_t up_since_ms = 0;
};

std::string entry_json(const ListEntry& entry);

// The agent replies at once. A relay that waited this long for the reply to a post may give the post up.
constexpr Time kMinReplyWait = 100 * kMillisecond;

class DiscoveryAgent {
 public:
  DiscoveryAgent(boost::asio::io_context& io, int relay, Observer& observer);
  ~DiscoveryAgent();

  std::string address() const;  // current address, "127.0.0.1:port"

  // Adds a version of the list with the entries that changed. Versions count from 1.
  void apply_update(const std::vector<ListEntry>& changed);
  // While silent, the agent answers only notices and writes nothing to watches.
  void set_silent(bool silent);
  // While on hold, notices are read but not answered, so that a process that ends meanwhile cannot know
  // whether they arrived.
  void hold_notice_replies(bool hold);
  // Moves to another port. The old one accepts no new connections; open ones are closed after `grace`.
  void move_to_new_port(Time grace);
  std::string full_list_json() const;  // {"revision":..,"complete":true,"members":[..]}
  size_t notice_count() const { return notice_count_; }

 private:
  class Connection;

  void listen();
  void accept();
  std::string changes_since(int64_t revision, std::vector<std::pair<int, HostState>>& notified) const;
  void push_changes();
  void send_heartbeat();

  boost::asio::io_context& io_;
  int relay_;
  Observer& observer_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer heartbeat_timer_;
  boost::asio::steady_timer grace_timer_;
  int64_t revision_ = 0;
  std::map<int, ListEntry> entries_;            // by endpoint, including removed ones
  std::map<int, int64_t> changed_in_revision_;  // by endpoint: version of its last change
  bool silent_ = false;
  bool holding_notice_replies_ = false;
  size_t notice_count_ = 0;
  std::set<std::shared_ptr<Connection>> connections_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace umberhoist::standins

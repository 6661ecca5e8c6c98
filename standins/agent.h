// The discovery agent on a relay's own machine: the list, the chunked watch, and the notices that end
// messages. What it has is what it was sent: `learn` gives it a version, late as the script has it.
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
  std::string host_port;  // as this relay sees it
  std::string locality;
  std::string flavor;
  int cell = 0;
  HostState phase = HostState::kActive;
  double size = 1;
  int64_t up_since_ms = 0;
};

std::string entry_json(const ListEntry& entry);

class DiscoveryAgent {
 public:
  DiscoveryAgent(boost::asio::io_context& io, int relay, Observer& witness);
  ~DiscoveryAgent();

  std::string address() const;  // "127.0.0.1:port", where it is now

  // One version more: the entries that changed. Versions count up from 1.
  void apply_update(const std::vector<ListEntry>& changed);
  // No answer but to notices, and no line on a watch, until it speaks again.
  void set_silent(bool muted);
  // Notices are read, and answered only when they are held no longer: a process that ends meanwhile cannot
  // know whether they arrived.
  void hold_notice_replies(bool hold);
  // To another port: the old one takes no new connection, and ends the open ones after `grace`.
  void move_to_new_port(Time grace);
  std::string full_list_json() const;  // {"revision":..,"complete":true,"members":[..]}
  size_t notice_count() const { return notices_; }

 private:
  class Connection;

  void listen();
  void accept();
  std::string changes_since(int64_t revision, std::vector<std::pair<int, HostState>>& told) const;
  void push();
  void beat();

  boost::asio::io_context& io_;
  int relay_;
  Observer& witness_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer beat_;
  boost::asio::steady_timer grace_;
  int64_t revision_ = 0;
  std::map<int, ListEntry> entries_;   // by endpoint; those that left too
  std::map<int, int64_t> changed_at_;  // the version of an entry's last change
  bool muted_ = false;
  bool holding_ = false;
  size_t notices_ = 0;
  std::set<std::shared_ptr<Connection>> connections_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace umberhoist::standins

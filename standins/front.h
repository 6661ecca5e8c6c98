// The clients of the relays, behind a front that deals their messages out: RESP2 as the protocol's page has
// it. Open loop: a message is handed in when its time has come, whatever became of others; connections are
// kept, and one more is opened when all are busy.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "standins/witness.h"

namespace umberhoist::standins {

using tcp = boost::asio::ip::tcp;

// MSG.PUT as one RESP2 array.
std::string put_request(uint64_t id, const std::string& facts, const std::string& body);

class LoadGenerator {
 public:
  struct Options {
    Time reply_timeout = 400 * kMillisecond;  // a client waits so long for an answer
    size_t max_idle_connections = 64;         // connections kept to each relay
  };
  // True: the relay's process is not running, or on its way to end.
  using IsDown = std::function<bool(int relay)>;

  LoadGenerator(boost::asio::io_context& io, std::vector<tcp::endpoint> relays, Options limits,
                Observer& witness, IsDown down);
  ~LoadGenerator();

  // Whether the front deals messages to it.
  void set_enabled(int relay, bool used);
  // The next one in turn; -1: none is in use.
  int pick_relay();
  // `facts` as in MSG.PUT: "c=...,d=...,dest=...".
  void submit(const Submission& handing, const std::string& facts, std::string body);
  // Answers once: true when it said +PONG, false when it did not within `patience`.
  void ping(int relay, std::function<void(bool)> answer);

  size_t connection_count() const { return connections_.size(); }
  size_t pending_replies() const { return waiting_; }
  uint64_t connections_opened() const { return opened_; }

 private:
  class Connection;

  void send(const Submission& handing, const std::string& request, uint64_t body, bool once_more);

  boost::asio::io_context& io_;
  std::vector<tcp::endpoint> relays_;
  std::vector<bool> used_;
  Options limits_;
  Observer& witness_;
  IsDown down_;
  size_t turn_ = 0;
  size_t waiting_ = 0;
  uint64_t opened_ = 0;
  std::vector<std::vector<std::shared_ptr<Connection>>> idle_;  // by relay, the last used last
  std::unordered_set<std::shared_ptr<Connection>> connections_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Clients that connect and say nothing, at a rate, each again when it was closed.
class IdleClients {
 public:
  IdleClients(boost::asio::io_context& io, tcp::endpoint relay, double per_second, Time until);
  ~IdleClients();

 private:
  void more();

  boost::asio::io_context& io_;
  tcp::endpoint relay_;
  Time gap_;
  Time next_;
  Time until_;
  boost::asio::steady_timer timer_;
  std::vector<std::shared_ptr<tcp::socket>> sockets_;
};

}  // namespace umberhoist::standins

// Load generator for the clients of the relays. Speaks RESP2 as the protocol page describes and spreads
// messages over the relays. It is an open loop: each message is submitted at its time, regardless of earlier
// replies. Connections are reused; a new one is opened when all are busy.
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

// Encodes MSG.PUT as one RESP2 array.
std::string put_request(uint64_t id, const std::string& attributes, const std::string& body);

class LoadGenerator {
 public:
  struct Options {
    Time reply_timeout = 400 * kMillisecond;  // time-out of a client for a reply
    size_t max_idle_connections = 64;         // idle connections kept open per relay
  };
  // True if the relay's process is not running or is shutting down.
  using IsDown = std::function<bool(int relay)>;

  LoadGenerator(boost::asio::io_context& io, std::vector<tcp::endpoint> relays, Options options,
                Observer& observer, IsDown is_down);
  ~LoadGenerator();

  // Sets whether pick_relay() may choose the relay.
  void set_enabled(int relay, bool enabled);
  // The next relay in round-robin order; -1 if none is in use.
  int pick_relay();
  // `attributes` is the list of MSG.PUT: "c=...,d=...,dest=...".
  void submit(const Submission& submission, const std::string& attributes, std::string body);
  // Calls back once: true if the relay replied +PONG, false if it did not within the client time-out.
  void ping(int relay, std::function<void(bool)> on_reply);

  size_t connection_count() const { return connections_.size(); }
  size_t pending_replies() const { return pending_replies_; }
  uint64_t connections_opened() const { return connections_opened_; }

 private:
  class Connection;

  void send(const Submission& submission, const std::string& request, uint64_t body, bool is_retry);

  boost::asio::io_context& io_;
  std::vector<tcp::endpoint> relays_;
  std::vector<bool> enabled_;
  Options options_;
  Observer& observer_;
  IsDown is_down_;
  size_t last_picked_ = 0;
  size_t pending_replies_ = 0;
  uint64_t connections_opened_ = 0;
  std::vector<std::vector<std::shared_ptr<Connection>>> idle_;  // by relay; the most recently used last
  std::unordered_set<std::shared_ptr<Connection>> connections_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Clients that connect at a fixed rate and send nothing; beyond a maximum the oldest connection is closed for
// each new one.
class IdleClients {
 public:
  IdleClients(boost::asio::io_context& io, tcp::endpoint relay, double connects_per_second, Time until);
  ~IdleClients();

 private:
  void open_connections();

  boost::asio::io_context& io_;
  tcp::endpoint relay_;
  Time interval_;
  Time next_connect_;
  Time until_;
  boost::asio::steady_timer timer_;
  std::vector<std::shared_ptr<tcp::socket>> sockets_;
};

}  // namespace umberhoist::standins

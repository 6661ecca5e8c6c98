// Partner endpoints on real sockets: HTTP/1.1 as the protocol's page has it. Each stands at a site, an
// address that every relay sees under a port of its own, so that it is known whose a connection is. A site
// may change hands: the endpoint that replaces one may come up at the address of the one that has gone.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "standins/partner.h"
#include "standins/witness.h"

namespace umberhoist::standins {

using tcp = boost::asio::ip::tcp;

struct EndpointSettings {
  int number = 0;  // of the endpoint, ever new
  int destination = 0;
  int max_connections = 0;  // that it takes; 0: no limit
};

class Endpoints {
 public:
  struct Options {
    int relays = 1;
    int max_calls_per_relay = 0;  // calls out at once of one relay; 0: no limit
    Time idle_timeout = 10 * kSecond;
    size_t max_body_bytes = 64 * 1024;
  };
  // What is to be said to a call of this message before it reaches its partner: 410, 504, or nothing.
  using EarlyStatus = std::function<std::optional<int>(uint64_t id)>;

  Endpoints(boost::asio::io_context& io, Options limits, Observer& witness, std::function<double()> chance,
            EarlyStatus gate);
  ~Endpoints();

  // Partners live as long as this object; endpoints belong to one.
  void add_partner(int destination, PartnerSettings settings);
  Partner& partner(int destination) { return *partners_.at(destination); }

  // Opens at a new site, or at the one of an endpoint that has gone. Throws boost::system::system_error.
  void open(const EndpointSettings& settings, std::optional<int> at_site_of = {});
  void drain(int endpoint);  // finishes what it has, turns new calls away
  void close(int endpoint);  // its machine is gone: connections are reset, new ones refused
  uint16_t port(int endpoint, int relay) const;
  bool is_open(int endpoint) const { return endpoints_.contains(endpoint); }

  // Of a whole partner; ends by itself only through `end_trouble`.
  void begin_fault(int destination, Fault trouble, Time until, double amount, bool tells_wait);
  void end_fault(int destination);
  // New connections to a partner come up late: none while it holds them, the rest when their SYN is sent
  // again. Open ones go on.
  void hold_connections(int destination, bool hold);

  size_t connection_count() const { return connections_; }
  size_t calls_in_flight() const { return calls_out_; }
  uint64_t call_count() const { return last_call_; }

 private:
  class Site;
  class Connection;
  struct Endpoint {
    EndpointSettings settings;
    Site* site = nullptr;
    bool draining = false;
    std::unordered_set<Connection*> connections;
  };

  Fault trouble_of(const Endpoint& endpoint) const;

  boost::asio::io_context& io_;
  Options limits_;
  Observer& witness_;
  std::function<double()> chance_;
  EarlyStatus gate_;
  std::map<int, std::unique_ptr<Partner>> partners_;
  std::map<int, std::unique_ptr<Endpoint>> endpoints_;
  std::map<int, Site*> sites_of_;  // also of those that have gone
  std::vector<std::unique_ptr<Site>> sites_;
  std::vector<int> out_of_;  // calls out, by relay
  size_t connections_ = 0;
  size_t calls_out_ = 0;
  uint64_t last_call_ = 0;
};

// A listener on 127.0.0.1 whose port stays its own while it does not listen. Throws system_error.
tcp::acceptor bind_acceptor(boost::asio::io_context& io);

}  // namespace umberhoist::standins

// Partner endpoints on real sockets, speaking HTTP/1.1 as the protocol page describes. Each endpoint has a
// site: an address with one port per relay, so that the port identifies the relay of a connection. A new
// endpoint may reuse the site of one that was closed.
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
  int number = 0;  // unique number of the endpoint, never reused
  int destination = 0;
  int max_connections = 0;  // maximum of open connections; 0: no limit
};

// Answers that are written a second time on their connection.
struct SecondAnswers {
  double share = 0;    // of the answers
  Time min_delay = 0;  // after the first time
  Time max_delay = 0;
  double part = 1;  // share of the bytes that are written again
};

class Endpoints {
 public:
  struct Options {
    int relays = 1;
    int max_calls_per_relay = 0;  // concurrent calls per relay; 0: no limit
    Time idle_timeout = 10 * kSecond;
    size_t max_body_bytes = 64 * 1024;
  };
  // Status to answer a call of this message with before it reaches its partner: 410, 504, or nothing.
  using EarlyStatus = std::function<std::optional<int>(uint64_t id)>;

  Endpoints(boost::asio::io_context& io, Options options, Observer& observer, std::function<double()> random,
            EarlyStatus early_status);
  ~Endpoints();

  // Partners live as long as this object. Each endpoint belongs to one partner.
  void add_partner(int destination, PartnerSettings settings);
  Partner& partner(int destination) { return *partners_.at(destination); }

  // Opens an endpoint at a new site, or at that of a closed endpoint. Throws boost::system::system_error.
  void open(const EndpointSettings& settings, std::optional<int> at_site_of = {});
  void drain(int endpoint);  // completes running calls and refuses new ones
  void close(int endpoint);  // the machine is lost: resets open connections and refuses new ones
  uint16_t port(int endpoint, int relay) const;
  bool is_open(int endpoint) const { return endpoints_.contains(endpoint); }

  // Begins a fault of a whole partner. It lasts until end_fault() is called, whatever `until` says.
  void begin_fault(int destination, Fault fault, Time until, double amount, bool sends_retry_after);
  void end_fault(int destination);
  void set_second_answers(int destination, SecondAnswers second_answers);
  // While on hold, no new connection to the partner is established; afterwards they are when their SYN is
  // sent again. Open connections are not affected.
  void hold_connections(int destination, bool hold);

  size_t connection_count() const { return connections_; }
  size_t calls_in_flight() const { return calls_in_flight_; }
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

  Fault fault_of(const Endpoint& endpoint) const;

  boost::asio::io_context& io_;
  Options options_;
  Observer& observer_;
  std::function<double()> random_;
  EarlyStatus early_status_;
  std::map<int, std::unique_ptr<Partner>> partners_;
  std::map<int, std::unique_ptr<Endpoint>> endpoints_;
  std::map<int, Site*> site_by_endpoint_;  // by endpoint, including closed ones
  std::vector<std::unique_ptr<Site>> sites_;
  std::map<int, SecondAnswers> second_answers_;  // by destination
  std::vector<int> calls_by_relay_;              // concurrent calls, by relay
  size_t connections_ = 0;
  size_t calls_in_flight_ = 0;
  uint64_t last_call_ = 0;
};

// A listener on 127.0.0.1 that keeps its port while it does not listen. Throws boost::system::system_error.
tcp::acceptor bind_acceptor(boost::asio::io_context& io);

}  // namespace umberhoist::standins

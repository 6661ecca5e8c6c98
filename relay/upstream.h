// HTTP/1.1 client for calls and probes to hosts, with keep-alive connections. It never retries on its own.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "directory.h"
#include "message.h"

namespace firspool::relay {

struct Call {
  uint64_t id = 0;  // of the message, as the module knows it
  int attempt = 0;
  Endpoint endpoint;
  tcp::endpoint address;
  std::string call_id;
  std::string key;
  std::string body;
  Time timeout = 0;
  Time start_by = 0;  // the first byte must be written by this time
};

class Upstream {
 public:
  struct Limits {
    Time connect_timeout = 0;
    Time idle_timeout = 0;         // after which a host closes an idle connection
    size_t max_connections = 256;  // in use or idle
  };
  // Called right before the first byte of a call. kNo ends the call as Outcome::kNotStarted; kLater defers it
  // until `retry_deferred`, which calls again.
  enum class StartDecision { kYes, kNo, kLater };
  using MayStart = std::function<StartDecision(const Call&)>;
  using MayProbe = std::function<bool(const Endpoint&)>;  // the same for a probe
  // `started`: MayStart allowed the call, so that bytes of it may have been written.
  using AttemptCallback = std::function<void(const AttemptEnded&, bool started)>;
  using ProbeCallback = std::function<void(const ProbeEnded&)>;

  Upstream(boost::asio::io_context& io, Limits limits, std::vector<std::string> report_fields,
           MayStart may_start, MayProbe may_probe, AttemptCallback on_attempt_ended,
           ProbeCallback on_probe_ended);
  ~Upstream();

  void call(Call call);
  void cancel(uint64_t id, int attempt);
  void probe(const Endpoint& endpoint, const tcp::endpoint& address);
  void close_idle(const Endpoint& endpoint);
  // Asks MayStart again for the calls that it deferred.
  void retry_deferred();
  size_t in_flight() const { return exchanges_.size(); }

 private:
  class Exchange;
  struct IdleConnection {
    tcp::socket socket;
    Time since = 0;
  };

  std::optional<IdleConnection> take_idle(const Endpoint& endpoint, const tcp::endpoint& address);
  void keep_idle(const Endpoint& endpoint, tcp::socket socket);
  void start(std::shared_ptr<Exchange> exchange);
  void close_oldest_idle();
  void sweep();

  boost::asio::io_context& io_;
  Limits limits_;
  std::vector<std::string> report_fields_;
  MayStart may_start_;
  MayProbe may_probe_;
  AttemptCallback on_attempt_ended_;
  ProbeCallback on_probe_ended_;
  boost::asio::steady_timer sweep_timer_;
  uint64_t last_probe_id_ = 0;
  size_t idle_count_ = 0;
  std::map<Endpoint, std::vector<IdleConnection>> idle_connections_;  // the most recently used last
  std::map<std::tuple<bool, uint64_t, int>, std::shared_ptr<Exchange>> exchanges_;
  std::vector<std::shared_ptr<Exchange>> deferred_;  // waiting for retry_deferred
};

}  // namespace firspool::relay

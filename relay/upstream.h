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

#include "connection_pool.h"
#include "directory.h"
#include "message.h"
#include "unverified_replies.h"
#include "upstream_log.h"

namespace firspool::relay {

struct Call {
  uint64_t id = 0;  // of the message, as the module knows it
  int attempt = 0;
  Endpoint endpoint;
  tcp::endpoint address;
  std::string call_id;
  std::string key;
  std::shared_ptr<const std::string> body;  // null for a probe
  Time timeout = 0;
  Time start_by = 0;       // the first byte must be written by this time
  Time message_due = 0;    // the message needs its end by then
  bool may_repeat = true;  // a second execution of the message does no harm
};

class Upstream {
 public:
  struct Limits {
    Time connect_timeout = 0;
    Time idle_timeout = 0;         // after which a host closes an idle connection
    size_t max_connections = 256;  // in use or idle
    // Of each connection, in the kernel; 0: as the system has it.
    size_t send_buffer_bytes = 0;
    size_t receive_buffer_bytes = 0;
  };
  // Called right before the first byte of a call. kNo ends the call as Outcome::kNotStarted; kLater defers it
  // until `retry_deferred`, which calls again.
  enum class StartDecision { kYes, kNo, kLater };
  using MayStart = std::function<StartDecision(const Call&)>;
  using MayProbe = std::function<bool(const Endpoint&)>;  // the same for a probe
  // `started`: MayStart allowed the call, so that bytes of it may have been written.
  using AttemptCallback = std::function<void(const AttemptEnded&, bool started)>;
  using ProbeCallback = std::function<void(const ProbeEnded&)>;
  // What becomes of messages whose attempt ended with `final` and `reply_unverified`, by X-Call-Id: each is
  // reported once, after its attempt.
  struct ReplyCallbacks {
    std::function<void(const std::string& call_id)> on_confirmed;
    std::function<void(const std::string& call_id)> on_doubtful;  // it may not have been delivered
    // A reply that answers no known request asked to wait.
    std::function<void(const Endpoint&, Time retry_after)> on_retry_after;
  };
  Upstream(boost::asio::io_context& io, Limits limits, std::vector<std::string> report_fields,
           MayStart may_start, MayProbe may_probe, AttemptCallback on_attempt_ended,
           ProbeCallback on_probe_ended, ReplyCallbacks reply_callbacks = {});
  ~Upstream();

  void call(Call call);
  void cancel(uint64_t id, int attempt);
  void probe(const Endpoint& endpoint, const tcp::endpoint& address);
  void close_idle(const Endpoint& endpoint);
  // Asks MayStart again for the calls that it deferred.
  void retry_deferred();
  size_t in_flight() const { return exchanges_.size(); }
  void end_unverified();  // at the end of the process, as if all connections ended
  bool has_unverified() const { return !unverified_.empty() || posted_verdicts_ > 0; }
  const UpstreamLog::Counters& counters() const { return log_.counters(); }
  void log_summary() { log_.write_summary(); }

 private:
  class Exchange;

  ConnectionPool::Hooks pool_hooks();
  void open_bounded(tcp::socket& socket, const tcp::endpoint& address) const;
  ConnectionPool::ConnectionPtr make_connection(const Endpoint& endpoint, ConnectReason reason);
  ConnectionPool::ConnectionPtr take_idle(const Call& call);
  ConnectReason reason_for_new_connection(const Call& call) const;
  bool has_room() const;
  void keep_idle(ConnectionPool::ConnectionPtr connection, bool only_one);
  void drain(ConnectionPool::ConnectionPtr connection, Time close_at, bool stop_sending);
  void on_surplus(const HostConnection& connection, const std::string& bytes);
  void report_confirmed(std::vector<std::string> ids);
  void report_doubtful(std::vector<std::string> ids, DoubtReason reason);
  void start(std::shared_ptr<Exchange> exchange);
  void sweep();

  boost::asio::io_context& io_;
  Limits limits_;
  std::vector<std::string> report_fields_;
  MayStart may_start_;
  MayProbe may_probe_;
  AttemptCallback on_attempt_ended_;
  ProbeCallback on_probe_ended_;
  ReplyCallbacks reply_callbacks_;
  UpstreamLog log_;
  UnverifiedReplies unverified_;
  ConnectionPool pool_;
  boost::asio::steady_timer sweep_timer_;
  uint64_t last_probe_id_ = 0;
  ConnectionId last_connection_id_ = 0;
  size_t posted_verdicts_ = 0;  // not yet reported
  std::map<std::tuple<bool, uint64_t, int>, std::shared_ptr<Exchange>> exchanges_;
  std::vector<std::shared_ptr<Exchange>> deferred_;  // waiting for retry_deferred
};

}  // namespace firspool::relay

// Idle keep-alive connections to hosts. Each is read from while it is idle, so that bytes that answer no
// request, or the host's close, are noticed when they arrive.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "directory.h"
#include "message.h"
#include "unverified_replies.h"

namespace firspool::relay {

struct HostConnection {
  HostConnection(boost::asio::io_context& io, ConnectionId number, const Endpoint& host)
      : id(number), endpoint(host), socket(io) {}

  // Whether a refusal that is read for the next request answers that request. It does on a connection whose
  // only reply so far delivered its message: that reply is certain, and a copy of it is no refusal. Later on
  // a reply may have been a copy, so that the true one, a refusal perhaps, is still owed.
  bool is_refusal_certain() const { return requests == 0 || (requests == 1 && all_delivered); }

  ConnectionId id;
  Endpoint endpoint;
  tcp::socket socket;
  int requests = 0;           // begun so far
  bool all_delivered = true;  // each reply so far was one that delivered its message
  Time idle_since = 0;        // if idle
  Time close_at = 0;          // if it is idle and must not be used again; 0: it may be used
  bool idle = false;
};

// What a connection without a request in flight has to read.
enum class Input {
  kNone,
  kSurplus,  // bytes that answer no request
  kEnd       // the host closed or reset it
};
// Does not block. Line breaks alone are dropped; other bytes are appended to `bytes`.
Input read_input(HostConnection& connection, std::string& bytes);

// kIdleTooLong: by the relay, after nothing arrived on it for the longest idle time.
enum class CloseReason { kIdleTooLong, kOther };

class ConnectionPool {
 public:
  using ConnectionPtr = std::shared_ptr<HostConnection>;
  struct Hooks {
    // Bytes arrived on an idle connection, which is closed after this call.
    std::function<void(const HostConnection&, const std::string& bytes)> on_surplus;
    std::function<void(const HostConnection&, CloseReason)> on_closed;
    // Called now and then for each idle connection on which nothing has arrived, and before it is taken or
    // closed.
    std::function<void(const HostConnection&)> on_quiet;
  };

  // A connection that was idle for `max_idle_time` is closed.
  ConnectionPool(Time max_idle_time, Hooks hooks) : max_idle_time_(max_idle_time), hooks_(std::move(hooks)) {}

  // The connection to the host that is to be used next; null if there is none. `for_certain_refusal`: a
  // refusal on it has to be certain. The oldest comes first, so that few carry all calls, as later replies
  // confirm earlier ones; those with certain refusals are left to calls that need them.
  ConnectionPtr take(const Endpoint& endpoint, const tcp::endpoint& address, bool for_certain_refusal);
  bool has_usable(const Endpoint& endpoint) const;
  void keep(ConnectionPtr connection);
  // Keeps reading from a connection that must not be used again: until `close_at`, or the host's close.
  // `stop_sending` ends this side of it, which tells the host that the call is given up.
  void drain(ConnectionPtr connection, Time close_at, bool stop_sending);
  void close(ConnectionPtr connection, CloseReason reason = CloseReason::kOther);

  void close_host(const Endpoint& endpoint);  // its idle connections
  void close_oldest();
  void sweep();  // closes what is over
  size_t size() const { return size_; }

 private:
  void add(ConnectionPtr connection);
  void watch(const ConnectionPtr& connection);
  // False: the connection has been closed.
  bool check_input(const ConnectionPtr& connection);
  void remove(const ConnectionPtr& connection);
  std::vector<ConnectionPtr> all() const;

  Time max_idle_time_;
  Hooks hooks_;
  size_t size_ = 0;
  std::map<Endpoint, std::vector<ConnectionPtr>> by_host_;  // the most recently used last
};

}  // namespace firspool::relay

// Frames between relays: one length, one Protobuf message, over TCP. Everything is bounded: what one peer may
// send at once, what waits for it, how many are connected, how long one may be silent. A frame that cannot be
// sent is dropped; whoever wanted an answer asks again.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "fleet/config.h"
#include "register/register.pb.h"

namespace umberhoist::fleet {

constexpr size_t kMaxFrameBytes = 20 * 1024 * 1024;  // a snapshot and its envelope

// Four bytes of length, least first, and the message. Empty: too large.
std::string encode_frame(const register_pb::Frame& frame);
// The next whole frame in what was read, which loses it; nothing: more is needed, or (then `bad`) never
// comes.
std::optional<register_pb::Frame> decode_frame(std::string& bytes, bool& bad);

class Links {
 public:
  using tcp = boost::asio::ip::tcp;
  using ReplyCallback = std::function<void(const register_pb::Frame&)>;  // on the connection that it came on
  using ReceiveCallback = std::function<void(const register_pb::Frame&, const ReplyCallback&)>;

  // Listens at once. Throws std::exception if it cannot.
  Links(boost::asio::io_context& io, const Config& config, ReceiveCallback receive);
  ~Links();

  void send(const std::string& to, const register_pb::Frame& frame);
  tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  class Connection;
  struct Outgoing {
    tcp::endpoint address;
    std::shared_ptr<Connection> connection;
    std::unique_ptr<boost::asio::steady_timer> pause;
    bool pausing = false;
  };

  void know(const std::string& name, const std::shared_ptr<Connection>& connection);
  void accept();
  void connect(Outgoing& link);

  boost::asio::io_context& io_;
  size_t most_connections_;
  size_t most_queued_;
  ReceiveCallback receive_;
  tcp::acceptor acceptor_;
  std::map<std::string, Outgoing> voters_;
  std::set<std::shared_ptr<Connection>> taken_;
  std::map<std::string, std::weak_ptr<Connection>> by_name_;  // the last that it spoke on
};

}  // namespace umberhoist::fleet

// Frames between relays over TCP: a length and a Protobuf message. Frame size, queued bytes, number of
// connections and idle time are limited. A frame that cannot be sent is dropped; the sender's retries cover
// it.
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

// Four bytes of length (little-endian) and the message. Returns "" if the message is too large.
std::string encode_frame(const register_pb::Frame& frame);
// Removes the next complete frame from `bytes`. Returns nullopt if more bytes are needed, or, with
// `malformed` set, if the bytes cannot become a frame.
std::optional<register_pb::Frame> decode_frame(std::string& bytes, bool& malformed);

class Links {
 public:
  using tcp = boost::asio::ip::tcp;
  using ReplyCallback =
      std::function<void(const register_pb::Frame&)>;  // sends on the connection that the request came on
  using ReceiveCallback = std::function<void(const register_pb::Frame&, const ReplyCallback&)>;

  // Listens before it returns. Throws std::exception if it cannot.
  Links(boost::asio::io_context& io, const Config& config, ReceiveCallback receive);
  ~Links();

  void send(const std::string& to, const register_pb::Frame& frame);
  tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  class Connection;
  struct VoterLink {
    tcp::endpoint address;
    std::shared_ptr<Connection> connection;
    std::unique_ptr<boost::asio::steady_timer> reconnect_timer;
    bool reconnect_pending = false;
  };

  void record_sender(const std::string& name, const std::shared_ptr<Connection>& connection);
  void accept();
  void connect(VoterLink& link);

  boost::asio::io_context& io_;
  size_t max_connections_;
  size_t max_queued_bytes_;
  ReceiveCallback receive_;
  tcp::acceptor acceptor_;
  std::map<std::string, VoterLink> voters_;
  std::set<std::shared_ptr<Connection>> accepted_;
  std::map<std::string, std::weak_ptr<Connection>>
      by_name_;  // latest connection on which a frame of that name came
};

}  // namespace umberhoist::fleet

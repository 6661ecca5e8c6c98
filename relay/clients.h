// The side that clients connect to: RESP2 over TCP.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>

#include "directory.h"
#include "message.h"

namespace firspool::relay {

// Reads the words of MSG.PUT; throws std::invalid_argument with a line for the client.
Submission parse_put(const std::vector<std::string>& words);

class ClientServer {
 public:
  using ReplyCallback =
      std::function<void(std::string line)>;  // called once, with a RESP line without its end
  using SubmitCallback = std::function<void(Submission submission, ReplyCallback reply)>;

  // Listens at once, and holds at most `most` connections; throws boost::system::system_error.
  ClientServer(boost::asio::io_context& io, const tcp::endpoint& listen, size_t max_connections,
               SubmitCallback submit);
  ~ClientServer();

  tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  // Takes no new connection and closes those that are open, each only between requests.
  void shut_down();

  // After `shut_down`: all that was read has its answer, and the clients have seen the end of their
  // connections.
  bool all_closed() const { return sessions_.empty() && lingering_.empty(); }

 private:
  class Session;

  void accept();
  void start_session(tcp::socket socket);
  bool evict_idle_session();
  void sweep();
  Time max_idle_time() const;
  void on_lingering(std::list<std::shared_ptr<Session>>::iterator position);
  void remove_session(std::list<std::shared_ptr<Session>>::iterator position, bool lingering);

  boost::asio::io_context& io_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_backoff_;
  boost::asio::steady_timer sweep_timer_;
  size_t max_lingering_;
  size_t max_active_;  // that do not linger
  SubmitCallback submit_;
  bool accepting_ = false;
  bool shutting_down_ = false;
  std::array<size_t, 10>
      recent_connections_{};  // connections in each of the last sweeps' spans, the present one first
  std::array<char, 64 * 1024> read_buffer_;  // what was read last, of any connection
  std::list<std::shared_ptr<Session>> sessions_;
  std::list<std::shared_ptr<Session>> lingering_;  // the one that has lingered longest first
};

}  // namespace firspool::relay

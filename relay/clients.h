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
  using SubmitCallback = std::function<void(Submission message, ReplyCallback answer)>;

  // Listens at once, and holds at most `most` connections; throws boost::system::system_error.
  ClientServer(boost::asio::io_context& io, const tcp::endpoint& listen, size_t most, SubmitCallback put);
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
  void admit(tcp::socket socket);
  bool make_room();
  void sweep();
  Time most_idle() const;
  void lingers(std::list<std::shared_ptr<Session>>::iterator place);
  void forget(std::list<std::shared_ptr<Session>>::iterator place, bool lingering);

  boost::asio::io_context& io_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  boost::asio::steady_timer sweeper_;
  size_t most_lingering_;
  size_t most_;  // that do not linger
  SubmitCallback put_;
  bool accepting_ = false;
  bool finishing_ = false;
  std::array<size_t, 10> came_{};      // connections in each of the last sweeps' spans, the present one first
  std::array<char, 64 * 1024> bytes_;  // what was read last, of any connection
  std::list<std::shared_ptr<Session>> sessions_;
  std::list<std::shared_ptr<Session>> lingering_;  // the one that has lingered longest first
};

}  // namespace firspool::relay

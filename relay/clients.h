// The server that clients connect to: RESP2 over TCP.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <vector>

#include "directory.h"
#include "message.h"
#include "resources/memory_account.h"

namespace firspool::relay {

// Parses the words of an MSG.PUT command. Throws std::invalid_argument, whose text is sent to the client as
// an error.
Submission parse_put(const std::vector<std::string>& words);

class ClientServer {
 public:
  struct Limits {
    size_t max_connections = 256;  // of which an eighth is for those in a lingering close
    // Input that is held for one connection beside the pool of all.
    size_t unpooled_input = 4096;
    size_t socket_buffer = 0;  // of each connection and direction, in the kernel; 0: as the system has it
  };
  // Called exactly once, with a RESP reply without the final line break.
  using ReplyCallback = std::function<void(std::string line)>;
  using SubmitCallback = std::function<void(Submission submission, ReplyCallback reply)>;

  // Starts to listen at once. Throws boost::system::system_error. `memory` counts what is held for clients.
  ClientServer(boost::asio::io_context& io, const tcp::endpoint& listen, const Limits& limits,
               umberhoist::resources::MemoryAccount& memory, SubmitCallback submit);
  ~ClientServer();

  tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  // Accepts no new connections and closes the open ones, each only between requests.
  void shut_down();

  // After `shut_down`: true once every request that was read is answered and all connections are closed.
  bool all_closed() const { return sessions_.empty() && lingering_.empty(); }

 private:
  class Session;

  void accept();
  void start_session(tcp::socket socket);
  void accept_after(std::chrono::milliseconds delay);
  bool evict_session();
  void pause_reading(std::shared_ptr<Session> session);
  void resume_reading();
  void evict_greediest();
  void sweep();
  Time max_idle_time() const;
  void on_lingering(std::list<std::shared_ptr<Session>>::iterator position);
  void remove_session(std::list<std::shared_ptr<Session>>::iterator position, bool lingering);

  boost::asio::io_context& io_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_backoff_;
  boost::asio::steady_timer sweep_timer_;
  boost::asio::steady_timer resume_timer_;
  Limits limits_;
  umberhoist::resources::MemoryAccount& memory_;
  std::vector<std::shared_ptr<Session>> paused_;  // wait for memory before they read on
  size_t max_lingering_;
  size_t max_active_;  // without the lingering ones
  SubmitCallback submit_;
  bool accepting_ = false;
  bool shutting_down_ = false;
  std::array<size_t, 10> recent_connections_{};  // connections accepted in each of the last sweep intervals,
                                                 // the current one first
  std::array<char, 64 * 1024> read_buffer_;      // shared by all sessions: the input of the last read
  std::list<std::shared_ptr<Session>> sessions_;
  std::list<std::shared_ptr<Session>> lingering_;  // oldest first
};

}  // namespace firspool::relay

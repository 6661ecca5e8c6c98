// Test doubles of the relay's peers over loopback sockets: a client, a host, discovery, and the daemon itself
// as a child process. Each wait is for an event, with a deadline that is reached only on failure.
#pragma once

#include <gtest/gtest.h>
#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <filesystem>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace firspool::testing {

constexpr int kDeadlineMs = 30'000;
constexpr int kBacklog = 64;

class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Socket() { close(); }

  static Socket listen(int backlog = kBacklog);  // connections that wait to be accepted
  static Socket connect(uint16_t port);
  Socket accept() const;  // closed if none comes before the deadline

  bool is_open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  uint16_t port() const;
  void close();
  void reset();  // the peer sees a reset instead of the end of the stream

  bool send(const std::string& bytes) const;
  std::string read_line();                 // without the line break; empty at the end of the stream
  std::string read_exactly(size_t count);  // shorter at the end of the stream
  bool closed_by_peer();  // waits until the peer closes; false if bytes arrive instead, or on the deadline
  bool drained_until_closed();  // the same, discarding what arrives before
  void half_close() const;      // closes the sending side only

 private:
  bool fill();

  int fd_;
  std::string buffer_;
};

struct Request {
  std::string request_line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

std::optional<Request> read_request(Socket& socket);

// A host that serves one connection at a time, in the calling thread.
class FakeHost {
 public:
  uint16_t port() const { return listener_.port(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  Request next_request();  // the next request, on the open connection or on a new one
  // Limits the receive buffer of later connections to a few kilobytes, so that a large request is not written
  // at once.
  void limit_receive_buffer();
  // Accepts a connection and reads the header of its first request, but not the body.
  void read_head();
  void respond(const std::string& status, const std::string& headers = "");
  void send_raw(const std::string& bytes) { ASSERT_TRUE(connection_.send(bytes)); }
  // Waits until the caller has closed without sending more.
  bool closed_by_peer() { return connection_.closed_by_peer(); }
  // The same, discarding what it has sent.
  bool drained_until_closed() { return connection_.drained_until_closed(); }
  void half_close() { connection_.half_close(); }
  void close() { connection_.close(); }
  void reset() { connection_.reset(); }
  int connections() const { return connections_; }
  bool has_pending_input() const;  // a connection waits to be accepted, or bytes to be read

 private:
  Socket listener_ = Socket::listen();
  Socket connection_;
  int connections_ = 0;
};

class FakeDiscovery {
 public:
  FakeDiscovery();
  ~FakeDiscovery();
  std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }
  void publish(const nlohmann::json& list);  // to open and future watches
  // The same, and instead of those published before to future watches.
  void replace_lists(const nlohmann::json& list);
  bool await_sending();                        // until the newest list is being sent; false on the deadline
  bool await_watch(int revision);              // until a watch asks for the changes since then; the same
  nlohmann::json next_notice();                // the next one that was acknowledged with 204
  std::vector<nlohmann::json> take_notices();  // those that were acknowledged so far; does not wait
  void refuse_notices(int count) { notices_to_refuse_ = count; }  // the next `count` posts get 503
  // Each later post on a connection gets the answer to the post before it once more, and is not read.
  void answer_later_posts_unread() { answers_later_posts_unread_ = true; }
  // Watches opened while it is silent never get a reply, as if discovery were down.
  void set_silent(bool on = true) { silent_ = on; }
  // Later watches get their first word only after this time.
  void set_reply_delay(std::chrono::milliseconds delay) { reply_delay_ = delay; }
  int refused_notices() const { return refused_notices_; }

 private:
  void serve(Socket connection);
  void add_watch(const std::string& request_line);
  size_t first_list();
  std::string take_list(size_t& sent);

  Socket listener_ = Socket::listen();
  std::atomic<bool> stopped_ = false;
  std::atomic<bool> silent_ = false;
  std::atomic<bool> answers_later_posts_unread_ = false;
  std::atomic<std::chrono::milliseconds> reply_delay_ = std::chrono::milliseconds(0);
  std::atomic<int> notices_to_refuse_ = 0;
  std::atomic<int> refused_notices_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> lists_;
  size_t first_list_ = 0;             // that a new watch gets
  std::vector<std::string> watches_;  // request lines
  size_t lists_begun_ = 0;            // lists up to this one were sent to some watch, at least in part
  std::vector<nlohmann::json> notices_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

nlohmann::json member_json(const std::string& id, const std::string& address, int cell,
                           const std::string& phase = "active");
nlohmann::json list_json(int revision, bool complete, std::vector<nlohmann::json> members);

// A configuration with the classes safe, keyed and unsafe.
nlohmann::json config_json(const std::string& discovery, std::vector<nlohmann::json> known);

class RelayProcess {
 public:
  explicit RelayProcess(nlohmann::json config);
  ~RelayProcess();

  void start(int descriptors = 0);
  // The same with another executable, in which the planted fault of that name is active.
  void start_planted(const std::string& program, const std::string& fault);
  std::string startup_error(int descriptors);  // the line that it logs when it refuses to start
  void write_config(
      const std::string& text);  // replaces the configuration file, which is read at start and on SIGHUP
  void signal(int number);
  int wait();  // exit status, or the negated number of the signal that ended it
  void kill();
  pid_t pid() const { return child_; }
  int64_t cpu_time_us() const;  // used so far; -1 on failure
  std::filesystem::path state_folder() const { return folder_ / "state"; }
  Socket client() const { return Socket::connect(port_); }

 private:
  void launch(int descriptors);

  std::string program_ = UMBERHOIST;
  std::string fault_;
  std::filesystem::path folder_;
  pid_t child_ = -1;
  uint16_t port_ = 0;
  Socket log_;
  std::thread log_reader_;
};

std::string put_command(const std::string& id, const std::string& attributes,
                        const std::string& body = "body");

}  // namespace firspool::testing

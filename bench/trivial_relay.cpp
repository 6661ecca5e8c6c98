// Minimal relay to run the rehearsal kit against: accepts a message, replies +OK and makes one call with it.
// It has no journal, no decision module and no retries, so that a run measures the speed of the kit and not
// of the daemon.
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "directory.h"
#include "resp.h"

namespace {

using boost::asio::ip::tcp;
using Error = boost::system::error_code;

struct Call {
  explicit Call(boost::asio::io_context& io) : socket(io) {}
  tcp::socket socket;
  std::string request;
  std::array<char, 1024> answer;
};

class Calls {
 public:
  Calls(boost::asio::io_context& io, std::map<int, tcp::endpoint> hosts)
      : io_(io), hosts_(std::move(hosts)) {}

  void make(int destination, std::string request) {
    auto& idle = idle_[destination];
    if (!idle.empty()) {
      auto call = std::move(idle.back());
      idle.pop_back();
      call->request = std::move(request);
      return write(destination, std::move(call));
    }
    auto call = std::make_shared<Call>(io_);
    call->request = std::move(request);
    call->socket.async_connect(hosts_.at(destination), [this, destination, call](const Error& error) {
      if (error) return;
      call->socket.set_option(tcp::no_delay(true));
      write(destination, call);
    });
  }

 private:
  void write(int destination, std::shared_ptr<Call> call) {
    const auto bytes = boost::asio::buffer(call->request);
    boost::asio::async_write(call->socket, bytes, [this, destination, call](const Error& error, size_t) {
      if (error) return;
      call->socket.async_read_some(boost::asio::buffer(call->answer),
                                   [this, destination, call](const Error& none, size_t) {
                                     if (!none) idle_[destination].push_back(call);
                                   });
    });
  }

  boost::asio::io_context& io_;
  std::map<int, tcp::endpoint> hosts_;
  std::map<int, std::vector<std::shared_ptr<Call>>> idle_;
};

class Client : public std::enable_shared_from_this<Client> {
 public:
  Client(tcp::socket socket, Calls& calls) : socket_(std::move(socket)), calls_(calls) {}

  void read() {
    socket_.async_read_some(boost::asio::buffer(bytes_),
                            [self = shared_from_this()](const Error& error, size_t count) {
                              if (error) return;
                              self->parser_.feed({self->bytes_.data(), count});
                              std::string out;
                              while (const auto words = self->parser_.next()) out += self->handle(*words);
                              boost::asio::write(self->socket_, boost::asio::buffer(out));
                              self->read();
                            });
  }

 private:
  std::string handle(const std::vector<std::string>& words) {
    if (words.size() < 5) return "+PONG\r\n";
    const std::string& facts = words[3];
    const int destination = std::atoi(facts.c_str() + facts.find("dest=") + 5);
    std::string request = "POST /events HTTP/1.1\r\nX-Call-Id: " + words[2] + "\r\n";
    if (const size_t key = facts.find(",k="); key != std::string::npos) {
      request += "Idempotency-Key: " + facts.substr(key + 3, 16) + "\r\n";
    }
    request += "Content-Length: " + std::to_string(words[4].size()) + "\r\n\r\n" + words[4];
    calls_.make(destination, std::move(request));
    return "+OK\r\n";
  }

  tcp::socket socket_;
  Calls& calls_;
  firspool::relay::RespParser parser_;
  std::array<char, 64 * 1024> bytes_;
};

void accept(tcp::acceptor& acceptor, Calls& calls) {
  acceptor.async_accept([&](const Error& error, tcp::socket socket) {
    if (!error) {
      socket.set_option(tcp::no_delay(true));
      std::make_shared<Client>(std::move(socket), calls)->read();
    }
    accept(acceptor, calls);
  });
}

}  // namespace

int main() {
  const char* path = std::getenv("PROXY_CONFIG");
  if (path == nullptr) return 1;
  std::signal(SIGPIPE, SIG_IGN);
  const auto config = nlohmann::json::parse(std::ifstream(path));
  std::map<int, tcp::endpoint> hosts;
  for (const auto& member : config.at("known").at("members")) {
    hosts.try_emplace(member.at("cell").get<int>(),
                      firspool::relay::parse_address(member.at("host_port").get<std::string>()));
  }
  boost::asio::io_context io(1);
  Calls calls(io, std::move(hosts));
  tcp::acceptor acceptor(io, firspool::relay::parse_address(config.at("listen").get<std::string>()));
  accept(acceptor, calls);
  boost::asio::signal_set signals(io, SIGTERM);
  signals.async_wait([&](const Error&, int) { io.stop(); });
  io.run();
  return 0;
}

// The network between relays, with a link for each ordered pair. A test can cut a link, or delay, lose,
// duplicate and reorder its frames. One thread forwards all frames; it reads nothing of them but the length.
#pragma once

#include <fcntl.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <functional>
#include <future>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <thread>

namespace umberhoist::testing {

struct LinkFault {
  bool cut = false;  // frames in flight are lost, and connections are closed
  int delay_ms = 0;
  int jitter_ms = 0;  // random extra delay, which reorders frames
  double loss_probability = 0;
  double duplicate_probability = 0;
};

class Network {
  using tcp = boost::asio::ip::tcp;

  template <class Call>
  std::invoke_result_t<Call> on_thread(Call call) {
    std::promise<std::invoke_result_t<Call>> result;
    boost::asio::post(io_, [&] { result.set_value(call()); });
    return result.get_future().get();
  }

 public:
  // Port of a relay's listener; 0: it is down.
  using Find = std::function<uint16_t(size_t relay)>;

  Network(Find find, uint64_t seed) : find_(std::move(find)), random_(seed), work_(io_.get_executor()) {
    thread_ = std::thread([this] { io_.run(); });
  }
  ~Network() {
    io_.stop();
    thread_.join();
  }

  // The port on which `from` reaches `to`.
  uint16_t port(size_t from, size_t to) {
    return on_thread([&] {
      auto& link = links_[{from, to}];
      if (!link.acceptor) {
        link.acceptor =
            std::make_unique<tcp::acceptor>(io_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        ::fcntl(link.acceptor->native_handle(), F_SETFD,
                FD_CLOEXEC);  // must not be inherited by the relay processes
        accept(link, to);
      }
      return link.acceptor->local_endpoint().port();
    });
  }
  // Applies to frames from `from` to `to`, on connections opened by either side.
  void set(size_t from, size_t to, LinkFault fault) {
    on_thread([&] {
      faults_[{from, to}] = fault;
      if (fault.cut) drop(from, to);
      return 0;
    });
  }
  void isolate(size_t relay, size_t count, bool cut = true) {
    for (size_t other = 0; other < count; ++other) {
      if (other == relay) continue;
      LinkFault fault;
      fault.cut = cut;
      set(relay, other, fault);
      set(other, relay, fault);
    }
  }
  void heal() {
    on_thread([&] {
      faults_.clear();
      return 0;
    });
  }

 private:
  struct Pair;
  struct Endpoint {
    std::shared_ptr<tcp::socket> socket;
    std::string in;
    std::deque<std::string> out;
    bool writing = false;
    std::array<char, 65'536> bytes;
  };
  struct Pair : std::enable_shared_from_this<Pair> {
    Endpoint client_side, server_side;
    size_t from = 0, to = 0;
  };
  struct Link {
    std::unique_ptr<tcp::acceptor> acceptor;
    std::list<std::weak_ptr<Pair>> pairs;
  };

  void accept(Link& link, size_t to) {
    link.acceptor->async_accept(
        [this, &link, to](const boost::system::error_code& error, tcp::socket socket) {
          if (error) return;
          size_t from = 0;
          for (const auto& [pair, candidate] : links_) {
            if (&candidate == &link) from = pair.first;
          }
          const uint16_t port = find_(to);
          if (!faults_[{from, to}].cut && port != 0) {
            const auto pair = std::make_shared<Pair>();
            pair->from = from;
            pair->to = to;
            pair->client_side.socket = std::make_shared<tcp::socket>(std::move(socket));
            pair->server_side.socket = std::make_shared<tcp::socket>(io_);
            boost::system::error_code failed;
            pair->server_side.socket->connect({boost::asio::ip::address_v4::loopback(), port}, failed);
            if (!failed) {
              link.pairs.push_back(pair);
              read(pair, true);
              read(pair, false);
            }
          }
          accept(link, to);
        });
  }
  void drop(size_t from, size_t to) {
    for (auto& [ends, link] : links_) {
      if (ends != std::pair(from, to) && ends != std::pair(to, from)) continue;
      for (const auto& weak : link.pairs) {
        if (const auto pair = weak.lock()) end(*pair);
      }
      link.pairs.clear();
    }
  }
  static void end(Pair& pair) {
    boost::system::error_code ignored;
    pair.client_side.socket->close(ignored);
    pair.server_side.socket->close(ignored);
  }
  void read(const std::shared_ptr<Pair>& pair, bool from_caller) {
    Endpoint& side = from_caller ? pair->client_side : pair->server_side;
    side.socket->async_read_some(
        boost::asio::buffer(side.bytes),
        [this, pair, from_caller](const boost::system::error_code& error, size_t got) {
          Endpoint& here = from_caller ? pair->client_side : pair->server_side;
          if (error) return end(*pair);
          here.in.append(here.bytes.data(), got);
          while (here.in.size() >= 4) {
            size_t size = 4;
            for (size_t i = 0; i < 4; ++i)
              size += static_cast<size_t>(static_cast<unsigned char>(here.in[i])) << (8 * i);
            if (here.in.size() < size) break;
            pass(pair, from_caller, here.in.substr(0, size));
            here.in.erase(0, size);
          }
          read(pair, from_caller);
        });
  }
  void pass(const std::shared_ptr<Pair>& pair, bool from_caller, std::string frame) {
    const LinkFault fault = from_caller ? faults_[{pair->from, pair->to}] : faults_[{pair->to, pair->from}];
    const auto chance = [&](double p) {
      return p > 0 && std::uniform_real_distribution<>(0, 1)(random_) < p;
    };
    if (fault.cut || chance(fault.loss_probability)) return;
    for (int copies = chance(fault.duplicate_probability) ? 2 : 1; copies > 0; --copies) {
      const int total_delay_ms =
          fault.delay_ms +
          (fault.jitter_ms > 0 ? static_cast<int>(random_() % static_cast<unsigned>(fault.jitter_ms)) : 0);
      if (total_delay_ms == 0) {
        write(pair, from_caller, frame);
        continue;
      }
      const auto timer =
          std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(total_delay_ms));
      timer->async_wait([this, timer, pair, from_caller, frame](const boost::system::error_code& error) {
        if (!error) write(pair, from_caller, frame);
      });
    }
  }
  void write(const std::shared_ptr<Pair>& pair, bool from_caller, std::string frame) {
    Endpoint& to = from_caller ? pair->server_side : pair->client_side;
    if (!frame.empty()) to.out.push_back(std::move(frame));
    if (to.writing || to.out.empty()) return;
    to.writing = true;
    boost::asio::async_write(*to.socket, boost::asio::buffer(to.out.front()),
                             [this, pair, from_caller](const boost::system::error_code& error, size_t) {
                               Endpoint& side = from_caller ? pair->server_side : pair->client_side;
                               side.writing = false;
                               if (error) return end(*pair);
                               side.out.pop_front();
                               write(pair, from_caller, "");
                             });
  }

  Find find_;
  std::mt19937_64 random_;
  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::map<std::pair<size_t, size_t>, Link> links_;
  std::map<std::pair<size_t, size_t>, LinkFault> faults_;
  std::thread thread_;
};

}  // namespace umberhoist::testing

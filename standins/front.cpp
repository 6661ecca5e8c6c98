#include "standins/front.h"

#include <array>
#include <boost/asio/write.hpp>
#include <charconv>

namespace umberhoist::standins {
namespace {

using Error = boost::system::error_code;

constexpr Time kNoticeDeath = 200 * kMillisecond;  // until it is known whether a process ended or only closed
constexpr size_t kMostCrowd = 4000;

void bulk(std::string& out, std::string_view word) {
  out += '$';
  out += std::to_string(word.size());
  out += "\r\n";
  out += word;
  out += "\r\n";
}

}  // namespace

std::string put_request(uint64_t id, const std::string& facts, const std::string& body) {
  std::string out = "*5\r\n";
  out.reserve(body.size() + facts.size() + 96);
  bulk(out, "MSG.PUT");
  bulk(out, "0000000000000000");
  bulk(out, hex(id));
  bulk(out, facts);
  bulk(out, body);
  return out;
}

class LoadGenerator::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(LoadGenerator& owner, int relay)
      : owner_(&owner), relay_(relay), socket_(owner.io_), timer_(owner.io_) {}

  int relay() const { return relay_; }

  void begin(const Submission& handing, std::string request, uint64_t body, bool once_more) {
    handing_ = handing;
    request_ = std::move(request);
    body_ = body;
    once_more_ = once_more;
    busy_ = true;
    ++owner_->waiting_;
    timer_.expires_after(std::chrono::microseconds(owner_->limits_.reply_timeout));
    timer_.async_wait([self = shared_from_this()](const Error& error) {
      if (error || self->owner_ == nullptr || !self->busy_) return;
      if (!self->open_) return self->unreached();
      self->give_up(NoReplyReason::kTimeout);
    });
    if (open_) return write();
    socket_.async_connect(owner_->relays_[static_cast<size_t>(relay_)],
                          [self = shared_from_this()](const Error& error) {
                            if (self->owner_ == nullptr || !self->busy_) return;
                            if (error) return self->unreached();
                            Error ignored;
                            self->socket_.set_option(tcp::no_delay(true), ignored);
                            self->open_ = true;
                            self->write();
                            self->read();
                          });
  }

  void orphan() {
    owner_ = nullptr;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  void write() {
    if (!once_more_) owner_->witness_.on_submitted(steady_now(), handing_, body_);
    boost::asio::async_write(
        socket_, boost::asio::buffer(request_),
        [self = shared_from_this()](const Error&, size_t) {});  // its end shows in the read
  }

  void read() {
    socket_.async_read_some(boost::asio::buffer(bytes_),
                            [self = shared_from_this()](const Error& error, size_t count) {
                              if (self->owner_ == nullptr) return;
                              if (error || count == 0) return self->closed();
                              self->line_.append(self->bytes_.data(), count);
                              self->answered();
                              if (self->owner_ != nullptr) self->read();
                            });
  }

  void answered() {
    const size_t end = line_.find("\r\n");
    if (end == std::string::npos) return;
    std::string line = line_.substr(0, end);
    size_t whole = end + 2;
    if (line.starts_with("$")) {  // a bulk string: its bytes follow
      size_t length = 0;
      std::from_chars(line.data() + 1, line.data() + line.size(), length);
      whole += length + 2;
      if (line_.size() < whole) return;
    }
    line_.erase(0, whole);
    if (!busy_) return leave();  // an answer to nothing
    const Time now = steady_now();
    const uint64_t id = handing_.id;
    rest();
    Observer& witness = owner_->witness_;
    const auto owner = owner_;
    if (line_.empty() &&
        owner->idle_[static_cast<size_t>(relay_)].size() < owner->limits_.max_idle_connections) {
      owner->idle_[static_cast<size_t>(relay_)].push_back(shared_from_this());
    } else {
      leave();
    }
    if (line.starts_with("+") || line.starts_with("$")) return witness.on_accepted(now, id);
    if (!line.starts_with("-BUSY")) return witness.on_failed(now, id, line);
    int64_t ms = 0;
    if (line.size() > 6) std::from_chars(line.data() + 6, line.data() + line.size(), ms);
    witness.on_refused(now, id, ms * kMillisecond);
  }

  void rest() {
    busy_ = false;
    --owner_->waiting_;
    timer_.cancel();
    std::string().swap(request_);
  }

  // A relay may close between requests. One that crosses the close is sent once more, on a new connection.
  void closed() {
    if (!busy_) return leave();
    LoadGenerator* owner = owner_;
    const Submission handing = handing_;
    std::string request = std::move(request_);
    const bool again = once_more_;
    const uint64_t body = body_;
    rest();
    leave();
    if (!again) return owner->send(handing, request, body, true);
    auto timer = std::make_shared<boost::asio::steady_timer>(owner->io_);
    timer->expires_after(std::chrono::microseconds(kNoticeDeath));
    timer->async_wait([owner, handing, timer, alive = owner->alive_](const Error& error) {
      if (error || !*alive) return;
      owner->witness_.on_no_reply(
          steady_now(), handing.id,
          owner->down_(handing.relay) ? NoReplyReason::kRelayExited : NoReplyReason::kConnectionClosed);
    });
  }

  void unreached() {
    LoadGenerator* owner = owner_;
    const Submission handing = handing_;
    const bool again = once_more_;
    rest();
    leave();
    if (again) return owner->witness_.on_no_reply(steady_now(), handing.id, NoReplyReason::kRelayExited);
    owner->witness_.on_connect_failed(steady_now(), handing);
  }

  void give_up(NoReplyReason how) {
    LoadGenerator* owner = owner_;
    const uint64_t id = handing_.id;
    rest();
    leave();
    owner->witness_.on_no_reply(steady_now(), id, how);
  }

  void leave() {
    if (owner_ == nullptr) return;
    LoadGenerator* owner = std::exchange(owner_, nullptr);
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
    std::erase(owner->idle_[static_cast<size_t>(relay_)], shared_from_this());
    owner->connections_.erase(shared_from_this());
  }

  LoadGenerator* owner_;
  int relay_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  Submission handing_;
  std::string request_;
  uint64_t body_ = 0;
  std::string line_;
  std::array<char, 512> bytes_;
  bool open_ = false;
  bool busy_ = false;
  bool once_more_ = false;
};

LoadGenerator::LoadGenerator(boost::asio::io_context& io, std::vector<tcp::endpoint> relays, Options limits,
                             Observer& witness, IsDown down)
    : io_(io),
      relays_(std::move(relays)),
      used_(relays_.size(), false),
      limits_(limits),
      witness_(witness),
      down_(std::move(down)),
      idle_(relays_.size()) {}

LoadGenerator::~LoadGenerator() {
  *alive_ = false;
  for (const auto& connection : connections_) connection->orphan();
}

void LoadGenerator::set_enabled(int relay, bool used) { used_[static_cast<size_t>(relay)] = used; }

int LoadGenerator::pick_relay() {
  for (size_t i = 0; i < used_.size(); ++i) {
    turn_ = (turn_ + 1) % used_.size();
    if (used_[turn_]) return static_cast<int>(turn_);
  }
  return -1;
}

void LoadGenerator::submit(const Submission& handing, const std::string& facts, std::string body) {
  send(handing, put_request(handing.id, facts, body), hash_bytes(body), false);
}

void LoadGenerator::send(const Submission& handing, const std::string& request, uint64_t body,
                         bool once_more) {
  auto& idle = idle_[static_cast<size_t>(handing.relay)];
  std::shared_ptr<Connection> connection;
  if (!idle.empty() && !once_more) {
    connection = idle.back();
    idle.pop_back();
  } else {
    connection = std::make_shared<Connection>(*this, handing.relay);
    connections_.insert(connection);
    ++opened_;
  }
  connection->begin(handing, request, body, once_more);
}

void LoadGenerator::ping(int relay, std::function<void(bool)> answer) {
  struct Ping {
    explicit Ping(boost::asio::io_context& io) : socket(io), timer(io) {}
    tcp::socket socket;
    boost::asio::steady_timer timer;
    std::array<char, 64> bytes{};
    bool over = false;
  };
  auto ping = std::make_shared<Ping>(io_);
  const auto end = [ping, answer = std::move(answer)](bool good) {
    if (std::exchange(ping->over, true)) return;
    ping->timer.cancel();
    answer(good);
  };
  ping->timer.expires_after(std::chrono::microseconds(limits_.reply_timeout));
  ping->timer.async_wait([ping, end](const Error& error) {
    if (error) return;
    Error ignored;
    ping->socket.close(ignored);
    end(false);
  });
  ping->socket.async_connect(relays_[static_cast<size_t>(relay)], [ping, end](const Error& error) {
    if (error) return end(false);
    static const std::string kPing = "*1\r\n$4\r\nPING\r\n";
    boost::asio::async_write(
        ping->socket, boost::asio::buffer(kPing), [ping, end](const Error& failed, size_t) {
          if (failed) return end(false);
          ping->socket.async_read_some(
              boost::asio::buffer(ping->bytes), [ping, end](const Error& none, size_t count) {
                end(!none && std::string_view(ping->bytes.data(), count).starts_with("+PONG"));
              });
        });
  });
}

// ---- Silent clients ----

IdleClients::IdleClients(boost::asio::io_context& io, tcp::endpoint relay, double per_second, Time until)
    : io_(io),
      relay_(std::move(relay)),
      gap_(static_cast<Time>(1e6 / std::max(1.0, per_second))),
      next_(steady_now()),
      until_(until),
      timer_(io) {
  more();
}

IdleClients::~IdleClients() {
  for (const auto& socket : sockets_) {
    Error ignored;
    socket->close(ignored);
  }
}

void IdleClients::more() {
  const Time now = steady_now();
  if (now >= until_) return sockets_.clear();
  for (; next_ <= now; next_ += gap_) {
    if (sockets_.size() >= kMostCrowd) sockets_.erase(sockets_.begin());
    auto socket = std::make_shared<tcp::socket>(io_);
    sockets_.push_back(socket);
    socket->async_connect(relay_, [socket](const Error&) {});
  }
  timer_.expires_at(at_time(next_));
  timer_.async_wait([this](const Error& error) {
    if (!error) more();
  });
}

}  // namespace umberhoist::standins

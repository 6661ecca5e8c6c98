#include "standins/front.h"

#include <array>
#include <boost/asio/write.hpp>
#include <charconv>

namespace umberhoist::standins {
namespace {

using Error = boost::system::error_code;

// Until it is certain whether the process ended or only closed the connection.
constexpr Time kExitDetectionDelay = 200 * kMillisecond;
constexpr size_t kMaxIdleClients = 4000;

void append_bulk_string(std::string& out, std::string_view word) {
  out += '$';
  out += std::to_string(word.size());
  out += "\r\n";
  out += word;
  out += "\r\n";
}

}  // namespace

std::string put_request(uint64_t id, const std::string& attributes, const std::string& body) {
  std::string out = "*5\r\n";
  out.reserve(body.size() + attributes.size() + 96);
  append_bulk_string(out, "MSG.PUT");
  append_bulk_string(out, "0000000000000000");
  append_bulk_string(out, hex(id));
  append_bulk_string(out, attributes);
  append_bulk_string(out, body);
  return out;
}

class LoadGenerator::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(LoadGenerator& owner, int relay)
      : owner_(&owner), relay_(relay), socket_(owner.io_), timer_(owner.io_) {}

  int relay() const { return relay_; }

  void start(const Submission& submission, std::string request, uint64_t body, bool is_retry) {
    submission_ = submission;
    request_ = std::move(request);
    body_ = body;
    is_retry_ = is_retry;
    is_busy_ = true;
    ++owner_->pending_replies_;
    timer_.expires_after(std::chrono::microseconds(owner_->options_.reply_timeout));
    timer_.async_wait([self = shared_from_this()](const Error& error) {
      if (error || self->owner_ == nullptr || !self->is_busy_) return;
      if (!self->is_connected_) return self->on_connect_failed();
      self->give_up(NoReplyReason::kTimeout);
    });
    if (is_connected_) return write();
    socket_.async_connect(owner_->relays_[static_cast<size_t>(relay_)],
                          [self = shared_from_this()](const Error& error) {
                            if (self->owner_ == nullptr || !self->is_busy_) return;
                            if (error) return self->on_connect_failed();
                            Error ignored;
                            self->socket_.set_option(tcp::no_delay(true), ignored);
                            self->is_connected_ = true;
                            self->write();
                            self->read();
                          });
  }

  void detach() {
    owner_ = nullptr;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  void write() {
    if (!is_retry_) owner_->observer_.on_submitted(steady_now(), submission_, body_);
    boost::asio::async_write(
        socket_, boost::asio::buffer(request_),
        [self = shared_from_this()](const Error&, size_t) {});  // errors show in the read
  }

  void read() {
    socket_.async_read_some(boost::asio::buffer(bytes_),
                            [self = shared_from_this()](const Error& error, size_t count) {
                              if (self->owner_ == nullptr) return;
                              if (error || count == 0) return self->on_connection_closed();
                              self->received_.append(self->bytes_.data(), count);
                              self->parse_reply();
                              if (self->owner_ != nullptr) self->read();
                            });
  }

  void parse_reply() {
    const size_t end = received_.find("\r\n");
    if (end == std::string::npos) return;
    std::string line = received_.substr(0, end);
    size_t reply_size = end + 2;
    if (line.starts_with("$")) {  // bulk string: its bytes follow
      size_t length = 0;
      std::from_chars(line.data() + 1, line.data() + line.size(), length);
      reply_size += length + 2;
      if (received_.size() < reply_size) return;
    }
    received_.erase(0, reply_size);
    if (!is_busy_) return close();  // a reply without a request
    const Time now = steady_now();
    const uint64_t id = submission_.id;
    finish_request();
    Observer& observer = owner_->observer_;
    const auto owner = owner_;
    if (received_.empty() &&
        owner->idle_[static_cast<size_t>(relay_)].size() < owner->options_.max_idle_connections) {
      owner->idle_[static_cast<size_t>(relay_)].push_back(shared_from_this());
    } else {
      close();
    }
    if (line.starts_with("+") || line.starts_with("$")) return observer.on_accepted(now, id);
    if (!line.starts_with("-BUSY")) return observer.on_failed(now, id, line);
    int64_t ms = 0;
    if (line.size() > 6) std::from_chars(line.data() + 6, line.data() + line.size(), ms);
    observer.on_refused(now, id, ms * kMillisecond);
  }

  void finish_request() {
    is_busy_ = false;
    --owner_->pending_replies_;
    timer_.cancel();
    std::string().swap(request_);
  }

  // A relay may close idle connections. A request that was on its way then is sent once more on a new
  // connection.
  void on_connection_closed() {
    if (!is_busy_) return close();
    LoadGenerator* owner = owner_;
    const Submission submission = submission_;
    std::string request = std::move(request_);
    const bool is_retry = is_retry_;
    const uint64_t body = body_;
    finish_request();
    close();
    if (!is_retry) return owner->send(submission, request, body, true);
    auto timer = std::make_shared<boost::asio::steady_timer>(owner->io_);
    timer->expires_after(std::chrono::microseconds(kExitDetectionDelay));
    timer->async_wait([owner, submission, timer, alive = owner->alive_](const Error& error) {
      if (error || !*alive) return;
      owner->observer_.on_no_reply(
          steady_now(), submission.id,
          owner->is_down_(submission.relay) ? NoReplyReason::kRelayExited : NoReplyReason::kConnectionClosed);
    });
  }

  void on_connect_failed() {
    LoadGenerator* owner = owner_;
    const Submission submission = submission_;
    const bool is_retry = is_retry_;
    finish_request();
    close();
    if (is_retry)
      return owner->observer_.on_no_reply(steady_now(), submission.id, NoReplyReason::kRelayExited);
    owner->observer_.on_connect_failed(steady_now(), submission);
  }

  void give_up(NoReplyReason reason) {
    LoadGenerator* owner = owner_;
    const uint64_t id = submission_.id;
    finish_request();
    close();
    owner->observer_.on_no_reply(steady_now(), id, reason);
  }

  void close() {
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
  Submission submission_;
  std::string request_;
  uint64_t body_ = 0;
  std::string received_;
  std::array<char, 512> bytes_;
  bool is_connected_ = false;
  bool is_busy_ = false;
  bool is_retry_ = false;
};

LoadGenerator::LoadGenerator(boost::asio::io_context& io, std::vector<tcp::endpoint> relays, Options options,
                             Observer& observer, IsDown is_down)
    : io_(io),
      relays_(std::move(relays)),
      enabled_(relays_.size(), false),
      options_(options),
      observer_(observer),
      is_down_(std::move(is_down)),
      idle_(relays_.size()) {}

LoadGenerator::~LoadGenerator() {
  *alive_ = false;
  for (const auto& connection : connections_) connection->detach();
}

void LoadGenerator::set_enabled(int relay, bool enabled) { enabled_[static_cast<size_t>(relay)] = enabled; }

int LoadGenerator::pick_relay() {
  for (size_t i = 0; i < enabled_.size(); ++i) {
    last_picked_ = (last_picked_ + 1) % enabled_.size();
    if (enabled_[last_picked_]) return static_cast<int>(last_picked_);
  }
  return -1;
}

void LoadGenerator::submit(const Submission& submission, const std::string& attributes, std::string body) {
  send(submission, put_request(submission.id, attributes, body), hash_bytes(body), false);
}

void LoadGenerator::send(const Submission& submission, const std::string& request, uint64_t body,
                         bool is_retry) {
  auto& idle = idle_[static_cast<size_t>(submission.relay)];
  std::shared_ptr<Connection> connection;
  if (!idle.empty() && !is_retry) {
    connection = idle.back();
    idle.pop_back();
  } else {
    connection = std::make_shared<Connection>(*this, submission.relay);
    connections_.insert(connection);
    ++connections_opened_;
  }
  connection->start(submission, request, body, is_retry);
}

void LoadGenerator::ping(int relay, std::function<void(bool)> on_reply) {
  struct Ping {
    explicit Ping(boost::asio::io_context& io) : socket(io), timer(io) {}
    tcp::socket socket;
    boost::asio::steady_timer timer;
    std::array<char, 64> bytes{};
    bool finished = false;
  };
  auto ping = std::make_shared<Ping>(io_);
  const auto end = [ping, on_reply = std::move(on_reply)](bool ok) {
    if (std::exchange(ping->finished, true)) return;
    ping->timer.cancel();
    on_reply(ok);
  };
  ping->timer.expires_after(std::chrono::microseconds(options_.reply_timeout));
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

IdleClients::IdleClients(boost::asio::io_context& io, tcp::endpoint relay, double connects_per_second,
                         Time until)
    : io_(io),
      relay_(std::move(relay)),
      interval_(static_cast<Time>(1e6 / std::max(1.0, connects_per_second))),
      next_connect_(steady_now()),
      until_(until),
      timer_(io) {
  open_connections();
}

IdleClients::~IdleClients() {
  for (const auto& socket : sockets_) {
    Error ignored;
    socket->close(ignored);
  }
}

void IdleClients::open_connections() {
  const Time now = steady_now();
  if (now >= until_) return sockets_.clear();
  for (; next_connect_ <= now; next_connect_ += interval_) {
    if (sockets_.size() >= kMaxIdleClients) sockets_.erase(sockets_.begin());
    auto socket = std::make_shared<tcp::socket>(io_);
    sockets_.push_back(socket);
    socket->async_connect(relay_, [socket](const Error&) {});
  }
  timer_.expires_at(at_time(next_connect_));
  timer_.async_wait([this](const Error& error) {
    if (!error) open_connections();
  });
}

}  // namespace umberhoist::standins

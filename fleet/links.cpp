#include "fleet/links.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace umberhoist::fleet {
namespace {

using Error = boost::system::error_code;
using std::chrono::milliseconds;

constexpr milliseconds kIdleTimeout{30'000};  // heartbeats are sent far more often
constexpr milliseconds kReconnectDelay{200};  // after a connection has failed or closed
constexpr size_t kReadBytes = 64 * 1024;
constexpr size_t kHeaderBytes = 4;

}  // namespace

std::string encode_frame(const register_pb::Frame& frame) {
  std::string out(kHeaderBytes, '\0');
  if (!frame.AppendToString(&out) || out.size() - kHeaderBytes > kMaxFrameBytes) return "";
  const auto size = static_cast<uint32_t>(out.size() - kHeaderBytes);
  for (size_t i = 0; i < kHeaderBytes; ++i) out[i] = static_cast<char>(size >> (8 * i));
  return out;
}

std::optional<register_pb::Frame> decode_frame(std::string& bytes, bool& malformed) {
  malformed = false;
  if (bytes.size() < kHeaderBytes) return std::nullopt;
  uint32_t size = 0;
  for (size_t i = 0; i < kHeaderBytes; ++i)
    size |= static_cast<uint32_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
  malformed = size > kMaxFrameBytes;
  if (malformed || bytes.size() - kHeaderBytes < size) return std::nullopt;
  register_pb::Frame frame;
  malformed = !frame.ParseFromArray(bytes.data() + kHeaderBytes, static_cast<int>(size));
  bytes.erase(0, kHeaderBytes + size);
  if (malformed) return std::nullopt;
  return frame;
}

class Links::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Links& owner, tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), timer_(owner.io_) {}

  std::function<void()> on_closed;

  void start() {
    Error ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    connected_ = true;
    restart_idle_timer();
    read();
    write();
  }
  void connect(const tcp::endpoint& address) {
    restart_idle_timer();
    socket_.async_connect(address, [self = shared_from_this()](const Error& error) {
      if (error) return self->close();
      self->start();
    });
  }
  void send(std::string bytes) {
    if (owner_ == nullptr || bytes.empty()) return;
    queued_bytes_ += bytes.size();
    write_queue_.push_back(std::move(bytes));
    // The frame that is being written must stay in the queue.
    while (queued_bytes_ > owner_->max_queued_bytes_ && write_queue_.size() > 1 + (writing_ ? 1U : 0U)) {
      const auto oldest = write_queue_.begin() + (writing_ ? 1 : 0);
      queued_bytes_ -= oldest->size();
      write_queue_.erase(oldest);
    }
    write();
  }
  void close() {
    if (owner_ == nullptr) return;
    owner_ = nullptr;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
    const auto callback = std::move(on_closed);
    if (callback) callback();
  }
  void close_silently() {  // without calling on_closed
    on_closed = nullptr;
    close();
  }

 private:
  void restart_idle_timer() {
    timer_.expires_after(kIdleTimeout);
    timer_.async_wait([self = shared_from_this()](const Error& error) {
      if (!error) self->close();
    });
  }
  void read() {
    const size_t had = read_buffer_.size();
    read_buffer_.resize(had + kReadBytes);
    socket_.async_read_some(
        boost::asio::buffer(read_buffer_.data() + had, kReadBytes),
        [self = shared_from_this(), had](const Error& error, size_t got) {
          self->read_buffer_.resize(had + got);
          if (error || self->owner_ == nullptr) return self->close();
          self->restart_idle_timer();
          bool malformed = false;
          while (self->owner_ != nullptr) {
            const auto frame = decode_frame(self->read_buffer_, malformed);
            if (!frame) break;
            self->owner_->record_sender(frame->from(), self);
            self->owner_->receive_(*frame, [weak = self->weak_from_this()](const register_pb::Frame& answer) {
              if (const auto to = weak.lock()) to->send(encode_frame(answer));
            });
          }
          if (malformed) return self->close();
          if (self->owner_ != nullptr) self->read();
        });
  }
  void write() {
    if (writing_ || !connected_ || write_queue_.empty() || owner_ == nullptr) return;
    writing_ = true;
    boost::asio::async_write(socket_, boost::asio::buffer(write_queue_.front()),
                             [self = shared_from_this()](const Error& error, size_t) {
                               self->writing_ = false;
                               if (error || self->owner_ == nullptr) return self->close();
                               self->queued_bytes_ -= self->write_queue_.front().size();
                               self->write_queue_.pop_front();
                               self->write();
                             });
  }

  Links* owner_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::string read_buffer_;
  std::deque<std::string> write_queue_;
  size_t queued_bytes_ = 0;
  bool connected_ = false;
  bool writing_ = false;
};

Links::Links(boost::asio::io_context& io, const Config& config, ReceiveCallback receive)
    : io_(io),
      max_connections_(config.max_connections),
      max_queued_bytes_(config.max_queued_bytes),
      receive_(std::move(receive)),
      acceptor_(io, config.listen) {
  for (const auto& [name, address] : config.voters) {
    if (name == config.node.name) continue;
    VoterLink& link = voters_[name];
    link.address = address;
    link.reconnect_timer = std::make_unique<boost::asio::steady_timer>(io);
  }
  accept();
}

Links::~Links() {
  for (auto& [name, link] : voters_) {
    if (link.connection) link.connection->close_silently();
  }
  for (const auto& connection : accepted_) connection->close_silently();
}

// The table is bounded: names whose connection has closed are removed when it is full.
void Links::record_sender(const std::string& name, const std::shared_ptr<Connection>& connection) {
  if (by_name_.size() > 4 * max_connections_) {
    std::erase_if(by_name_, [](const auto& entry) { return entry.second.expired(); });
  }
  if (by_name_.size() <= 4 * max_connections_ || by_name_.contains(name)) by_name_[name] = connection;
}

void Links::accept() {
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (!error && accepted_.size() < max_connections_) {
      const auto connection = std::make_shared<Connection>(*this, std::move(socket));
      accepted_.insert(connection);
      connection->on_closed = [this, weak = std::weak_ptr(connection)] { accepted_.erase(weak.lock()); };
      connection->start();
    }
    accept();
  });
}

void Links::connect(VoterLink& link) {
  if (link.connection || link.reconnect_pending) return;
  link.connection = std::make_shared<Connection>(*this, tcp::socket(io_));
  link.connection->on_closed = [this, &link] {
    link.connection.reset();
    link.reconnect_pending = true;
    link.reconnect_timer->expires_after(kReconnectDelay);
    link.reconnect_timer->async_wait([&link](const Error& error) {
      if (!error) link.reconnect_pending = false;
    });
  };
  link.connection->connect(link.address);
}

void Links::send(const std::string& to, const register_pb::Frame& frame) {
  std::string bytes = encode_frame(frame);
  const auto voter = voters_.find(to);
  if (voter != voters_.end()) {
    connect(voter->second);
    if (voter->second.connection) voter->second.connection->send(std::move(bytes));
    return;
  }
  const auto known = by_name_.find(to);
  if (known == by_name_.end()) return;
  if (const auto connection = known->second.lock()) {
    connection->send(std::move(bytes));
  } else {
    by_name_.erase(known);
  }
}

}  // namespace umberhoist::fleet

#include "fleet/links.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace umberhoist::fleet {
namespace {

using Error = boost::system::error_code;
using std::chrono::milliseconds;

constexpr milliseconds kSilence{30'000};  // beats come far more often
constexpr milliseconds kAgain{200};       // after a connection that failed or ended
constexpr size_t kReadAtOnce = 64 * 1024;
constexpr size_t kHead = 4;

}  // namespace

std::string encode_frame(const register_pb::Frame& frame) {
  std::string out(kHead, '\0');
  if (!frame.AppendToString(&out) || out.size() - kHead > kMaxFrameBytes) return "";
  const auto size = static_cast<uint32_t>(out.size() - kHead);
  for (size_t i = 0; i < kHead; ++i) out[i] = static_cast<char>(size >> (8 * i));
  return out;
}

std::optional<register_pb::Frame> decode_frame(std::string& bytes, bool& bad) {
  bad = false;
  if (bytes.size() < kHead) return std::nullopt;
  uint32_t size = 0;
  for (size_t i = 0; i < kHead; ++i)
    size |= static_cast<uint32_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
  bad = size > kMaxFrameBytes;
  if (bad || bytes.size() - kHead < size) return std::nullopt;
  register_pb::Frame frame;
  bad = !frame.ParseFromArray(bytes.data() + kHead, static_cast<int>(size));
  bytes.erase(0, kHead + size);
  if (bad) return std::nullopt;
  return frame;
}

class Links::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Links& owner, tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), timer_(owner.io_) {}

  std::function<void()> ended;

  void start() {
    Error ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    up_ = true;
    heard();
    read();
    write();
  }
  void connect(const tcp::endpoint& address) {
    heard();
    socket_.async_connect(address, [self = shared_from_this()](const Error& error) {
      if (error) return self->end();
      self->start();
    });
  }
  void send(std::string bytes) {
    if (owner_ == nullptr || bytes.empty()) return;
    queued_ += bytes.size();
    out_.push_back(std::move(bytes));
    // The one that is being written stays.
    while (queued_ > owner_->most_queued_ && out_.size() > 1 + (writing_ ? 1U : 0U)) {
      const auto oldest = out_.begin() + (writing_ ? 1 : 0);
      queued_ -= oldest->size();
      out_.erase(oldest);
    }
    write();
  }
  void end() {
    if (owner_ == nullptr) return;
    owner_ = nullptr;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
    const auto tell = std::move(ended);
    if (tell) tell();
  }
  void drop() {  // without telling anybody
    ended = nullptr;
    end();
  }

 private:
  void heard() {
    timer_.expires_after(kSilence);
    timer_.async_wait([self = shared_from_this()](const Error& error) {
      if (!error) self->end();
    });
  }
  void read() {
    const size_t had = in_.size();
    in_.resize(had + kReadAtOnce);
    socket_.async_read_some(
        boost::asio::buffer(in_.data() + had, kReadAtOnce),
        [self = shared_from_this(), had](const Error& error, size_t got) {
          self->in_.resize(had + got);
          if (error || self->owner_ == nullptr) return self->end();
          self->heard();
          bool bad = false;
          while (self->owner_ != nullptr) {
            const auto frame = decode_frame(self->in_, bad);
            if (!frame) break;
            self->owner_->know(frame->from(), self);
            self->owner_->receive_(*frame, [weak = self->weak_from_this()](const register_pb::Frame& answer) {
              if (const auto to = weak.lock()) to->send(encode_frame(answer));
            });
          }
          if (bad) return self->end();
          if (self->owner_ != nullptr) self->read();
        });
  }
  void write() {
    if (writing_ || !up_ || out_.empty() || owner_ == nullptr) return;
    writing_ = true;
    boost::asio::async_write(socket_, boost::asio::buffer(out_.front()),
                             [self = shared_from_this()](const Error& error, size_t) {
                               self->writing_ = false;
                               if (error || self->owner_ == nullptr) return self->end();
                               self->queued_ -= self->out_.front().size();
                               self->out_.pop_front();
                               self->write();
                             });
  }

  Links* owner_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::string in_;
  std::deque<std::string> out_;
  size_t queued_ = 0;
  bool up_ = false;
  bool writing_ = false;
};

Links::Links(boost::asio::io_context& io, const Config& config, ReceiveCallback receive)
    : io_(io),
      most_connections_(config.max_connections),
      most_queued_(config.max_queued_bytes),
      receive_(std::move(receive)),
      acceptor_(io, config.listen) {
  for (const auto& [name, address] : config.voters) {
    if (name == config.node.name) continue;
    Outgoing& link = voters_[name];
    link.address = address;
    link.pause = std::make_unique<boost::asio::steady_timer>(io);
  }
  accept();
}

Links::~Links() {
  for (auto& [name, link] : voters_) {
    if (link.connection) link.connection->drop();
  }
  for (const auto& connection : taken_) connection->drop();
}

// By connections that are open: a name that nobody answers to any more makes room.
void Links::know(const std::string& name, const std::shared_ptr<Connection>& connection) {
  if (by_name_.size() > 4 * most_connections_) {
    std::erase_if(by_name_, [](const auto& entry) { return entry.second.expired(); });
  }
  if (by_name_.size() <= 4 * most_connections_ || by_name_.contains(name)) by_name_[name] = connection;
}

void Links::accept() {
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (!error && taken_.size() < most_connections_) {
      const auto connection = std::make_shared<Connection>(*this, std::move(socket));
      taken_.insert(connection);
      connection->ended = [this, weak = std::weak_ptr(connection)] { taken_.erase(weak.lock()); };
      connection->start();
    }
    accept();
  });
}

void Links::connect(Outgoing& link) {
  if (link.connection || link.pausing) return;
  link.connection = std::make_shared<Connection>(*this, tcp::socket(io_));
  link.connection->ended = [this, &link] {
    link.connection.reset();
    link.pausing = true;
    link.pause->expires_after(kAgain);
    link.pause->async_wait([&link](const Error& error) {
      if (!error) link.pausing = false;
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

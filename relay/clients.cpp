#include "clients.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <cctype>
#include <charconv>
#include <limits>
#include <numeric>
#include <stdexcept>

#include "resp.h"

namespace firspool::relay {
namespace {

using umberhoist::resources::MemoryShare;
using umberhoist::resources::MemoryUse;

constexpr auto kAcceptBackoff = std::chrono::milliseconds(50);
constexpr auto kSweepInterval = std::chrono::milliseconds(100);
constexpr Time kSecond = 1'000'000;
// A client that cannot be served must get an error or a close within 3 s of connecting.
constexpr Time kFirstCommandTimeout = 5 * kSecond / 2;  // from connecting
constexpr Time kCommandTimeout = 2 * kSecond;           // from the first byte of a command to its last
// The first command has to end within kFirstCommandTimeout of connecting, but always gets at least this long.
constexpr Time kMinCommandTimeout = 3 * kSecond / 10;
constexpr Time kClientTimeout = 2 * kSecond / 5;  // after which a client abandons its request
constexpr Time kWriteTimeout = 2 * kSecond;       // of a reply that the client does not read
constexpr auto kAcknowledgementPollInterval = std::chrono::milliseconds(5);
// A lingering close ends when the client has closed its side, has sent nothing for a while, or has sent too
// much.
constexpr Time kLingerIdleTimeout = kSecond;
constexpr Time kLingerTimeout = 5 * kSecond;  // lets a client that is still sending read its error
constexpr size_t kMaxLingerBytes = 96 * 1024 * 1024;
constexpr size_t kLingerReadBytes = 256 * 1024;
// One in so many connections may be lingering; beyond that the oldest of them is closed.
constexpr size_t kLingeringDivisor = 8;
// How long a connection has to be idle before it may be closed to accept another one at the limit.
constexpr Time kMinIdleToEvict = 2 * kSecond;          // since the last reply
constexpr Time kMinIdleToEvictForced = kSecond / 20;   // where no connection has been idle for that long
constexpr Time kMinSilenceToEvict = 3 * kSecond / 10;  // since connecting, without a command
// The same for a connection with an unfinished request, since that request's first byte.
constexpr Time kMinRequestTimeToEvict = kSecond / 10;
constexpr Time kMinUnreadTimeToEvict = kSecond / 5;  // of a reply that its client does not read
constexpr auto kPausedRetryInterval = std::chrono::milliseconds(10);  // until the next look for memory
// Replies longer than this need memory from the pool.
constexpr size_t kMaxUnpooledReply = 256;
// Heap of one connection without its input and replies: the session, its socket and pending operations.
constexpr size_t kSessionBytes = 1536;
constexpr auto kFullRetryInterval = std::chrono::milliseconds(20);  // until the next look for room
const std::string kUnfinishedReply = "-BUSY 200";                   // where a request is given up
// Clients may hold a third of the descriptors for requests, which is two thirds of the connections here. Idle
// connections are limited to a quarter of the connections, so that they never delay the next one.
constexpr size_t kIdleDivisor = 4;
constexpr Time kMinIdleTime = kSecond / 20;  // lets a client that sends its next request at once reuse it
constexpr size_t kMaxNameLength = 128;       // ids, keys and class names
constexpr Time kMaxLifetimeMs = Time{24} * 3600 * 1000;

// Ids and keys are written into HTTP headers and journal records, so characters that could break those are
// rejected.
bool is_valid_name(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isgraph(c) != 0; });
}

int64_t parse_number(std::string_view text, int64_t max) {
  int64_t value = -1;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < 0 || value > max) {
    // The value is not quoted: a line break in it would forge a reply.
    throw std::invalid_argument("a number is unreadable or out of range");
  }
  return value;
}

std::string to_upper(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::toupper(c); });
  return text;
}

}  // namespace

Submission parse_put(const std::vector<std::string>& words) {
  if (words.size() != 5) throw std::invalid_argument("MSG.PUT takes a key, an id, a list and a body");
  Submission out;
  out.id = words[2];
  if (!is_valid_name(out.id)) throw std::invalid_argument("unreadable id");
  out.destination = -1;
  out.lifetime = -1;
  std::string_view rest = words[3];
  while (!rest.empty()) {
    const std::string_view item = rest.substr(0, rest.find(','));
    rest.remove_prefix(std::min(rest.size(), item.size() + 1));
    const size_t equals = item.find('=');
    if (equals == std::string_view::npos) throw std::invalid_argument("a name without a value");
    const std::string_view name = item.substr(0, equals);
    const std::string_view value = item.substr(equals + 1);
    if (name == "c") out.message_class = value;
    if (name == "k") out.key = value;
    if (name == "t") out.tenant = value;
    if (name == "d") out.lifetime = 1000 * parse_number(value, kMaxLifetimeMs);
    if (name == "dest") out.destination = static_cast<int>(parse_number(value, 1'000'000));
  }
  if (!is_valid_name(out.message_class)) throw std::invalid_argument("unreadable class");
  if (!out.key.empty() && !is_valid_name(out.key)) throw std::invalid_argument("unreadable idempotency key");
  if (!out.tenant.empty() && !is_valid_name(out.tenant)) throw std::invalid_argument("unreadable tenant");
  if (out.lifetime < 0) throw std::invalid_argument("no d");
  if (out.destination < 0) throw std::invalid_argument("no dest");
  out.body = words[4];
  return out;
}

// In the order in which they are evicted at the limit of connections.
enum class EvictionKind {
  kIdle,               // between requests, or without a first one, for long
  kUnfinishedRequest,  // a request takes longer than one that is written at once
  kUnreadReply,        // a reply takes longer than one that is read at once
  kShortlyIdle,
};

// The connection of one client. A request is read and answered before the next one is parsed. States and
// transitions:
//   kReading        between requests or within one; -> kAwaitingReply by a command, -> kWriting by an error
//   kAwaitingReply  a command is being handled; -> kWriting by its reply
//   kWriting        -> kReading, or after the last reply kLingering
//   kLingering      the sending side is shut down, input is discarded; -> kClosed
//   kClosed         by the client's close, an error, an unread reply or the end of the lingering close
// A connection whose client is still there is always closed by way of kLingering.
class ClientServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(ClientServer& owner, tcp::socket socket)
      : owner_(&owner),
        socket_(std::move(socket)),
        fixed_memory_(owner.memory_, MemoryUse::kClientConnections),
        input_memory_(owner.memory_, MemoryUse::kClientInput),
        reply_memory_(owner.memory_, MemoryUse::kClientReplies),
        state_since_(steady_now()) {
    fixed_memory_.set(kSessionBytes);
  }

  std::list<std::shared_ptr<Session>>::iterator position;

  void process_next() {
    if (!parser_.empty()) {
      const ClientPresence presence = client_presence();
      if (presence == ClientPresence::kGone) return close();
      if (presence == ClientPresence::kUnknown) return wait_for_acknowledgement();
    }
    std::optional<std::vector<std::string>> words;
    try {
      words = parser_.next();
    } catch (const RespError& error) {
      return reply_and_close("-ERR protocol error: " + std::string(error.what()));
    }
    input_memory_.set(parser_.capacity());
    if (words) {
      command_started_at_ = 0;
      return handle_command(*words);
    }
    if (owner_ == nullptr) return;
    if (parser_.empty()) {
      command_started_at_ = 0;
    } else if (command_started_at_ == 0) {
      command_started_at_ = steady_now();
    }
    state_ = State::kReading;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](auto error) { self->on_readable(error); });
    if (owner_->shutting_down_) close_if_idle();
  }

  // For the shutdown. Cancels the pending wait for input; its handler closes the connection unless bytes have
  // arrived meanwhile, which are a request to be served. A connection that is new gets a moment to send its
  // first request.
  void close_if_idle() {
    if (state_ != State::kReading || !parser_.empty()) return;
    if (!sent_command_ && steady_now() - state_since_ < kMinSilenceToEvict) return;
    boost::system::error_code ignored;
    socket_.cancel(ignored);
  }

  // The memory account may be gone before the last operation on the connection is.
  void detach() {
    owner_ = nullptr;
    release_memory();
    boost::system::error_code ignored;
    socket_.close(ignored);
  }

  // Between requests for at least `min_idle`, with no unread input. False before the first command, which has
  // a limit of its own.
  bool is_idle_for(Time min_idle, Time now) const {
    return sent_command_ && state_ == State::kReading && command_started_at_ == 0 &&
           now - state_since_ >= min_idle && has_no_unread_input();
  }

  // Closes the connection where a step takes too long. Commands are timed from their first byte: timed from
  // the last one, a client that sends a byte at a time would never reach the limit.
  void enforce_time_limits(Time now) {
    const Time began = state_ == State::kReading && command_started_at_ != 0 ? now - command_started_at_ : 0;
    if (began >= kCommandTimeout ||
        (!sent_command_ && began >= kMinCommandTimeout && now - state_since_ >= kFirstCommandTimeout)) {
      reply_and_close("-ERR the command took too long");
    } else if (state_ == State::kReading && !sent_command_ && command_started_at_ == 0 &&
               now - state_since_ >= kFirstCommandTimeout && has_no_unread_input()) {
      start_lingering();
    } else if ((state_ == State::kWriting && now - state_since_ >= kWriteTimeout) ||
               (state_ == State::kLingering &&
                (now - state_since_ >= kLingerTimeout || now - last_byte_at_ >= kLingerIdleTimeout))) {
      close();
    }
  }

  // For how long the connection has been a candidate for eviction of this kind; negative: it is none. Never
  // with a request that was read whole.
  Time eviction_age(Time now, EvictionKind kind) const {
    if (kind == EvictionKind::kUnreadReply)
      return state_ == State::kWriting ? now - state_since_ - kMinUnreadTimeToEvict : -1;
    if (state_ != State::kReading) return -1;
    const bool unfinished = command_started_at_ != 0;
    if (unfinished != (kind == EvictionKind::kUnfinishedRequest)) return -1;
    if (unfinished) return now - command_started_at_ - kMinRequestTimeToEvict;
    const Time min_idle = kind == EvictionKind::kIdle ? kMinIdleToEvict : kMinIdleToEvictForced;
    return now - state_since_ - (sent_command_ ? min_idle : kMinSilenceToEvict);
  }

  // With unread input there may be a request in it, unless there is no memory to read it.
  bool may_be_evicted(EvictionKind kind) const {
    return kind == EvictionKind::kUnreadReply || waits_for_memory_ || has_no_unread_input();
  }

  // An unfinished request was not acted on, and its client is told so.
  void evict() {
    if (state_ == State::kWriting) return close();
    if (command_started_at_ != 0) {
      const std::string line = kUnfinishedReply + "\r\n";
      ::send(socket_.native_handle(), line.data(), line.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    start_lingering();
  }

  // Tries again to read after pause_reading().
  void resume_reading() { on_readable({}); }

  // Memory of an unfinished request that is older than one that is written at once; 0: none.
  size_t stalled_input(Time now) const {
    const bool stalled = state_ == State::kReading && command_started_at_ != 0 &&
                         now - command_started_at_ >= kMinRequestTimeToEvict;
    return stalled ? input_memory_.bytes() : 0;
  }

  bool has_no_unread_input() const {
    boost::system::error_code error;
    return socket_.available(error) == 0 || error;
  }

  // Closing a socket with unread input sends a reset, which may destroy a reply in flight. So the sending
  // side is shut down and further input is discarded. A request that crosses this gets no reply and is not
  // acted on: its client sends it again on a new connection.
  void start_lingering() {
    if (owner_ == nullptr || state_ == State::kLingering) return;
    state_ = State::kLingering;
    state_since_ = last_byte_at_ = steady_now();
    parser_ = RespParser();
    input_memory_.set(0);
    command_started_at_ = 0;
    boost::system::error_code ignored;
    socket_.cancel(ignored);
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    discard_input();
    owner_->on_lingering(position);
  }

  void close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
    const State before = std::exchange(state_, State::kClosed);
    release_memory();
    if (owner_ == nullptr) return;
    std::exchange(owner_, nullptr)->remove_session(position, before == State::kLingering);
  }

 private:
  enum class State { kReading, kAwaitingReply, kWriting, kLingering, kClosed };

  void on_readable(const boost::system::error_code& error) {
    if (owner_ == nullptr || state_ != State::kReading) return;
    if (error == boost::asio::error::operation_aborted && has_no_unread_input()) return start_lingering();
    if (error && error != boost::asio::error::operation_aborted) return close();
    const size_t allowed = input_allowance();
    waits_for_memory_ = allowed == 0;
    if (waits_for_memory_) return owner_->pause_reading(shared_from_this());
    boost::system::error_code failed;
    const size_t count = socket_.read_some(boost::asio::buffer(owner_->read_buffer_, allowed), failed);
    if (failed == boost::asio::error::would_block) return process_next();
    if (count == 0) return close();
    last_byte_at_ = steady_now() - time_since_last_byte();
    parser_.feed({owner_->read_buffer_.data(), count}, input_memory_.bytes());
    input_memory_.set(parser_.capacity());
    process_next();
  }

  // How many bytes may be read now; 0: none, as there is no memory for them. A request that is as long as it
  // says gets the memory for all of it at once.
  size_t input_allowance() {
    boost::system::error_code ignored;
    const size_t available = std::min(socket_.available(ignored), owner_->read_buffer_.size());
    if (available == 0) return 1;  // finds out that nothing came, or that the client has ended
    const size_t wanted = std::max(parser_.size() + available, parser_.expected_size());
    if (wanted <= owner_->limits_.unpooled_input) return owner_->limits_.unpooled_input - parser_.size();
    if (input_memory_.try_grow_to(wanted)) return std::max<size_t>(1, available);
    return owner_->limits_.unpooled_input - std::min(owner_->limits_.unpooled_input, parser_.size());
  }

  // Time since the kernel received the newest byte. A message's lifetime runs from then, also while this
  // process was busy or the connection waited to be accepted.
  Time time_since_last_byte() {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
    return Time{1000} * info.tcpi_last_data_recv;
  }

  void release_memory() {
    for (MemoryShare* share : {&fixed_memory_, &input_memory_, &reply_memory_}) share->set(0);
  }

  enum class ClientPresence { kThere, kUnknown, kGone };

  // A client that closed its connection has given up and hands its messages in elsewhere, under new ids: what
  // it left unread here must not be acted on. Its end is seen ahead of that input. A client that only ended
  // its sending side is told from it by the last reply, which the other answers with a reset.
  ClientPresence client_presence() {
    pollfd descriptor{socket_.native_handle(), POLLRDHUP, 0};
    if (::poll(&descriptor, 1, 0) <= 0) return ClientPresence::kThere;
    if ((descriptor.revents & (POLLERR | POLLHUP)) != 0) return ClientPresence::kGone;
    if ((descriptor.revents & POLLRDHUP) == 0) return ClientPresence::kThere;
    if (steady_now() - last_byte_at_ >= kClientTimeout) return ClientPresence::kGone;
    int unacknowledged = 0;
    const bool known = ::ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) == 0;
    return known && unacknowledged > 0 ? ClientPresence::kUnknown : ClientPresence::kThere;
  }

  void wait_for_acknowledgement() {
    state_ = State::kWriting;
    const auto timer = std::make_shared<boost::asio::steady_timer>(owner_->io_, kAcknowledgementPollInterval);
    timer->async_wait([self = shared_from_this(), timer](auto) {
      if (self->owner_ != nullptr && self->state_ == State::kWriting) self->process_next();
    });
  }

  void handle_command(const std::vector<std::string>& words) {
    sent_command_ = true;
    state_ = State::kAwaitingReply;
    const std::string command = to_upper(words[0]);
    if (command == "PING" && words.size() <= 2) {
      if (words.size() == 1) return reply("+PONG");
      const size_t bytes = words[1].size();
      if (bytes > kMaxUnpooledReply && !reply_memory_.try_grow_to(bytes + kMaxUnpooledReply))
        return reply(kUnfinishedReply);
      std::string line;
      line.reserve(bytes + kMaxUnpooledReply);
      return reply(std::move(line.append("$" + std::to_string(bytes) + "\r\n").append(words[1])));
    }
    if (command != "MSG.PUT") return reply("-ERR unknown command");
    if (owner_ == nullptr) return;
    try {
      Submission submission = parse_put(words);
      submission.lifetime = std::max<Time>(0, submission.lifetime - (steady_now() - last_byte_at_));
      owner_->submit_(std::move(submission),
                      [self = shared_from_this()](const std::string& line) { self->reply(line); });
    } catch (const std::invalid_argument& error) {
      reply(std::string("-ERR ") + error.what());
    }
  }

  void reply(std::string line) {
    if (state_ == State::kClosed) return;
    write_buffer_ = std::move(line) + "\r\n";
    reply_memory_.set(write_buffer_.capacity());
    state_ = State::kWriting;
    state_since_ = steady_now();
    boost::asio::async_write(socket_, boost::asio::buffer(write_buffer_),
                             [self = shared_from_this()](auto error, size_t) {
                               if (self->owner_ == nullptr) return;
                               if (error) return self->close();
                               std::string().swap(self->write_buffer_);
                               self->reply_memory_.set(0);
                               self->state_since_ = steady_now();
                               self->close_after_reply_ ? self->start_lingering() : self->process_next();
                             });
  }

  // For errors after which the rest of the input cannot be parsed.
  void reply_and_close(const std::string& line) {
    close_after_reply_ = true;
    reply(line);
  }

  void discard_input() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](auto error) {
      if (self->owner_ == nullptr || self->state_ != State::kLingering) return;
      if (error == boost::asio::error::operation_aborted) return self->discard_input();
      if (error) return self->close();
      const ssize_t got =
          ::recv(self->socket_.native_handle(), nullptr, kLingerReadBytes, MSG_TRUNC | MSG_DONTWAIT);
      const bool empty = got < 0 && (errno == EAGAIN || errno == EINTR);
      if (got > 0) {
        self->lingered_bytes_ += static_cast<size_t>(got);
        self->last_byte_at_ = steady_now();
      }
      if ((got <= 0 && !empty) || self->lingered_bytes_ > kMaxLingerBytes) return self->close();
      self->discard_input();
    });
  }

  ClientServer* owner_;
  tcp::socket socket_;
  RespParser parser_;
  std::string write_buffer_;
  MemoryShare fixed_memory_, input_memory_, reply_memory_;
  State state_ = State::kReading;
  Time state_since_;  // of connecting, the last reply, or the start of the current write or lingering close
  Time last_byte_at_ = 0;        // when the newest byte arrived
  Time command_started_at_ = 0;  // when the first byte of the current command was read; 0: none
  size_t lingered_bytes_ = 0;
  bool sent_command_ = false;
  bool waits_for_memory_ = false;  // to read on
  bool close_after_reply_ = false;
};

ClientServer::ClientServer(boost::asio::io_context& io, const tcp::endpoint& listen, const Limits& limits,
                           umberhoist::resources::MemoryAccount& memory, SubmitCallback submit)
    : io_(io),
      acceptor_(io),
      accept_backoff_(io),
      sweep_timer_(io),
      resume_timer_(io),
      limits_(limits),
      memory_(memory),
      max_lingering_(std::max<size_t>(1, limits.max_connections / kLingeringDivisor)),
      max_active_(limits.max_connections - max_lingering_),
      submit_(std::move(submit)) {
  acceptor_.open(listen.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  if (limits_.socket_buffer > 0) {  // before listening, so that accepted connections have them from the start
    const int bytes = static_cast<int>(limits_.socket_buffer);
    boost::system::error_code ignored;
    acceptor_.set_option(tcp::acceptor::receive_buffer_size(bytes), ignored);
    acceptor_.set_option(tcp::acceptor::send_buffer_size(bytes), ignored);
  }
  acceptor_.bind(listen);
  acceptor_.listen();
  accept();
  sweep();
}

ClientServer::~ClientServer() {
  paused_.clear();
  for (const auto& session : sessions_) session->detach();
  for (const auto& session : lingering_) session->detach();
}

void ClientServer::accept() {
  if (shutting_down_ || accepting_) return;
  if (sessions_.size() >= max_active_ && !evict_session()) return accept_after(kFullRetryInterval);
  accepting_ = true;
  acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    accepting_ = false;
    if (error) {  // out of descriptors, or the client has closed already: retrying at once would spin
      return accept_after(kAcceptBackoff);
    }
    start_session(std::move(socket));
    accept();
  });
}

void ClientServer::accept_after(std::chrono::milliseconds delay) {
  accept_backoff_.expires_after(delay);
  accept_backoff_.async_wait([this](const boost::system::error_code& error) {
    if (!error) accept();
  });
}

void ClientServer::start_session(tcp::socket socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  auto session = std::make_shared<Session>(*this, std::move(socket));
  session->position = sessions_.insert(sessions_.end(), session);
  ++recent_connections_.front();
  session->process_next();
}

// At the limit, closes the connection that can best be spared. Clients keep connections open indefinitely,
// some connect and send nothing or stop within a request: they would lock out clients with messages to
// submit.
bool ClientServer::evict_session() {
  const Time now = steady_now();
  std::shared_ptr<Session> best;
  for (const EvictionKind kind : {EvictionKind::kIdle, EvictionKind::kUnfinishedRequest,
                                  EvictionKind::kUnreadReply, EvictionKind::kShortlyIdle}) {
    Time longest = -1;
    for (const auto& session : sessions_) {
      const Time eviction_age = session->eviction_age(now, kind);
      if (eviction_age <= longest || !session->may_be_evicted(kind)) continue;
      longest = eviction_age;
      best = session;
    }
    if (best) break;
  }
  if (!best) return false;
  accepting_ = true;  // suppresses the accept that on_lingering starts: the caller starts it
  best->evict();
  accepting_ = false;
  return true;
}

// Stops reading from a connection until there is memory for its input: TCP then holds its client up.
void ClientServer::pause_reading(std::shared_ptr<Session> session) {
  paused_.push_back(std::move(session));
  if (paused_.size() > 1) return;
  resume_timer_.expires_after(kPausedRetryInterval);
  resume_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) resume_reading();
  });
}

void ClientServer::resume_reading() {
  evict_greediest();
  for (const auto& session : std::exchange(paused_, {})) session->resume_reading();
}

// Frees the largest part of the input's memory that waits for the rest of its request.
void ClientServer::evict_greediest() {
  const Time now = steady_now();
  std::shared_ptr<Session> greediest;
  for (const auto& session : sessions_) {
    if (session->stalled_input(now) > (greediest ? greediest->stalled_input(now) : 0)) greediest = session;
  }
  if (greediest) greediest->evict();
}

// Lingering connections do not count against the active ones, and their number is bounded.
void ClientServer::on_lingering(std::list<std::shared_ptr<Session>>::iterator position) {
  lingering_.splice(lingering_.end(), sessions_, position);
  if (lingering_.size() > max_lingering_) lingering_.front()->close();
  accept();
}

// How long a connection may stay idle. By Little's law the number of idle connections is the arrival rate
// times the time that each is kept: with clients that open one for each message, 121 a second kept for 2 s
// would take 242 descriptors, and clients that may not hold so many could not reach this relay at all. Where
// few connections arrive they are kept.
Time ClientServer::max_idle_time() const {
  const size_t connections =
      std::accumulate(recent_connections_.begin(), recent_connections_.end(), size_t{0});
  if (connections == 0) return std::numeric_limits<Time>::max();
  const Time window =
      kSweepInterval / std::chrono::microseconds(1) * static_cast<Time>(recent_connections_.size());
  return std::max(kMinIdleTime,
                  window * static_cast<Time>(max_active_ / kIdleDivisor) / static_cast<Time>(connections));
}

void ClientServer::sweep() {
  const Time now = steady_now();
  const Time max_idle_time = this->max_idle_time();
  for (auto next = sessions_.begin(); next != sessions_.end();) {
    const auto session = *next++;
    session->is_idle_for(max_idle_time, now) ? session->start_lingering() : session->enforce_time_limits(now);
    if (shutting_down_) session->close_if_idle();
  }
  for (auto next = lingering_.begin(); next != lingering_.end();) (*next++)->enforce_time_limits(now);
  std::rotate(recent_connections_.begin(), recent_connections_.end() - 1, recent_connections_.end());
  recent_connections_.front() = 0;
  accept();
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) sweep();
  });
}

void ClientServer::remove_session(std::list<std::shared_ptr<Session>>::iterator position, bool lingering) {
  (lingering ? lingering_ : sessions_).erase(position);
  if (!lingering) accept();
}

// Accepts what is still in the backlog first: closing the listener would reset those connections, whose
// clients may have sent a request already.
void ClientServer::shut_down() {
  shutting_down_ = true;
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  while (!error && sessions_.size() < max_active_) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) start_session(std::move(socket));
  }
  acceptor_.close(error);
  accept_backoff_.cancel();
  for (auto next = sessions_.begin(); next != sessions_.end();) (*next++)->close_if_idle();
}

}  // namespace firspool::relay

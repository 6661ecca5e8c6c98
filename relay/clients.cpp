#include "clients.h"

#include <netinet/tcp.h>
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

constexpr auto kAcceptPause = std::chrono::milliseconds(50);
constexpr auto kSweep = std::chrono::milliseconds(100);
constexpr Time kSecond = 1'000'000;
// A client that cannot be served is owed an error or a close within 3 s of connecting.
constexpr Time kMostSilent = 5 * kSecond / 2;     // with nothing ever sent
constexpr Time kMostCommand = 2 * kSecond;        // from a command's first byte to its last
constexpr Time kLeastCommand = 3 * kSecond / 10;  // the first one gets what is left of the silence, but this
constexpr Time kClientWaits = 2 * kSecond / 5;    // then it gives its request up
constexpr Time kMostWrite = 2 * kSecond;          // for an answer that the client does not read
// A lingering close ends when the client has closed too, or nothing came for a while, or too much did.
constexpr Time kLingerQuiet = kSecond;
constexpr Time kMostLinger = 5 * kSecond;  // so that a client that is still sending gets to read its error
constexpr size_t kMostLingered = 96 * 1024 * 1024;  // bytes
constexpr size_t kLingerAtOnce = 256 * 1024;
constexpr size_t kLingerShare = 8;  // part of the room that may be taken by them: beyond it the oldest goes
// For another connection to be let in, at the limit.
constexpr Time kIdleLeast = 2 * kSecond;         // between requests
constexpr Time kPressedLeast = kSecond / 20;     // the same, where every other was of use just now
constexpr Time kSilentLeast = 3 * kSecond / 10;  // with nothing ever sent
// Clients may hold a third of the descriptors for requests, two thirds of the room here. Connections
// that stand idle are kept to a quarter of the room, so that they never are what holds the next one up.
constexpr size_t kIdleShare = 4;
constexpr Time kIdleShortest = kSecond / 20;        // a client that goes on at once finds its connection open
constexpr size_t kMostName = 128;                   // ids, keys and class names
constexpr Time kMostLife = Time{24} * 3600 * 1000;  // milliseconds

// Ids and keys become header lines and journal records: nothing that could break one passes.
bool is_name(std::string_view text) {
  return !text.empty() && text.size() <= kMostName &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isgraph(c) != 0; });
}

int64_t number(std::string_view text, int64_t most) {
  int64_t value = -1;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < 0 || value > most) {
    throw std::invalid_argument("a number is unreadable or out of range");  // its bytes could forge a line
  }
  return value;
}

std::string upper(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::toupper(c); });
  return text;
}

}  // namespace

Submission parse_put(const std::vector<std::string>& words) {
  if (words.size() != 5) throw std::invalid_argument("MSG.PUT takes a key, an id, a list and a body");
  Submission out;
  out.id = words[2];
  if (!is_name(out.id)) throw std::invalid_argument("unreadable id");
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
    if (name == "d") out.lifetime = 1000 * number(value, kMostLife);
    if (name == "dest") out.destination = static_cast<int>(number(value, 1'000'000));
  }
  if (!is_name(out.message_class)) throw std::invalid_argument("unreadable class");
  if (!out.key.empty() && !is_name(out.key)) throw std::invalid_argument("unreadable idempotency key");
  if (!out.tenant.empty() && !is_name(out.tenant)) throw std::invalid_argument("unreadable tenant");
  if (out.lifetime < 0) throw std::invalid_argument("no d");
  if (out.destination < 0) throw std::invalid_argument("no dest");
  out.body = words[4];
  return out;
}

// One client: a request is read, answered, and only then the next one is looked at. The states of its
// connection, and what leads on:
//   kReading    between requests or within one; -> kServing by a whole command, -> kWriting by an error
//   kServing    its answer is not known yet; -> kWriting by the answer
//   kWriting    -> kReading, or after the last answer kLingering
//   kLingering  this side has shut its sending; -> kClosed
//   kClosed     by the client's end, an error, an answer that is not read, or the end of the lingering
// Whatever ends a connection of a client that is still there passes through kLingering.
class ClientServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(ClientServer& owner, tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), since_(steady_now()) {}

  std::list<std::shared_ptr<Session>>::iterator place;

  void proceed() {
    std::optional<std::vector<std::string>> words;
    try {
      words = parser_.next();
    } catch (const RespError& error) {
      return refuse("-ERR protocol error: " + std::string(error.what()));
    }
    if (words) {
      began_ = 0;
      return handle(*words);
    }
    if (owner_ == nullptr) return;
    if (parser_.empty()) {
      began_ = 0;
    } else if (began_ == 0) {
      began_ = steady_now();
    }
    state_ = State::kReading;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](auto error) { self->readable(error); });
    if (owner_->finishing_) finish();
  }

  // Wakes a pending read, which then decides: bytes that came in the meantime are a request to be served. A
  // connection that has only just come gets a moment to bring its first.
  void finish() {
    if (state_ != State::kReading || !parser_.empty()) return;
    if (!spoke_ && steady_now() - since_ < kSilentLeast) return;
    boost::system::error_code ignored;
    socket_.cancel(ignored);
  }

  void orphan() {
    owner_ = nullptr;
    boost::system::error_code ignored;
    socket_.close(ignored);
  }

  // Between requests for longer than `most`, with nothing unread. One that never spoke has its own limit.
  bool idle_for(Time most, Time now) const {
    return spoke_ && state_ == State::kReading && began_ == 0 && now - since_ >= most && quiet();
  }

  // Ends what takes too long. Not by the time since the last byte: dribbled ones would put it off for ever.
  void check(Time now) {
    const Time began = state_ == State::kReading && began_ != 0 ? now - began_ : 0;
    if (began >= kMostCommand || (!spoke_ && began >= kLeastCommand && now - since_ >= kMostSilent)) {
      refuse("-ERR the command took too long");
    } else if (state_ == State::kReading && !spoke_ && began_ == 0 && now - since_ >= kMostSilent &&
               quiet()) {
      linger();
    } else if ((state_ == State::kWriting && now - since_ >= kMostWrite) ||
               (state_ == State::kLingering &&
                (now - since_ >= kMostLinger || now - came_ >= kLingerQuiet))) {
      close();
    }
  }

  // How long it could have been closed for another's sake; negative: not now. Never with a request open or
  // begun. `pressed`: nothing else is left that could go.
  Time spare(Time now, bool pressed) const {
    const Time age = now - since_;
    if (state_ != State::kReading || began_ != 0) return -1;
    return age - (!spoke_ ? kSilentLeast : pressed ? kPressedLeast : kIdleLeast);
  }

  // Nothing has come that was not read.
  bool quiet() const {
    boost::system::error_code error;
    return socket_.available(error) == 0 || error;
  }

  // A close over unread bytes is a reset, which may destroy an answer on its way. So the sending side is
  // shut, and what still comes is thrown away: a request that crosses this end gets no answer, so its client
  // sends it once more on a new connection, and it is not acted on here.
  void linger() {
    if (owner_ == nullptr || state_ == State::kLingering) return;
    state_ = State::kLingering;
    since_ = came_ = steady_now();
    parser_ = RespParser();
    began_ = 0;
    boost::system::error_code ignored;
    socket_.cancel(ignored);
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    linger_on();
    owner_->lingers(place);
  }

  void close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
    const State before = std::exchange(state_, State::kClosed);
    if (owner_ == nullptr) return;
    std::exchange(owner_, nullptr)->forget(place, before == State::kLingering);
  }

 private:
  enum class State { kReading, kServing, kWriting, kLingering, kClosed };

  void readable(const boost::system::error_code& error) {
    if (owner_ == nullptr || state_ != State::kReading) return;
    if (error == boost::asio::error::operation_aborted && quiet()) return linger();
    if (error && error != boost::asio::error::operation_aborted) return close();
    boost::system::error_code failed;
    const size_t count = socket_.read_some(boost::asio::buffer(owner_->bytes_), failed);
    if (failed == boost::asio::error::would_block) return proceed();
    if (count == 0) return close();
    const Time waiting = waited();
    if (waiting >= kClientWaits && hung_up()) return close();
    came_ = steady_now() - waiting;
    parser_.feed({owner_->bytes_.data(), count});
    proceed();
  }

  // How long the newest byte had been here: a message's time runs from then, also while this process was busy
  // or the connection stood in the queue to be accepted.
  Time waited() {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
    return Time{1000} * info.tcpi_last_data_recv;
  }

  // The client closed behind its request: it has given up, and handed the message in elsewhere under a new
  // id.
  bool hung_up() {
    char byte = 0;
    return ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  void handle(const std::vector<std::string>& words) {
    spoke_ = true;
    state_ = State::kServing;
    const std::string command = upper(words[0]);
    if (command == "PING" && words.size() <= 2) {
      if (words.size() == 1) return answer("+PONG");
      return answer("$" + std::to_string(words[1].size()) + "\r\n" + words[1]);
    }
    if (command != "MSG.PUT") return answer("-ERR unknown command");
    if (owner_ == nullptr) return;
    try {
      Submission handed = parse_put(words);
      handed.lifetime = std::max<Time>(0, handed.lifetime - (steady_now() - came_));
      owner_->put_(std::move(handed),
                   [self = shared_from_this()](const std::string& line) { self->answer(line); });
    } catch (const std::invalid_argument& error) {
      answer(std::string("-ERR ") + error.what());
    }
  }

  void answer(std::string line) {
    if (state_ == State::kClosed) return;
    out_ = std::move(line) + "\r\n";
    state_ = State::kWriting;
    since_ = steady_now();
    boost::asio::async_write(socket_, boost::asio::buffer(out_),
                             [self = shared_from_this()](auto error, size_t) {
                               if (self->owner_ == nullptr) return;
                               if (error) return self->close();
                               std::string().swap(self->out_);
                               self->since_ = steady_now();
                               self->last_ ? self->linger() : self->proceed();
                             });
  }

  // What follows cannot be read any more.
  void refuse(const std::string& line) {
    last_ = true;
    answer(line);
  }

  void linger_on() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](auto error) {
      if (self->owner_ == nullptr || self->state_ != State::kLingering) return;
      if (error == boost::asio::error::operation_aborted) return self->linger_on();
      if (error) return self->close();
      const ssize_t got =
          ::recv(self->socket_.native_handle(), nullptr, kLingerAtOnce, MSG_TRUNC | MSG_DONTWAIT);
      const bool empty = got < 0 && (errno == EAGAIN || errno == EINTR);
      if (got > 0) {
        self->lingered_ += static_cast<size_t>(got);
        self->came_ = steady_now();
      }
      if ((got <= 0 && !empty) || self->lingered_ > kMostLingered) return self->close();
      self->linger_on();
    });
  }

  ClientServer* owner_;
  tcp::socket socket_;
  RespParser parser_;
  std::string out_;
  State state_ = State::kReading;
  Time since_;      // when it connected, was last answered, or an answer or the lingering began
  Time came_ = 0;   // when the newest byte came
  Time began_ = 0;  // when a command's first byte was read; 0: none has begun
  size_t lingered_ = 0;
  bool spoke_ = false;
  bool last_ = false;
};

ClientServer::ClientServer(boost::asio::io_context& io, const tcp::endpoint& listen, size_t most,
                           SubmitCallback put)
    : io_(io),
      acceptor_(io),
      pause_(io),
      sweeper_(io),
      most_lingering_(std::max<size_t>(1, most / kLingerShare)),
      most_(most - most_lingering_),
      put_(std::move(put)) {
  acceptor_.open(listen.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(listen);
  acceptor_.listen();
  accept();
  sweep();
}

ClientServer::~ClientServer() {
  for (const auto& session : sessions_) session->orphan();
  for (const auto& session : lingering_) session->orphan();
}

void ClientServer::accept() {
  if (finishing_ || accepting_ || (sessions_.size() >= most_ && !make_room())) return;
  accepting_ = true;
  acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    accepting_ = false;
    if (error) {  // out of descriptors, or the client is gone again: an accept at once would spin
      pause_.expires_after(kAcceptPause);
      pause_.async_wait([this](const boost::system::error_code& stopped) {
        if (!stopped) accept();
      });
      return;
    }
    admit(std::move(socket));
    accept();
  });
}

void ClientServer::admit(tcp::socket socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  auto session = std::make_shared<Session>(*this, std::move(socket));
  session->place = sessions_.insert(sessions_.end(), session);
  ++came_.front();
  session->proceed();
}

// At the limit the connection that has been of no use for longest goes. Clients keep connections for
// good, and some connect and say nothing: they would shut out those that have something to hand in.
bool ClientServer::make_room() {
  const Time now = steady_now();
  std::shared_ptr<Session> best;
  for (const bool pressed : {false, true}) {
    Time most = -1;
    for (const auto& session : sessions_) {
      const Time spare = session->spare(now, pressed);
      if (spare <= most || !session->quiet()) continue;
      most = spare;
      best = session;
    }
    if (best) break;
  }
  if (!best) return false;  // the next look is the sweep's
  accepting_ = true;        // its end asks for the next accept: that is the caller's
  best->linger();
  accepting_ = false;
  return true;
}

// It takes no room of those that have something to hand in, and there are only so many like it.
void ClientServer::lingers(std::list<std::shared_ptr<Session>>::iterator place) {
  lingering_.splice(lingering_.end(), sessions_, place);
  if (lingering_.size() > most_lingering_) lingering_.front()->close();
  accept();
}

// How long a connection may stand idle. By Little's law as many are idle as come in that time: where clients
// open one for each message and keep it, 121 a second that are kept for 2 s would take 242 descriptors, and
// clients that may not hold so many could not reach this relay at all. Where few come they stay.
Time ClientServer::most_idle() const {
  const size_t came = std::accumulate(came_.begin(), came_.end(), size_t{0});
  if (came == 0) return std::numeric_limits<Time>::max();
  const Time window = kSweep / std::chrono::microseconds(1) * static_cast<Time>(came_.size());
  return std::max(kIdleShortest, window * static_cast<Time>(most_ / kIdleShare) / static_cast<Time>(came));
}

void ClientServer::sweep() {
  const Time now = steady_now();
  const Time most_idle = this->most_idle();
  for (auto next = sessions_.begin(); next != sessions_.end();) {
    const auto session = *next++;
    session->idle_for(most_idle, now) ? session->linger() : session->check(now);
    if (finishing_) session->finish();
  }
  for (auto next = lingering_.begin(); next != lingering_.end();) (*next++)->check(now);
  std::rotate(came_.begin(), came_.end() - 1, came_.end());
  came_.front() = 0;
  accept();
  sweeper_.expires_after(kSweep);
  sweeper_.async_wait([this](const boost::system::error_code& error) {
    if (!error) sweep();
  });
}

void ClientServer::forget(std::list<std::shared_ptr<Session>>::iterator place, bool lingering) {
  (lingering ? lingering_ : sessions_).erase(place);
  if (!lingering) accept();
}

// What the kernel has connected and nobody accepted would be reset with the listener: its client may have
// sent a request already.
void ClientServer::shut_down() {
  finishing_ = true;
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  while (!error && sessions_.size() < most_) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) admit(std::move(socket));
  }
  acceptor_.close(error);
  pause_.cancel();
  for (auto next = sessions_.begin(); next != sessions_.end();) (*next++)->finish();
}

}  // namespace firspool::relay

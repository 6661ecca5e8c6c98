#include "discovery.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace firspool::relay {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

using umberhoist::members::ListStreamParser;
using umberhoist::members::WatchEnd;
using umberhoist::members::WatchScheduler;

constexpr milliseconds kMinRetryDelay{50};
constexpr size_t kMaxOldStreams = 2;
constexpr size_t kMaxOverdueStreams = 4;
constexpr Time kMaxOverdueTime = 30'000'000;  // after which an overdue stream is taken for dead
// Lists that may be held in part at once, of the greatest size, by all streams.
constexpr size_t kMaxBufferedLists = 3;
constexpr Time kMillisecond = 1000;
constexpr Time kNever = std::numeric_limits<Time>::max();
// The agent is on this machine and replies at once. A notice may be up to 300 ms late, so that a second
// attempt is still in time.
constexpr milliseconds kPostTimeout{150};  // for the connection, and at first for the reply
constexpr milliseconds kMaxReplyTimeout{2400};
constexpr milliseconds kMaxPostRetryDelay{200};
// Bounds the connections to the agent that wait for their end in the kernel.
constexpr milliseconds kMinPostInterval{5};
constexpr size_t kMaxNoticesPerPost = 200;  // keeps a request well below the maximum body size

}  // namespace

// One connection with one response of unlimited length. States and transitions:
//   kConnecting  until the connection is established and the request written
//   kRequested   until the first item; a header with status 200 alone proves nothing
//   kFollowing   each item has to be followed by the next within the silence time-out
//   kEnded       after the end of the stream, long silence, malformed input, or close() by the owner
// A stream whose time-out has passed is overdue, and tells its owner. The next item makes it a healthy one.
// An end before kFollowing is kNoResponse, or kRefused if the status says so; one after it is kBroken.
class DiscoveryWatch::Stream : public std::enable_shared_from_this<Stream> {
 public:
  explicit Stream(DiscoveryWatch& owner)
      : owner_(&owner),
        address_(owner.address_),
        socket_(owner.io_),
        timer_(owner.io_),
        list_parser_(owner.max_list_bytes_) {}

  void start(int64_t revision) {
    set_timeout(owner_->scheduler_.first_item_timeout());
    request_.version(11);
    request_.method(http::verb::get);
    request_.target("/api/targets?stream=1&index=" + std::to_string(revision));
    request_.set(http::field::host, address_.address().to_string());
    parser_.body_limit(boost::none);
    socket_.async_connect(address_, [self = shared_from_this()](const Error& error) {
      if (error) return self->end();
      http::async_write(self->socket_, self->request_, [self](const Error& failed, size_t) {
        if (failed || self->state_ == State::kEnded) return self->end();
        self->state_ = State::kRequested;
        http::async_read_header(self->socket_, self->buffer_, self->parser_,
                                [self](const Error& header_error, size_t) { self->on_header(header_error); });
      });
    });
  }

  WatchEnd end_reason() const { return end_; }
  size_t buffered_bytes() const { return list_parser_.buffered_bytes(); }

  // Since the stream was started.
  Time waited() const {
    return std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - started_at_).count();
  }

  void close() {
    owner_ = nullptr;
    state_ = State::kEnded;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  enum class State { kConnecting, kRequested, kFollowing, kEnded };

  void on_header(const Error& error) {
    if (error) return end();
    if (parser_.get().result_int() != 200) {
      end_ = WatchEnd::kRefused;
      return end();
    }
    read();
  }

  void read() {
    http::async_read_some(socket_, buffer_, parser_, [self = shared_from_this()](const Error& error, size_t) {
      if (self->owner_ == nullptr) return;
      std::string& body = self->parser_.get().body();
      self->list_parser_.feed(body);
      body.clear();
      while (true) {
        const ListStreamParser::Item item = self->list_parser_.next();
        if (item.kind == ListStreamParser::ItemKind::kIncomplete) break;
        if (item.kind == ListStreamParser::ItemKind::kMalformed) return self->end();
        if (item.kind == ListStreamParser::ItemKind::kTooLong) {
          self->owner_->on_list_too_long();
          return self->end();
        }
        self->on_item();
        const bool readable = self->owner_->handle_item(self, item.text);
        if (self->owner_ == nullptr) return;
        if (!readable) return self->end();
      }
      if (error || self->parser_.is_done()) return self->end();
      self->owner_->limit_buffered_lists();
      if (self->owner_ != nullptr) self->read();
    });
  }

  // Only complete items reset the time-out: a list that never ends counts as silence.
  void on_item() {
    state_ = State::kFollowing;
    end_ = WatchEnd::kBroken;
    is_overdue_ = false;
    set_timeout(WatchScheduler::kSilenceTimeout);
  }

  void on_timeout() {
    if (std::exchange(is_overdue_, true) || owner_ == nullptr) return end();
    set_timeout(kMaxOverdueTime);
    owner_->on_stream_overdue(shared_from_this());
  }

  // The stream is overdue if nothing arrives in time: the agent or the network may fall silent while
  // connecting, within the header, or on an open connection.
  void set_timeout(Time timeout) {
    timer_.expires_after(std::chrono::microseconds(timeout));
    timer_.async_wait([self = shared_from_this(), generation = ++timer_generation_](const Error& error) {
      if (!error && generation == self->timer_generation_) self->on_timeout();
    });
  }

  void end() {
    state_ = State::kEnded;
    if (owner_ != nullptr) owner_->on_stream_ended(shared_from_this());
  }

  DiscoveryWatch* owner_;
  tcp::endpoint address_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  // Number of times that timer_ was set: tells an expiry that was already queued before the last time.
  uint64_t timer_generation_ = 0;
  const steady_clock::time_point started_at_ = steady_clock::now();
  State state_ = State::kConnecting;
  bool is_overdue_ = false;
  WatchEnd end_ = WatchEnd::kNoResponse;
  http::request<http::empty_body> request_;
  boost::beast::flat_buffer buffer_;
  http::response_parser<http::string_body> parser_;
  ListStreamParser list_parser_;
};

DiscoveryWatch::DiscoveryWatch(boost::asio::io_context& io, const tcp::endpoint& address, ListNames names,
                               RevisionProvider revision, ListCallback on_list, std::function<void()> on_item,
                               umberhoist::members::WatchScheduler scheduler, size_t max_list_bytes,
                               bool list_known)
    : io_(io),
      address_(address),
      names_(std::move(names)),
      get_revision_(std::move(revision)),
      on_list_(std::move(on_list)),
      on_item_(std::move(on_item)),
      scheduler_(std::move(scheduler)),
      max_list_bytes_(max_list_bytes),
      list_known_(list_known),
      retry_timer_(io) {}

void DiscoveryWatch::start() { connect_after(scheduler_.initial_delay(list_known_)); }

DiscoveryWatch::~DiscoveryWatch() {
  if (stream_) stream_->close();
  for (const auto& stream : overdue_streams_) stream->close();
  for (const auto& stream : old_streams_) stream->close();
}

void DiscoveryWatch::set_address(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  const Time pending_delay = stream_ ? kNever : time_until_retry();
  for (const auto& stream : std::exchange(overdue_streams_, {})) old_streams_.push_back(stream);
  if (stream_) old_streams_.push_back(std::exchange(stream_, nullptr));
  while (old_streams_.size() > kMaxOldStreams) {
    old_streams_.front()->close();
    old_streams_.erase(old_streams_.begin());
  }
  scheduler_.on_address_changed();
  // All relays get the new address at the same moment, as at a start.
  connect_after(std::min(scheduler_.initial_delay(true), pending_delay));
}

void DiscoveryWatch::connect_after(Time delay) {
  if (delay <= 0) {
    retry_timer_.cancel();
    return connect();
  }
  retry_timer_.expires_after(std::chrono::microseconds(delay));
  retry_timer_.async_wait([this](const Error& error) {
    if (!error && !stream_) connect();
  });
}

// Of a request that is scheduled.
Time DiscoveryWatch::time_until_retry() const {
  const auto left = retry_timer_.expiry() - steady_clock::now();
  return std::chrono::duration_cast<std::chrono::microseconds>(left).count();
}

void DiscoveryWatch::connect() {
  stream_ = std::make_shared<Stream>(*this);
  stream_->start(get_revision_());
}

void DiscoveryWatch::on_stream_ended(const std::shared_ptr<Stream>& stream) {
  stream->close();
  if (std::erase(old_streams_, stream) > 0) return;
  const bool was_overdue = std::erase(overdue_streams_, stream) > 0;
  // Another request has been made, or is due. A refusal says more of when it should be than the silence did.
  if (was_overdue && (stream_ || stream->end_reason() != WatchEnd::kRefused)) return;
  log_trouble(*stream);
  stream_.reset();
  connect_after(scheduler_.retry_delay(stream->end_reason(), stream->waited()));
}

// Of too many overdue streams the oldest stays: each of the others may be too young for a very slow
// discovery.
void DiscoveryWatch::on_stream_overdue(const std::shared_ptr<Stream>& stream) {
  if (stream != stream_) return;
  log_trouble(*stream);
  overdue_streams_.push_back(std::exchange(stream_, nullptr));
  if (overdue_streams_.size() > kMaxOverdueStreams) {
    const auto second_oldest = overdue_streams_.begin() + 1;
    (*second_oldest)->close();
    overdue_streams_.erase(second_oldest);
  }
  connect_after(scheduler_.retry_delay(stream->end_reason(), stream->waited()));
}

// An item has come on a stream to the present address: it replaces all others there.
void DiscoveryWatch::follow(const std::shared_ptr<Stream>& stream) {
  std::erase(overdue_streams_, stream);
  for (const auto& other : std::exchange(overdue_streams_, {})) other->close();
  if (stream == stream_) return;
  if (stream_) stream_->close();
  retry_timer_.cancel();
  stream_ = stream;
}

// A large list from a slow discovery may come on several streams at once.
void DiscoveryWatch::limit_buffered_lists() {
  size_t bytes = stream_ ? stream_->buffered_bytes() : 0;
  for (const auto& stream : old_streams_) bytes += stream->buffered_bytes();
  for (const auto& stream : overdue_streams_) bytes += stream->buffered_bytes();
  while (bytes > kMaxBufferedLists * max_list_bytes_ && !overdue_streams_.empty()) {
    bytes -= overdue_streams_.back()->buffered_bytes();
    overdue_streams_.back()->close();
    overdue_streams_.pop_back();
  }
}

// One line for each series of failures.
void DiscoveryWatch::log_trouble(const Stream& stream) {
  if (trouble_since_) return;
  trouble_since_ = steady_clock::now();
  const char* what = "the watch broke";
  if (stream.end_reason() == WatchEnd::kNoResponse) what = "a request got no reply";
  if (stream.end_reason() == WatchEnd::kRefused) what = "a request was refused";
  std::fprintf(stderr, "discovery at %s:%u: %s after %lld ms\n", address_.address().to_string().c_str(),
               address_.port(), what, static_cast<long long>(stream.waited() / kMillisecond));
}

void DiscoveryWatch::log_recovery() {
  if (!trouble_since_) return;
  const auto silent = std::chrono::duration_cast<milliseconds>(steady_clock::now() - *trouble_since_);
  std::fprintf(stderr, "discovery at %s:%u: heard again after %lld ms\n",
               address_.address().to_string().c_str(), address_.port(),
               static_cast<long long>(silent.count()));
  trouble_since_.reset();
}

void DiscoveryWatch::on_list_too_long() {
  if (std::exchange(too_long_logged_, true)) return;
  std::fprintf(stderr, "host list refused: longer than %zu bytes\n", max_list_bytes_);
}

bool DiscoveryWatch::handle_item(const std::shared_ptr<Stream>& stream, const std::string& list) {
  try {
    if (!list.empty()) {
      on_list_(parse_list_text(list, names_));
      too_long_logged_ = false;
    }
  } catch (const std::exception&) {  // malformed or refused: start again on a new connection
    return false;
  }
  if (std::find(old_streams_.begin(), old_streams_.end(), stream) == old_streams_.end()) {
    scheduler_.on_item();
    log_recovery();
    follow(stream);
  }
  on_item_();
  return true;
}

// One post of notices, on a connection of its own: a late reply to an earlier post would otherwise
// acknowledge notices that were never read.
class NoticeSender::Post : public std::enable_shared_from_this<Post> {
 public:
  Post(NoticeSender& owner, milliseconds reply_timeout)
      : owner_(&owner), reply_timeout_(reply_timeout), socket_(owner.io_), timer_(owner.io_) {}

  void send(const std::string& body) {
    request_.version(11);
    request_.method(http::verb::post);
    request_.target("/v2/finals");
    request_.set(http::field::host, owner_->address_.address().to_string());
    request_.set(http::field::content_type, "application/x-ndjson");
    request_.keep_alive(false);
    request_.body() = body;
    request_.prepare_payload();
    set_timeout(kPostTimeout);
    socket_.async_connect(owner_->address_, [self = shared_from_this()](const Error& error) {
      if (error) return self->end(PostResult::kFailed);
      Error ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->write();
    });
  }

  void close() {
    owner_ = nullptr;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  void write() {
    Error ignored;
    if (socket_.available(ignored) > 0)
      return end(PostResult::kFailed);  // what comes ahead of the request is no reply to it
    http::async_write(socket_, request_, [self = shared_from_this()](const Error& error, size_t) {
      if (error) return self->end(PostResult::kFailed);
      self->set_timeout(self->reply_timeout_);
      self->written_at_ = steady_clock::now();
      http::async_read(self->socket_, self->buffer_, self->response_, [self](const Error& failed, size_t) {
        const bool acknowledged = !failed && self->response_.result_int() == 204;
        self->end(acknowledged ? PostResult::kAcknowledged : PostResult::kFailed);
      });
    });
  }

  void set_timeout(milliseconds timeout) {
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](const Error& error) {
      if (error || self->timer_.expiry() > steady_clock::now()) return;
      self->end(PostResult::kTimedOut);
    });
  }

  void end(PostResult result) {
    timer_.cancel();
    if (owner_ != nullptr) owner_->on_post_ended(result, steady_clock::now() - written_at_);
  }

  NoticeSender* owner_;
  milliseconds reply_timeout_;
  steady_clock::time_point written_at_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  http::request<http::string_body> request_;
  boost::beast::flat_buffer buffer_;
  http::response<http::string_body> response_;
};

NoticeSender::NoticeSender(boost::asio::io_context& io, const tcp::endpoint& address,
                           AcknowledgedCallback on_acknowledged)
    : io_(io),
      address_(address),
      on_acknowledged_(std::move(on_acknowledged)),
      retry_timer_(io),
      retry_delay_(kMinRetryDelay),
      reply_timeout_(kPostTimeout) {}

NoticeSender::~NoticeSender() {
  if (post_) post_->close();
}

void NoticeSender::add(Notice notice) {
  queue_.push_back(std::move(notice));
  if (queue_.size() == 1) send_next();
}

void NoticeSender::set_address(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  if (post_) post_->close();
  post_.reset();
  in_flight_ = 0;
  retry_timer_.cancel();
  retry_delay_ = kMinRetryDelay;
  reply_timeout_ = kPostTimeout;
  earliest_post_ = {};
  send_next();
}

void NoticeSender::send_next() {
  if (in_flight_ > 0 || queue_.empty()) return;
  const auto now = std::chrono::steady_clock::now();
  if (now < earliest_post_) return send_at(earliest_post_);
  earliest_post_ = now + kMinPostInterval;
  std::string body;
  for (; in_flight_ < std::min(queue_.size(), kMaxNoticesPerPost); ++in_flight_) {
    const Notice& notice = queue_[in_flight_];
    nlohmann::json line = {{"id", notice.id}, {"state", notice.returned ? "returned" : "failed"}};
    if (notice.returned && notice.retry_after > 0) line["after_ms"] = (notice.retry_after + 999) / 1000;
    body += line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  }
  post_ = std::make_shared<Post>(*this, reply_timeout_);
  post_->send(body);
}

// `waited`: since the post was written. An agent that is slower than at first expected is waited for, as it
// would never acknowledge a notice otherwise.
void NoticeSender::on_post_ended(PostResult result, steady_clock::duration waited) {
  post_->close();
  post_.reset();
  if (result == PostResult::kAcknowledged) {
    reply_timeout_ =
        std::clamp(std::chrono::duration_cast<milliseconds>(2 * waited), kPostTimeout, kMaxReplyTimeout);
    for (; in_flight_ > 0; --in_flight_) {
      on_acknowledged_(queue_.front().id);
      queue_.pop_front();
    }
    retry_delay_ = kMinRetryDelay;
    return send_next();
  }
  if (result == PostResult::kTimedOut) reply_timeout_ = std::min(2 * reply_timeout_, kMaxReplyTimeout);
  in_flight_ = 0;
  send_at(std::chrono::steady_clock::now() + retry_delay_);
  retry_delay_ = std::min(2 * retry_delay_, kMaxPostRetryDelay);
}

void NoticeSender::send_at(std::chrono::steady_clock::time_point time) {
  retry_timer_.expires_at(time);
  retry_timer_.async_wait([this](const Error& error) {
    if (!error) send_next();
  });
}

}  // namespace firspool::relay

#include "discovery.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace firspool::relay {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;
using std::chrono::milliseconds;

using umberhoist::members::ListStreamParser;
using umberhoist::members::WatchEnd;
using umberhoist::members::WatchScheduler;

constexpr milliseconds kFirstPause{50};
constexpr size_t kMostOld = 2;
// The agent is on this machine and answers at once. A notice may be 300 ms late: a second try still is in
// time.
constexpr milliseconds kPostTimeout{150};
constexpr milliseconds kLongestPostPause{200};
constexpr size_t kMostList = 8 * 1024 * 1024;
constexpr size_t kMostNotices = 200;  // in one request: well under the largest body

}  // namespace

// One connection with one endless answer. Its states, and what leads on:
//   kConnecting  until the connection is up and the request written
//   kAsked       until its first word: a head with 200 says nothing yet
//   kFollowing   each word is followed by the next within the silence allowed
//   kEnded       by an end, silence, what is no list, or its owner
// An end before kFollowing is kNoResponse, or kRefused where the head says so; one after it is kBroken.
class DiscoveryWatch::Stream : public std::enable_shared_from_this<Stream> {
 public:
  explicit Stream(DiscoveryWatch& owner)
      : owner_(&owner), address_(owner.address_), socket_(owner.io_), timer_(owner.io_) {}

  void start(int64_t revision) {
    expect_by(owner_->pace_.first_item_timeout());
    request_.version(11);
    request_.method(http::verb::get);
    request_.target("/api/targets?stream=1&index=" + std::to_string(revision));
    request_.set(http::field::host, address_.address().to_string());
    parser_.body_limit(boost::none);
    socket_.async_connect(address_, [self = shared_from_this()](const Error& error) {
      if (error) return self->end();
      http::async_write(self->socket_, self->request_, [self](const Error& failed, size_t) {
        if (failed || self->state_ == State::kEnded) return self->end();
        self->state_ = State::kAsked;
        http::async_read_header(self->socket_, self->buffer_, self->parser_,
                                [self](const Error& none, size_t) { self->head(none); });
      });
    });
  }

  WatchEnd how() const { return how_; }

  void close() {
    owner_ = nullptr;
    state_ = State::kEnded;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  enum class State { kConnecting, kAsked, kFollowing, kEnded };

  void head(const Error& error) {
    if (error) return end();
    if (parser_.get().result_int() != 200) {
      how_ = WatchEnd::kRefused;
      return end();
    }
    read();
  }

  void read() {
    http::async_read_some(socket_, buffer_, parser_, [self = shared_from_this()](const Error& error, size_t) {
      if (self->owner_ == nullptr) return;
      std::string& body = self->parser_.get().body();
      self->words_.feed(body);
      body.clear();
      while (true) {
        const ListStreamParser::Item word = self->words_.next();
        if (word.kind == ListStreamParser::ItemKind::kIncomplete) break;
        if (word.kind == ListStreamParser::ItemKind::kMalformed) return self->end();
        self->heard();
        const bool readable = self->owner_->word(word.text);
        if (self->owner_ == nullptr) return;
        if (!readable) return self->end();
      }
      if (error || self->parser_.is_done()) return self->end();
      self->read();
    });
  }

  // Bytes alone are no sign of life: a list that never ends is silence.
  void heard() {
    state_ = State::kFollowing;
    how_ = WatchEnd::kBroken;
    expect_by(WatchScheduler::kSilenceTimeout);
  }

  // Guards against an agent or a path that fell silent with its connection open, or in the head, or before.
  void expect_by(Time within) {
    timer_.expires_after(std::chrono::microseconds(within));
    timer_.async_wait([self = shared_from_this(), due = ++due_](const Error& error) {
      if (!error && due == self->due_) self->end();
    });
  }

  void end() {
    state_ = State::kEnded;
    if (owner_ != nullptr) owner_->lost(shared_from_this());
  }

  DiscoveryWatch* owner_;
  tcp::endpoint address_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  uint64_t due_ = 0;  // how often the timer was set: an expiry of before, queued already, is of no weight
  State state_ = State::kConnecting;
  WatchEnd how_ = WatchEnd::kNoResponse;
  http::request<http::empty_body> request_;
  boost::beast::flat_buffer buffer_;
  http::response_parser<http::string_body> parser_;
  ListStreamParser words_{kMostList};
};

DiscoveryWatch::DiscoveryWatch(boost::asio::io_context& io, const tcp::endpoint& address, ListNames names,
                               RevisionProvider revision, ListCallback told, std::function<void()> current,
                               umberhoist::members::WatchScheduler pace, bool list_known)
    : io_(io),
      address_(address),
      names_(std::move(names)),
      revision_(std::move(revision)),
      told_(std::move(told)),
      current_(std::move(current)),
      pace_(std::move(pace)),
      pause_(io) {
  const Time pause = pace_.initial_delay(list_known);
  pause > 0 ? connect_after(pause) : connect();
}

DiscoveryWatch::~DiscoveryWatch() {
  if (stream_) stream_->close();
  for (const auto& stream : old_) stream->close();
}

void DiscoveryWatch::set_address(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  if (stream_) old_.push_back(std::exchange(stream_, nullptr));
  if (old_.size() > kMostOld) {
    old_.front()->close();
    old_.erase(old_.begin());
  }
  pause_.cancel();
  pace_.on_item();
  // Every relay is told the new address in the same moment, as at a start.
  const Time pause = pace_.initial_delay(true);
  pause > 0 ? connect_after(pause) : connect();
}

void DiscoveryWatch::connect_after(Time pause) {
  pause_.expires_after(std::chrono::microseconds(pause));
  pause_.async_wait([this](const Error& error) {
    if (!error && !stream_) connect();
  });
}

void DiscoveryWatch::connect() {
  stream_ = std::make_shared<Stream>(*this);
  stream_->start(revision_());
}

void DiscoveryWatch::lost(const std::shared_ptr<Stream>& stream) {
  stream->close();
  if (stream != stream_) return void(std::erase(old_, stream));
  stream_.reset();
  connect_after(pace_.retry_delay(stream->how()));
}

bool DiscoveryWatch::word(const std::string& list) {
  try {
    if (!list.empty()) told_(parse_list(nlohmann::json::parse(list), names_));
  } catch (const std::exception&) {  // unreadable: from the start, on a new connection
    return false;
  }
  pace_.on_item();
  current_();
  return true;
}

// A kept-alive connection for notices, one request at a time.
class NoticeSender::Post : public std::enable_shared_from_this<Post> {
 public:
  explicit Post(NoticeSender& owner) : owner_(&owner), socket_(owner.io_), timer_(owner.io_) {}

  void send(const std::string& body) {
    request_ = {};
    request_.version(11);
    request_.method(http::verb::post);
    request_.target("/v2/finals");
    request_.set(http::field::host, owner_->address_.address().to_string());
    request_.set(http::field::content_type, "application/x-ndjson");
    request_.body() = body;
    request_.prepare_payload();
    timer_.expires_after(kPostTimeout);
    timer_.async_wait([self = shared_from_this()](const Error& error) {
      if (!error) self->end(false);
    });
    if (socket_.is_open()) return write();
    socket_.async_connect(owner_->address_, [self = shared_from_this()](const Error& error) {
      if (error) return self->end(false);
      Error ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->write();
    });
  }

  bool reusable() const { return reusable_; }

  void close() {
    owner_ = nullptr;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  void write() {
    http::async_write(socket_, request_, [self = shared_from_this()](const Error& error, size_t) {
      if (error) return self->end(false);
      self->answer_ = {};
      http::async_read(self->socket_, self->buffer_, self->answer_, [self](const Error& failed, size_t) {
        self->reusable_ = !failed && self->answer_.keep_alive();
        self->end(!failed && self->answer_.result_int() == 204);
      });
    });
  }

  void end(bool taken) {
    timer_.cancel();
    reusable_ = reusable_ && taken;
    if (owner_ != nullptr) owner_->ended(taken);
  }

  NoticeSender* owner_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  http::request<http::string_body> request_;
  boost::beast::flat_buffer buffer_;
  http::response<http::string_body> answer_;
  bool reusable_ = false;
};

NoticeSender::NoticeSender(boost::asio::io_context& io, const tcp::endpoint& address,
                           AcknowledgedCallback sent)
    : io_(io), address_(address), sent_(std::move(sent)), pause_(io), back_off_(kFirstPause) {}

NoticeSender::~NoticeSender() {
  if (post_) post_->close();
}

void NoticeSender::add(Notice notice) {
  queue_.push_back(std::move(notice));
  if (queue_.size() == 1) proceed();
}

void NoticeSender::set_address(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  if (post_) post_->close();
  post_.reset();
  out_ = 0;
  pause_.cancel();
  back_off_ = kFirstPause;
  proceed();
}

void NoticeSender::proceed() {
  if (out_ > 0 || queue_.empty()) return;
  std::string body;
  for (; out_ < std::min(queue_.size(), kMostNotices); ++out_) {
    const Notice& notice = queue_[out_];
    nlohmann::json line = {{"id", notice.id}, {"state", notice.returned ? "returned" : "failed"}};
    if (notice.returned && notice.retry_after > 0) line["after_ms"] = (notice.retry_after + 999) / 1000;
    body += line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  }
  if (!post_) post_ = std::make_shared<Post>(*this);
  post_->send(body);
}

void NoticeSender::ended(bool taken) {
  if (!post_->reusable()) {
    post_->close();
    post_.reset();
  }
  if (taken) {
    for (; out_ > 0; --out_) {
      sent_(queue_.front().id);
      queue_.pop_front();
    }
    back_off_ = kFirstPause;
    return proceed();
  }
  out_ = 0;
  pause_.expires_after(back_off_);
  back_off_ = std::min(2 * back_off_, kLongestPostPause);
  pause_.async_wait([this](const Error& error) {
    if (!error) proceed();
  });
}

}  // namespace firspool::relay

#include "upstream.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>

namespace firspool::relay {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr Time kSecond = 1'000'000;
constexpr Time kIdleCloseMargin = kSecond;  // idle connections are closed this long before the host would
constexpr Time kProbeTimeout = 1500 * 1000;
constexpr size_t kMaxBodyBytes = 64 * 1024;
constexpr size_t kMaxIdlePerHost = 64;

// Limit of all that is read for one reply, including headers and 1xx replies.
constexpr size_t kMaxReplyBytes = 2 * kMaxBodyBytes;
constexpr size_t kReadBytes = 4 * 1024;
// From the first byte of a reply to its last. A reply that takes longer is taken for one that never ends.
constexpr Time kReplyCompletionTimeout = 300 * 1000;
// Surplus bytes that a host sends after a reply arrive within this time.
constexpr Time kSettleTime = 2 * 1000;
constexpr double kMaxReportedValue = 1e9;
constexpr double kMaxRetryAfterSeconds = 24 * 3600;
constexpr std::string_view kVersion = "HTTP/1.";

std::chrono::steady_clock::time_point at_time(Time t) {
  return std::chrono::steady_clock::time_point(std::chrono::microseconds(t));
}

// Whether the reply begins with a status line with 200, even if the rest is malformed.
bool has_status_200(std::string_view head) {
  constexpr std::string_view kOk = " 200";
  const size_t code = kVersion.size() + 1;
  return head.starts_with(kVersion) && head.size() > code + kOk.size() &&
         head.substr(code, kOk.size()) == kOk &&
         std::string_view(" \r\n").find(head[code + kOk.size()]) != std::string_view::npos;
}

// An idle connection must have nothing to read: readable means that the peer has closed it or sent surplus
// bytes.
bool is_usable(tcp::socket& socket) {
  char byte = 0;
  const ssize_t got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::optional<double> parse_decimal(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value) || value < 0)
    return {};
  return value;
}

// A value that is no number counts as 0. It applies to messages yet to come as well, so it is not limited by
// the lifetime of present ones; the limit only guards against overflow.
Time parse_retry_after(std::string_view text) {
  return static_cast<Time>(std::ceil(std::min(parse_decimal(text).value_or(0), kMaxRetryAfterSeconds) * 1e6));
}

std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

// A report with any malformed field is dropped as a whole: an unreadable field would be taken for a limit or
// load of zero.
std::vector<float> parse_report(std::string_view text, const std::vector<std::string>& fields) {
  if (fields.empty() || text.empty()) return {};
  std::vector<float> out(fields.size(), std::numeric_limits<float>::quiet_NaN());  // not reported
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), item.size() + 1));
    const size_t equals = item.find('=');
    if (equals == std::string_view::npos) return {};
    const auto field = std::find(fields.begin(), fields.end(), item.substr(0, equals));
    if (field == fields.end()) continue;
    const auto value = parse_decimal(item.substr(equals + 1));
    if (!value || *value > kMaxReportedValue) return {};
    out[static_cast<size_t>(field - fields.begin())] = static_cast<float>(*value);
  }
  return out;
}

}  // namespace

// One request and its reply on one connection. The reply is read from the request's first byte on: a host may
// refuse a call before it has read all of it, and a Retry-After in such a reply counts as in any other.
// States of the request (`RequestState`) and transitions:
//   kNotSent     connecting, or waiting for MayStart; -> kPartlySent by the first byte
//   kPartlySent  -> kSent by the last byte, -> kFailed by an error: the rest is never sent and cannot execute
//   kSent        from here on the call may be executed
//   kFailed      -> finished, by a reply that has arrived before, or by the end of the connection
class Upstream::Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Upstream& owner, Call call, bool probe)
      : owner_(&owner), call_(std::move(call)), is_probe_(probe), socket_(owner.io_), timer_(owner.io_) {}

  std::tuple<bool, uint64_t, int> key() const { return {is_probe_, call_.id, call_.attempt}; }

  void start() {
    started_at_ = steady_now();
    deadline_ = started_at_ + call_.timeout;
    if (auto idle = owner_->take_idle(call_.endpoint, call_.address)) {
      socket_ = std::move(idle->socket);
      return wait_until_settled(idle->since + kSettleTime);
    }
    connect();
  }

  void cancel() { abort(Outcome::kCancelled); }

  void detach() {
    finished_ = true;
    owner_ = nullptr;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

  void resume() {
    if (!finished_) write();
  }

 private:
  // Waits until surplus bytes after the last reply would have arrived: a second reply would otherwise be
  // taken for the reply to this call.
  void wait_until_settled(Time ready) {
    if (steady_now() >= ready) return reuse_connection();
    timer_.expires_at(at_time(ready));
    timer_.async_wait([self = shared_from_this()](const Error& error) {
      if (!error && !self->finished_) self->reuse_connection();
    });
  }

  void reuse_connection() {
    if (is_usable(socket_)) {
      set_timer(deadline_);
      return write();
    }
    Error ignored;
    socket_.close(ignored);
    connect();
  }

  void connect() {
    new_connection_ = true;
    set_timer(std::min(deadline_, started_at_ + owner_->limits_.connect_timeout));
    socket_.async_connect(call_.address, [self = shared_from_this()](const Error& error) {
      if (self->finished_) return;
      if (error) return self->finish(Outcome::kConnectFailed);
      Error ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->set_timer(self->deadline_);
      self->write();
    });
  }

  // An expiry that was already queued when the timer is set again still runs its handler; the generation
  // tells it apart. Otherwise a connection that is established in the same turn in which its connect time-out
  // expires would be aborted instead of getting the call's own time-out.
  void set_timer(Time at) {
    timer_.expires_at(at_time(at));
    timer_.async_wait([self = shared_from_this(), generation = ++timer_generation_](const Error& error) {
      if (!error && !self->finished_ && generation == self->timer_generation_) self->abort(Outcome::kTimeout);
    });
  }

  // A request that was not written completely cannot have been executed. Whether it was is known only when
  // the write has ended: if a completed but unreported write counted as incomplete, an unsafe call could be
  // sent twice.
  void abort(Outcome outcome) {
    if (finished_ || abort_outcome_) return;
    if (reply_started_) return finish_malformed();
    if (request_state_ != RequestState::kPartlySent) return finish(outcome_without_reply(outcome));
    abort_outcome_ = outcome;
    // Closes the socket, as cancelling is not enough: between two parts of a long write there is nothing to
    // cancel, and the next part might wait for the host for ever.
    Error ignored;
    socket_.close(ignored);
  }

  void write() {
    // Connecting took time, and conditions may have changed meanwhile.
    const StartDecision start = !is_probe_                           ? owner_->may_start_(call_)
                                : owner_->may_probe_(call_.endpoint) ? StartDecision::kYes
                                                                     : StartDecision::kNo;
    if (start == StartDecision::kLater) {
      owner_->deferred_.push_back(shared_from_this());
      return;
    }
    if (start == StartDecision::kNo) {
      reusable_ = true;
      return finish(Outcome::kNotStarted);
    }
    request_state_ = RequestState::kPartlySent;
    request_.version(11);
    request_.method(is_probe_ ? http::verb::get : http::verb::post);
    request_.target(is_probe_ ? "/-/healthy" : "/events");
    request_.set(http::field::host, call_.address.address().to_string());
    if (!is_probe_) {
      request_.set("X-Call-Id", call_.call_id);
      if (!call_.key.empty()) request_.set("Idempotency-Key", call_.key);
      const Time left = std::max<Time>(1, (deadline_ - steady_now()) / 1000);
      request_.set("X-Budget", std::to_string(left) + "m");
      request_.body() = std::move(call_.body);
      request_.prepare_payload();
    }
    http::async_write(socket_, request_, [self = shared_from_this()](const Error& error, size_t) {
      if (self->finished_) return;
      self->request_state_ = error ? RequestState::kFailed : RequestState::kSent;
      if (self->abort_outcome_) return self->finish(self->outcome_without_reply(*self->abort_outcome_));
    });
    read();
  }

  // Outcome of a call without a reply: `if_sent`, if the request was written completely.
  Outcome outcome_without_reply(Outcome if_sent) const {
    return request_state_ == RequestState::kSent ? if_sent : Outcome::kConnectFailed;
  }

  void read() {
    socket_.async_read_some(buffer_.prepare(kReadBytes),
                            [self = shared_from_this()](const Error& error, size_t count) {
                              if (self->finished_) return;
                              self->buffer_.commit(count);
                              self->bytes_read_ += count;
                              if (count > 0) return self->on_reply_bytes();
                              self->on_connection_ended(error);
                            });
  }

  // Once a reply has begun it has little time to complete: a host that sends a malformed one may keep the
  // connection open or send for ever.
  void on_reply_bytes() {
    if (!reply_started_) {
      reply_started_ = true;
      set_timer(std::min(deadline_, steady_now() + kReplyCompletionTimeout));
    }
    if (!parse_reply() || bytes_read_ > kMaxReplyBytes) return finish_malformed();
    if (parser_ && parser_->is_done()) return on_reply_complete();
    read();
  }

  // False: malformed. The buffer keeps the status line until the parser consumes it.
  bool parse_reply() {
    while (true) {
      if (!parser_) {
        parser_.emplace();
        parser_->eager(true);
        parser_->body_limit(kMaxBodyBytes);
      }
      if (!status_line_parsed_) {
        const std::string_view head(static_cast<const char*>(buffer_.data().data()), buffer_.size());
        status_ok_ = has_status_200(head);
        if (!kVersion.starts_with(head.substr(0, kVersion.size()))) return false;
      }
      Error error;
      const size_t consumed = parser_->put(buffer_.data(), error);
      status_line_parsed_ = status_line_parsed_ || consumed > 0;
      buffer_.consume(consumed);
      if (error && error != http::error::need_more) return false;
      if (!parser_->is_done() || parser_->get().result_int() >= 200) return true;
      parser_.reset();  // 1xx: the final reply follows
      status_line_parsed_ = false;
      if (buffer_.size() == 0) return true;
    }
  }

  // The host closed the connection, which may mark the end of the reply. If the request was written
  // completely, its write handler was queued before this one, so request_state_ is up to date.
  void on_connection_ended(const Error& error) {
    if (abort_outcome_) return;  // the socket was closed by abort(): the write handler decides
    if (!reply_started_) return finish(outcome_without_reply(Outcome::kReset));
    Error incomplete;
    if (error == boost::asio::error::eof && parser_ && parser_->is_header_done()) {
      parser_->put_eof(incomplete);
      if (!incomplete && parser_->is_done()) return on_reply_complete();
    }
    finish_malformed();
  }

  // The reply is incomplete or unreadable. The call may have been executed whatever the status, and was if
  // the status line says 200. A Retry-After in a complete header still counts.
  void finish_malformed() {
    final_ = status_ok_;
    if (parser_ && parser_->is_header_done() && parser_->get().result_int() == 429) read_retry_after();
    finish(status_ok_ ? Outcome::kOk : Outcome::kMalformed);
  }

  void read_retry_after() {
    retry_after_ = parse_retry_after(view(parser_->get()[http::field::retry_after]));
  }

  void on_reply_complete() {
    const auto& reply = parser_->get();
    reusable_ = parser_->keep_alive() && buffer_.size() == 0 && request_state_ == RequestState::kSent;
    load_report_ = parse_report(view(reply["X-Load-Report"]), owner_->report_fields_);
    switch (reply.result_int()) {
      case 200:
        final_ = true;
        return finish(Outcome::kOk);
      case 410:
        final_ = true;
        return finish(Outcome::kNotStarted);
      case 429:
        read_retry_after();
        return finish(Outcome::kRefused);
      case 503:
        if (view(reply["X-Egress-Full"]) == "1") return finish(Outcome::kNotStarted);
        // Refused and closed on a new connection: the host has reached its limit of connections. If it is
        // over a rate limit or its queue is full, it keeps the connection open.
        connection_limit_reached_ = new_connection_ && !parser_->keep_alive();
        return finish(Outcome::kRefused);
      case 504:
        return finish(Outcome::kNotStarted);
      default:
        return finish(Outcome::kError);
    }
  }

  void finish(Outcome outcome) {
    finished_ = true;
    timer_.cancel();
    const auto self = shared_from_this();
    owner_->exchanges_.erase(key());
    if (reusable_) {
      owner_->keep_idle(call_.endpoint, std::move(socket_));
    } else {
      Error ignored;
      socket_.close(ignored);
    }
    // The host's other idle connections may be dead as well. A call lost on one may have been executed, while
    // a call that cannot connect was not.
    if (outcome == Outcome::kTimeout || outcome == Outcome::kReset || outcome == Outcome::kConnectFailed) {
      owner_->close_idle(call_.endpoint);
    }
    const Time took = steady_now() - started_at_;
    if (is_probe_)
      return owner_->on_probe_ended_(
          {call_.endpoint, outcome == Outcome::kOk, took, std::move(load_report_)});
    AttemptEnded out;
    out.id = call_.id;
    out.attempt = call_.attempt;
    out.endpoint = call_.endpoint;
    out.outcome = outcome;
    out.final = final_;
    out.duration = took;
    out.retry_after = retry_after_;
    out.connection_limit_reached = connection_limit_reached_;
    out.report = std::move(load_report_);
    owner_->on_attempt_ended_(out, request_state_ != RequestState::kNotSent);
  }

  enum class RequestState { kNotSent, kPartlySent, kSent, kFailed };

  Upstream* owner_;
  Call call_;
  bool is_probe_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  http::request<http::string_body> request_;
  boost::beast::flat_buffer buffer_{kMaxBodyBytes};
  std::optional<http::response_parser<http::string_body>> parser_;
  Time started_at_ = 0;
  Time deadline_ = 0;
  uint64_t timer_generation_ = 0;  // number of times that timer_ was set
  RequestState request_state_ = RequestState::kNotSent;
  std::optional<Outcome> abort_outcome_;  // set if aborted while the write was pending
  bool finished_ = false;
  bool new_connection_ = false;  // as opposed to an idle one that was reused
  bool connection_limit_reached_ = false;
  bool reusable_ = false;            // the connection may be reused
  bool reply_started_ = false;       // a byte of the reply has arrived
  bool status_line_parsed_ = false;  // the parser has consumed the status line
  bool status_ok_ = false;           // the status line says 200
  size_t bytes_read_ = 0;
  bool final_ = false;
  Time retry_after_ = 0;
  std::vector<float> load_report_;
};

Upstream::Upstream(boost::asio::io_context& io, Limits limits, std::vector<std::string> report_fields,
                   MayStart may_start, MayProbe may_probe, AttemptCallback on_attempt_ended,
                   ProbeCallback on_probe_ended)
    : io_(io),
      limits_(limits),
      report_fields_(std::move(report_fields)),
      may_start_(std::move(may_start)),
      may_probe_(std::move(may_probe)),
      on_attempt_ended_(std::move(on_attempt_ended)),
      on_probe_ended_(std::move(on_probe_ended)),
      sweep_timer_(io) {
  sweep();
}

Upstream::~Upstream() {
  for (const auto& [key, exchange] : exchanges_) exchange->detach();
}

void Upstream::call(Call call) { start(std::make_shared<Exchange>(*this, std::move(call), false)); }

void Upstream::probe(const Endpoint& endpoint, const tcp::endpoint& address) {
  Call call;
  call.id = ++last_probe_id_;
  call.endpoint = endpoint;
  call.address = address;
  call.timeout = kProbeTimeout;
  start(std::make_shared<Exchange>(*this, std::move(call), true));
}

void Upstream::start(std::shared_ptr<Exchange> exchange) {
  exchanges_.emplace(exchange->key(), exchange);
  while (idle_count_ > 0 && exchanges_.size() + idle_count_ > limits_.max_connections) close_oldest_idle();
  exchange->start();
}

void Upstream::retry_deferred() {
  for (const auto& exchange : std::exchange(deferred_, {})) exchange->resume();
}

void Upstream::cancel(uint64_t id, int attempt) {
  const auto it = exchanges_.find({false, id, attempt});
  if (it == exchanges_.end()) return;
  const auto exchange = it->second;
  exchange->cancel();
}

void Upstream::close_idle(const Endpoint& endpoint) {
  const auto it = idle_connections_.find(endpoint);
  if (it == idle_connections_.end()) return;
  idle_count_ -= it->second.size();
  idle_connections_.erase(it);
}

std::optional<Upstream::IdleConnection> Upstream::take_idle(const Endpoint& endpoint,
                                                            const tcp::endpoint& address) {
  const auto it = idle_connections_.find(endpoint);
  if (it == idle_connections_.end()) return {};
  while (!it->second.empty()) {
    IdleConnection last = std::move(it->second.back());
    it->second.pop_back();
    --idle_count_;
    Error error;
    const bool same_address = last.socket.remote_endpoint(error) == address && !error;
    const bool recently_used = steady_now() - last.since < limits_.idle_timeout - kIdleCloseMargin;
    if (same_address && recently_used && is_usable(last.socket)) return last;
  }
  return {};
}

void Upstream::keep_idle(const Endpoint& endpoint, tcp::socket socket) {
  std::vector<IdleConnection>& list = idle_connections_[endpoint];
  if (list.size() >= kMaxIdlePerHost || exchanges_.size() + idle_count_ >= limits_.max_connections) return;
  list.push_back({std::move(socket), steady_now()});
  ++idle_count_;
}

// Makes room for a call: closes the least recently used idle connection.
void Upstream::close_oldest_idle() {
  const auto oldest =
      std::min_element(idle_connections_.begin(), idle_connections_.end(), [](const auto& a, const auto& b) {
        return !a.second.empty() && (b.second.empty() || a.second.front().since < b.second.front().since);
      });
  oldest->second.erase(oldest->second.begin());
  --idle_count_;
}

void Upstream::sweep() {
  const Time now = steady_now();
  for (auto& [endpoint, list] : idle_connections_) {
    idle_count_ -= std::erase_if(list, [&](IdleConnection& idle) {
      return now - idle.since >= limits_.idle_timeout - kIdleCloseMargin || !is_usable(idle.socket);
    });
  }
  std::erase_if(idle_connections_, [](const auto& entry) { return entry.second.empty(); });
  sweep_timer_.expires_after(std::chrono::milliseconds(250));
  sweep_timer_.async_wait([this](const Error& error) {
    if (!error) sweep();
  });
}

}  // namespace firspool::relay

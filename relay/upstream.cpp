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
constexpr Time kIdleCloseMargin = kSecond;  // idle connections go so long before the host closes them
constexpr Time kProbeTimeout = 1500 * 1000;
constexpr size_t kMaxBodyBytes = 64 * 1024;
constexpr size_t kMaxIdlePerHost = 64;  // idle

constexpr size_t kMaxReplyBytes =
    2 * kMaxBodyBytes;  // all that is read of one, heads and 1xx answers included
constexpr size_t kReadBytes = 4 * 1024;
constexpr Time kReplyCompletionTimeout =
    300 * 1000;  // an answer that has begun is whole within this time, or it never will be
constexpr Time kSettleTime = 2 * 1000;  // what a host sends behind an answer comes within this time
constexpr double kMaxReportedValue = 1e9;
constexpr double kMaxRetryAfterSeconds = 24 * 3600;  // seconds
constexpr std::string_view kVersion = "HTTP/1.";

std::chrono::steady_clock::time_point at_time(Time t) {
  return std::chrono::steady_clock::time_point(std::chrono::microseconds(t));
}

// A status line with 200, also where nothing behind it can be read.
bool has_status_200(std::string_view head) {
  constexpr std::string_view kOk = " 200";
  const size_t code = kVersion.size() + 1;
  return head.starts_with(kVersion) && head.size() > code + kOk.size() &&
         head.substr(code, kOk.size()) == kOk &&
         std::string_view(" \r\n").find(head[code + kOk.size()]) != std::string_view::npos;
}

// A closed or chattering peer shows in what can be read from a connection that should be silent.
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

// A wait that is no number is none. It binds also messages that are yet to come, so it is not cut short by
// the lives of those that are here; its bound guards the arithmetic alone.
Time parse_retry_after(std::string_view text) {
  return static_cast<Time>(std::ceil(std::min(parse_decimal(text).value_or(0), kMaxRetryAfterSeconds) * 1e6));
}

std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

// All of it or nothing: a field that cannot be read would pass for a limit or a load of zero.
std::vector<float> parse_report(std::string_view text, const std::vector<std::string>& fields) {
  if (fields.empty() || text.empty()) return {};
  std::vector<float> out(fields.size(), std::numeric_limits<float>::quiet_NaN());  // not told
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

// One request and its answer on one connection. The answer is listened for from the request's first byte on:
// a host may turn a call away before it has read all of it, and what it tells then binds as ever. How far the
// request is (`Sent`), and what leads on:
//   kNothing  its connection comes up, or the last look has not let it go yet; -> kPart by the first byte
//   kPart     -> kWhole by the last byte, -> kBroken by an error: the rest will never go, so it cannot run
//   kWhole    from here on it may have run
//   kBroken   -> over, by what had come before the end, or by the end
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
  // A second answer right behind the first would be taken for this call's: it shows before the call is
  // written.
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

  // An expiry that stood in the loop's queue when the timer was set anew still arrives, and is not the new
  // one's: a connection that comes up in the very turn in which its time ends has the call's time from then
  // on.
  void set_timer(Time at) {
    timer_.expires_at(at_time(at));
    timer_.async_wait([self = shared_from_this(), generation = ++timer_generation_](const Error& error) {
      if (!error && !self->finished_ && generation == self->timer_generation_) self->abort(Outcome::kTimeout);
    });
  }

  // What was never wholly written cannot have run. Whether it was is known only once the write has ended: one
  // that is done and not yet reported, taken for none, would let an unsafe call go twice.
  void abort(Outcome outcome) {
    if (finished_ || abort_outcome_) return;
    if (reply_started_) return finish_malformed();
    if (request_state_ != RequestState::kPartlySent) return finish(outcome_without_reply(outcome));
    abort_outcome_ = outcome;
    // Not cancelled: between two parts of a long write there is nothing to cancel, and the next one would
    // wait for its host for ever.
    Error ignored;
    socket_.close(ignored);
  }

  void write() {
    // The connection took its time: what was told meanwhile counts.
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

  // What became of a call to which nothing was answered.
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

  // From its first byte on an answer has little time to become whole: a host that spoils it may leave the
  // connection open, or go on for ever.
  void on_reply_bytes() {
    if (!reply_started_) {
      reply_started_ = true;
      set_timer(std::min(deadline_, steady_now() + kReplyCompletionTimeout));
    }
    if (!parse_reply() || bytes_read_ > kMaxReplyBytes) return finish_malformed();
    if (parser_ && parser_->is_done()) return on_reply_complete();
    read();
  }

  // False: it is no answer. The buffer holds a first line until the parser takes it.
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
      parser_.reset();  // 1xx: the answer itself follows
      status_line_parsed_ = false;
      if (buffer_.size() == 0) return true;
    }
  }

  // The host ended the connection, which may be how it marks an answer's end. A request that was wholly
  // written is known to be: the end of its write stands in the loop's queue before this.
  void on_connection_ended(const Error& error) {
    if (abort_outcome_) return;  // the read was cut off with the write, which decides
    if (!reply_started_) return finish(outcome_without_reply(Outcome::kReset));
    Error incomplete;
    if (error == boost::asio::error::eof && parser_ && parser_->is_header_done()) {
      parser_->put_eof(incomplete);
      if (!incomplete && parser_->is_done()) return on_reply_complete();
    }
    finish_malformed();
  }

  // The answer will never be whole. The call may have run whatever status it shows, and has if its first line
  // says so. A wait that its head tells has been told all the same.
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
        // Turned away and hung up on at once, on a new connection: the host holds all that it takes. Where it
        // is over a limit or its queue is full, the connection stays.
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
    // After silence the host's other idle connections are suspect: a call lost on one may have run, one that
    // finds no new connection has not.
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
  uint64_t timer_generation_ = 0;  // how often the timer was set
  RequestState request_state_ = RequestState::kNotSent;
  std::optional<Outcome> abort_outcome_;  // while its write had not ended
  bool finished_ = false;
  bool new_connection_ = false;  // it began on a new connection
  bool connection_limit_reached_ = false;
  bool reusable_ = false;            // the connection may be used again
  bool reply_started_ = false;       // the answer has begun
  bool status_line_parsed_ = false;  // the parser has taken its first line
  bool status_ok_ = false;           // and its first line says 200
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

// Makes room for a call: of all idle connections the one used least recently goes.
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

#include "upstream.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstring>
#include <optional>

#include "log_line.h"
#include "reply_fields.h"
#include "reply_parser.h"

namespace firspool::relay {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr Time kSecond = 1'000'000;
constexpr Time kIdleCloseMargin = kSecond;  // idle connections are closed this long before the host would
constexpr Time kProbeTimeout = 1500 * 1000;
constexpr size_t kMaxBodyBytes = 64 * 1024;

// Limit of all that is read for one reply, including headers and 1xx replies.
constexpr size_t kMaxReplyBytes = 2 * kMaxBodyBytes;
constexpr size_t kReadBytes = 4 * 1024;
// From the first byte of a reply to its last. A reply that takes longer is taken for one that never ends.
constexpr Time kReplyCompletionTimeout = 300 * 1000;
// Surplus bytes that a host sends right after a reply arrive within this time.
constexpr Time kSettleTime = 2 * 1000;
constexpr std::chrono::milliseconds kSweepInterval{250};

std::chrono::steady_clock::time_point at_time(Time t) {
  return std::chrono::steady_clock::time_point(std::chrono::microseconds(t));
}

std::string address_text(const HostConnection& connection) {
  Error error;
  const tcp::endpoint address = connection.socket.remote_endpoint(error);
  return error ? "unknown" : address.address().to_string() + ":" + std::to_string(address.port());
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
      : owner_(&owner), call_(std::move(call)), is_probe_(probe), timer_(owner.io_) {}

  std::tuple<bool, uint64_t, int> key() const { return {is_probe_, call_.id, call_.attempt}; }

  void start() {
    started_at_ = steady_now();
    deadline_ = started_at_ + call_.timeout;
    // A probe's reply decides on many messages, so it goes out on a new connection.
    if (!is_probe_) connection_ = owner_->take_idle(call_);
    if (connection_) return wait_until_settled(connection_->idle_since + kSettleTime);
    connect(is_probe_ ? ConnectReason::kProbe : owner_->reason_for_new_connection(call_));
  }

  void cancel() { abort(Outcome::kCancelled); }

  void detach() {
    finished_ = true;
    owner_ = nullptr;
    close_socket();
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
    set_timer(deadline_);
    write();
  }

  void connect(ConnectReason reason) {
    connection_ = owner_->make_connection(call_.endpoint, reason);
    owner_->open_bounded(connection_->socket, call_.address);
    set_timer(std::min(deadline_, started_at_ + owner_->limits_.connect_timeout));
    connection_->socket.async_connect(call_.address, [self = shared_from_this()](const Error& error) {
      if (self->finished_) return;
      if (error) return self->finish(Outcome::kConnectFailed);
      Error ignored;
      self->connection_->socket.set_option(tcp::no_delay(true), ignored);
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
    close_socket();
  }

  void close_socket() {
    Error ignored;
    if (connection_) connection_->socket.close(ignored);
  }

  bool is_first_request() const { return connection_->requests <= 1; }

  // Bytes that arrive before the request is written do not answer it. On a used connection they are surplus
  // of an earlier call, and the request goes out on a new one. On a new connection the host turns the
  // connection away: the request is not written. Returns whether it may be written.
  bool check_input_before_request() {
    std::string bytes;
    const Input input = read_input(*connection_, bytes);
    if (input == Input::kNone) return true;
    if (connection_->requests > 0) {
      if (input == Input::kSurplus) owner_->on_surplus(*connection_, bytes);
      owner_->pool_.close(connection_);
      connect(ConnectReason::kSurplusOnIdleConnection);
    } else if (input == Input::kEnd) {
      finish(Outcome::kConnectFailed);
    } else {
      read_bytes(bytes);
    }
    return false;
  }

  void read_bytes(const std::string& bytes) {
    const size_t count = std::min(bytes.size(), buffer_.max_size());
    std::memcpy(buffer_.prepare(count).data(), bytes.data(), count);
    buffer_.commit(count);
    bytes_read_ += count;
    on_reply_bytes();
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
    if (!check_input_before_request()) return;
    request_state_ = RequestState::kPartlySent;
    refusal_is_certain_ = connection_->is_refusal_certain();
    ++connection_->requests;
    request_.version(11);
    request_.method(is_probe_ ? http::verb::get : http::verb::post);
    request_.target(is_probe_ ? "/-/healthy" : "/events");
    request_.set(http::field::host, call_.address.address().to_string());
    if (!is_probe_) {
      request_.set("X-Call-Id", call_.call_id);
      if (!call_.key.empty()) request_.set("Idempotency-Key", call_.key);
      const Time left = std::max<Time>(1, (deadline_ - steady_now()) / 1000);
      request_.set("X-Budget", std::to_string(left) + "m");
      request_.body() = {call_.body->data(), call_.body->size()};
      request_.prepare_payload();
    }
    http::async_write(connection_->socket, request_, [self = shared_from_this()](const Error& error, size_t) {
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
    connection_->socket.async_read_some(buffer_.prepare(kReadBytes),
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
    if (!reply_started_) drop_line_breaks();
    if (buffer_.size() == 0) return read();
    if (!reply_started_) {
      reply_started_ = true;
      set_timer(std::min(deadline_, steady_now() + kReplyCompletionTimeout));
    }
    if (!parse_reply() || bytes_read_ > kMaxReplyBytes) return finish_malformed();
    if (parser_ && parser_->is_done()) return on_reply_complete();
    read();
  }

  // Line breaks ahead of a reply are no part of it.
  void drop_line_breaks() {
    const std::string_view text(static_cast<const char*>(buffer_.data().data()), buffer_.size());
    buffer_.consume(std::min(text.find_first_not_of("\r\n"), text.size()));
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
        if (!kHttpVersion.starts_with(head.substr(0, kHttpVersion.size()))) return false;
      }
      Error error;
      const size_t consumed = parser_->put(buffer_.data(), error);
      status_line_parsed_ = status_line_parsed_ || consumed > 0;
      buffer_.consume(consumed);
      if (error && error != http::error::need_more) return false;
      if (!parser_->is_done() || parser_->status() >= 200) return true;
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
    if (parser_ && parser_->is_header_done() && parser_->status() == 429) read_retry_after();
    finish(status_ok_ ? Outcome::kOk : Outcome::kMalformed);
  }

  void read_retry_after() { retry_after_ = parse_retry_after(parser_->retry_after()); }

  void on_reply_complete() {
    drop_line_breaks();
    reply_complete_ = true;
    keep_alive_ = parser_->keep_alive() && buffer_.size() == 0 && request_state_ == RequestState::kSent;
    load_report_ = parse_report(parser_->load_report(), owner_->report_fields_);
    switch (parser_->status()) {
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
        if (parser_->egress_full() == "1") return finish(Outcome::kNotStarted);
        // Refused and closed on a new connection: the host has reached its limit of connections. If it is
        // over a rate limit or its queue is full, it keeps the connection open.
        connection_limit_reached_ = is_first_request() && !parser_->keep_alive();
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
    // Whatever came, the host cannot have executed what was not written.
    if (request_state_ == RequestState::kNotSent && reply_started_ && outcome != Outcome::kRefused) {
      outcome = Outcome::kConnectFailed;
      final_ = false;
    }
    const bool delivered = outcome == Outcome::kOk;
    const bool unverified = reply_started_ && !is_first_request() && (delivered || !refusal_is_certain_);
    if (reply_started_ && !delivered) connection_->all_delivered = false;
    if (unverified && final_) {
      owner_->unverified_.add(connection_->id, call_.endpoint,
                              {call_.call_id, steady_now(), call_.message_due});
      owner_->log_.on_unverified_delivery();
    }
    if (!final_ && request_state_ != RequestState::kNotSent)
      owner_->report_doubtful(owner_->unverified_.on_ended(connection_->id), DoubtReason::kCallFailed);
    release_connection(unverified);
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
    out.reply_unverified = unverified;
    out.duration = took;
    out.retry_after = retry_after_;
    out.connection_limit_reached = connection_limit_reached_;
    out.report = std::move(load_report_);
    owner_->on_attempt_ended_(out, request_state_ != RequestState::kNotSent);
  }

  // A call that an unverified reply ended without delivering it may be sent again, so that this one has to be
  // over: the connection is shut down, and read from as long as the true reply may come.
  void release_connection(bool unverified) {
    const bool not_written = request_state_ == RequestState::kNotSent && !reply_started_;
    if (reply_complete_ && buffer_.size() > 0) {
      const auto bytes = static_cast<const char*>(buffer_.data().data());
      owner_->on_surplus(*connection_, std::string(bytes, buffer_.size()));
      owner_->pool_.close(connection_);
    } else if (not_written ? reusable_ : keep_alive_ && (final_ || !unverified)) {
      owner_->keep_idle(connection_, is_probe_);
    } else if (reply_complete_ && unverified && request_state_ == RequestState::kSent) {
      if (!final_) {
        const int status = parser_->status();
        owner_->log_.on_call_given_up(steady_now(), call_.call_id, status, connection_->id,
                                      connection_->requests);
      }
      const Time true_reply_by = std::max(deadline_, steady_now() + UnverifiedReplies::kQuietTime);
      owner_->drain(connection_, true_reply_by, !final_);
    } else {
      owner_->pool_.close(connection_);
    }
  }

  enum class RequestState { kNotSent, kPartlySent, kSent, kFailed };

  Upstream* owner_;
  Call call_;
  bool is_probe_;
  ConnectionPool::ConnectionPtr connection_;
  boost::asio::steady_timer timer_;
  http::request<http::span_body<const char>> request_;  // refers to the body in call_
  boost::beast::flat_buffer buffer_{kMaxBodyBytes};
  std::optional<ReplyParser> parser_;
  Time started_at_ = 0;
  Time deadline_ = 0;
  uint64_t timer_generation_ = 0;  // number of times that timer_ was set
  RequestState request_state_ = RequestState::kNotSent;
  std::optional<Outcome> abort_outcome_;  // set if aborted while the write was pending
  bool finished_ = false;
  bool connection_limit_reached_ = false;
  bool refusal_is_certain_ = false;
  bool reusable_ = false;  // nothing was written: the connection is as it was
  bool reply_complete_ = false;
  bool keep_alive_ = false;          // after a complete reply: the host keeps the connection open
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
                   ProbeCallback on_probe_ended, ReplyCallbacks reply_callbacks)
    : io_(io),
      limits_(limits),
      report_fields_(std::move(report_fields)),
      may_start_(std::move(may_start)),
      may_probe_(std::move(may_probe)),
      on_attempt_ended_(std::move(on_attempt_ended)),
      on_probe_ended_(std::move(on_probe_ended)),
      reply_callbacks_(std::move(reply_callbacks)),
      log_(umberhoist::write_timed_line),
      pool_(limits.idle_timeout - kIdleCloseMargin, pool_hooks()),
      sweep_timer_(io) {
  sweep();
}

Upstream::~Upstream() {
  for (const auto& [key, exchange] : exchanges_) exchange->detach();
}

ConnectionPool::Hooks Upstream::pool_hooks() {
  ConnectionPool::Hooks hooks;
  hooks.on_surplus = [this](const HostConnection& connection, const std::string& bytes) {
    on_surplus(connection, bytes);
  };
  hooks.on_closed = [this](const HostConnection& connection, CloseReason reason) {
    auto doubtful = reason == CloseReason::kIdleTooLong ? unverified_.on_idle_closed(connection.id)
                                                        : unverified_.on_ended(connection.id);
    report_doubtful(std::move(doubtful), DoubtReason::kConnectionEnded);
  };
  hooks.on_quiet = [this](const HostConnection& connection) {
    unverified_.on_quiet(connection.id, steady_now());
  };
  return hooks;
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
  while (pool_.size() > 0 && exchanges_.size() + pool_.size() > limits_.max_connections) pool_.close_oldest();
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

void Upstream::close_idle(const Endpoint& endpoint) { pool_.close_host(endpoint); }

ConnectionPool::ConnectionPtr Upstream::make_connection(const Endpoint& endpoint, ConnectReason reason) {
  log_.on_connect(reason);
  return std::make_shared<HostConnection>(io_, ++last_connection_id_, endpoint);
}

// Bounds what the kernel holds for a connection. If the socket cannot be opened, connecting says so.
void Upstream::open_bounded(tcp::socket& socket, const tcp::endpoint& address) const {
  if (limits_.send_buffer_bytes == 0) return;
  Error ignored;
  socket.open(address.protocol(), ignored);
  if (!socket.is_open()) return;
  socket.set_option(tcp::socket::send_buffer_size(static_cast<int>(limits_.send_buffer_bytes)), ignored);
  socket.set_option(tcp::socket::receive_buffer_size(static_cast<int>(limits_.receive_buffer_bytes)),
                    ignored);
}

// A refusal frees a message that may not be repeated to be sent again, so it has to be certain.
ConnectionPool::ConnectionPtr Upstream::take_idle(const Call& call) {
  if (!unverified_.may_reuse_host(call.endpoint, steady_now())) return nullptr;
  ConnectionPool::ConnectionPtr connection = pool_.take(call.endpoint, call.address, !call.may_repeat);
  if (connection) log_.on_reuse();
  return connection;
}

ConnectReason Upstream::reason_for_new_connection(const Call& call) const {
  if (!unverified_.may_reuse_host(call.endpoint, steady_now())) return ConnectReason::kHostUnderSuspicion;
  const bool has_other = pool_.has_usable(call.endpoint);
  return has_other ? ConnectReason::kCertainRefusal : ConnectReason::kNoIdleConnection;
}

bool Upstream::has_room() const { return exchanges_.size() + pool_.size() < limits_.max_connections; }

// `only_one`: probes, which always connect, would otherwise fill the host's table with idle connections.
void Upstream::keep_idle(ConnectionPool::ConnectionPtr connection, bool only_one) {
  const Time now = steady_now();
  const bool wanted = unverified_.may_reuse_host(connection->endpoint, now) &&
                      !(only_one && pool_.has_usable(connection->endpoint));
  if (wanted && has_room()) return pool_.keep(std::move(connection));
  if (unverified_.has_replies(connection->id))
    return drain(std::move(connection), now + limits_.idle_timeout, false);
  pool_.close(std::move(connection));
}

void Upstream::drain(ConnectionPool::ConnectionPtr connection, Time close_at, bool stop_sending) {
  if (has_room()) return pool_.drain(std::move(connection), close_at, stop_sending);
  pool_.close(std::move(connection));
}

void Upstream::on_surplus(const HostConnection& connection, const std::string& bytes) {
  const Time now = steady_now();
  log_.on_surplus(now, address_text(connection), connection.id, connection.requests, bytes.size());
  const std::vector<std::string> doubtful = unverified_.on_surplus(connection.endpoint, now);
  report_doubtful(doubtful, DoubtReason::kSurplusBytes);
  const Time retry_after = longest_retry_after(bytes);
  if (retry_after > 0 && reply_callbacks_.on_retry_after) {
    boost::asio::post(io_, [this, endpoint = connection.endpoint, retry_after] {
      reply_callbacks_.on_retry_after(endpoint, retry_after);
    });
  }
}

// Posted, as the attempt's own end is reported first.
void Upstream::report_confirmed(std::vector<std::string> ids) {
  if (ids.empty()) return;
  log_.on_confirmed(ids.size());
  if (!reply_callbacks_.on_confirmed) return;
  ++posted_verdicts_;
  boost::asio::post(io_, [this, ids = std::move(ids)] {
    --posted_verdicts_;
    for (const std::string& id : ids) reply_callbacks_.on_confirmed(id);
  });
}

void Upstream::report_doubtful(std::vector<std::string> ids, DoubtReason reason) {
  if (ids.empty()) return;
  log_.on_doubtful(steady_now(), ids, reason);
  if (!reply_callbacks_.on_doubtful) return;
  ++posted_verdicts_;
  boost::asio::post(io_, [this, ids = std::move(ids)] {
    --posted_verdicts_;
    for (const std::string& id : ids) reply_callbacks_.on_doubtful(id);
  });
}

void Upstream::end_unverified() {
  report_doubtful(unverified_.on_all_ended(), DoubtReason::kRelayEnds);
  report_confirmed(unverified_.take_confirmed(steady_now()));
}

void Upstream::sweep() {
  pool_.sweep();
  report_confirmed(unverified_.take_confirmed(steady_now()));
  report_doubtful(unverified_.on_message_time_up(steady_now()), DoubtReason::kMessageTimeUp);
  unverified_.forget_old_suspects(steady_now());
  log_.write_summary_if_due(steady_now());
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](const Error& error) {
    if (!error) sweep();
  });
}

}  // namespace firspool::relay

#include "standins/endpoints.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <charconv>
#include <cstdio>
#include <cstring>

namespace umberhoist::standins {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr int kBacklog = 512;
constexpr size_t kReadChunkBytes = 8 * 1024;
// A call that was on its way when an idle connection was closed arrives within this time.
constexpr Time kCloseGrace = kSecond;
constexpr size_t kQueueFillers = 4;  // connections that fill the accept queue of a silent listener

uint64_t parse_hex(std::string_view text) {
  uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return error == std::errc() && end == text.data() + text.size() ? value : 0;
}

std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

}  // namespace

tcp::acceptor bind_acceptor(boost::asio::io_context& io) {
  // A port that was bound by number stays bound through shutdown and listen; an ephemeral one does not.
  tcp::acceptor ephemeral(io, tcp::v4());
  ephemeral.set_option(tcp::acceptor::reuse_address(true));
  ephemeral.bind({boost::asio::ip::address_v4::loopback(), 0});
  tcp::acceptor out(io, tcp::v4());
  out.set_option(tcp::acceptor::reuse_address(true));
  out.bind(ephemeral.local_endpoint());
  return out;
}

// ---- One address, under one port for each relay ----

class Endpoints::Site {
 public:
  enum class State { kClosed, kListening, kBlocked };

  Site(Endpoints& owner) : owner_(owner) {
    for (int relay = 0; relay < owner.options_.relays; ++relay) {
      listeners_.push_back(std::make_unique<Listener>(
          Listener{bind_acceptor(owner.io_), {}, boost::asio::steady_timer(owner.io_)}));
      ports_.push_back(listeners_.back()->acceptor.local_endpoint().port());
    }
  }

  uint16_t port(int relay) const { return ports_[static_cast<size_t>(relay)]; }

  void listen() {
    if (state_ == State::kListening) return;
    for (size_t i = 0; i < listeners_.size(); ++i) {
      Listener& listener = *listeners_[i];
      listener.queue_fillers.clear();
      ::listen(listener.acceptor.native_handle(), kBacklog);
      if (!listener.accept_pending) accept(i);  // otherwise the cancelled accept restarts in its handler
    }
    state_ = State::kListening;
  }

  // New connections are refused, but the port stays bound.
  void close() {
    for (const auto& listener : listeners_) {
      Error ignored;
      listener->queue_fillers.clear();
      listener->acceptor.cancel(ignored);
      ::shutdown(listener->acceptor.native_handle(), SHUT_RDWR);
    }
    state_ = State::kClosed;
  }

  // New connections are never established: the accept queue is kept full, so that a SYN gets no answer.
  void block_connects() {
    for (const auto& listener : listeners_) {
      Error ignored;
      listener->acceptor.cancel(ignored);
      ::listen(listener->acceptor.native_handle(), 0);
      for (size_t i = 0; i < kQueueFillers; ++i) {
        tcp::socket filler(owner_.io_, tcp::v4());
        const tcp::endpoint address = listener->acceptor.local_endpoint();
        filler.native_non_blocking(true, ignored);  // a blocking connect would wait forever
        if (::connect(filler.native_handle(), address.data(), static_cast<socklen_t>(address.size())) != 0 &&
            errno != EINPROGRESS) {
          continue;
        }
        listener->queue_fillers.push_back(std::move(filler));
      }
    }
    state_ = State::kBlocked;
  }

  Endpoint* endpoint = nullptr;

 private:
  struct Listener {
    tcp::acceptor acceptor;
    std::vector<tcp::socket> queue_fillers;
    boost::asio::steady_timer retry_timer;
    bool accept_pending = false;
  };

  void accept(size_t relay);

  Endpoints& owner_;
  State state_ = State::kClosed;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::vector<uint16_t> ports_;
};

// ---- One connection of a relay ----

class Endpoints::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Endpoints& owner, Endpoint& endpoint, int relay, tcp::socket socket)
      : owner_(&owner), endpoint_(&endpoint), relay_(relay), socket_(std::move(socket)), timer_(owner.io_) {
    endpoint.connections.insert(this);
    ++owner.connections_;
    over_connection_limit_ =
        endpoint.settings.max_connections > 0 &&
        endpoint.connections.size() > static_cast<size_t>(endpoint.settings.max_connections);
  }

  void start() {
    start_idle_timer();
    read();
  }

  // Used when the machine is lost, or when it is back after it was silent.
  void reset() {
    if (owner_ == nullptr) return;
    end_call(CallEnd::kReset);
    Error ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    close();
  }

  bool silent() const { return silent_; }

  void detach() {
    owner_ = nullptr;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  using Parser = http::request_parser<http::string_body>;

  void close() {
    if (owner_ == nullptr) return;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
    endpoint_->connections.erase(this);
    --owner_->connections_;
    owner_ = nullptr;
  }

  void end_call(CallEnd end, ToldWait wait = {}) {
    if (call_ == 0) return;
    const uint64_t number = std::exchange(call_, 0);
    --owner_->calls_in_flight_;
    --owner_->calls_by_relay_[static_cast<size_t>(relay_)];
    owner_->observer_.on_call_ended(steady_now(), number, end, wait);
  }

  void start_idle_timer() {
    timer_.expires_after(std::chrono::microseconds(owner_->options_.idle_timeout));
    timer_.async_wait([self = shared_from_this()](const Error& error) {
      if (error || self->owner_ == nullptr || self->call_ != 0 || self->first_byte_ != 0) return;
      self->half_close();
    });
  }

  // Calls that arrive from now on are read, so that they are reported, and end with a reset.
  void half_close() {
    is_closing_ = true;
    Error ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    timer_.expires_after(std::chrono::microseconds(kCloseGrace));
    timer_.async_wait([self = shared_from_this()](const Error& error) {
      if (!error && self->owner_ != nullptr) self->close();
    });
  }

  void read() {
    // Not into the buffer's own room: requests may be taken from it while the read is pending.
    socket_.async_read_some(boost::asio::buffer(chunk_),
                            [self = shared_from_this()](const Error& error, size_t count) {
                              if (self->owner_ == nullptr) return;
                              if (count == 0 || error) {
                                self->end_call(CallEnd::kAbandoned);
                                return self->close();
                              }
                              std::memcpy(self->buffer_.prepare(count).data(), self->chunk_.data(), count);
                              self->buffer_.commit(count);
                              self->on_input();
                              if (self->owner_ != nullptr) self->read();
                            });
  }

  void on_input() {
    const Time now = steady_now();
    if (first_byte_ == 0) first_byte_ = now;
    if (call_ != 0 || is_responding_) {  // one call at a time: input that arrives before the response waits
      if (buffer_.size() > kReadChunkBytes + owner_->options_.max_body_bytes) reset();
      return;
    }
    parse(now);
  }

  void parse(Time now) {
    if (!parser_) {
      parser_.emplace();
      parser_->eager(true);
      parser_->body_limit(owner_->options_.max_body_bytes);
    }
    Error error;
    while (!parser_->is_done() && buffer_.size() > 0) {
      const size_t taken = parser_->put(buffer_.data(), error);
      buffer_.consume(taken);
      if (error == http::error::need_more) return;
      if (error) return write_response("400 Bad Request", "Connection: close\r\n", {}, 0);
      if (taken == 0) return;
    }
    if (!parser_->is_done()) return;
    const auto request = parser_->release();
    parser_.reset();
    const Time first = std::exchange(first_byte_, 0);
    ++requests_;
    if (request.method() == http::verb::get) return probe(now, view(request.target()));
    if (request.method() != http::verb::post || request.target() != "/events") {
      return write_response("404 Not Found", "", {}, 0);
    }
    call(now, first, request);
  }

  void probe(Time now, std::string_view target) {
    if (target != "/-/healthy" && target != "/-/load") return write_response("404 Not Found", "", {}, 0);
    Partner& partner = owner_->partner(endpoint_->settings.destination);
    const Fault fault = partner.fault();
    if (fault == Fault::kSilent || fault == Fault::kHang) {
      silent_ = true;
      return owner_->observer_.on_probe(now, relay_, endpoint_->settings.number, false);
    }
    const bool ok = partner.probe(now) && !endpoint_->draining;
    owner_->observer_.on_probe(now, relay_, endpoint_->settings.number, ok);
    write_response(ok ? "200 OK" : "503 Service Unavailable", "", {}, 0);
  }

  void call(Time now, Time first, const http::request<http::string_body>& request) {
    Call call;
    call.number = ++owner_->last_call_;
    call.id = parse_hex(view(request["X-Call-Id"]));
    call.key = parse_hex(view(request["Idempotency-Key"]));
    call.relay = relay_;
    call.endpoint = endpoint_->settings.number;
    call.body = hash_bytes(request.body());
    call.first_byte = first;
    call.request = requests_;
    call_ = call.number;
    ++owner_->calls_in_flight_;
    const int out = ++owner_->calls_by_relay_[static_cast<size_t>(relay_)];
    owner_->observer_.on_call(now, call);
    if (is_closing_) {
      end_call(CallEnd::kReset);
      return close();
    }
    Partner& partner = owner_->partner(endpoint_->settings.destination);
    const bool silent_fault = partner.fault() == Fault::kSilent;
    if (!silent_fault) {
      if (owner_->options_.max_calls_per_relay > 0 && out > owner_->options_.max_calls_per_relay) {
        return write_response("503 Service Unavailable", "X-Egress-Full: 1\r\n", CallEnd::kRefused, 0);
      }
      if (const auto status = owner_->early_status_ ? owner_->early_status_(call.id) : std::nullopt) {
        return write_response(*status == 410 ? "410 Gone" : "504 Gateway Timeout", "",
                              *status == 410 ? CallEnd::kMessageOver : CallEnd::kRefused, 0);
      }
      if (endpoint_->draining || over_connection_limit_) {
        return write_response("503 Service Unavailable",
                              over_connection_limit_ ? "Connection: close\r\n" : "", CallEnd::kRefused, 0);
      }
    }
    const PartnerResponse response = partner.handle_call(now);
    if (response.kind == PartnerResponse::Kind::kNone) {
      silent_ = true;
      return;
    }
    if (response.status == 429 || response.status == 503 || !response.executes)
      return send_response(response);
    response_ = response;
    key_ = call.key;
    arrived_ = now;
    if (response.executes_at <= now) return begin_execution(call.number);
    timer_.expires_at(at_time(response.executes_at));
    timer_.async_wait([self = shared_from_this(), number = call.number](const Error& error) {
      if (!error && self->owner_ != nullptr) self->begin_execution(number);
    });
  }

  void begin_execution(uint64_t number) {
    Partner& partner = owner_->partner(endpoint_->settings.destination);
    if (partner.fault() == Fault::kSilent || partner.fault() == Fault::kHang) {
      silent_ = true;  // the partner went silent before it executed this call
      return;
    }
    // The key's window starts when the call's last byte arrives; the wait for a free place does not count.
    owner_->observer_.on_executed(steady_now(), number, partner.execute(arrived_, key_));
    timer_.expires_at(at_time(response_.at));
    timer_.async_wait([self = shared_from_this(), number](const Error& error) {
      if (error || self->owner_ == nullptr || self->call_ != number) return;
      const Fault fault = self->owner_->partner(self->endpoint_->settings.destination).fault();
      if (fault == Fault::kSilent || fault == Fault::kHang) {
        self->silent_ = true;
        return;
      }
      self->send_response(self->response_);
    });
  }

  void send_response(const PartnerResponse& response) {
    if (response.kind == PartnerResponse::Kind::kReset) return reset();
    if (response.kind == PartnerResponse::Kind::kMalformed) return write_malformed_response();
    switch (response.status) {
      case 200:
        return write_response("200 OK", "", CallEnd::kDelivered, 0);
      case 429: {
        char head[64];
        const Time retry_after = response.retry_after / 1000 * 1000;
        std::snprintf(head, sizeof head, "Retry-After: %.3f\r\n", static_cast<double>(retry_after) / 1e6);
        return write_response("429 Too Many Requests", head, CallEnd::kRefused, retry_after);
      }
      case 503:
        return write_response("503 Service Unavailable", "", CallEnd::kRefused, 0);
      default:
        return write_response("500 Internal Server Error", "", CallEnd::kError, 0);
    }
  }

  // Writes bytes that are not an HTTP response. The connection stays open and serves no further call.
  void write_malformed_response() {
    static const std::array<std::string, 4> kMalformedResponses = {
        "\x16\x03\x01 noise, and no line of HTTP", "HTTP/1.1 5\r\n\r\n",
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 99\r\n\r\ncut",
        "HTTP/1.1 500 Error\r\nX-Head: that does not"};
    out_ = kMalformedResponses[static_cast<size_t>(owner_->random_() * 4)];
    silent_ = true;
    boost::asio::async_write(socket_, boost::asio::buffer(out_),
                             [self = shared_from_this()](const Error&, size_t) {
                               if (self->owner_ != nullptr) self->end_call(CallEnd::kMalformed);
                             });
  }

  void write_response(const char* status, const char* extra_headers, std::optional<CallEnd> end,
                      Time retry_after) {
    out_ = "HTTP/1.1 ";
    out_ += status;
    out_ += "\r\n";
    out_ += extra_headers;
    out_ += "Content-Length: 0\r\n\r\n";
    is_responding_ = true;
    const bool close_after = std::string_view(extra_headers).find("close") != std::string_view::npos;
    const ToldWait wait{retry_after, steady_now()};
    boost::asio::async_write(socket_, boost::asio::buffer(out_),
                             [self = shared_from_this(), end, wait, close_after](const Error& error, size_t) {
                               if (self->owner_ == nullptr) return;
                               self->is_responding_ = false;
                               if (end) self->end_call(error ? CallEnd::kAbandoned : *end, wait);
                               if (!error) self->draw_second_answer();
                               if (error || close_after) return self->close();
                               self->start_idle_timer();
                               if (self->buffer_.size() > 0) self->parse(steady_now());
                             });
  }

  void draw_second_answer() {
    const auto chance = owner_->second_answers_.find(endpoint_->settings.destination);
    if (chance == owner_->second_answers_.end() || owner_->random_() >= chance->second.share) return;
    const SecondAnswers& second = chance->second;
    const auto span = static_cast<double>(second.max_delay - second.min_delay);
    const Time delay = second.min_delay + static_cast<Time>(owner_->random_() * span);
    const auto size = static_cast<size_t>(second.part * static_cast<double>(out_.size()));
    write_again_at(steady_now() + delay, std::make_shared<std::string>(out_.substr(0, size)));
  }

  // Waits for an answer that is being written: the two would mix.
  void write_again_at(Time at, std::shared_ptr<std::string> answer) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(socket_.get_executor());
    timer->expires_at(at_time(at));
    timer->async_wait([self = shared_from_this(), timer, answer](const Error& error) {
      if (error || self->owner_ == nullptr) return;
      if (self->is_responding_) return self->write_again_at(steady_now() + kMillisecond, answer);
      self->is_responding_ = true;
      boost::asio::async_write(
          self->socket_, boost::asio::buffer(*answer),
          [self, answer](const Error& failed, size_t) { self->on_written_again(failed); });
    });
  }

  void on_written_again(const Error& error) {
    if (owner_ == nullptr) return;
    is_responding_ = false;
    if (error) return;
    owner_->observer_.on_second_answer(steady_now(), relay_, endpoint_->settings.number);
    if (call_ == 0 && buffer_.size() > 0) parse(steady_now());
  }

  Endpoints* owner_;
  Endpoint* endpoint_;
  int relay_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::array<char, kReadChunkBytes> chunk_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::string out_;
  int requests_ = 0;
  Time first_byte_ = 0;  // arrival of the first byte of the request being read; 0: none
  uint64_t call_ = 0;    // the call in progress; 0: none
  uint64_t key_ = 0;
  Time arrived_ = 0;  // when the last byte of the call arrived
  PartnerResponse response_;
  bool is_responding_ = false;
  bool is_closing_ = false;
  bool silent_ = false;  // a call was left without a response, and none will follow
  bool over_connection_limit_ = false;
};

void Endpoints::Site::accept(size_t relay) {
  Listener& listener = *listeners_[relay];
  listener.accept_pending = true;
  listener.acceptor.async_accept([this, relay](const Error& error, tcp::socket socket) {
    Listener& own_listener = *listeners_[relay];
    own_listener.accept_pending = false;
    if (state_ != State::kListening) return;
    if (!error && endpoint != nullptr) {
      Error ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      std::make_shared<Connection>(owner_, *endpoint, static_cast<int>(relay), std::move(socket))->start();
    }
    if (!error || error == boost::asio::error::operation_aborted) return accept(relay);
    own_listener.accept_pending = true;  // out of descriptors: accepting again at once would be a busy loop
    own_listener.retry_timer.expires_after(std::chrono::milliseconds(50));
    own_listener.retry_timer.async_wait([this, relay](const Error& stopped) {
      if (stopped) return;
      listeners_[relay]->accept_pending = false;
      if (state_ == State::kListening) accept(relay);
    });
  });
}

// ---- All of them ----

Endpoints::Endpoints(boost::asio::io_context& io, Options options, Observer& observer,
                     std::function<double()> random, EarlyStatus early_status)
    : io_(io),
      options_(options),
      observer_(observer),
      random_(std::move(random)),
      early_status_(std::move(early_status)),
      calls_by_relay_(static_cast<size_t>(options.relays), 0) {}

Endpoints::~Endpoints() {
  for (const auto& [number, endpoint] : endpoints_) {
    for (Connection* connection : endpoint->connections) connection->detach();
  }
}

void Endpoints::add_partner(int destination, PartnerSettings settings) {
  settings.destination = destination;
  partners_[destination] = std::make_unique<Partner>(settings, random_);
}

void Endpoints::open(const EndpointSettings& settings, std::optional<int> at_site_of) {
  Site* site = nullptr;
  if (at_site_of && site_by_endpoint_.contains(*at_site_of) &&
      site_by_endpoint_[*at_site_of]->endpoint == nullptr) {
    site = site_by_endpoint_[*at_site_of];
  } else {
    sites_.push_back(std::make_unique<Site>(*this));
    site = sites_.back().get();
  }
  auto endpoint = std::make_unique<Endpoint>();
  endpoint->settings = settings;
  endpoint->site = site;
  site->endpoint = endpoint.get();
  site_by_endpoint_[settings.number] = site;
  const Fault fault = fault_of(*endpoint);
  endpoints_[settings.number] = std::move(endpoint);
  if (fault == Fault::kSilent) {
    site->listen();
    site->block_connects();
  } else if (fault != Fault::kConnectionRefused) {
    site->listen();
  }
}

void Endpoints::drain(int endpoint) {
  const auto it = endpoints_.find(endpoint);
  if (it != endpoints_.end()) it->second->draining = true;
}

void Endpoints::close(int endpoint) {
  const auto it = endpoints_.find(endpoint);
  if (it == endpoints_.end()) return;
  it->second->site->close();
  it->second->site->endpoint = nullptr;
  while (!it->second->connections.empty()) {
    const auto connection = (*it->second->connections.begin())->shared_from_this();
    connection->reset();
  }
  endpoints_.erase(it);
}

uint16_t Endpoints::port(int endpoint, int relay) const {
  return site_by_endpoint_.at(endpoint)->port(relay);
}

Fault Endpoints::fault_of(const Endpoint& endpoint) const {
  return partners_.at(endpoint.settings.destination)->fault();
}

void Endpoints::begin_fault(int destination, Fault fault, Time until, double amount, bool sends_retry_after) {
  partner(destination).begin_fault(fault, steady_now(), until, amount, sends_retry_after);
  for (const auto& [number, endpoint] : endpoints_) {
    if (endpoint->settings.destination != destination) continue;
    if (fault == Fault::kSilent) endpoint->site->block_connects();
    if (fault != Fault::kConnectionRefused) continue;
    endpoint->site->close();
    while (!endpoint->connections.empty()) {
      const auto connection = (*endpoint->connections.begin())->shared_from_this();
      connection->reset();
    }
  }
}

void Endpoints::end_fault(int destination) {
  partner(destination).end_fault(steady_now());
  for (const auto& [number, endpoint] : endpoints_) {
    if (endpoint->settings.destination != destination) continue;
    std::vector<std::shared_ptr<Connection>> unanswered;
    for (Connection* connection : endpoint->connections) {
      if (connection->silent()) unanswered.push_back(connection->shared_from_this());
    }
    for (const auto& connection : unanswered) connection->reset();
    endpoint->site->listen();
  }
}

void Endpoints::set_second_answers(int destination, SecondAnswers second_answers) {
  if (second_answers.share > 0) {
    second_answers_[destination] = second_answers;
  } else {
    second_answers_.erase(destination);
  }
}

void Endpoints::hold_connections(int destination, bool hold) {
  for (const auto& [number, endpoint] : endpoints_) {
    if (endpoint->settings.destination != destination) continue;
    const Fault fault = fault_of(*endpoint);
    if (fault == Fault::kSilent || fault == Fault::kConnectionRefused) continue;
    if (hold) {
      endpoint->site->block_connects();
    } else {
      endpoint->site->listen();
    }
  }
}

}  // namespace umberhoist::standins

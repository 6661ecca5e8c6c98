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

namespace umberhoist::standins {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr int kBacklog = 512;
constexpr size_t kReadAtOnce = 8 * 1024;
constexpr Time kLinger =
    kSecond;                  // a call that crosses the close of an idle connection comes within this time
constexpr size_t kPlugs = 4;  // connections that keep a silent listener's queue full

uint64_t parse_hex(std::string_view text) {
  uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return error == std::errc() && end == text.data() + text.size() ? value : 0;
}

std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

}  // namespace

tcp::acceptor bind_acceptor(boost::asio::io_context& io) {
  // A port that was asked for by number stays bound through shutdown and listen; one that was drawn does not.
  tcp::acceptor drawn(io, tcp::v4());
  drawn.set_option(tcp::acceptor::reuse_address(true));
  drawn.bind({boost::asio::ip::address_v4::loopback(), 0});
  tcp::acceptor out(io, tcp::v4());
  out.set_option(tcp::acceptor::reuse_address(true));
  out.bind(drawn.local_endpoint());
  return out;
}

// ---- One address, under one port for each relay ----

class Endpoints::Site {
 public:
  enum class State { kClosed, kListening, kPlugged };

  Site(Endpoints& owner) : owner_(owner) {
    for (int relay = 0; relay < owner.limits_.relays; ++relay) {
      doors_.push_back(
          std::make_unique<Door>(Door{bind_acceptor(owner.io_), {}, boost::asio::steady_timer(owner.io_)}));
      ports_.push_back(doors_.back()->acceptor.local_endpoint().port());
    }
  }

  uint16_t port(int relay) const { return ports_[static_cast<size_t>(relay)]; }

  void listen() {
    if (state_ == State::kListening) return;
    for (size_t i = 0; i < doors_.size(); ++i) {
      Door& door = *doors_[i];
      door.plugs.clear();
      ::listen(door.acceptor.native_handle(), kBacklog);
      if (!door.waiting) accept(i);  // else the one that was cancelled goes on when it hears so
    }
    state_ = State::kListening;
  }

  // New connections are refused; the port stays ours.
  void close() {
    for (const auto& door : doors_) {
      Error ignored;
      door->plugs.clear();
      door->acceptor.cancel(ignored);
      ::shutdown(door->acceptor.native_handle(), SHUT_RDWR);
    }
    state_ = State::kClosed;
  }

  // New connections never come up: the queue of the listener is kept full, so that a SYN gets no answer.
  void plug() {
    for (const auto& door : doors_) {
      Error ignored;
      door->acceptor.cancel(ignored);
      ::listen(door->acceptor.native_handle(), 0);
      for (size_t i = 0; i < kPlugs; ++i) {
        tcp::socket plug(owner_.io_, tcp::v4());
        const tcp::endpoint here = door->acceptor.local_endpoint();
        plug.native_non_blocking(true, ignored);  // its connect would wait for an answer that never comes
        if (::connect(plug.native_handle(), here.data(), static_cast<socklen_t>(here.size())) != 0 &&
            errno != EINPROGRESS) {
          continue;
        }
        door->plugs.push_back(std::move(plug));
      }
    }
    state_ = State::kPlugged;
  }

  Endpoint* endpoint = nullptr;

 private:
  struct Door {
    tcp::acceptor acceptor;
    std::vector<tcp::socket> plugs;
    boost::asio::steady_timer pause;
    bool waiting = false;
  };

  void accept(size_t relay);

  Endpoints& owner_;
  State state_ = State::kClosed;
  std::vector<std::unique_ptr<Door>> doors_;
  std::vector<uint16_t> ports_;
};

// ---- One connection of a relay ----

class Endpoints::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Endpoints& owner, Endpoint& endpoint, int relay, tcp::socket socket)
      : owner_(&owner), endpoint_(&endpoint), relay_(relay), socket_(std::move(socket)), timer_(owner.io_) {
    endpoint.connections.insert(this);
    ++owner.connections_;
    over_cap_ = endpoint.settings.max_connections > 0 &&
                endpoint.connections.size() > static_cast<size_t>(endpoint.settings.max_connections);
  }

  void start() {
    idle();
    read();
  }

  // The machine is gone, or back after it was silent.
  void reset() {
    if (owner_ == nullptr) return;
    end_call(CallEnd::kReset, 0);
    Error ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    leave();
  }

  bool muted() const { return muted_; }

  void orphan() {
    owner_ = nullptr;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  using Parser = http::request_parser<http::string_body>;

  void leave() {
    if (owner_ == nullptr) return;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
    endpoint_->connections.erase(this);
    --owner_->connections_;
    owner_ = nullptr;
  }

  void end_call(CallEnd end, Time wait) {
    if (call_ == 0) return;
    const uint64_t number = std::exchange(call_, 0);
    --owner_->calls_out_;
    --owner_->out_of_[static_cast<size_t>(relay_)];
    owner_->witness_.on_call_ended(steady_now(), number, end, wait);
  }

  void idle() {
    timer_.expires_after(std::chrono::microseconds(owner_->limits_.idle_timeout));
    timer_.async_wait([self = shared_from_this()](const Error& error) {
      if (error || self->owner_ == nullptr || self->call_ != 0 || self->first_byte_ != 0) return;
      self->half_close();
    });
  }

  // What is written to it from now on is read, so that it is known of, and ends as a reset.
  void half_close() {
    closing_ = true;
    Error ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    timer_.expires_after(std::chrono::microseconds(kLinger));
    timer_.async_wait([self = shared_from_this()](const Error& error) {
      if (!error && self->owner_ != nullptr) self->leave();
    });
  }

  void read() {
    socket_.async_read_some(buffer_.prepare(kReadAtOnce),
                            [self = shared_from_this()](const Error& error, size_t count) {
                              if (self->owner_ == nullptr) return;
                              if (count == 0 || error) {
                                self->end_call(CallEnd::kAbandoned, 0);
                                return self->leave();
                              }
                              self->buffer_.commit(count);
                              self->came();
                              if (self->owner_ != nullptr) self->read();
                            });
  }

  void came() {
    const Time now = steady_now();
    if (first_byte_ == 0) first_byte_ = now;
    if (call_ != 0 || answering_) {  // one at a time: what comes before the answer waits
      if (buffer_.size() > kReadAtOnce + owner_->limits_.max_body_bytes) reset();
      return;
    }
    parse(now);
  }

  void parse(Time now) {
    if (!parser_) {
      parser_.emplace();
      parser_->eager(true);
      parser_->body_limit(owner_->limits_.max_body_bytes);
    }
    Error error;
    while (!parser_->is_done() && buffer_.size() > 0) {
      const size_t taken = parser_->put(buffer_.data(), error);
      buffer_.consume(taken);
      if (error == http::error::need_more) return;
      if (error) return answer("400 Bad Request", "Connection: close\r\n", {}, 0);
      if (taken == 0) return;
    }
    if (!parser_->is_done()) return;
    const auto request = parser_->release();
    parser_.reset();
    const Time first = std::exchange(first_byte_, 0);
    if (request.method() == http::verb::get) return probe(now, view(request.target()));
    if (request.method() != http::verb::post || request.target() != "/events") {
      return answer("404 Not Found", "", {}, 0);
    }
    call(now, first, request);
  }

  void probe(Time now, std::string_view target) {
    if (target != "/-/healthy" && target != "/-/load") return answer("404 Not Found", "", {}, 0);
    Partner& partner = owner_->partner(endpoint_->settings.destination);
    const Fault trouble = partner.fault();
    if (trouble == Fault::kSilent || trouble == Fault::kHang) {
      muted_ = true;
      return owner_->witness_.on_probe(now, relay_, endpoint_->settings.number, false);
    }
    const bool ok = partner.probe(now) && !endpoint_->draining;
    owner_->witness_.on_probe(now, relay_, endpoint_->settings.number, ok);
    answer(ok ? "200 OK" : "503 Service Unavailable", "", {}, 0);
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
    call_ = call.number;
    ++owner_->calls_out_;
    const int out = ++owner_->out_of_[static_cast<size_t>(relay_)];
    owner_->witness_.on_call(now, call);
    if (closing_) {
      end_call(CallEnd::kReset, 0);
      return leave();
    }
    Partner& partner = owner_->partner(endpoint_->settings.destination);
    const bool dead = partner.fault() == Fault::kSilent;
    if (!dead) {
      if (owner_->limits_.max_calls_per_relay > 0 && out > owner_->limits_.max_calls_per_relay) {
        return answer("503 Service Unavailable", "X-Egress-Full: 1\r\n", CallEnd::kRefused, 0);
      }
      if (const auto status = owner_->gate_ ? owner_->gate_(call.id) : std::nullopt) {
        return answer(*status == 410 ? "410 Gone" : "504 Gateway Timeout", "",
                      *status == 410 ? CallEnd::kMessageOver : CallEnd::kRefused, 0);
      }
      if (endpoint_->draining || over_cap_) {
        return answer("503 Service Unavailable", over_cap_ ? "Connection: close\r\n" : "", CallEnd::kRefused,
                      0);
      }
    }
    const PartnerResponse verdict = partner.handle_call(now);
    if (verdict.kind == PartnerResponse::Kind::kNone) {
      muted_ = true;
      return;
    }
    if (verdict.status == 429 || verdict.status == 503 || !verdict.executes) return settle(verdict);
    run_ = verdict;
    key_ = call.key;
    came_ = now;
    if (verdict.executes_at <= now) return begin_run(call.number);
    timer_.expires_at(at_time(verdict.executes_at));
    timer_.async_wait([self = shared_from_this(), number = call.number](const Error& error) {
      if (!error && self->owner_ != nullptr) self->begin_run(number);
    });
  }

  void begin_run(uint64_t number) {
    Partner& partner = owner_->partner(endpoint_->settings.destination);
    if (partner.fault() == Fault::kSilent || partner.fault() == Fault::kHang) {
      muted_ = true;  // it stopped with this call in hand
      return;
    }
    // A host begins a call when its last byte has come: a place that it waits for does not age its key.
    owner_->witness_.on_executed(steady_now(), number, partner.execute(came_, key_));
    timer_.expires_at(at_time(run_.at));
    timer_.async_wait([self = shared_from_this(), number](const Error& error) {
      if (error || self->owner_ == nullptr || self->call_ != number) return;
      const Fault trouble = self->owner_->partner(self->endpoint_->settings.destination).fault();
      if (trouble == Fault::kSilent || trouble == Fault::kHang) {
        self->muted_ = true;
        return;
      }
      self->settle(self->run_);
    });
  }

  void settle(const PartnerResponse& verdict) {
    if (verdict.kind == PartnerResponse::Kind::kReset) return reset();
    if (verdict.kind == PartnerResponse::Kind::kMalformed) return spoil();
    switch (verdict.status) {
      case 200:
        return answer("200 OK", "", CallEnd::kDelivered, 0);
      case 429: {
        char head[64];
        const Time wait = verdict.retry_after / 1000 * 1000;
        std::snprintf(head, sizeof head, "Retry-After: %.3f\r\n", static_cast<double>(wait) / 1e6);
        return answer("429 Too Many Requests", head, CallEnd::kRefused, wait);
      }
      case 503:
        return answer("503 Service Unavailable", "", CallEnd::kRefused, 0);
      default:
        return answer("500 Internal Server Error", "", CallEnd::kError, 0);
    }
  }

  // No answer, though bytes come. The connection stays open and is of no further use.
  void spoil() {
    static const std::array<std::string, 4> kSpoilt = {
        "\x16\x03\x01 noise, and no line of HTTP", "HTTP/1.1 5\r\n\r\n",
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 99\r\n\r\ncut",
        "HTTP/1.1 500 Error\r\nX-Head: that does not"};
    out_ = kSpoilt[static_cast<size_t>(owner_->chance_() * 4)];
    muted_ = true;
    boost::asio::async_write(socket_, boost::asio::buffer(out_),
                             [self = shared_from_this()](const Error&, size_t) {
                               if (self->owner_ != nullptr) self->end_call(CallEnd::kMalformed, 0);
                             });
  }

  void answer(const char* status, const char* heads, std::optional<CallEnd> end, Time wait) {
    out_ = "HTTP/1.1 ";
    out_ += status;
    out_ += "\r\n";
    out_ += heads;
    out_ += "Content-Length: 0\r\n\r\n";
    answering_ = true;
    const bool last = std::string_view(heads).find("close") != std::string_view::npos;
    boost::asio::async_write(socket_, boost::asio::buffer(out_),
                             [self = shared_from_this(), end, wait, last](const Error& error, size_t) {
                               if (self->owner_ == nullptr) return;
                               self->answering_ = false;
                               if (end) self->end_call(error ? CallEnd::kAbandoned : *end, wait);
                               if (error || last) return self->leave();
                               self->idle();
                               if (self->buffer_.size() > 0) self->parse(steady_now());
                             });
  }

  Endpoints* owner_;
  Endpoint* endpoint_;
  int relay_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::string out_;
  Time first_byte_ = 0;  // of the request that is being read; 0: none
  uint64_t call_ = 0;    // that is out; 0: none
  uint64_t key_ = 0;
  Time came_ = 0;  // its last byte
  PartnerResponse run_;
  bool answering_ = false;
  bool closing_ = false;
  bool muted_ = false;  // a call was swallowed: nothing more will come
  bool over_cap_ = false;
};

void Endpoints::Site::accept(size_t relay) {
  Door& door = *doors_[relay];
  door.waiting = true;
  door.acceptor.async_accept([this, relay](const Error& error, tcp::socket socket) {
    Door& mine = *doors_[relay];
    mine.waiting = false;
    if (state_ != State::kListening) return;
    if (!error && endpoint != nullptr) {
      Error ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      std::make_shared<Connection>(owner_, *endpoint, static_cast<int>(relay), std::move(socket))->start();
    }
    if (!error || error == boost::asio::error::operation_aborted) return accept(relay);
    mine.waiting = true;  // out of descriptors: an accept at once would spin
    mine.pause.expires_after(std::chrono::milliseconds(50));
    mine.pause.async_wait([this, relay](const Error& stopped) {
      if (stopped) return;
      doors_[relay]->waiting = false;
      if (state_ == State::kListening) accept(relay);
    });
  });
}

// ---- All of them ----

Endpoints::Endpoints(boost::asio::io_context& io, Options limits, Observer& witness,
                     std::function<double()> chance, EarlyStatus gate)
    : io_(io),
      limits_(limits),
      witness_(witness),
      chance_(std::move(chance)),
      gate_(std::move(gate)),
      out_of_(static_cast<size_t>(limits.relays), 0) {}

Endpoints::~Endpoints() {
  for (const auto& [number, endpoint] : endpoints_) {
    for (Connection* connection : endpoint->connections) connection->orphan();
  }
}

void Endpoints::add_partner(int destination, PartnerSettings settings) {
  settings.destination = destination;
  partners_[destination] = std::make_unique<Partner>(settings, chance_);
}

void Endpoints::open(const EndpointSettings& settings, std::optional<int> at_site_of) {
  Site* site = nullptr;
  if (at_site_of && sites_of_.contains(*at_site_of) && sites_of_[*at_site_of]->endpoint == nullptr) {
    site = sites_of_[*at_site_of];
  } else {
    sites_.push_back(std::make_unique<Site>(*this));
    site = sites_.back().get();
  }
  auto endpoint = std::make_unique<Endpoint>();
  endpoint->settings = settings;
  endpoint->site = site;
  site->endpoint = endpoint.get();
  sites_of_[settings.number] = site;
  const Fault trouble = trouble_of(*endpoint);
  endpoints_[settings.number] = std::move(endpoint);
  if (trouble == Fault::kSilent) {
    site->listen();
    site->plug();
  } else if (trouble != Fault::kConnectionRefused) {
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

uint16_t Endpoints::port(int endpoint, int relay) const { return sites_of_.at(endpoint)->port(relay); }

Fault Endpoints::trouble_of(const Endpoint& endpoint) const {
  return partners_.at(endpoint.settings.destination)->fault();
}

void Endpoints::begin_fault(int destination, Fault trouble, Time until, double amount, bool tells_wait) {
  partner(destination).begin_fault(trouble, steady_now(), until, amount, tells_wait);
  for (const auto& [number, endpoint] : endpoints_) {
    if (endpoint->settings.destination != destination) continue;
    if (trouble == Fault::kSilent) endpoint->site->plug();
    if (trouble != Fault::kConnectionRefused) continue;
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
    std::vector<std::shared_ptr<Connection>> swallowed;
    for (Connection* connection : endpoint->connections) {
      if (connection->muted()) swallowed.push_back(connection->shared_from_this());
    }
    for (const auto& connection : swallowed) connection->reset();
    endpoint->site->listen();
  }
}

void Endpoints::hold_connections(int destination, bool hold) {
  for (const auto& [number, endpoint] : endpoints_) {
    if (endpoint->settings.destination != destination) continue;
    const Fault trouble = trouble_of(*endpoint);
    if (trouble == Fault::kSilent || trouble == Fault::kConnectionRefused) continue;
    if (hold) {
      endpoint->site->plug();
    } else {
      endpoint->site->listen();
    }
  }
}

}  // namespace umberhoist::standins

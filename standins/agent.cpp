#include "standins/agent.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>

namespace umberhoist::standins {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;
using nlohmann::json;

constexpr auto kHeartbeatInterval = std::chrono::seconds(2);  // interval of empty lines on an idle watch
constexpr size_t kMaxBodyBytes = 4 * 1024 * 1024;

const char* phase_name(HostState phase) {
  return phase == HostState::kActive ? "active" : phase == HostState::kDraining ? "leaving" : "left";
}

json to_json(const ListEntry& e) {
  return {{"id", e.id},
          {"host_port", e.host_port},
          {"locality", e.locality},
          {"flavor", e.flavor},
          {"cell", e.cell},
          {"phase", phase_name(e.phase)},
          {"size", e.size},
          {"up_since_ms", e.up_since_ms}};
}

std::string chunk(const std::string& text) {
  char head[24];
  std::snprintf(head, sizeof head, "%zx\r\n", text.size());
  return head + text + "\r\n";
}

}  // namespace

std::string entry_json(const ListEntry& entry) { return to_json(entry).dump(); }

class DiscoveryAgent::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(DiscoveryAgent& owner, tcp::socket socket) : owner_(&owner), socket_(std::move(socket)) {}

  void read() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](const Error& error, size_t) {
      if (self->owner_ == nullptr) return;
      if (error) return self->close();
      self->request_ = self->parser_->release();
      self->handle_request();
    });
  }

  // On a watch, writes the changes since the version that it has.
  void push_changes() {
    if (!is_watch_ || owner_ == nullptr || owner_->silent_ || is_writing_) return;
    std::vector<std::pair<int, HostState>> notified;
    const std::string line = owner_->changes_since(client_revision_, notified);
    if (notified.empty()) return;
    client_revision_ = owner_->revision_;
    write(chunk(line + "\n"), std::move(notified));
  }

  void send_heartbeat() {
    if (is_watch_ && owner_ != nullptr && !owner_->silent_ && !is_writing_) write(chunk("\n"), {});
  }

  void resume() {
    if (owner_ == nullptr) return;
    if (std::exchange(request_waiting_, false)) return handle_request();
    push_changes();
  }

  void release_notice_reply() {
    if (owner_ != nullptr && std::exchange(notice_reply_held_, false)) respond("204 No Content", "");
  }

  void close() {
    if (owner_ == nullptr) return;
    DiscoveryAgent* owner = std::exchange(owner_, nullptr);
    Error ignored;
    socket_.close(ignored);
    owner->connections_.erase(shared_from_this());
  }

  void detach() {
    owner_ = nullptr;
    Error ignored;
    socket_.close(ignored);
  }

 private:
  void handle_request() {
    const std::string target(request_.target());
    if (request_.method() == http::verb::post && target == "/v2/finals") return handle_notices();
    if (owner_->silent_) {  // answered once the agent is no longer silent
      request_waiting_ = true;
      return;
    }
    if (request_.method() != http::verb::get || !target.starts_with("/api/targets"))
      return respond("404 Not Found", "");
    if (target.find("stream=1") == std::string::npos) return respond("200 OK", owner_->full_list_json());
    const size_t index = target.find("index=");
    client_revision_ = -1;
    if (index != std::string::npos) {
      const char* from = target.data() + index + 6;
      std::from_chars(from, target.data() + target.size(), client_revision_);
    }
    is_watch_ = true;
    std::vector<std::pair<int, HostState>> notified;
    const std::string line = owner_->changes_since(client_revision_, notified);
    client_revision_ = owner_->revision_;
    write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" +
              chunk(line + "\n"),
          std::move(notified));
    wait_for_close();
  }

  // A watch lasts until the relay closes its connection, which only a read detects.
  void wait_for_close() {
    socket_.async_read_some(buffer_.prepare(512),
                            [self = shared_from_this()](const Error& error, size_t count) {
                              if (self->owner_ == nullptr) return;
                              if (error || count == 0) return self->close();
                              self->wait_for_close();
                            });
  }

  void handle_notices() {
    const Time now = steady_now();
    struct ParsedNotice {
      uint64_t id;
      bool returned;
      Time after;
    };
    std::vector<ParsedNotice> parsed;
    std::string body = request_.body();
    try {
      for (size_t end = 0; !body.empty(); body.erase(0, end)) {
        end = body.find('\n');
        const std::string line = body.substr(0, end);
        end = end == std::string::npos ? body.size() : end + 1;
        if (line.empty()) continue;
        const json notice = json::parse(line);
        const auto state = notice.at("state").get<std::string>();
        if (state != "failed" && state != "returned") throw std::invalid_argument("state");
        parsed.push_back({std::stoull(notice.at("id").get<std::string>(), nullptr, 16), state == "returned",
                          static_cast<Time>(notice.value("after_ms", 0.0) * 1e3)});
      }
    } catch (const std::exception&) {
      return respond("400 Bad Request", "");
    }
    for (const ParsedNotice& notice : parsed) {
      ++owner_->notice_count_;
      owner_->observer_.on_notice(now, owner_->relay_, notice.id, notice.returned, notice.after);
    }
    if (peer_has_closed() && time_since_last_byte() >= kMinReplyWait) {
      for (const ParsedNotice& notice : parsed)
        owner_->observer_.on_notice_abandoned(now, owner_->relay_, notice.id);
    }
    notice_reply_held_ = owner_->holding_notice_replies_;
    if (!notice_reply_held_) respond("204 No Content", "");
  }

  // Time since the kernel received the newest byte of the peer.
  Time time_since_last_byte() {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
    return kMillisecond * info.tcpi_last_data_recv;
  }

  bool peer_has_closed() {
    char byte = 0;
    const ssize_t count = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  void respond(const std::string& status, const std::string& body) {
    std::string out = "HTTP/1.1 " + status + "\r\n";
    if (!status.starts_with("204")) out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    out += "\r\n" + body;
    write(std::move(out), {});
    read_after_write_ = true;
  }

  void write(std::string bytes, std::vector<std::pair<int, HostState>> notified) {
    out_ = std::move(bytes);
    is_writing_ = true;
    boost::asio::async_write(
        socket_, boost::asio::buffer(out_),
        [self = shared_from_this(), notified = std::move(notified)](const Error& error, size_t) {
          if (self->owner_ == nullptr) return;
          self->is_writing_ = false;
          if (error) return self->close();
          const Time now = steady_now();
          for (const auto& [endpoint, phase] : notified) {
            self->owner_->observer_.on_relay_notified(now, self->owner_->relay_, endpoint, phase);
          }
          if (std::exchange(self->read_after_write_, false)) return self->read();
          self->push_changes();
        });
  }

  DiscoveryAgent* owner_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::request<http::string_body> request_;
  std::string out_;
  int64_t client_revision_ = -1;
  bool is_watch_ = false;
  bool is_writing_ = false;
  bool notice_reply_held_ = false;  // the response to notices is on hold
  bool request_waiting_ = false;    // a request waits until the agent is no longer silent
  bool read_after_write_ = false;   // read the next request once the response is written
};

DiscoveryAgent::DiscoveryAgent(boost::asio::io_context& io, int relay, Observer& observer)
    : io_(io), relay_(relay), observer_(observer), acceptor_(io), heartbeat_timer_(io), grace_timer_(io) {
  listen();
  send_heartbeat();
}

DiscoveryAgent::~DiscoveryAgent() {
  *alive_ = false;
  for (const auto& connection : connections_) connection->detach();
}

std::string DiscoveryAgent::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void DiscoveryAgent::listen() {
  acceptor_ = tcp::acceptor(io_, {boost::asio::ip::address_v4::loopback(), 0});
  accept();
}

void DiscoveryAgent::accept() {
  acceptor_.async_accept([this, alive = alive_](const Error& error, tcp::socket socket) {
    if (!*alive || error == boost::asio::error::operation_aborted) return;
    if (!error) {
      Error ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      auto connection = std::make_shared<Connection>(*this, std::move(socket));
      connections_.insert(connection);
      connection->read();
    }
    accept();
  });
}

void DiscoveryAgent::apply_update(const std::vector<ListEntry>& changed) {
  ++revision_;
  for (const ListEntry& entry : changed) {
    entries_[entry.endpoint] = entry;
    changed_in_revision_[entry.endpoint] = revision_;
    observer_.on_agent_updated(steady_now(), relay_, entry.endpoint, entry.phase);
  }
  push_changes();
}

void DiscoveryAgent::push_changes() {
  const auto connections = connections_;
  for (const auto& connection : connections) connection->push_changes();
}

void DiscoveryAgent::set_silent(bool silent) {
  silent_ = silent;
  if (silent) return;
  const auto connections = connections_;
  for (const auto& connection : connections) connection->resume();
}

void DiscoveryAgent::hold_notice_replies(bool hold) {
  holding_notice_replies_ = hold;
  if (hold) return;
  const auto connections = connections_;
  for (const auto& connection : connections) connection->release_notice_reply();
}

void DiscoveryAgent::move_to_new_port(Time grace) {
  const auto old_connections = connections_;
  acceptor_.close();
  listen();
  grace_timer_.expires_after(std::chrono::microseconds(grace));
  grace_timer_.async_wait([old_connections, alive = alive_](const Error& error) {
    if (error || !*alive) return;
    for (const auto& connection : old_connections) connection->close();
  });
}

std::string DiscoveryAgent::full_list_json() const {
  json members = json::array();
  for (const auto& [endpoint, entry] : entries_) {
    if (entry.phase != HostState::kRemoved) members.push_back(to_json(entry));
  }
  return json{{"revision", revision_}, {"complete", true}, {"members", members}}.dump();
}

// The changes after `revision`, or the complete list if the agent never had that version. Appends each entry
// that the relay learns of to `notified`.
std::string DiscoveryAgent::changes_since(int64_t revision,
                                          std::vector<std::pair<int, HostState>>& notified) const {
  const bool complete = revision < 0 || revision > revision_;
  json members = json::array();
  for (const auto& [endpoint, entry] : entries_) {
    const bool included =
        complete ? entry.phase != HostState::kRemoved : changed_in_revision_.at(endpoint) > revision;
    if (!included) continue;
    members.push_back(to_json(entry));
    notified.emplace_back(endpoint, entry.phase);
  }
  if (complete) {
    for (const auto& [endpoint, entry] : entries_) {  // a complete list does not contain removed endpoints
      if (entry.phase == HostState::kRemoved) notified.emplace_back(endpoint, HostState::kRemoved);
    }
  }
  return json{{"revision", revision_}, {"complete", complete}, {"members", members}}.dump();
}

void DiscoveryAgent::send_heartbeat() {
  heartbeat_timer_.expires_after(kHeartbeatInterval);
  heartbeat_timer_.async_wait([this, alive = alive_](const Error& error) {
    if (error || !*alive) return;
    const auto connections = connections_;
    for (const auto& connection : connections) connection->send_heartbeat();
    send_heartbeat();
  });
}

}  // namespace umberhoist::standins

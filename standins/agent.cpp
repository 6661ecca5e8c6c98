#include "standins/agent.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>

namespace umberhoist::standins {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;
using nlohmann::json;

constexpr auto kBeat = std::chrono::seconds(2);  // an empty line on a watch on which nothing changes
constexpr size_t kMostBody = 4 * 1024 * 1024;

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
    parser_->body_limit(kMostBody);
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](const Error& error, size_t) {
      if (self->owner_ == nullptr) return;
      if (error) return self->leave();
      self->request_ = self->parser_->release();
      self->serve();
    });
  }

  // A watch: what changed since its version, if anything did.
  void push() {
    if (!watching_ || owner_ == nullptr || owner_->muted_ || writing_) return;
    std::vector<std::pair<int, HostState>> told;
    const std::string line = owner_->changes_since(seen_, told);
    if (told.empty()) return;
    seen_ = owner_->revision_;
    write(chunk(line + "\n"), std::move(told));
  }

  void beat() {
    if (watching_ && owner_ != nullptr && !owner_->muted_ && !writing_) write(chunk("\n"), {});
  }

  void unmute() {
    if (owner_ == nullptr) return;
    if (std::exchange(waiting_, false)) return serve();
    push();
  }

  void let_go() {
    if (owner_ != nullptr && std::exchange(held_back_, false)) answer("204 No Content", "");
  }

  void leave() {
    if (owner_ == nullptr) return;
    DiscoveryAgent* owner = std::exchange(owner_, nullptr);
    Error ignored;
    socket_.close(ignored);
    owner->connections_.erase(shared_from_this());
  }

  void orphan() {
    owner_ = nullptr;
    Error ignored;
    socket_.close(ignored);
  }

 private:
  void serve() {
    const std::string target(request_.target());
    if (request_.method() == http::verb::post && target == "/v2/finals") return notices();
    if (owner_->muted_) {  // silent, until it speaks again
      waiting_ = true;
      return;
    }
    if (request_.method() != http::verb::get || !target.starts_with("/api/targets"))
      return answer("404 Not Found", "");
    if (target.find("stream=1") == std::string::npos) return answer("200 OK", owner_->full_list_json());
    const size_t index = target.find("index=");
    seen_ = -1;
    if (index != std::string::npos) {
      const char* from = target.data() + index + 6;
      std::from_chars(from, target.data() + target.size(), seen_);
    }
    watching_ = true;
    std::vector<std::pair<int, HostState>> told;
    const std::string line = owner_->changes_since(seen_, told);
    seen_ = owner_->revision_;
    write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" +
              chunk(line + "\n"),
          std::move(told));
    watch_end();
  }

  // A watch lasts until its connection ends, which shows in a read.
  void watch_end() {
    socket_.async_read_some(buffer_.prepare(512),
                            [self = shared_from_this()](const Error& error, size_t count) {
                              if (self->owner_ == nullptr) return;
                              if (error || count == 0) return self->leave();
                              self->watch_end();
                            });
  }

  void notices() {
    const Time now = steady_now();
    struct Read {
      uint64_t id;
      bool returned;
      Time after;
    };
    std::vector<Read> all;
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
        all.push_back({std::stoull(notice.at("id").get<std::string>(), nullptr, 16), state == "returned",
                       static_cast<Time>(notice.value("after_ms", 0.0) * 1e3)});
      }
    } catch (const std::exception&) {
      return answer("400 Bad Request", "");
    }
    for (const Read& notice : all) {
      ++owner_->notices_;
      owner_->witness_.on_notice(now, owner_->relay_, notice.id, notice.returned, notice.after);
    }
    held_back_ = owner_->holding_;
    if (!held_back_) answer("204 No Content", "");
  }

  void answer(const std::string& status, const std::string& body) {
    std::string out = "HTTP/1.1 " + status + "\r\n";
    if (!status.starts_with("204")) out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    out += "\r\n" + body;
    write(std::move(out), {});
    then_read_ = true;
  }

  void write(std::string bytes, std::vector<std::pair<int, HostState>> told) {
    out_ = std::move(bytes);
    writing_ = true;
    boost::asio::async_write(socket_, boost::asio::buffer(out_),
                             [self = shared_from_this(), told = std::move(told)](const Error& error, size_t) {
                               if (self->owner_ == nullptr) return;
                               self->writing_ = false;
                               if (error) return self->leave();
                               const Time now = steady_now();
                               for (const auto& [endpoint, phase] : told) {
                                 self->owner_->witness_.on_relay_notified(now, self->owner_->relay_, endpoint,
                                                                          phase);
                               }
                               if (std::exchange(self->then_read_, false)) return self->read();
                               self->push();
                             });
  }

  DiscoveryAgent* owner_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::request<http::string_body> request_;
  std::string out_;
  int64_t seen_ = -1;
  bool watching_ = false;
  bool writing_ = false;
  bool held_back_ = false;  // the answer to its notices
  bool waiting_ = false;    // for the agent to speak again
  bool then_read_ = false;  // the next request, once the answer is written
};

DiscoveryAgent::DiscoveryAgent(boost::asio::io_context& io, int relay, Observer& witness)
    : io_(io), relay_(relay), witness_(witness), acceptor_(io), beat_(io), grace_(io) {
  listen();
  beat();
}

DiscoveryAgent::~DiscoveryAgent() {
  *alive_ = false;
  for (const auto& connection : connections_) connection->orphan();
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
    changed_at_[entry.endpoint] = revision_;
    witness_.on_agent_updated(steady_now(), relay_, entry.endpoint, entry.phase);
  }
  push();
}

void DiscoveryAgent::push() {
  const auto all = connections_;
  for (const auto& connection : all) connection->push();
}

void DiscoveryAgent::set_silent(bool muted) {
  muted_ = muted;
  if (muted) return;
  const auto all = connections_;
  for (const auto& connection : all) connection->unmute();
}

void DiscoveryAgent::hold_notice_replies(bool hold) {
  holding_ = hold;
  if (hold) return;
  const auto all = connections_;
  for (const auto& connection : all) connection->let_go();
}

void DiscoveryAgent::move_to_new_port(Time grace) {
  const auto before = connections_;
  acceptor_.close();
  listen();
  grace_.expires_after(std::chrono::microseconds(grace));
  grace_.async_wait([before, alive = alive_](const Error& error) {
    if (error || !*alive) return;
    for (const auto& connection : before) connection->leave();
  });
}

std::string DiscoveryAgent::full_list_json() const {
  json members = json::array();
  for (const auto& [endpoint, entry] : entries_) {
    if (entry.phase != HostState::kRemoved) members.push_back(to_json(entry));
  }
  return json{{"revision", revision_}, {"complete", true}, {"members", members}}.dump();
}

// What changed after that version, or the whole list for a version that is none of ours. `told` names each
// entry.
std::string DiscoveryAgent::changes_since(int64_t revision,
                                          std::vector<std::pair<int, HostState>>& told) const {
  const bool whole = revision < 0 || revision > revision_;
  json members = json::array();
  for (const auto& [endpoint, entry] : entries_) {
    const bool fresh = whole ? entry.phase != HostState::kRemoved : changed_at_.at(endpoint) > revision;
    if (!fresh) continue;
    members.push_back(to_json(entry));
    told.emplace_back(endpoint, entry.phase);
  }
  if (whole) {
    for (const auto& [endpoint, entry] : entries_) {  // not in a whole list: gone
      if (entry.phase == HostState::kRemoved) told.emplace_back(endpoint, HostState::kRemoved);
    }
  }
  return json{{"revision", revision_}, {"complete", whole}, {"members", members}}.dump();
}

void DiscoveryAgent::beat() {
  beat_.expires_after(kBeat);
  beat_.async_wait([this, alive = alive_](const Error& error) {
    if (error || !*alive) return;
    const auto all = connections_;
    for (const auto& connection : all) connection->beat();
    beat();
  });
}

}  // namespace umberhoist::standins

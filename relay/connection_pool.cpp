#include "connection_pool.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace firspool::relay {
namespace {

using Error = boost::system::error_code;

constexpr size_t kMaxPerHost = 64;
constexpr size_t kReadBytes = 4 * 1024;

bool is_used_before(const ConnectionPool::ConnectionPtr& a, const ConnectionPool::ConnectionPtr& b) {
  return std::pair(a->is_refusal_certain(), a->id) < std::pair(b->is_refusal_certain(), b->id);
}

}  // namespace

ConnectionPool::ConnectionPtr ConnectionPool::take(const Endpoint& endpoint, const tcp::endpoint& address,
                                                   bool for_certain_refusal) {
  const auto it = by_host_.find(endpoint);
  if (it == by_host_.end()) return nullptr;
  std::vector<ConnectionPtr> candidates = it->second;
  std::sort(candidates.begin(), candidates.end(), is_used_before);
  for (const ConnectionPtr& connection : candidates) {
    if (!connection->idle || connection->close_at != 0 || !check_input(connection)) continue;
    hooks_.on_quiet(*connection);
    if (for_certain_refusal && !connection->is_refusal_certain()) continue;
    Error error;
    const bool same_address = connection->socket.remote_endpoint(error) == address && !error;
    if (!same_address || steady_now() - connection->idle_since >= max_idle_time_) {
      close(connection);
      continue;
    }
    remove(connection);
    connection->socket.cancel(error);
    return connection;
  }
  return nullptr;
}

bool ConnectionPool::has_usable(const Endpoint& endpoint) const {
  const auto it = by_host_.find(endpoint);
  return it != by_host_.end() &&
         std::any_of(it->second.begin(), it->second.end(),
                     [](const ConnectionPtr& connection) { return connection->close_at == 0; });
}

void ConnectionPool::keep(ConnectionPtr connection) {
  connection->close_at = 0;
  add(std::move(connection));
}

void ConnectionPool::drain(ConnectionPtr connection, Time close_at, bool stop_sending) {
  Error ignored;
  if (stop_sending) connection->socket.shutdown(tcp::socket::shutdown_send, ignored);
  connection->close_at = close_at;
  add(std::move(connection));
}

void ConnectionPool::add(ConnectionPtr connection) {
  std::vector<ConnectionPtr>& list = by_host_[connection->endpoint];
  if (list.size() >= kMaxPerHost) return close(std::move(connection));
  connection->idle = true;
  connection->idle_since = steady_now();
  list.push_back(connection);
  ++size_;
  watch(connection);
}

void ConnectionPool::watch(const ConnectionPtr& connection) {
  const std::weak_ptr<HostConnection> weak = connection;
  connection->socket.async_wait(tcp::socket::wait_read,
                                [this, weak, since = connection->idle_since](const Error& error) {
                                  const ConnectionPtr idle = weak.lock();
                                  if (error || !idle || !idle->idle || idle->idle_since != since) return;
                                  if (check_input(idle)) watch(idle);
                                });
}

Input read_input(HostConnection& connection, std::string& bytes) {
  std::array<char, kReadBytes> buffer;
  while (true) {
    const ssize_t count =
        ::recv(connection.socket.native_handle(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count > 0) {
      bytes.append(buffer.data(), static_cast<size_t>(count));
      if (bytes.size() < kReadBytes) continue;
    }
    if (count < 0 && errno == EINTR) continue;
    // Line breaks between replies are no reply.
    if (bytes.find_first_not_of("\r\n") != std::string::npos) return Input::kSurplus;
    const bool open = count > 0 || (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
    return open ? Input::kNone : Input::kEnd;
  }
}

bool ConnectionPool::check_input(const ConnectionPtr& connection) {
  std::string bytes;
  const Input input = read_input(*connection, bytes);
  if (input == Input::kNone) return true;
  if (input == Input::kSurplus) hooks_.on_surplus(*connection, bytes);
  close(connection);
  return false;
}

void ConnectionPool::remove(const ConnectionPtr& connection) {
  if (!connection->idle) return;
  connection->idle = false;
  const auto it = by_host_.find(connection->endpoint);
  size_ -= std::erase(it->second, connection);
  if (it->second.empty()) by_host_.erase(it);
}

void ConnectionPool::close(ConnectionPtr connection, CloseReason reason) {
  if (connection->idle) hooks_.on_quiet(*connection);
  remove(connection);
  Error ignored;
  connection->socket.close(ignored);
  hooks_.on_closed(*connection, reason);
}

void ConnectionPool::close_host(const Endpoint& endpoint) {
  const auto it = by_host_.find(endpoint);
  if (it == by_host_.end()) return;
  const std::vector<ConnectionPtr> connections = it->second;
  for (const ConnectionPtr& connection : connections) {
    if (connection->idle && check_input(connection)) close(connection);
  }
}

// Makes room for a call: closes the least recently used connection, first among those that must not be used
// again.
void ConnectionPool::close_oldest() {
  ConnectionPtr oldest;
  const auto order = [](const HostConnection& connection) {
    return std::pair(connection.close_at == 0, connection.idle_since);
  };
  for (const auto& [endpoint, list] : by_host_) {
    for (const ConnectionPtr& connection : list) {
      if (!oldest || order(*connection) < order(*oldest)) oldest = connection;
    }
  }
  if (oldest) close(oldest);
}

void ConnectionPool::sweep() {
  const Time now = steady_now();
  for (const ConnectionPtr& connection : all()) {
    if (!connection->idle || !check_input(connection)) continue;
    hooks_.on_quiet(*connection);
    const bool idle_too_long = now - connection->idle_since >= max_idle_time_;
    const bool past_end = connection->close_at != 0 && now >= connection->close_at;
    if (past_end) {
      close(connection);
    } else if (idle_too_long) {
      close(connection, CloseReason::kIdleTooLong);
    }
  }
}

std::vector<ConnectionPool::ConnectionPtr> ConnectionPool::all() const {
  std::vector<ConnectionPtr> out;
  for (const auto& [endpoint, list] : by_host_) out.insert(out.end(), list.begin(), list.end());
  return out;
}

}  // namespace firspool::relay

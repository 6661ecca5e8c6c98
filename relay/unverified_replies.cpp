#include "unverified_replies.h"

#include <algorithm>
#include <utility>

namespace firspool::relay {
namespace {

void move_ids_of(std::vector<UnverifiedReply>& replies, std::vector<std::string>& out) {
  for (UnverifiedReply& reply : replies) out.push_back(std::move(reply.message_id));
  replies.clear();
}

void move_due_ids(std::vector<UnverifiedReply>& replies, Time due_by, std::vector<std::string>& out) {
  const auto due = std::stable_partition(replies.begin(), replies.end(), [&](const UnverifiedReply& reply) {
    return reply.message_due > due_by;
  });
  for (auto reply = due; reply != replies.end(); ++reply) out.push_back(std::move(reply->message_id));
  replies.erase(due, replies.end());
}

}  // namespace

void UnverifiedReplies::move_ids(Connection& connection, std::vector<std::string>& out) {
  move_ids_of(connection.before_quiet, out);
  move_ids_of(connection.replies, out);
}

void UnverifiedReplies::prove(ConnectionId connection, std::vector<UnverifiedReply>& replies, size_t count,
                              Time now) {
  const Endpoint& endpoint = connections_.at(connection).endpoint;
  const auto end = replies.begin() + static_cast<std::ptrdiff_t>(count);
  for (auto reply = replies.begin(); reply != end; ++reply) {
    proved_.push_back(
        {connection, endpoint, std::move(reply->message_id), reply->message_due, now + kConfirmationDelay});
  }
  replies.erase(replies.begin(), end);
}

template <class Predicate>
void UnverifiedReplies::move_proved_ids(Predicate is_doubtful, std::vector<std::string>& out) {
  for (ProvedReply& reply : proved_) {
    if (is_doubtful(reply)) out.push_back(std::move(reply.message_id));
  }
  std::erase_if(proved_, is_doubtful);
}

void UnverifiedReplies::add(ConnectionId connection, const Endpoint& endpoint, UnverifiedReply reply) {
  Connection& entry = connections_[connection];
  const Time now = reply.settled;
  entry.endpoint = endpoint;
  entry.replies.push_back(std::move(reply));
  if (entry.before_quiet.size() + entry.replies.size() <= kProvingReplies) return;
  prove(connection, entry.before_quiet.empty() ? entry.replies : entry.before_quiet, 1, now);
}

bool UnverifiedReplies::may_reuse_host(const Endpoint& endpoint, Time now) const {
  const auto it = suspect_until_.find(endpoint);
  return it == suspect_until_.end() || now >= it->second;
}

void UnverifiedReplies::on_quiet(ConnectionId connection, Time now) {
  const auto it = connections_.find(connection);
  if (it == connections_.end() || it->second.replies.empty()) return;
  Connection& entry = it->second;
  if (now < entry.replies.back().settled + kQuietTime) return;
  prove(connection, entry.before_quiet, entry.before_quiet.size(), now);
  entry.before_quiet = std::exchange(entry.replies, {});
}

std::vector<std::string> UnverifiedReplies::take_confirmed(Time now) {
  std::vector<std::string> confirmed;
  while (!proved_.empty() && proved_.front().confirmed_at <= now) {
    confirmed.push_back(std::move(proved_.front().message_id));
    proved_.pop_front();
  }
  return confirmed;
}

std::vector<std::string> UnverifiedReplies::on_message_time_up(Time now) {
  std::vector<std::string> doubtful;
  for (auto& [id, connection] : connections_) {
    move_due_ids(connection.before_quiet, now + kNoticeLead, doubtful);
    move_due_ids(connection.replies, now + kNoticeLead, doubtful);
  }
  move_proved_ids([now](const ProvedReply& reply) { return reply.message_due <= now + kNoticeLead; },
                  doubtful);
  std::erase_if(connections_, [](const auto& entry) { return entry.second.empty(); });
  return doubtful;
}

std::vector<std::string> UnverifiedReplies::on_surplus(const Endpoint& endpoint, Time now) {
  suspect_until_[endpoint] = now + kNoReuseTime;
  std::vector<std::string> doubtful;
  for (auto& [id, connection] : connections_) {
    if (connection.endpoint == endpoint) move_ids(connection, doubtful);
  }
  move_proved_ids([&](const ProvedReply& reply) { return reply.endpoint == endpoint; }, doubtful);
  std::erase_if(connections_, [](const auto& entry) { return entry.second.empty(); });
  return doubtful;
}

std::vector<std::string> UnverifiedReplies::on_ended(ConnectionId connection) {
  std::vector<std::string> doubtful = on_idle_closed(connection);
  move_proved_ids([&](const ProvedReply& reply) { return reply.connection == connection; }, doubtful);
  return doubtful;
}

std::vector<std::string> UnverifiedReplies::on_idle_closed(ConnectionId connection) {
  std::vector<std::string> doubtful;
  const auto it = connections_.find(connection);
  if (it == connections_.end()) return doubtful;
  move_ids(it->second, doubtful);
  connections_.erase(it);
  return doubtful;
}

std::vector<std::string> UnverifiedReplies::on_all_ended() {
  std::vector<std::string> doubtful;
  for (auto& [id, connection] : connections_) move_ids(connection, doubtful);
  connections_.clear();
  for (ProvedReply& reply : proved_) reply.confirmed_at = 0;
  return doubtful;
}

void UnverifiedReplies::forget_old_suspects(Time now) {
  std::erase_if(suspect_until_, [now](const auto& entry) { return entry.second <= now; });
}

}  // namespace firspool::relay

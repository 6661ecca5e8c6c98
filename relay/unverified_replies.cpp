#include "unverified_replies.h"

#include <algorithm>
#include <utility>

namespace firspool::relay {

void UnverifiedReplies::move_ids(std::vector<UnverifiedReply>& replies, std::vector<std::string>& out) {
  for (UnverifiedReply& reply : replies) out.push_back(std::move(reply.message_id));
  replies.clear();
}

void UnverifiedReplies::add(ConnectionId connection, const Endpoint& endpoint, UnverifiedReply reply) {
  Connection& entry = connections_[connection];
  entry.endpoint = endpoint;
  entry.replies.push_back(std::move(reply));
}

bool UnverifiedReplies::may_reuse(ConnectionId connection, Time now) const {
  const auto it = connections_.find(connection);
  if (it == connections_.end()) return true;
  const std::vector<UnverifiedReply>& replies = it->second.replies;
  return replies.size() < kMaxPerConnection && now - replies.front().settled < kMaxUnverifiedAge;
}

bool UnverifiedReplies::may_reuse_host(const Endpoint& endpoint, Time now) const {
  const auto it = suspect_until_.find(endpoint);
  return it == suspect_until_.end() || now >= it->second;
}

std::vector<std::string> UnverifiedReplies::confirm_quiet(ConnectionId connection, Time now) {
  std::vector<std::string> out;
  const auto it = connections_.find(connection);
  if (it == connections_.end()) return out;
  for (const UnverifiedReply& reply : it->second.replies) {
    if (now < std::max(reply.settled + kQuietTime, reply.call_deadline)) return out;
  }
  move_ids(it->second.replies, out);
  connections_.erase(it);
  return out;
}

std::vector<std::string> UnverifiedReplies::on_surplus(const Endpoint& endpoint, Time now) {
  new_suspect_ = may_reuse_host(endpoint, now);
  suspect_until_[endpoint] = now + kNoReuseTime;
  std::vector<std::string> out;
  for (auto& [id, connection] : connections_) {
    if (connection.endpoint == endpoint) move_ids(connection.replies, out);
  }
  std::erase_if(connections_, [](const auto& entry) { return entry.second.replies.empty(); });
  return out;
}

void UnverifiedReplies::judge_end(std::vector<UnverifiedReply>& replies, Time doubtful_since, Verdicts& out) {
  for (size_t i = 0; i < replies.size(); ++i) {
    const bool is_doubtful = replies[i].settled > doubtful_since && i + kMaxDoubtfulAtEnd >= replies.size();
    (is_doubtful ? out.doubtful : out.confirmed).push_back(std::move(replies[i].message_id));
  }
}

UnverifiedReplies::Verdicts UnverifiedReplies::on_call_failed(ConnectionId connection) {
  return on_ended(connection, 0);
}

UnverifiedReplies::Verdicts UnverifiedReplies::on_ended(ConnectionId connection, Time now) {
  Verdicts out;
  const auto it = connections_.find(connection);
  if (it == connections_.end()) return out;
  judge_end(it->second.replies, now - kQuietTime, out);
  connections_.erase(it);
  return out;
}

UnverifiedReplies::Verdicts UnverifiedReplies::on_all_ended(Time now) {
  Verdicts out;
  for (auto& [id, connection] : connections_) judge_end(connection.replies, now - kQuietTime, out);
  connections_.clear();
  return out;
}

void UnverifiedReplies::forget_old_suspects(Time now) {
  std::erase_if(suspect_until_, [now](const auto& entry) { return entry.second <= now; });
}

}  // namespace firspool::relay

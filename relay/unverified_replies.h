// Which replies of hosts are certain. HTTP/1.1 does not name the request that a reply answers: on a
// connection that carried a request before, bytes that the host sends late or twice look like the reply to
// the present one, and every later reply on it then comes one request late. The reply to a connection's first
// request is certain. A message that a later reply delivered is kept here until its connection has stayed
// quiet. If bytes come instead that answer no request, or the connection ends early, the message is in doubt
// and needs a notice. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "firspool/policy.h"

namespace firspool::relay {

using ConnectionId = uint64_t;

struct UnverifiedReply {
  std::string message_id;
  Time settled = 0;        // when the reply was complete
  Time call_deadline = 0;  // the true reply may come until then
};

class UnverifiedReplies {
 public:
  // The least time for which a connection has to stay quiet after a reply.
  static constexpr Time kQuietTime = 1'000'000;
  // A connection with an unverified reply of this age, or with so many of them, is used again only after it
  // has been quiet.
  static constexpr Time kMaxUnverifiedAge = 1'500'000;
  static constexpr size_t kMaxPerConnection = 64;
  // For this long after surplus bytes of a host each of its connections carries one request.
  static constexpr Time kNoReuseTime = 60'000'000;
  // Where a connection ends early, at most so many of its replies are in doubt, the last ones: as many true
  // replies may have been on the way as surplus ones had come.
  static constexpr size_t kMaxDoubtfulAtEnd = 3;

  struct Verdicts {  // ids of messages
    std::vector<std::string> confirmed;
    std::vector<std::string> doubtful;
  };

  void add(ConnectionId connection, const Endpoint& endpoint, UnverifiedReply reply);

  bool may_reuse(ConnectionId connection, Time now) const;
  bool may_reuse_host(const Endpoint& endpoint, Time now) const;
  bool has_replies(ConnectionId connection) const { return connections_.contains(connection); }
  bool empty() const { return connections_.empty(); }

  // The connection is idle, and nothing arrived on it since its last reply. Returns the messages whose
  // replies are thereby certain: all of its messages or none.
  std::vector<std::string> confirm_quiet(ConnectionId connection, Time now);

  // The host sent bytes that answer no request: replies on its other connections are in doubt as well.
  // Returns all of its messages.
  std::vector<std::string> on_surplus(const Endpoint& endpoint, Time now);
  // True if the host was not yet under suspicion when its last surplus bytes arrived.
  bool is_new_suspect() const { return new_suspect_; }
  // A call on the connection ended without delivering its message. That may be the end of an earlier call.
  Verdicts on_call_failed(ConnectionId connection);
  // The connection ended while it was idle, before it had been quiet.
  Verdicts on_ended(ConnectionId connection, Time now);
  Verdicts on_all_ended(Time now);
  void forget_old_suspects(Time now);

 private:
  struct Connection {
    Endpoint endpoint;
    std::vector<UnverifiedReply> replies;  // in order of `settled`
  };
  static void move_ids(std::vector<UnverifiedReply>& replies, std::vector<std::string>& out);
  // The last replies are in doubt if they settled after `doubtful_since`.
  static void judge_end(std::vector<UnverifiedReply>& replies, Time doubtful_since, Verdicts& out);

  std::map<ConnectionId, Connection> connections_;  // those with unverified replies
  std::map<Endpoint, Time> suspect_until_;
  bool new_suspect_ = false;
};

}  // namespace firspool::relay

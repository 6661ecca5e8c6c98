// Which replies of hosts are certain. HTTP/1.1 does not name the request that a reply answers: on a
// connection that carried a request before, bytes that the host sends late or twice look like the reply to
// the present one, and every later reply on it then comes one request late. The reply to a connection's first
// request is certain. A message that a later reply delivered is kept here until it is confirmed or in doubt.
//
// Silence after a reply is no proof, as a host that hangs is silent whatever it owes. Nor is the next reply,
// which may be the one that was owed. But replies come in the order of their requests: a host that owed one
// and replies again has to send one too many. So a reply is proved
// - once the connection was quiet after it, then carried a call that was delivered, and was quiet again, or
// - once so many later replies delivered their messages that the host would owe as many.
// It is confirmed if its host sends no surplus bytes for a while longer, and its connection neither fails nor
// ends: a host that copies replies may also drop calls, or hang. A reply is in doubt, and its message needs a
// notice, if before that its host sends bytes that answer no request, a later call on the connection fails or
// the connection ends for another reason than being idle, or if the message's time is up and the reply is not
// proved. No I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "firspool/policy.h"

namespace firspool::relay {

using ConnectionId = uint64_t;

struct UnverifiedReply {
  std::string message_id;
  Time settled = 0;      // when the reply was complete
  Time message_due = 0;  // by then the message needs its end
};

class UnverifiedReplies {
 public:
  // A connection is quiet if it was idle for so long and nothing arrived.
  static constexpr Time kQuietTime = 1'000'000;
  // So many later replies prove one without a quiet time.
  static constexpr size_t kProvingReplies = 8;
  // For this long after surplus bytes of a host each of its connections carries one request.
  static constexpr Time kNoReuseTime = 60'000'000;
  // From the proof of a reply to its confirmation.
  static constexpr Time kConfirmationDelay = 5'000'000;
  // A message is in doubt this long before its time is up, so that its notice comes in time.
  static constexpr Time kNoticeLead = 500'000;

  void add(ConnectionId connection, const Endpoint& endpoint, UnverifiedReply reply);

  bool may_reuse_host(const Endpoint& endpoint, Time now) const;
  bool has_replies(ConnectionId connection) const { return connections_.contains(connection); }
  bool empty() const { return connections_.empty() && proved_.empty(); }

  // The connection is idle, and nothing arrived on it since its last reply.
  void on_quiet(ConnectionId connection, Time now);
  // Removes and returns the messages that are confirmed by now.
  std::vector<std::string> take_confirmed(Time now);

  // The calls below return the messages that are thereby in doubt.
  // Those that are not confirmed shortly before their messages' time is up.
  std::vector<std::string> on_message_time_up(Time now);
  // The host sent bytes that answer no request: all of its replies are in doubt.
  std::vector<std::string> on_surplus(const Endpoint& endpoint, Time now);
  // The connection ended, or a call on it ended without delivering its message: that may be the end of an
  // earlier call.
  std::vector<std::string> on_ended(ConnectionId connection);
  // The relay closed the connection, as it was quiet for long: no sign against replies that are proved.
  std::vector<std::string> on_idle_closed(ConnectionId connection);
  // All connections end; proved replies count as confirmed from now on.
  std::vector<std::string> on_all_ended();
  void forget_old_suspects(Time now);

 private:
  struct Connection {
    Endpoint endpoint;
    std::vector<UnverifiedReply> before_quiet;  // the connection was quiet once since
    std::vector<UnverifiedReply> replies;       // those since, in order of `settled`
    bool empty() const { return before_quiet.empty() && replies.empty(); }
  };
  struct ProvedReply {
    ConnectionId connection = 0;
    Endpoint endpoint;
    std::string message_id;
    Time message_due = 0;
    Time confirmed_at = 0;
  };
  static void move_ids(Connection& connection, std::vector<std::string>& out);
  void prove(ConnectionId connection, std::vector<UnverifiedReply>& replies, size_t count, Time now);
  template <class Predicate>
  void move_proved_ids(Predicate is_doubtful, std::vector<std::string>& out);

  std::map<ConnectionId, Connection> connections_;  // those with unverified replies
  std::deque<ProvedReply> proved_;                  // in order of `confirmed_at`
  std::map<Endpoint, Time> suspect_until_;
};

}  // namespace firspool::relay

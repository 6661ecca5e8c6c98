// One relay's part in the register: frames and clock readings in, frames out. A voter takes part in the
// replicated log; every other relay is a learner, which receives the state in the voters' answers to its
// heartbeats. All time-outs are kept here by the caller's clocks; there are no sockets, threads or sleeps.
//
// Leases: the owner of a range may act for its keys only while its lease lasts. The leader grants a lease in
// answer to a heartbeat; it starts when the heartbeat was *sent*, on the owner's steady clock. The leader
// commits a map only when every member has either acknowledged it or can no longer hold a lease. A new leader
// first waits until every lease that its predecessor may have granted has expired.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "register/machine.h"
#include "register/raft.h"
#include "register/storage.h"

namespace umberhoist::reg {

struct Now {
  int64_t steady_us = 0;  // monotonic, and counts time while the machine is suspended
  int64_t wall_us = 0;    // UTC; may jump in either direction
};

struct Voter {
  std::string name;
  uint32_t slot = 0;
};

struct NodeOptions {
  std::string name;
  uint32_t slot = 0;  // 1 to 65535, unique in the fleet
  std::string zone;
  double weight = 1;
  std::vector<Voter> voters;  // three or five; may include this relay
  StateMachineRules rules;
  RaftOptions raft;
  int64_t relay_heartbeat_ms =
      300;  // from each relay to the voters; raft.heartbeat_interval_ms: to followers
  int64_t lease_ms = 2000;
  int64_t member_timeout_ms = 3000;  // a member not heard from for this long is lost
  int64_t confirm_timeout_ms =
      10'000;  // a starting voter waits this long for all other voters, after that only for a majority
  int64_t bootstrap_delay_ms = 3000;  // a new fleet waits this long before bootstrap and before its first map
  int64_t propose_timeout_ms = 5000;  // a change that is not applied by then is reported as failed
  int64_t clock_slack_us = 10'000;    // assumed error of a wall clock beyond the spread between voters
};

// One relay's view of a destination's health. Used by relays that have just restarted, and by relays that
// leave trial calls to the destination's owner. Times are in microseconds of the reader's steady clock.
struct HealthReport {
  int64_t destination = 0;
  int64_t outage_start = 0;      // 0: no outage
  int64_t recovery_start = 0;    // 0: outage not over
  double baseline_rate = 0;      // calls served per second before the outage
  bool recently_served = false;  // a call was served within the last moments
  bool can_send_trial = false;   // in outage, and the relay holds a message to send as a trial
  bool from_owner = false;       // reported by the destination's owner
};

enum class Ownership {
  kUncoordinated,  // no usable register state: behave as without a fleet
  kOwner,          // this relay may act for the key now
  kOther,          // another relay may, or is about to
};

// Snapshot from which ownership is decided. Any thread may read it; evaluate it at the moment of acting,
// because the lease may expire at any time.
struct OwnershipView {
  std::string self;
  std::shared_ptr<const pb::Map> map, proposed;  // both of the same command index
  int64_t lease_until = 0;
  int64_t confirmed_until = 0;  // steady microseconds; the state is not confirmed after that
  bool diverged = false;
  uint64_t generation = 0;

  Ownership ownership(shards::Key key, int64_t steady_us) const;
  bool confirmed(int64_t steady_us) const { return !diverged && steady_us < confirmed_until; }
};

class Node {
 public:
  using SendCallback = std::function<void(const std::string& to, const pb::Frame&)>;
  using ReplyCallback = std::function<void(bool done, const std::string& text)>;
  using LogCallback = std::function<void(const std::string& line)>;

  Node(NodeOptions options, state::Files& files, uint64_t seed, Now now, SendCallback send, LogCallback log);
  ~Node();

  void receive(const pb::Frame& frame, Now now);
  void tick(Now now);  // call at intervals well below relay_heartbeat_ms
  // An operator's query or change. `done` is called exactly once: immediately or within propose_timeout_ms.
  void handle_request(const pb::Ask& request, Now now, ReplyCallback done);
  // Proposes the configuration that all relays are to run. `done` reports whether the register accepted it.
  void propose_version(const std::string& text, Now now, ReplyCallback done);
  void set_running_version(uint64_t number) { running_version_ = number; }
  void report_health(std::vector<HealthReport> reports) { own_reports_ = std::move(reports); }
  void set_leaving() { leaving_ = true; }

  OwnershipView view() const;
  Ownership ownership(shards::Key key, int64_t steady_us) const { return view().ownership(key, steady_us); }
  const StateMachine& state_machine() const { return machine_; }
  // The version to run: the one being rolled out, or the last one that all reached. Number 0: none.
  const pb::Version& version() const;
  std::vector<HealthReport> health_reports(
      int64_t steady_us) const;  // from other relays, the newest for each destination
  // Whether a leader has confirmed the state within lease_ms.
  bool confirmed(int64_t steady_us) const { return view().confirmed(steady_us); }
  bool is_leader() const { return leading_; }
  bool is_voting() const { return phase_ == Phase::kVoting; }
  bool diverged() const { return diverged_; }
  uint64_t generation() const;
  uint64_t identity() const { return storage_->identity(); }
  uint64_t term() const { return raft_ ? raft_->term() : 0; }
  std::string status(Now now) const;

 private:
  enum class Phase {
    kLearner,        // not a voter
    kQueryingPeers,  // a voter without a usable folder: asks the others which identity it had
    kConfirming,     // a voter with an intact folder: asks the others whether it is out of date
    kVoting,
    kFailed,  // a disk operation failed: takes no part as a voter until the folder is read again
  };
  struct PeerInfo {  // what the latest frame of another relay said
    int64_t at = -1;
    uint64_t identity = 0;
    uint64_t generation = 0;
    bool has_reported = false;  // it has sent its record of this relay's identity and writes
    uint64_t reported_identity = 0;
    uint64_t reported_writes = 0;
  };
  struct HeartbeatRecord {
    int64_t at = 0;
    pb::Member member;
    uint64_t map_index = 0;
    uint64_t version = 0;
    bool diverged = false;
  };
  struct LeaseGrant {
    int64_t at = 0;
    uint64_t map_index = 0;
  };
  struct ClockOffset {  // bounds of a voter's wall clock minus this relay's steady clock
    int64_t low = 0, high = 0, at = 0;
  };
  struct PendingCommand {
    pb::Command command;
    ReplyCallback reply;
    int64_t deadline = 0;
    int64_t last_attempt = 0;
    bool proposed = false;  // handed to this relay's own log
    uint64_t index = 0;     // applied at this command index; reported once the own state has reached it
  };
  struct ReceivedReport {
    pb::Seen seen;
    int64_t at = 0;
  };
  void merge_report(const pb::Seen& seen, const std::string& by, bool by_owner);

  void open_folder();
  void suspend_voter();
  bool is_voter() const { return is_voter_; }
  std::string voter_name(uint64_t identity) const;
  const Voter* find_voter(const std::string& name) const;
  void fill_header(pb::Frame& frame, const std::string& to) const;
  void send(const std::string& to, pb::Frame frame);
  void send_heartbeat();
  void handle(const pb::Beat& heartbeat, const pb::Frame& frame);
  void handle(const pb::BeatAnswer& answer, const pb::Frame& frame);
  void handle(const pb::Propose& propose, const pb::Frame& frame);
  void update_peer_info(const pb::Frame& frame, PeerInfo& peer_info);
  void abandon_generation(uint64_t generation);
  void rejoin_as_newcomer(uint64_t generation);
  void try_join();
  void try_confirm_folder();
  void start_raft(bool bootstrap);
  void apply(const std::string& bytes);
  pb::State state_from_folder() const;
  bool is_silent(const std::string& name) const;
  void record_digest();
  void save_learner_snapshot();
  void compare_digest(const std::string& from, uint64_t index, uint64_t digest);
  freeze::TimeBounds time_bounds() const;
  int64_t quorum_contact_time() const;  // a majority answered heartbeats sent at or after this time
  bool may_grant_leases() const;
  void run_leader_duties();
  void update_members();
  void advance_map();
  void advance_version();
  bool adopted_by_all() const;
  void submit_command(pb::Command command, ReplyCallback done);
  void try_command(uint64_t number);
  void propose_command(pb::Command command, ReplyCallback done);
  void process_pending_commands();
  CommandResult restore_from_folder();
  std::string raft_leader_name() const;

  NodeOptions options_;
  state::Files& files_;
  std::mt19937_64 random_;
  SendCallback send_;
  LogCallback log_;
  Now now_;
  bool is_voter_ = false;
  Phase phase_ = Phase::kLearner;
  std::unique_ptr<Storage> storage_;
  std::unique_ptr<RaftServer> raft_;
  StateMachine machine_;
  CommandResult last_result_;
  int64_t opened_at_ = 0;
  int64_t failed_at_ = 0;
  uint64_t highest_seen_generation_ = 0;  // the highest in any frame
  std::map<std::string, PeerInfo> peers_;
  std::map<std::string, HeartbeatRecord> heartbeats_;
  std::map<uint64_t, int64_t> heartbeat_sent_at_;  // by heartbeat number
  uint64_t heartbeat_number_ = 0;
  int64_t next_heartbeat_at_ = 0;
  uint64_t boot_id_ = 0;
  bool leaving_ = false;
  uint64_t running_version_ = 0;
  std::map<std::string, ClockOffset> clock_offsets_;
  std::map<std::string, int64_t>
      acknowledged_sent_at_;  // by voter: send time of the latest heartbeat that it answered in this term
  std::deque<std::pair<uint64_t, std::string>>
      recent_commands_;                                // by index; sent to learners that lag behind
  std::deque<std::pair<uint64_t, uint64_t>> digests_;  // by index
  std::map<std::string, std::pair<uint64_t, bool>>
      digest_mismatches_;  // by voter: index, and whether it differs
  bool diverged_ = false;
  int64_t lease_until_ = 0;
  int64_t leader_contact_at_ = -1;  // when this relay last held all that a leader had committed
  std::string leader_name_;
  mutable std::shared_ptr<const pb::Map> view_map_, view_proposed_;  // cached for view()
  mutable std::pair<uint64_t, uint64_t> view_map_of_{0, 0};  // generation and map_index of the cached maps
  int64_t learner_saved_at_ = 0;
  uint64_t learner_saved_index_ = 0;
  uint64_t learner_saved_generation_ = 0;
  std::vector<HealthReport> own_reports_;
  std::map<int64_t, ReceivedReport> received_reports_;
  // Only while this relay leads:
  bool leading_ = false;
  uint64_t leader_term_ = 0;
  bool lead_command_pending_ = false;
  int64_t leading_since_ = 0;
  std::map<std::string, LeaseGrant> lease_grants_;
  std::set<std::string> pending_duties_;  // own proposals without a result so far
  std::map<uint64_t, PendingCommand> pending_commands_;
  uint64_t last_command_number_ = 0;
};

}  // namespace umberhoist::reg

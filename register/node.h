// What one relay does of the fleet's agreement: frames and time in, frames out. A voter runs the replicated
// log; every other relay keeps a copy, which it asks the voters for with its beats. All that is timed is
// timed here, by the caller's clocks; there are no sockets, threads or sleeps in it.
//
// Leases: whoever owns keys may act for them only while its lease lasts, which the leader grants in answer to
// a beat and which runs from when the beat was *sent*, on the owner's own steady clock. The leader commits a
// map only once every member has said that it keeps to it, or its lease has run out whatever it may still
// hear. A new leader waits out whatever the one before may have granted.
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
  int64_t steady_us = 0;  // runs on while the machine sleeps; never goes back
  int64_t wall_us = 0;    // of UTC; may do anything
};

struct Voter {
  std::string name;
  uint32_t slot = 0;
};

struct NodeOptions {
  std::string name;
  uint32_t slot = 0;  // 1 to 65535, unlike any other's
  std::string zone;
  double weight = 1;
  std::vector<Voter> voters;  // three or five; this relay may be among them
  StateMachineRules rules;
  RaftOptions raft;
  int64_t relay_heartbeat_ms = 300;
  int64_t lease_ms = 2000;
  int64_t member_timeout_ms = 3000;  // silent for so long, a member is lost
  int64_t confirm_timeout_ms =
      10'000;  // a voter's folder waits so long for the word of all other voters, then for one's
  int64_t bootstrap_delay_ms = 3000;  // the first map waits so long for members
  int64_t propose_timeout_ms = 5000;  // a change that no leader took on by then is told as not made
  int64_t clock_slack_us = 10'000;    // what a wall clock may be off beyond what its peers see
};

// One destination as a relay sees it, for those who come back and know nothing, and for those who leave its
// scouts to its owner. Times are steady microseconds of the relay that reads it.
struct HealthReport {
  int64_t destination = 0;
  int64_t outage_start = 0;      // 0: no outage
  int64_t recovery_start = 0;    // 0: still out
  double baseline_rate = 0;      // calls a second that its relay was served before
  bool recently_served = false;  // a call was served there a moment ago
  bool can_send_trial = false;   // it is out, and this relay holds something to scout with
  bool from_owner = false;       // told by whoever owns it
};

enum class Ownership {
  kUncoordinated,  // nothing is heard of the register: as without it
  kOwner,          // acts for the key, now
  kOther,          // another relay does, or is about to
};

// What a relay may rest its acting on, to be looked at at the moment of acting, by any thread.
struct OwnershipView {
  std::string self;
  std::shared_ptr<const pb::Map> map, proposed;  // of one index
  int64_t lease_until = 0;
  int64_t confirmed_until = 0;  // steady microseconds; past it nothing is known to be so still
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

  Node(NodeOptions options, state::Files& files, uint64_t seed, Now now, SendCallback send, LogCallback say);
  ~Node();

  void receive(const pb::Frame& frame, Now now);
  void tick(Now now);  // often against beat_ms
  // An operator's question, or a change. `done` is called once, at once or within propose_ms.
  void handle_request(const pb::Ask& ask, Now now, ReplyCallback done);
  // What all relays are to run, by a digest of its text: taken up by the register, or refused.
  void propose_version(const std::string& text, Now now, ReplyCallback done);
  void set_running_version(uint64_t number) { version_ = number; }  // told by the daemon
  void report_health(std::vector<HealthReport> sights) { own_sights_ = std::move(sights); }
  void set_leaving() { leaving_ = true; }

  OwnershipView view() const;
  Ownership ownership(shards::Key key, int64_t steady_us) const { return view().ownership(key, steady_us); }
  const StateMachine& state_machine() const { return machine_; }
  // The version to run: one that is on its way, or the last that all reached. Number 0: none.
  const pb::Version& version() const;
  std::vector<HealthReport> health_reports(
      int64_t steady_us) const;  // what others told, freshest for each destination
  // What the machine holds was told by a leader's word lately.
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
    kCopy,        // no voter
    kAsking,      // a voter with nothing that it may trust: who was it?
    kConfirming,  // a voter with a folder that is whole: is it the newest?
    kVoting,
    kBroken,  // its disk did not do what it was told: silent as a voter until it is read again
  };
  struct Heard {  // of another relay
    int64_t at = -1;
    uint64_t identity = 0;
    uint64_t generation = 0;
    bool remembers = false;  // it said what it remembers of this relay
    uint64_t remembers_as = 0;
    uint64_t remembered = 0;
  };
  struct Beaten {
    int64_t at = 0;
    pb::Member member;
    uint64_t map_index = 0;
    uint64_t version = 0;
    bool diverged = false;
  };
  struct Grant {
    int64_t at = 0;
    uint64_t map_index = 0;
  };
  struct Clock {  // a voter's wall clock against this one's steady clock
    int64_t low = 0, high = 0, at = 0;
  };
  struct Pending {
    pb::Command command;
    ReplyCallback done;
    int64_t until = 0;
    int64_t tried = 0;
    bool out = false;    // with this relay's own log
    uint64_t index = 0;  // made, as this command: told once this relay's own state shows it
  };
  struct Told {
    pb::Seen seen;
    int64_t at = 0;
  };
  void hear(const pb::Seen& seen, const std::string& by, bool by_owner);

  void open();
  void break_off();
  bool self_votes() const { return self_votes_; }
  std::string voter_of(uint64_t identity) const;
  const Voter* voter(const std::string& name) const;
  void fill(pb::Frame& frame, const std::string& to) const;
  void send(const std::string& to, pb::Frame frame);
  void beat();
  void take(const pb::Beat& beat, const pb::Frame& frame);
  void take(const pb::BeatAnswer& answer, const pb::Frame& frame);
  void take(const pb::Propose& propose, const pb::Frame& frame);
  void remembered_by(const pb::Frame& frame, Heard& heard);
  void fence(uint64_t generation);
  void begin_anew(uint64_t generation);
  void try_begin();
  void try_confirm();
  void start_raft(bool bootstrap);
  void apply(const std::string& bytes);
  pb::State folder_state() const;
  bool silent(const std::string& name) const;
  void note_digest();
  void keep_copy();
  void compare(const std::string& voter, uint64_t index, uint64_t digest);
  freeze::TimeBounds bounds() const;
  int64_t quorum_heard() const;  // a majority answered beats of this term that were sent no earlier
  bool may_grant() const;
  void duties();
  void watch_members();
  void watch_map();
  void watch_version();
  bool kept_by_all() const;
  void submit(pb::Command command, ReplyCallback done);
  void attempt(uint64_t number);
  void log_command(pb::Command command, ReplyCallback done);
  void expire();
  CommandResult restore();
  std::string name_of_leader() const;

  NodeOptions options_;
  state::Files& files_;
  std::mt19937_64 random_;
  SendCallback send_;
  LogCallback say_;
  Now now_;
  bool self_votes_ = false;
  Phase phase_ = Phase::kCopy;
  std::unique_ptr<Storage> storage_;
  std::unique_ptr<RaftServer> raft_;
  StateMachine machine_;
  CommandResult last_result_;
  int64_t opened_at_ = 0;
  int64_t broken_at_ = 0;
  uint64_t seen_generation_ = 0;  // the highest that anybody spoke of
  std::map<std::string, Heard> heard_;
  std::map<std::string, Beaten> beats_;
  std::map<uint64_t, int64_t> sent_;  // beats by number
  uint64_t beat_number_ = 0;
  int64_t next_beat_ = 0;
  uint64_t boot_ = 0;
  bool leaving_ = false;
  uint64_t version_ = 0;
  std::map<std::string, Clock> clocks_;
  std::map<std::string, int64_t>
      echoes_;  // by voter: when the last beat was sent that it answered in this term
  std::deque<std::pair<uint64_t, std::string>> recent_;       // commands that copies may lack
  std::deque<std::pair<uint64_t, uint64_t>> digests_;         // by index
  std::map<std::string, std::pair<uint64_t, bool>> differs_;  // by voter: index, and whether it differs
  bool diverged_ = false;
  int64_t lease_until_ = 0;
  int64_t lead_heard_ = -1;  // when this relay last surely held all that a leader had agreed on
  std::string lead_;
  mutable std::shared_ptr<const pb::Map> map_, proposed_;  // of the machine's map_index, for views
  mutable std::pair<uint64_t, uint64_t> map_of_{0, 0};     // generation and map_index that they are of
  int64_t copy_kept_at_ = 0;
  uint64_t copy_kept_index_ = 0;
  uint64_t copy_kept_generation_ = 0;
  std::vector<HealthReport> own_sights_;
  std::map<int64_t, Told> told_;
  // While it leads:
  bool leading_ = false;
  uint64_t lead_term_ = 0;
  bool lead_asked_ = false;
  int64_t leading_since_ = 0;
  std::map<std::string, Grant> grants_;
  std::set<std::string> duties_out_;  // proposals of its own that have no answer yet
  std::map<uint64_t, Pending> pending_;
  uint64_t last_pending_ = 0;
};

}  // namespace umberhoist::reg

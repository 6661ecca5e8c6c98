// One server of the consensus library, with our storage, our frames, our clock and our random numbers beneath
// it. The library is asked for nothing else: whole fleets of these run on made-up time.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "register/register.pb.h"
#include "register/storage.h"

namespace umberhoist::reg {

constexpr uint16_t kCommandEntryType = 1;  // the library's type of an entry that holds a command

struct RaftOptions {
  unsigned election_timeout_ms =
      1000;  // without a word from the leader for one to two of these, another is elected
  unsigned heartbeat_interval_ms = 200;
  unsigned snapshot_interval = 256;  // commands
  unsigned trailing_entries = 64;    // commands that are kept behind a snapshot, for those who lag a little
  uint64_t seed = 1;
};

class RaftServer {
 public:
  struct Hooks {
    std::function<void(register_pb::RaftMessage)> send;
    std::function<void(const std::string& command)> apply;  // in order, once each while this server runs
    std::function<std::string()> snapshot;
    std::function<void(const std::string& state)> restore;
  };
  struct Server {
    uint64_t identity = 0;
    bool voter = false;
  };
  // Called once: 0 and applied, or a code of the library: nothing is known of what becomes of it.
  using CompletionCallback = std::function<void(int status)>;

  RaftServer(Storage& storage, const RaftOptions& options, Hooks hooks, int64_t now_ms);
  ~RaftServer();
  RaftServer(const RaftServer&) = delete;
  RaftServer& operator=(const RaftServer&) = delete;

  // As a snapshot holds them.
  static std::string encode_configuration(const std::vector<uint64_t>& voters);

  // Of a new fleet: to be called before start. Not for a newcomer.
  bool bootstrap(const std::vector<uint64_t>& voters);
  bool start();

  void tick(int64_t now_ms);
  void receive(const register_pb::RaftMessage& message, int64_t now_ms);
  void propose(const std::string& command, CompletionCallback done);

  bool is_leader() const;
  uint64_t leader_identity() const;  // identity; 0: none is known
  uint64_t term() const;
  std::vector<Server> servers() const;
  bool is_changing_servers() const;  // a change of servers is on its way
  // One step towards: `identity` votes, and no other identity of its slot is among the servers.
  void reconcile_voter(uint64_t identity);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace umberhoist::reg

// One server of the C Raft library (raft.h). Storage, transport, clock and random numbers are supplied by the
// caller, so that tests can run a whole fleet on simulated time.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "register/register.pb.h"
#include "register/storage.h"

namespace umberhoist::reg {

constexpr uint16_t kCommandEntryType = 1;  // the library's type of entries that hold a command

struct RaftOptions {
  unsigned election_timeout_ms =
      1000;  // an election starts after one to two of these without a message from the leader
  unsigned heartbeat_interval_ms = 200;
  unsigned snapshot_interval = 256;  // commands
  unsigned trailing_entries = 64;    // commands kept before a snapshot, for followers that lag a little
  uint64_t seed = 1;
};

class RaftServer {
 public:
  struct Hooks {
    std::function<void(register_pb::RaftMessage)> send;
    std::function<void(const std::string& command)>
        apply;  // in log order, once per command while this server runs
    std::function<std::string()> snapshot;
    std::function<void(const std::string& state)> restore;
  };
  struct Server {
    uint64_t identity = 0;
    bool voter = false;
  };
  // Called once. 0: applied. Otherwise an error code of the library; the command may still be committed
  // later.
  using CompletionCallback = std::function<void(int status)>;

  RaftServer(Storage& storage, const RaftOptions& options, Hooks hooks, int64_t now_ms);
  ~RaftServer();
  RaftServer(const RaftServer&) = delete;
  RaftServer& operator=(const RaftServer&) = delete;

  // Configuration with these voters, in the encoding of StoredSnapshot::configuration.
  static std::string encode_configuration(const std::vector<uint64_t>& voters);

  // Writes the initial configuration of a new fleet. Call before start(); not for a newcomer.
  bool bootstrap(const std::vector<uint64_t>& voters);
  bool start();

  void tick(int64_t now_ms);
  void receive(const register_pb::RaftMessage& message, int64_t now_ms);
  void propose(const std::string& command, CompletionCallback done);

  bool is_leader() const;
  uint64_t leader_identity() const;  // 0: unknown
  uint64_t term() const;
  std::vector<Server> servers() const;
  bool is_changing_servers() const;  // a configuration change is in progress
  // Starts the next configuration change towards: `identity` is a voter and no other identity of its slot is
  // in the configuration. No effect unless this server leads and no change is in progress.
  void reconcile_voter(uint64_t identity);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace umberhoist::reg

// The relay: the only owner of the decision module. Collects what happens, lets the module decide once a turn
// of the event loop, and carries its decisions out.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/room.h"
#include "clients.h"
#include "config.h"
#include "directory.h"
#include "discovery.h"
#include "fleet_side.h"
#include "state/journal.h"
#include "upstream.h"

namespace firspool::relay {

class Relay {
 public:
  // Reads the journal, hears discovery if it answers, then opens the listener and says so. Throws
  // std::exception where it cannot serve. `files`: in place of the folder that the configuration names.
  // `fleet`: none, and the relay is by itself.
  Relay(boost::asio::io_context& io, const Config& config,
        std::function<void(const tcp::endpoint&)> listening,
        std::unique_ptr<umberhoist::state::Files> files = nullptr,
        std::unique_ptr<umberhoist::fleet::Fleet> fleet = nullptr);

  // Takes the new configuration's discovery over; the rest of it holds from the next start on. In a fleet it
  // is first proposed to all, who run it, or none does; `told` says what came of it.
  void reload(const Config& config, std::function<void(const std::string& line)> told);

  // Planned end: serves a little longer, lets calls finish, and stops the event loop.
  void stop();

 private:
  struct Held {
    Submission handed;
    Time due = 0;
    int attempts = 0;
    bool accepted = false;  // its record is written
    uint64_t safe_at = 0;   // the journal's position that its acceptance, and its last attempt, are safe at
    int recorded = -1;      // the last attempt with a record
  };
  template <class Value>
  struct Unsafe {  // waits until the journal is durable up to its position
    uint64_t position = 0;
    Value value;
  };
  struct Pending {  // handed in during this turn, not yet decided on
    uint64_t number = 0;
    ClientServer::ReplyCallback answer;
  };

  void take_over(const Config& config);
  bool take_over_version(const std::string& text);
  void recall();
  void open();
  void resume();
  void remember(const DestinationState& memory);
  void remember_host(const ListedHost& host);
  void forget_gone(const Endpoint& endpoint);
  int class_of(const std::string& name) const;
  int tenant_of(const std::string& name) const;
  std::string busy(size_t bytes);
  void put(Submission handed, ClientServer::ReplyCallback answer);
  void told(const HostList& list);
  Upstream::StartDecision may_start(const Call& call);
  bool may_probe(const Endpoint& endpoint);
  void ended(const AttemptEnded& end, bool began);
  void back(const Endpoint& endpoint);
  void happened(Event event);
  void step();
  void answer_pending(const std::vector<Action>& actions);
  void carry_out(const Action& action);
  void finish(uint64_t number, std::optional<Notice> notice);
  void record_notices();
  void send_notices();
  void answer_taken(uint64_t position, ClientServer::ReplyCallback answer);
  void sync();
  void synced(const umberhoist::state::Journal::SyncRequest& sync, bool good);
  void arm();
  void wait_for_end();
  std::pair<int, Endpoint> lane_of(const Member& member) const;

  boost::asio::io_context& io_;
  Config config_;
  Directory directory_;
  std::unique_ptr<umberhoist::state::Files> files_;
  umberhoist::state::Journal journal_;
  Policy policy_;
  std::vector<Event> events_;
  std::vector<Pending> pending_;
  bool step_posted_ = false;
  uint64_t last_number_ = 0;
  std::unordered_map<uint64_t, Held> held_;
  std::unordered_map<std::string, uint64_t> numbers_;
  umberhoist::admission::CapacityForecast room_;
  Time first_end_ = 0;                              // of those held, as it was
  Time first_end_at_ = 0;                           // at this time
  std::map<std::pair<int, Endpoint>, Time> waits_;  // told waits: until when nothing goes there
  std::map<Endpoint, int> out_;                     // calls and probes out
  Time wake_ = 0;                                   // when the module wants to be asked again; 0: never
  Time armed_ = 0;                                  // and for when the timer is set
  boost::asio::steady_timer wake_timer_;
  boost::asio::steady_timer stop_timer_;
  Time stopping_since_ = 0;        // 0: not stopping
  bool closed_ = false;            // clients were let go
  std::deque<Notice> unrecorded_;  // not sent: they could not be written yet
  boost::asio::steady_timer record_timer_;
  std::deque<Unsafe<ClientServer::ReplyCallback>> unanswered_;
  std::deque<Unsafe<Notice>> unsent_;
  bool sync_failed_ = false;  // and is tried again soon
  bool sync_told_ = false;    // in the log, once for each time that the disk fails
  boost::asio::steady_timer sync_timer_;
  NoticeSender notices_;
  Upstream upstream_;
  DiscoveryWatch watch_;
  std::function<void(const tcp::endpoint&)> listening_;
  boost::asio::steady_timer open_timer_;
  std::optional<ClientServer> clients_;  // once what was taken on before is resumed
  std::optional<FleetAdapter> fleet_;
  std::optional<boost::asio::thread_pool>
      syncer_;  // with group durability; the last to come, the first to go
};

}  // namespace firspool::relay

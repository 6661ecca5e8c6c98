// The relay: the only owner of the decision module. Collects what happens, lets the module decide once a turn
// of the event loop, and carries its decisions out.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "clients.h"
#include "config.h"
#include "directory.h"
#include "discovery.h"
#include "state/journal.h"
#include "upstream.h"

namespace firspool::relay {

class Relay {
 public:
  // Reads the journal, hears discovery if it answers, then opens the listener and says so. Throws
  // std::exception where it cannot serve.
  Relay(boost::asio::io_context& io, const Config& config,
        std::function<void(const tcp::endpoint&)> listening);

  // Takes the new configuration's discovery over; the rest of it holds from the next start on.
  void reload(const Config& config);

  // Planned end: serves a little longer, lets calls finish, and stops the event loop.
  void stop();

 private:
  struct Held {
    Handed handed;
    Time due = 0;
    int attempts = 0;
    bool accepted = false;  // its record is written
  };
  struct Pending {  // handed in during this turn, not yet decided on
    uint64_t number = 0;
    Clients::Answer answer;
  };

  void recall();
  void open();
  void resume();
  void remember(const DestinationMemory& memory);
  void remember_host(const ListedHost& host);
  void forget_gone(const Endpoint& endpoint);
  int class_of(const std::string& name) const;
  int tenant_of(const std::string& name) const;
  void put(Handed handed, Clients::Answer answer);
  void told(const HostList& list);
  bool may_start(const Call& call);
  void ended(const AttemptEnded& end, bool began);
  void back(const Endpoint& endpoint);
  void happened(Event event);
  void step();
  void answer_pending(const std::vector<Action>& actions);
  void carry_out(const Action& action);
  void finish(uint64_t number, std::optional<Notice> notice);
  void record_notices();
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
  Notices notices_;
  Upstream upstream_;
  Watch watch_;
  std::function<void(const tcp::endpoint&)> listening_;
  boost::asio::steady_timer open_timer_;
  std::optional<Clients> clients_;  // once what was taken on before is resumed
};

}  // namespace firspool::relay

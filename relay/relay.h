// The relay: the only owner of the decision module. Collects events, lets the module decide once per turn of
// the event loop, and executes the resulting actions.
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
#include <unordered_set>
#include <vector>

#include "admission/room.h"
#include "clients.h"
#include "config.h"
#include "directory.h"
#include "discovery.h"
#include "finished_records.h"
#include "fleet_side.h"
#include "resources/memory_account.h"
#include "state/journal.h"
#include "upstream.h"

namespace firspool::relay {

class Relay {
 public:
  // Reads the journal, waits a short time for a host list from discovery, then opens the listener and calls
  // `on_listening`. Throws std::exception if it cannot start. `files` replaces the folder that the
  // configuration names. `fleet` may be null: the relay then works alone.
  Relay(boost::asio::io_context& io, const Config& config,
        std::function<void(const tcp::endpoint&)> on_listening,
        std::unique_ptr<umberhoist::state::Files> files = nullptr,
        std::unique_ptr<umberhoist::fleet::Fleet> fleet = nullptr);

  // Applies the discovery address of a new configuration; its other settings take effect at the next start.
  // In a fleet the configuration is first proposed to all relays, which all apply it or none does. `on_done`
  // gets the result as a log line.
  void reload(const Config& config, std::function<void(const std::string& line)> on_done);

  // Graceful shutdown: accepts requests a little longer, lets calls finish, and stops the event loop.
  void stop();

 private:
  struct OpenMessage {
    Submission submission;
    Time due = 0;
    int attempts = 0;
    bool accepted = false;  // its journal record is written
    // Journal position up to which its acceptance and its last attempt have to be durable.
    uint64_t durable_position = 0;
    size_t memory_bytes = 0;  // as in the memory account
    // The submission's body, once the message is accepted; its calls share it.
    std::shared_ptr<const std::string> body;
    int recorded_attempt = -1;  // the last attempt with a journal record; -1: none
  };
  template <class Value>
  struct AwaitingSync {  // a value to use once the journal is durable up to `position`
    uint64_t position = 0;
    Value value;
  };
  struct PendingSubmission {  // submitted in this turn of the event loop, not decided on yet
    uint64_t number = 0;
    ClientServer::ReplyCallback reply;
  };

  void apply_config(const Config& config);
  bool apply_version(const std::string& text);
  void load_metadata();
  void restore_host_list(const HostList& list, int64_t saved_revision);
  void open_listener();
  void resume_messages();
  void restore_endpoint_states(const std::map<std::string, std::string>& metadata);
  void save_destination_state(const DestinationState& state);
  bool apply_host_list(const HostList& list);
  bool save_host(const ListedHost& host);
  void save_all_hosts();
  void report_cold_destinations();
  void release_removed_host(const Endpoint& endpoint);
  int class_of(const std::string& name) const;
  int tenant_of(const std::string& name) const;
  std::string busy_reply(size_t bytes);
  void submit(Submission submission, ClientServer::ReplyCallback reply);
  void check_size_of(const HostList& list);
  std::vector<int> forgettable_destinations(const HostList& list) const;
  void forget_unused_destinations();
  void on_host_list(const HostList& list);
  Upstream::StartDecision may_start(const Call& call);
  bool may_probe(const Endpoint& endpoint);
  void on_attempt_ended(const AttemptEnded& end, bool started);
  void on_call_returned(const Endpoint& endpoint);
  void post_event(Event event);
  void hold_body(OpenMessage& message);
  void watch_memory();
  void step();
  void reply_to_pending(const std::vector<Action>& actions);
  void execute(const Action& action);
  void end_message(uint64_t number, std::optional<Notice> notice);
  void end_provisionally(uint64_t number);
  void on_reply_confirmed(const std::string& id);
  void on_reply_doubtful(const std::string& id);
  void on_surplus_retry_after(const Endpoint& endpoint, Time retry_after);
  Upstream::ReplyCallbacks reply_callbacks();
  void forget_message(uint64_t number);
  bool may_repeat(const Submission& submission) const;
  void remember_finished(const OpenMessage& message, FinishedAs how);
  void record_notices();
  void send_notices();
  void reply_accepted(uint64_t position, ClientServer::ReplyCallback reply);
  void sync();
  void on_synced(const umberhoist::state::Journal::SyncRequest& sync, bool ok);
  void set_wake_timer();
  void poll_shutdown();
  std::pair<int, Endpoint> route_of(const Member& member) const;

  boost::asio::io_context& io_;
  Config config_;
  Directory directory_;
  // Up to these revisions, all changes of the host list are applied, and are in the journal.
  int64_t applied_revision_ = 0;
  int64_t saved_revision_ = 0;
  bool list_refused_ = false;  // the last one from discovery did not fit into the memory, and the log says so
  bool hosts_saved_ = true;    // the journal holds all hosts of directory_, or will once writes succeed
  std::unique_ptr<umberhoist::state::Files> files_;
  umberhoist::resources::MemoryPlan memory_plan_;
  umberhoist::resources::MemoryAccount memory_;
  boost::asio::steady_timer memory_timer_;
  size_t free_heap_after_trim_ = 0;  // or less, if it shrank since
  umberhoist::state::Journal journal_;
  Policy policy_;
  std::vector<Event> events_;
  std::vector<PendingSubmission> pending_submissions_;
  bool step_posted_ = false;
  uint64_t last_number_ = 0;
  std::unordered_map<uint64_t, OpenMessage> open_messages_;
  std::unordered_map<std::string, uint64_t> numbers_by_id_;
  umberhoist::admission::CapacityForecast capacity_forecast_;
  // The earliest due time of the open messages, as of first_due_updated_at_.
  Time first_due_ = 0;
  Time first_due_updated_at_ = 0;
  std::map<std::pair<int, Endpoint>, Time> route_retry_at_;  // until when Retry-After forbids calls
  std::map<Endpoint, int> in_flight_;                        // calls and probes in flight
  Time wake_at_ = 0;        // when the module asked to be called again; 0: never
  Time timer_set_for_ = 0;  // expiry of wake_timer_; 0: not set
  boost::asio::steady_timer wake_timer_;
  boost::asio::steady_timer stop_timer_;
  Time stopping_since_ = 0;                // 0: not stopping
  bool clients_shut_down_ = false;         // client connections are being closed
  std::deque<Notice> unrecorded_notices_;  // not sent yet, as their journal records could not be written
  boost::asio::steady_timer notice_record_timer_;
  FinishedRecords finished_;
  std::unordered_set<std::string> noticed_at_once_;  // ended provisionally with a notice, no verdict yet
  std::deque<AwaitingSync<ClientServer::ReplyCallback>> unsynced_replies_;
  std::deque<AwaitingSync<Notice>> unsynced_notices_;
  bool sync_failed_ = false;          // and is retried after kDiskRetryDelay
  bool sync_failure_logged_ = false;  // logged once for each series of failures
  boost::asio::steady_timer sync_timer_;
  NoticeSender notice_sender_;
  Upstream upstream_;
  DiscoveryWatch watch_;
  std::function<void(const tcp::endpoint&)> on_listening_;
  boost::asio::steady_timer open_timer_;
  std::optional<ClientServer> client_server_;  // created once the messages of the last run are resumed
  std::optional<FleetAdapter> fleet_;
  // Only with group durability. Last member, so that it is destroyed first.
  std::optional<boost::asio::thread_pool> sync_thread_;
};

}  // namespace firspool::relay

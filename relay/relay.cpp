#include "relay.h"

#include <malloc.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cstdio>
#include <limits>
#include <nlohmann/json.hpp>

#include "log_line.h"

namespace firspool::relay {
namespace {

// Names of the journal's metadata.
const std::string kHostPrefix = "host ";
const std::string kDestinationPrefix = "destination ";
const std::string kEndpointPrefix = "endpoint ";  // state of an independent endpoint, by its host's id
const std::string kRemovedPrefix = "gone ";
const std::string kRevisionKey = "revision";             // of the newest list of which anything is saved
const std::string kSavedRevisionKey = "revision_saved";  // of the newest list that is saved as a whole
const std::string kDestinationsKey = "destinations";

const std::string kAcceptedReply = "+OK";
const std::string kFailedReply = "-ERR failed";

constexpr Time kMillisecond = 1000;
constexpr Time kShutdownGracePeriod = 500 * kMillisecond;  // after SIGTERM new connections may still arrive
constexpr Time kShutdownTimeout = 3500 * kMillisecond;     // the earliest SIGKILL is 3.7 s after SIGTERM
constexpr Time kShutdownPollInterval = 50 * kMillisecond;
constexpr Time kDiskRetryDelay = 20 * kMillisecond;  // after a failed write or sync
constexpr Time kMinBusyDelay = 100 * kMillisecond;   // sent with -BUSY where there is no capacity
constexpr Time kMaxBusyDelay = 2000 * kMillisecond;
// Age of first_due_ at which it is computed again, so that a flood of refused submissions does not search all
// open messages each time.
constexpr Time kFirstDueMaxAge = 100 * kMillisecond;
constexpr size_t kCompactBytesPerStep = 32 * 1024;        // limit of compaction in one step
constexpr Time kInitialListTimeout = 300 * kMillisecond;  // discovery replies at once unless it is down
constexpr Time kLifetimeTolerance = 100 * kMillisecond;   // clients round the lifetimes they send
constexpr Time kTransitTime =
    2 * kMillisecond;  // from the client: a message's lifetime starts when it is sent

// The descriptors of the process are shared by the process itself, clients, and calls with their idle
// connections. Calls get what they need. Clients get half, because they need a third for requests. Idle
// connections get the rest. Reserved: standard streams, event loop, signals, listener, two journal files,
// watches, notices.
constexpr size_t kReservedDescriptors = 24;
constexpr size_t kMaxProbes = 8;

// Part of the folder that the ids of unsafe messages that ended may take.
constexpr size_t kFinishedDiskDivisor = 10;

size_t max_calls(const Config& config) {
  const size_t half = (config.max_sockets - kReservedDescriptors) / 2;
  return std::min(half, static_cast<size_t>(config.settings.slots) + kMaxProbes);
}

size_t max_client_connections(const Config& config) {
  return std::min(config.max_sockets / 2, config.max_sockets - kReservedDescriptors - max_calls(config));
}

umberhoist::resources::MemoryPlan plan_of(const Config& config) {
  return umberhoist::resources::plan_memory(
      {config.max_memory_bytes, config.max_disk_bytes, max_client_connections(config), max_calls(config)});
}

// A folder that an earlier process left larger than planned is not cut: what it holds is still owed.
size_t journal_bytes(const Config& config, size_t planned, umberhoist::state::Files& files) {
  size_t used = 0;
  for (const std::string& name : files.list()) {
    const int file = files.open(name);
    if (file < 0) continue;
    used += umberhoist::state::block_rounded(static_cast<size_t>(std::max<ssize_t>(0, files.size(file))));
    files.close(file);
  }
  return used <= planned ? planned : config.max_disk_bytes;
}

// Heap that one open message takes beside its body, ids and key: its entries in the tables of the relay, the
// module and the journal.
constexpr size_t kMessageBytes = 1536;
constexpr size_t kNoticeBytes = 512;  // the journal's entry and the queue's
constexpr size_t kHostBytes = 1536;
constexpr size_t kRemovedHostBytes = 512;
constexpr size_t kDestinationBytes = 1024;
// Part of the memory for hosts that destinations without any may take.
constexpr size_t kUnusedDestinationsDivisor = 8;

size_t memory_of(const Submission& submission) {
  return kMessageBytes + submission.body.size() + 4 * submission.id.size() + submission.key.size();
}

size_t memory_of(const DirectorySize& size) {
  return size.hosts * kHostBytes + size.removed * kRemovedHostBytes + size.destinations * kDestinationBytes;
}

constexpr Time kMemoryInterval = 250 * kMillisecond;
// Free heap is given back to the system above this part of what may be held.
constexpr size_t kMaxFreeHeapDivisor = 8;

Upstream::Limits upstream_limits(const Config& config, const umberhoist::resources::MemoryPlan& plan) {
  Upstream::Limits out;
  out.send_buffer_bytes = plan.call_send_buffer;
  out.receive_buffer_bytes = plan.call_receive_buffer;
  out.connect_timeout = config.settings.connect_timeout;
  out.idle_timeout = config.settings.conn_idle_timeout;
  out.max_connections = config.max_sockets - kReservedDescriptors - max_client_connections(config);
  return out;
}

std::chrono::steady_clock::time_point at_time(Time t) {
  return std::chrono::steady_clock::time_point(std::chrono::microseconds(t));
}

// A point in time on another clock; 0 stands for none.
Time shifted(Time t, Time offset) { return t == 0 ? 0 : t + offset; }

nlohmann::json to_json(const DestinationState& state, Time wall_offset) {
  return {{"tokens", state.retry_tokens},
          {"out_since", shifted(state.outage_start, wall_offset)},
          {"back_since", shifted(state.recovery_start, wall_offset)},
          {"base", state.baseline_rate},
          {"pace", state.pacing_rate},
          {"failing_since", shifted(state.failing_since, wall_offset)}};
}

DestinationState destination_state_of(const nlohmann::json& saved, int destination, Time steady_offset) {
  DestinationState out;
  out.destination = destination;
  out.retry_tokens = saved.at("tokens").get<int>();
  out.outage_start = shifted(saved.at("out_since").get<Time>(), steady_offset);
  out.recovery_start = shifted(saved.at("back_since").get<Time>(), steady_offset);
  out.baseline_rate = saved.at("base").get<double>();
  out.pacing_rate = saved.value("pace", 0.0);
  out.failing_since = shifted(saved.value("failing_since", Time{0}), steady_offset);
  return out;
}

}  // namespace

Relay::Relay(boost::asio::io_context& io, const Config& config,
             std::function<void(const tcp::endpoint&)> on_listening,
             std::unique_ptr<umberhoist::state::Files> files, std::unique_ptr<umberhoist::fleet::Fleet> fleet)
    : io_(io),
      config_(config),
      files_(files ? std::move(files) : umberhoist::state::make_posix_files(config.state_folder)),
      memory_plan_(plan_of(config)),
      memory_(memory_plan_),
      memory_timer_(io),
      journal_(*files_, {journal_bytes(config, memory_plan_.journal, *files_), config.name,
                         config.settings.max_attempts, 0, config.durability}),
      policy_(config.settings, config.seed),
      capacity_forecast_(kMinBusyDelay,
                         config.settings.max_retry_after > 0
                             ? std::clamp(config.settings.max_retry_after, kMinBusyDelay, kMaxBusyDelay)
                             : kMaxBusyDelay),
      wake_timer_(io),
      stop_timer_(io),
      notice_record_timer_(io),
      finished_(journal_, {memory_plan_.finished_messages, memory_plan_.journal / kFinishedDiskDivisor}),
      sync_timer_(io),
      notice_sender_(io, config.discovery, [this](const std::string& id) { finished_.record_done(id); }),
      upstream_(
          io, upstream_limits(config, memory_plan_), config.report_fields,
          [this](const Call& call) { return may_start(call); },
          [this](const Endpoint& endpoint) { return may_probe(endpoint); },
          [this](const AttemptEnded& end, bool started) { on_attempt_ended(end, started); },
          [this](const ProbeEnded& end) {
            post_event(end);
            on_call_returned(end.endpoint);
          },
          reply_callbacks()),
      watch_(
          io, config.discovery, config.list_names, [this] { return applied_revision_; },
          [this](const HostList& list) {
            check_size_of(list);
            on_host_list(list);
            forget_unused_destinations();
          },
          [this] { open_listener(); },
          {{config.settings.list_requires_watch ? config.settings.list_request_interval : 0,
            config.settings.relays},
           config.seed},
          memory_plan_.host_list_text, !config.known_hosts.hosts.empty()),
      on_listening_(std::move(on_listening)),
      open_timer_(io) {
  if (config.durability == umberhoist::state::Durability::kGroupCommit) sync_thread_.emplace(1);
  if (fleet) {
    FleetAdapter::Hooks hooks;
    hooks.post_event = [this](Event event) { post_event(std::move(event)); };
    hooks.known_destinations = [this] { return directory_.destinations(); };
    hooks.open_destinations = [this] {
      std::vector<int> out;
      for (const auto& [number, message] : open_messages_) out.push_back(message.submission.destination);
      return out;
    };
    hooks.apply_version = [this](const std::string& text) { return apply_version(text); };
    fleet_.emplace(io_, std::move(fleet), config_.settings, config_.seed, std::move(hooks));
  }
  load_metadata();
  on_host_list(config_.known_hosts);
  watch_memory();
  watch_.start();
  open_timer_.expires_after(std::chrono::microseconds(kInitialListTimeout));
  open_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) open_listener();
  });
}

// Restores what the previous process knew of hosts and destinations. The configuration's host list may be
// older: relying on it, the relay would send to hosts that are draining.
void Relay::load_metadata() {
  const auto metadata = journal_.metadata();
  HostList list;
  list.revision = -1;
  list.complete = true;
  std::optional<int64_t> saved_revision;  // none: the journal of an earlier version
  std::vector<DestinationState> states;
  const Time offset = steady_now() - wall_now();
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [name, value] : metadata) {
    const nlohmann::json saved = nlohmann::json::parse(value);
    if (name == kRevisionKey) list.revision = saved.get<int64_t>();
    if (name == kSavedRevisionKey) saved_revision = saved.get<int64_t>();
    if (name.starts_with(kRemovedPrefix))
      directory_.add_removed(name.substr(kRemovedPrefix.size()), saved.get<Time>());
    if (name == kDestinationsKey) {
      for (const int destination : saved.get<std::vector<int>>()) directory_.add_destination(destination);
    }
    if (name.starts_with(kHostPrefix)) members.push_back(saved);
    if (name.starts_with(kDestinationPrefix)) {
      const int destination = std::stoi(name.substr(kDestinationPrefix.size()));
      states.push_back(destination_state_of(saved, destination, offset));
    }
  }
  list.hosts =
      parse_list({{"revision", list.revision}, {"complete", true}, {"members", members}}, config_.list_names)
          .hosts;
  if (saved_revision || !list.hosts.empty()) restore_host_list(list, saved_revision.value_or(list.revision));
  for (const DestinationState& state : states) post_event(state);
  restore_endpoint_states(metadata);
  finished_.restore(metadata, steady_now());
}

// `saved_revision`: all changes up to it are in `list`. If records of the journal are lost, hosts may be
// missing, so that the whole list is requested again.
void Relay::restore_host_list(const HostList& list, int64_t saved_revision) {
  apply_host_list(list);
  if (!journal_.recovery_report().log_lines.empty()) return;
  saved_revision_ = saved_revision;
  applied_revision_ = saved_revision;
  directory_.set_complete_at(saved_revision, wall_now());
}

// Endpoints have new handles in each process: their states are saved by the ids of their hosts.
void Relay::restore_endpoint_states(const std::map<std::string, std::string>& metadata) {
  const Time offset = steady_now() - wall_now();
  for (const auto& [name, value] : metadata) {
    if (!name.starts_with(kEndpointPrefix)) continue;
    const ListedHost* host = directory_.find_by_id(name.substr(kEndpointPrefix.size()));
    if (host == nullptr) continue;
    DestinationState state =
        destination_state_of(nlohmann::json::parse(value), host->member.destination, offset);
    state.endpoint = host->member.endpoint;
    post_event(state);
  }
}

void Relay::save_destination_state(const DestinationState& state) {
  const std::string saved = to_json(state, wall_now() - steady_now()).dump();
  if (state.endpoint == Endpoint{}) {
    journal_.put_metadata(kDestinationPrefix + std::to_string(state.destination), saved);
    return;
  }
  const ListedHost* host = directory_.find(state.endpoint);
  if (host == nullptr || host->member.state == HostState::kRemoved) return;
  const bool healthy = state.outage_start == 0 && state.failing_since == 0 && state.pacing_rate <= 0;
  journal_.put_metadata(kEndpointPrefix + host->id, healthy ? "" : saved);
}

int Relay::class_of(const std::string& name) const {
  const auto& classes = config_.settings.classes;
  const auto it = std::find_if(classes.begin(), classes.end(), [&](const auto& c) { return c.name == name; });
  return it == classes.end() ? -1 : static_cast<int>(it - classes.begin());
}

// -1: no tenant of that name is configured, so there is no quota for it.
int Relay::tenant_of(const std::string& name) const {
  const auto& tenants = config_.settings.tenants;
  const auto it = std::find_if(tenants.begin(), tenants.end(), [&](const auto& t) { return t.name == name; });
  return it == tenants.end() ? -1 : static_cast<int>(it - tenants.begin());
}

// Accepts and resumes messages only now that discovery has sent what it has or did not reply in time.
void Relay::open_listener() {
  if (client_server_ || stopping_since_ != 0) return;
  resume_messages();
  const ClientServer::Limits limits = {max_client_connections(config_), memory_plan_.unpooled_input,
                                       memory_plan_.client_socket_buffer};
  client_server_.emplace(io_, config_.listen, limits, memory_,
                         [this](Submission submission, ClientServer::ReplyCallback reply) {
                           submit(std::move(submission), std::move(reply));
                         });
  on_listening_(client_server_->address());
  for (const std::string& line : journal_.recovery_report().log_lines)
    std::fprintf(stderr, "journal: %s\n", line.c_str());
}

// Hands the messages of the last run to the module, which decides on them like on any other.
void Relay::resume_messages() {
  const Time now = steady_now();
  const Time wall = wall_now();
  journal_.recover([&](umberhoist::state::RecoveredMessage recovered) {
    if (recovered.pending_notice) {
      if (!recovered.pending_notice->returned) {
        OpenMessage ended;
        ended.submission = std::move(recovered.message);
        ended.attempts = recovered.attempts;
        ended.accepted = true;
        remember_finished(ended, FinishedAs::kFailed);
      }
      notice_sender_.add(*recovered.pending_notice);
      return;
    }
    const uint64_t number = ++last_number_;
    OpenMessage& message = open_messages_[number];
    message.attempts = recovered.attempts;
    message.accepted = true;
    message.submission = std::move(recovered.message);
    hold_body(message);
    numbers_by_id_[message.submission.id] = number;
    Arrival arrival;
    arrival.id = number;
    arrival.message_class = class_of(message.submission.message_class);
    // The settings no longer have its class, so its effect and windows are unknown.
    if (arrival.message_class < 0) {
      end_message(number, Notice{message.submission.id, recovered.maybe_executed.empty(), 0});
      return;
    }
    // If the wall clock was stepped back meanwhile, the remaining lifetime is limited to what the class
    // allows.
    const Time max_lifetime = config_.settings.classes[static_cast<size_t>(arrival.message_class)].give_up;
    message.due = now + std::min(recovered.due - wall, max_lifetime);
    arrival.due = message.due;
    arrival.tenant = tenant_of(message.submission.tenant);
    arrival.destination = message.submission.destination;
    arrival.attempts = recovered.attempts;
    if (!recovered.maybe_executed.empty()) {
      const auto& [sent, zone] = recovered.maybe_executed.begin()->second;
      arrival.maybe_executed = true;
      arrival.maybe_executed_sent = now + (sent - wall);
      // Likewise, the age of an attempt dated in the future is unknown, so no idempotency window may count on
      // it.
      if (sent > wall) arrival.maybe_executed_sent = std::numeric_limits<Time>::min() / 2;
      arrival.maybe_executed_zone = zone;
    }
    fleet_ ? fleet_->add_recovered(arrival) : post_event(arrival);
  });
  if (fleet_) fleet_->start_recovery(now);
}

// Reply to a submission for which there is no capacity, with an estimate of when there will be. Not a
// decision of the module.
std::string Relay::busy_reply(size_t bytes) {
  const Time now = steady_now();
  if (first_due_updated_at_ == 0 || now - first_due_updated_at_ > kFirstDueMaxAge) {
    first_due_ = std::numeric_limits<Time>::max();
    for (const auto& [number, message] : open_messages_) first_due_ = std::min(first_due_, message.due);
    first_due_updated_at_ = now;
  }
  return "-BUSY " +
         std::to_string((capacity_forecast_.time_until_available(now, bytes, first_due_) + kMillisecond - 1) /
                        kMillisecond);
}

void Relay::submit(Submission submission, ClientServer::ReplyCallback reply) {
  // A repeated submission gets the same reply as the first one.
  if (const auto number = numbers_by_id_.find(submission.id); number != numbers_by_id_.end()) {
    const OpenMessage& message = open_messages_.at(number->second);
    if (message.accepted) return reply_accepted(message.durable_position, std::move(reply));
    pending_submissions_.push_back({number->second, std::move(reply)});
    return;
  }
  finished_.save_later();
  if (const auto finished = finished_.find(submission.id)) {
    return reply(*finished == FinishedAs::kDelivered ? kAcceptedReply : kFailedReply);
  }
  const int message_class = class_of(submission.message_class);
  if (message_class < 0) return reply("-ERR unknown class");
  const ClassSettings& settings = config_.settings.classes[message_class];
  if (settings.effect == Effect::kKeyed && submission.key.empty()) return reply("-ERR no idempotency key");
  if (submission.lifetime > settings.give_up + kLifetimeTolerance) return reply("-ERR d is too long");
  if (!config_.settings.tenants.empty() && tenant_of(submission.tenant) < 0)
    return reply("-ERR unknown tenant");
  if (!directory_.is_known(submission.destination)) return reply("-ERR unknown destination");
  const bool has_room = open_messages_.size() < static_cast<size_t>(config_.settings.max_open) &&
                        (settings.effect != Effect::kUnsafe || finished_.has_room_to_save(steady_now()));
  if (!has_room) return reply(busy_reply(submission.body.size()));
  const size_t memory_bytes = memory_of(submission);
  if (!memory_.try_reserve(umberhoist::resources::MemoryUse::kMessages, memory_bytes))
    return reply(busy_reply(submission.body.size()));
  const uint64_t number = ++last_number_;
  Arrival arrival;
  arrival.id = number;
  arrival.message_class = message_class;
  arrival.due = steady_now() + submission.lifetime - std::min(kTransitTime, submission.lifetime);
  arrival.destination = submission.destination;
  arrival.tenant = tenant_of(submission.tenant);
  numbers_by_id_[submission.id] = number;
  OpenMessage& message = open_messages_[number];
  message.submission = std::move(submission);
  message.due = arrival.due;
  message.memory_bytes = memory_bytes;
  pending_submissions_.push_back({number, std::move(reply)});
  post_event(arrival);
}

// Throws std::length_error if the list would take more memory than there is for hosts, and more than what is
// held: a configuration or a folder may hold more, and a list that takes no more is applied. The former one
// stays. Destinations that can be forgotten do not count.
void Relay::check_size_of(const HostList& list) {
  DirectorySize size = directory_.size_after(list);
  const size_t limit = std::max(memory_plan_.host_list, memory_of(directory_.size()));
  if (memory_of(size) > limit) size.destinations -= forgettable_destinations(list).size();
  const bool fits = memory_of(size) <= limit;
  if (fits) {
    list_refused_ = false;
    return;
  }
  if (!std::exchange(list_refused_, true)) {
    std::fprintf(
        stderr,
        "host list %lld refused: %zu hosts, %zu removed ones and %zu destinations take %zu bytes of %zu\n",
        static_cast<long long>(list.revision), size.hosts, size.removed, size.destinations, memory_of(size),
        memory_plan_.host_list);
  }
  throw std::length_error("the host list does not fit into the memory");
}

// Destinations without a host and an open message once `list` is applied. Those that have had no host for
// longest come first.
std::vector<int> Relay::forgettable_destinations(const HostList& list) const {
  std::set<int> used;
  for (const auto& [number, message] : open_messages_) used.insert(message.submission.destination);
  std::vector<int> out = directory_.unused_destinations_after(list);
  std::erase_if(out, [&](int destination) { return used.contains(destination); });
  return out;
}

// Without this, memory would grow with each new destination: hosts may move to ever new ones. Half of those
// that may be kept stay, so that it is not due again with the next list; fewer if the hosts leave no room.
void Relay::forget_unused_destinations() {
  const size_t most = memory_plan_.host_list / kUnusedDestinationsDivisor / kDestinationBytes;
  const size_t held = memory_of(directory_.size());
  const size_t excess_bytes = held - std::min(held, memory_plan_.host_list);
  if (excess_bytes == 0 && directory_.unused_destinations_after({}).size() <= most) return;
  std::vector<int> forgotten = forgettable_destinations({});
  size_t count = (excess_bytes + kDestinationBytes - 1) / kDestinationBytes;
  if (forgotten.size() > most) count = std::max(count, forgotten.size() - most / 2);
  if (count == 0 || forgotten.empty()) return;
  forgotten.resize(std::min(count, forgotten.size()));
  for (const int destination : forgotten) {
    directory_.forget_destination(destination);
    journal_.put_metadata(kDestinationPrefix + std::to_string(destination), "");
  }
  journal_.put_metadata(kDestinationsKey, nlohmann::json(directory_.destinations()).dump());
  std::fprintf(stderr, "forgot %zu destinations that have had no host for longest; %zu are known\n",
               forgotten.size(), directory_.size().destinations);
  post_event(DestinationsForgotten{std::move(forgotten)});
}

void Relay::on_host_list(const HostList& list) {
  const bool saved = apply_host_list(list);
  // An older whole list leaves the hosts that it does not contain as they are.
  const bool applied = !list.complete || list.revision >= directory_.revision();
  if (applied) applied_revision_ = std::max(applied_revision_, list.revision);
  if (saved && journal_.has_no_backlog()) saved_revision_ = applied_revision_;
  journal_.put_metadata(kSavedRevisionKey, std::to_string(saved_revision_));
}

// Returns false if the journal does not hold all known hosts. The revision is saved ahead of the hosts, so
// that an older list reverts none of them if the process is killed in between.
bool Relay::apply_host_list(const HostList& list) {
  const Time wall = wall_now();
  const size_t destinations = directory_.size().destinations;
  auto change = directory_.apply(list, wall);
  journal_.put_metadata(kRevisionKey, std::to_string(directory_.revision()));
  for (const std::string& id : directory_.prune_removed(wall)) journal_.put_metadata(kRemovedPrefix + id, "");
  if (change) {
    const auto members = change->members;
    post_event(std::move(*change));
    report_cold_destinations();
    for (const Member& member : *members) {
      if (const ListedHost* host = directory_.find(member.endpoint)) hosts_saved_ &= save_host(*host);
      release_removed_host(member.endpoint);
    }
    if (directory_.size().destinations != destinations) {
      journal_.put_metadata(kDestinationsKey, nlohmann::json(directory_.destinations()).dump());
    }
    std::erase_if(route_retry_at_, [now = steady_now()](const auto& wait) { return wait.second <= now; });
  }
  if (!hosts_saved_) save_all_hosts();
  return hosts_saved_;
}

// Returns false if the host's record is missing in the journal.
bool Relay::save_host(const ListedHost& host) {
  if (directory_.is_superseded(host)) return true;
  const bool removed = host.member.state == HostState::kRemoved;
  const bool saved = journal_.put_metadata(kHostPrefix + host.id, removed ? "" : host.json_text);
  if (removed) journal_.put_metadata(kEndpointPrefix + host.id, "");
  const auto removal = directory_.removed().find(host.id);
  const bool keep_removal = removed && removal != directory_.removed().end();
  journal_.put_metadata(kRemovedPrefix + host.id, keep_removal ? std::to_string(removal->second) : "");
  return saved;
}

void Relay::save_all_hosts() {
  hosts_saved_ = true;
  for (const auto& [endpoint, host] : directory_.hosts()) hosts_saved_ &= save_host(host);
}

// The list says when hosts were started anew. A destination of which all were was out and is cold, also for a
// relay that saw no call fail there and has not been served since.
void Relay::report_cold_destinations() {
  const Time wall = wall_now();
  const Time warm_up = config_.settings.slow_start;
  for (const auto& [destination, started] : directory_.take_cold_destinations(wall, warm_up)) {
    PeerHealthReport report;
    report.destination = destination;
    report.outage_start = steady_now() - std::clamp<Time>(wall - started, 0, warm_up);
    post_event(report);
  }
}

// Closes the idle connections to a removed host, since a new machine with the same address must not get calls
// on them. The host is erased once its last call has ended.
void Relay::release_removed_host(const Endpoint& endpoint) {
  const ListedHost* host = directory_.find(endpoint);
  if (host == nullptr || host->member.state != HostState::kRemoved) return;
  upstream_.close_idle(endpoint);
  if (!in_flight_.contains(endpoint)) directory_.erase(endpoint);
}

void Relay::on_call_returned(const Endpoint& endpoint) {
  const auto calls = in_flight_.find(endpoint);
  if (calls == in_flight_.end() || --calls->second > 0) return;
  in_flight_.erase(calls);
  release_removed_host(endpoint);
}

void Relay::reload(const Config& config, std::function<void(const std::string&)> on_done) {
  if (!fleet_) {
    apply_config(config);
    return on_done("configuration reloaded");
  }
  // The relay's own settings are applied together with the fleet's decision on the common ones, which are
  // rejected inside a freeze window.
  fleet_->propose(config.common_settings, [this, config, on_done](bool done, const std::string& why) {
    if (done) {
      apply_config(config);
      // Later versions of the common settings keep this relay's own ones.
      config_.source_text = config.source_text;
    }
    on_done(done ? "configuration reloaded and accepted by the fleet"
                 : "configuration stays as it was: " + why);
  });
}

bool Relay::apply_version(const std::string& text) {
  try {
    apply_config(with_common_settings(config_, text));
    return true;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "configuration version of the fleet rejected: %s\n", error.what());
    return false;
  }
}

void Relay::apply_config(const Config& config) {
  config_.discovery = config.discovery;
  watch_.set_address(config.discovery);
  notice_sender_.set_address(config.discovery);
}

std::pair<int, Endpoint> Relay::route_of(const Member& member) const {
  const auto& kinds = config_.settings.kinds;
  const bool independent =
      member.kind < static_cast<int>(kinds.size()) && kinds[member.kind].independent_endpoints;
  return {member.destination, independent ? member.endpoint : Endpoint{}};
}

// Last check before the first byte of a call. While its connection was set up the host may have started to
// drain, another call may have received a Retry-After for the route, or the message may have ended.
Upstream::StartDecision Relay::may_start(const Call& call) {
  using StartDecision = Upstream::StartDecision;
  const auto it = open_messages_.find(call.id);
  const ListedHost* host = directory_.find(call.endpoint);
  if (it == open_messages_.end() || !directory_.is_active(call.endpoint)) return StartDecision::kNo;
  if (steady_now() > call.start_by) return StartDecision::kNo;
  const auto wait = route_retry_at_.find(route_of(host->member));
  if (wait != route_retry_at_.end() && wait->second > steady_now()) return StartDecision::kNo;
  OpenMessage& message = it->second;
  if (message.recorded_attempt != call.attempt) {
    if (!journal_.record_attempt(message.submission.id, call.attempt, wall_now(), host->member.zone))
      return StartDecision::kNo;
    message.recorded_attempt = call.attempt;
    message.durable_position = journal_.written_position();
  }
  if (journal_.is_durable(message.durable_position)) return StartDecision::kYes;
  sync();
  return StartDecision::kLater;
}

// The same for a probe, which counts as a call.
bool Relay::may_probe(const Endpoint& endpoint) {
  const ListedHost* host = directory_.find(endpoint);
  if (host == nullptr || !directory_.is_active(endpoint)) return false;
  const auto wait = route_retry_at_.find(route_of(host->member));
  return wait == route_retry_at_.end() || wait->second <= steady_now();
}

void Relay::on_attempt_ended(const AttemptEnded& end, bool started) {
  const bool not_executed =
      !end.reply_unverified && (end.outcome == Outcome::kRefused || end.outcome == Outcome::kConnectFailed ||
                                end.outcome == Outcome::kNotStarted);
  const auto message = open_messages_.find(end.id);
  const ListedHost* host = directory_.find(end.endpoint);
  if (end.retry_after > 0 && host != nullptr) {
    Time& until = route_retry_at_[route_of(host->member)];
    until = std::max(until, steady_now() + end.retry_after);
  }
  if (fleet_ && host != nullptr)
    fleet_->on_attempt_ended(host->member.destination, end.outcome, steady_now());
  if (message != open_messages_.end()) {
    if (end.final) {
      end.reply_unverified ? end_provisionally(end.id) : end_message(end.id, {});
    } else if (not_executed && (started || message->second.recorded_attempt == end.attempt)) {
      journal_.record_not_executed(message->second.submission.id, end.attempt);
    }
  }
  post_event(end);
  on_call_returned(end.endpoint);
}

void Relay::post_event(Event event) {
  events_.push_back(std::move(event));
  if (step_posted_) return;
  step_posted_ = true;
  boost::asio::post(io_, [this] { step(); });
}

void Relay::step() {
  step_posted_ = false;
  std::vector<Event> events;
  events.swap(events_);
  std::vector<Action> actions;
  policy_.step(steady_now(), events, actions);
  reply_to_pending(actions);
  for (const Action& action : actions) execute(action);
  finished_.save_later();
  finished_.prune(steady_now());
  journal_.compact(kCompactBytesPerStep);
  sync();
  set_wake_timer();
}

// Replies to the submissions of this turn. A message is accepted once its journal record is written; only
// then may its client get +OK and only then may it be sent.
void Relay::reply_to_pending(const std::vector<Action>& actions) {
  std::map<uint64_t, std::string> rejections;
  if (!pending_submissions_.empty()) {
    for (const Action& action : actions) {
      if (const auto* refuse = std::get_if<Refuse>(&action)) {
        const Time ms = (refuse->retry_after + kMillisecond - 1) / kMillisecond;
        rejections[refuse->id] = ms > 0 ? "-BUSY " + std::to_string(ms) : "-BUSY";
      } else if (const auto* fail = std::get_if<Fail>(&action)) {
        rejections[fail->id] = kFailedReply;
      }
    }
  }
  std::vector<PendingSubmission> pending;
  pending.swap(pending_submissions_);
  std::map<uint64_t, std::string> replies;  // shared by all submissions of the same message
  for (const PendingSubmission& item : pending) {
    const auto [line, is_new] = replies.try_emplace(item.number, kAcceptedReply);
    const auto message = open_messages_.find(item.number);
    if (is_new && message != open_messages_.end()) {
      const Submission& submission = message->second.submission;
      if (const auto rejection = rejections.find(item.number); rejection != rejections.end()) {
        line->second = rejection->second;
      } else if (journal_.record_accepted(submission, wall_now() + message->second.due - steady_now())) {
        message->second.accepted = true;
        hold_body(message->second);
        message->second.durable_position = journal_.written_position();
      } else {
        line->second = busy_reply(submission.body.size());  // no space in the journal
        post_event(Withdrawn{item.number});
      }
      if (!message->second.accepted) {
        memory_.release(umberhoist::resources::MemoryUse::kMessages, message->second.memory_bytes);
        numbers_by_id_.erase(submission.id);
        open_messages_.erase(message);
      }
    }
    if (line->second == kAcceptedReply && message != open_messages_.end()) {
      reply_accepted(message->second.durable_position, item.reply);
    } else {
      item.reply(line->second);
    }
  }
}

void Relay::reply_accepted(uint64_t position, ClientServer::ReplyCallback reply) {
  if (journal_.is_durable(position)) return reply(kAcceptedReply);
  unsynced_replies_.push_back({position, std::move(reply)});
}

// Group commit: one sync covers all records written meanwhile. Without group durability nothing waits for a
// sync, as records only have to survive the end of the process.
void Relay::sync() {
  if (!sync_thread_ || !journal_.needs_sync() || sync_failed_) return;
  boost::asio::post(*sync_thread_, [this, sync = journal_.begin_sync()] {
    const bool ok = umberhoist::state::Journal::execute_sync(*files_, sync);
    boost::asio::post(io_, [this, sync, ok] { on_synced(sync, ok); });
  });
}

void Relay::on_synced(const umberhoist::state::Journal::SyncRequest& sync, bool ok) {
  journal_.end_sync(sync, ok);
  // Without covers_everything there is no space to rewrite the records of an earlier failed sync.
  if (!ok || !sync.covers_everything) {
    if (!ok && !std::exchange(sync_failure_logged_, true)) {
      std::fprintf(stderr,
                   "journal: disk sync failed: no +OK, call or notice is sent until a retry succeeds\n");
    }
    sync_failed_ = true;
    sync_timer_.expires_after(std::chrono::microseconds(kDiskRetryDelay));
    sync_timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) return;
      sync_failed_ = false;
      this->sync();
    });
    return;
  }
  if (std::exchange(sync_failure_logged_, false))
    std::fprintf(stderr, "journal: disk sync succeeded after failures\n");
  while (!unsynced_replies_.empty() && journal_.is_durable(unsynced_replies_.front().position)) {
    unsynced_replies_.front().value(kAcceptedReply);
    unsynced_replies_.pop_front();
  }
  send_notices();
  upstream_.retry_deferred();
  this->sync();
}

void Relay::execute(const Action& action) {
  if (const auto* send = std::get_if<Send>(&action)) {
    const auto message = open_messages_.find(send->id);
    const ListedHost* host = directory_.find(send->endpoint);
    if (message == open_messages_.end() || host == nullptr) {
      AttemptEnded not_started;
      not_started.id = send->id;
      not_started.endpoint = send->endpoint;
      not_started.outcome = Outcome::kNotStarted;
      // Ended earlier in this turn, as the journal had no space for it.
      not_started.final = message == open_messages_.end();
      if (!not_started.final) not_started.attempt = message->second.attempts++;
      return post_event(std::move(not_started));
    }
    Call call;
    call.id = send->id;
    call.endpoint = send->endpoint;
    call.attempt = message->second.attempts++;
    call.address = host->address;
    call.call_id = message->second.submission.id;
    call.key = message->second.submission.key;
    call.body = message->second.body;
    call.timeout = send->timeout;
    call.start_by = send->start_by;
    call.message_due = message->second.due;
    call.may_repeat = may_repeat(message->second.submission);
    ++in_flight_[call.endpoint];
    upstream_.call(std::move(call));
  } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
    const auto message = open_messages_.find(refuse->id);
    if (message != open_messages_.end())
      end_message(refuse->id, Notice{message->second.submission.id, true, refuse->retry_after});
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    const auto message = open_messages_.find(fail->id);
    if (message != open_messages_.end())
      end_message(fail->id, Notice{message->second.submission.id, false, 0});
  } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
    upstream_.cancel(cancel->id, cancel->attempt);
  } else if (const auto* probe = std::get_if<Probe>(&action)) {
    const ListedHost* host = directory_.find(probe->endpoint);
    if (host == nullptr) return post_event(ProbeEnded{probe->endpoint, false, 0, {}});
    ++in_flight_[probe->endpoint];
    upstream_.probe(probe->endpoint, host->address);
  } else if (const auto* close = std::get_if<CloseIdleConnections>(&action)) {
    upstream_.close_idle(close->endpoint);
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    wake_at_ = timer->at;  // only the latest one counts: each step that needs a timer sets it again
  } else if (const auto* state = std::get_if<SaveDestinationState>(&action)) {
    save_destination_state(state->state);
    if (fleet_ && state->state.endpoint == Endpoint{}) fleet_->on_destination_state(state->state);
  } else if (const auto* log = std::get_if<Log>(&action)) {
    umberhoist::write_timed_line(log->text);
  }
}

// The journal has its own copy by now, so that calls can share this one.
void Relay::hold_body(OpenMessage& message) {
  if (message.memory_bytes == 0) {  // recovered: it is owed, whatever there is room for
    message.memory_bytes = memory_of(message.submission);
    memory_.add(umberhoist::resources::MemoryUse::kMessages, message.memory_bytes);
  }
  message.body = std::make_shared<const std::string>(std::move(message.submission.body));
  message.submission.body.clear();
}

// Compares what is held with the limit, and gives free heap back to the system.
void Relay::watch_memory() {
  using umberhoist::resources::MemoryUse;
  memory_.set(MemoryUse::kCalls, upstream_.in_flight() * umberhoist::resources::kCallBytes);
  memory_.set(MemoryUse::kFinishedMessages, finished_.memory_bytes());
  memory_.set(MemoryUse::kHostList, memory_of(directory_.size()));
  const size_t ending = journal_.live_messages() - std::min(journal_.live_messages(), open_messages_.size());
  memory_.set(MemoryUse::kNotices, ending * kNoticeBytes);
  const auto heap = ::mallinfo2();
  memory_.set_measured(heap.uordblks + heap.hblkhd);
  free_heap_after_trim_ = std::min<size_t>(free_heap_after_trim_, heap.fordblks);
  if (heap.fordblks > free_heap_after_trim_ + memory_plan_.heap / kMaxFreeHeapDivisor) {
    ::malloc_trim(0);
    free_heap_after_trim_ = heap.fordblks;
  }
  if (const auto line = memory_.take_state_change(steady_now())) std::fprintf(stderr, "%s\n", line->c_str());
  memory_timer_.expires_after(std::chrono::microseconds(kMemoryInterval));
  memory_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) watch_memory();
  });
}

// Ends a message. With a notice, the notice is recorded first and then sent.
void Relay::end_message(uint64_t number, std::optional<Notice> notice) {
  const auto message = open_messages_.find(number);
  if (fleet_) fleet_->on_message_ended(number);
  if (!notice || !notice->returned)
    remember_finished(message->second, notice ? FinishedAs::kFailed : FinishedAs::kDelivered);
  if (notice) {
    unrecorded_notices_.push_back(std::move(*notice));
    record_notices();
  } else {
    finished_.record_done(message->second.submission.id);
  }
  forget_message(number);
}

void Relay::forget_message(uint64_t number) {
  const auto message = open_messages_.find(number);
  capacity_forecast_.record_release(steady_now(), message->second.body->size());
  memory_.release(umberhoist::resources::MemoryUse::kMessages, message->second.memory_bytes);
  numbers_by_id_.erase(message->second.submission.id);
  open_messages_.erase(message);
}

// Ends a message by a reply that may belong to an earlier call. A notice that it failed is recorded, so that
// a restart sends it, but it is sent only if the reply turns out to be in doubt; `on_confirmed` withdraws it.
// If it cannot be recorded, it is sent as soon as it can. A notice for a message that was delivered after all
// does no harm.
void Relay::end_provisionally(uint64_t number) {
  const OpenMessage& message = open_messages_.at(number);
  const Notice notice{message.submission.id, false, 0};
  remember_finished(message, FinishedAs::kDelivered);
  if (!journal_.record_notice(notice)) {
    noticed_at_once_.insert(notice.id);
    return end_message(number, notice);
  }
  if (fleet_) fleet_->on_message_ended(number);
  forget_message(number);
}

void Relay::on_reply_confirmed(const std::string& id) {
  if (noticed_at_once_.erase(id) == 0) finished_.record_done(id);
}

void Relay::on_reply_doubtful(const std::string& id) {
  if (noticed_at_once_.erase(id) > 0) return;
  unsynced_notices_.push_back({journal_.written_position(), Notice{id, false, 0}});
  send_notices();
  sync();
}

void Relay::on_surplus_retry_after(const Endpoint& endpoint, Time retry_after) {
  if (const ListedHost* host = directory_.find(endpoint)) {
    Time& until = route_retry_at_[route_of(host->member)];
    until = std::max(until, steady_now() + retry_after);
  }
  post_event(RetryAfterReceived{endpoint, retry_after});
}

Upstream::ReplyCallbacks Relay::reply_callbacks() {
  Upstream::ReplyCallbacks out;
  out.on_confirmed = [this](const std::string& id) { on_reply_confirmed(id); };
  out.on_doubtful = [this](const std::string& id) { on_reply_doubtful(id); };
  out.on_retry_after = [this](const Endpoint& endpoint, Time retry_after) {
    on_surplus_retry_after(endpoint, retry_after);
  };
  return out;
}

bool Relay::may_repeat(const Submission& submission) const {
  const int message_class = class_of(submission.message_class);
  return message_class >= 0 &&
         config_.settings.classes[static_cast<size_t>(message_class)].effect != Effect::kUnsafe;
}

// An unsafe message that may have been executed must not be sent again, even after a restart.
void Relay::remember_finished(const OpenMessage& message, FinishedAs how) {
  if (!message.accepted) return;
  const bool unsafe = message.attempts > 0 && !may_repeat(message.submission);
  finished_.add(message.submission.id, how, unsafe, steady_now());
}

void Relay::send_notices() {
  while (!unsynced_notices_.empty() && journal_.is_durable(unsynced_notices_.front().position)) {
    notice_sender_.add(std::move(unsynced_notices_.front().value));
    unsynced_notices_.pop_front();
  }
}

// A notice is sent only after it is recorded: on receiving it the client may submit the message again, and a
// restart must not send the message that the notice ended.
void Relay::record_notices() {
  while (!unrecorded_notices_.empty() && journal_.record_notice(unrecorded_notices_.front())) {
    unsynced_notices_.push_back({journal_.written_position(), std::move(unrecorded_notices_.front())});
    unrecorded_notices_.pop_front();
  }
  send_notices();
  if (unrecorded_notices_.empty()) return;
  notice_record_timer_.expires_after(std::chrono::microseconds(kDiskRetryDelay));
  notice_record_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) record_notices();
  });
}

void Relay::set_wake_timer() {
  if (wake_at_ == timer_set_for_) return;
  timer_set_for_ = wake_at_;
  if (timer_set_for_ == 0) return;
  wake_timer_.expires_at(at_time(timer_set_for_));
  wake_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    timer_set_for_ = 0;
    post_event(TimerFired{static_cast<uint64_t>(std::exchange(wake_at_, 0))});
  });
}

void Relay::stop() {
  if (stopping_since_ != 0) return;
  stopping_since_ = steady_now();
  if (fleet_) fleet_->announce_shutdown();
  post_event(ShutdownScheduled{stopping_since_ + kShutdownTimeout});
  poll_shutdown();
}

void Relay::poll_shutdown() {
  const Time age = steady_now() - stopping_since_;
  if (age >= kShutdownGracePeriod && !clients_shut_down_) {
    clients_shut_down_ = true;
    if (client_server_) client_server_->shut_down();
  }
  if (clients_shut_down_ && open_messages_.empty()) upstream_.end_unverified();
  const bool idle = open_messages_.empty() && !upstream_.has_unverified() && notice_sender_.empty() &&
                    unrecorded_notices_.empty() && unsynced_notices_.empty() && unsynced_replies_.empty() &&
                    (!client_server_ || client_server_->all_closed());
  if (age >= kShutdownTimeout || (clients_shut_down_ && idle)) {
    upstream_.log_summary();
    return io_.stop();
  }
  stop_timer_.expires_after(std::chrono::microseconds(kShutdownPollInterval));
  stop_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) poll_shutdown();
  });
}

}  // namespace firspool::relay

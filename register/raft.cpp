#include "register/raft.h"

#include <cstring>
#include <deque>
#include <random>

extern "C" {
#include <raft.h>
}

namespace umberhoist::reg {
namespace {

namespace pb = register_pb;

void* copy(const void* from, size_t size) {
  void* out = raft_malloc(size == 0 ? 1 : size);
  if (out == nullptr) throw std::bad_alloc();
  if (size > 0) std::memcpy(out, from, size);
  return out;
}

std::string encode(const raft_configuration& configuration) {
  pb::RaftMessage out;  // one entry per server: index holds the id, type the role
  for (unsigned i = 0; i < configuration.n; ++i) {
    pb::LogEntry* server = out.add_entry();
    server->set_index(configuration.servers[i].id);
    server->set_type(static_cast<uint32_t>(configuration.servers[i].role));
  }
  return out.SerializeAsString();
}

bool decode(const std::string& bytes, raft_configuration& out) {
  raft_configuration_init(&out);
  pb::RaftMessage list;
  if (!list.ParseFromString(bytes)) return false;
  for (const pb::LogEntry& server : list.entry()) {
    if (raft_configuration_add(&out, server.index(), std::to_string(server.index()).c_str(),
                               static_cast<int>(server.type())) != 0) {
      raft_configuration_close(&out);
      return false;
    }
  }
  return true;
}

// Allocates all payloads as one batch, which the library frees once none of its entries is in use.
template <class Entries, class Get>
raft_entry* make_raft_entries(const Entries& from, Get get) {
  if (from.empty()) return nullptr;
  size_t bytes = 0;
  for (const auto& entry : from) bytes += entry.data_size;
  char* batch = static_cast<char*>(raft_malloc(bytes + 1));
  auto* out = static_cast<raft_entry*>(raft_calloc(from.size(), sizeof(raft_entry)));
  if (batch == nullptr || out == nullptr) throw std::bad_alloc();
  size_t at = 0;
  for (size_t i = 0; i < from.size(); ++i) {
    get(i, out[i]);
    out[i].batch = batch;
    out[i].buf.base = batch + at;
    out[i].buf.len = from[i].data_size;
    std::memcpy(batch + at, from[i].data, from[i].data_size);
    at += from[i].data_size;
  }
  return out;
}

struct EntryData {
  const char* data;
  size_t data_size;
};

}  // namespace

struct RaftServer::Impl {
  Storage& storage;
  RaftOptions options;
  Hooks hooks;
  int64_t now_ms;
  std::mt19937_64 random;
  raft_io io{};
  raft_fsm fsm{};
  ::raft raft{};
  raft_io_tick_cb on_tick = nullptr;
  raft_io_recv_cb on_receive = nullptr;
  std::deque<std::function<void()>>
      deferred;  // callbacks may run only after the call that requested them has returned
  bool running = false;
  bool started = false;
  bool closed = false;
  bool draining = false;
  raft_change change{};
  bool change_in_progress = false;

  Impl(Storage& s, const RaftOptions& o, Hooks h, int64_t now)
      : storage(s), options(o), hooks(std::move(h)), now_ms(now), random(o.seed) {}

  void drain() {
    if (draining) return;
    draining = true;
    while (!deferred.empty()) {
      const auto next = std::move(deferred.front());
      deferred.pop_front();
      next();
    }
    draining = false;
  }

  static Impl* of(raft_io* io) { return static_cast<Impl*>(io->impl); }
  static Impl* of(raft_fsm* fsm) { return static_cast<Impl*>(fsm->data); }

  static int init(raft_io*, raft_id, const char*) { return 0; }
  static void close(raft_io* io, raft_io_close_cb cb) {
    of(io)->deferred.push_back([io, cb] {
      if (cb != nullptr) cb(io);
    });
  }
  static int load(raft_io* io, raft_term* term, raft_id* voted_for, raft_snapshot** snapshot,
                  raft_index* start, raft_entry** entries, size_t* count) {
    const Storage& s = of(io)->storage;
    *term = s.term();
    *voted_for = s.voted_for();
    *snapshot = nullptr;
    if (s.snapshot()) *snapshot = make_raft_snapshot(*s.snapshot());
    if (s.snapshot() && *snapshot == nullptr) return RAFT_MALFORMED;
    *start = s.first_index();
    *count = s.entries().size();
    std::vector<EntryData> entry_data;
    for (const StoredEntry& entry : s.entries()) entry_data.push_back({entry.data.data(), entry.data.size()});
    *entries = make_raft_entries(entry_data, [&](size_t i, raft_entry& to) {
      to.term = s.entries()[i].term;
      to.type = s.entries()[i].type;
    });
    return 0;
  }
  static raft_snapshot* make_raft_snapshot(const StoredSnapshot& from) {
    raft_configuration configuration;
    if (!decode(from.configuration, configuration)) return nullptr;
    auto* out = static_cast<raft_snapshot*>(raft_calloc(1, sizeof(raft_snapshot)));
    out->index = from.index;
    out->term = from.term;
    out->configuration = configuration;
    out->configuration_index = from.configuration_index;
    out->n_bufs = 1;
    out->bufs = static_cast<raft_buffer*>(raft_calloc(1, sizeof(raft_buffer)));
    out->bufs[0].base = copy(from.data.data(), from.data.size());
    out->bufs[0].len = from.data.size();
    return out;
  }
  static int io_start(raft_io* io, unsigned, raft_io_tick_cb tick, raft_io_recv_cb receive) {
    of(io)->on_tick = tick;
    of(io)->on_receive = receive;
    return 0;
  }
  static int io_bootstrap(raft_io* io, const raft_configuration* configuration) {
    Storage& s = of(io)->storage;
    if (s.term() != 0 || s.last_index() != 0) return RAFT_CANTBOOTSTRAP;
    raft_buffer bytes{};
    if (const int rv = raft_configuration_encode(configuration, &bytes); rv != 0) return rv;
    StoredEntry first;
    first.index = 1;
    first.term = 1;
    first.type = RAFT_CHANGE;
    first.data.assign(static_cast<const char*>(bytes.base), bytes.len);
    raft_free(bytes.base);
    return s.set_term(1) && s.append({first}) ? 0 : RAFT_IOERR;
  }
  static int io_recover(raft_io*, const raft_configuration*) { return RAFT_INVALID; }
  static int set_term(raft_io* io, raft_term term) { return of(io)->storage.set_term(term) ? 0 : RAFT_IOERR; }
  static int set_vote(raft_io* io, raft_id who) { return of(io)->storage.set_vote(who) ? 0 : RAFT_IOERR; }
  static int append(raft_io* io, raft_io_append* request, const raft_entry entries[], unsigned count,
                    raft_io_append_cb cb) {
    Impl* self = of(io);
    std::vector<StoredEntry> to;
    uint64_t next = self->storage.last_index();
    for (unsigned i = 0; i < count; ++i) {
      StoredEntry entry;
      entry.index = ++next;
      entry.term = entries[i].term;
      entry.type = entries[i].type;
      entry.data.assign(static_cast<const char*>(entries[i].buf.base), entries[i].buf.len);
      to.push_back(std::move(entry));
    }
    const int status = self->storage.append(to) ? 0 : RAFT_IOERR;
    self->deferred.push_back([request, cb, status] { cb(request, status); });
    return 0;
  }
  static int truncate(raft_io* io, raft_index from) {
    return of(io)->storage.truncate(from) ? 0 : RAFT_IOERR;
  }
  static int snapshot_put(raft_io* io, unsigned trailing, raft_io_snapshot_put* request,
                          const raft_snapshot* snapshot, raft_io_snapshot_put_cb cb) {
    Impl* self = of(io);
    StoredSnapshot to;
    to.index = snapshot->index;
    to.term = snapshot->term;
    to.configuration = encode(snapshot->configuration);
    to.configuration_index = snapshot->configuration_index;
    for (unsigned i = 0; i < snapshot->n_bufs; ++i) {
      to.data.append(static_cast<const char*>(snapshot->bufs[i].base), snapshot->bufs[i].len);
    }
    const int status = self->storage.put_snapshot(std::move(to), trailing) ? 0 : RAFT_IOERR;
    self->deferred.push_back([request, cb, status] { cb(request, status); });
    return 0;
  }
  static int snapshot_get(raft_io* io, raft_io_snapshot_get* request, raft_io_snapshot_get_cb cb) {
    Impl* self = of(io);
    self->deferred.push_back([self, request, cb] {
      raft_snapshot* found =
          self->storage.snapshot() ? make_raft_snapshot(*self->storage.snapshot()) : nullptr;
      cb(request, found, found == nullptr ? RAFT_NOTFOUND : 0);
    });
    return 0;
  }
  static raft_time time(raft_io* io) { return static_cast<raft_time>(of(io)->now_ms); }
  static int random_between(raft_io* io, int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(of(io)->random);
  }
  static int send(raft_io* io, raft_io_send* request, const raft_message* message, raft_io_send_cb cb) {
    Impl* self = of(io);
    self->hooks.send(to_pb(*message, self->raft.id));
    self->deferred.push_back([request, cb] {
      if (cb != nullptr) cb(request, 0);
    });
    return 0;
  }

  static pb::RaftMessage to_pb(const raft_message& from, uint64_t self) {
    pb::RaftMessage to;
    to.set_type(from.type);
    to.set_from(self);
    to.set_to(from.server_id);
    switch (from.type) {
      case RAFT_IO_REQUEST_VOTE:
        to.set_term(from.request_vote.term);
        to.set_last_log_index(from.request_vote.last_log_index);
        to.set_last_log_term(from.request_vote.last_log_term);
        to.set_disrupt_leader(from.request_vote.disrupt_leader);
        to.set_pre_vote(from.request_vote.pre_vote);
        break;
      case RAFT_IO_REQUEST_VOTE_RESULT:
        to.set_term(from.request_vote_result.term);
        to.set_vote_granted(from.request_vote_result.vote_granted);
        to.set_pre_vote_answer(from.request_vote_result.pre_vote);
        break;
      case RAFT_IO_APPEND_ENTRIES:
        to.set_term(from.append_entries.term);
        to.set_prev_log_index(from.append_entries.prev_log_index);
        to.set_prev_log_term(from.append_entries.prev_log_term);
        to.set_leader_commit(from.append_entries.leader_commit);
        for (unsigned i = 0; i < from.append_entries.n_entries; ++i) {
          const raft_entry& entry = from.append_entries.entries[i];
          pb::LogEntry* out = to.add_entry();
          out->set_term(entry.term);
          out->set_type(entry.type);
          out->set_data(entry.buf.base, entry.buf.len);
        }
        break;
      case RAFT_IO_APPEND_ENTRIES_RESULT:
        to.set_term(from.append_entries_result.term);
        to.set_rejected(from.append_entries_result.rejected);
        to.set_last_log_index(from.append_entries_result.last_log_index);
        break;
      case RAFT_IO_INSTALL_SNAPSHOT:
        to.set_term(from.install_snapshot.term);
        to.set_snapshot_index(from.install_snapshot.last_index);
        to.set_snapshot_term(from.install_snapshot.last_term);
        to.set_configuration(encode(from.install_snapshot.conf));
        to.set_configuration_index(from.install_snapshot.conf_index);
        to.set_snapshot(from.install_snapshot.data.base, from.install_snapshot.data.len);
        break;
      case RAFT_IO_TIMEOUT_NOW:
        to.set_term(from.timeout_now.term);
        to.set_last_log_index(from.timeout_now.last_log_index);
        to.set_last_log_term(from.timeout_now.last_log_term);
        break;
      default:
        break;
    }
    return to;
  }

  // False if the message must not reach the library, which does not validate its input.
  bool from_pb(const pb::RaftMessage& from, raft_message& to, std::string& address) {
    to = {};
    to.type = static_cast<unsigned short>(from.type());
    to.server_id = from.from();
    address = std::to_string(from.from());
    to.server_address = address.c_str();
    switch (from.type()) {
      case RAFT_IO_REQUEST_VOTE:
        to.request_vote.term = from.term();
        to.request_vote.candidate_id = from.from();
        to.request_vote.last_log_index = from.last_log_index();
        to.request_vote.last_log_term = from.last_log_term();
        to.request_vote.disrupt_leader = from.disrupt_leader();
        to.request_vote.pre_vote = from.pre_vote();
        return true;
      case RAFT_IO_REQUEST_VOTE_RESULT:
        to.request_vote_result.term = from.term();
        to.request_vote_result.vote_granted = from.vote_granted();
        to.request_vote_result.pre_vote = static_cast<raft_tribool>(std::min(from.pre_vote_answer(), 2U));
        return true;
      case RAFT_IO_APPEND_ENTRIES: {
        to.append_entries.term = from.term();
        to.append_entries.prev_log_index = from.prev_log_index();
        to.append_entries.prev_log_term = from.prev_log_term();
        to.append_entries.leader_commit = from.leader_commit();
        std::vector<EntryData> entry_data;
        for (const pb::LogEntry& entry : from.entry()) {
          if (entry.type() < RAFT_COMMAND || entry.type() > RAFT_CHANGE ||
              entry.data().size() > kMaxEntryBytes) {
            return false;
          }
          entry_data.push_back({entry.data().data(), entry.data().size()});
        }
        to.append_entries.n_entries = static_cast<unsigned>(entry_data.size());
        to.append_entries.entries = make_raft_entries(entry_data, [&](size_t i, raft_entry& entry) {
          entry.term = from.entry(static_cast<int>(i)).term();
          entry.type = static_cast<unsigned short>(from.entry(static_cast<int>(i)).type());
        });
        return true;
      }
      case RAFT_IO_APPEND_ENTRIES_RESULT:
        to.append_entries_result.term = from.term();
        to.append_entries_result.rejected = from.rejected();
        to.append_entries_result.last_log_index = from.last_log_index();
        return true;
      case RAFT_IO_INSTALL_SNAPSHOT:
        to.install_snapshot.term = from.term();
        to.install_snapshot.last_index = from.snapshot_index();
        to.install_snapshot.last_term = from.snapshot_term();
        to.install_snapshot.conf_index = from.configuration_index();
        if (from.snapshot().size() > kMaxSnapshotBytes ||
            !decode(from.configuration(), to.install_snapshot.conf)) {
          return false;
        }
        to.install_snapshot.data.len = from.snapshot().size();
        to.install_snapshot.data.base = copy(from.snapshot().data(), from.snapshot().size());
        return true;
      case RAFT_IO_TIMEOUT_NOW:
        to.timeout_now.term = from.term();
        to.timeout_now.last_log_index = from.last_log_index();
        to.timeout_now.last_log_term = from.last_log_term();
        return true;
      default:
        return false;
    }
  }

  static int apply(raft_fsm* fsm, const raft_buffer* buffer, void** result) {
    *result = nullptr;
    of(fsm)->hooks.apply({static_cast<const char*>(buffer->base), buffer->len});
    return 0;
  }
  static int encode_state(raft_fsm* fsm, raft_buffer** buffers, unsigned* count) {
    const std::string bytes = of(fsm)->hooks.snapshot();
    *buffers = static_cast<raft_buffer*>(raft_calloc(1, sizeof(raft_buffer)));
    (*buffers)[0].base = copy(bytes.data(), bytes.size());
    (*buffers)[0].len = bytes.size();
    *count = 1;
    return 0;
  }
  static int restore(raft_fsm* fsm, raft_buffer* buffer) {
    of(fsm)->hooks.restore({static_cast<const char*>(buffer->base), buffer->len});
    raft_free(buffer->base);
    return 0;
  }
};

RaftServer::RaftServer(Storage& storage, const RaftOptions& options, Hooks hooks, int64_t now_ms)
    : impl_(std::make_unique<Impl>(storage, options, std::move(hooks), now_ms)) {
  Impl& i = *impl_;
  i.io.version = 1;
  i.io.impl = &i;
  i.io.init = Impl::init;
  i.io.close = Impl::close;
  i.io.load = Impl::load;
  i.io.start = Impl::io_start;
  i.io.bootstrap = Impl::io_bootstrap;
  i.io.recover = Impl::io_recover;
  i.io.set_term = Impl::set_term;
  i.io.set_vote = Impl::set_vote;
  i.io.send = Impl::send;
  i.io.append = Impl::append;
  i.io.truncate = Impl::truncate;
  i.io.snapshot_put = Impl::snapshot_put;
  i.io.snapshot_get = Impl::snapshot_get;
  i.io.time = Impl::time;
  i.io.random = Impl::random_between;
  i.fsm.version = 1;
  i.fsm.data = &i;
  i.fsm.apply = Impl::apply;
  i.fsm.snapshot = Impl::encode_state;
  i.fsm.restore = Impl::restore;
  i.running =
      raft_init(&i.raft, &i.io, &i.fsm, storage.identity(), std::to_string(storage.identity()).c_str()) == 0;
  i.raft.data = &i;
  raft_set_election_timeout(&i.raft, options.election_timeout_ms);
  raft_set_heartbeat_timeout(&i.raft, options.heartbeat_interval_ms);
  raft_set_install_snapshot_timeout(&i.raft, 10 * options.election_timeout_ms);
  raft_set_snapshot_threshold(&i.raft, options.snapshot_interval);
  raft_set_snapshot_trailing(&i.raft, options.trailing_entries);
  raft_set_pre_vote(&i.raft, true);
}

RaftServer::~RaftServer() {
  if (!impl_->running) return;
  impl_->drain();
  raft_close(&impl_->raft, [](::raft* raft) { static_cast<Impl*>(raft->data)->closed = true; });
  impl_->drain();
}

std::string RaftServer::encode_configuration(const std::vector<uint64_t>& voters) {
  pb::RaftMessage out;
  for (const uint64_t voter : voters) {
    pb::LogEntry* server = out.add_entry();
    server->set_index(voter);
    server->set_type(RAFT_VOTER);
  }
  return out.SerializeAsString();
}

bool RaftServer::bootstrap(const std::vector<uint64_t>& voters) {
  raft_configuration configuration;
  raft_configuration_init(&configuration);
  bool good = impl_->running;
  for (const uint64_t voter : voters) {
    good =
        good && raft_configuration_add(&configuration, voter, std::to_string(voter).c_str(), RAFT_VOTER) == 0;
  }
  good = good && raft_bootstrap(&impl_->raft, &configuration) == 0;
  raft_configuration_close(&configuration);
  return good;
}

bool RaftServer::start() {
  impl_->started = impl_->running && raft_start(&impl_->raft) == 0;
  impl_->drain();
  return impl_->started;
}

void RaftServer::tick(int64_t now_ms) {
  impl_->now_ms = now_ms;
  if (!impl_->started) return;
  impl_->on_tick(&impl_->io);
  impl_->drain();
}

void RaftServer::receive(const pb::RaftMessage& message, int64_t now_ms) {
  impl_->now_ms = now_ms;
  if (!impl_->started || message.to() != impl_->raft.id) return;
  raft_message to;
  std::string address;
  if (!impl_->from_pb(message, to, address)) return;
  impl_->on_receive(&impl_->io, &to);
  impl_->drain();
}

void RaftServer::propose(const std::string& command, CompletionCallback done) {
  struct Request {
    struct raft_apply request {};
    CompletionCallback done;
  };
  if (!impl_->started || !is_leader()) return done(RAFT_NOTLEADER);
  auto* request = new Request;
  request->done = std::move(done);
  request->request.data = request;
  raft_buffer buffer{copy(command.data(), command.size()), command.size()};
  const int rv = raft_apply(&impl_->raft, &request->request, &buffer, 1,
                            [](struct raft_apply* apply, int status, void*) {
                              const std::unique_ptr<Request> owned(static_cast<Request*>(apply->data));
                              owned->done(status);
                            });
  if (rv != 0) {
    raft_free(buffer.base);
    const std::unique_ptr<Request> owned(request);
    return owned->done(rv);
  }
  impl_->drain();
}

bool RaftServer::is_leader() const { return impl_->started && raft_state(&impl_->raft) == RAFT_LEADER; }

uint64_t RaftServer::leader_identity() const {
  if (!impl_->started) return 0;
  raft_id id = 0;
  const char* address = nullptr;
  raft_leader(&impl_->raft, &id, &address);
  return id;
}

uint64_t RaftServer::term() const { return impl_->raft.current_term; }

std::vector<RaftServer::Server> RaftServer::servers() const {
  std::vector<Server> out;
  const raft_configuration& c = impl_->raft.configuration;
  for (unsigned i = 0; i < c.n; ++i) out.push_back({c.servers[i].id, c.servers[i].role == RAFT_VOTER});
  return out;
}

bool RaftServer::is_changing_servers() const { return impl_->change_in_progress; }

void RaftServer::reconcile_voter(uint64_t identity) {
  if (!is_leader() || impl_->change_in_progress) return;
  const auto change = [this](auto call) {
    impl_->change_in_progress = true;
    impl_->change.data = impl_.get();
    const int rv =
        call([](raft_change* done, int) { static_cast<Impl*>(done->data)->change_in_progress = false; });
    if (rv != 0) impl_->change_in_progress = false;
    impl_->drain();
  };
  ::raft* raft = &impl_->raft;
  for (const Server& server : servers()) {
    if (Storage::slot_of(server.identity) != Storage::slot_of(identity)) continue;
    if (server.identity == identity) {
      if (server.voter) return;
      return change(
          [&](raft_change_cb cb) { return raft_assign(raft, &impl_->change, identity, RAFT_VOTER, cb); });
    }
    return change([&](raft_change_cb cb) { return raft_remove(raft, &impl_->change, server.identity, cb); });
  }
  change([&](raft_change_cb cb) {
    return raft_add(raft, &impl_->change, identity, std::to_string(identity).c_str(), cb);
  });
}

}  // namespace umberhoist::reg

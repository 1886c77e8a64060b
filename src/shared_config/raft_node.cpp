#include "shared_config/raft_node.h"

#include <xxhash.h>

extern "C" {
#include <raft.h>
}

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <deque>

#include "base/random_source.h"
#include "shared_config.pb.h"

namespace cairnhub::shared_config {

namespace {

constexpr Time kMs = kSecond / 1000;
constexpr int kMaxCallbacksPerRun = 10000;
// A message holds log entries until they exceed this; the follower's answer brings the next ones.
constexpr std::size_t kMaxAppendedBytes = std::size_t{1} << 20;

// Copies the bytes into a buffer that libraft frees. The allocation is never empty, since libraft treats an
// empty buffer as none.
raft_buffer buffer_of(std::string_view bytes) {
  raft_buffer buffer{raft_malloc(bytes.size() + 8), bytes.size()};
  std::memcpy(buffer.base, bytes.data(), bytes.size());
  return buffer;
}

std::string bytes_of(const raft_buffer& buffer) {
  return {static_cast<const char*>(buffer.base), buffer.len};
}

// The address of a member for libraft: its name and id. libraft requires unique addresses, and a broker that
// lost its store rejoins under its old name with a new id.
std::string address_of(const std::string& voter, std::uint64_t id) {
  return voter + "/" + std::to_string(id);
}
std::string name_in(const char* address) {
  const std::string text = address ? address : "";
  return text.substr(0, text.find('/'));
}

// Encodes a configuration for snapshots and messages. Only log entries hold libraft's own encoding.
std::string encode_configuration(const raft_configuration& configuration) {
  accord::wire::Voters all;
  for (unsigned k = 0; k < configuration.n; ++k) {
    auto* member = all.add_voter();
    member->set_id(configuration.servers[k].id);
    member->set_name(configuration.servers[k].address);
    member->set_role(static_cast<std::uint32_t>(configuration.servers[k].role));
  }
  return all.SerializeAsString();
}

bool decode_configuration(const std::string& bytes, raft_configuration& into) {
  accord::wire::Voters all;
  if (!all.ParseFromString(bytes)) return false;
  for (const auto& member : all.voter()) {
    if (raft_configuration_add(&into, member.id(), member.name().c_str(), static_cast<int>(member.role())) !=
        0) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::uint64_t initial_voter_id(const std::string& name) {
  return XXH3_64bits_withSeed(name.data(), name.size(), 1) >> 1 | 1;
}

// Implements libraft's I/O and state machine interfaces on top of the store and the outgoing queue.
struct RaftNode::Impl {
  RaftSettings settings;
  std::string name;
  DurableStore& store;
  Chance random;
  Applied applied;
  VersionHistory versions;
  raft_io io{};
  raft_fsm fsm{};
  raft instance{};
  raft_io_tick_cb tick_cb = nullptr;
  raft_io_recv_cb recv_cb = nullptr;
  Time now = 0;
  bool is_started = false;
  bool has_failed = false;
  bool is_closed = false;
  std::uint64_t next_index = 1;    // of the next entry to append to the store
  std::uint64_t barrier_term = 0;  // the last term in which this node, as leader, issued a barrier
  std::uint64_t ready_term = 0;    // the last term whose barrier was applied
  std::deque<Outgoing> outgoing;
  std::deque<std::function<void()>> pending_callbacks;  // completions to report to libraft
  ApplyResult last_result;                              // of the entry applied last
  bool membership_change_pending = false;
  // The last index up to which the message being answered proves that this log matches the leader's. libraft
  // answers with the end of its log, which may hold uncommitted entries of an earlier leader. If that answer
  // arrives late, the leader counts it as an acknowledgement of newer entries and commits entries that no
  // other member holds. The answer is therefore capped at this index.
  std::uint64_t proven_index = 0;

  struct Apply {
    struct raft_apply request {};
    Done done;
  };
  struct Change {
    struct raft_change request {};
    Impl* impl;
  };
  struct Barrier {
    struct raft_barrier request {};
    Impl* impl;
    std::uint64_t term;
  };

  Impl(const RaftSettings& raft_settings, const std::string& own_name, DurableStore& durable_store,
       std::uint64_t seed, Applied on_applied, std::shared_ptr<const ReplicatedStateMachine> board)
      : settings(raft_settings),
        name(own_name),
        store(durable_store),
        random(seed),
        applied(std::move(on_applied)),
        versions(std::move(board)) {}

  static Impl& of(raft_io* io) { return *static_cast<Impl*>(io->impl); }

  void mark_failed() { has_failed = true; }

  void set_library_callbacks() {
    io.version = 1;
    io.impl = this;
    io.init = [](raft_io*, raft_id, const char*) { return 0; };
    io.close = [](raft_io* i, raft_io_close_cb cb) { of(i).pending_callbacks.push_back([i, cb] { cb(i); }); };
    io.load = [](raft_io* i, raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* start,
                 raft_entry** entries,
                 std::size_t* n) { return of(i).load(term, vote, snapshot, start, entries, n); };
    io.start = [](raft_io* i, unsigned, raft_io_tick_cb tick, raft_io_recv_cb recv) {
      of(i).tick_cb = tick;
      of(i).recv_cb = recv;
      return 0;
    };
    io.bootstrap = [](raft_io*, const raft_configuration*) { return RAFT_CANTBOOTSTRAP; };
    io.recover = [](raft_io*, const raft_configuration*) { return RAFT_IOERR; };
    io.set_term = [](raft_io* i, raft_term term) {
      if (of(i).has_failed || !of(i).store.set_term(term)) {
        of(i).mark_failed();
        return RAFT_IOERR;
      }
      return 0;
    };
    io.set_vote = [](raft_io* i, raft_id id) {
      if (of(i).has_failed || !of(i).store.set_vote(id)) {
        of(i).mark_failed();
        return RAFT_IOERR;
      }
      return 0;
    };
    io.send = [](raft_io* i, raft_io_send* req, const raft_message* m, raft_io_send_cb cb) {
      of(i).send(*m);
      // libraft passes no callback for the message that transfers leadership.
      if (cb) of(i).pending_callbacks.push_back([req, cb] { cb(req, 0); });
      return 0;
    };
    io.append = [](raft_io* i, raft_io_append* req, const raft_entry entries[], unsigned n,
                   raft_io_append_cb cb) { return of(i).append(req, entries, n, cb); };
    io.truncate = [](raft_io* i, raft_index index) {
      Impl& impl = of(i);
      if (impl.has_failed || !impl.store.truncate(index)) {
        impl.mark_failed();
        return RAFT_IOERR;
      }
      impl.next_index = index;
      return 0;
    };
    io.snapshot_put = [](raft_io* i, unsigned trailing, raft_io_snapshot_put* req, const raft_snapshot* s,
                         raft_io_snapshot_put_cb cb) {
      Impl& impl = of(i);
      Snapshot snapshot{s->index, s->term, s->configuration_index, encode_configuration(s->configuration),
                        ""};
      for (unsigned b = 0; b < s->n_bufs; ++b) snapshot.data += bytes_of(s->bufs[b]);
      // A snapshot received from the leader (`trailing` is 0) replaces the whole log; one taken by this node
      // keeps the last `trailing` entries.
      const std::uint64_t from = trailing == 0         ? s->index + 1
                                 : s->index > trailing ? s->index - trailing + 1
                                                       : 1;
      const bool is_saved = !impl.has_failed && impl.store.save_snapshot(snapshot, from);
      if (!is_saved) impl.mark_failed();
      if (trailing == 0) impl.next_index = s->index + 1;
      impl.pending_callbacks.push_back([req, cb, is_saved] { cb(req, is_saved ? 0 : RAFT_IOERR); });
      return 0;
    };
    io.snapshot_get = [](raft_io* i, raft_io_snapshot_get* req, raft_io_snapshot_get_cb cb) {
      Impl& impl = of(i);
      raft_snapshot* s = impl.to_raft_snapshot(impl.store.snapshot());
      if (!s) return RAFT_IOERR;
      impl.pending_callbacks.push_back([req, cb, s] { cb(req, s, 0); });
      return 0;
    };
    io.time = [](raft_io* i) { return static_cast<raft_time>(of(i).now / kMs); };
    io.random = [](raft_io* i, int least, int most) {
      return least +
             static_cast<int>(of(i).random.below(static_cast<std::size_t>(std::max(1, most - least))));
    };
    fsm.version = 1;
    fsm.data = this;
    fsm.apply = [](raft_fsm* f, const raft_buffer* b, void** result) {
      Impl& impl = *static_cast<Impl*>(f->data);
      *result = nullptr;
      const auto entry = decode_entry({static_cast<const char*>(b->base), b->len});
      impl.last_result = entry ? impl.versions.apply(*entry) : ApplyResult{0, "an entry that can't be read"};
      *result = &impl.last_result;
      if (entry && impl.applied) impl.applied(*entry, impl.last_result);
      return 0;
    };
    fsm.snapshot = [](raft_fsm* f, raft_buffer* bufs[], unsigned* n) {
      *bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
      **bufs = buffer_of(static_cast<Impl*>(f->data)->versions.snapshot());
      *n = 1;
      return 0;
    };
    fsm.restore = [](raft_fsm* f, raft_buffer* b) {
      Impl& impl = *static_cast<Impl*>(f->data);
      if (!impl.versions.restore({static_cast<const char*>(b->base), b->len})) return RAFT_CORRUPT;
      raft_free(b->base);
      return 0;
    };
  }

  // Returns a copy that libraft frees, or null if there is no snapshot or its configuration is malformed.
  raft_snapshot* to_raft_snapshot(const std::optional<Snapshot>& from) {
    if (!from) return nullptr;
    auto* s = static_cast<raft_snapshot*>(raft_calloc(1, sizeof(raft_snapshot)));
    s->index = from->index;
    s->term = from->term;
    s->configuration_index = from->configuration_index;
    raft_configuration_init(&s->configuration);
    if (!decode_configuration(from->configuration, s->configuration)) {
      raft_configuration_close(&s->configuration);
      raft_free(s);
      return nullptr;
    }
    s->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    s->bufs[0] = buffer_of(from->data);
    s->n_bufs = 1;
    return s;
  }

  int load(raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* start, raft_entry** entries,
           std::size_t* n) {
    const PersistedState& state = store.loaded_state();
    *term = state.term;
    *vote = state.vote;
    *snapshot = nullptr;
    if (state.snapshot && !(*snapshot = to_raft_snapshot(state.snapshot))) return RAFT_CORRUPT;
    *start = state.first_index;
    *n = state.entries.size();
    *entries = nullptr;
    next_index = state.first_index + state.entries.size();
    if (*n == 0) return 0;
    *entries = static_cast<raft_entry*>(raft_calloc(*n, sizeof(raft_entry)));
    for (std::size_t k = 0; k < *n; ++k) {
      raft_entry& entry = (*entries)[k];
      entry.term = state.entries[k].term;
      entry.type = state.entries[k].type;
      entry.buf = buffer_of(state.entries[k].data);
      entry.batch = entry.buf.base;  // libraft frees each entry on its own
    }
    return 0;
  }

  int append(raft_io_append* req, const raft_entry entries[], unsigned n, raft_io_append_cb cb) {
    std::vector<LogEntry> all;
    for (unsigned k = 0; k < n; ++k)
      all.push_back({entries[k].term, entries[k].type, bytes_of(entries[k].buf)});
    const bool is_appended = !has_failed && store.append(next_index, all);
    if (is_appended)
      next_index += n;
    else
      mark_failed();
    pending_callbacks.push_back([req, cb, is_appended] { cb(req, is_appended ? 0 : RAFT_IOERR); });
    return 0;
  }

  void send(const raft_message& message) {
    if (has_failed) return;
    accord::wire::Packet packet;
    accord::wire::Raft& w = *packet.mutable_raft();
    w.set_type(message.type);
    w.set_from(instance.id);
    w.set_to(message.server_id);
    const auto add = [&](const raft_entry& entry) {
      auto* out_entry = w.add_entry();
      out_entry->set_term(entry.term);
      out_entry->set_type(entry.type);
      out_entry->set_data(entry.buf.base, entry.buf.len);
    };
    switch (message.type) {
      case RAFT_IO_APPEND_ENTRIES: {
        const auto& m = message.append_entries;
        w.set_term(m.term);
        w.set_a(m.prev_log_index);
        w.set_b(m.prev_log_term);
        w.set_c(m.leader_commit);
        std::size_t entry_bytes = 0;
        for (unsigned k = 0; k < m.n_entries && entry_bytes < kMaxAppendedBytes; ++k) {
          entry_bytes += m.entries[k].buf.len;
          add(m.entries[k]);
        }
        break;
      }
      case RAFT_IO_APPEND_ENTRIES_RESULT: {
        const auto& m = message.append_entries_result;
        w.set_term(m.term);
        w.set_a(m.rejected);
        w.set_b(m.rejected ? m.last_log_index : std::min<std::uint64_t>(m.last_log_index, proven_index));
        break;
      }
      case RAFT_IO_REQUEST_VOTE: {
        const auto& m = message.request_vote;
        w.set_term(m.term);
        w.set_a(m.candidate_id);
        w.set_b(m.last_log_index);
        w.set_c(m.last_log_term);
        w.set_flag(m.disrupt_leader);
        w.set_tri(m.pre_vote);
        break;
      }
      case RAFT_IO_REQUEST_VOTE_RESULT: {
        const auto& m = message.request_vote_result;
        w.set_term(m.term);
        w.set_flag(m.vote_granted);
        w.set_tri(static_cast<std::uint32_t>(m.pre_vote));
        break;
      }
      case RAFT_IO_INSTALL_SNAPSHOT: {
        const auto& m = message.install_snapshot;
        w.set_term(m.term);
        w.set_a(m.last_index);
        w.set_b(m.last_term);
        w.set_c(m.conf_index);
        w.set_conf(encode_configuration(m.conf));
        w.set_data(m.data.base, m.data.len);
        break;
      }
      case RAFT_IO_TIMEOUT_NOW: {
        const auto& m = message.timeout_now;
        w.set_term(m.term);
        w.set_a(m.last_log_index);
        w.set_b(m.last_log_term);
        break;
      }
      default:
        return;
    }
    outgoing.push_back({name_in(message.server_address), packet.SerializeAsString()});
  }

  void receive(const std::string& from, const accord::wire::Raft& w) {
    raft_message message{};
    message.type = static_cast<unsigned short>(w.type());
    message.server_id = w.from();
    const std::string address = address_of(from, w.from());
    message.server_address = address.c_str();
    switch (message.type) {
      case RAFT_IO_APPEND_ENTRIES: {
        auto& m = message.append_entries;
        m.term = w.term();
        m.prev_log_index = w.a();
        m.prev_log_term = w.b();
        m.leader_commit = w.c();
        m.n_entries = static_cast<unsigned>(w.entry_size());
        proven_index = m.prev_log_index + m.n_entries;
        if (m.n_entries) {
          m.entries = static_cast<raft_entry*>(raft_calloc(m.n_entries, sizeof(raft_entry)));
          // All entries share one allocation, each at a multiple of 8 bytes; libraft frees it through
          // `batch`.
          std::size_t total = 8;
          for (const auto& entry : w.entry()) total += (entry.data().size() + 7) / 8 * 8;
          char* batch = static_cast<char*>(raft_malloc(total));
          std::size_t offset = 0;
          for (unsigned k = 0; k < m.n_entries; ++k) {
            const auto& entry = w.entry(static_cast<int>(k));
            std::memcpy(batch + offset, entry.data().data(), entry.data().size());
            m.entries[k].term = entry.term();
            m.entries[k].type = static_cast<unsigned short>(entry.type());
            m.entries[k].buf = {batch + offset, entry.data().size()};
            m.entries[k].batch = batch;
            offset += (entry.data().size() + 7) / 8 * 8;
          }
        }
        break;
      }
      case RAFT_IO_APPEND_ENTRIES_RESULT:
        message.append_entries_result.term = w.term();
        message.append_entries_result.rejected = w.a();
        message.append_entries_result.last_log_index = w.b();
        break;
      case RAFT_IO_REQUEST_VOTE: {
        auto& m = message.request_vote;
        m.term = w.term();
        m.candidate_id = w.a();
        m.last_log_index = w.b();
        m.last_log_term = w.c();
        m.disrupt_leader = w.flag();
        m.pre_vote = w.tri() != 0;
        break;
      }
      case RAFT_IO_REQUEST_VOTE_RESULT: {
        auto& m = message.request_vote_result;
        m.term = w.term();
        m.vote_granted = w.flag();
        m.pre_vote = w.tri() == raft_tribool_true    ? raft_tribool_true
                     : w.tri() == raft_tribool_false ? raft_tribool_false
                                                     : raft_tribool_unknown;
        break;
      }
      case RAFT_IO_INSTALL_SNAPSHOT: {
        auto& m = message.install_snapshot;
        m.term = w.term();
        m.last_index = w.a();
        m.last_term = w.b();
        m.conf_index = w.c();
        proven_index = m.last_index;
        raft_configuration_init(&m.conf);
        if (!decode_configuration(w.conf(), m.conf)) {
          raft_configuration_close(&m.conf);
          return;
        }
        m.data = buffer_of(w.data());
        break;
      }
      case RAFT_IO_TIMEOUT_NOW:
        message.timeout_now.term = w.term();
        message.timeout_now.last_log_index = w.a();
        message.timeout_now.last_log_term = w.b();
        break;
      default:
        return;
    }
    recv_cb(&io, &message);
  }

  // Reports completed sends and appends to libraft, then issues a barrier if this node has become the leader.
  void run_callbacks() {
    for (int rounds = 0; !pending_callbacks.empty() && rounds < kMaxCallbacksPerRun; ++rounds) {
      const auto callback = std::move(pending_callbacks.front());
      pending_callbacks.pop_front();
      callback();
    }
    if (has_failed || is_closed) return;
    const bool is_raft_leader = raft_state(&instance) == RAFT_LEADER;
    if (is_raft_leader && barrier_term != instance.current_term) {
      // A new leader does not yet know which entries were committed before its term. Leases granted from an
      // older history would contradict the versions that other brokers act on, so `is_leader` stays false
      // until the barrier is applied.
      barrier_term = instance.current_term;
      auto* barrier = new Barrier{{}, this, instance.current_term};
      barrier->request.data = barrier;
      if (raft_barrier(&instance, &barrier->request, [](struct raft_barrier* req, int status) {
            const std::unique_ptr<Barrier> own(static_cast<Barrier*>(req->data));
            if (status == 0) own->impl->ready_term = own->term;
          }) != 0) {
        delete barrier;
        barrier_term = 0;
      } else {
        run_callbacks();
      }
    }
  }
};

RaftNode::RaftNode(const RaftSettings& settings, const std::string& name, DurableStore& store,
                   std::uint64_t seed, Applied applied, std::shared_ptr<const ReplicatedStateMachine> board)
    : impl_(std::make_unique<Impl>(settings, name, store, seed, std::move(applied), std::move(board))) {
  Impl& impl = *impl_;
  impl.set_library_callbacks();
  if (raft_init(&impl.instance, &impl.io, &impl.fsm, store.loaded_state().voter_id,
                address_of(name, store.loaded_state().voter_id).c_str()) != 0) {
    impl.has_failed = true;
    impl.is_closed = true;
    return;
  }
  raft_set_election_timeout(&impl.instance, static_cast<unsigned>(settings.election_timeout / kMs));
  raft_set_heartbeat_timeout(&impl.instance, static_cast<unsigned>(settings.heartbeat_interval / kMs));
  raft_set_snapshot_threshold(&impl.instance, settings.snapshot_threshold);
  raft_set_snapshot_trailing(&impl.instance, settings.snapshot_trailing);
  raft_set_pre_vote(&impl.instance, true);
}

RaftNode::~RaftNode() {
  Impl& impl = *impl_;
  if (impl.is_closed) return;
  impl.is_closed = true;
  impl.applied = {};
  raft_close(&impl.instance, nullptr);
  impl.run_callbacks();
}

bool RaftNode::start(Time now) {
  Impl& impl = *impl_;
  if (impl.has_failed) return false;
  impl.now = now;
  if (raft_start(&impl.instance) != 0) {
    impl.mark_failed();
    return false;
  }
  impl.is_started = true;
  impl.run_callbacks();
  return !impl.has_failed;
}

void RaftNode::tick(Time now) {
  Impl& impl = *impl_;
  if (!impl.is_started || impl.has_failed) return;
  impl.now = now;
  impl.tick_cb(&impl.io);
  impl.run_callbacks();
}

void RaftNode::handle_message(Time now, const std::string& from, const accord::wire::Raft& message) {
  Impl& impl = *impl_;
  if (!impl.is_started || impl.has_failed) return;
  impl.now = now;
  // The message may be addressed to the store that this broker had before it lost that store.
  if (message.to() != impl.instance.id) return;
  impl.receive(from, message);
  impl.run_callbacks();
}

std::optional<RaftNode::Outgoing> RaftNode::take_message() {
  Impl& impl = *impl_;
  if (impl.outgoing.empty()) return std::nullopt;
  auto message = std::move(impl.outgoing.front());
  impl.outgoing.pop_front();
  return message;
}

void RaftNode::run_callbacks(Time now) {
  impl_->now = now;
  impl_->run_callbacks();
}

bool RaftNode::propose(Time now, const ConfigEntry& entry, Done done) {
  Impl& impl = *impl_;
  impl.now = now;
  if (!is_leader()) return false;
  auto* apply = new Impl::Apply{{}, std::move(done)};
  apply->request.data = apply;
  const raft_buffer buffer = buffer_of(encode(entry));
  const int status =
      raft_apply(&impl.instance, &apply->request, &buffer, 1,
                 [](struct raft_apply* req, int apply_status, void* result) {
                   const std::unique_ptr<Impl::Apply> own(static_cast<Impl::Apply*>(req->data));
                   if (!own->done) return;
                   if (apply_status == 0 && result)
                     own->done(*static_cast<ApplyResult*>(result));
                   else
                     own->done(std::nullopt);
                 });
  if (status != 0) {
    raft_free(buffer.base);
    delete apply;
    return false;
  }
  impl.run_callbacks();
  return true;
}

bool RaftNode::add_voter(Time now, std::uint64_t id, const std::string& name) {
  Impl& impl = *impl_;
  impl.now = now;
  if (!is_leader() || impl.membership_change_pending) return false;
  auto* change = new Impl::Change{{}, &impl};
  const raft_configuration& configuration = impl.instance.configuration;
  bool is_member = false;
  for (unsigned k = 0; k < configuration.n; ++k) is_member = is_member || configuration.servers[k].id == id;
  change->request.data = change;
  // A new member is added as a non-voting spare. A later call promotes the spare to a voter, after it has
  // caught up with the log.
  static const raft_change_cb done = [](struct raft_change* req, int) {
    const std::unique_ptr<Impl::Change> own(static_cast<Impl::Change*>(req->data));
    own->impl->membership_change_pending = false;
  };
  const int status = is_member
                         ? raft_assign(&impl.instance, &change->request, id, RAFT_VOTER, done)
                         : raft_add(&impl.instance, &change->request, id, address_of(name, id).c_str(), done);
  if (status != 0) {
    delete change;
    return false;
  }
  impl.membership_change_pending = true;
  impl.run_callbacks();
  return true;
}

bool RaftNode::remove_voter(Time now, std::uint64_t id) {
  Impl& impl = *impl_;
  impl.now = now;
  if (!is_leader() || impl.membership_change_pending) return false;
  auto* change = new Impl::Change{{}, &impl};
  change->request.data = change;
  const int status = raft_remove(&impl.instance, &change->request, id, [](struct raft_change* req, int) {
    const std::unique_ptr<Impl::Change> own(static_cast<Impl::Change*>(req->data));
    own->impl->membership_change_pending = false;
  });
  if (status != 0) {
    delete change;
    return false;
  }
  impl.membership_change_pending = true;
  impl.run_callbacks();
  return true;
}

bool RaftNode::has_change_in_progress() const { return impl_->membership_change_pending; }

bool RaftNode::transfer_leadership(Time now) {
  Impl& impl = *impl_;
  impl.now = now;
  if (!impl.is_started || impl.has_failed || raft_state(&impl.instance) != RAFT_LEADER ||
      impl.instance.transfer)
    return false;
  using Transfer = struct raft_transfer;
  auto* transfer = new Transfer{};
  if (raft_transfer(&impl.instance, transfer, 0, [](Transfer* req) { delete req; }) != 0) {
    delete transfer;
    return false;
  }
  impl.run_callbacks();
  return true;
}

bool RaftNode::has_failed() const { return impl_->has_failed; }
bool RaftNode::is_leader() const {
  Impl& impl = *impl_;
  return impl.is_started && !impl.has_failed && raft_state(&impl.instance) == RAFT_LEADER &&
         impl.ready_term == impl.instance.current_term;
}
std::uint64_t RaftNode::term() const { return impl_->instance.current_term; }
std::string RaftNode::leader() const {
  raft_id id = 0;
  const char* address = nullptr;
  if (impl_->is_started && !impl_->has_failed) raft_leader(&impl_->instance, &id, &address);
  return name_in(address);
}
std::uint64_t RaftNode::id() const { return impl_->instance.id; }
std::vector<RaftMember> RaftNode::members() const {
  std::vector<RaftMember> all;
  const raft_configuration& configuration = impl_->instance.configuration;
  for (unsigned k = 0; k < configuration.n; ++k)
    all.push_back({configuration.servers[k].id, name_in(configuration.servers[k].address),
                   configuration.servers[k].role == RAFT_VOTER});
  return all;
}
std::set<std::string> RaftNode::voter_names() const {
  std::set<std::string> names;
  for (const RaftMember& member : members())
    if (member.is_voter) names.insert(member.name);
  return names;
}
const VersionHistory& RaftNode::versions() const { return impl_->versions; }
std::uint64_t RaftNode::applied_index() const { return impl_->instance.last_applied; }

namespace {

// Returns libraft's encoding of the configuration, as log entries hold it; empty if the members are not
// valid.
std::string configuration_entry(const std::vector<RaftMember>& members) {
  raft_configuration configuration;
  raft_configuration_init(&configuration);
  std::string bytes;
  bool is_valid = true;
  for (const RaftMember& member : members)
    is_valid = is_valid &&
               raft_configuration_add(&configuration, member.id, address_of(member.name, member.id).c_str(),
                                      member.is_voter ? RAFT_VOTER : RAFT_SPARE) == 0;
  raft_buffer buffer{};
  if (is_valid && raft_configuration_encode(&configuration, &buffer) == 0) {
    bytes = bytes_of(buffer);
    raft_free(buffer.base);
  }
  raft_configuration_close(&configuration);
  return bytes;
}

}  // namespace

bool RaftNode::bootstrap(DurableStore& store, const std::vector<RaftMember>& voters) {
  const std::string bytes = configuration_entry(voters);
  return !bytes.empty() && store.loaded_state().entries.empty() && store.loaded_state().term == 0 &&
         store.set_term(1) && store.append(1, {{1, RAFT_CHANGE, bytes}});
}

bool RaftNode::force_voters(DurableStore& store, const std::vector<RaftMember>& voters) {
  const std::string bytes = configuration_entry(voters);
  const PersistedState& state = store.loaded_state();
  return !bytes.empty() && state.term > 0 &&
         store.append(state.first_index + state.entries.size(), {{state.term, RAFT_CHANGE, bytes}});
}

}  // namespace cairnhub::shared_config

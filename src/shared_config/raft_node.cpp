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

raft_buffer buffer_of(std::string_view bytes) {
  // The library frees it. One byte at least: it takes an empty buffer for none.
  raft_buffer b{raft_malloc(bytes.size() + 8), bytes.size()};
  std::memcpy(b.base, bytes.data(), bytes.size());
  return b;
}

std::string bytes_of(const raft_buffer& b) { return {static_cast<const char*>(b.base), b.len}; }

// The library wants each address once, but a broker that lost its store comes under its old name with another
// id.
std::string address_of(const std::string& voter, std::uint64_t id) {
  return voter + "/" + std::to_string(id);
}
std::string name_in(const char* address) {
  const std::string text = address ? address : "";
  return text.substr(0, text.find('/'));
}

// Who votes, in our own form; the library's is written into the log only.
std::string encoded(const raft_configuration& c) {
  accord::wire::Voters all;
  for (unsigned k = 0; k < c.n; ++k) {
    auto* v = all.add_voter();
    v->set_id(c.servers[k].id);
    v->set_name(c.servers[k].address);
    v->set_role(static_cast<std::uint32_t>(c.servers[k].role));
  }
  return all.SerializeAsString();
}

bool decode_into(const std::string& bytes, raft_configuration& c) {
  accord::wire::Voters all;
  if (!all.ParseFromString(bytes)) return false;
  for (const auto& v : all.voter())
    if (raft_configuration_add(&c, v.id(), v.name().c_str(), static_cast<int>(v.role())) != 0) return false;
  return true;
}

}  // namespace

std::uint64_t first_voter_id(const std::string& name) {
  return XXH3_64bits_withSeed(name.data(), name.size(), 1) >> 1 | 1;
}

struct Engine::Impl {
  EngineTerms terms;
  std::string name;
  Store& store;
  Chance chance;
  Applied applied;
  VersionHistory versions;
  raft_io io{};
  raft_fsm fsm{};
  raft r{};
  raft_io_tick_cb tick_cb = nullptr;
  raft_io_recv_cb recv_cb = nullptr;
  Time now = 0;
  bool started = false, failed = false, closed = false;
  std::uint64_t next_index = 1;  // of the store
  std::uint64_t barrier_term = 0, lead_term = 0;
  std::deque<Outgoing> out;
  std::deque<std::function<void()>> ends;  // to be told to the library
  ApplyResult last;                        // of the entry applied last
  bool change_out = false;
  // Up to where the message being answered proves that this log is the leader's. Danger: the library answers
  // with the end of its log, which may be longer by entries that an earlier leader never got committed; where
  // that answer comes late the leader counts it for entries it has written since, and commits what nobody
  // else holds.
  std::uint64_t proved = 0;

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

  Impl(const EngineTerms& t, const std::string& n, Store& s, std::uint64_t seed, Applied a,
       std::shared_ptr<const ReplicatedStateMachine> board)
      : terms(t), name(n), store(s), chance(seed), applied(std::move(a)), versions(std::move(board)) {}

  static Impl& of(raft_io* io) { return *static_cast<Impl*>(io->impl); }

  void fail() { failed = true; }

  void set_up() {
    io.version = 1;
    io.impl = this;
    io.init = [](raft_io*, raft_id, const char*) { return 0; };
    io.close = [](raft_io* i, raft_io_close_cb cb) { of(i).ends.push_back([i, cb] { cb(i); }); };
    io.load = [](raft_io* i, raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* start,
                 raft_entry** entries,
                 std::size_t* n) { return of(i).load(term, vote, snapshot, start, entries, n); };
    io.start = [](raft_io* i, unsigned, raft_io_tick_cb tick, raft_io_recv_cb recv) {
      of(i).tick_cb = tick, of(i).recv_cb = recv;
      return 0;
    };
    io.bootstrap = [](raft_io*, const raft_configuration*) { return RAFT_CANTBOOTSTRAP; };
    io.recover = [](raft_io*, const raft_configuration*) { return RAFT_IOERR; };
    io.set_term = [](raft_io* i, raft_term term) {
      if (of(i).failed || !of(i).store.set_term(term)) return of(i).fail(), RAFT_IOERR;
      return 0;
    };
    io.set_vote = [](raft_io* i, raft_id id) {
      if (of(i).failed || !of(i).store.set_vote(id)) return of(i).fail(), RAFT_IOERR;
      return 0;
    };
    io.send = [](raft_io* i, raft_io_send* req, const raft_message* m, raft_io_send_cb cb) {
      of(i).send(*m);
      // The library wants no word of the message that hands over the lead.
      if (cb) of(i).ends.push_back([req, cb] { cb(req, 0); });
      return 0;
    };
    io.append = [](raft_io* i, raft_io_append* req, const raft_entry entries[], unsigned n,
                   raft_io_append_cb cb) { return of(i).append(req, entries, n, cb); };
    io.truncate = [](raft_io* i, raft_index index) {
      Impl& me = of(i);
      if (me.failed || !me.store.truncate(index)) return me.fail(), RAFT_IOERR;
      me.next_index = index;
      return 0;
    };
    io.snapshot_put = [](raft_io* i, unsigned trailing, raft_io_snapshot_put* req, const raft_snapshot* s,
                         raft_io_snapshot_put_cb cb) {
      Impl& me = of(i);
      Snapshot keep{s->index, s->term, s->configuration_index, encoded(s->configuration), ""};
      for (unsigned b = 0; b < s->n_bufs; ++b) keep.data += bytes_of(s->bufs[b]);
      // One that came from the leader replaces the whole log; one's own leaves the last entries.
      const std::uint64_t from = trailing == 0         ? s->index + 1
                                 : s->index > trailing ? s->index - trailing + 1
                                                       : 1;
      const bool good = !me.failed && me.store.put(keep, from);
      if (!good) me.fail();
      if (trailing == 0) me.next_index = s->index + 1;
      me.ends.push_back([req, cb, good] { cb(req, good ? 0 : RAFT_IOERR); });
      return 0;
    };
    io.snapshot_get = [](raft_io* i, raft_io_snapshot_get* req, raft_io_snapshot_get_cb cb) {
      Impl& me = of(i);
      raft_snapshot* s = me.made(me.store.snapshot());
      if (!s) return RAFT_IOERR;
      me.ends.push_back([req, cb, s] { cb(req, s, 0); });
      return 0;
    };
    io.time = [](raft_io* i) { return static_cast<raft_time>(of(i).now / kMs); };
    io.random = [](raft_io* i, int least, int most) {
      return least +
             static_cast<int>(of(i).chance.below(static_cast<std::size_t>(std::max(1, most - least))));
    };
    fsm.version = 1;
    fsm.data = this;
    fsm.apply = [](raft_fsm* f, const raft_buffer* b, void** result) {
      Impl& me = *static_cast<Impl*>(f->data);
      *result = nullptr;
      const auto e = decode_entry({static_cast<const char*>(b->base), b->len});
      me.last = e ? me.versions.apply(*e) : ApplyResult{0, "an entry that can't be read"};
      *result = &me.last;
      if (e && me.applied) me.applied(*e, me.last);
      return 0;
    };
    fsm.snapshot = [](raft_fsm* f, raft_buffer* bufs[], unsigned* n) {
      *bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
      **bufs = buffer_of(static_cast<Impl*>(f->data)->versions.snapshot());
      *n = 1;
      return 0;
    };
    fsm.restore = [](raft_fsm* f, raft_buffer* b) {
      Impl& me = *static_cast<Impl*>(f->data);
      if (!me.versions.restore({static_cast<const char*>(b->base), b->len})) return RAFT_CORRUPT;
      raft_free(b->base);
      return 0;
    };
  }

  raft_snapshot* made(const std::optional<Snapshot>& from) {
    if (!from) return nullptr;
    auto* s = static_cast<raft_snapshot*>(raft_calloc(1, sizeof(raft_snapshot)));
    s->index = from->index, s->term = from->term, s->configuration_index = from->configuration_index;
    raft_configuration_init(&s->configuration);
    if (!decode_into(from->configuration, s->configuration)) {
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
    const Stored& had = store.loaded();
    *term = had.term, *vote = had.vote;
    *snapshot = nullptr;
    if (had.snapshot && !(*snapshot = made(had.snapshot))) return RAFT_CORRUPT;
    *start = had.first;
    *n = had.entries.size();
    *entries = nullptr;
    next_index = had.first + had.entries.size();
    if (*n == 0) return 0;
    *entries = static_cast<raft_entry*>(raft_calloc(*n, sizeof(raft_entry)));
    for (std::size_t k = 0; k < *n; ++k) {
      raft_entry& e = (*entries)[k];
      e.term = had.entries[k].term, e.type = had.entries[k].type;
      e.buf = buffer_of(had.entries[k].data);
      e.batch = e.buf.base;  // each a batch of its own
    }
    return 0;
  }

  int append(raft_io_append* req, const raft_entry entries[], unsigned n, raft_io_append_cb cb) {
    std::vector<LogEntry> all;
    for (unsigned k = 0; k < n; ++k)
      all.push_back({entries[k].term, entries[k].type, bytes_of(entries[k].buf)});
    const bool good = !failed && store.append(next_index, all);
    if (good)
      next_index += n;
    else
      fail();
    ends.push_back([req, cb, good] { cb(req, good ? 0 : RAFT_IOERR); });
    return 0;
  }

  void send(const raft_message& m) {
    if (failed) return;
    accord::wire::Packet packet;
    accord::wire::Raft& w = *packet.mutable_raft();
    w.set_type(m.type);
    w.set_from(r.id);
    w.set_to(m.server_id);
    const auto add = [&](const raft_entry& e) {
      auto* out_entry = w.add_entry();
      out_entry->set_term(e.term), out_entry->set_type(e.type);
      out_entry->set_data(e.buf.base, e.buf.len);
    };
    switch (m.type) {
      case RAFT_IO_APPEND_ENTRIES: {
        const auto& a = m.append_entries;
        w.set_term(a.term), w.set_a(a.prev_log_index), w.set_b(a.prev_log_term), w.set_c(a.leader_commit);
        for (unsigned k = 0; k < a.n_entries; ++k) add(a.entries[k]);
        break;
      }
      case RAFT_IO_APPEND_ENTRIES_RESULT: {
        const auto& a = m.append_entries_result;
        w.set_term(a.term), w.set_a(a.rejected);
        w.set_b(a.rejected ? a.last_log_index : std::min<std::uint64_t>(a.last_log_index, proved));
        break;
      }
      case RAFT_IO_REQUEST_VOTE: {
        const auto& a = m.request_vote;
        w.set_term(a.term), w.set_a(a.candidate_id), w.set_b(a.last_log_index), w.set_c(a.last_log_term);
        w.set_flag(a.disrupt_leader), w.set_tri(a.pre_vote);
        break;
      }
      case RAFT_IO_REQUEST_VOTE_RESULT: {
        const auto& a = m.request_vote_result;
        w.set_term(a.term), w.set_flag(a.vote_granted), w.set_tri(static_cast<std::uint32_t>(a.pre_vote));
        break;
      }
      case RAFT_IO_INSTALL_SNAPSHOT: {
        const auto& a = m.install_snapshot;
        w.set_term(a.term), w.set_a(a.last_index), w.set_b(a.last_term), w.set_c(a.conf_index);
        w.set_conf(encoded(a.conf));
        w.set_data(a.data.base, a.data.len);
        break;
      }
      case RAFT_IO_TIMEOUT_NOW: {
        const auto& a = m.timeout_now;
        w.set_term(a.term), w.set_a(a.last_log_index), w.set_b(a.last_log_term);
        break;
      }
      default:
        return;
    }
    out.push_back({name_in(m.server_address), packet.SerializeAsString()});
  }

  void receive(const std::string& from, const accord::wire::Raft& w) {
    raft_message m{};
    m.type = static_cast<unsigned short>(w.type());
    m.server_id = w.from();
    const std::string address = address_of(from, w.from());
    m.server_address = address.c_str();
    switch (m.type) {
      case RAFT_IO_APPEND_ENTRIES: {
        auto& a = m.append_entries;
        a.term = w.term(), a.prev_log_index = w.a(), a.prev_log_term = w.b(), a.leader_commit = w.c();
        a.n_entries = static_cast<unsigned>(w.entry_size());
        proved = a.prev_log_index + a.n_entries;
        if (a.n_entries) {
          a.entries = static_cast<raft_entry*>(raft_calloc(a.n_entries, sizeof(raft_entry)));
          // One batch for all: the library frees them by it.
          std::size_t total = 8;
          for (const auto& e : w.entry()) total += (e.data().size() + 7) / 8 * 8;
          char* batch = static_cast<char*>(raft_malloc(total));
          std::size_t at = 0;
          for (unsigned k = 0; k < a.n_entries; ++k) {
            const auto& e = w.entry(static_cast<int>(k));
            std::memcpy(batch + at, e.data().data(), e.data().size());
            a.entries[k].term = e.term(), a.entries[k].type = static_cast<unsigned short>(e.type());
            a.entries[k].buf = {batch + at, e.data().size()};
            a.entries[k].batch = batch;
            at += (e.data().size() + 7) / 8 * 8;
          }
        }
        break;
      }
      case RAFT_IO_APPEND_ENTRIES_RESULT:
        m.append_entries_result.term = w.term(), m.append_entries_result.rejected = w.a();
        m.append_entries_result.last_log_index = w.b();
        break;
      case RAFT_IO_REQUEST_VOTE: {
        auto& a = m.request_vote;
        a.term = w.term(), a.candidate_id = w.a(), a.last_log_index = w.b(), a.last_log_term = w.c();
        a.disrupt_leader = w.flag(), a.pre_vote = w.tri() != 0;
        break;
      }
      case RAFT_IO_REQUEST_VOTE_RESULT: {
        auto& a = m.request_vote_result;
        a.term = w.term(), a.vote_granted = w.flag();
        a.pre_vote = w.tri() == raft_tribool_true    ? raft_tribool_true
                     : w.tri() == raft_tribool_false ? raft_tribool_false
                                                     : raft_tribool_unknown;
        break;
      }
      case RAFT_IO_INSTALL_SNAPSHOT: {
        auto& a = m.install_snapshot;
        a.term = w.term(), a.last_index = w.a(), a.last_term = w.b(), a.conf_index = w.c();
        proved = a.last_index;
        raft_configuration_init(&a.conf);
        if (!decode_into(w.conf(), a.conf)) {
          raft_configuration_close(&a.conf);
          return;
        }
        a.data = buffer_of(w.data());
        break;
      }
      case RAFT_IO_TIMEOUT_NOW:
        m.timeout_now.term = w.term(), m.timeout_now.last_log_index = w.a();
        m.timeout_now.last_log_term = w.b();
        break;
      default:
        return;
    }
    recv_cb(&io, &m);
  }

  void settle() {
    for (int rounds = 0; !ends.empty() && rounds < 10000; ++rounds) {
      const auto what = std::move(ends.front());
      ends.pop_front();
      what();
    }
    if (failed || closed) return;
    const bool leads = raft_state(&r) == RAFT_LEADER;
    if (leads && barrier_term != r.current_term) {
      // Danger: a new leader does not know yet what was committed before its term; leases that it granted
      // from an older book would contradict what others act on.
      barrier_term = r.current_term;
      auto* b = new Barrier{{}, this, r.current_term};
      b->request.data = b;
      if (raft_barrier(&r, &b->request, [](struct raft_barrier* req, int status) {
            const std::unique_ptr<Barrier> mine(static_cast<Barrier*>(req->data));
            if (status == 0) mine->impl->lead_term = mine->term;
          }) != 0) {
        delete b;
        barrier_term = 0;
      } else {
        settle();
      }
    }
  }
};

Engine::Engine(const EngineTerms& terms, const std::string& name, Store& store, std::uint64_t seed,
               Applied applied, std::shared_ptr<const ReplicatedStateMachine> board)
    : impl_(std::make_unique<Impl>(terms, name, store, seed, std::move(applied), std::move(board))) {
  Impl& m = *impl_;
  m.set_up();
  if (raft_init(&m.r, &m.io, &m.fsm, store.loaded().voter_id,
                address_of(name, store.loaded().voter_id).c_str()) != 0) {
    m.failed = m.closed = true;
    return;
  }
  raft_set_election_timeout(&m.r, static_cast<unsigned>(terms.election / kMs));
  raft_set_heartbeat_timeout(&m.r, static_cast<unsigned>(terms.heartbeat / kMs));
  raft_set_snapshot_threshold(&m.r, terms.snapshot_after);
  raft_set_snapshot_trailing(&m.r, terms.snapshot_keeps);
  raft_set_pre_vote(&m.r, true);
}

Engine::~Engine() {
  Impl& m = *impl_;
  if (m.closed) return;
  m.closed = true;
  m.applied = {};
  raft_close(&m.r, nullptr);
  m.settle();
}

bool Engine::start(Time now) {
  Impl& m = *impl_;
  if (m.failed) return false;
  m.now = now;
  if (raft_start(&m.r) != 0) return m.fail(), false;
  m.started = true;
  m.settle();
  return !m.failed;
}

void Engine::tick(Time now) {
  Impl& m = *impl_;
  if (!m.started || m.failed) return;
  m.now = now;
  m.tick_cb(&m.io);
  m.settle();
}

void Engine::received(Time now, const std::string& from, const accord::wire::Raft& w) {
  Impl& m = *impl_;
  if (!m.started || m.failed) return;
  m.now = now;
  // Danger: meant for the store that this broker had before it lost it.
  if (w.to() != m.r.id) return;
  m.receive(from, w);
  m.settle();
}

std::optional<Engine::Outgoing> Engine::send() {
  Impl& m = *impl_;
  if (m.out.empty()) return std::nullopt;
  auto o = std::move(m.out.front());
  m.out.pop_front();
  return o;
}

void Engine::turn(Time now) {
  impl_->now = now;
  impl_->settle();
}

bool Engine::propose(Time now, const ConfigEntry& entry, Done done) {
  Impl& m = *impl_;
  m.now = now;
  if (!leads()) return false;
  auto* a = new Impl::Apply{{}, std::move(done)};
  a->request.data = a;
  const raft_buffer b = buffer_of(encode(entry));
  const int status = raft_apply(&m.r, &a->request, &b, 1, [](struct raft_apply* req, int how, void* result) {
    const std::unique_ptr<Impl::Apply> mine(static_cast<Impl::Apply*>(req->data));
    if (!mine->done) return;
    if (how == 0 && result)
      mine->done(*static_cast<ApplyResult*>(result));
    else
      mine->done(std::nullopt);
  });
  if (status != 0) {
    raft_free(b.base);
    delete a;
    return false;
  }
  m.settle();
  return true;
}

bool Engine::add_voter(Time now, std::uint64_t id, const std::string& name) {
  Impl& m = *impl_;
  m.now = now;
  if (!leads() || m.change_out) return false;
  auto* c = new Impl::Change{{}, &m};
  const raft_configuration& conf = m.r.configuration;
  bool spare = false;
  for (unsigned k = 0; k < conf.n; ++k) spare = spare || conf.servers[k].id == id;
  c->request.data = c;
  // A spare first, then a voter once it has caught up: the second step follows from the first one's end.
  static const raft_change_cb done = [](struct raft_change* req, int) {
    const std::unique_ptr<Impl::Change> mine(static_cast<Impl::Change*>(req->data));
    mine->impl->change_out = false;
  };
  const int status = spare ? raft_assign(&m.r, &c->request, id, RAFT_VOTER, done)
                           : raft_add(&m.r, &c->request, id, address_of(name, id).c_str(), done);
  if (status != 0) return delete c, false;
  m.change_out = true;
  m.settle();
  return true;
}

bool Engine::remove_voter(Time now, std::uint64_t id) {
  Impl& m = *impl_;
  m.now = now;
  if (!leads() || m.change_out) return false;
  auto* c = new Impl::Change{{}, &m};
  c->request.data = c;
  const int status = raft_remove(&m.r, &c->request, id, [](struct raft_change* req, int) {
    const std::unique_ptr<Impl::Change> mine(static_cast<Impl::Change*>(req->data));
    mine->impl->change_out = false;
  });
  if (status != 0) return delete c, false;
  m.change_out = true;
  m.settle();
  return true;
}

bool Engine::changing() const { return impl_->change_out; }

bool Engine::hand_over(Time now) {
  Impl& m = *impl_;
  m.now = now;
  if (!m.started || m.failed || raft_state(&m.r) != RAFT_LEADER || m.r.transfer) return false;
  using Transfer = struct raft_transfer;
  auto* t = new Transfer{};
  if (raft_transfer(&m.r, t, 0, [](Transfer* req) { delete req; }) != 0) return delete t, false;
  m.settle();
  return true;
}

bool Engine::broken() const { return impl_->failed; }
bool Engine::leads() const {
  Impl& m = *impl_;
  return m.started && !m.failed && raft_state(&m.r) == RAFT_LEADER && m.lead_term == m.r.current_term;
}
std::uint64_t Engine::term() const { return impl_->r.current_term; }
std::string Engine::leader() const {
  raft_id id = 0;
  const char* address = nullptr;
  if (impl_->started && !impl_->failed) raft_leader(&impl_->r, &id, &address);
  return name_in(address);
}
std::uint64_t Engine::id() const { return impl_->r.id; }
std::vector<Voter> Engine::voters() const {
  std::vector<Voter> all;
  const raft_configuration& c = impl_->r.configuration;
  for (unsigned k = 0; k < c.n; ++k)
    all.push_back({c.servers[k].id, name_in(c.servers[k].address), c.servers[k].role == RAFT_VOTER});
  return all;
}
std::set<std::string> Engine::voting() const {
  std::set<std::string> names;
  for (const Voter& v : voters())
    if (v.votes) names.insert(v.name);
  return names;
}
const VersionHistory& Engine::versions() const { return impl_->versions; }
std::uint64_t Engine::applied_index() const { return impl_->r.last_applied; }

namespace {

std::string configuration_of(const std::vector<Voter>& voters) {
  raft_configuration c;
  raft_configuration_init(&c);
  std::string bytes;
  bool good = true;
  for (const Voter& v : voters)
    good = good && raft_configuration_add(&c, v.id, address_of(v.name, v.id).c_str(),
                                          v.votes ? RAFT_VOTER : RAFT_SPARE) == 0;
  raft_buffer b{};
  if (good && raft_configuration_encode(&c, &b) == 0) {
    bytes = bytes_of(b);
    raft_free(b.base);
  }
  raft_configuration_close(&c);
  return bytes;
}

}  // namespace

bool Engine::bootstrap(Store& store, const std::vector<Voter>& voters) {
  const std::string bytes = configuration_of(voters);
  return !bytes.empty() && store.loaded().entries.empty() && store.loaded().term == 0 && store.set_term(1) &&
         store.append(1, {{1, RAFT_CHANGE, bytes}});
}

bool Engine::force_voters(Store& store, const std::vector<Voter>& voters) {
  const std::string bytes = configuration_of(voters);
  const Stored& had = store.loaded();
  return !bytes.empty() && had.term > 0 &&
         store.append(had.first + had.entries.size(), {{had.term, RAFT_CHANGE, bytes}});
}

}  // namespace cairnhub::shared_config

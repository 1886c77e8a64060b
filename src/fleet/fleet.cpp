#include "fleet/fleet.h"

#include <sodium.h>
#include <time.h>

#include <algorithm>
#include <fstream>
#include <iterator>

#include "accord.pb.h"
#include "base/clock.h"
#include "base/log.h"
#include "peers/codec.h"

namespace cairnhub::fleet {

namespace {

// What a message between brokers is, by its first byte.
constexpr char kPeers = 'P', kAccord = 'A';
// A drain heard goes on to so many at once, and each of them that did not know tells as many. Told so, a
// share c of all hears of it with c = 1 - exp(-4 c), 0.98 (Kermack and McKendrick); digests on pings tell the
// rest.
constexpr int kTellOn = 4;
constexpr std::size_t kNoticesAMessage = 24;
constexpr Time kAskListsEvery = kSecond / 4, kAskAgentEvery = kSecond;
// A list that is behind for so long isn't just on its way.
constexpr Time kBehindFor = 3 * kSecond / 10;

peers::Terms peer_terms(const options::Fleet& o) {
  peers::Terms t;
  t.interval = o.probe, t.answer_within = o.answer_within;
  t.retry_dead = std::min<Time>(kSecond, 2 * o.probe);
  t.exchange_every = 4 * o.probe;
  return t;
}

accord::Terms accord_terms(const options::Accord& o) {
  accord::Terms t;
  t.lease.stated = o.stated, t.lease.drift = o.drift;
  t.voters = o.voters;
  t.replace_after = o.replace_after;
  // Elections take a small share of the stated time; under it the first commits after one fit as well.
  const Time ms = kSecond / 1000;
  t.engine.election = std::clamp<Time>(o.stated / 8, 60 * ms, 300 * ms);
  t.engine.heartbeat = t.engine.election / 5;
  t.engine.tick = std::max<Time>(5 * ms, t.engine.election / 15);
  return t;
}

std::uint64_t monotonic() {
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return static_cast<std::uint64_t>(t.tv_sec) * 1'000'000'000u + static_cast<std::uint64_t>(t.tv_nsec);
}

const char* name_of(NodeState s) {
  return s == NodeState::ready ? "ready" : s == NodeState::draining ? "draining" : "gone";
}

accord::Rules ground_of(const options::Accord& o) {
  if (o.ground_file.empty()) return {};
  std::ifstream in(o.ground_file, std::ios::binary);
  if (!in) throw std::runtime_error(o.ground_file + ": can't be read");
  return accord::parse_rules({std::istreambuf_iterator<char>(in), {}}, o.ground_file);
}

}  // namespace

Fleet::Fleet(event_base* base, const options::Fleet& o, const settings::Settings& settings,
             std::uint64_t seed)
    : options_(o),
      peers_(peer_terms(o), o.name, o.advertise, seed),
      talk_(base, o.listen, o.name, talk::read_keys(o.key_file),
            [this](const std::string& from, std::string_view body) { heard(from, body); }),
      wake_(base, [this] { woken(); }) {
  for (const auto& named : settings::op_types(settings)) op_types_.push_back(named.name);
  if (!o.records.empty()) records_ = std::make_unique<Records>(o.records, o.name);
  for (const auto& p : o.peers) peers_.state(p.name, p.address);
  if (o.accord) {
    accord::Rules ground = ground_of(*o.accord);
    if (!o.accord->folder.empty()) {
      std::string aside;
      std::uint64_t id;
      randombytes_buf(&id, sizeof id);
      store_ = accord::Kept::open(o.accord->folder, id >> 1 | 1, &aside);
      if (!aside.empty()) {
        log("accord", "the store was damaged and is set aside as %s; this broker joins anew", aside.c_str());
        if (records_) records_->say("set_aside").with("as", aside);
      }
    }
    accord_ = std::make_unique<accord::Accord>(accord_terms(*o.accord), o.name, store_.get(),
                                               std::move(ground), seed + 1);
    std::string text;
    std::uint64_t number = 0;
    if (store_ && store_->ground(text, number)) {
      accord::Version kept;
      kept.number = kept_ground_ = number, kept.text = text, kept.hash = accord::hash_of(text);
      kept.rules = std::make_shared<const accord::Rules>(accord::parse_rules(text, "kept ground"));
      accord_->keep_ground(kept);
    }
    accord_->applied = [this](const accord::Entry& e, const accord::Verdict& v) {
      if (!records_) return;
      records_->say("applied")
          .with("kind", static_cast<std::uint64_t>(e.kind))
          .with("number", v.number)
          .with("id", e.id)
          .with("index", accord_ && accord_->engine() ? accord_->engine()->applied_index() : 0)
          .with("refused", v.refused);
    };
    applied_ = accord_->acting(now());
  } else {
    auto none = std::make_shared<accord::Acting>();
    none->rules = std::make_shared<const accord::Rules>();
    applied_ = std::move(none);
  }
  limits_.resize(op_types_.size());
}

Fleet::~Fleet() = default;

void Fleet::start() {
  started_at_ = now();
  if (records_) records_->say("starts").with("address", options_.advertise);
  peers_.start(started_at_);
  if (accord_) accord_->start(started_at_);
  pump();
}

bool Fleet::ready() {
  return !accord_ || accord_->ever_answered() || now() - started_at_ >= options_.accord->start_wait;
}

void Fleet::attach(std::function<void()> changed, std::function<void()> ask_agent) {
  changed_ = std::move(changed), ask_agent_ = std::move(ask_agent);
}

void Fleet::change_keys() {
  try {
    talk_.change(talk::read_keys(options_.key_file));
    log("fleet", "keys read anew");
  } catch (const std::exception& e) {
    log("fleet", "the old keys stay: %s", e.what());
  }
}

void Fleet::leave() {
  if (left_) return;
  left_ = true;
  if (accord_) accord_->leave(now());
  if (records_) records_->say("leaves").with("low", std::uint64_t{0});
  pump();
  peers_.leave(now());
  pump();
}

void Fleet::heard(const std::string& from, std::string_view body) {
  if (body.empty() || left_) return;
  const char kind = body.front();
  body.remove_prefix(1);
  if (kind == kPeers) {
    const auto m = peers::decode(body);
    if (!m) return;
    peers_.received(now(), from, *m);
    if (!m->cargo.empty()) heard_lists(from, m->cargo);
  } else if (kind == kAccord && accord_) {
    accord::wire::Packet p;
    if (p.ParseFromArray(body.data(), static_cast<int>(body.size()))) accord_->received(now(), from, p);
  }
  pump();
}

std::string Fleet::lists_digest() const {
  accord::wire::Lists l;
  l.set_newest(hearsay_.newest());
  l.set_digest(hearsay_.digest());
  return l.SerializeAsString();
}

void Fleet::heard_lists(const std::string& from, const std::string& cargo) {
  if (!options_.share_lists) return;
  accord::wire::Lists l;
  if (!l.ParseFromString(cargo)) return;
  hearsay_.heard_of(l.newest());
  for (const auto& n : l.notice()) {
    if (n.node().empty() || n.node().size() > 128) continue;
    const accord::Notice notice{n.node(), n.started(), n.gone(), n.revision()};
    if (!hearsay_.heard(notice)) continue;
    ++hearsay_now_;
    if (!records_) continue;
    told_.insert(notice.node);
    records_->say("heard")
        .with("node", notice.node)
        .with("state", notice.gone ? "gone" : "draining")
        .with("revision", notice.revision)
        .with("from", from);
  }
  if (l.ask()) tell_lists(hearsay_.all(), from);
  // Another holds notices that differ: ask for all of them, now and then.
  if (!l.ask() && l.has_digest() && l.digest() != hearsay_.digest() &&
      now() - asked_lists_at_ >= kAskListsEvery) {
    asked_lists_at_ = now();
    accord::wire::Lists ask;
    ask.set_newest(hearsay_.newest());
    ask.set_ask(true);
    peers_.push_to(from, ask.SerializeAsString());
  }
}

// `to` empty: a few, at random.
void Fleet::tell_lists(const std::vector<accord::Notice>& notices, const std::string& to) {
  for (std::size_t at = 0; at < notices.size(); at += kNoticesAMessage) {
    accord::wire::Lists l;
    l.set_newest(hearsay_.newest());
    for (std::size_t i = at; i < std::min(at + kNoticesAMessage, notices.size()); ++i) {
      auto* n = l.add_notice();
      n->set_node(notices[i].node), n->set_started(notices[i].started);
      n->set_gone(notices[i].gone), n->set_revision(notices[i].revision);
    }
    if (to.empty())
      peers_.push(kTellOn, l.SerializeAsString());
    else
      peers_.push_to(to, l.SerializeAsString());
  }
}

void Fleet::send_accord(const std::string& to, const std::string& bytes) {
  const auto& all = peers_.members();
  const auto it = all.find(to);
  if (it != all.end()) talk_.send(to, it->second.address(), kAccord + bytes);
}

// Sends what the packages have to say, and follows what changed, until nothing is left.
void Fleet::pump(bool may_turn) {
  if (pumping_) return;
  pumping_ = true;
  const Time at = now();
  if (options_.share_lists && !in_list_)
    if (const auto news = hearsay_.news(); !news.empty()) tell_lists(news, "");
  while (auto m = peers_.send()) {
    if (m->message.cargo.empty() && options_.share_lists) m->message.cargo = lists_digest();
    talk_.send(m->to, m->address, kPeers + peers::encode(m->message));
  }
  while (auto c = peers_.changed()) {
    log("peers", "%s is %s", c->name.c_str(), peers::name_of(c->to));
    if (records_)
      records_->say("peer")
          .with("name", c->name)
          .with("from", peers::name_of(c->from))
          .with("to", peers::name_of(c->to));
    if (accord_) accord_->peer(at, c->name, c->to == peers::Health::alive || c->to == peers::Health::suspect);
  }
  if (accord_) {
    while (auto o = accord_->send()) send_accord(o->to, o->bytes);
    note_lease();
    const auto& ground = accord_->holder().ground();
    if (ground.number > kept_ground_ && !accord_->holder().ground_next()) {
      kept_ground_ = ground.number;
      if (store_) store_->keep_ground(ground.text, ground.number);
      if (records_) records_->say("keeps").with("ground", ground.number);
    }
  }
  // Danger: the agent's answer may be what is being read; to ask anew would free its connection under it.
  if (may_turn) look_behind();
  Time next = peers_.wake();
  if (accord_) {
    next = std::min(next, accord_->wake());
    if (accord_->holder().until() > at) next = std::min(next, accord_->holder().until());
  }
  if (behind_since_ != kNever)
    next = std::min(next, std::max(behind_since_ + kBehindFor, asked_agent_at_ + kAskAgentEvery));
  if (next != kNever) wake_.start(std::max<Time>(0, next - now()));
  const bool news = !in_list_ && changed_ &&
                    (hearsay_seen_ != hearsay_now_ || (accord_ && accord_->acting(now()) != applied_));
  pumping_ = false;
  if (news && may_turn) changed_();
}

void Fleet::woken() {
  const Time at = now();
  peers_.woken(at);
  if (accord_) accord_->woken(at);
  pump();
}

// For the auditor: from when until when this broker may act on what.
void Fleet::note_lease() {
  if (!records_) return;
  const Time at = now(), until = accord_->holder().until();
  const auto& acting = accord_->acting(at);
  if (acting->low == 0) {
    if (noted_low_ != 0) records_->say("ground").with("ground", acting->ground);
    noted_low_ = noted_high_ = 0;
    return;
  }
  if (until == noted_until_ && acting->low == noted_low_ && acting->high == noted_high_) return;
  noted_until_ = until, noted_low_ = acting->low, noted_high_ = acting->high;
  records_->say("lease")
      .with("low", acting->low)
      .with("high", acting->high)
      .with("until", monotonic() + static_cast<std::uint64_t>(until - at));
}

void Fleet::look_behind() {
  const Time at = now();
  if (!hearsay_.behind() || hearsay_.own() == 0) {
    behind_since_ = kNever;
    return;
  }
  if (behind_since_ == kNever) behind_since_ = at;
  if (at - behind_since_ < kBehindFor || at - asked_agent_at_ < kAskAgentEvery || !ask_agent_) return;
  asked_agent_at_ = at;
  log("fleet", "the list in hand, revision %llu, is behind %llu that others hold: the agent is asked anew",
      static_cast<unsigned long long>(hearsay_.own()), static_cast<unsigned long long>(hearsay_.newest()));
  if (records_) records_->say("behind").with("own", hearsay_.own()).with("newest", hearsay_.newest());
  ask_agent_();
}

bool Fleet::changed() {
  const bool heard = hearsay_seen_ != hearsay_now_;
  hearsay_seen_ = hearsay_now_;
  if (!accord_) return heard;
  const auto& acting = accord_->acting(now());
  if (acting == applied_) return heard;
  applied_ = acting;
  for (std::size_t i = 0; i < op_types_.size(); ++i) {
    const auto& r = applied_->rules->of(op_types_[i]);
    limits_[i] = {r.served, r.time_most, r.held_most};
  }
  if (records_)
    records_->say("acts")
        .with("low", applied_->low)
        .with("high", applied_->high)
        .with("ground", applied_->ground)
        .with("hash", accord::hash_of(accord::text_of(*applied_->rules)));
  return true;
}

const broker::OpLimits& Fleet::limits(int op_type) const {
  return limits_.at(static_cast<std::size_t>(op_type));
}
bool Fleet::two_phase(int op_type) const {
  return applied_->rules->two_phase_off.count(op_types_.at(static_cast<std::size_t>(op_type))) == 0;
}
bool Fleet::index(const std::string& name) const { return applied_->rules->index_off.count(name) == 0; }

bool Fleet::withheld(const std::string& node, Time started) const {
  return (options_.share_lists && hearsay_.withheld(node, started)) ||
         applied_->rules->withheld.count(node) != 0;
}

void Fleet::list_begins(std::uint64_t revision, bool whole) {
  in_list_ = true;
  if (records_) records_->say("list").with("revision", revision).with("whole", whole);
  hearsay_.begins(revision, whole);
}
void Fleet::list_node(const std::string& node, Time started, NodeState state) {
  hearsay_.node(node, started, state == NodeState::ready, state == NodeState::gone);
  if (!records_) return;
  if (state != NodeState::ready) {
    records_->say("told").with("node", node).with("state", name_of(state));
    told_.insert(node);
  } else if (!hearsay_.withheld(node, started) && told_.erase(node)) {
    records_->say("ready").with("node", node);
  }
}
void Fleet::list_ends() {
  hearsay_.ends();
  in_list_ = false;
  // Danger: a turn now would act on the list in hand, of which hearsay no longer withholds anything, before
  // the new one has reached the decider. Whoever takes the list follows what changed, and turns, once it is
  // in.
  pump(false);
}
void Fleet::list_anew() { hearsay_.anew(); }

void Fleet::propose(accord::Entry entry, accord::Accord::Done done) {
  if (!accord_) return done(std::nullopt);
  accord_->propose(now(), std::move(entry), std::move(done));
  pump();
}

}  // namespace cairnhub::fleet

#include "cluster/cluster_node.h"

#include <sodium.h>

#include <algorithm>
#include <fstream>
#include <iterator>

#include "base/clock.h"
#include "base/log.h"
#include "dispatch/request.h"
#include "membership/message_codec.h"
#include "shared_config.pb.h"
#include "zone_failover/zone_report.h"

namespace cairnhub::cluster {

namespace {

// What a message between brokers is, by its first byte.
constexpr char kPeers = 'P', kAccord = 'A', kZones = 'Z', kWorks = 'U';
// A drain heard goes on to so many at once, and each of them that did not know tells as many. Told so, a
// share c of all hears of it with c = 1 - exp(-4 c), 0.98 (Kermack and McKendrick); digests on pings tell the
// rest.
constexpr int kTellOn = 4;
constexpr std::size_t kNoticesAMessage = 24;
constexpr Time kAskListsEvery = kSecond / 4, kAskAgentEvery = kSecond;
// A list that is behind for so long isn't just on its way.
constexpr Time kBehindFor = 3 * kSecond / 10;

membership::MembershipOptions membership_options(const options::Fleet& o) {
  membership::MembershipOptions result;
  result.probe_interval = o.probe;
  result.probe_timeout = o.answer_within;
  result.ping_resend_interval = o.answer_within / 4;
  result.dead_member_retry_interval = std::min<Time>(kSecond, 2 * o.probe);
  result.min_full_sync_interval = 4 * o.probe;
  return result;
}

shared_config::Terms accord_terms(const options::Accord& o) {
  shared_config::Terms t;
  t.lease.stated = o.stated, t.lease.drift = o.drift;
  t.voters = o.voters;
  t.life = randombytes_random();
  t.replace_after = o.replace_after;
  // Elections take a small share of the stated time; under it the first commits after one fit as well.
  const Time ms = kSecond / 1000;
  t.engine.election_timeout = std::clamp<Time>(o.stated / 8, 60 * ms, 300 * ms);
  t.engine.heartbeat_interval = t.engine.election_timeout / 5;
  t.engine.tick_interval = std::max<Time>(5 * ms, t.engine.election_timeout / 15);
  return t;
}

// An op type crosses between regions only where its budget bears it: a first send, and another after it.
constexpr int kRoundTripsInBudget = 4;
// Parts in the window of an account that tell something.
constexpr double kFewParts = 5;

zone_failover::ZoneFailoverOptions zone_terms(const options::Zones& o) {
  zone_failover::ZoneFailoverOptions t;
  t.home_zone = o.home;
  for (const auto& z : o.zones) t.zones.push_back({z.name, z.region, z.host_parts_a_second});
  t.zone_failover.confirmation_time = o.confirm, t.zone_failover.min_dwell = o.dwell,
  t.zone_failover.max_dwell = 16 * o.dwell, t.zone_failover.step_interval = o.step;
  t.region_failover = t.zone_failover;
  t.region_failover.confirmation_time = o.region_confirm, t.region_failover.min_dwell = o.region_dwell,
  t.region_failover.max_dwell = 16 * o.region_dwell;
  t.traffic_split.headroom_share = o.headroom, t.traffic_split.min_share_thousandths = o.ground_share;
  // What is confirmed must rest on several reports.
  t.report_interval = std::max<Time>(o.confirm / 4, kSecond / 20);
  t.load_window = 2 * t.report_interval, t.health.max_report_age = 3 * t.report_interval;
  t.health.min_attempts_per_second = kFewParts / seconds(t.load_window);
  t.increase_delay = o.dwell;
  t.local_queue_advantage = o.near_step, t.exploration_share = o.look_around;
  return t;
}

const char* name_of(EndpointState s) {
  return s == EndpointState::kReady ? "ready" : s == EndpointState::kDraining ? "draining" : "gone";
}

shared_config::Rules ground_of(const options::Accord& o) {
  if (o.ground_file.empty()) return {};
  std::ifstream in(o.ground_file, std::ios::binary);
  if (!in) throw std::runtime_error(o.ground_file + ": can't be read");
  return shared_config::parse_rules({std::istreambuf_iterator<char>(in), {}}, o.ground_file);
}

}  // namespace

Fleet::Fleet(event_base* base, const options::Fleet& o, const settings::Settings& settings,
             std::uint64_t seed)
    : options_(o),
      peers_(membership_options(o), o.name, o.advertise, seed),
      transport_(base, o.listen, o.name, transport::read_keys(o.key_file),
                 [this](const std::string& from, std::string_view body) { heard(from, body); }),
      wake_(base, [this] { woken(); }) {
  for (const auto& named : settings::op_types(settings)) op_types_.push_back(named.name);
  if (!o.records.empty()) event_log_ = std::make_unique<EventLog>(o.records, o.name);
  for (const auto& p : o.peers) peers_.add_configured_member(p.name, p.address);
  if (o.accord) {
    shared_config::Rules ground = ground_of(*o.accord);
    if (!o.accord->folder.empty()) {
      std::string aside;
      std::uint64_t id;
      randombytes_buf(&id, sizeof id);
      store_ = shared_config::SqliteStore::open(o.accord->folder, id >> 1 | 1, &aside);
      if (!aside.empty()) {
        log("accord", "the store was damaged and is set aside as %s; this broker joins anew", aside.c_str());
        if (event_log_) event_log_->record_event("set_aside").with("as", aside);
      }
    }
    accord_ = std::make_unique<shared_config::Accord>(accord_terms(*o.accord), o.name, store_.get(),
                                                      std::move(ground), seed + 1,
                                                      std::make_shared<maintenance::JobQueue>());
    std::string text;
    std::uint64_t number = 0;
    if (store_ && store_->baseline(text, number)) {
      shared_config::Version kept;
      kept.number = kept_ground_ = number, kept.text = text, kept.hash = shared_config::hash_of(text);
      kept.rules =
          std::make_shared<const shared_config::Rules>(shared_config::parse_rules(text, "kept ground"));
      accord_->keep_ground(kept);
    }
    accord_->applied = [this](const shared_config::Entry& e, const shared_config::Verdict& v) {
      if (!event_log_) return;
      event_log_->record_event("applied")
          .with("kind", static_cast<std::uint64_t>(e.kind))
          .with("number", v.number)
          .with("id", e.id)
          .with("index", accord_ && accord_->engine() ? accord_->engine()->applied_index() : 0)
          .with("refused", v.refused);
      if (works_ && e.kind == shared_config::Entry::Kind::board) works_->applied();
    };
    applied_ = accord_->acting(now());
  } else {
    auto none = std::make_shared<shared_config::Acting>();
    none->rules = std::make_shared<const shared_config::Rules>();
    applied_ = std::move(none);
  }
  limits_.resize(op_types_.size());
  stays_in_region_.resize(op_types_.size());
  warm_after_ = settings.span("rules.cold", 0), cold_from_ = settings.number("rules.cold-from", 1);
  cells_ = settings.whole("family-info.positions"), width_ = settings.whole("family-info.width");
  if (o.zones) begin_zones(*o.zones, settings);
  if (o.upkeep)
    works_ = std::make_unique<Works>(
        base, options_, settings, *accord_, peers_, zones_.get(), event_log_.get(),
        [this](const std::string& to, const std::string& bytes) { send_to(to, kWorks + bytes); });
}

void Fleet::begin_zones(const options::Zones& o, const settings::Settings& settings) {
  zones_ = std::make_unique<zone_failover::ZoneFailover>(zone_terms(o), options_.name);
  const auto ops = settings::op_types(settings);
  for (const auto& named : ops) needs_.push_back(named.op.required_share);
  for (std::size_t i = 0; i < ops.size(); ++i)
    stays_in_region_[i] = std::count(o.stay_in_region.begin(), o.stay_in_region.end(), ops[i].name) > 0 ||
                          ops[i].op.latency_objective < kRoundTripsInBudget * o.region_round_trip;
  if (!accord_) alone_ = std::make_unique<shared_config::Versions>();
  crossing_ = std::make_unique<zone_failover::CrossZoneBudget>(o.crossing_saved, ops.size());
  crossing_stated_.assign(ops.size(), zone_failover::kNoBudget);
  for (const auto& [name, most] : o.crossing)
    for (std::size_t i = 0; i < ops.size(); ++i)
      if (ops[i].name == name) crossing_stated_[i] = static_cast<double>(most);
  limit_crossing();
  take_zones();
}

Fleet::~Fleet() = default;

void Fleet::start() {
  started_at_ = now();
  if (event_log_) event_log_->record_event("starts").with("address", options_.advertise);
  peers_.start(started_at_);
  if (accord_) accord_->start(started_at_);
  pump();
}

bool Fleet::ready() {
  return !accord_ || accord_->ever_answered() || now() - started_at_ >= options_.accord->start_wait;
}

void Fleet::change_keys() {
  try {
    transport_.rotate_keys(transport::read_keys(options_.key_file));
    log("fleet", "keys read anew");
  } catch (const std::exception& e) {
    log("fleet", "the old keys stay: %s", e.what());
  }
}

void Fleet::leave() {
  if (left_) return;
  left_ = true;
  if (accord_) accord_->leave(now());
  if (event_log_) event_log_->record_event("leaves").with("low", std::uint64_t{0});
  pump();
}

// Danger: a machine is handed over for work once its brokers are gone; one that said so as it began to finish
// what it has in hand would lose that with the machine.
void Fleet::gone() {
  if (event_log_) event_log_->record_event("gone");
  peers_.leave();
  pump();
}

void Fleet::heard(const std::string& from, std::string_view body) {
  if (body.empty() || (left_ && body.front() != kPeers)) return;
  const char kind = body.front();
  body.remove_prefix(1);
  if (kind == kPeers) {
    const auto m = membership::decode(body);
    if (!m) return;
    peers_.receive(now(), from, *m);
    if (!m->payload.empty()) heard_lists(from, m->payload);
  } else if (kind == kAccord && accord_) {
    accord::wire::Packet p;
    if (p.ParseFromArray(body.data(), static_cast<int>(body.size()))) accord_->received(now(), from, p);
  } else if (kind == kWorks && works_) {
    works_->heard(now(), program_, from, body);
  } else if (kind == kZones && zones_) {
    if (auto r = zone_failover::decode(body)) zones_->add_report(now(), from, std::move(*r));
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
    const shared_config::Notice notice{n.node(), n.started(), n.gone(), n.revision()};
    if (!hearsay_.heard(notice)) continue;
    ++hearsay_now_;
    if (!event_log_) continue;
    told_.insert(notice.node);
    event_log_->record_event("heard")
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
    peers_.send_payload(from, ask.SerializeAsString());
  }
}

// `to` empty: a few, at random.
void Fleet::tell_lists(const std::vector<shared_config::Notice>& notices, const std::string& to) {
  for (std::size_t at = 0; at < notices.size(); at += kNoticesAMessage) {
    accord::wire::Lists l;
    l.set_newest(hearsay_.newest());
    for (std::size_t i = at; i < std::min(at + kNoticesAMessage, notices.size()); ++i) {
      auto* n = l.add_notice();
      n->set_node(notices[i].node), n->set_started(notices[i].started);
      n->set_gone(notices[i].gone), n->set_revision(notices[i].revision);
    }
    if (to.empty())
      peers_.send_payload_to_random_members(kTellOn, l.SerializeAsString());
    else
      peers_.send_payload(to, l.SerializeAsString());
  }
}

void Fleet::send_to(const std::string& to, const std::string& bytes) {
  if (const auto* member = peers_.members().find(to)) transport_.send(to, member->address(), bytes);
}

// Sends what the packages have to say, and follows what changed, until nothing is left.
void Fleet::pump(bool may_turn) {
  if (pumping_) return;
  pumping_ = true;
  const Time at = now();
  if (options_.share_lists && !in_list_)
    if (const auto news = hearsay_.news(); !news.empty()) tell_lists(news, "");
  while (auto m = peers_.take_outgoing()) {
    if (m->message.payload.empty() && options_.share_lists) m->message.payload = lists_digest();
    transport_.send(m->to, m->address, kPeers + membership::encode(m->message));
  }
  while (auto c = peers_.take_state_change()) {
    log("peers", "%s is %s", c->name.c_str(), membership::name_of(c->to));
    if (event_log_)
      event_log_->record_event("peer")
          .with("name", c->name)
          .with("from", membership::name_of(c->from))
          .with("to", membership::name_of(c->to));
    if (zones_ && !membership::is_live(c->to)) zones_->remove_broker(c->name);
    if (works_ && !membership::is_live(c->to)) works_->gone(c->name);
    if (accord_) accord_->peer(at, c->name, membership::is_live(c->to));
  }
  while (auto name = peers_.take_forgotten_member()) transport_.forget_peer(*name);
  if (accord_) {
    if (zones_) turn_zones();
    if (works_) works_->turn(at, program_, *applied_, listed_, hearsay_.own());
    keep_ground();
    note_lease();  // before others are told of it: what they do on that must not stand earlier in the events
    while (auto o = accord_->send()) send_to(o->to, kAccord + o->bytes);
  } else if (zones_) {
    turn_alone();
  }
  // Danger: the agent's answer may be what is being read; to ask anew would free its connection under it.
  if (may_turn) look_behind();
  Time next = peers_.next_timer();
  if (accord_) {
    next = std::min(next, accord_->wake());
    if (accord_->holder().until() > at) next = std::min(next, accord_->holder().until());
  }
  if (zones_) next = std::min(next, std::max(zones_->next_report_at(), at + 1));
  if (works_) next = std::min(next, std::max(works_->wake(), at + 1));
  if (behind_since_ != kNever)
    next = std::min(next, std::max(behind_since_ + kBehindFor, asked_agent_at_ + kAskAgentEvery));
  if (next != kNever) wake_.start(std::max<Time>(0, next - now()));
  const bool news = !in_list_ && program_.changed &&
                    (hearsay_seen_ != hearsay_now_ || (accord_ && accord_->acting(now()) != applied_));
  pumping_ = false;
  if (news && may_turn) program_.changed();
}

void Fleet::woken() {
  const Time at = now();
  peers_.handle_timers(at);
  if (accord_) accord_->woken(at);
  pump();
}

// Before anything is said to others. Danger: a broker that has told the leader that it keeps to the next
// ground, and starts anew from a folder that holds the last one alone, would act on more than the versions
// allow that were made since. What it keeps to while the next one waits, the meet of both, goes by the older
// one's number: it then asks for both again.
void Fleet::keep_ground() {
  const auto& holder = accord_->holder();
  const auto& ground = holder.ground();
  const std::uint64_t next = holder.ground_next() ? holder.ground_next()->number : 0;
  if (ground.number == kept_ground_ && next == kept_next_) return;
  const bool newer = ground.number > kept_ground_ && !next;
  kept_ground_ = std::max(kept_ground_, ground.number), kept_next_ = next;
  if (store_) store_->save_baseline(shared_config::text_of(holder.grounded()), ground.number);
  if (newer && event_log_) event_log_->record_event("keeps").with("ground", ground.number);
}

// For the auditor: from when until when this broker may act on what.
void Fleet::note_lease() {
  if (!event_log_) return;
  const Time at = now(), until = accord_->holder().until();
  const auto& acting = accord_->acting(at);
  if (acting->low == 0) {
    if (noted_low_ != 0) event_log_->record_event("ground").with("ground", acting->ground);
    noted_low_ = noted_high_ = 0;
    return;
  }
  if (until == noted_until_ && acting->low == noted_low_ && acting->high == noted_high_) return;
  noted_until_ = until, noted_low_ = acting->low, noted_high_ = acting->high;
  event_log_->record_event("lease")
      .with("low", acting->low)
      .with("high", acting->high)
      .with("until", static_cast<std::uint64_t>(until - clock_offset()));
}

std::optional<zone_failover::ZoneReport> Fleet::look_at_zones(Time at) {
  if (at < zones_->next_report_at()) return std::nullopt;
  count_hosts();
  return zones_->make_due_report(at);
}

// Without an accord: from its own evidence, for itself, in force at once.
void Fleet::turn_alone() {
  const Time at = now();
  if (!look_at_zones(at)) return;
  auto e = zones_->propose_change(at, *alone_);
  if (!e) return;
  log("zones", "%s", e->why.c_str());
  if (event_log_)
    event_log_->record_event("zones").with("why", e->why).with("note", e->note).with("id", e->id);
  const bool ground = e->kind == shared_config::Entry::Kind::propose_ground;
  e->number = alone_->apply(*e).number;
  e->kind = ground ? shared_config::Entry::Kind::force_ground : shared_config::Entry::Kind::force;
  alone_->apply(*e);
  const shared_config::Version& newest = alone_->all().rbegin()->second;
  auto acting = std::make_shared<shared_config::Acting>();
  acting->rules = newest.rules, acting->low = acting->high = newest.number;
  applied_ = std::move(acting);
  take_zones();
}

// Tells the voters what was seen of zones, and where this broker leads, proposes what follows from it all.
void Fleet::turn_zones() {
  const Time at = now();
  const auto report = look_at_zones(at);
  if (!report) return;
  std::set<std::string> to(options_.accord->voters.begin(), options_.accord->voters.end());
  if (const auto& leader = accord_->leader(); !leader.empty())
    to.insert(leader);  // it may have come to vote later
  to.erase(options_.name);
  const std::string bytes = kZones + zone_failover::encode(*report);
  for (const auto& name : to) send_to(name, bytes);
  const auto* engine = accord_->engine();
  if (!engine || !engine->is_leader()) return zones_->stop_leading();
  if (auto e = zones_->propose_change(at, engine->versions())) {
    log("zones", "%s", e->why.c_str());
    if (event_log_)
      event_log_->record_event("zones").with("why", e->why).with("note", e->note).with("id", e->id);
    accord_->propose(at, std::move(*e), [](const auto&) {});
  }
}

// What is acted on of zones: the rules, and the note of the newest version that a lease is held on.
void Fleet::take_zones() {
  const shared_config::Version* newest = nullptr;
  if (alone_) {
    newest = &alone_->all().rbegin()->second;
  } else if (applied_->high) {
    const auto& held = accord_->holder().versions();
    const auto it = held.find(applied_->high);
    if (it != held.end()) newest = &it->second;
  }
  zone_limits_ = zones_->zone_limits(*applied_->rules, newest ? &newest->note : nullptr);
  shares_new_ = true;
  if (!event_log_) return;
  std::string text;
  for (std::size_t z = 0; z < zone_limits_.size(); ++z)
    text += (z ? " " : "") + zones_->zone_name(static_cast<int>(z)) + "=" +
            std::to_string(static_cast<int>(1000 * zone_limits_[z].max_share + 0.5));
  event_log_->record_event("zone_limits")
      .with("high", applied_->high)
      .with("shares", text)
      .with("note", newest ? newest->note : "");
}

// Hosts in service by zone, and what they are worth: a cold one its present share.
void Fleet::count_hosts() {
  const Time at = now();
  std::map<std::string, std::pair<int, double>> by_zone;
  std::vector<bool> near(static_cast<std::size_t>(cells_), false);
  for (const auto& [name, s] : listed_) {
    if (!s.ready) continue;
    if (s.zone == zones_->options().home_zone && s.cell < cells_ && !is_withheld(name, s.started))
      near[static_cast<std::size_t>(s.cell)] = true;
    auto& [hosts, worth] = by_zone[s.zone];
    const Time age = at - s.started;
    ++hosts;
    worth += s.started == 0 || warm_after_ <= 0 || age >= warm_after_
                 ? 1
                 : cold_from_ + (1 - cold_from_) * std::max(0.0, seconds(age) / seconds(warm_after_));
  }
  zones_->set_endpoints(by_zone);
  // Shard s is held by the nodes in cells s to s + width - 1.
  far_shards_.assign(near.size(), true);
  for (int s = 0; s < cells_; ++s)
    for (int j = 0; j < width_; ++j)
      if (near[static_cast<std::size_t>((s + j) % cells_)]) far_shards_[static_cast<std::size_t>(s)] = false;
}

bool Fleet::stays_in_region(int op_type) const {
  return stays_in_region_.at(static_cast<std::size_t>(op_type));
}

// A node of no known zone is not known to be elsewhere.
int Fleet::counted_zone(int zone) const { return zone < static_cast<int>(zone_limits_.size()) ? zone : 0; }

bool Fleet::record_attempt(int zone, int op_type) {
  return crossing_ && crossing_->start_attempt(now(), counted_zone(zone), op_type);
}

void Fleet::record_attempt_end(const dispatch::TrafficAccount& whose, EndpointId node, AttemptOutcome how,
                               Time latency) {
  if (!zones_) return;
  zones_->record_attempt_result(now(), zones_->zone_name(whose.zone), node, how, latency);
  crossing_->finish_attempt(counted_zone(whose.zone), whose.request_class, whose.is_over_budget);
}

void Fleet::record_bytes(const dispatch::TransferredBytes& what) {
  if (crossing_)
    crossing_->record_bytes(now(), counted_zone(what.account.zone), what.account.request_class,
                            what.account.is_over_budget, what.sent, what.received);
}

bool Fleet::stays_in_zone(int op_type) { return crossing_->is_exhausted(now(), op_type); }

// As the options state and as the rules allow, whichever is less.
void Fleet::limit_crossing() {
  for (std::size_t i = 0; i < op_types_.size(); ++i) {
    const std::int64_t most = applied_->rules->of(op_types_[i]).crossing_most;
    crossing_->set_limit(now(), static_cast<int>(i),
                         std::min(crossing_stated_[i],
                                  most == INT64_MAX ? zone_failover::kNoBudget : static_cast<double>(most)));
  }
}

void Fleet::record_request(int op_type, const dispatch::Request& query) {
  if (!zones_) return;
  std::size_t far = 0;
  for (const auto& p : query.shard_requests)
    far += static_cast<std::size_t>(p->shard) < far_shards_.size() &&
           far_shards_[static_cast<std::size_t>(p->shard)];
  const double need = needs_.at(static_cast<std::size_t>(op_type));
  zones_->record_demand(now(), need * static_cast<double>(query.shard_requests.size()),
                        need * static_cast<double>(far));
}

void Fleet::look_behind() {
  const Time at = now();
  if (!hearsay_.behind() || hearsay_.own() == 0) {
    behind_since_ = kNever;
    return;
  }
  if (behind_since_ == kNever) behind_since_ = at;
  if (at - behind_since_ < kBehindFor || at - asked_agent_at_ < kAskAgentEvery || !program_.ask_agent) return;
  asked_agent_at_ = at;
  log("fleet", "the list in hand, revision %llu, is behind %llu that others hold: the agent is asked anew",
      static_cast<unsigned long long>(hearsay_.own()), static_cast<unsigned long long>(hearsay_.newest()));
  if (event_log_)
    event_log_->record_event("behind").with("own", hearsay_.own()).with("newest", hearsay_.newest());
  program_.ask_agent();
}

bool Fleet::refresh_rules() {
  const bool heard = hearsay_seen_ != hearsay_now_;
  hearsay_seen_ = hearsay_now_;
  if (!accord_) return std::exchange(shares_new_, false) || heard;
  const auto& acting = accord_->acting(now());
  if (acting == applied_) return heard;
  applied_ = acting;
  for (std::size_t i = 0; i < op_types_.size(); ++i) {
    const auto& r = applied_->rules->of(op_types_[i]);
    limits_[i] = {r.served, r.time_most, r.held_most, r.budget_most, r.least_share};
  }
  if (zones_) limit_crossing(), take_zones();
  if (event_log_)
    event_log_->record_event("acts")
        .with("low", applied_->low)
        .with("high", applied_->high)
        .with("ground", applied_->ground)
        .with("hash", shared_config::hash_of(shared_config::text_of(*applied_->rules)));
  return true;
}

const dispatch::RequestClassLimits& Fleet::limits(int op_type) const {
  return limits_.at(static_cast<std::size_t>(op_type));
}
bool Fleet::may_run_two_phase(int op_type) const {
  return applied_->rules->two_phase_off.count(op_types_.at(static_cast<std::size_t>(op_type))) == 0;
}
bool Fleet::serves_index(const std::string& name) const {
  return applied_->rules->index_off.count(name) == 0;
}

bool Fleet::is_withheld(const std::string& node, Time started) const {
  return (options_.share_lists && hearsay_.withheld(node, started)) ||
         applied_->rules->withheld.count(node) != 0 || applied_->rules->at_work.count(node) != 0;
}

void Fleet::list_begins(std::uint64_t revision, bool whole) {
  in_list_ = true;
  if (event_log_) event_log_->record_event("list").with("revision", revision).with("whole", whole);
  hearsay_.begins(revision, whole);
  ++lists_, list_whole_ = whole;
}
void Fleet::list_endpoint(const std::string& node, Time started, EndpointState state,
                          const std::string& locality, int cell) {
  if (state == EndpointState::kRemoved)
    listed_.erase(node);
  else if (zones_ || works_)
    listed_[node] = {zones_ ? zones_->zone_name(zones_->zone_number(locality)) : locality, cell, started,
                     state == EndpointState::kReady, lists_};
  hearsay_.node(node, started, state == EndpointState::kReady, state == EndpointState::kRemoved);
  if (!event_log_) return;
  if (state != EndpointState::kReady) {
    event_log_->record_event("told").with("node", node).with("state", name_of(state));
    told_.insert(node);
  } else if (!hearsay_.withheld(node, started) && told_.erase(node)) {
    event_log_->record_event("ready").with("node", node);
  }
}
void Fleet::list_ends() {
  for (const auto& node : hearsay_.ends())
    if (event_log_)
      event_log_->record_event("told").with("node", node).with("state", "gone"), told_.insert(node);
  if (list_whole_) std::erase_if(listed_, [&](const auto& s) { return s.second.named_in != lists_; });
  in_list_ = false;
  // Danger: a turn now would act on the list in hand, of which hearsay no longer withholds anything, before
  // the new one has reached the policy. Whoever takes the list follows what changed, and turns, once it is
  // in.
  pump(false);
}
void Fleet::list_reset() {
  hearsay_.anew();
  listed_.clear();
}

void Fleet::propose(shared_config::Entry entry, shared_config::Accord::Done done) {
  if (!accord_) return done(std::nullopt);
  accord_->propose(now(), std::move(entry), std::move(done));
  pump();
}

}  // namespace cairnhub::cluster

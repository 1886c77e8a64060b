// libFuzzer target for what brokers read of each other and of their stores: the first byte chooses the
// reader. What is taken must hold what its header promises; anything else ends the run.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "maintenance/job_codec.h"
#include "membership/message_codec.h"
#include "membership/swim_membership.h"
#include "shared_config.pb.h"
#include "shared_config/log_codec.h"
#include "shared_config/shared_config_node.h"
#include "transport/message_sealer.h"
#include "zone_failover/zone_report.h"

using namespace cairnhub;

namespace {

void must(bool holds) {
  if (!holds) std::abort();
}

std::uint64_t drawn() {
  static std::uint64_t n = 1;
  return n = n * 6364136223846793005u + 1442695040888963407u;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::string_view text(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % 9) {
    case 0:
      if (const auto m = membership::decode(text)) {
        for (const auto& update : m->updates)
          must(membership::is_valid_member_name(update.name) && !update.address.empty());
        const auto again = membership::decode(membership::encode(*m));
        must(again && again->updates == m->updates && again->payload == m->payload);
        // A member may hear it, from anyone.
        membership::SwimMembership member({}, "self", "at:1", 1);
        member.start(0);
        member.receive(1, "other", *m);
        member.handle_timers(kSecond);
      }
      break;
    case 1: {
      transport::MessageSealer sealer("self", transport::parse_keys("1 " + std::string(64, 'a'), "keys"),
                                      drawn);
      must(!sealer.open(kSecond, text).body && sealer.peer_count() == 0);
      break;
    }
    case 2:
      if (const auto e = shared_config::decode_entry(text)) {
        shared_config::VersionHistory book;
        const auto v = book.apply(*e);
        must(v.number != 0 || !v.rejection.empty());
        shared_config::VersionHistory copy;
        must(copy.restore(book.snapshot()) && copy.newest() == book.newest());
      }
      break;
    case 7:
      if (const auto m = maintenance::decode_message(text)) {
        const auto again = maintenance::decode_message(maintenance::encode_message(*m));
        must(again && again->stop_for_job == m->stop_for_job &&
             again->open_attempts.has_value() == m->open_attempts.has_value());
        if (m->open_attempts)
          must(again->open_attempts->by_endpoint == m->open_attempts->by_endpoint &&
               again->open_attempts->lease_low_version == m->open_attempts->lease_low_version);
      }
      break;
    case 8: {
      // An entry on works, on a board that holds one already.
      shared_config::ConfigEntry e;
      e.kind = shared_config::ConfigEntry::Kind::kStateMachine;
      e.text = "facts { cells: 3 width: 2 terms { at_once: 1 } node { name: \"n\" ready: true warm: true } }";
      shared_config::VersionHistory book(std::make_shared<maintenance::JobQueue>());
      must(book.apply(e).number != 0);
      e.text = std::string(text);
      const auto v = book.apply(e);
      must(v.number != 0 || !v.rejection.empty());
      shared_config::VersionHistory copy(std::make_shared<maintenance::JobQueue>());
      must(copy.restore(book.snapshot()) &&
           copy.state_machine()->snapshot() == book.state_machine()->snapshot());
      maintenance::JobQueue().restore(text);
      break;
    }
    case 3: {
      shared_config::VersionHistory book;
      if (book.restore(text)) must(book.find(book.in_force()) != nullptr);
      break;
    }
    case 4:
      try {
        const auto rules = shared_config::parse_rule_set(std::string(text), "fuzz");
        must(shared_config::parse_rule_set(shared_config::canonical_text(rules), "again") == rules);
        must(shared_config::is_within(shared_config::meet(rules, rules), rules));
      } catch (const shared_config::RuleSetError&) {
      }
      break;
    case 6:
      if (const auto r = zone_failover::decode(text)) {
        const auto again = zone_failover::decode(zone_failover::encode(*r));
        must(again && again->zones.size() == r->zones.size() && again->home_zone == r->home_zone);
        zone_failover::ZoneHealthEvaluator e({});
        e.add_report(kSecond, "other", *r);
        for (const auto& [name, zone] : e.evaluate(kSecond).zones)
          must(zone.sustainable_share >= 0 && zone.sustainable_share <= 1);
      }
      break;
    default: {
      accord::wire::Packet p;
      if (!p.ParseFromArray(text.data(), static_cast<int>(text.size()))) break;
      shared_config::SharedConfigSettings terms;
      terms.voters = {"other"};
      shared_config::SharedConfigNode a(terms, "self", nullptr, {}, 1);
      a.start(kSecond);
      a.handle_message(2 * kSecond, "other", p);
      must(a.active_config(3 * kSecond)->rules != nullptr);
    }
  }
  return 0;
}

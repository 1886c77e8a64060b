// The book of works on machines: what the log's entries lead to, the same at every voter. Nothing here knows
// of peers or leases, or reads a clock; times are those that entries state (wall clock, ns since 1970).
//
//   queued -> draining -> empty -> at_work -> returning -> done
//
// A work is begun where the facts allow it, as the log then has them: each shard keeps a stated number of
// warm holders, no two works share a shard, no more than so many machines are out together, by rack, zone and
// region too, a zone keeps a stated share of its nodes and bears its load, no zone in failover gives any, and
// the voters out leave a majority. So two operators who ask at the same instant, or two leaders of whom one
// does not know yet, can't both begin what does not go together: whichever entry comes second is refused.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "shared_config/version_history.h"

namespace cairnhub::maintenance {

constexpr Time kMs = kSecond / 1000;

struct Terms {
  int holders_least = 1;                                  // warm ones that a shard keeps
  int at_once = 1, a_rack = 1, a_zone = 1, a_region = 1;  // machines
  double zone_keep = 0.5;                                 // of a zone's nodes, in service
  double headroom = 0.1;                                  // of what they bear, free
  Time lost_after = 3600 * kSecond;                       // past its stated length
  Time around = 60 * kSecond;  // that draining and getting warm are taken to last, for the plan
  bool stop_on_loss = true;    // a machine lost holds the queue until an operator says resume
  bool operator==(const Terms&) const = default;
};

struct Request {
  std::string machine;
  std::vector<std::string> nodes, brokers;
  std::vector<int> cells;          // of its nodes, as they were when it was taken: the list may drop them
  std::string rack, zone, region;  // empty: as its first node's, or none
  Time earliest = 0, latest = kNever, length = 0;
  int priority = 0;
  bool emergency = false;
};

enum class Step { queued, draining, empty, at_work, returning, done, cancelled, lost };
const char* name_of(Step step);

struct Work {
  std::uint64_t number = 0;
  Request request;
  std::string who, why;
  Step step = Step::queued;
  Time since = 0;
  bool held = false;
  std::string last;  // why it is where it is
  bool open() const { return step != Step::done && step != Step::cancelled; }
  // Its nodes are to be sent nothing.
  bool takes_out() const {
    return step == Step::draining || step == Step::empty || step == Step::at_work || step == Step::lost;
  }
  bool under_way() const { return takes_out() || step == Step::returning; }
};

struct NodeFact {
  int cell = 0;
  std::string zone;
  bool ready = false, warm = false;
  bool operator==(const NodeFact&) const = default;
};

struct ZoneFact {
  std::string region;
  bool near = true;               // not in failover
  double load = 0, capacity = 0;  // parts a second; 0: not known
  bool operator==(const ZoneFact&) const = default;
};

// What the leader sees, said to all: from here on every voter judges by it.
struct Facts {
  std::uint64_t revision = 0;
  int cells = 0, width = 0;  // shard s is held by the nodes in cells s to s + width - 1
  Terms terms;
  std::map<std::string, NodeFact> nodes;
  std::map<std::string, ZoneFact> zones;
  std::set<std::string> voters;
  bool operator==(const Facts&) const = default;
};

struct Op {
  Time at = 0;
  std::optional<Request> request;
  std::optional<Facts> facts;
  struct Move {
    std::uint64_t work;
    Step from, to;
  };
  std::optional<Move> step;
  std::optional<std::uint64_t> hold, resume, cancel, done;
};
std::string encode(const Op& op);  // text
std::optional<Op> decode_op(const std::string& text);

class Works : public shared_config::ReplicatedStateMachine {
 public:
  shared_config::ApplyResult apply(
      const shared_config::ConfigEntry& entry,
      std::shared_ptr<const shared_config::ReplicatedStateMachine>& next) const override;
  std::string snapshot() const override;
  std::shared_ptr<const shared_config::ReplicatedStateMachine> restore(std::string_view bytes) const override;

  const std::map<std::uint64_t, Work>& all() const { return works_; }
  const Facts& facts() const { return facts_; }
  Time facts_at() const { return facts_at_; }
  bool held() const { return held_; }
  std::set<std::string> out_nodes() const;  // of works that take theirs out

  // What brokers without a lease are to be told beforehand to do without: these, and nodes of the next works
  // in turn, as long as every shard keeps a holder that such a broker may ask.
  std::set<std::string> withheld_beforehand() const;

  // Why this may not be out beside the works under way, in words; empty: it may. `itself` is left out of
  // them.
  std::string forbids(const Request& request, std::uint64_t itself) const;
  // Why it could not be out though nothing else were and every node were well; empty: it could.
  std::string never_fits(const Request& request) const;
  // Shards that keep fewer than the stated number of warm holders while this is out.
  std::vector<int> endangers(const Request& request) const;
  std::vector<int> shards(const Request& request) const;  // that its nodes hold, sorted
  std::string zone_of(const Request& request) const;
  std::string region_of(const Request& request) const;
  int voters_of(const Request& request) const;
  // How many nodes of a zone may be out together, as its stated share and its load allow; those that are out
  // for other reasons taken off.
  int zone_nodes_most(const std::string& zone) const;

  static constexpr std::size_t kOpen = 2000, kEnded = 256, kNodes = 4096;

 private:
  shared_config::ApplyResult request(const shared_config::ConfigEntry& e, const Op& op);
  shared_config::ApplyResult step(const shared_config::ConfigEntry& e, const Op& op);
  shared_config::ApplyResult operators(const shared_config::ConfigEntry& e, const Op& op);
  void to(Work& work, Step step, Time at, const std::string& why);
  void forget_old();
  bool holds(const NodeFact& node, int shard) const;
  int warm_holders(int shard, const std::set<std::string>& out) const;
  std::map<std::uint64_t, Work> works_;
  std::uint64_t last_ = 0;
  bool held_ = false;
  Facts facts_;
  Time facts_at_ = 0;
};

}  // namespace cairnhub::maintenance

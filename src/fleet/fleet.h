// This broker among the others: membership, lists in common, agreement on versions, on the event loop. Joins
// the packages that decide (peers, accord) to messages, store, records and the operators' address; decides
// nothing.
#pragma once
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "accord/accord.h"
#include "accord/hearsay.h"
#include "accord/kept.h"
#include "base/timer.h"
#include "broker/common.h"
#include "options/options.h"
#include "peers/peers.h"
#include "records/records.h"
#include "settings/settings.h"
#include "talk/talk.h"

namespace cairnhub::fleet {

class Fleet : public broker::Common {
 public:
  // Throws std::runtime_error with one line where an address, a key or the folder can't be had.
  Fleet(event_base* base, const options::Fleet& options, const settings::Settings& settings,
        std::uint64_t seed);
  ~Fleet() override;

  void start();
  // It may open its door: there are no versions, the leader has answered, or the wait stated is over.
  bool ready();
  // Told when what is acted on may have changed, and when the own agent should be asked anew.
  void attach(std::function<void()> changed, std::function<void()> ask_agent);
  void change_keys();  // reads the key file anew; a bad one changes nothing and is logged
  void leave();        // in good order: lease, lead and membership

  // Common.
  bool changed() override;
  const broker::OpLimits& limits(int op_type) const override;
  int sends_most() const override { return applied_->rules->sends_most; }
  bool second_copies() const override { return applied_->rules->second_copies; }
  bool two_phase(int op_type) const override;
  bool index(const std::string& name) const override;
  bool withheld(const std::string& node, Time started) const override;
  std::uint64_t list_floor() const override { return applied_->rules->list_floor; }
  void list_begins(std::uint64_t revision, bool whole) override;
  void list_node(const std::string& node, Time started, NodeState state) override;
  void list_ends() override;
  void list_anew() override;

  // For the operators' address.
  const options::Fleet& options() const { return options_; }
  const peers::Peers& peers() const { return peers_; }
  const accord::Hearsay& hearsay() const { return hearsay_; }
  const talk::Talk& talk() const { return talk_; }
  accord::Accord* accord() { return accord_.get(); }
  void propose(accord::Entry entry, accord::Accord::Done done);

 private:
  void heard(const std::string& from, std::string_view body);
  void heard_lists(const std::string& from, const std::string& cargo);
  void pump(bool may_turn = true);
  void woken();
  void tell_lists(const std::vector<accord::Notice>& notices, const std::string& to);
  std::string lists_digest() const;
  void send_accord(const std::string& to, const std::string& bytes);
  void note_lease();
  void look_behind();

  options::Fleet options_;
  std::vector<std::string> op_types_;
  std::unique_ptr<Records> records_;
  peers::Peers peers_;
  accord::Hearsay hearsay_;
  std::unique_ptr<accord::Kept> store_;
  std::unique_ptr<accord::Accord> accord_;
  talk::Talk talk_;
  Timer wake_;
  std::function<void()> changed_, ask_agent_;
  std::shared_ptr<const accord::Acting> applied_;
  std::vector<broker::OpLimits> limits_;
  std::uint64_t hearsay_seen_ = 0, hearsay_now_ = 0, kept_ground_ = 0;
  Time started_at_ = 0, behind_since_ = kNever, asked_agent_at_ = 0, asked_lists_at_ = 0, noted_until_ = 0;
  std::uint64_t noted_low_ = 0, noted_high_ = 0;
  std::set<std::string> told_;  // nodes recorded as taking nothing new
  bool in_list_ = false, pumping_ = false, left_ = false;
};

}  // namespace cairnhub::fleet

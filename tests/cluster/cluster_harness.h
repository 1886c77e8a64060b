// Several processes of the program with hosts, an agent of discovery each, clients, and a link between each
// two of them, all on loopback and on one event loop. Plays a script; steps wait for what the processes
// record, not for time. No privileges: links are relays in user space, whose addresses the brokers' options
// state.
#pragma once
#include <event2/event.h>
#include <sys/types.h>

#include <climits>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cluster/auditor.h"
#include "cluster/maintenance_driver.h"
#include "script.pb.h"

namespace cairnhub::cluster {

// What the link from one broker to another does to what passes.
struct Trouble {
  bool cut = false;
  int delay_ms = 0, spread_ms = 0;  // each datagram by itself: with a spread they overtake each other
  double lose = 0, twice = 0;       // of datagrams
  int bytes_a_tick = 0;             // of streams, each 10 ms; 0: all
  std::int64_t break_after = -1;    // bytes of a stream, then it is reset
  int again = 0;                    // datagrams that passed before, sent again with each
  bool operator==(const Trouble&) const = default;
};

class Link;
class Agent;
class Host;
class Caller;

class Rig {
 public:
  Rig(const std::string& program, const fleet::Script& script);
  ~Rig();
  // Plays it all and prints what its steps say; false where something awaited never came.
  bool play();
  // Whether the last audit found nothing.
  bool clean() const { return clean_; }

 private:
  friend class Link;
  friend class Agent;
  friend class Host;
  friend class Caller;
  friend class Crew;
  friend class BlindCrew;

  struct Broker {
    int number = 0;
    std::string name, folder;
    pid_t pid = 0;
    bool stopped = false;
    bool asked_to_end = false;
    std::string unread;  // of its records
    long read = 0;
    bool full = false;  // its files may grow no further
    // As its records tell.
    std::uint64_t low = 0, high = 0, revision = 0, ground = 0;
    std::int64_t until = 0;
    std::set<std::string> alive, withheld;
    std::set<std::string> zones;       // "z0=near": as it acts on it
    std::set<std::string> zones_seen;  // all such since a step began to wait for one
    bool grounded = true;
    int lives = 0;
    std::map<std::string, int> seen;  // records by kind
  };
  struct Later {
    Rig& rig;
    std::function<void()> what;
    event* due;
    std::list<std::unique_ptr<Later>>::iterator self;
    ~Later();
  };
  void later(int ms, std::function<void()> what);
  bool step(const fleet::Step& s);
  bool await(const std::function<bool()>& holds, const char* what, int patience_ms = 40000);
  void run_for(int ms);
  void read_records();
  void took(Broker& b, const Record& r);
  // A cluster of two builds, by hand: CAIRNHUB_PREVIOUS is the program of one broker, the one whose number is
  // CAIRNHUB_PREVIOUS_BROKER or else the last.
  void take_previous_program();
  const std::string& program_of(const Broker& broker) const;
  void start(Broker& b);
  void start_new_event_file(Broker& b);
  void stop(Broker& b, int signal);
  std::vector<int> of(const google::protobuf::RepeatedField<std::uint32_t>& list, const fleet::Step& s) const;
  int leader() const;
  // Of its operators' address, JSON; with a body it is posted.
  std::string asked(int broker, const char* path, const std::string& body = "") const;
  bool burst(const fleet::Step& s);
  void trouble(const fleet::Step& s, const std::function<void(Trouble&)>& change);
  bool command(const fleet::Step& s);
  void noise(const fleet::Step& s);
  static void write_keys(const Broker& b, const std::string& letters);
  std::string list_for(int broker, std::uint64_t revision) const;
  bool settled(std::uint64_t least, const std::vector<int>& at) const;
  void report();
  int home_of(int broker) const;  // zones by number
  int zone_of_host(int host) const;
  bool crossing_told(const std::vector<int>& who);
  // What crossed zones at one broker since the start: bytes that hosts of other zones counted, and those of
  // them beyond a spent budget, as the broker tells.
  struct CrossingReading {
    long long bytes = 0;
    long long over_budget = 0;
    bool operator==(const CrossingReading&) const = default;
  };
  using CrossingReadings = std::map<int, CrossingReading>;  // by broker
  std::optional<CrossingReadings> read_crossing(const std::vector<int>& brokers) const;
  bool await_crossing_at_rest(const std::vector<int>& brokers, CrossingReadings& into);
  bool load(std::uint64_t answers);
  int leases_lost() const;
  bool a_held_up_broker_lost_its_lease();
  bool check_share_served(const fleet::Step& s);
  bool crossed_within_budget(const fleet::Step& s, const std::vector<int>& brokers);
  std::string step_of(std::uint64_t work) const;  // as the leader tells it
  std::vector<int> everyone() const;
  void publish(int host, const std::string& phase, bool restarted, const std::vector<int>& who);
  // For crews.
  std::uint64_t posted(const nlohmann::json& proposal);  // its number; 0: not taken now
  nlohmann::json works() const;                          // as the leader tells them
  void takes_off(const Machine& m, bool by_plan);
  void brings_back(const Machine& m);
  void drains(int host);
  void count_holders();
  void look_crew();
  void report_works();
  // What clients were answered since the mark, span by span.
  void timeline(int span_ms) const;

  std::string program_, folder_;
  std::string previous_program_;  // empty: all run the same
  int previous_broker_ = -1;
  fleet::Script script_;
  event_base* base_;
  std::mt19937 chance_;
  std::vector<std::unique_ptr<Broker>> brokers_;
  std::map<std::pair<int, int>, std::unique_ptr<Link>> links_;
  std::vector<std::unique_ptr<Agent>> agents_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::unique_ptr<Caller>> callers_;
  std::list<std::unique_ptr<Later>> later_;
  std::vector<Record> records_;
  Known known_;
  // The catalogue: by revision, what phase each host is in and when it started.
  struct State {
    std::vector<std::string> phase;
    std::vector<std::uint64_t> up;
  };
  std::map<std::uint64_t, State> catalogue_;
  std::uint64_t answered_ = 0, whole_ = 0, pushed_back_ = 0, failed_ = 0, doubled_ = 0, unanswered_ = 0;
  std::uint64_t in_part_ = 0, before_in_part_ = 0;
  std::int64_t slowest_part_ = 0;  // ns from the asking to an answer in part
  std::uint64_t before_answered_ = 0, before_pushed_back_ = 0;
  std::uint64_t load_size_ = 0;  // answers of the last load
  int leases_lost_before_load_ = 0;
  std::map<std::string, std::uint64_t> parts_;  // at each node and broker, counted by a step
  struct Bytes {
    long long out = 0, in = 0;  // as the broker sees it
  };
  std::map<std::pair<int, int>, Bytes> bytes_;  // by broker and host
  std::int64_t marked_at_ = 0;
  CrossingReadings crossing_at_mark_;
  bool hushed_ = false;  // no client asks
  struct Answer {
    std::int64_t t;
    bool served;
  };
  std::vector<Answer> answers_;
  std::unique_ptr<Crew> crew_;
  std::unique_ptr<BlindCrew> blind_;
  std::map<int, std::int64_t> drained_at_;  // hosts, as the first agent was told
  std::set<int> out_;                       // hosts that crews have out
  int fewest_holders_ = INT_MAX;            // that crews ever left a shard
  int brokers_there_ = 0;                   // on machines that were handed over
  std::uint64_t parts_at_off_ = 0;          // that came to a host while its machine was off
  bool clean_ = true;
  std::set<int> unlabelled_;  // brokers whose lists tell no localities
  int proposals_ = 0;
};

}  // namespace cairnhub::cluster

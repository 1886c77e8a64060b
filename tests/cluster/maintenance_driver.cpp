#include "cluster/maintenance_driver.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "cluster/cluster_harness.h"

namespace cairnhub::cluster {

namespace {

constexpr std::int64_t kMs = 1'000'000;
constexpr std::int64_t kLookEvery = 60 * kMs, kSayAgain = 500 * kMs;
// A drain's grace, and what a list takes to arrive.
constexpr std::int64_t kBlindDrain = 400 * kMs;
// As the plays' settings state it: "cold".
constexpr std::int64_t kCold = 1000 * kMs;

}  // namespace

std::string Machine::name() const {
  return host >= 0 ? "m" + std::to_string(host) : "mb" + std::to_string(broker);
}

std::vector<Machine> machines(const std::string& text, int hosts, int brokers) {
  std::vector<Machine> all;
  std::istringstream words(text);
  for (std::string word; words >> word;) {
    if (word == "all" || word == "hosts")
      for (int h = 0; h < hosts; ++h) all.push_back({h, -1});
    if (word == "all")
      for (int b = 0; b < brokers; ++b) all.push_back({-1, b});
    if (word[0] == 'h' && word != "hosts") all.push_back({std::stoi(word.substr(1)), -1});
    if (word[0] == 'b') all.push_back({-1, std::stoi(word.substr(1))});
  }
  return all;
}

Crew::Crew(Rig& rig, std::vector<Machine> machines, int work_ms)
    : rig_(rig), machines_(std::move(machines)), work_ms_(work_ms) {}

bool Crew::ask() {
  if (all_asked()) return true;
  const Machine& m = machines_[asked_];
  nlohmann::json request{{"machine", m.name()}, {"length_ms", work_ms_}};
  if (m.host >= 0) request["nodes"] = {"s-" + std::to_string(m.host)};
  if (m.broker >= 0) request["brokers"] = {"b" + std::to_string(m.broker)};
  // The same id each time: asked twice it is taken once.
  if (rig_.posted({{"kind", "work"},
                   {"request", request},
                   {"who", "crew"},
                   {"why", "disks"},
                   {"id", "crew-" + m.name()}}) == 0)
    return false;
  ++asked_;
  return true;
}

void Crew::look(std::int64_t now) {
  if (now < looked_at_ + kLookEvery) return;
  looked_at_ = now;
  ask();
  for (const auto& w : rig_.works()) {
    const auto number = w["number"].get<std::uint64_t>();
    auto it = jobs_.find(number);
    if (it == jobs_.end()) {
      const std::string name = w["machine"];
      const auto m = std::find_if(machines_.begin(), machines_.end(),
                                  [&](const Machine& x) { return x.name() == name; });
      if (m == machines_.end()) continue;
      it = jobs_.emplace(number, Job{*m, "", 0, false, 0, 0}).first;
    }
    Job& job = it->second;
    const bool over = job.step != "in service" && w["step"] == "in service";
    job.step = w["step"];
    over_cold_ += over && job.machine.host >= 0 && job.on_at && now < job.on_at + kCold;
    if (job.step == "at work" && !job.off_at) {
      job.off_at = now;
      rig_.takes_off(job.machine, true);
    }
    if (!job.off_at || now < job.off_at + work_ms_ * kMs) continue;
    if (!job.on_again) job.on_at = now;
    if (!std::exchange(job.on_again, true) || (job.machine.broker >= 0 && job.step != "in service"))
      rig_.brings_back(job.machine);
    if (job.step == "at work" && now >= job.said_at + kSayAgain) {
      job.said_at = now;
      rig_.posted({{"kind", "work"},
                   {"done", number},
                   {"who", "crew"},
                   {"why", "it is back"},
                   {"id", "crew-done-" + std::to_string(number)}});
    }
  }
}

int Crew::back() const {
  return static_cast<int>(
      std::count_if(jobs_.begin(), jobs_.end(), [](const auto& j) { return j.second.step == "in service"; }));
}
bool Crew::all_back() const { return all_asked() && back() == static_cast<int>(machines_.size()); }
bool Crew::has_broker(int broker) const {
  return std::any_of(jobs_.begin(), jobs_.end(), [&](const auto& j) {
    const Job& job = j.second;
    return job.machine.broker == broker && !job.on_again &&
           (job.off_at || job.step == "draining" || job.step == "empty");
  });
}

BlindCrew::BlindCrew(Rig& rig, std::vector<Machine> hosts, int at_once, int work_ms, int warm_ms)
    : rig_(rig), left_(hosts.begin(), hosts.end()), at_once_(at_once), work_ms_(work_ms), warm_ms_(warm_ms) {}

void BlindCrew::look(std::int64_t now) {
  for (Job& job : jobs_) {
    if (!job.off_at && now >= job.drained_at + kBlindDrain) {
      job.off_at = now;
      rig_.takes_off(job.machine, false);
    } else if (job.off_at && !job.on_at && now >= job.off_at + work_ms_ * kMs) {
      job.on_at = now;
      rig_.brings_back(job.machine);
    }
  }
  std::erase_if(jobs_, [&](const Job& job) { return job.on_at && now >= job.on_at + warm_ms_ * kMs; });
  while (!left_.empty() && static_cast<int>(jobs_.size()) < at_once_) {
    jobs_.push_back({left_.front(), now, 0, 0});
    rig_.drains(left_.front().host);
    left_.pop_front();
  }
}

}  // namespace cairnhub::cluster

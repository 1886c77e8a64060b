// Lists in common: what a broker has heard from others of drains and ends. No I/O and no clock.
//
// All agents tell of one catalogue, whose revisions only grow. A notice says that a node, started then, was
// draining or gone at a revision. Hearsay only ever withholds: it takes a node that the own list calls ready
// out of use as long as the own list is older than the notice, and names nobody. Once the own list is as new,
// it alone counts, so that a drain that was called off ends. A node that came back has a later start, which
// no notice of its earlier life touches.
#pragma once
#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace cairnhub::shared_config {

struct Notice {
  std::string node;
  Time started = 0;  // Unix time; 0: long ago
  bool gone = false;
  std::uint64_t revision = 0;
  bool operator==(const Notice&) const = default;
};

class Hearsay {
 public:
  // The own list: begins, each node it names, ends. A whole one that names a known node no more says it is
  // gone.
  void begins(std::uint64_t revision, bool whole);
  void node(const std::string& name, Time started, bool ready, bool gone);
  std::vector<std::string> ends();  // the nodes that a whole list no longer names
  void anew();                      // another catalogue: all is forgotten

  // True where it's news here: to be told on.
  bool heard(const Notice& n);
  void heard_of(std::uint64_t revision) { newest_ = std::max(newest_, revision); }

  bool withheld(const std::string& name, Time started) const;
  std::uint64_t own() const { return own_; }
  std::uint64_t newest() const { return newest_; }  // that anyone is known to hold
  bool behind() const { return own_ < newest_; }
  // Notices newly come by, here or from others, since last asked.
  std::vector<Notice> news() { return std::exchange(news_, {}); }
  std::vector<Notice> all() const;
  std::uint64_t digest() const { return digest_; }
  std::size_t withholding() const;  // how many notices count against the own list

  static constexpr std::size_t kMost = 4096;  // notices; those of the lowest revision go first

 private:
  void put(const Notice& n);
  void drop(std::map<std::string, Notice>::iterator it);
  std::map<std::string, Notice> notices_;
  struct Own {
    Time started;
    std::uint64_t named_in;
    bool ready;
  };
  std::map<std::string, Own> own_nodes_;  // as long as the list names them
  std::vector<Notice> news_;
  std::uint64_t own_ = 0, newest_ = 0, lists_ = 0, digest_ = 0;
  bool whole_ = false;
};

}  // namespace cairnhub::shared_config

// Exchanges notices among brokers about endpoints that are draining or gone. Does no I/O and reads no clock.
//
// All brokers receive revisions of one endpoint list, at different times; revisions only grow. A notice says
// that an endpoint, started at a given time, was draining or gone as of a revision. While a broker's own list
// is older than a notice, the notice withholds an endpoint that is ready in the own list; a notice never adds
// an endpoint. Once the own list is as new as the notice, only the list counts, so a cancelled drain ends. An
// endpoint that was restarted has a later start time, and notices of its earlier process don't apply to it.
#pragma once
#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace cairnhub::shared_config {

// Says that an endpoint was draining or gone as of a revision of the endpoint list.
struct EndpointNotice {
  std::string endpoint;
  Time started_at = 0;   // when the endpoint was started, Unix time; 0: unknown, long ago
  bool is_gone = false;  // false: draining
  std::uint64_t revision = 0;
  bool operator==(const EndpointNotice&) const = default;
};

// The notices that a broker knows, compared with its own list.
class EndpointGossip {
 public:
  // Reads the own list: one call of `begin_list`, one of `add_endpoint` for each endpoint, one of `end_list`.
  // If `whole` is true, the list is complete, so a known endpoint that the list doesn't name is gone;
  // otherwise the list holds changes only.
  void begin_list(std::uint64_t revision, bool whole);
  void add_endpoint(const std::string& name, Time started, bool ready, bool gone);
  // Returns the endpoints that a complete list no longer names.
  std::vector<std::string> end_list();
  // Drops all state, because the broker now receives another list, with revisions of its own.
  void reset();

  // Handles a notice of another broker; returns true if the notice was new here and is to be passed on.
  bool handle_notice(const EndpointNotice& n);
  // Records that another broker holds a list of this revision.
  void note_revision(std::uint64_t revision) { newest_revision_ = std::max(newest_revision_, revision); }

  // Returns true if a notice newer than the own list withholds this endpoint.
  bool is_withheld(const std::string& name, Time started) const;
  // Returns the revision of the own list.
  std::uint64_t own_revision() const { return own_revision_; }
  // Returns the newest revision that any broker is known to hold.
  std::uint64_t newest_revision() const { return newest_revision_; }
  bool is_behind() const { return own_revision_ < newest_revision_; }
  // Returns the notices that were made or received since the last call.
  std::vector<EndpointNotice> take_new_notices() { return std::exchange(new_notices_, {}); }
  std::vector<EndpointNotice> notices() const;
  // Returns a hash over all notices, independent of their order.
  std::uint64_t digest() const { return digest_; }
  // Returns the number of notices that are newer than the own list.
  std::size_t withheld_count() const;

  static constexpr std::size_t kMaxNotices = 4096;  // notices; the lowest revision is dropped first

 private:
  void put(const EndpointNotice& n);
  void drop(std::map<std::string, EndpointNotice>::iterator it);
  std::map<std::string, EndpointNotice> notices_;  // by endpoint
  struct ListedEndpoint {
    Time started;
    std::uint64_t list_number;  // number of the last list that named the endpoint
    bool ready;
  };
  std::map<std::string, ListedEndpoint> listed_;
  std::vector<EndpointNotice> new_notices_;
  std::uint64_t own_revision_ = 0;
  std::uint64_t newest_revision_ = 0;
  std::uint64_t list_number_ = 0;  // counts the lists that were read
  std::uint64_t digest_ = 0;
  bool list_is_complete_ = false;
};

}  // namespace cairnhub::shared_config

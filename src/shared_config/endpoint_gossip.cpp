#include "shared_config/endpoint_gossip.h"

#include <xxhash.h>

namespace cairnhub::shared_config {

namespace {

std::uint64_t digest_of(const EndpointNotice& n) {
  return XXH3_64bits_withSeed(
      n.endpoint.data(), n.endpoint.size(),
      n.revision * 2 + (n.is_gone ? 1 : 0) + static_cast<std::uint64_t>(n.started_at) * 31);
}

}  // namespace

void EndpointGossip::put(const EndpointNotice& n) {
  const auto [it, fresh] = notices_.try_emplace(n.endpoint, n);
  if (!fresh) {
    digest_ -= digest_of(it->second);
    it->second = n;
  }
  digest_ += digest_of(n);
  new_notices_.push_back(n);
  if (notices_.size() <= kMaxNotices) return;
  auto oldest = notices_.begin();
  for (auto i = notices_.begin(); i != notices_.end(); ++i)
    if (i->second.revision < oldest->second.revision) oldest = i;
  drop(oldest);
}

void EndpointGossip::drop(std::map<std::string, EndpointNotice>::iterator it) {
  digest_ -= digest_of(it->second);
  notices_.erase(it);
}

void EndpointGossip::begin_list(std::uint64_t revision, bool whole) {
  own_revision_ = revision;
  newest_revision_ = std::max(newest_revision_, revision);
  list_is_complete_ = whole;
  ++list_number_;
}

void EndpointGossip::add_endpoint(const std::string& name, Time started, bool ready, bool gone) {
  const auto it = notices_.find(name);
  if (gone)
    listed_.erase(name);
  else
    listed_[name] = {started, list_number_, ready};
  if (ready) {
    // The own list is as new as the notice or newer, and overrides it.
    if (it != notices_.end() && it->second.revision <= own_revision_) drop(it);
    return;
  }
  // A notice of this revision or an earlier revision already has the same content.
  if (it != notices_.end() && it->second.is_gone == gone && it->second.started_at >= started) return;
  if (it != notices_.end() && it->second.revision > own_revision_) return;
  put({name, started, gone, own_revision_});
}

std::vector<std::string> EndpointGossip::end_list() {
  if (!list_is_complete_) return {};
  std::vector<std::pair<std::string, Time>> ended;
  std::vector<std::string> names;
  for (const auto& [name, listed] : listed_)
    if (listed.list_number != list_number_) ended.emplace_back(name, listed.started);
  for (const auto& [name, started] : ended) {
    add_endpoint(name, started, false, true);
    names.push_back(name);
  }
  return names;
}

void EndpointGossip::reset() { *this = EndpointGossip{}; }

bool EndpointGossip::handle_notice(const EndpointNotice& n) {
  newest_revision_ = std::max(newest_revision_, n.revision);
  if (n.revision <= own_revision_) return false;
  const auto it = notices_.find(n.endpoint);
  if (it != notices_.end() && it->second.revision >= n.revision) return false;
  put(n);
  return true;
}

bool EndpointGossip::is_withheld(const std::string& name, Time started) const {
  const auto it = notices_.find(name);
  return it != notices_.end() && it->second.revision > own_revision_ && started <= it->second.started_at;
}

std::vector<EndpointNotice> EndpointGossip::notices() const {
  std::vector<EndpointNotice> list;
  for (const auto& [name, n] : notices_) list.push_back(n);
  return list;
}

std::size_t EndpointGossip::withheld_count() const {
  std::size_t count = 0;
  for (const auto& [name, n] : notices_) count += n.revision > own_revision_;
  return count;
}

}  // namespace cairnhub::shared_config

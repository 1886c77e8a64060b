#include "shared_config/endpoint_gossip.h"

#include <xxhash.h>

namespace cairnhub::shared_config {

namespace {

std::uint64_t digest_of(const Notice& n) {
  return XXH3_64bits_withSeed(n.node.data(), n.node.size(),
                              n.revision * 2 + (n.gone ? 1 : 0) + static_cast<std::uint64_t>(n.started) * 31);
}

}  // namespace

void Hearsay::put(const Notice& n) {
  const auto [it, fresh] = notices_.try_emplace(n.node, n);
  if (!fresh) {
    digest_ -= digest_of(it->second);
    it->second = n;
  }
  digest_ += digest_of(n);
  news_.push_back(n);
  if (notices_.size() <= kMost) return;
  auto oldest = notices_.begin();
  for (auto i = notices_.begin(); i != notices_.end(); ++i)
    if (i->second.revision < oldest->second.revision) oldest = i;
  drop(oldest);
}

void Hearsay::drop(std::map<std::string, Notice>::iterator it) {
  digest_ -= digest_of(it->second);
  notices_.erase(it);
}

void Hearsay::begins(std::uint64_t revision, bool whole) {
  own_ = revision;
  newest_ = std::max(newest_, revision);
  list_is_complete_ = whole;
  ++list_number_;
}

void Hearsay::node(const std::string& name, Time started, bool ready, bool gone) {
  const auto it = notices_.find(name);
  if (gone)
    listed_.erase(name);
  else
    listed_[name] = {started, list_number_, ready};
  if (ready) {
    // The own list is as new as the notice or newer, and overrides it.
    if (it != notices_.end() && it->second.revision <= own_) drop(it);
    return;
  }
  // A notice of this revision or an earlier one says the same already.
  if (it != notices_.end() && it->second.gone == gone && it->second.started >= started) return;
  if (it != notices_.end() && it->second.revision > own_) return;
  put({name, started, gone, own_});
}

std::vector<std::string> Hearsay::ends() {
  if (!list_is_complete_) return {};
  std::vector<std::pair<std::string, Time>> ended;
  std::vector<std::string> names;
  for (const auto& [name, listed] : listed_)
    if (listed.list_number != list_number_) ended.emplace_back(name, listed.started);
  for (const auto& [name, started] : ended) {
    node(name, started, false, true);
    names.push_back(name);
  }
  return names;
}

void Hearsay::anew() { *this = Hearsay{}; }

bool Hearsay::heard(const Notice& n) {
  newest_ = std::max(newest_, n.revision);
  if (n.revision <= own_) return false;
  const auto it = notices_.find(n.node);
  if (it != notices_.end() && it->second.revision >= n.revision) return false;
  put(n);
  return true;
}

bool Hearsay::withheld(const std::string& name, Time started) const {
  const auto it = notices_.find(name);
  return it != notices_.end() && it->second.revision > own_ && started <= it->second.started;
}

std::vector<Notice> Hearsay::all() const {
  std::vector<Notice> list;
  for (const auto& [name, n] : notices_) list.push_back(n);
  return list;
}

std::size_t Hearsay::withholding() const {
  std::size_t count = 0;
  for (const auto& [name, n] : notices_) count += n.revision > own_;
  return count;
}

}  // namespace cairnhub::shared_config

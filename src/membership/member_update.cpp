#include "membership/member_update.h"

#include <xxhash.h>

namespace cairnhub::membership {

namespace {

constexpr std::size_t kFixedFieldsBytes = 16;

}  // namespace

std::uint64_t digest_of(const MemberUpdate& update) {
  if (!is_live(update.state)) return 0;
  return XXH3_64bits_withSeed(update.name.data(), update.name.size(), update.incarnation);
}

std::size_t approximate_size_bytes(const MemberUpdate& update) {
  return update.name.size() + update.address.size() + update.accuser.size() + kFixedFieldsBytes;
}

}  // namespace cairnhub::membership

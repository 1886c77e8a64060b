#include "backend/opensearch/response_owner.h"

#include <event2/keyvalq_struct.h>
#include <strings.h>
#include <unistd.h>

#include <cstdio>

#include "base/clock.h"

namespace cairnhub::backend {

OpaqueIds::OpaqueIds() {
  char prefix[64];
  std::snprintf(prefix, sizeof prefix, "cairnhub-%llx-%x-", static_cast<unsigned long long>(now()),
                static_cast<unsigned>(getpid()));
  prefix_ = prefix;
}

std::string OpaqueIds::next() { return prefix_ + std::to_string(++count_); }

ResponseId compare_response_id(const evkeyvalq& header_fields, const std::string& sent_id) {
  ResponseId result = ResponseId::kAbsent;
  for (const evkeyval* field = header_fields.tqh_first; field; field = field->next.tqe_next) {
    if (strcasecmp(field->key, kOpaqueIdHeader) != 0) continue;
    // Of several fields each must agree: the head of one response may end within the head of another.
    if (sent_id != field->value) return ResponseId::kOther;
    result = ResponseId::kSame;
  }
  return result;
}

}  // namespace cairnhub::backend

// Tells whether a response on a connection to an endpoint of the search API answers the attempt in flight
// there.
//
// HTTP/1.1 tells responses apart by their order alone, so that bytes that an endpoint sends on its own
// account (a response sent twice, a proxy's error, noise) would be taken for the response to the next
// request. Endpoints of the published API return the X-Opaque-Id of a request in its response; an attempt
// states one of its own.
#pragma once
#include <cstdint>
#include <string>

struct evkeyvalq;

namespace cairnhub::backend {

constexpr const char* kOpaqueIdHeader = "X-Opaque-Id";

// Makes the ids of attempts. No two are the same, also of two processes on one machine, one after the other.
class OpaqueIds {
 public:
  OpaqueIds();
  std::string next();

 private:
  std::string prefix_;
  std::uint64_t count_ = 0;
};

// What the header fields of a response say of the attempt that it answers.
enum class ResponseId {
  kAbsent,  // the endpoint, or what stands before it, doesn't return ids
  kSame,
  kOther,  // the response to another request
};

// @param header_fields of the response
// @param sent_id       the id that the attempt in flight stated
ResponseId compare_response_id(const evkeyvalq& header_fields, const std::string& sent_id);

}  // namespace cairnhub::backend

// Decides what the broker accepts by the memory that it holds for its clients, so that no load takes the
// process past its memory limit.
//
// Inputs: bytes held for clients, from the first byte read of a request to the last byte written of its
// response; the memory limit of the process, in bytes. Part of the limit is left for what isn't held for a
// client: the program, its connections and the parsing of one message.
#pragma once
#include <cstddef>

namespace cairnhub {

// The rules. Keeps no state but the limits.
class MemoryLimiter {
 public:
  explicit MemoryLimiter(std::size_t process_limit_bytes);

  // Returns whether a new request may start. A request that is rejected here has made no attempt.
  bool admits_request(std::size_t held_bytes) const { return held_bytes < max_request_bytes_; }
  // Returns the bytes that incomplete requests must give back, so that clients that never end their requests
  // leave memory for others; 0 while they are within their bound. More than the excess, so that they are not
  // looked through at each byte that comes.
  // @param incomplete_bytes bytes of requests that have not been read completely, which are part of the held
  //                         bytes
  std::size_t incomplete_bytes_to_free(std::size_t incomplete_bytes) const;
  std::size_t max_incomplete_bytes() const { return max_incomplete_bytes_; }
  // Returns whether a value of this size may be kept for a request in flight. Its bound is higher than that
  // of new requests, so that requests in flight can be completed.
  bool admits_value(std::size_t held_bytes, std::size_t value_bytes) const;

  // Returns whether more may be received of values that are still incomplete.
  // @param received_bytes bytes of incomplete values, which are part of the held bytes
  bool admits_received(std::size_t held_bytes, std::size_t received_bytes) const;
  // Returns the bound up to which a request that holds many searches starts further ones. It is lower than
  // that of new requests, so that such a request leaves room for others.
  std::size_t max_batch_bytes() const { return max_batch_bytes_; }

 private:
  std::size_t max_batch_bytes_;
  std::size_t max_incomplete_bytes_;
  std::size_t max_request_bytes_;
  std::size_t max_received_bytes_;
  std::size_t max_held_bytes_;
};

}  // namespace cairnhub

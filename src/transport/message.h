// A message between two brokers, before it is signed or after it was verified.
#pragma once
#include <cstdint>
#include <string>

namespace cairnhub::transport {

// The values are the wire's.
enum class MessageKind {
  session_request = 1,  // asks the recipient to grant a session; carries a nonce
  session_grant = 2,    // grants one; repeats the nonce
  data = 3,             // a body within a session
  session_unknown = 4,  // the session that a body came in isn't known here (any more)
  stream_frame = 5,     // a body on a stream
};

struct Message {
  MessageKind kind = MessageKind::data;
  std::string sender = {};  // set by MessageSigner
  std::string recipient = {};
  std::string body = {};
  std::uint64_t session_id = 0;       // of a stream frame: the stream's nonce
  std::uint64_t sequence_number = 0;  // within the session or the stream, from 1 on; 0: none
  std::uint64_t nonce = 0;            // of the session request and its grant; 0: none
};

}  // namespace cairnhub::transport

// One HTTP/1.1 connection to an endpoint of the search API. Carries one request at a time, and counts what
// has been written of the request and received of its response. Tells whether a response answers the request
// in flight, and whether the connection may carry another request.
#pragma once
#include <event2/util.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "backend/buffer_memory.h"
#include "backend/opensearch/response_owner.h"
#include "base/http_message_memory.h"
#include "dispatch/backend.h"
#include "dispatch/client_memory.h"

struct evbuffer;
struct evbuffer_cb_info;
struct event_base;
struct evhttp_connection;
struct evhttp_request;

namespace cairnhub::backend {

// A request as it is written.
struct SearchHttpRequest {
  const std::string& target;
  const std::string& body;
  std::string opaque_id;
  Time timeout;          // until libevent gives up by itself; rounded up to whole seconds
  bool is_last = false;  // states that the connection carries no further request
};

// Must be freed outside libevent's callbacks.
class SearchConnection {
 public:
  struct Callbacks {
    // Bytes of a response have been received, and the parser gets them next.
    std::function<void()> on_received;
    // Bytes have been received while no response was due; the connection can't be used any more.
    std::function<void()> on_unexpected_input;
    // The response is complete, or has failed; then its status is 0, or `response` null.
    std::function<void(evhttp_request* response)> on_response;
  };

  // Returns null if the connection can't be made. It is established with its first request.
  // @param max_body_bytes longest body of a response
  // @param memory         the account in which the request being written and the response are reserved
  static std::unique_ptr<SearchConnection> make(event_base* base, const std::string& host, std::uint16_t port,
                                                std::size_t max_body_bytes,
                                                const std::shared_ptr<dispatch::ClientMemory>& memory,
                                                Callbacks callbacks);
  ~SearchConnection();
  SearchConnection(const SearchConnection&) = delete;
  SearchConnection& operator=(const SearchConnection&) = delete;

  // Starts the next request. Returns false if libevent refuses it.
  bool start(const SearchHttpRequest& started);
  // Stops all reading and writing at once; what libevent has buffered is not written.
  void close();
  // Drops what was read last, before the parser gets it, and reads nothing further: the response can't be
  // completed.
  void drop_response();
  bool has_dropped_response() const { return has_dropped_response_; }

  // Returns whether the connection is known to be in order for another request: it is up, and nothing has
  // come on it behind the last response. Costs a system call.
  bool is_reusable() const;
  // Returns whether bytes have been received while no response was due.
  bool has_unexpected_input() const { return has_unexpected_input_; }
  // Returns whether more has been received than the response that on_response() was told of.
  bool has_excess_input() const;
  // Returns what the response says of the request that it answers.
  ResponseId id_of(evhttp_request* response) const;
  // Returns whether the response, of this id, answers the request that it was received for. A response that
  // states no id does so only on a connection that has carried no other request, where it can't be the
  // response to another.
  bool answers_request(evhttp_request* response, ResponseId id) const;

  // Of the current request, or the last one.
  std::size_t written_bytes() const { return written_bytes_; }
  std::size_t received_bytes() const { return received_bytes_; }
  bool is_fully_written() const { return queued_bytes_ > 0 && written_bytes_ >= queued_bytes_; }
  dispatch::WriteProgress write_progress() const;
  int error() const { return error_; }  // evhttp_request_error of the response that failed, or -1

  // Gives back what is reserved for the response as far as it has been received.
  void release_response_memory() { response_memory_.resize(0); }
  // Returns whether the head of the response is being read, of which the parser makes many times its bytes.
  bool is_in_head() const { return response_message_.is_in_head(); }

 private:
  SearchConnection(evhttp_connection* http, const std::shared_ptr<dispatch::ClientMemory>& memory,
                   Callbacks callbacks);
  static void count_output(evbuffer* output, const evbuffer_cb_info* info, void* context);
  static void count_input(evbuffer* input, const evbuffer_cb_info* info, void* context);
  void check_new_connection();
  void handle_input(evbuffer* input, std::size_t added_bytes);
  void stop_reading();

  evhttp_connection* http_;
  evhttp_request* request_ = nullptr;  // in flight
  const Callbacks callbacks_;
  std::string opaque_id_;
  std::string host_header_;
  std::size_t request_count_ = 0;
  // Bytes of the current request and of its response.
  std::size_t queued_bytes_ = 0;
  std::size_t written_bytes_ = 0;
  std::size_t received_bytes_ = 0;
  BufferMemory output_memory_;
  HttpMessageMemory response_message_;  // as the parser keeps it
  dispatch::MemoryReservation response_memory_;
  std::size_t memory_before_last_read_ = 0;  // of the response, in bytes
  bool has_dropped_response_ = false;
  bool has_unexpected_input_ = false;
  bool is_closed_ = false;
  int error_ = -1;
};

}  // namespace cairnhub::backend

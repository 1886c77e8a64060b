#include "backend/opensearch/search_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>
#include <utility>

#include "base/http_connection.h"
#include "base/log.h"
#include "base/sockets.h"

namespace cairnhub::backend {

namespace {

constexpr std::size_t kMaxHeaderBytes = 16384;
constexpr int kStatusOk = 200;

}  // namespace

std::unique_ptr<SearchConnection> SearchConnection::make(
    event_base* base, const std::string& host, std::uint16_t port, std::size_t max_body_bytes,
    const std::shared_ptr<dispatch::ClientMemory>& memory, Callbacks callbacks) {
  evhttp_connection* http =
      evhttp_connection_base_bufferevent_new(base, nullptr, nullptr, host.c_str(), port);
  if (!http) return nullptr;
  evhttp_connection_set_max_headers_size(http, kMaxHeaderBytes);
  evhttp_connection_set_max_body_size(http, static_cast<ev_ssize_t>(max_body_bytes));
  evhttp_connection_set_retries(http, 0);
  std::unique_ptr<SearchConnection> made(new SearchConnection(http, memory, std::move(callbacks)));
  made->host_header_ = host + ":" + std::to_string(port);
  return made;
}

SearchConnection::SearchConnection(evhttp_connection* http,
                                   const std::shared_ptr<dispatch::ClientMemory>& memory, Callbacks callbacks)
    : http_(http),
      callbacks_(std::move(callbacks)),
      output_memory_(memory, dispatch::MemoryUse::kRequests),
      response_memory_(memory, dispatch::MemoryUse::kReceived) {
  bufferevent* bev = evhttp_connection_get_bufferevent(http_);
  evbuffer_add_cb(bufferevent_get_output(bev), count_output, this);
  evbuffer_add_cb(bufferevent_get_input(bev), count_input, this);
  output_memory_.attach(bufferevent_get_output(bev));
}

SearchConnection::~SearchConnection() {
  close();
  evhttp_connection_free(http_);
}

bool SearchConnection::start(const SearchHttpRequest& started) {
  ++request_count_;
  queued_bytes_ = 0;
  written_bytes_ = 0;
  received_bytes_ = 0;
  response_message_.reset();
  error_ = -1;
  opaque_id_ = started.opaque_id;
  request_ = evhttp_request_new(
      [](evhttp_request* response, void* context) {
        guarded("search response", [self = static_cast<SearchConnection*>(context), response] {
          self->request_ = nullptr;
          self->callbacks_.on_response(response);
        });
      },
      this);
  evhttp_request_set_error_cb(request_, [](evhttp_request_error error, void* context) {
    static_cast<SearchConnection*>(context)->error_ = static_cast<int>(error);
  });
  evkeyvalq* headers = evhttp_request_get_output_headers(request_);
  evhttp_add_header(headers, "Host", host_header_.c_str());
  evhttp_add_header(headers, "Content-Type", "application/json");
  evhttp_add_header(headers, kOpaqueIdHeader, opaque_id_.c_str());
  if (started.is_last) evhttp_add_header(headers, "Connection", "close");
  evbuffer_add(evhttp_request_get_output_buffer(request_), started.body.data(), started.body.size());
  const timeval timeout{std::max<Time>(0, started.timeout) / kSecond + 1, 0};
  evhttp_connection_set_timeout_tv(http_, &timeout);
  if (evhttp_make_request(http_, request_, EVHTTP_REQ_POST, started.target.c_str()) != 0) {
    request_ = nullptr;  // freed by the failed call
    return false;
  }
  send_without_delay(bufferevent_getfd(evhttp_connection_get_bufferevent(http_)));
  return true;
}

void SearchConnection::close() {
  if (std::exchange(is_closed_, true)) return;
  if (request_) evhttp_cancel_request(std::exchange(request_, nullptr));
  bufferevent* bev = evhttp_connection_get_bufferevent(http_);
  evbuffer_remove_cb(bufferevent_get_output(bev), count_output, this);
  evbuffer_remove_cb(bufferevent_get_input(bev), count_input, this);
  output_memory_.detach(bufferevent_get_output(bev));
  release_response_memory();
  bufferevent_disable(bev, EV_READ | EV_WRITE);
  if (const int fd = bufferevent_getfd(bev); fd >= 0) shutdown(fd, SHUT_RDWR);
}

dispatch::WriteProgress SearchConnection::write_progress() const {
  if (queued_bytes_ == 0 || written_bytes_ == 0) return dispatch::WriteProgress::kNotConnected;
  return is_fully_written() ? dispatch::WriteProgress::kFullyWritten
                            : dispatch::WriteProgress::kPartlyWritten;
}

bool SearchConnection::has_excess_input() const {
  return has_unexpected_input_ ||
         evbuffer_get_length(bufferevent_get_input(evhttp_connection_get_bufferevent(http_))) > 0;
}

bool SearchConnection::is_reusable() const { return !has_unexpected_input_ && is_quiet(http_); }

ResponseId SearchConnection::id_of(evhttp_request* response) const {
  return compare_response_id(*evhttp_request_get_input_headers(response), opaque_id_);
}

bool SearchConnection::answers_request(evhttp_request* response, ResponseId id) const {
  if (has_unexpected_input_ || id == ResponseId::kOther) return false;
  if (id == ResponseId::kSame) return true;
  // An endpoint may refuse a request that it has not read to its end, but it can't have run it.
  const bool can_have_run = is_fully_written() || evhttp_request_get_response_code(response) != kStatusOk;
  return request_count_ == 1 && can_have_run;
}

void SearchConnection::drop_response() {
  has_dropped_response_ = true;
  stop_reading();
  response_memory_.resize(memory_before_last_read_);
}

void SearchConnection::stop_reading() {
  bufferevent* bev = evhttp_connection_get_bufferevent(http_);
  bufferevent_disable(bev, EV_READ);
  evbuffer_drain(bufferevent_get_input(bev), evbuffer_get_length(bufferevent_get_input(bev)));
}

void SearchConnection::count_output(evbuffer*, const evbuffer_cb_info* info, void* context) {
  auto& self = *static_cast<SearchConnection*>(context);
  const bool is_first = self.request_count_ == 1 && self.queued_bytes_ == 0 && info->n_added > 0;
  if (is_first) self.check_new_connection();
  self.queued_bytes_ += info->n_added;
  self.written_bytes_ += info->n_deleted;
}

void SearchConnection::count_input(evbuffer* input, const evbuffer_cb_info* info, void* context) {
  if (info->n_added == 0) return;
  auto& self = *static_cast<SearchConnection*>(context);
  self.handle_input(input, info->n_added);
}

// Called once the connection is established, before the first request is written.
void SearchConnection::check_new_connection() {
  const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(http_));
  if ((ready_events(fd, POLLIN) & POLLIN) == 0) return;
  has_unexpected_input_ = true;
  callbacks_.on_unexpected_input();
}

// Called before the parser gets the bytes.
void SearchConnection::handle_input(evbuffer* input, std::size_t added_bytes) {
  const bool is_response_due = request_ && written_bytes_ > 0;
  if (!is_response_due) {
    has_unexpected_input_ = true;
    bufferevent_disable(evhttp_connection_get_bufferevent(http_), EV_WRITE);
    stop_reading();
    callbacks_.on_unexpected_input();
    return;
  }
  received_bytes_ += added_bytes;
  memory_before_last_read_ = response_memory_.bytes();
  response_message_.record_read(input, added_bytes);
  response_memory_.resize(response_message_.bytes());
  callbacks_.on_received();
}

}  // namespace cairnhub::backend

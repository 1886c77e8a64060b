#include "dispatch/discovery_watch.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <stdexcept>
#include <utility>

#include "base/clock.h"
#include "base/http_connection.h"
#include "base/sockets.h"

namespace cairnhub::dispatch {

namespace {

constexpr Time kMs = kSecond / 1000;
// A watch counts as continued if the next request comes within 200 ms; the first retry must be sooner.
constexpr Time kFirstRetryDelay = 50 * kMs;
constexpr std::size_t kMaxHeaderBytes = 16384;
// What an answer may take while it is read, for each byte that a list may have.
constexpr std::size_t kMaxMemoryPerListByte = 4;
constexpr const char* kRefused = "refused with an HTTP status other than 200";

}  // namespace

// The broker must act on a change within 6 s of the agent having it, even if requests fail in between. An
// unanswered request is noticed after 2.1 s, and each further one after 1.6 s, so that two in a row may fail
// within the 6 s. When an unreachable agent is reachable again, its list counts at once, and drains must be
// obeyed within about 0.25 s. Such an agent answers only the requests that still wait at that moment; so a
// request that follows a failed request waits for nearly all of its time, and the next follows at once.
DiscoveryWatchTiming DiscoveryWatchTiming::pushed() {
  return {.min_wait = 1400 * kMs,
          .max_wait = 1400 * kMs,
          .answer_timeout = 700 * kMs,
          .wait_after_failure = 1400 * kMs,
          .answer_timeout_after_failure = 150 * kMs,
          .complete_list_timeout = 700 * kMs,
          .max_retry_delay = 50 * kMs};
}

// If a request misses a change because the service does not answer, the broker counts as informed of the
// change 6 s after the service stopped answering, or 2 s after the request's wait, whichever is later: the
// request is abandoned at least 1 s before that. Requests at the rate of pushed() overload the service, so
// that none is answered in time and each is abandoned and repeated. If all brokers ask at the same moment,
// after a change or an outage that affected all of them, some are refused until it is too late; so the waits
// differ, and a request that follows a failed request is of the kind that costs the service least.
DiscoveryWatchTiming DiscoveryWatchTiming::polled() {
  return {.min_wait = 3000 * kMs,
          .max_wait = 5000 * kMs,
          .answer_timeout = 1000 * kMs,
          .wait_after_failure = 500 * kMs,
          .answer_timeout_after_failure = 2000 * kMs,
          .complete_list_timeout = 2000 * kMs,
          .max_retry_delay = 1000 * kMs};
}

DiscoveryWatch::DiscoveryWatch(event_base* base, const std::string& discovery_address,
                               DiscoveryWatchTiming timing, std::uint64_t seed, std::size_t max_list_bytes,
                               EndpointRegistry& registry, std::function<void(bool)> on_update)
    : base_(base),
      timing_(timing),
      random_(static_cast<std::mt19937::result_type>(seed)),
      max_list_bytes_(max_list_bytes),
      registry_(registry),
      on_update_(std::move(on_update)),
      next_request_(base, [this] { request_list(); }),
      deadline_(base, [this] { on_deadline(); }) {
  parse_discovery_address(discovery_address);
}

DiscoveryWatch::~DiscoveryWatch() { stop(); }

void DiscoveryWatch::parse_discovery_address(const std::string& discovery_address) {
  Address checked;
  if (!parse_address(discovery_address, checked)) {
    throw std::runtime_error("configuration: discovery is not an address");
  }
  const auto colon = discovery_address.rfind(':');
  host_ = discovery_address.substr(0, colon);
  port_ = static_cast<std::uint16_t>(std::stoi(discovery_address.substr(colon + 1)));
}

// The agent at another address may serve another list, whose revisions aren't comparable with those of the
// current list.
void DiscoveryWatch::set_address(const std::string& discovery_address) {
  parse_discovery_address(discovery_address);
  registry_.reset_revision();
  refresh();
}

// An open request to an agent that no longer answers would delay the refresh until the request's deadline, so
// the request is abandoned.
void DiscoveryWatch::refresh() {
  stop();
  needs_complete_list_ = true;
  retry_delay_ = 0;
  request_list();
}

// Frees the connection, so that the answer to a request from before a change of address can't overwrite a
// newer list.
void DiscoveryWatch::stop() {
  next_request_.stop();
  deadline_.stop();
  if (connection_) evhttp_connection_free(std::exchange(connection_, nullptr));
  connection_revision_ = 0;
}

void DiscoveryWatch::request_list() {
  // The answer to a failed request may still arrive on its connection, and would be taken for the answer to
  // the new request.
  if (retry_delay_ > 0) stop();
  if (connection_ && !is_quiet(connection_)) stop();
  if (!connection_) {
    connection_ = evhttp_connection_base_bufferevent_new(base_, nullptr, nullptr, host_.c_str(), port_);
    if (!connection_) return next_request_.start(timing_.max_retry_delay);
    evhttp_connection_set_max_headers_size(connection_, kMaxHeaderBytes);
    evhttp_connection_set_max_body_size(connection_, static_cast<ev_ssize_t>(max_list_bytes_));
    evbuffer_add_cb(bufferevent_get_input(evhttp_connection_get_bufferevent(connection_)), on_input, this);
  }
  answer_memory_.reset();
  is_answer_too_long_ = false;
  requested_at_ = now();
  evhttp_request* request = evhttp_request_new(
      [](evhttp_request* answered, void* self) {
        guarded("watch", [&] { static_cast<DiscoveryWatch*>(self)->on_answer(answered); });
      },
      this);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
                    (host_ + ":" + std::to_string(port_)).c_str());
  std::string path = "/catalog/members";
  const bool has_failed = last_request_ == LastRequest::kFailed;
  const bool is_for_complete_list = !registry_.has_list() || needs_complete_list_;
  std::uniform_int_distribution<Time> random_wait_ms(timing_.min_wait / kMs, timing_.max_wait / kMs);
  const Time wait = has_failed ? timing_.wait_after_failure : random_wait_ms(random_) * kMs;
  if (!is_for_complete_list) {
    path += "?since=" + std::to_string(registry_.revision()) + "&timeout_ms=" + std::to_string(wait / kMs);
  }
  // libevent's own time-outs start anew with each byte, so that an endless answer would never time out.
  deadline_.start(is_for_complete_list ? timing_.complete_list_timeout
                  : has_failed         ? wait + timing_.answer_timeout_after_failure
                                       : wait + timing_.answer_timeout);
  // evhttp_make_request() frees the request if it fails.
  if (evhttp_make_request(connection_, request, EVHTTP_REQ_GET, path.c_str()) != 0) {
    return on_failure("the request can't be made");
  }
  send_without_delay(bufferevent_getfd(evhttp_connection_get_bufferevent(connection_)));
}

const char* DiscoveryWatch::apply_answer(evhttp_request* request) {
  const int status = request ? evhttp_request_get_response_code(request) : 0;
  if (status == 0) return "no answer";
  if (status != 200) return kRefused;
  evbuffer* body = evhttp_request_get_input_buffer(request);
  const std::size_t length = evbuffer_get_length(body);
  const char* bytes = length ? reinterpret_cast<const char*>(evbuffer_pullup(body, -1)) : "";
  if (const char* error = registry_.apply_list({bytes, length}, connection_revision_)) return error;
  connection_revision_ = registry_.revision();
  return nullptr;
}

void DiscoveryWatch::on_answer(evhttp_request* request) {
  deadline_.stop();
  const auto revision = registry_.revision();
  if (const char* reason = apply_answer(request)) {
    return on_failure(reason, reason == kRefused ? LastRequest::kRefused : LastRequest::kFailed);
  }
  needs_complete_list_ = false;
  last_request_ = LastRequest::kAnswered;
  // An agent that answers at once without changes must not be polled in a busy loop.
  const bool is_early = registry_.revision() == revision && now() - requested_at_ < kFirstRetryDelay;
  retry_delay_ = 0;
  next_request_.start(is_early ? kFirstRetryDelay : 0);  // not from within libevent's callback
  on_update_(true);
}

// Closes the connection, because an answer that still arrives on it belongs to an abandoned request.
void DiscoveryWatch::on_deadline() {
  stop();
  on_failure(is_answer_too_long_ ? "the answer takes too much memory" : "not answered in time");
}

void DiscoveryWatch::on_input(evbuffer*, const evbuffer_cb_info* info, void* self) {
  if (info->n_added == 0) return;
  guarded("watch", [&] { static_cast<DiscoveryWatch*>(self)->record_received(info->n_added); });
}

// Called before the parser gets the bytes. A list is bounded by its length; header fields, and a body in many
// small pieces, take far more memory than their length.
void DiscoveryWatch::record_received(std::size_t bytes) {
  bufferevent* bev = evhttp_connection_get_bufferevent(connection_);
  answer_memory_.record_read(bufferevent_get_input(bev), bytes);
  if (answer_memory_.bytes() <= kMaxMemoryPerListByte * max_list_bytes_) return;
  // The connection can't be closed from within the read that calls this.
  is_answer_too_long_ = true;
  bufferevent_disable(bev, EV_READ);
  evbuffer_drain(bufferevent_get_input(bev), evbuffer_get_length(bufferevent_get_input(bev)));
  deadline_.start(0);
}

void DiscoveryWatch::on_failure(const char* reason, LastRequest result) {
  deadline_.stop();
  log("discovery", "%s:%u: %s; the endpoint list of revision %llu stays in use", host_.c_str(),
      static_cast<unsigned>(port_), reason, static_cast<unsigned long long>(registry_.revision()));
  last_request_ = result;
  retry_delay_ = retry_delay_ == 0 ? kFirstRetryDelay : std::min(2 * retry_delay_, timing_.max_retry_delay);
  next_request_.start(retry_delay_);
  on_update_(false);
}

}  // namespace cairnhub::dispatch

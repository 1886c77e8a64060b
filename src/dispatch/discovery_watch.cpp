#include "dispatch/discovery_watch.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <stdexcept>
#include <utility>

#include "base/clock.h"
#include "base/sockets.h"

namespace cairnhub::dispatch {

namespace {

constexpr Time kMs = kSecond / 1000;
// A watch goes on where the next call comes within 200 ms: the first retry keeps to that.
constexpr Time kFirstRetry = 50 * kMs;
constexpr const char* kRefused = "not a 200";

}  // namespace

// A change has to be acted on within 6 s of discovery having it, whatever becomes of calls in between. One
// silent call takes 2.1 s to be noticed and each further one 1.6 s: two calls in a row may fail before that
// time is up. What the agent has when discovery returns counts at once, and drains must be kept within a
// quarter of a second or so. Danger: an agent that was silent answers at its return the calls that still
// wait, and no others; so a call that follows a failed one waits nearly all of its time, and the next comes
// at once.
DiscoveryWatchTiming DiscoveryWatchTiming::pushed() {
  return {.min_wait = 1400 * kMs,
          .max_wait = 1400 * kMs,
          .answer_timeout = 700 * kMs,
          .wait_after_failure = 1400 * kMs,
          .answer_timeout_after_failure = 150 * kMs,
          .complete_list_timeout = 700 * kMs,
          .max_retry_delay = 50 * kMs};
}

// What a silent call misses counts as told 6 s after it fell silent, or 2 s after its wait, if that is later:
// it is given up a second before that at the latest. Danger: calls at the pace of pushed lists use up the
// service, so that none is answered in time, is given up and made again. Danger: all brokers call at the same
// moment, after a change that was told to all of them or a silence that began with it, and some are refused
// until it is too late; so the waits differ, and a failed call is followed by one that costs the service
// least.
DiscoveryWatchTiming DiscoveryWatchTiming::polled() {
  return {.min_wait = 3000 * kMs,
          .max_wait = 5000 * kMs,
          .answer_timeout = 1000 * kMs,
          .wait_after_failure = 500 * kMs,
          .answer_timeout_after_failure = 2000 * kMs,
          .complete_list_timeout = 2000 * kMs,
          .max_retry_delay = 1000 * kMs};
}

DiscoveryWatch::DiscoveryWatch(event_base* base, const std::string& discovery, DiscoveryWatchTiming timing,
                               std::uint64_t seed, std::size_t largest_list, EndpointRegistry& members,
                               std::function<void(bool)> on_update)
    : base_(base),
      timing_(timing),
      random_(static_cast<std::mt19937::result_type>(seed)),
      largest_list_(largest_list),
      members_(members),
      on_update_(std::move(on_update)),
      next_call_(base, [this] { request_list(); }),
      deadline_(base, [this] { on_deadline(); }) {
  parse_discovery_address(discovery);
}

DiscoveryWatch::~DiscoveryWatch() { stop(); }

void DiscoveryWatch::parse_discovery_address(const std::string& discovery) {
  Address checked;
  if (!parse_address(discovery, checked))
    throw std::runtime_error("configuration: discovery is not an address");
  const auto colon = discovery.rfind(':');
  host_ = discovery.substr(0, colon);
  port_ = static_cast<std::uint16_t>(std::stoi(discovery.substr(colon + 1)));
}

// Danger: another address may stand for another list, whose revisions aren't those of the one in hand.
void DiscoveryWatch::set_address(const std::string& discovery) {
  parse_discovery_address(discovery);
  members_.reset_revision();
  refresh();
}

// Danger: an agent that fell silent with a call open would be waited for as long as that may last.
void DiscoveryWatch::refresh() {
  stop();
  whole_list_ = true;
  retry_wait_ = 0;
  request_list();
}

// Danger: the answer to a call from before a move would overwrite a newer list. With its connection it is
// gone.
void DiscoveryWatch::stop() {
  next_call_.stop();
  deadline_.stop();
  if (connection_) evhttp_connection_free(std::exchange(connection_, nullptr));
}

void DiscoveryWatch::request_list() {
  // Danger: after a failed call its connection may still bring an answer, which would be taken for the next
  // one's.
  if (retry_wait_ > 0) stop();
  if (!connection_) {
    connection_ = evhttp_connection_base_bufferevent_new(base_, nullptr, nullptr, host_.c_str(), port_);
    if (!connection_) return next_call_.start(timing_.max_retry_delay);
    evhttp_connection_set_max_body_size(connection_, static_cast<ev_ssize_t>(largest_list_));
  }
  called_at_ = now();
  evhttp_request* request = evhttp_request_new(
      [](evhttp_request* r, void* self) {
        guarded("watch", [&] { static_cast<DiscoveryWatch*>(self)->on_answer(r); });
      },
      this);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
                    (host_ + ":" + std::to_string(port_)).c_str());
  std::string path = "/catalog/members";
  const bool failed = last_call_ == LastCall::failed;
  const bool whole_list = !members_.has_list() || whole_list_;
  std::uniform_int_distribution<Time> drawn(timing_.min_wait / kMs, timing_.max_wait / kMs);
  const Time wait = failed ? timing_.wait_after_failure : drawn(random_) * kMs;
  if (!whole_list)
    path += "?since=" + std::to_string(members_.revision()) + "&timeout_ms=" + std::to_string(wait / kMs);
  // Danger: the library's own time-outs begin anew with each byte, so that an answer without end would never
  // end.
  deadline_.start(whole_list ? timing_.complete_list_timeout
                  : failed   ? wait + timing_.answer_timeout_after_failure
                             : wait + timing_.answer_timeout);
  // A request that can't be made is gone with the failure.
  if (evhttp_make_request(connection_, request, EVHTTP_REQ_GET, path.c_str()) != 0)
    return on_failure("can't be called");
  send_without_delay(bufferevent_getfd(evhttp_connection_get_bufferevent(connection_)));
}

const char* DiscoveryWatch::take_answer(evhttp_request* request) {
  const int status = request ? evhttp_request_get_response_code(request) : 0;
  if (status == 0) return "no answer";
  if (status != 200) return kRefused;
  evbuffer* body = evhttp_request_get_input_buffer(request);
  const std::size_t length = evbuffer_get_length(body);
  const char* bytes = length ? reinterpret_cast<const char*>(evbuffer_pullup(body, -1)) : "";
  return members_.apply_list({bytes, length});
}

void DiscoveryWatch::on_answer(evhttp_request* request) {
  deadline_.stop();
  const auto revision = members_.revision();
  if (const char* reason = take_answer(request))
    return on_failure(reason, reason == kRefused ? LastCall::refused : LastCall::failed);
  whole_list_ = false;
  last_call_ = LastCall::answered;
  // Danger: an agent that answers at once with nothing new would be asked without end.
  const bool at_once = members_.revision() == revision && now() - called_at_ < kFirstRetry;
  retry_wait_ = 0;
  next_call_.start(at_once ? kFirstRetry : 0);  // not from within the library's callback
  on_update_(true);
}

// The connection is closed, not used again: what it may still bring belongs to a call that was given up.
void DiscoveryWatch::on_deadline() {
  stop();
  on_failure("silent for too long");
}

void DiscoveryWatch::on_failure(const char* reason, LastCall how) {
  deadline_.stop();
  log("discovery", "%s; the list in hand stays, revision %llu", reason,
      static_cast<unsigned long long>(members_.revision()));
  last_call_ = how;
  retry_wait_ = retry_wait_ == 0 ? kFirstRetry : std::min(2 * retry_wait_, timing_.max_retry_delay);
  next_call_.start(retry_wait_);
  on_update_(false);
}

}  // namespace cairnhub::dispatch

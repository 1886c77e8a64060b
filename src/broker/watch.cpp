#include "broker/watch.h"

#include <event2/buffer.h>
#include <event2/http.h>

#include <stdexcept>
#include <utility>

#include "base/clock.h"

namespace cairnhub::broker {

namespace {

// Discovery lets a call wait so long at most; short ones notice a dead agent sooner and cost nothing.
constexpr int kWaitMs = 5000, kAnswerWithinMs = 1000;
// A watch goes on where the next call comes within 200 ms: the first new try keeps to that.
constexpr Time kFirstRetry = 50 * kSecond / 1000, kLongestRetry = kSecond;
constexpr std::size_t kLargestList = 4 << 20;

}  // namespace

Watch::Watch(event_base* base, const std::string& discovery, Members& members, std::function<void(bool)> news)
    : base_(base), members_(members), news_(std::move(news)), again_(base, [this] { call(); }) {
  at(discovery);
}

void Watch::at(const std::string& discovery) {
  Address checked;
  if (!parse_address(discovery, checked))
    throw std::runtime_error("configuration: discovery is not an address");
  const auto colon = discovery.rfind(':');
  host_ = discovery.substr(0, colon);
  port_ = static_cast<std::uint16_t>(std::stoi(discovery.substr(colon + 1)));
}

Watch::~Watch() { stop(); }

// Danger: another address may stand for another list, whose revisions aren't those of the one in hand.
void Watch::move(const std::string& discovery) {
  at(discovery);
  stop();
  whole_ = true, wait_ = 0;
  members_.anew();
  call();
}

// Danger: an agent that fell silent with a call open would be waited for as long as that may last.
void Watch::ask_anew() {
  stop();
  whole_ = true, wait_ = 0;
  call();
}

void Watch::stop() {
  again_.stop();
  if (connection_) evhttp_connection_free(std::exchange(connection_, nullptr));
}

void Watch::call() {
  if (!connection_) {
    connection_ = evhttp_connection_base_bufferevent_new(base_, nullptr, nullptr, host_.c_str(), port_);
    if (!connection_) return again_.start(kLongestRetry);
    evhttp_connection_set_max_body_size(connection_, kLargestList);
    const timeval tv{(kWaitMs + kAnswerWithinMs) / 1000, (kWaitMs + kAnswerWithinMs) % 1000 * 1000};
    evhttp_connection_set_timeout_tv(connection_, &tv);
  }
  called_at_ = now();
  evhttp_request* request = evhttp_request_new(
      [](evhttp_request* r, void* self) {
        guarded("watch", [&] { static_cast<Watch*>(self)->answered(r); });
      },
      this);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
                    (host_ + ":" + std::to_string(port_)).c_str());
  std::string path = "/catalog/members";
  if (members_.held() && !whole_)
    path += "?since=" + std::to_string(members_.revision()) + "&timeout_ms=" + std::to_string(kWaitMs);
  if (evhttp_make_request(connection_, request, EVHTTP_REQ_GET, path.c_str()) != 0)
    again_.start(kLongestRetry);  // the request has gone with the failure
}

void Watch::answered(evhttp_request* request) {
  const char* trouble = "no answer";
  bool at_once = false;
  if (request && evhttp_request_get_response_code(request) == 200) {
    evbuffer* body = evhttp_request_get_input_buffer(request);
    const std::size_t n = evbuffer_get_length(body);
    const char* bytes = n ? reinterpret_cast<const char*>(evbuffer_pullup(body, -1)) : "";
    const auto before = members_.revision();
    trouble = members_.take({bytes, n});
    if (!trouble) whole_ = false;
    // Danger: an agent that answers at once with nothing new would be asked without end.
    at_once = members_.revision() == before && now() - called_at_ < kFirstRetry;
  } else if (request && evhttp_request_get_response_code(request) != 0) {
    trouble = "not a 200";
  }
  if (trouble) {
    log("discovery", "%s; the list in hand stays, revision %llu", trouble,
        static_cast<unsigned long long>(members_.revision()));
    wait_ = wait_ == 0 ? kFirstRetry : std::min(2 * wait_, kLongestRetry);
  } else {
    wait_ = at_once ? kFirstRetry : 0;
  }
  again_.start(wait_);  // not from within the library's callback
  news_(trouble == nullptr);
}

}  // namespace cairnhub::broker

// Mangled bytes at each place where they come in: node frames, lists, settings, requests. Most are refused,
// some pass, none does harm; run under the sanitizers by .ci/run. The counts are the same each time.
#include <event2/event.h>

#include <cstdio>
#include <nlohmann/json.hpp>
#include <random>

#include "backend/framed/frame_codec.h"
#include "backend/framed/framed_client.h"
#include "dispatch/endpoint_registry.h"
#include "frontend/platform/request_parser.h"

using namespace cairnhub;
using namespace cairnhub::dispatch;

namespace {

std::mt19937 rng(5);

std::string mangled(std::string bytes) {
  static const std::string likely = "0123456789.-+eE\"{}[],:\\ \n\xff";
  for (auto changes = 1 + rng() % 3; changes > 0 && !bytes.empty(); --changes) {
    const std::size_t at = rng() % bytes.size();
    const char c = rng() % 2 ? likely[rng() % likely.size()] : static_cast<char>(rng());
    switch (rng() % 4) {
      case 0:
        bytes[at] = c;
        break;
      case 1:
        bytes.insert(at, 1, c);
        break;
      case 2:
        bytes.erase(at, 1 + rng() % 8);
        break;
      default: {
        const std::size_t from = rng() % bytes.size(), length = rng() % 16;
        bytes.insert(at, bytes.substr(from, length));
      }
    }
  }
  return bytes;
}

template <class F>
void tried(const char* what, const std::string& sound, int times, F passes) {
  int passed = 0;
  for (int i = 0; i < times; ++i) passed += passes(mangled(sound)) ? 1 : 0;
  std::printf("%s: sound one %s, of %d mangled %d pass\n", what, passes(sound) ? "passes" : "refused", times,
              passed);
}

struct Silent : Responder {
  void respond(int, std::string_view, std::string, const char*) override {}
  void respond_in_pieces(int, const char*, BodySource&) override {}
  void resume() override {}
};

const std::string kSettings =
    "{\"balancers\":2,\"ceilings\":{\"cancel\":true,\"try-limit\":3},\"classes\":[{\"name\":\"all\","
    "\"promise\":"
    "1.5,\"deadline\":4.0,\"effect\":\"free\"}],\"family-info\":{\"need-by-class\":[0.5],\"positions\":12,"
    "\"ranges\":12,\"width\":3},\"rules\":{\"cold\":17.0,\"cold-from\":0.17},\"tick\":0.005}";

}  // namespace

int main() {
  tried("frame", "Em1.3 hit 1840277719 inflight=7,util=0.61\n5be2a07c", 20000,
        [](const std::string& b) { return backend::framed::parse_shard_result(b).has_value(); });

  RequestPolicy listed(1);
  EndpointRegistry members(listed, [](EndpointId, const EndpointRegistry::Entry&) {});
  tried("list",
        "{\"revision\":41,\"complete\":true,\"members\":[{\"id\":\"s-1\",\"host_port\":\"127.0.0.1:9000\","
        "\"cell\":3,\"phase\":\"in_service\",\"up_since_ms\":1700000000000}]}",
        5000, [&](const std::string& b) { return members.apply_list(b) == nullptr; });

  tried("settings", kSettings, 5000, [](const std::string& b) {
    try {
      RequestPolicy d(1);
      const auto json = nlohmann::json::parse(b, nullptr, false);
      settings::apply(settings::Settings::from_json(json), d);
      return true;
    } catch (const settings::SettingError&) {
      return false;
    }
  });

  // Requests, admitted by a broker without nodes: what passes is pushed back at once.
  event_base* base = event_base_new();
  {
    const auto s = settings::Settings::from_json(nlohmann::json::parse(kSettings));
    RequestPolicy d(1);
    settings::apply(s, d);
    const auto memory = std::make_shared<ClientMemory>(1 << 26);
    InFlightRequests book(d, memory);
    backend::FramedClient client(
        base, {32, 1, kSecond, kSecond, 8}, memory, [](Attempt&, const AttemptResult&) {}, [] {});
    RequestDispatcher route(
        base, d, book, client, [](EndpointId) {}, [] { return false; });
    frontend::platform::RequestParser parser(s, book, route);
    int n = 0;
    tried("request",
          "{\"buckets\":[{\"bucket\":3,\"part\":0.5,\"effort\":9000},{\"bucket\":9,\"part\":0.5}],\"body\":"
          "\"c4\"}",
          5000, [&](const std::string& b) {
            const std::string name = "m" + std::to_string(++n);
            return parser.start_request({"all", name.c_str(), "all", "0.480", nullptr, b},
                                        std::make_unique<Silent>()) != 0;
          });
  }
  event_base_free(base);
}

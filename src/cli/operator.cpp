#include "cli/operator.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <sodium.h>

#include <CLI/CLI.hpp>
#include <cstdio>

#include "options/options.h"

namespace cairnhub::cli {

int complain(int status, const std::string& line) {
  std::fprintf(stderr, "cairnhub: %s\n", line.c_str());
  return status;
}

namespace {

struct Answer {
  int status = 0;  // 0: none
  std::string body;
};

// One request, waited for. `body` empty: a GET.
Answer ask(const std::string& at, const std::string& path, const std::string& body) {
  struct State {
    event_base* base;
    Answer answer;
  } state{event_base_new(), {}};
  const auto colon = at.rfind(':');
  evhttp_connection* c =
      evhttp_connection_base_new(state.base, nullptr, at.substr(0, colon).c_str(),
                                 static_cast<std::uint16_t>(std::atoi(at.substr(colon + 1).c_str())));
  evhttp_connection_set_timeout(c, 20);
  evhttp_request* r = evhttp_request_new(
      [](evhttp_request* got, void* p) {
        State& s = *static_cast<State*>(p);
        if (got) {
          s.answer.status = evhttp_request_get_response_code(got);
          evbuffer* in = evhttp_request_get_input_buffer(got);
          s.answer.body.resize(evbuffer_get_length(in));
          evbuffer_copyout(in, s.answer.body.data(), s.answer.body.size());
        }
        event_base_loopbreak(s.base);
      },
      &state);
  evhttp_add_header(evhttp_request_get_output_headers(r), "Host", at.c_str());
  evhttp_add_header(evhttp_request_get_output_headers(r), "Connection", "close");
  if (!body.empty()) evbuffer_add(evhttp_request_get_output_buffer(r), body.data(), body.size());
  if (evhttp_make_request(c, r, body.empty() ? EVHTTP_REQ_GET : EVHTTP_REQ_POST, path.c_str()) == 0)
    event_base_dispatch(state.base);
  evhttp_connection_free(c);
  event_base_free(state.base);
  return state.answer;
}

std::string address(const Said& s) {
  if (!s.at.empty()) return s.at;
  if (s.options.empty()) return "";
  const auto o = options::read(s.options);
  return o.fleet ? o.fleet->operators : "";
}

}  // namespace

std::optional<json> fetch(const Said& s, const char* path, int& status) {
  const std::string at = address(s);
  if (at.empty() || at.rfind(':') == std::string::npos) {
    status = complain(
        kUsage, "no operators' address: give --at, or --options of a file whose fleet states operators");
    return std::nullopt;
  }
  const Answer a = ask(at, path, "");
  if (a.status == 0) return status = complain(kNoAnswer, "no answer from " + at), std::nullopt;
  auto j = json::parse(a.body, nullptr, false);
  if (a.status != 200 || !j.is_object()) {
    status = complain(kRefused, j.is_object() && j.contains("error") ? j["error"].get<std::string>()
                                                                     : "answer " + std::to_string(a.status));
    return std::nullopt;
  }
  return j;
}

int propose(const Said& s, const json& what) {
  const Answer a = ask(address(s), "/accord/propose", what.dump());
  if (a.status == 0 || a.status == 504) {
    std::fprintf(stderr, "cairnhub: no verdict; it may yet be taken. Say it again with --id %s\n",
                 what["id"].get<std::string>().c_str());
    return kNotKnown;
  }
  const auto j = json::parse(a.body, nullptr, false);
  if (s.as_json) std::printf("%s\n", j.is_object() ? j.dump(2).c_str() : "{}");
  if (a.status == 200) {
    if (!s.as_json) std::printf("taken as %llu\n", j["number"].get<unsigned long long>());
    return kDone;
  }
  const std::string why = j.is_object() && j.contains("refused")
                              ? "refused: " + j["refused"].get<std::string>()
                          : j.is_object() && j.contains("error") ? j["error"].get<std::string>()
                                                                 : "answer " + std::to_string(a.status);
  return complain(kRefused, why);
}

std::string fresh_id() {
  unsigned char bytes[8];
  randombytes_buf(bytes, sizeof bytes);
  char hex[17];
  sodium_bin2hex(hex, sizeof hex, bytes, sizeof bytes);
  return hex;
}

void where(CLI::App* c, const std::shared_ptr<Said>& said) {
  c->add_option("--options", said->options, "the operators' options, for their address")
      ->envname("CAIRNHUB_OPTIONS")
      ->type_name("FILE");
  c->add_option("--at", said->at, "the operators' address of a broker")->type_name("ADDRESS");
  c->add_flag("--json", said->as_json, "JSON instead of text");
}

void by(CLI::App* c, const std::shared_ptr<Said>& said, bool why_needed) {
  c->add_option("--who", said->who, "who proposes it")->required();
  auto* w = c->add_option("--why", said->why, "why");
  if (why_needed) w->required();
  c->add_option("--id", said->id, "of a proposal said before, which then counts once");
}

void run(CLI::App* c, int& status, std::function<int()> what) {
  c->callback([&status, what = std::move(what)] {
    try {
      status = sodium_init() < 0 ? complain(kRefused, "no source of random numbers") : what();
    } catch (const std::exception& e) {
      status = complain(kRefused, e.what());
    }
  });
}

}  // namespace cairnhub::cli

#include "cli/operator.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <sodium.h>

#include <CLI/CLI.hpp>
#include <cstdio>

#include "options/options.h"

namespace cairnhub::cli {

int report_error(int status, const std::string& message) {
  std::fprintf(stderr, "cairnhub: %s\n", message.c_str());
  return status;
}

namespace {

constexpr int kRequestTimeoutSeconds = 20;

struct HttpResponse {
  int status = 0;  // 0: no response
  std::string body;
};

// Sends one request and waits for the response.
// @param address host:port
// @param body the body of a POST; empty: the request is a GET
HttpResponse send_request(const std::string& address, const std::string& path, const std::string& body) {
  struct State {
    event_base* base;
    HttpResponse response;
  } state{event_base_new(), {}};
  const auto colon = address.rfind(':');
  evhttp_connection* connection =
      evhttp_connection_base_new(state.base, nullptr, address.substr(0, colon).c_str(),
                                 static_cast<std::uint16_t>(std::atoi(address.substr(colon + 1).c_str())));
  evhttp_connection_set_timeout(connection, kRequestTimeoutSeconds);
  evhttp_request* request = evhttp_request_new(
      [](evhttp_request* completed, void* context) {
        State& s = *static_cast<State*>(context);
        if (completed) {
          s.response.status = evhttp_request_get_response_code(completed);
          evbuffer* input = evhttp_request_get_input_buffer(completed);
          s.response.body.resize(evbuffer_get_length(input));
          evbuffer_copyout(input, s.response.body.data(), s.response.body.size());
        }
        event_base_loopbreak(s.base);
      },
      &state);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host", address.c_str());
  evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
  if (!body.empty()) evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
  if (evhttp_make_request(connection, request, body.empty() ? EVHTTP_REQ_GET : EVHTTP_REQ_POST,
                          path.c_str()) == 0) {
    event_base_dispatch(state.base);
  }
  evhttp_connection_free(connection);
  event_base_free(state.base);
  return state.response;
}

// @return the address of the admin API; empty if neither the options file nor the command line states one
std::string admin_address(const ClientOptions& client_options) {
  if (!client_options.address.empty()) return client_options.address;
  if (client_options.options_path.empty()) return "";
  const auto options = options::read(client_options.options_path);
  return options.cluster ? options.cluster->admin_address : "";
}

}  // namespace

std::optional<json> fetch(const ClientOptions& options, const char* path, int& status) {
  const std::string address = admin_address(options);
  if (address.empty() || address.rfind(':') == std::string::npos) {
    status =
        report_error(kInvalidArguments,
                     "no operators' address: give --at, or --options of a file whose fleet states operators");
    return std::nullopt;
  }
  const HttpResponse response = send_request(address, path, "");
  if (response.status == 0) {
    status = report_error(kNoResponse, "no answer from " + address);
    return std::nullopt;
  }
  auto object = json::parse(response.body, nullptr, false);
  if (response.status != 200 || !object.is_object()) {
    status = report_error(kFailure, object.is_object() && object.contains("error")
                                        ? object["error"].get<std::string>()
                                        : "answer " + std::to_string(response.status));
    return std::nullopt;
  }
  return object;
}

int submit_proposal(const ClientOptions& options, const json& proposal) {
  const HttpResponse response = send_request(admin_address(options), "/accord/propose", proposal.dump());
  if (response.status == 0 || response.status == 504) {
    std::fprintf(stderr, "cairnhub: no verdict; it may yet be taken. Say it again with --id %s\n",
                 proposal["id"].get<std::string>().c_str());
    return kOutcomeUnknown;
  }
  const auto outcome = json::parse(response.body, nullptr, false);
  if (options.prints_json) std::printf("%s\n", outcome.is_object() ? outcome.dump(2).c_str() : "{}");
  if (response.status == 200) {
    if (!options.prints_json) std::printf("taken as %llu\n", outcome["number"].get<unsigned long long>());
    return kSuccess;
  }
  const std::string message =
      outcome.is_object() && outcome.contains("refused") ? "refused: " + outcome["refused"].get<std::string>()
      : outcome.is_object() && outcome.contains("error") ? outcome["error"].get<std::string>()
                                                         : "answer " + std::to_string(response.status);
  return report_error(kFailure, message);
}

std::string random_proposal_id() {
  unsigned char bytes[8];
  randombytes_buf(bytes, sizeof bytes);
  char hex[17];
  sodium_bin2hex(hex, sizeof hex, bytes, sizeof bytes);
  return hex;
}

void add_connection_options(CLI::App* command, const std::shared_ptr<ClientOptions>& options) {
  command
      ->add_option("--options", options->options_path,
                   "the operator's options file, for the address in fleet.operators")
      ->envname("CAIRNHUB_OPTIONS")
      ->type_name("FILE");
  command->add_option("--at", options->address, "the address of a broker's admin API, instead of --options")
      ->type_name("ADDRESS");
  command->add_flag("--json", options->prints_json, "print JSON instead of text");
}

void add_proposal_options(CLI::App* command, const std::shared_ptr<ClientOptions>& options,
                          bool is_reason_required) {
  command->add_option("--who", options->who, "who proposes the change")->required();
  auto* reason = command->add_option("--why", options->why, "the reason for the change");
  if (is_reason_required) reason->required();
  command->add_option("--id", options->id,
                      "repeat the earlier proposal that has this id; it takes effect only once");
}

void set_action(CLI::App* command, int& status, std::function<int()> action) {
  command->callback([&status, action = std::move(action)] {
    try {
      status = sodium_init() < 0 ? report_error(kFailure, "no source of random numbers") : action();
    } catch (const std::exception& e) {
      status = report_error(kFailure, e.what());
    }
  });
}

}  // namespace cairnhub::cli

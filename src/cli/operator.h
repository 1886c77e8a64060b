// Helper functions for the sub-commands that are clients of a running broker: they handle the admin API's
// address, requests, proposals and errors.
#pragma once
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace CLI {
class App;
}

namespace cairnhub::cli {

using json = nlohmann::ordered_json;

// Exit statuses of client sub-commands.
enum ExitStatus {
  kSuccess = 0,
  kFailure = 1,  // the broker rejected the request, or a local error
  kInvalidArguments = 2,
  kNoResponse = 3,      // no response from the broker
  kOutcomeUnknown = 4,  // the proposal may or may not have been accepted: repeat it with the same --id
};

// Values of the command-line options and arguments. Each sub-command sets the values that it has options for.
struct ClientOptions {
  std::string options_path;
  std::string address;       // address of the admin API; empty: as stated in the options file
  std::string rules_path;    // path of the file with the rules to propose
  std::string who;           // the person who proposes the change
  std::string why;           // the reason for the change
  std::string id;            // id of the proposal; empty: a random id
  std::string target_name;   // name of the broker, zone or machine that the command is about
  std::uint64_t number = 0;  // number of a version or of a maintenance job
  std::uint64_t other_version = 0;
  std::uint64_t base_version = 0;  // 0: the newest version
  bool prints_json = false;
  bool confirms_majority_lost = false;
  bool proposes_baseline = false;
};

// Prints the message to standard error, after the name of the program.
// @return `status`
int report_error(int status, const std::string& message);

// Sends a GET to the admin API and waits for the response.
// @param status set to an exit status if nothing is returned; the error has then been reported
// @return the JSON object in the response
std::optional<json> fetch(const ClientOptions& options, const char* path, int& status);

// Sends a proposal to the admin API, waits for the response and prints the outcome. The address isn't
// validated here: if it is missing or wrong, the status is `kOutcomeUnknown`.
// @return the exit status
int submit_proposal(const ClientOptions& options, const json& proposal);

std::string random_proposal_id();

// Adds the options for the broker's address and for the output format.
void add_connection_options(CLI::App* command, const std::shared_ptr<ClientOptions>& options);
// Adds the options that state who proposes a change and why.
void add_proposal_options(CLI::App* command, const std::shared_ptr<ClientOptions>& options,
                          bool is_reason_required);
// Runs `action` when `command` is parsed and stores its exit status in `status`. An exception is reported as
// an error and gives `kFailure`.
void set_action(CLI::App* command, int& status, std::function<int()> action);

}  // namespace cairnhub::cli

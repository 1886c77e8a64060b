#include "cli/cli.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "cli/accord.h"
#include "cli/serve.h"
#include "cli/upkeep.h"
#include "cli/zones.h"
#include "dispatch/endpoint_registry.h"
#include "options/options.h"
#include "server/broker.h"
#include "transport/mac_key.h"

#ifndef CAIRNHUB_VERSION
#define CAIRNHUB_VERSION "unknown"
#endif

namespace cairnhub::cli {

namespace {

// Distinguishes a configuration from options by the first character: a configuration is JSON and begins with
// a brace, and options never begin with a brace.
bool is_configuration(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  char c = 0;
  while (in.get(c)) {
    if (c != ' ' && c != '\t' && c != '\r' && c != '\n') return c == '{';
  }
  return false;
}

// Runs the `check` sub-command: validates each file as `serve` does and prints one line for each file.
// Options are checked against the last configuration named before them.
// @return the exit status
int check(const std::vector<std::string>& files) {
  int error_count = 0;
  std::unique_ptr<dispatch::Config> config;
  for (const std::string& file : files) {
    try {
      if (is_configuration(file)) {
        config = std::make_unique<dispatch::Config>(dispatch::read_config(file));
        RequestPolicy policy(config->seed);
        settings::apply(config->settings, policy);
        Address address;
        if (!parse_address(config->listen_address, address))
          throw std::runtime_error("configuration: listen is not an address");
        if (!parse_address(config->discovery_address, address))
          throw std::runtime_error("configuration: discovery is not an address");
      } else {
        const auto options = options::read(file);
        if (options.cluster) transport::read_keys(options.cluster->key_path);
        if (config) {
          options::resolve_two_phase_classes(options, config->settings);
          options::resolve_search_indices(options, config->settings);
          options::check_cluster(options, config->settings);
        }
      }
      std::printf("%s: good\n", file.c_str());
    } catch (const std::exception& e) {
      const std::string message = e.what();
      const bool names_file = message.rfind(file, 0) == 0;
      std::fprintf(stderr, "%s%s%s\n", names_file ? "" : file.c_str(), names_file ? "" : ": ",
                   message.c_str());
      ++error_count;
    }
  }
  return error_count ? 1 : 0;
}

constexpr const char* kHelpFooter =
    "Environment:\n"
    "  RELAY_CONFIG      the configuration file (JSON), unless --config is given\n"
    "  RELAY_NAME, RELAY_LISTEN, RELAY_DISCOVERY\n"
    "                    also set by the platform, but not read: the configuration holds the same values\n"
    "  CAIRNHUB_OPTIONS  the operator's options file (protobuf text), unless --options is given\n"
    "Exit status: 0 success; 1 failure, with one line on standard error for each error; 2 invalid arguments.";

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"cairnhub, a broker for reads that fan out over many shards", "cairnhub"};
  app.footer(kHelpFooter);
  app.require_subcommand(0, 1);
  std::string config_path;
  std::string options_path;
  std::vector<std::string> files;
  // Without a sub-command the program serves, so the options of `serve` belong to the program as well.
  auto* serve_command = app.add_subcommand("serve", "run the broker (the default command)");
  for (CLI::App* command : {&app, serve_command}) {
    command->add_option("--config", config_path, "the configuration file")
        ->envname("RELAY_CONFIG")
        ->type_name("FILE");
    command->add_option("--options", options_path, "the operator's options file")
        ->envname("CAIRNHUB_OPTIONS")
        ->type_name("FILE");
  }
  serve_command->footer(kHelpFooter);
  auto* check_command = app.add_subcommand("check", "check configuration and options files");
  check_command->add_option("FILE", files, "options are checked against the configuration before them")
      ->required();
  int client_status = 0;
  add_accord(app, client_status);
  add_zones(app, client_status);
  add_upkeep(app, client_status);
  auto* version_command = app.add_subcommand("version", "print the version");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    if (e.get_exit_code() == 0) return app.exit(e);  // help
    std::fprintf(stderr, "cairnhub: %s; see cairnhub --help\n", e.what());
    return 2;
  }
  if (app.got_subcommand("accord") || app.got_subcommand("peers") || app.got_subcommand("zones") ||
      app.got_subcommand("upkeep")) {
    return client_status;
  }
  if (*version_command) {
    std::printf("cairnhub %s\n", CAIRNHUB_VERSION);
    return 0;
  }
  if (*check_command) return check(files);
  return serve(config_path, options_path);
}

}  // namespace cairnhub::cli

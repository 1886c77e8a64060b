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

// A configuration is JSON, and so begins with a brace; options never do.
bool is_configuration(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  char c = 0;
  while (in.get(c))
    if (c != ' ' && c != '\t' && c != '\r' && c != '\n') return c == '{';
  return false;
}

// All faults that a start with these files would meet, one line each; options are held against the
// configuration named last before them.
int check(const std::vector<std::string>& files) {
  int faults = 0;
  std::unique_ptr<dispatch::Config> config;
  for (const std::string& file : files) {
    try {
      if (is_configuration(file)) {
        config = std::make_unique<dispatch::Config>(dispatch::read_config(file));
        RequestPolicy policy(config->seed);
        settings::apply(config->settings, policy);
        Address at;
        if (!parse_address(config->listen_address, at))
          throw std::runtime_error("configuration: listen is not an address");
        if (!parse_address(config->discovery_address, at))
          throw std::runtime_error("configuration: discovery is not an address");
      } else {
        const auto options = options::read(file);
        if (options.fleet) transport::read_keys(options.fleet->key_file);
        if (config)
          options::resolve(options, config->settings), options::resolve_indices(options, config->settings),
              options::check_fleet(options, config->settings);
      }
      std::printf("%s: good\n", file.c_str());
    } catch (const std::exception& e) {
      const std::string line = e.what();
      const bool named = line.rfind(file, 0) == 0;
      std::fprintf(stderr, "%s%s%s\n", named ? "" : file.c_str(), named ? "" : ": ", line.c_str());
      ++faults;
    }
  }
  return faults ? 1 : 0;
}

constexpr const char* kVariables =
    "Environment:\n"
    "  RELAY_CONFIG      the configuration file (JSON), where --config is not given\n"
    "  RELAY_NAME, RELAY_LISTEN, RELAY_DISCOVERY\n"
    "                    also set by the platform; the configuration holds the same\n"
    "  CAIRNHUB_OPTIONS  the operators' options (protobuf text), where --options is not given\n"
    "Exit status: 0 done, 1 one line on standard error says what was wrong, 2 unusable arguments.";

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"cairnhub, a broker for reads that fan out over many shards", "cairnhub"};
  app.footer(kVariables);
  app.require_subcommand(0, 1);
  std::string config, options;
  std::vector<std::string> files;
  // Where no sub-command is named, it serves.
  auto* serve_command = app.add_subcommand("serve", "run the broker; also what runs with no command");
  for (CLI::App* at : {&app, serve_command}) {
    at->add_option("--config", config, "the configuration")->envname("RELAY_CONFIG")->type_name("FILE");
    at->add_option("--options", options, "the operators' options")
        ->envname("CAIRNHUB_OPTIONS")
        ->type_name("FILE");
  }
  serve_command->footer(kVariables);
  auto* check_command = app.add_subcommand("check", "say whether configurations and options will do");
  check_command->add_option("FILE", files, "options are held against the configuration before them")
      ->required();
  int accord_status = 0;
  add_accord(app, accord_status);
  add_zones(app, accord_status);
  add_upkeep(app, accord_status);
  auto* version_command = app.add_subcommand("version", "print the version");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    if (e.get_exit_code() == 0) return app.exit(e);  // help
    std::fprintf(stderr, "cairnhub: %s; see cairnhub --help\n", e.what());
    return 2;
  }
  if (app.got_subcommand("accord") || app.got_subcommand("peers") || app.got_subcommand("zones") ||
      app.got_subcommand("upkeep"))
    return accord_status;
  if (*version_command) return std::printf("cairnhub %s\n", CAIRNHUB_VERSION), 0;
  if (*check_command) return check(files);
  return serve(config, options);
}

}  // namespace cairnhub::cli

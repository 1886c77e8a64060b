// The program under test with its discovery, as a story's deployment has them.
#pragma once
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <climits>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <memory>
#include <string>

#include "stand_ins/client.h"

namespace cairnhub::stand_ins {

// How a story's deployment differs from the others'.
struct Setup {
  int cells = 1, replicas = 1, shards = 0;  // no shards stated: as many as cells
  int parts_a_call = 1, sockets = 256, memory_mb = 192;
  const char *budget = "2", *connect_within = "0.25", *keepalive = "15", *deadline = "60", *cold = "10",
             *fall_span = "2";
  std::string config = {};     // the whole of it, where stated
  std::string options = {};    // the operators', where stated
  std::string flavors = {};    // of nodes 1, 2, ..., a letter each; absent: all `m`
  int log = -1;                // where its log goes; -1: nowhere
  std::string run = {};        // a deploy file's `run`, where the program is to start as it says, confined
  bool known = true;           // the configuration names the nodes
  bool subscribe = false;      // the list has to be subscribed to
  const char* window = "0.5";  // in which repeats of `keyed` are dropped
};

// The program with its surroundings. Op types: `all` needs every part, `any` half of them, `once` every part
// and may not be repeated; `part` every part, but half of them earn something; `keyed` every part, and may be
// repeated within a window.
struct World {
  int cells;
  Listener discovery{kDiscovery};
  std::unique_ptr<Peer> watch;
  pid_t pid = 0;
  std::string options, flavors, folder, config, run;
  int log = -1;

  explicit World(const Setup& s)
      : cells(s.cells), options(s.options), flavors(s.flavors), run(s.run), log(s.log) {
    if (!s.config.empty()) {
      start(s.config, true);
      return;
    }
    const auto n = [](int number) { return std::to_string(number); };
    std::string classes;
    for (const char* op : {"all", "any", "once", "part", "keyed"})
      classes += std::string(classes.empty() ? "" : ",") + R"({"name":")" + op + R"(","promise":)" +
                 s.budget + R"(,"deadline":)" + s.deadline + R"(,"late-share":0.5,"effect":")" +
                 (std::strcmp(op, "once") == 0 ? "single_shot"
                  : std::strcmp(op, "keyed") == 0
                      ? std::string(R"(guarded","group":"all","memory-span":)") + s.window + R"(,"x":")"
                      : "free") +
                 R"("})";
    start(R"({"listen":")" + text(kBroker) + R"(","discovery":")" + text(kDiscovery) +
          R"(","seed":"00000000000000a7","limits":{"cores":1.0,"memory_mb":)" + n(s.memory_mb) +
          R"(,"sockets":)" + n(s.sockets) + R"(},)" +
          (s.known ? R"("known":)" + list(1, true, "in_service") + "," : std::string()) +
          R"("settings":{"balancers":2,"callers":{"marks-retry":true},"ceilings":{"cancel":true,)"
          R"("connect-timeout":)" +
          s.connect_within + R"(,"keepalive":)" + s.keepalive +
          R"(,"max-retry-after":0.5,"multiplex":64,"retry-after":true,"second-copies":true,"try-limit":3},)"
          R"("classes":[)" +
          classes +
          R"(],"family-info":{"min-share":[1,0.5,1,0.5,1],"need-by-class":[1,0.5,1,1,1],)"
          R"("class-partial":[0,0,0,0.5,0],)"
          R"("parts-a-call":)" +
          n(s.parts_a_call) + R"(,"positions":)" + n(s.cells) + R"(,"ranges":)" +
          n(s.shards ? s.shards : s.cells) + R"(,"width":)" + n(s.replicas) + R"(},"rules":{"cold":)" +
          s.cold + R"(,"cold-from":0.2,"fall-multiple":2,"overload-for":)" + s.fall_span + R"(},)" +
          (s.subscribe ? R"("registry-mode":"subscribe",)" : "") + R"("tick":0.005}})");
  }
  ~World() {
    if (pid > 0) kill(pid, SIGKILL), waitpid(pid, nullptr, 0);
    unlink((folder + "/config.json").c_str());
    unlink((folder + "/options.txtpb").c_str());
    unlink((folder + "/build/cairnhub").c_str());
    rmdir((folder + "/build").c_str());
    rmdir(folder.c_str());
  }

  // The list in discovery's form: node n in cell n - 1, all in one phase but for those named.
  std::string list(int revision, bool whole, const std::string& phase, int only = 0) const {
    std::string members;
    for (int n = 1; n <= cells; ++n)
      if (only == 0 || n == only)
        members +=
            (members.empty() ? "" : ",") + std::string("{\"id\":\"s-") + std::to_string(n) +
            "\",\"host_port\":\"" + text(kNode + n) + "\",\"locality\":\"a\",\"flavor\":\"" +
            std::string(
                1, n <= static_cast<int>(flavors.size()) ? flavors[static_cast<std::size_t>(n - 1)] : 'm') +
            "\",\"cell\":" + std::to_string(n - 1) + ",\"phase\":\"" + phase +
            "\",\"size\":1.0,\"up_since_ms\":0}";
    return "{\"revision\":" + std::to_string(revision) + ",\"complete\":" + (whole ? "true" : "false") +
           ",\"members\":[" + members + "]}";
  }
  void writes(const std::string& bytes) const { std::ofstream(folder + "/config.json") << bytes; }
  void start(const std::string& with, bool show_log = false) {
    char made[] = "/tmp/cairnhub-test-XXXXXX";
    folder = mkdtemp(made);
    writes(config = with);
    if (!options.empty()) std::ofstream(folder + "/options.txtpb") << options;
    char real[PATH_MAX];
    if (!run.empty()) {  // the folder stands for a checkout whose build holds the program under test
      if (realpath(program.c_str(), real) == nullptr || mkdir((folder + "/build").c_str(), 0700) != 0 ||
          symlink(real, (folder + "/build/cairnhub").c_str()) != 0)
        give_up("no checkout to run from");
    }
    pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // a story that gives up leaves nothing behind
      if (!options.empty()) setenv("CAIRNHUB_OPTIONS", (folder + "/options.txtpb").c_str(), 1);
      setenv("RELAY_CONFIG", (folder + "/config.json").c_str(), 1);
      dup2(log >= 0   ? log
           : show_log ? STDOUT_FILENO
                      : open(getenv("STAND_IN_LOG") ? getenv("STAND_IN_LOG") : "/dev/null",
                             O_WRONLY | O_CREAT | O_APPEND, 0600),
           STDERR_FILENO);
      if (!run.empty()) {
        setenv("CAIRNHUB_CONFINE", real, 1);
        if (const char* filter = getenv("CAIRNHUB_CONFINE_LIB")) setenv("LD_PRELOAD", filter, 1);
        // Under AddressSanitizer: its look for leaks at the end clones a process, which the filter ends, so
        // the run would seem to fork; and it wants to be the first library, before the filter.
        setenv("ASAN_OPTIONS", "detect_leaks=0:verify_asan_link_order=0", 1);
        if (chdir(folder.c_str()) == 0) execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
        _exit(127);
      }
      execl(program.c_str(), "cairnhub", nullptr);
      _exit(127);
    }
  }
  void ready() {
    for (int i = 0; i < kPatienceMs; ++i) {
      Client c;
      if (c.peer.fd < 0) {
        poll(nullptr, 0, 1);
        continue;
      }
      c.peer.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
      if (c.reads().rfind("200", 0) == 0) return;
    }
    give_up("never ready");
  }
  void stopping() const {  // until the stop is noted: answers say so
    for (std::string got; got.find("last") == std::string::npos;) {
      Client probe;
      probe.peer.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
      got = probe.reads();
    }
  }
  // The next call for the list, printed without its address.
  void asked() {
    if (!watch) watch = std::make_unique<Peer>(discovery.accept());
    while (watch->in.find("\r\n\r\n") == std::string::npos)
      if (!watch->more()) return std::printf("discovery: connection ended\n"), watch.reset();
    std::printf("discovery is asked: %s\n", watch->in.substr(0, watch->in.find(" HTTP")).c_str());
    watch->in.clear();
  }
  // Where the program has given up the call meanwhile, its next one is answered.
  void tells(const std::string& body) {
    while (!watch || (readable(watch->fd, 0) && !watch->more())) {
      watch = std::make_unique<Peer>(discovery.accept());
      while (watch->in.find("\r\n\r\n") == std::string::npos)
        if (!watch->more()) break;
      watch->in.clear();
    }
    watch->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  void ends() {
    int status = 0;
    waitpid(pid, &status, 0);
    pid = 0;
    std::printf("program ends: %s %d\n", WIFEXITED(status) ? "exit" : "signal",
                WIFEXITED(status) ? WEXITSTATUS(status) : WTERMSIG(status));
  }
};

}  // namespace cairnhub::stand_ins

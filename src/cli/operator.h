// What the sub-commands that speak with a running broker share: where it is, one question, one proposal.
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

// 0 done; 1 refused, or something wrong here; 2 unusable arguments; 3 the broker does not answer; 4 not known
// whether the proposal was taken: say it again with the same --id.
enum Exit { kDone = 0, kRefused = 1, kUsage = 2, kNoAnswer = 3, kNotKnown = 4 };

struct Said {
  std::string options, at, file, who, why, id, name;
  std::uint64_t number = 0, other = 0, base = 0;
  bool as_json = false, sure = false, ground = false;
};

int complain(int status, const std::string& line);  // on the standard error; returns the status
// A GET of the operators' address; none, and `status` set, where there is no good answer.
std::optional<json> fetch(const Said& said, const char* path, int& status);
int propose(const Said& said, const json& what);
std::string fresh_id();

// Options of a sub-command: where the broker is; who proposes and why.
void where(CLI::App* command, const std::shared_ptr<Said>& said);
void by(CLI::App* command, const std::shared_ptr<Said>& said, bool why_needed);
// What it does; whatever it throws is one line and a refusal.
void run(CLI::App* command, int& status, std::function<int()> what);

}  // namespace cairnhub::cli

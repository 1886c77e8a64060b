// The command line: sub-commands, their options and exit statuses.
#pragma once

namespace cairnhub::cli {

// Parses the arguments and runs the sub-command.
// @return the exit status. All sub-commands use these: 0 success; 1 failure, with one line on standard error
//   for each error; 2 invalid arguments. Client sub-commands add the statuses in operator.h.
int main(int argc, char** argv);

}  // namespace cairnhub::cli

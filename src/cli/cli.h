// The command line: sub-commands, their options and exit statuses.
#pragma once

namespace cairnhub::cli {

// 0: done; 1: what the command is for failed, one line on standard error for each fault; 2: unusable
// arguments.
int main(int argc, char** argv);

}  // namespace cairnhub::cli

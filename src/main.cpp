#include "cli/cli.h"

int main(int argc, char** argv) { return cairnhub::cli::main(argc, argv); }

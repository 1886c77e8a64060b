// Plays a script of several processes: fleets PROGRAM SCRIPT. SHOW=1 prints the figures beside the verdicts.
#include <google/protobuf/text_format.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

#include "fleet/rig.h"

int main(int argc, char** argv) {
  if (argc < 3) return std::printf("fleets PROGRAM SCRIPT\n"), 2;
  std::ifstream in(argv[2], std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  cairnhub::fleet::Script script;
  if (!google::protobuf::TextFormat::ParseFromString(text, &script))
    return std::printf("%s: can't be used\n", argv[2]), 2;
  if (argc > 3) script.set_seed(std::strtoull(argv[3], nullptr, 10));
  char real[4096];
  cairnhub::fleet::Rig rig(realpath(argv[1], real) ? real : argv[1], script);
  return rig.play() ? 0 : 1;
}

// cairnhub_wirehost: hosts policies on the simulator's wire, standard input to standard output.
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <string>

#include "simulator_adapter/simulator_host.h"

namespace {

// Reads until `buffer` holds `want` bytes. False at a clean end of input; throws when it ends inside a frame.
bool fill(std::string& buffer, std::size_t want) {
  std::size_t have = buffer.size();
  // Grown by what has come, not by what a header promises, so that a false length can't claim the memory.
  constexpr std::size_t kChunk = 1 << 20;
  while (have < want) {
    const std::size_t step = std::min(want - have, kChunk);
    buffer.resize(have + step);
    const ssize_t got = ::read(STDIN_FILENO, buffer.data() + have, step);
    if (got < 0 && errno != EINTR)
      throw cairnhub::simulator_adapter::FrameError("standard input can't be read");
    if (got == 0 && have == 0) return false;
    if (got == 0) throw cairnhub::simulator_adapter::FrameError("malformed batch: input ends inside a frame");
    have += got > 0 ? static_cast<std::size_t>(got) : 0;
    buffer.resize(have);
  }
  return true;
}

}  // namespace

int main() {
  try {
    cairnhub::simulator_adapter::SimulatorHost host;
    std::string frame;
    while (frame.clear(), fill(frame, cairnhub::simulator_adapter::kBatchHeaderBytes)) {
      fill(frame, cairnhub::simulator_adapter::batch_frame_length(frame));
      const std::string reply = host.process_batch(frame);
      if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0)
        throw cairnhub::simulator_adapter::FrameError("standard output can't be written");
    }
  } catch (const std::exception& e) {
    std::fprintf(stderr, "cairnhub_wirehost: %s\n", e.what());
    return 1;
  }
  return 0;
}

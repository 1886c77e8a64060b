// cairnhub_wirehost: runs policies for the simulator. Reads batch frames from standard input and writes reply
// frames to standard output.
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <string>

#include "simulator_adapter/simulator_host.h"

using namespace cairnhub::simulator_adapter;

namespace {

// Reads standard input until `buffer` holds `wanted_bytes`.
//
// @return false where the input ends before the first byte of a frame
// @throws FrameError where it ends inside a frame
bool fill(std::string& buffer, std::size_t wanted_bytes) {
  std::size_t filled_bytes = buffer.size();
  // The buffer grows with the bytes received, so that a false length in a header can't claim the memory.
  constexpr std::size_t kMaxReadBytes = 1 << 20;
  while (filled_bytes < wanted_bytes) {
    const std::size_t read_bytes = std::min(wanted_bytes - filled_bytes, kMaxReadBytes);
    buffer.resize(filled_bytes + read_bytes);
    const ssize_t received_bytes = ::read(STDIN_FILENO, buffer.data() + filled_bytes, read_bytes);
    if (received_bytes < 0 && errno != EINTR)
      throw FrameError(std::string("standard input can't be read: ") + std::strerror(errno));
    if (received_bytes == 0 && filled_bytes == 0) return false;
    if (received_bytes == 0) throw FrameError("malformed batch: input ends inside a frame");
    filled_bytes += received_bytes > 0 ? static_cast<std::size_t>(received_bytes) : 0;
    buffer.resize(filled_bytes);
  }
  return true;
}

}  // namespace

int main() {
  try {
    SimulatorHost host;
    for (std::string frame; fill(frame, kBatchHeaderBytes); frame.clear()) {
      fill(frame, batch_frame_length(frame));
      const std::string reply = host.process_batch(frame);
      if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0)
        throw FrameError(std::string("standard output can't be written: ") + std::strerror(errno));
    }
  } catch (const std::exception& e) {
    std::fprintf(stderr, "cairnhub_wirehost: %s\n", e.what());
    return 1;
  }
  return 0;
}

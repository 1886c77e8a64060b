// Owns a file descriptor and closes it.
#pragma once
#include <unistd.h>

#include <utility>

namespace cairnhub {

class FileDescriptor {
 public:
  FileDescriptor() = default;
  // Takes over `descriptor`; a negative one stands for none.
  explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
  FileDescriptor(FileDescriptor&& other) noexcept : descriptor_(other.release()) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  ~FileDescriptor() {
    if (is_open()) {
      close(descriptor_);
    }
  }

  bool is_open() const { return descriptor_ >= 0; }
  int get() const { return descriptor_; }
  // Hands the descriptor to the caller, who closes it from now on.
  int release() { return std::exchange(descriptor_, -1); }

 private:
  int descriptor_ = -1;
};

}  // namespace cairnhub

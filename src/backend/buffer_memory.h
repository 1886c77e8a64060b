// Reserves the bytes that a connection's buffer holds in the account of the memory held for clients.
#pragma once
#include <event2/buffer.h>

#include <memory>
#include <utility>

#include "dispatch/client_memory.h"

namespace cairnhub::backend {

// Follows one buffer from attach() to detach(). Must not be moved meanwhile.
class BufferMemory {
 public:
  BufferMemory(std::shared_ptr<dispatch::ClientMemory> memory, dispatch::MemoryUse use)
      : reservation_(std::move(memory), use) {}
  BufferMemory(const BufferMemory&) = delete;
  BufferMemory& operator=(const BufferMemory&) = delete;

  void attach(evbuffer* buffer) { evbuffer_add_cb(buffer, on_change, this); }
  // Must be called before the buffer is freed, if the buffer was attached.
  void detach(evbuffer* buffer) {
    evbuffer_remove_cb(buffer, on_change, this);
    reservation_.resize(0);
  }

 private:
  static void on_change(evbuffer*, const evbuffer_cb_info* info, void* context) {
    auto& self = *static_cast<BufferMemory*>(context);
    self.reservation_.resize(info->orig_size + info->n_added - info->n_deleted);
  }

  dispatch::MemoryReservation reservation_;
};

}  // namespace cairnhub::backend

// The broker as a library: give it an event loop and a configuration; it serves until shut down.
#pragma once
#include <functional>
#include <memory>

#include "broker/config.h"

struct event_base;

namespace cairnhub::broker {

class Broker {
 public:
  // Throws std::exception with one plain line where the configuration won't do.
  Broker(event_base* base, const Config& config);
  ~Broker();
  // Takes over what may change under way; logs what takes a restart.
  void change(const Config& config);
  // Goes on for as long as clients may still come, finishes what it has taken, then calls `done`. Once.
  void shut_down(std::function<void()> done);

 private:
  struct Stages;
  std::unique_ptr<Stages> stages_;
};

// The whole program: configuration from the environment, signals, exit status.
int run();

}  // namespace cairnhub::broker

// Writes responses in the platform's format; a Responder sends them to the client.
#pragma once
#include <memory>
#include <string>

#include "dispatch/request.h"

namespace cairnhub::frontend::platform {

// Returns callbacks that respond to a request in the platform's format.
std::unique_ptr<dispatch::RequestCallbacks> make_request_callbacks(
    std::unique_ptr<dispatch::Responder> responder);

// Returns the value of a Retry-After header in seconds, with decimals; empty if `retry_after` is 0.
std::string retry_after_text(Time retry_after);

}  // namespace cairnhub::frontend::platform

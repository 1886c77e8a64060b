// The relaying stage: what a client of the platform's form is answered. Knows the form of answers, not the
// connection they are written to.
#pragma once
#include <memory>
#include <string>

#include "dispatch/request.h"

namespace cairnhub::frontend::platform {

std::unique_ptr<dispatch::RequestCallbacks> client(std::unique_ptr<dispatch::Responder> reply);

std::string come_back_text(Time come_back);  // seconds; empty where there is no advice

}  // namespace cairnhub::frontend::platform

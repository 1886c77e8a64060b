// The relaying stage: what a client is answered. Knows the form of answers, not who waits for them.
#pragma once
#include "broker/query.h"

namespace cairnhub::broker::relay {

void answer(Query& query, bool whole);
void push_back(Query& query, Time come_back);
void fail(Query& query);

}  // namespace cairnhub::broker::relay

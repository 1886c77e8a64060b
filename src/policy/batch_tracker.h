// Groups the shard requests that go to one endpoint in the same turn into batches. A turn ends when
// RequestPolicy::next() returns nothing.
//
// Decides: whether a shard request joins the endpoint's open batch.
//
// Inputs: the maximum number of shard requests in a batch, and the turn.
//
// Why: the load on an endpoint depends on the number of frames, not of shard requests, so a shard request
// that joins a batch adds no load.
#pragma once
#include <algorithm>
#include <cstdint>
#include <memory>

#include "policy/request.h"

namespace cairnhub {

class BatchTracker {
 public:
  void configure(int max_shard_requests) { max_shard_requests_ = std::max(1, max_shard_requests); }
  // Starts a new turn: no shard request joins a batch opened in an earlier turn.
  void next_turn() { ++turn_; }

  // Whether the endpoint has a batch opened in this turn that is not full.
  bool has_room(const Endpoint& endpoint) const {
    return endpoint.open_batch_turn == turn_ && endpoint.open_batch &&
           endpoint.open_batch->shard_requests < max_shard_requests_;
  }
  // Adds one shard request to the endpoint's open batch, or to a new batch if that has no room, and returns
  // the batch.
  std::shared_ptr<Batch> join(Endpoint& endpoint) const {
    std::shared_ptr<Batch> batch;
    if (has_room(endpoint)) {
      batch = endpoint.attempts.back()->batch;
    } else {
      batch = std::make_shared<Batch>();
      endpoint.open_batch = batch.get();
      endpoint.open_batch_turn = turn_;
      ++endpoint.batches_in_flight;
    }
    ++batch->shard_requests;
    ++batch->shard_requests_in_flight;
    return batch;
  }
  // Removes an attempt that has ended from its batch.
  static void leave(const Attempt& attempt) {
    if (--attempt.batch->shard_requests_in_flight > 0) return;
    Endpoint& endpoint = *attempt.endpoint;
    --endpoint.batches_in_flight;
    if (endpoint.open_batch == attempt.batch.get()) endpoint.open_batch = nullptr;
  }

 private:
  int max_shard_requests_ = 1;
  std::uint64_t turn_ = 1;
};

}  // namespace cairnhub

// Limits how many requests of each class are in flight.
//
// Decides: whether an arriving request is passed on to RequestPolicy or rejected.
//
// Inputs: whether the class is served at present, the maximum number of its requests in flight at this
// broker, as agreed by all brokers, and their present number.
//
// Why: requests of a class that operators have closed or limited would otherwise still load the servers.
// Nothing of the request has been sent yet, so rejecting it is safe for every idempotency.
#pragma once
#include <map>

namespace cairnhub {

class RequestClassLimiter {
 public:
  // Counts the request as in flight, whether it is admitted or rejected, until release() is called for it.
  // @return whether the request is admitted
  bool admit(int request_class, bool is_served, int max_in_flight);
  // Must be called once for each request that has ended, rejected ones included.
  void release(int request_class);

 private:
  std::map<int, int> in_flight_;  // by class
};

}  // namespace cairnhub

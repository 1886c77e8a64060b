// A host that speaks the search API over HTTP, answers each search with the documents of the market that it
// asks for, and repeats its responses, on threads of its own.
#pragma once
#include <mutex>
#include <string>

#include "stand_ins/connection_threads.h"
#include "stand_ins/net.h"

namespace cairnhub::stand_ins {

class RepeatingSearchHost {
 public:
  // When the second copy of a response is sent.
  enum class Repeat {
    kNever,
    kWithTheResponse,
    kBeforeTheNextResponse,  // on the same connection, once the next request has been read
  };

  // Listens at the address of node `number`. @param returns_ids whether responses state the id of their
  // request
  RepeatingSearchHost(int number, Repeat repeat, bool returns_ids);

  int connection_count() { return threads_.connection_count(); }
  int copies();  // sent so far

  // Returns how many documents of a market each block has.
  static int documents_of(const std::string& market) { return market == "north" ? 3 : 5; }

 private:
  void serve(Peer& peer);
  std::string response_to(const std::string& head, const std::string& body) const;

  const Repeat repeat_;
  const bool returns_ids_;
  std::mutex mutex_;
  int copies_ = 0;
  ConnectionThreads threads_;
};

}  // namespace cairnhub::stand_ins
